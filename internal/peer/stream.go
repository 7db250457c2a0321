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

// Limits of the streams that a session keeps open for further calls. Opening a stream for each call would cost
// three more small writes, counted over both sides.
const (
	maxIdleStreams    = 64
	idleStreamTimeout = 10 * time.Second // an idle stream is closed after this time
	// servedStreamTimeout bounds the wait for the next call on the called side. It is longer than
	// idleStreamTimeout, so that the caller closes the stream first: a call on a stream that the peer has
	// closed would have to be settled.
	servedStreamTimeout = time.Minute
	// maxReuseBody bounds the request and answer bodies on a stream that is reused. The peer retains the last
	// answer, and both sides hold buffers of its size, until the next call.
	maxReuseBody ident.Bytes = 16 << 10
)

// callStream is a stream that carries calls, one at a time.
type callStream struct {
	*yamux.Stream
	r *bufio.Reader
}

// acquireStream returns an idle stream or opens a new one.
func (s *session) acquireStream(now time.Time) (st *callStream, err error) {
	// While this process was paused, the peer may have closed a stream that was idle for longer.
	if st, ok := s.idleStreams.Take(now.Add(-idleStreamTimeout)); ok && !s.IsClosed() {
		return st, nil
	}
	y, err := s.OpenStream()
	if err != nil {
		return nil, err
	}
	return &callStream{Stream: y, r: wire.NewReader(y)}, nil
}

// release closes the stream and frees its reader.
func (st *callStream) release() {
	_ = st.Close()
	wire.FreeReader(st.r)
}

// reusable reports whether the stream of a call may carry another one.
func reusable(req *call.Request, ans *wirepb.Answer) bool {
	return ident.Bytes(len(req.Body)) <= maxReuseBody && ident.Bytes(len(ans.GetBody())) <= maxReuseBody
}

// closeServedStreams ends the peer's streams that have waited for a call since before the given time.
func (s *session) closeServedStreams(before time.Time) {
	s.servedStreams.Range(func(st, idle any) bool {
		if since := idle.(*atomic.Int64).Load(); since != 0 && since < before.UnixNano() {
			_ = st.(*yamux.Stream).SetReadDeadline(time.Unix(1, 0))
		}
		return true
	})
}

// closeIdleStreams closes the idle streams that were last used before the given time. It does so in the
// background, since closing writes to the connection.
func (s *session) closeIdleStreams(before time.Time) {
	old, _ := s.idleStreams.Trim(before)
	if len(old) == 0 {
		return
	}
	go func() { // bounded by the write timeout and the end of the session
		for _, st := range old {
			st.release()
		}
	}()
}
