package peer

import (
	"bytes"
	"context"
	"encoding/binary"
	"net"
	"slices"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"briarworks.example/briarworks/internal/closer"
	"briarworks.example/briarworks/internal/probe"
	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/reason"
)

// writeRecorder is a connection that records each write.
type writeRecorder struct {
	net.Conn
	writes [][]byte
}

func (r *writeRecorder) Write(p []byte) (int, error) {
	r.writes = append(r.writes, bytes.Clone(p))
	return len(p), nil
}

// frameHeader returns the header of a yamux frame of stream 1.
func frameHeader(kind, flags byte, length int) []byte {
	h := make([]byte, frameHeaderSize)
	h[1], h[3], h[7] = kind, flags, 1
	binary.BigEndian.PutUint32(h[8:], uint32(length))
	return h
}

// Guards against frames that are lost, reordered or left in the buffer although no other write follows, and against
// payloads that are mistaken for headers.
func TestTrackedConnWrite(t *testing.T) {
	const flagEnd = 4
	open, window, end := frameHeader(frameWindowUpdate, flagSYN, 0), frameHeader(frameWindowUpdate, 0, 100), frameHeader(frameWindowUpdate, flagEnd, 0)
	ping, empty := frameHeader(framePing, flagSYN, 7), frameHeader(frameData, 0, 0)
	short, long := bytes.Repeat([]byte("s"), 100), bytes.Repeat([]byte("l"), maxCoalescedPayload+1)
	tests := map[string]struct {
		in   [][]byte
		want []int // sizes of the writes
	}{
		"header and payload":         {[][]byte{frameHeader(frameData, 0, 100), short}, []int{112}},
		"new stream":                 {[][]byte{open, frameHeader(frameData, 0, 100), short}, []int{124}},
		"two new streams":            {[][]byte{open, open, frameHeader(frameData, 0, 100), short, frameHeader(frameData, 0, 100), short}, []int{136, 112}},
		"long payload is not copied": {[][]byte{open, frameHeader(frameData, 0, len(long)), long}, []int{24, len(long)}},
		"window goes at once":        {[][]byte{window}, []int{12}},
		"end goes at once":           {[][]byte{end}, []int{12}},
		"ping goes at once":          {[][]byte{ping}, []int{12}},
		"end after an opened stream": {[][]byte{open, end}, []int{24}},
		"data frame without payload": {[][]byte{empty, window}, []int{12, 12}},
		"payload like an opening":    {[][]byte{frameHeader(frameData, 0, 12), open, window}, []int{24, 12}},
		"payload like a header":      {[][]byte{frameHeader(frameData, 0, 12), frameHeader(frameData, 0, 9), window}, []int{24, 12}},
		"what is held is bounded":    {slices.Concat(slices.Repeat([][]byte{open}, 400), [][]byte{window}), []int{4116, 696}},
	}
	for name, test := range tests {
		t.Run(name, func(t *testing.T) {
			r := &writeRecorder{}
			w := &trackedConn{Conn: &closer.Conn{Conn: r}, now: time.Now, session: &session{}}
			for _, p := range test.in {
				if n, err := w.Write(p); n != len(p) || err != nil {
					t.Fatalf("write: got %d, %v, want %d", n, err, len(p))
				}
			}
			var sizes []int
			for _, p := range r.writes {
				sizes = append(sizes, len(p))
			}
			if !slices.Equal(sizes, test.want) {
				t.Errorf("writes: got %v, want %v", sizes, test.want)
			}
			if got, want := slices.Concat(r.writes...), slices.Concat(test.in...); !bytes.Equal(got, want) {
				t.Errorf("bytes: got %d, want the %d that were written, in order", len(got), len(want))
			}
		})
	}
}

