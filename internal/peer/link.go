package peer

import (
	"context"
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/hashicorp/yamux"
	"github.com/samber/oops"

	"briarworks.example/briarworks/internal/spare"
	"briarworks.example/briarworks/internal/wire"
	"briarworks.example/briarworks/internal/wire/wirepb"
	"briarworks.example/briarworks/pkg/delay"
	"briarworks.example/briarworks/pkg/ident"
)

// Time limits of a connection.
const (
	dialWaitTimeout = time.Second            // a caller stops waiting for a dial of this age and tries another server
	dialTimeout     = 5 * time.Second        // a dial goes on for later callers, so that a slow peer can be connected at all
	activePingDelay = 500 * time.Millisecond // time without a read, with calls outstanding, after which a ping is sent
	idlePingDelay   = 5 * time.Second        // the same with no calls outstanding
	pingTimeout     = time.Second            // a connection whose ping is unanswered for longer is closed as silent
	scanInterval    = 100 * time.Millisecond // time between two checks of the sessions
	pauseThreshold  = 500 * time.Millisecond // a longer time between two checks means that this process was paused
	writeTimeout    = 30 * time.Second       // only a peer that answers pings but does not read holds up a frame for longer
)

// errVersion reports a peer that speaks another protocol version.
var errVersion = errors.New("peer: protocol version differs")

// trackedConn records the times of reads and writes, from which a silent connection is detected, and combines the
// writes of one message into a single system call.
type trackedConn struct {
	net.Conn
	now         func() time.Time
	session     *session
	buffered    []byte // not written yet; used only by the goroutine in which yamux writes
	payloadNext bool   // the next write is the payload of the frame whose header is buffered
}

// Layout of the header of a yamux frame: version, type, flags (2 bytes), stream id (4 bytes), length (4 bytes).
const (
	frameHeaderSize   = 12
	frameData         = 0 // type of a frame that carries a payload
	frameWindowUpdate = 1 // type of a frame that opens a stream, enlarges its window or closes it
	framePing         = 2 // type of a ping and of its answer
	flagSYN           = 1 // low byte of the flags in the first frame of a stream and in a ping
)

// maxCoalescedPayload bounds the payload that is copied into the buffer; a larger one is written without a copy.
const maxCoalescedPayload = 4096

// Write writes p to the connection, or buffers it if it is a header that another write follows at once. Yamux
// writes the header and the payload of a frame separately, and sends a frame that opens the stream before the
// first message on it. Buffering these headers lets a message take one system call.
func (c *trackedConn) Write(p []byte) (n int, err error) {
	ping := !c.payloadNext && len(p) == frameHeaderSize && p[1] == framePing && p[3]&flagSYN != 0
	if c.shouldBuffer(p) {
		c.buffered = append(c.buffered, p...)
		return len(p), nil
	}
	if n, err = c.flush(p); err != nil {
		return n, err
	}
	now := c.now().UnixNano()
	c.session.lastWrite.Store(now)
	if ping {
		c.session.lastPingWrite.Store(now)
	}
	return n, nil
}

// flush writes the buffered bytes and p.
func (c *trackedConn) flush(p []byte) (n int, err error) {
	if len(c.buffered) == 0 {
		return c.Conn.Write(p)
	}
	defer func() { c.buffered = c.buffered[:0] }()
	if len(p) <= maxCoalescedPayload {
		c.buffered = append(c.buffered, p...)
		_, err = c.Conn.Write(c.buffered)
	} else {
		bufs := net.Buffers{c.buffered, p}
		_, err = bufs.WriteTo(c.Conn)
	}
	if err != nil {
		return 0, err
	}
	return len(p), nil
}

// shouldBuffer reports whether p is a header that another write follows at once.
func (c *trackedConn) shouldBuffer(p []byte) bool {
	if c.payloadNext || len(p) != frameHeaderSize {
		c.payloadNext = false
		return false
	}
	c.payloadNext = p[1] == frameData && binary.BigEndian.Uint32(p[8:]) > 0
	return c.payloadNext || (p[1] == frameWindowUpdate && p[3]&flagSYN != 0 && len(c.buffered) <= maxCoalescedPayload)
}

