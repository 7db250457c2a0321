package fleet

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"briarworks.example/briarworks/pkg/ident"
)

// Table is an immutable list of the members at one time; the zero value is an empty fleet.
type Table struct {
	all       []Member // sorted by server
	byService map[ident.Service][]Member
	digest    uint64
	buckets   Digests
}

func newTable(members map[ident.Server]Member) *Table {
	t := &Table{all: sorted(members), byService: make(map[ident.Service][]Member)}
	for _, m := range t.all {
		// Addition does not depend on the order and, unlike exclusive or, does not cancel equal terms.
		d := m.digest()
		t.digest += d
		t.buckets[bucketOf(m.Server)] += d
		if !m.Left {
			t.byService[m.Service] = append(t.byService[m.Service], m)
		}
	}
	return t
}

// Of returns the members in service, sorted by server; the slice must not be changed.
func (t *Table) Of(service ident.Service) []Member { return t.byService[service] }

// All returns all members with those that left, sorted by server; the slice must not be changed.
func (t *Table) All() []Member { return t.all }

// Member returns what is known of a server, also when it left, and false when nothing is known.
func (t *Table) Member(server ident.Server) (Member, bool) {
	i, found := slices.BinarySearchFunc(t.all, Member{Server: server}, byServer)
	if !found {
		return Member{}, false
	}
	return t.all[i], true
}

// Digest returns a hash of the content that nodes must agree on; it does not depend on any order.
func (t *Table) Digest() uint64 { return t.digest }

// digest hashes what nodes must agree on. Of a member that left this is the incarnation only: each
// node notes its own time of leaving, and that difference must not cause an exchange.
func (m Member) digest() uint64 {
	b := make([]byte, 0, 128)
	b = appendString(b, string(m.Server))
	b = binary.LittleEndian.AppendUint64(b, uint64(m.Incarnation))
	if m.Left {
		return xxhash.Sum64(append(b, 1))
	}
	b = append(b, 0)
	b = appendString(b, string(m.Service))
	b = appendString(b, string(m.DataCentre))
	b = appendString(b, string(m.Address))
	b = binary.LittleEndian.AppendUint32(b, uint32(m.Slots))
	b = binary.LittleEndian.AppendUint32(b, uint32(m.Conns))
	b = binary.LittleEndian.AppendUint64(b, uint64(m.Announced.UnixNano()))
	return xxhash.Sum64(b)
}

// appendString writes the length first, so that neighbouring fields cannot run into each other.
func appendString(b []byte, s string) []byte {
	b = binary.AppendUvarint(b, uint64(len(s)))
	return append(b, s...)
}
