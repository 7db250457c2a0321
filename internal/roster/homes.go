package roster

import (
	"cmp"
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"briarworks.example/briarworks/pkg/fleet"
	"briarworks.example/briarworks/pkg/ident"
)

// Homes returns the first n members of a service in the rendezvous order of a partition of its
// at-most-once keys. The first is the home; the others stand by. Nodes whose member lists differ may
// disagree, which the order of the log makes harmless.
func (r *Roster) Homes(service ident.Service, partition, n int) []fleet.Member {
	members := r.Table().MembersOf(service)
	type weighted struct {
		m fleet.Member
		w uint64
	}
	all := make([]weighted, 0, len(members))
	for _, m := range members {
		all = append(all, weighted{m, weight(m.Server, service, partition)})
	}
	slices.SortFunc(all, func(a, b weighted) int {
		return cmp.Or(cmp.Compare(b.w, a.w), cmp.Compare(a.m.Server, b.m.Server))
	})
	homes := make([]fleet.Member, 0, n)
	for _, x := range all[:min(n, len(all))] {
		homes = append(homes, x.m)
	}
	return homes
}

func weight(server ident.Server, service ident.Service, partition int) uint64 {
	b := append([]byte(server), 0)
	b = append(b, service...)
	b = binary.BigEndian.AppendUint64(b, uint64(partition))
	return xxhash.Sum64(b)
}
