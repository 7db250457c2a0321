// Package budget bounds the memory that a process holds for messages, received or being received.
//
// A bound on one message is no bound on a process, so all parts of a process that buffer messages share one Pool, whatever their
// number. Each exchange opens a Hold, grows it before it allocates, and closes it when the last byte is written. What counts is
// what is allocated: a buffer that is copied into a larger one counts twice meanwhile. ReadAll reads a message in this way.
//
// The load that this answers: many peers that send without end at the same time, or many large messages. Large holds leave a
// quarter of the pool to small ones, so that the exchanges of other clients go on.
package budget
