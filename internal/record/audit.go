package record

import (
	"fmt"

	"briarworks.example/briarworks/internal/record/recpb"
	"briarworks.example/briarworks/pkg/audit"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/reason"
)

// FromBatch encodes a batch of refusals. The record id is derived from the server, the incarnation and the first
// sequence number, so that readers drop a batch that was appended twice.
func FromBatch(b audit.Batch) *recpb.Record {
	m := &recpb.Batch{
		Server: string(b.Server), Incarnation: uint64(b.Incarnation), First: uint64(b.First), Last: uint64(b.Last),
		Service: string(b.Service), DataCentre: string(b.DataCentre),
		Entries: make([]*recpb.Entry, 0, len(b.Entries)),
	}
	for _, e := range b.Entries {
		m.Entries = append(m.Entries, &recpb.Entry{
			Caller: string(e.Caller), Remote: e.Remote, Key: string(e.Key), Kind: string(e.Kind),
			Rank: uint32(e.Rank), Reason: uint32(e.Reason), Outcome: uint32(e.Outcome), Count: e.Count,
			FirstUnixNs: unixNs(e.First), LastUnixNs: unixNs(e.Last), ConfigVersion: uint64(e.Version),
		})
	}
	id := fmt.Sprintf("batch/%s/%s/%d", b.Server, b.Incarnation, b.First)
	return &recpb.Record{Id: id, Body: &recpb.Record_Batch{Batch: m}}
}

// ToBatch decodes a batch of refusals and reports whether the record holds a valid one. The counts of the
// entries must add up to the batch's range of sequence numbers, so that a batch cannot hide a loss.
func ToBatch(r *recpb.Record) (audit.Batch, bool) {
	m := r.GetBatch()
	b := audit.Batch{
		Server: ident.Server(m.GetServer()), Incarnation: ident.Incarnation(m.GetIncarnation()),
		Service: ident.Service(m.GetService()), DataCentre: ident.DataCentre(m.GetDataCentre()),
		First: ident.Seq(m.GetFirst()), Last: ident.Seq(m.GetLast()),
	}
	for _, e := range m.GetEntries() {
		if e.GetRank() > 255 || e.GetReason() > 255 || e.GetOutcome() > 255 {
			return audit.Batch{}, false
		}
		b.Entries = append(b.Entries, audit.Entry{
			Caller: ident.Caller(e.GetCaller()), Remote: e.GetRemote(), Key: ident.Key(e.GetKey()),
			Kind: ident.Kind(e.GetKind()), Rank: ident.Rank(e.GetRank()), Reason: reason.Refusal(e.GetReason()),
			Outcome: reason.Outcome(e.GetOutcome()), Count: e.GetCount(), First: fromUnixNs(e.GetFirstUnixNs()),
			Last: fromUnixNs(e.GetLastUnixNs()), Version: ident.Version(e.GetConfigVersion()),
		})
	}
	return b, b.Server != "" && b.Valid()
}

// FromOpen encodes the start of a server incarnation's refusal records.
func FromOpen(o audit.Open) *recpb.Record {
	return &recpb.Record{Body: &recpb.Record_Open{Open: &recpb.Open{
		Server: string(o.Server), Incarnation: uint64(o.Incarnation),
	}}}
}

// ToOpen decodes an Open and reports whether the record holds a valid one.
func ToOpen(r *recpb.Record) (audit.Open, bool) {
	m := r.GetOpen()
	return audit.Open{
		Server: ident.Server(m.GetServer()), Incarnation: ident.Incarnation(m.GetIncarnation()),
	}, m.GetServer() != ""
}

// FromClose encodes the end of a server incarnation's refusal records.
func FromClose(c audit.Close) *recpb.Record {
	return &recpb.Record{Body: &recpb.Record_Close{Close: &recpb.Close{
		Server: string(c.Server), Incarnation: uint64(c.Incarnation), Last: uint64(c.Last),
	}}}
}

// ToClose decodes a Close and reports whether the record holds a valid one.
func ToClose(r *recpb.Record) (audit.Close, bool) {
	m := r.GetClose()
	return audit.Close{
		Server: ident.Server(m.GetServer()), Incarnation: ident.Incarnation(m.GetIncarnation()),
		Last: ident.Seq(m.GetLast()),
	}, m.GetServer() != ""
}

// FromWitness encodes the last sequence number that a peer saw from a server that is gone.
func FromWitness(w audit.Witness) *recpb.Record {
	return &recpb.Record{Body: &recpb.Record_Witness{Witness: &recpb.Witness{
		Server: string(w.Server), Incarnation: uint64(w.Incarnation), Seq: uint64(w.Seq), By: string(w.By),
	}}}
}

// ToWitness decodes a Witness and reports whether the record holds a valid one.
func ToWitness(r *recpb.Record) (audit.Witness, bool) {
	m := r.GetWitness()
	return audit.Witness{
		Server: ident.Server(m.GetServer()), Incarnation: ident.Incarnation(m.GetIncarnation()),
		Seq: ident.Seq(m.GetSeq()), By: ident.Server(m.GetBy()),
	}, m.GetServer() != ""
}