// Guards against a connection that counts as silent while its ping is queued behind large messages, and against a
// silent one that is not detected because this side keeps writing.
func TestSessionCheck(t *testing.T) {
	ms := func(n int) int64 { return time.Unix(1000, 0).Add(time.Duration(n) * time.Millisecond).UnixNano() }
	tests := map[string]struct {
		calls, last, pinged, pingOut, wrote int // times in ms; pinged 0: no ping
		want                                liveness
	}{
		"call outstanding, heard of lately":    {calls: 1, last: 9800, want: alive},
		"call outstanding, quiet":              {calls: 1, last: 9600, want: pingDue},
		"idle, quiet":                          {last: 5100, want: alive},
		"idle, quiet for long":                 {last: 4900, want: pingDue},
		"ping answered":                        {calls: 1, last: 8600, pinged: 8500, pingOut: 8500, want: alive},
		"ping not answered yet":                {calls: 1, last: 8000, pinged: 9100, pingOut: 9100, want: alive},
		"ping not answered, writes go on":      {calls: 1, last: 8000, pinged: 8900, pingOut: 8900, wrote: 9990, want: silent},
		"ping left late":                       {calls: 1, last: 5000, pinged: 6000, pingOut: 9100, wrote: 9100, want: alive},
		"ping queued, writes go on":            {calls: 1, last: 5000, pinged: 6000, pingOut: 1000, wrote: 9100, want: alive},
		"ping queued, nothing is written":      {calls: 1, last: 5000, pinged: 6000, pingOut: 1000, wrote: 8900, want: silent},
		"ping queued, nothing written since":   {calls: 1, last: 5000, pinged: 8900, pingOut: 1000, wrote: 5000, want: silent},
		"ping answered after a long time only": {calls: 1, last: 9990, pinged: 6000, pingOut: 6000, want: alive},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			s := &session{}
			s.outstanding.Store(int64(tt.calls))
			s.lastRead.Store(ms(tt.last))
			s.lastWrite.Store(ms(tt.wrote))
			s.lastPingWrite.Store(ms(tt.pingOut))
			if tt.pinged > 0 {
				s.pendingPing.Store(ms(tt.pinged))
			}
			if got := s.check(time.Unix(1010, 0)); got != tt.want {
				t.Errorf("liveness: got %v, want %v", got, tt.want)
			}
		})
	}
}

// Guards against a version of yamux with another frame layout, which would undo the combination of writes, and against
// bodies that are mixed up by reused buffers and goroutines.
func TestConcurrentCalls(t *testing.T) {
	const calls = 100
	p := newPair(t, func(_ context.Context, req *call.Request) call.Result {
		return call.Result{Outcome: reason.Ran, Status: 200, Body: req.Body, AdmittedFraction: 1}
	})
	var writes atomic.Int64
	dial := p.caller.Dial
	p.caller.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
		c, err := dial(ctx, addr)
		return probe.CountingConn{Conn: c, Writes: &writes}, err
	}
	p.connect(t)
	var wg sync.WaitGroup
	for i := range calls {
		wg.Go(func() {
			req := newRequest(hangTimeout)
			req.Body = bytes.Repeat([]byte{byte(i)}, i*i*80) // up to 784 KB
			res := p.caller.Call(t.Context(), p.calledAddr(), req)
			if res.Outcome != reason.Ran || !bytes.Equal(res.Body, req.Body) {
				t.Errorf("call %d: got %v, %d bytes, want an answer of its %d bytes", i, res.Reason, len(res.Body), len(req.Body))
			}
		})
	}
	wg.Wait()
	before := writes.Load()
	for range calls {
		if res := p.caller.Call(t.Context(), p.calledAddr(), newRequest(hangTimeout)); res.Outcome != reason.Ran {
			t.Fatalf("call: got %v, want an answer", res.Reason)
		}
	}
	// One write for each call, and some for pings.
	if got, want := writes.Load()-before, int64(calls+calls/10); got > want {
		t.Errorf("writes of %d calls: got %d, want at most %d", calls, got, want)
	}
}
