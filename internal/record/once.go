package record

import (
	"strings"

	"briarworks.example/briarworks/internal/record/recpb"
	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/once"
)

// FromStarted returns a record with the body.
func FromStarted(s once.Started) *recpb.Record {
	return &recpb.Record{Body: &recpb.Record_Started{Started: &recpb.Started{
		Key: string(s.Key), Attempt: string(s.Attempt), Holder: string(s.Holder), Incarnation: uint64(s.Incarnation),
	}}}
}

// ToStarted returns the body and whether the record has a usable one.
func ToStarted(r *recpb.Record) (once.Started, bool) {
	m := r.GetStarted()
	return once.Started{
		Key: ident.Key(m.GetKey()), Attempt: ident.Attempt(m.GetAttempt()),
		Holder: ident.Server(m.GetHolder()), Incarnation: ident.Incarnation(m.GetIncarnation()),
	}, m.GetKey() != "" && m.GetAttempt() != ""
}

// FromDone returns a record with the body. Bytes of header lines that are no UTF-8, which the record's
// encoding refuses, are replaced.
func FromDone(d once.Done) *recpb.Record {
	m := &recpb.Done{
		Key: string(d.Key), Attempt: string(d.Attempt), Status: int32(d.Answer.Status),
		Body: d.Answer.Body, Truncated: d.Answer.Truncated,
	}
	for _, h := range d.Answer.Header {
		m.Header = append(m.Header, &recpb.Header{Name: valid(h.Name), Value: valid(h.Value)})
	}
	return &recpb.Record{Body: &recpb.Record_Done{Done: m}}
}

// ToDone returns the body and whether the record has a usable one.
func ToDone(r *recpb.Record) (once.Done, bool) {
	m := r.GetDone()
	a := once.Answer{Status: int(m.GetStatus()), Body: m.GetBody(), Truncated: m.GetTruncated()}
	for _, h := range m.GetHeader() {
		a.Header = append(a.Header, call.Header{Name: h.GetName(), Value: h.GetValue()})
	}
	d := once.Done{Key: ident.Key(m.GetKey()), Attempt: ident.Attempt(m.GetAttempt()), Answer: a}
	return d, d.Key != "" && d.Attempt != ""
}

func valid(s string) string { return strings.ToValidUTF8(s, "\uFFFD") }

// FromVoid returns a record with the body.
func FromVoid(v once.Void) *recpb.Record {
	return &recpb.Record{Body: &recpb.Record_Void{Void: &recpb.Void{
		Key: string(v.Key), Attempt: string(v.Attempt),
	}}}
}

// ToVoid returns the body and whether the record has a usable one.
func ToVoid(r *recpb.Record) (once.Void, bool) {
	m := r.GetVoid()
	v := once.Void{Key: ident.Key(m.GetKey()), Attempt: ident.Attempt(m.GetAttempt())}
	return v, v.Key != "" && v.Attempt != ""
}
