package roster

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"briarworks.example/briarworks/pkg/fleet"
	"briarworks.example/briarworks/pkg/ident"
)

// Homes returns the first n members of a service by rendezvous hashing of a partition of its
// at-most-once keys. The first member is the home, the rest are standbys. Nodes with different member
// lists may disagree; this is safe because the order of records on the log decides.
func (r *Roster) Homes(service ident.Service, partition, n int) []fleet.Member {
	members := r.Table().MembersOf(service)
	type candidate struct {
		member fleet.Member
		weight uint64
	}
	candidates := make([]candidate, 0, len(members))
	for _, m := range members {
		candidates = append(candidates, candidate{m, rendezvousWeight(m.Server, service, partition)})
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		return cmp.Or(cmp.Compare(b.weight, a.weight), cmp.Compare(a.member.Server, b.member.Server))
	})
	homes := make([]fleet.Member, 0, n)
	for _, c := range candidates[:min(n, len(candidates))] {
		homes = append(homes, c.member)
	}
	return homes
}

func rendezvousWeight(server ident.Server, service ident.Service, partition int) uint64 {
	b := append([]byte(server), 0)
	b = append(b, service...)
	b = binary.BigEndian.AppendUint64(b, uint64(partition))
	return xxhash.Sum64(b)
}
