package fleet

import (
	"github.com/cespare/xxhash/v2"

	"briarworks.example/briarworks/pkg/ident"
)

// Buckets is the number of hash buckets in which two nodes compare their member lists. At the design size a
// bucket holds 15 members.
const Buckets = 64

// Digests holds the digest of each bucket of a member list.
type Digests [Buckets]uint64

// BucketSet is a set of buckets, one bit for each.
type BucketSet uint64

// bucketOf returns the bucket of a server; it must be the same in all software versions.
func bucketOf(server ident.Server) int { return int(xxhash.Sum64String(string(server)) % Buckets) }

// Differ returns the buckets whose digests differ.
func (d *Digests) Differ(other *Digests) (m BucketSet) {
	for i := range d {
		if d[i] != other[i] {
			m |= 1 << i
		}
	}
	return m
}

// Digests returns the digest of each bucket.
func (t *Table) Digests() *Digests { return &t.buckets }

// MembersIn returns the members of the buckets in m, including those that left and excluding those that are equal in
// others.
func (t *Table) MembersIn(m BucketSet, others ...Member) (members []Member) {
	known := make(map[ident.Server]uint64, len(others))
	for _, o := range others {
		known[o.Server] = o.digest()
	}
	for _, x := range t.members {
		if m&(1<<bucketOf(x.Server)) == 0 {
			continue
		}
		if d, ok := known[x.Server]; !ok || d != x.digest() {
			members = append(members, x)
		}
	}
	return members
}
