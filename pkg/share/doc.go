// Package share divides the capacity of a server among kinds of work and callers.
//
// Fill is the max-min fair division of one amount. Divide applies it by rank: protected kinds first,
// then the others from the most urgent rank down, kinds of equal rank max-min fair. The result for a
// kind is the fraction of its outside demand that the server can take. Nodes carry that fraction
// back on their answers; Paths keeps what a node learned in this way about the services it calls, so
// that an entry node refuses at once what a service further down would refuse later.
//
// Sources: admitting the same requests at every layer by a hash, and telling callers the level on
// answers, Zhou et al., "Overload control for scaling WeChat microservices" (2018); weighting a sample
// by the inverse of its probability, Horvitz and Thompson (1952); max-min fair division, Bertsekas and
// Gallager, "Data Networks" (1992).
package share
