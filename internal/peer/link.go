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

	"briarworks.example/briarworks/internal/idle"
	"briarworks.example/briarworks/internal/wire"
	"briarworks.example/briarworks/internal/wire/wirepb"
	"briarworks.example/briarworks/pkg/delay"
	"briarworks.example/briarworks/pkg/ident"
)

// Time limits of a connection.
const (
	dialWait     = time.Second            // a caller waits for a dial until it is this old, then tries elsewhere
	dialLimit    = 5 * time.Second        // a dial goes on for later callers, else a peer that is slow to answer would never be connected
	quietLimit   = 500 * time.Millisecond // a call outstanding, nothing received: ping
	idleLimit    = 5 * time.Second        // nothing outstanding, nothing received: ping
	pingLimit    = time.Second            // a ping unanswered for longer: the connection is silent
	scanPeriod   = 100 * time.Millisecond // how often connections are looked at
	pausedLimit  = 500 * time.Millisecond // a longer gap between scans means that this process was paused
	writeTimeout = 30 * time.Second       // a frame waits longer behind others: only a peer that answers pings but does not read
)

// errVersion reports a peer that speaks another protocol version.
var errVersion = errors.New("peer: protocol version differs")

// watched stamps the times of reads and writes, which are what silence is judged by, and joins the
// writes of one message.
type watched struct {
	net.Conn
	now     func() time.Time
	s       *session
	held    []byte // not written yet; belongs to the one goroutine in which yamux writes
	payload bool   // the next write is the payload of the frame whose header is held
}

// The header of a yamux frame: version, type, flags (2 bytes), stream (4 bytes), length (4 bytes).
const (
	frameHeader = 12
	frameData   = 0 // type of a frame that its payload follows
	frameWindow = 1 // type of a frame that opens, widens or ends a stream
	framePing   = 2 // type of a ping and of its answer
	flagOpen    = 1 // flag in the first frame of a stream and in a ping, in the low byte
)

// maxJoined bounds the payload that is copied behind what is held; a larger one is written from where it is.
const maxJoined = 4096

// Write writes to the connection. Yamux writes the header of a frame and its payload apart, and a
// message on a new stream comes after a frame that opens the stream. Another write follows both at once:
// they wait for it, so that a message takes one system call.
func (c *watched) Write(p []byte) (n int, err error) {
	ping := !c.payload && len(p) == frameHeader && p[1] == framePing && p[3]&flagOpen != 0
	if c.waits(p) {
		c.held = append(c.held, p...)
		return len(p), nil
	}
	if n, err = c.flush(p); err != nil {
		return n, err
	}
	now := c.now().UnixNano()
	c.s.wrote.Store(now)
	if ping {
		c.s.pingOut.Store(now)
	}
	return n, nil
}

// flush writes what is held and p.
func (c *watched) flush(p []byte) (n int, err error) {
	if len(c.held) == 0 {
		return c.Conn.Write(p)
	}
	defer func() { c.held = c.held[:0] }()
	if len(p) <= maxJoined {
		c.held = append(c.held, p...)
		_, err = c.Conn.Write(c.held)
	} else {
		bufs := net.Buffers{c.held, p}
		_, err = bufs.WriteTo(c.Conn)
	}
	if err != nil {
		return 0, err
	}
	return len(p), nil
}

// waits reports whether p is a header that another write follows at once.
func (c *watched) waits(p []byte) bool {
	if c.payload || len(p) != frameHeader {
		c.payload = false
		return false
	}
	c.payload = p[1] == frameData && binary.BigEndian.Uint32(p[8:]) > 0
	return c.payload || (p[1] == frameWindow && p[3]&flagOpen != 0 && len(c.held) <= maxJoined)
}

// Read reads from the connection and stamps the time when something arrived.
func (c *watched) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	if n > 0 {
		c.s.last.Store(c.now().UnixNano())
	}
	return n, err
}

// identity is who a peer said it is.
type identity struct {
	server      ident.Server
	incarnation ident.Incarnation
	version     wire.Version // that both sides speak
}

// name returns who the peer said it is; the server is empty before its Hello.
func (s *session) name() (ident.Server, ident.Incarnation) {
	if w := s.who.Load(); w != nil {
		return w.server, w.incarnation
	}
	return "", 0
}

// keeps reports whether a stream carries one call after the other.
func (s *session) keeps() bool {
	w := s.who.Load()
	return w != nil && w.version >= wire.KeptStreams
}

