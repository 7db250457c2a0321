// Package gossip exchanges the membership list and the configuration between nodes.
//
// A node periodically compares its state with one connected node, and each side sends what the other is
// missing, so that both spread while the platform's store is unavailable. Member changes are also broadcast
// to connected nodes immediately. The traffic grows with the size of the change: digests of buckets of
// members are compared before any members are sent.
package gossip
