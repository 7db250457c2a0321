package audit

import (
	"time"

	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/reason"
)

// Entry is a single refusal, or several merged ones. Fields in which merged refusals differ are empty.
type Entry struct {
	Caller    ident.Caller
	Remote    string // remote address of the caller
	Key       ident.Key
	Kind      ident.Kind
	Rank      ident.Rank
	Protected bool // used by Ledger only; not written to the log
	Reason    reason.Refusal
	Outcome   reason.Outcome
	Count     uint64
	First     time.Time
	Last      time.Time
	Version   ident.Version // active configuration version
}

// Batch holds the refusals of one node with the sequence numbers First to Last, inclusive. The counts of
// its entries add up to the length of this range.
type Batch struct {
	Server      ident.Server
	Incarnation ident.Incarnation
	Service     ident.Service
	DataCentre  ident.DataCentre
	First, Last ident.Seq
	Entries     []Entry
}

// Valid reports whether the range is valid and the counts of the entries add up to its length.
func (b Batch) Valid() bool {
	if b.First < 1 || b.Last < b.First {
		return false
	}
	left := uint64(b.Last-b.First) + 1
	for _, e := range b.Entries {
		if e.Count < 1 || e.Count > left {
			return false
		}
		left -= e.Count
	}
	return left == 0
}

// Open is the record that an incarnation has started; its sequence numbers begin at 1.
type Open struct {
	Server      ident.Server
	Incarnation ident.Incarnation
}

// Close is the record that an incarnation has shut down. Last is its highest sequence number, 0 if it
// refused nothing.
type Close struct {
	Server      ident.Server
	Incarnation ident.Incarnation
	Last        ident.Seq
}

// Witness is the record of node By that it received a response with refusal sequence number Seq from an
// incarnation that has since ended.
type Witness struct {
	Server      ident.Server
	Incarnation ident.Incarnation
	Seq         ident.Seq
	By          ident.Server
}
