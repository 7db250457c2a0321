package peer

import (
	"bufio"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"briarworks.example/briarworks/internal/wire"
	"briarworks.example/briarworks/internal/wire/wirepb"
	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/ident"
)

// Bounds of the streams that a session keeps for further calls. A new stream for each call costs three
// small writes more, on both sides together.
const (
	maxKeptStreams = 64
	keepStream     = 10 * time.Second // a stream that was not used for longer is closed
	// maxStreamIdle bounds the wait for the next call on the called side. It is longer than keepStream, so
	// that the caller ends the stream first: a call on a stream that the peer has ended has to be settled.
	maxStreamIdle = time.Minute
	// maxKeptBody bounds the bodies on a stream that is kept. The peer holds the last answer, and both
	// sides hold buffers of its size, until the next call.
	maxKeptBody ident.Bytes = 16 << 10
)

// stream is a stream for calls, one at a time.
type stream struct {
	*yamux.Stream
	r *bufio.Reader
}

// stream returns a kept stream or a new one.
func (s *session) stream(now time.Time) (st *stream, err error) {
	// One that was kept for longer, through a pause of this process, the peer may have ended.
	if st, ok := s.kept.Take(now.Add(-keepStream)); ok && !s.IsClosed() {
		return st, nil
	}
	y, err := s.OpenStream()
	if err != nil {
		return nil, err
	}
	return &stream{Stream: y, r: wire.NewReader(y)}, nil
}

// end closes the stream.
func (st *stream) end() {
	_ = st.Close()
	wire.FreeReader(st.r)
}

// keepable reports whether the stream of a call may carry another one.
func keepable(req *call.Request, ans *wirepb.Answer) bool {
	return ident.Bytes(len(req.Body)) <= maxKeptBody && ident.Bytes(len(ans.GetBody())) <= maxKeptBody
}

// endIdle ends the streams of the peer that wait for a call since before a time.
func (s *session) endIdle(before time.Time) {
	s.served.Range(func(st, idle any) bool {
		if since := idle.(*atomic.Int64).Load(); since != 0 && since < before.UnixNano() {
			_ = st.(*yamux.Stream).SetReadDeadline(time.Unix(1, 0))
		}
		return true
	})
}

// trim closes the kept streams that were last used before a time, in the background since it writes.
func (s *session) trim(before time.Time) {
	old, _ := s.kept.Trim(before)
	if len(old) == 0 {
		return
	}
	go func() { // ends by the write timeout or the end of the session
		for _, st := range old {
			st.end()
		}
	}()
}
