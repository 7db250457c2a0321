package record

import (
	"strings"

	"briarworks.example/briarworks/internal/record/recpb"
	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/once"
)

// FromStarted encodes the start of an attempt to run an at-most-once request.
func FromStarted(s once.Started) *recpb.Record {
	return &recpb.Record{Body: &recpb.Record_Started{Started: &recpb.Started{
		Key: string(s.Key), Attempt: string(s.Attempt), Holder: string(s.Holder), Incarnation: uint64(s.Incarnation),
	}}}
}

// ToStarted decodes a Started and reports whether the record holds a valid one.
func ToStarted(r *recpb.Record) (once.Started, bool) {
	m := r.GetStarted()
	return once.Started{
		Key: ident.Key(m.GetKey()), Attempt: ident.Attempt(m.GetAttempt()),
		Holder: ident.Server(m.GetHolder()), Incarnation: ident.Incarnation(m.GetIncarnation()),
	}, m.GetKey() != "" && m.GetAttempt() != ""
}

// FromDone encodes the answer of an attempt that ran. Invalid UTF-8 in header fields is replaced by U+FFFD,
// because protobuf refuses to marshal it and the answer could then never be recorded.
func FromDone(d once.Done) *recpb.Record {
	m := &recpb.Done{
		Key: string(d.Key), Attempt: string(d.Attempt), Status: int32(d.Answer.Status),
		Body: d.Answer.Body, Truncated: d.Answer.Truncated,
	}
	for _, h := range d.Answer.Header {
		m.Header = append(m.Header, &recpb.Header{Name: toValidUTF8(h.Name), Value: toValidUTF8(h.Value)})
	}
	return &recpb.Record{Body: &recpb.Record_Done{Done: m}}
}

// ToDone decodes a Done and reports whether the record holds a valid one.
func ToDone(r *recpb.Record) (once.Done, bool) {
	m := r.GetDone()
	a := once.Answer{Status: int(m.GetStatus()), Body: m.GetBody(), Truncated: m.GetTruncated()}
	for _, h := range m.GetHeader() {
		a.Header = append(a.Header, call.Header{Name: h.GetName(), Value: h.GetValue()})
	}
	d := once.Done{Key: ident.Key(m.GetKey()), Attempt: ident.Attempt(m.GetAttempt()), Answer: a}
	return d, d.Key != "" && d.Attempt != ""
}

func toValidUTF8(s string) string { return strings.ToValidUTF8(s, "\uFFFD") }

// FromVoid encodes that an attempt did not run and never will.
func FromVoid(v once.Void) *recpb.Record {
	return &recpb.Record{Body: &recpb.Record_Void{Void: &recpb.Void{
		Key: string(v.Key), Attempt: string(v.Attempt),
	}}}
}

// ToVoid decodes a Void and reports whether the record holds a valid one.
func ToVoid(r *recpb.Record) (once.Void, bool) {
	m := r.GetVoid()
	v := once.Void{Key: ident.Key(m.GetKey()), Attempt: ident.Attempt(m.GetAttempt())}
	return v, v.Key != "" && v.Attempt != ""
}
