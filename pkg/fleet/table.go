package fleet

import (
	"encoding/binary"
	"slices"

	"github.com/cespare/xxhash/v2"

	"briarworks.example/briarworks/pkg/ident"
)

// Table is an immutable snapshot of the members of a State. The zero value is an empty fleet.
type Table struct {
	members   []Member // sorted by server
	byService map[ident.Service][]Member
	digest    uint64
	buckets   Digests
}

func newTable(members map[ident.Server]Member) *Table {
	t := &Table{members: sortedByServer(members), byService: make(map[ident.Service][]Member)}
	for _, m := range t.members {
		// Addition is independent of the order and, unlike exclusive or, does not cancel equal terms.
		d := m.digest()
		t.digest += d
		t.buckets[bucketOf(m.Server)] += d
		if !m.Left {
			t.byService[m.Service] = append(t.byService[m.Service], m)
		}
	}
	return t
}

// MembersOf returns the members of a service that have not left, sorted by server; the slice must not be modified.
func (t *Table) MembersOf(service ident.Service) []Member { return t.byService[service] }

// All returns all members, including those that left, sorted by server; the slice must not be modified.
func (t *Table) All() []Member { return t.members }

// Member returns the description of a server, including one that left, and false if the server is unknown.
func (t *Table) Member(server ident.Server) (Member, bool) {
	i, found := slices.BinarySearchFunc(t.members, Member{Server: server}, compareServer)
	if !found {
		return Member{}, false
	}
	return t.members[i], true
}

// Digest returns a hash of the content that nodes must agree on. It is independent of the order of the members.
func (t *Table) Digest() uint64 { return t.digest }

// digest hashes the fields that nodes must agree on. For a member that left these are the server and the
// incarnation: each node records its own time of leaving, and that difference must not cause an exchange.
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

// appendString appends a length-prefixed string, so that the boundaries of adjacent fields are unambiguous.
func appendString(b []byte, s string) []byte {
	b = binary.AppendUvarint(b, uint64(len(s)))
	return append(b, s...)
}