// Read reads from the connection and records the time if data arrived.
func (c *trackedConn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	if n > 0 {
		c.session.lastRead.Store(c.now().UnixNano())
	}
	return n, err
}

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
	return w != nil && w.version >= wire.KeptStreams
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
	identity         atomic.Pointer[identity] // from the peer's Hello; nil before
	lastRead         atomic.Int64             // time of the last read, ns
	lastWrite        atomic.Int64             // time of the last completed write, ns
	pendingPing      atomic.Int64             // time when the unanswered ping was queued, ns; 0 when there is none
	lastPingWrite    atomic.Int64             // time when a ping was last written, ns
	outstanding      atomic.Int64             // number of calls that wait for their answer
	outstandingSince atomic.Int64             // time when outstanding last became non-zero, ns
	silent           atomic.Bool              // closed because it was silent
	idleStreams      spare.List[*callStream]  // open streams without a call
	servedStreams    sync.Map                 // *yamux.Stream of the peer -> *atomic.Int64: time since which it waits for a call, ns; 0 during a call
	delays           delay.Meter              // delays of the peer's messages
	oneShot          bool                     // opened for one exchange; its end does not mean that the peer is lost
}

func newSession(conn net.Conn, client bool, now func() time.Time) (s *session, err error) {
	s = &session{idleStreams: spare.List[*callStream]{Max: maxIdleStreams}}
	s.lastRead.Store(now().UnixNano())
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false // silent connections are detected by check, with delays that depend on the outstanding calls
	cfg.ConnectionWriteTimeout = writeTimeout
	cfg.StreamOpenTimeout = 0
	cfg.StreamCloseTimeout = writeTimeout
	cfg.MaxStreamWindowSize = 1 << 20
	cfg.LogOutput = discard{}
	w := &trackedConn{Conn: conn, now: now, session: s}
	if client {
		s.Session, err = yamux.Client(w, cfg)
	} else {
		s.Session, err = yamux.Server(w, cfg)
	}
	return s, err
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

// Link is the outgoing connection to one peer address; it is dialled on first use.
type Link struct {
	addr            ident.Address
	current         atomic.Pointer[session]
	lastDialFailure atomic.Int64 // time of the last dial that failed or took too long, ns; 0 after one that succeeded
	activeCalls     atomic.Int64 // number of calls that use the link or are being settled over it
	mu              sync.Mutex   // guards pending and the replacement of current
	pending         *pendingDial // the latest dial in progress; nil when there is none
}

// pendingDial is a dial in progress. All waiting callers share it and none owns it, so that a caller that gives up
// does not cancel it for the others.
type pendingDial struct {
	startedAt time.Time
	done      chan struct{} // closed when the dial has ended; session and err are set before
	session   *session
	err       error
}

// errDialWait reports a dial that did not end within dialWaitTimeout.
var errDialWait = errors.New("peer: timed out waiting for the dial")

// session returns the live session. If there is none, it waits for a dial until ctx ends or the dial has taken
// longer than dialWaitTimeout.
func (l *Link) session(ctx context.Context, b *Book) (s *session, err error) {
	if s = l.liveSession(); s != nil {
		return s, nil
	}
	d, err := l.joinDial(b)
	if err != nil {
		return nil, err
	}
	t := time.NewTimer(d.startedAt.Add(dialWaitTimeout).Sub(b.Now()))
	defer t.Stop()
	select {
	case <-d.done:
		return d.session, d.err
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-t.C:
		l.lastDialFailure.Store(b.Now().UnixNano())
		return nil, errDialWait
	}
}

// joinDial returns the dial in progress, or starts another one if there is none younger than dialWaitTimeout. An
// older dial goes on: its connection may be merely slow, or it may hang while a new one succeeds.
func (l *Link) joinDial(b *Book) (d *pendingDial, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := b.Now()
	if s := l.liveSession(); s != nil {
		d = &pendingDial{startedAt: now, done: make(chan struct{}), session: s}
		close(d.done)
		return d, nil
	}
	if d = l.pending; d != nil && now.Sub(d.startedAt) < dialWaitTimeout {
		return d, nil
	}
	ctx, err := b.enter()
	if err != nil {
		return nil, err
	}
	d = &pendingDial{startedAt: now, done: make(chan struct{})}
	l.pending = d
	go l.dial(ctx, b, d)
	return d, nil
}

// dial runs one dial to its end. If several succeed, the session of the first is used.
func (l *Link) dial(ctx context.Context, b *Book, d *pendingDial) {
	defer b.wg.Done()
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	s, err := b.dial(ctx, l.addr)
	l.mu.Lock()
	defer l.mu.Unlock()
	live := l.liveSession()
	switch {
	case live != nil:
		if s != nil {
			_ = s.Close()
		}
		s, err = live, nil
	case err == nil:
		if err = b.adopt(s); err != nil {
			_ = s.Close()
			break
		}
		b.Event(EventDialed)
		l.lastDialFailure.Store(0)
		l.current.Store(s)
	default:
		l.lastDialFailure.Store(b.Now().UnixNano())
	}
	if l.pending == d {
		l.pending = nil
	}
	d.session, d.err = s, err
	close(d.done)
}

// unreachablePeriod is the time for which an address counts as unreachable after a failed dial.
const unreachablePeriod = 2 * time.Second

// Unreachable reports whether a dial to the address recently failed or took too long.
func (b *Book) Unreachable(addr ident.Address, now time.Time) bool {
	l, ok := b.links.Load(addr)
	if !ok {
		return false
	}
	miss := l.(*Link).lastDialFailure.Load()
	return miss != 0 && l.(*Link).liveSession() == nil && now.UnixNano()-miss < int64(unreachablePeriod)
}

// Connected reports whether a session to the address is open. If there is none, it starts a dial in the background
// unless one failed recently.
func (b *Book) Connected(addr ident.Address) bool {
	l := b.Link(addr)
	if l.liveSession() != nil {
		return true
	}
	if miss := l.lastDialFailure.Load(); miss == 0 || b.Now().UnixNano()-miss > int64(redialDelay) {
		_, _ = l.joinDial(b)
	}
	return false
}

// redialDelay is the time after a failed dial during which Connected starts no other.
const redialDelay = 500 * time.Millisecond

// idle reports whether the link has no session, no dial in progress and no call.
func (l *Link) idle() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.liveSession() == nil && l.pending == nil && l.activeCalls.Load() == 0
}

