package audit

import (
	"time"

	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/reason"
)

// Entry is one refusal, or several that were merged. Fields in which merged refusals differ are empty.
type Entry struct {
	Caller    ident.Caller
	Remote    string // remote address of the caller
	Key       ident.Key
	Kind      ident.Kind
	Rank      ident.Rank
	Protected bool // used by the ledger only; not part of the record
	Reason    reason.Refusal
	Outcome   reason.Outcome
	Count     uint64
	First     time.Time
	Last      time.Time
	Version   ident.Version // configuration in force
}

// Batch holds the refusals numbered First to Last of one node; the counts of its entries add up to
// the length of this range.
type Batch struct {
	Server      ident.Server
	Incarnation ident.Incarnation
	Service     ident.Service
	DataCentre  ident.DataCentre
	First, Last ident.Seq
	Entries     []Entry
}

// Sound reports whether the counts add up to the range.
func (b Batch) Sound() bool {
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

// Open says that a node has started to number refusals from 1.
type Open struct {
	Server      ident.Server
	Incarnation ident.Incarnation
}

// Close says that a node has stopped and that its last refusal had the number Last.
type Close struct {
	Server      ident.Server
	Incarnation ident.Incarnation
	Last        ident.Seq
}

// Witness says that another node saw the refusal number Seq on an answer of a node that is gone.
type Witness struct {
	Server      ident.Server
	Incarnation ident.Incarnation
	Seq         ident.Seq
	By          ident.Server
}
