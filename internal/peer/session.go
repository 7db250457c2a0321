package peer

import (
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"briarworks.example/briarworks/internal/closer"
	"briarworks.example/briarworks/internal/idle"
	"briarworks.example/briarworks/internal/wire"
	"briarworks.example/briarworks/pkg/delay"
	"briarworks.example/briarworks/pkg/ident"
)

// identity is what a peer reported about itself in its Hello.
type identity struct {
	server      ident.Server
	incarnation ident.Incarnation
	version     wire.Version // highest version that both sides speak
}

// peer returns the server and the incarnation of the peer; the server is empty before its Hello.
func (s *session) peer() (ident.Server, ident.Incarnation) {
	if w := s.identity.Load(); w != nil {
		return w.server, w.incarnation
	}
	return "", 0
}

// reusesStreams reports whether both sides can send several calls in turn on one stream.
func (s *session) reusesStreams() bool {
	w := s.identity.Load()
	return w != nil && w.version >= wire.StreamReuseVersion
}

// sameIncarnation reports whether both sessions are with the same incarnation of a peer.
func (s *session) sameIncarnation(t *session) bool {
	_, a := s.peer()
	_, b := t.peer()
	return a == b
}

// session is a yamux session to one peer, with the state from which a silent connection is detected.
type session struct {
	*yamux.Session
	conn             *trackedConn
	identity         atomic.Pointer[identity] // from the peer's Hello; nil before
	lastRead         atomic.Int64             // time of the last read, ns
	lastWrite        atomic.Int64             // time of the last completed write, ns
	pendingPing      atomic.Int64             // time when the unanswered ping was queued, ns; 0 when there is none
	lastPingWrite    atomic.Int64             // time when a ping was last written, ns
	outstanding      atomic.Int64             // number of calls that wait for their answer
	outstandingSince atomic.Int64             // time when outstanding last became non-zero, ns
	silent           atomic.Bool              // closed because it was silent
	idleStreams      idle.List[*callStream]   // open streams without a call
	servedStreams    sync.Map                 // *yamux.Stream of the peer -> *atomic.Int64: time since which it waits for a call, ns; 0 during a call
	delays           delay.Meter              // delays of the peer's messages
	oneShot          bool                     // opened for one exchange; its end does not mean that the peer is lost
}

func newSession(conn net.Conn, client bool, now func() time.Time, cl *closer.Closer) (s *session, err error) {
	s = &session{idleStreams: idle.List[*callStream]{Max: maxIdleStreams}}
	s.lastRead.Store(now().UnixNano())
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false // silent connections are detected by check, with delays that depend on the outstanding calls
	cfg.ConnectionWriteTimeout = writeTimeout
	cfg.StreamOpenTimeout = 0
	cfg.StreamCloseTimeout = writeTimeout
	cfg.MaxStreamWindowSize = uint32(wire.StreamWindow)
	cfg.LogOutput = discard{}
	s.conn = &trackedConn{Conn: &closer.Conn{Conn: conn, Closer: cl}, now: now, session: s}
	if client {
		s.Session, err = yamux.Client(s.conn, cfg)
	} else {
		s.Session, err = yamux.Server(s.conn, cfg)
	}
	return s, err
}

// readEndTimeout bounds the wait for the goroutine that reads from a connection. It is late only if it waits for a write.
const readEndTimeout = 100 * time.Millisecond

// Close closes the session. It first ends the reads of the connection, which makes yamux close the session: while yamux itself
// waits for its reading goroutine, all streams of the session spin.
func (s *session) Close() error {
	s.conn.EndReads()
	t := time.NewTimer(readEndTimeout)
	defer t.Stop()
	select {
	case <-s.CloseChan():
	case <-t.C:
	}
	return s.Session.Close()
}

// discard drops the log output of yamux.
type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

// beginCall counts a call that waits for its answer.
func (s *session) beginCall(now time.Time) {
	if s.outstanding.Add(1) == 1 {
		s.outstandingSince.Store(now.UnixNano())
	}
}

// endCall undoes beginCall.
func (s *session) endCall() { s.outstanding.Add(-1) }

// liveness is the result of a check of a session.
type liveness uint8

const (
	alive liveness = iota
	pingDue
	silent
)

// check returns the liveness of the session at now.
func (s *session) check(now time.Time) liveness {
	lastRead := s.lastRead.Load()
	if queued := s.pendingPing.Load(); queued != 0 {
		if lastRead >= queued {
			s.pendingPing.Store(0)
			return alive
		}
		if now.UnixNano()-s.pingStart(queued) > int64(pingTimeout) {
			return silent
		}
		return alive
	}
	pingDelay := idlePingDelay
	if s.outstanding.Load() > 0 {
		pingDelay = activePingDelay
		lastRead = max(lastRead, s.outstandingSince.Load())
	}
	if now.UnixNano()-lastRead > int64(pingDelay) {
		return pingDue
	}
	return alive
}

// suspectDelay is the time without an answer to a ping after which a peer is avoided while others can be used. Links
// between nodes take a few milliseconds.
const suspectDelay = 100 * time.Millisecond

// suspect reports whether the peer has left a ping unanswered for suspectDelay.
func (s *session) suspect(now time.Time) bool {
	queued := s.pendingPing.Load()
	return queued != 0 && s.lastRead.Load() < queued && now.UnixNano()-s.pingStart(queued) > int64(suspectDelay)
}

// pingStart returns the time from which the timeout of the ping that was queued at queued counts. While the ping
// is queued behind frames that are still being written, the peer cannot have received it.
func (s *session) pingStart(queued int64) int64 {
	if written := s.lastPingWrite.Load(); written >= queued {
		return written
	}
	return max(queued, s.lastWrite.Load())
}

// ping sends a ping in the background; its answer is noticed as a read.
func (s *session) ping(now time.Time) {
	s.pendingPing.Store(now.UnixNano())
	go func() { _, _ = s.Ping() }() // bounded by the answer, the write timeout and the close
}