// liveSession returns the session if it is open, and nil otherwise.
func (l *Link) liveSession() *session {
	if s := l.current.Load(); s != nil && !s.IsClosed() {
		return s
	}
	return nil
}

// dial connects to addr and performs the handshake.
func (b *Book) dial(ctx context.Context, addr ident.Address) (s *session, err error) {
	return b.dialWithHello(ctx, addr, b.hello(), false)
}

// dialWithHello connects to addr and performs the handshake with the given Hello. That of a one-shot session names
// no server, so that the peer does not treat the end of the session as the loss of this node.
func (b *Book) dialWithHello(ctx context.Context, addr ident.Address, hello *wirepb.Hello, oneShot bool) (s *session, err error) {
	defer func() { err = oops.With("address", string(addr)).Wrapf(err, "peer: dial") }()
	conn, err := b.Dial(ctx, string(addr))
	if err != nil {
		return nil, err
	}
	if s, err = newSession(conn, true, b.Now); err != nil {
		_ = conn.Close()
		return nil, err
	}
	s.oneShot = oneShot
	if err = b.handshake(ctx, s, hello); err != nil {
		_ = s.Close()
		return nil, err
	}
	return s, nil
}

// handshake exchanges Hello messages and stores the identity of the peer.
func (b *Book) handshake(ctx context.Context, s *session, hello *wirepb.Hello) (err error) {
	st, err := s.OpenStream()
	if err != nil {
		return err
	}
	defer func() { _ = st.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = st.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	reply, err := wire.Exchange(st, &wirepb.Envelope{Body: &wirepb.Envelope_Hello{Hello: hello}})
	if err != nil {
		return err
	}
	h := reply.GetHello()
	if wire.Version(h.GetProtocol()) != wire.Protocol {
		b.refuse(s, EventVersion, fmt.Sprintf("protocol %d of server %q", h.GetProtocol(), h.GetServer()))
		return errVersion
	}
	s.identity.Store(b.identify(h))
	return nil
}

// isConnectionRefused reports whether no process listens at the address.
func isConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
