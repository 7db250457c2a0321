// Package share divides the capacity of a server among kinds of requests and callers.
//
// MaxMinFair computes the max-min fair division of one amount. Divide applies it by importance: protected kinds first,
// then the others from the most urgent rank down, with max-min fairness among kinds of equal rank. The result for
// a kind is the fraction of its offered demand that the server can take. Nodes report that fraction on their
// answers. Fractions stores the fractions that a node learned from the services it calls, so that an entry node
// refuses requests immediately that a downstream service would refuse later.
//
// Sources: admitting the same requests at every layer by a hash, and reporting admission levels to callers on
// answers, Zhou et al., "Overload control for scaling WeChat microservices" (2018); weighting a sample by the
// inverse of its probability, Horvitz and Thompson (1952); max-min fair division, Bertsekas and Gallager, "Data
// Networks" (1992).
package share
