package record

import (
	"bytes"
	"reflect"
	"testing"
	"time"

	"briarworks.example/briarworks/internal/record/recpb"
	"briarworks.example/briarworks/pkg/audit"
	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/fleet"
	"briarworks.example/briarworks/pkg/life"
	"briarworks.example/briarworks/pkg/once"
	"briarworks.example/briarworks/pkg/order"
	"briarworks.example/briarworks/pkg/reason"
)

var at = time.Unix(1_700_000_000, 5)

var batch = audit.Batch{
	Server: "s", Incarnation: 7, Service: "ledger", DataCentre: "d", First: 3, Last: 5,
	Entries: []audit.Entry{
		{Caller: "c", Remote: "r", Key: "k", Kind: "claim", Rank: 1, Reason: reason.Overload, Outcome: reason.NotRun, Count: 1, First: at, Last: at, Version: 2},
		{Kind: "guide", Rank: 9, Reason: reason.QueueFull, Outcome: reason.NotRun, Count: 2, First: at, Last: at.Add(time.Second)},
	},
}

type roundTrip struct {
	want   any
	rec    *recpb.Record
	decode func(*recpb.Record) (any, bool)
}

func decoder[T any](decode func(*recpb.Record) (T, bool)) func(*recpb.Record) (any, bool) {
	return func(r *recpb.Record) (any, bool) { return decode(r) }
}

func toOrder(r *recpb.Record) (order.Record, bool) { return ToOrder(r, at) }

func roundTrips() map[string]roundTrip {
	announce := fleet.Member{Server: "s", Service: "ledger", DataCentre: "d", Address: "127.0.0.1:1", Incarnation: 7, Slots: 130, Conns: 900, Announced: at, Run: life.Run{Instance: "i", Born: at}}
	leave := fleet.Member{Server: "s", Incarnation: 7, Left: true, Announced: at, Run: life.Run{Instance: "i", Born: at}, Departed: true}
	publish := order.Record{Publish: &order.Publish{ID: "id", Base: 4, Document: "rules: []", Author: "me", At: at}}
	carry := order.Record{Carry: &order.Carry{At: at, State: order.State{Version: 5, Through: 17, Document: "rules: []", Author: "me", ID: "id", AcceptedAt: at}}}
	started := once.Started{Key: "k", Attempt: "a", Holder: "s", Incarnation: 7}
	done := once.Done{Key: "k", Attempt: "a", Answer: once.Answer{Status: 201, Header: []call.Header{{Name: "X", Value: "y"}}, Body: []byte("b")}}
	void := once.Void{Key: "k", Attempt: "a"}
	opened := audit.Open{Server: "s", Incarnation: 7}
	closed := audit.Close{Server: "s", Incarnation: 7, Last: 9}
	witness := audit.Witness{Server: "s", Incarnation: 7, Seq: 9, By: "t"}
	return map[string]roundTrip{
		"announce": {announce, FromMember(announce), decoder(ToMember)},
		"leave":    {leave, FromMember(leave), decoder(ToMember)},
		"publish":  {publish, FromOrder(publish), decoder(toOrder)},
		"carry":    {carry, FromOrder(carry), decoder(toOrder)},
		"started":  {started, FromStarted(started), decoder(ToStarted)},
		"done":     {done, FromDone(done), decoder(ToDone)},
		"void":     {void, FromVoid(void), decoder(ToVoid)},
		"batch":    {batch, FromBatch(batch), decoder(ToBatch)},
		"open":     {opened, FromOpen(opened), decoder(ToOpen)},
		"close":    {closed, FromClose(closed), decoder(ToClose)},
		"witness":  {witness, FromWitness(witness), decoder(ToWitness)},
	}
}

// Guards against a field that is lost in encoding or decoding, and against a body that decodes as another type.
func TestRoundTrip(t *testing.T) {
	all := roundTrips()
	for name, tt := range all {
		t.Run(name, func(t *testing.T) {
			data, err := EncodeGroup([]*recpb.Record{tt.rec})
			if err != nil {
				t.Fatalf("encode: got %v, want no error", err)
			}
			recs, err := DecodeGroup(data)
			if err != nil {
				t.Fatalf("decode: got %v, want no error", err)
			}
			got, ok := tt.decode(recs[0])
			if !ok || !reflect.DeepEqual(got, tt.want) {
				t.Errorf("round trip: got %+v %v, want %+v", got, ok, tt.want)
			}
			for other, o := range all {
				if got, ok := o.decode(recs[0]); ok && other != name && !reflect.DeepEqual(got, tt.want) {
					t.Errorf("decoded as %s: got a body, want none", other)
				}
			}
		})
	}
}

// Guards against a batch that hides lost refusals: its counts must add up to its range of sequence numbers.
func TestUnsoundBatch(t *testing.T) {
	b := batch
	b.Last++
	if _, ok := ToBatch(FromBatch(b)); ok {
		t.Errorf("batch with a missing refusal: got a body, want none")
	}
}

// Guards against an answer that can never be recorded because a header field is not valid UTF-8.
func TestInvalidText(t *testing.T) {
	d := once.Done{Key: "k", Attempt: "a", Answer: once.Answer{Header: []call.Header{{Name: "X", Value: "a\xff"}}}}
	if _, err := EncodeGroup([]*recpb.Record{FromDone(d)}); err != nil {
		t.Errorf("encode: got %v, want no error", err)
	}
}

// Guards against a panic on malformed data that another program appended to the stream.
func FuzzDecodeGroup(f *testing.F) {
	var recs []*recpb.Record
	for _, tt := range roundTrips() {
		recs = append(recs, tt.rec)
	}
	if data, err := EncodeGroup(recs); err == nil {
		f.Add(data)
		f.Add(data[:len(data)/2])
	}
	f.Add([]byte("not a group"))
	f.Fuzz(func(t *testing.T, data []byte) {
		recs, err := DecodeGroup(data)
		if err != nil {
			return
		}
		for _, r := range recs {
			for _, tt := range roundTrips() {
				tt.decode(r)
			}
		}
		again, err := EncodeGroup(recs)
		if err != nil {
			t.Fatalf("encode again: got %v, want no error", err)
		}
		if back, err := DecodeGroup(again); err != nil || len(back) != len(recs) {
			t.Errorf("decode again: got %d records, %v, want %d (%d bytes equal: %v)", len(back), err, len(recs), len(data), bytes.Equal(again, data))
		}
	})
}