// same reports whether both sessions are with the same incarnation.
func (s *session) same(t *session) bool {
	_, a := s.name()
	_, b := t.name()
	return a == b
}

// session is one yamux session with what is needed to judge it.
type session struct {
	*yamux.Session
	who         atomic.Pointer[identity] // what the peer said in Hello; nil before
	last        atomic.Int64             // time of the last read, ns
	wrote       atomic.Int64             // time of the last write that ended, ns
	pinged      atomic.Int64             // time of the ping that is not answered yet, ns; 0 when none
	pingOut     atomic.Int64             // time when a ping was last written, ns
	outstanding atomic.Int64             // calls that wait for their answer
	since       atomic.Int64             // time when outstanding last became non-zero, ns
	silent      atomic.Bool              // closed because it was silent
	kept        idle.List[*stream]       // streams that wait for the next call
	served      sync.Map                 // *yamux.Stream of the peer -> *atomic.Int64, since when it waits for a call, ns; 0 when it does not
	meter       delay.Meter              // of what the peer sends
	short       bool                     // opened for one exchange; its end is no loss of the peer
}

func newSession(conn net.Conn, client bool, now func() time.Time) (s *session, err error) {
	s = &session{kept: idle.List[*stream]{Max: maxKeptStreams}}
	s.last.Store(now().UnixNano())
	cfg := yamux.DefaultConfig()
	cfg.EnableKeepAlive = false // silence is judged here, with limits that follow the calls
	cfg.ConnectionWriteTimeout = writeTimeout
	cfg.StreamOpenTimeout = 0
	cfg.StreamCloseTimeout = writeTimeout
	cfg.MaxStreamWindowSize = 1 << 20
	cfg.LogOutput = discard{}
	w := &watched{Conn: conn, now: now, s: s}
	if client {
		s.Session, err = yamux.Client(w, cfg)
	} else {
		s.Session, err = yamux.Server(w, cfg)
	}
	return s, err
}

type discard struct{}

func (discard) Write(p []byte) (int, error) { return len(p), nil }

// begin counts a call that waits for its answer.
func (s *session) begin(now time.Time) {
	if s.outstanding.Add(1) == 1 {
		s.since.Store(now.UnixNano())
	}
}

func (s *session) end() { s.outstanding.Add(-1) }

// verdict of looking at a session.
type verdict uint8

const (
	fine verdict = iota
	pingDue
	isSilent
)

// judge decides what to do with the session at now.
func (s *session) judge(now time.Time) verdict {
	last := s.last.Load()
	if pinged := s.pinged.Load(); pinged != 0 {
		if last >= pinged {
			s.pinged.Store(0)
			return fine
		}
		if now.UnixNano()-s.asked(pinged) > int64(pingLimit) {
			return isSilent
		}
		return fine
	}
	limit := idleLimit
	if s.outstanding.Load() > 0 {
		limit = quietLimit
		last = max(last, s.since.Load())
	}
	if now.UnixNano()-last > int64(limit) {
		return pingDue
	}
	return fine
}

// asked returns the time from which a ping that was due at pinged waits for its answer. While it is queued
// behind other frames and these are still written, the peer cannot have seen it.
func (s *session) asked(pinged int64) int64 {
	if out := s.pingOut.Load(); out >= pinged {
		return out
	}
	return max(pinged, s.wrote.Load())
}

// ping sends a ping in the background; the answer is seen as a read.
func (s *session) ping(now time.Time) {
	s.pinged.Store(now.UnixNano())
	go func() { _, _ = s.Ping() }() // ends by the answer, the write timeout or the close
}

// Link is the outgoing connection to one peer; it is dialled when it is first needed.
type Link struct {
	addr   ident.Address
	cur    atomic.Pointer[session]
	miss   atomic.Int64 // time of the last dial that failed or took too long, ns; 0 after one that succeeded
	calls  atomic.Int64 // calls that use the link or settle over it
	mu     sync.Mutex   // guards newest and the replacement of cur
	newest *dialing     // the dial that callers wait for; nil when none is under way
}

// dialing is a dial under way. It serves all who wait and belongs to none of them, so that a caller who
// gives up does not end it for the others.
type dialing struct {
	start time.Time
	done  chan struct{} // closed when the dial has ended; s and err are set before
	s     *session
	err   error
}

// errSlow reports a dial that a caller does not wait for any longer.
var errSlow = errors.New("peer: dial takes too long")

