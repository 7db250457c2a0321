package peer

import (
	"bufio"
	"sync"
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
	r    *bufio.Reader
	used time.Time // end of the last call
}

// stream returns a kept stream or a new one.
func (s *session) stream(now time.Time) (st *stream, err error) {
	if st = s.kept.take(now.Add(-keepStream)); st != nil && !s.IsClosed() {
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

// kept holds the streams of a session that wait for the next call, the one used last at the end. Calls
// take that one, so that those in excess grow old and are closed.
type kept struct {
	mu   sync.Mutex
	list []*stream
}

// take returns the stream that was used last, unless that was before a time: after a pause of this process
// the peer may have ended it.
func (k *kept) take(before time.Time) (st *stream) {
	k.mu.Lock()
	defer k.mu.Unlock()
	if n := len(k.list) - 1; n >= 0 && !k.list[n].used.Before(before) {
		st, k.list[n] = k.list[n], nil
		k.list = k.list[:n]
	}
	return st
}

// put reports false when enough streams are kept.
func (k *kept) put(st *stream, now time.Time) bool {
	st.used = now
	k.mu.Lock()
	defer k.mu.Unlock()
	if len(k.list) >= maxKeptStreams {
		return false
	}
	k.list = append(k.list, st)
	return true
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

// trim closes the streams that were last used before a time, in the background since it writes.
func (k *kept) trim(before time.Time) {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := 0
	for n < len(k.list) && k.list[n].used.Before(before) {
		n++
	}
	if n == 0 {
		return
	}
	old := append([]*stream(nil), k.list[:n]...)
	rest := copy(k.list, k.list[n:])
	clear(k.list[rest:])
	k.list = k.list[:rest]
	go func() { // ends by the write timeout or the end of the session
		for _, st := range old {
			st.end()
		}
	}()
}
