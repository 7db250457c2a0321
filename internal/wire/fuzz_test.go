package wire

import (
	"bufio"
	"bytes"
	"math"
	"testing"
	"time"

	"briarworks.example/briarworks/internal/wire/wirepb"
	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/reason"
)

// FuzzRead looks for a frame of a peer that ends the process, or that yields a request, a result or a member with values
// out of their bounds.
func FuzzRead(f *testing.F) {
	seeds := map[string]*wirepb.Envelope{
		"call":   {Body: &wirepb.Envelope_Call{Call: &wirepb.Call{CallId: 1, Rank: math.MaxUint32, LeftNs: math.MinInt64, AgeNs: math.MaxInt64, Passed: math.NaN(), Budget: -1, Hop: 300}}},
		"answer": {Body: &wirepb.Envelope_Answer{Answer: &wirepb.Answer{CallId: 1, Outcome: 99, Reason: math.MaxUint32, Level: math.Inf(1), Fan: -1, Repeats: 7}}},
		"sync":   {Body: &wirepb.Envelope_Sync{Sync: &wirepb.Sync{Members: []*wirepb.Member{{Server: "a", Slots: -1}}}}},
	}
	for _, env := range seeds {
		var b bytes.Buffer
		if err := Write(&b, env, nil); err != nil {
			f.Fatal(err)
		}
		f.Add(b.Bytes())
	}
	f.Add([]byte{0xff, 0xff, 0xff, 0xff, 0x7f})
	now := time.Unix(1_700_000_000, 0)
	f.Fuzz(func(t *testing.T, b []byte) {
		env := &wirepb.Envelope{}
		if Read(bufio.NewReader(bytes.NewReader(b)), env, nil) != nil {
			return
		}
		if m := env.GetCall(); m != nil {
			checkRequest(t, ToRequest(m, now, 0), now)
		}
		if m := env.GetAnswer(); m != nil {
			if res := ToResult(m); res.Outcome > reason.Running || res.Level < 0 || res.FanOut < 0 || res.Repeats > 1 || !(res.AdmittedFraction > 0 && res.AdmittedFraction <= 1) {
				t.Errorf("result out of bounds: got %+v", res)
			}
		}
		for _, m := range append(env.GetSync().GetMembers(), env.GetSyncReply().GetMembers()...) {
			_ = ToMember(m).Check(now)
		}
	})
}

func checkRequest(t *testing.T, r *call.Request, now time.Time) {
	t.Helper()
	if left := r.Remaining(now); left > MaxDuration || left < -MaxDuration || r.RetryBudget < 0 || !(r.AdmittedFraction > 0 && r.AdmittedFraction <= 1) {
		t.Errorf("request out of bounds: got %+v", r)
	}
}
