// Package applog is the client of the platform's append-only log.
//
// Client makes single HTTP requests. Writer serializes the appends to one stream: it batches the records of
// concurrent callers, keeps at most one append in flight, and searches the stream for the record ids when the
// answer to an append is lost. Tail follows one stream: it long-polls, drops records with repeated ids and reports
// without blocking whether the log is down.
//
// One append carries one recpb.Group. The records of a group share its offset and are distinguished by their index.
package applog
