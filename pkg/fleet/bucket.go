package fleet

import (
	"github.com/cespare/xxhash/v2"

	"briarworks.example/briarworks/pkg/ident"
)

// Buckets is the number of parts in which two nodes compare their lists. At the design size a bucket
// holds 15 members.
const Buckets = 64

// Digests are the digests of all buckets of a list.
type Digests [Buckets]uint64

// Mask is a set of buckets, one bit each.
type Mask uint64

// bucketOf returns the bucket of a server; all software versions have to agree on it.
func bucketOf(server ident.Server) int { return int(xxhash.Sum64String(string(server)) % Buckets) }

// Differ returns the buckets of which the digests differ.
func (d *Digests) Differ(other *Digests) (m Mask) {
	for i := range d {
		if d[i] != other[i] {
			m |= 1 << i
		}
	}
	return m
}

// Digests returns the digest of each bucket.
func (t *Table) Digests() *Digests { return &t.buckets }

// In returns the members of some buckets, with those that left, without those that others holds alike.
func (t *Table) In(m Mask, others ...Member) (some []Member) {
	known := make(map[ident.Server]uint64, len(others))
	for _, o := range others {
		known[o.Server] = o.digest()
	}
	for _, x := range t.all {
		if m&(1<<bucketOf(x.Server)) == 0 {
			continue
		}
		if d, ok := known[x.Server]; !ok || d != x.digest() {
			some = append(some, x)
		}
	}
	return some
}