// session returns the live session. If there is none it waits for a dial until ctx ends or the dial is
// too old.
func (l *Link) session(ctx context.Context, b *Book) (s *session, err error) {
	if s = l.live(); s != nil {
		return s, nil
	}
	d, err := l.join(b)
	if err != nil {
		return nil, err
	}
	t := time.NewTimer(d.start.Add(dialWait).Sub(b.Now()))
	defer t.Stop()
	select {
	case <-d.done:
		return d.s, d.err
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-t.C:
		l.miss.Store(b.Now().UnixNano())
		return nil, errSlow
	}
}

// join returns the dial under way, or starts one when there is none that a caller may still wait for.
// An older one goes on: its connection may be slow, or lost for good while a new one works.
func (l *Link) join(b *Book) (d *dialing, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := b.Now()
	if s := l.live(); s != nil {
		d = &dialing{start: now, done: make(chan struct{}), s: s}
		close(d.done)
		return d, nil
	}
	if d = l.newest; d != nil && now.Sub(d.start) < dialWait {
		return d, nil
	}
	ctx, err := b.enter()
	if err != nil {
		return nil, err
	}
	d = &dialing{start: now, done: make(chan struct{})}
	l.newest = d
	go l.dial(ctx, b, d)
	return d, nil
}

// dial runs one dial to its end. Of several that succeed the first one's session is used.
func (l *Link) dial(ctx context.Context, b *Book, d *dialing) {
	defer b.wg.Done()
	ctx, cancel := context.WithTimeout(ctx, dialLimit)
	defer cancel()
	s, err := b.dial(ctx, l.addr)
	l.mu.Lock()
	defer l.mu.Unlock()
	live := l.live()
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
		l.miss.Store(0)
		l.cur.Store(s)
	default:
		l.miss.Store(b.Now().UnixNano())
	}
	if l.newest == d {
		l.newest = nil
	}
	d.s, d.err = s, err
	close(d.done)
}

// unreachableFor is how long an address counts as unreachable after a dial that failed.
const unreachableFor = 2 * time.Second

// Unreachable reports whether a dial to the address failed or took too long just now.
func (b *Book) Unreachable(addr ident.Address, now time.Time) bool {
	l, ok := b.links.Load(addr)
	if !ok {
		return false
	}
	miss := l.(*Link).miss.Load()
	return miss != 0 && l.(*Link).live() == nil && now.UnixNano()-miss < int64(unreachableFor)
}

// Connected reports whether a session to the address is open. If there is none, a dial is started unless
// one failed just now.
func (b *Book) Connected(addr ident.Address) bool {
	l := b.Link(addr)
	if l.live() != nil {
		return true
	}
	if miss := l.miss.Load(); miss == 0 || b.Now().UnixNano()-miss > int64(dialAgain) {
		_, _ = l.join(b)
	}
	return false
}

// dialAgain is the time after a failed dial in which Connected starts no other.
const dialAgain = 500 * time.Millisecond

// unused reports whether nothing of the link is in use: no session, no dial, no call.
func (l *Link) unused() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.live() == nil && l.newest == nil && l.calls.Load() == 0
}

func (l *Link) live() *session {
	if s := l.cur.Load(); s != nil && !s.IsClosed() {
		return s
	}
	return nil
}

// dial connects and says Hello.
func (b *Book) dial(ctx context.Context, addr ident.Address) (s *session, err error) {
	return b.dialAs(ctx, addr, b.hello(), false)
}

// dialAs connects with a Hello. That of a short session names no server, so that the peer does not take
// its end for the loss of this node.
func (b *Book) dialAs(ctx context.Context, addr ident.Address, hello *wirepb.Hello, short bool) (s *session, err error) {
	defer func() { err = oops.With("address", string(addr)).Wrapf(err, "peer: dial") }()
	conn, err := b.Dial(ctx, string(addr))
	if err != nil {
		return nil, err
	}
	if s, err = newSession(conn, true, b.Now); err != nil {
		_ = conn.Close()
		return nil, err
	}
	s.short = short
	if err = b.greet(ctx, s, hello); err != nil {
		_ = s.Close()
		return nil, err
	}
	return s, nil
}

// greet exchanges Hello and learns who answers.
func (b *Book) greet(ctx context.Context, s *session, hello *wirepb.Hello) (err error) {
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
	s.who.Store(b.identify(h))
	return nil
}

// refused tells whether nobody listens at the address, which means that the process is gone.
func refused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
