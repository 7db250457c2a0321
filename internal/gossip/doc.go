// Package gossip exchanges members and the configuration between nodes.
//
// A node compares state with one connected node at a time and each side sends what the other lacks, so both
// spread while the platform's store is away. News of members also go at once to all connected nodes. What is
// exchanged grows with what changed: digests of buckets of members are compared before members are sent.
package gossip
