package peer

import (
	"context"
	"errors"
	"fmt"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/samber/oops"

	"briarworks.example/briarworks/internal/guard"
	"briarworks.example/briarworks/internal/wire"
	"briarworks.example/briarworks/internal/wire/wirepb"
	"briarworks.example/briarworks/pkg/ident"
)

// Time limits of a connection.
const (
	dialWaitTimeout = time.Second            // a caller stops waiting for a dial of this age and tries another server
	dialTimeout     = 5 * time.Second        // a dial goes on for later callers, so that a slow peer can be connected at all
	activePingDelay = 300 * time.Millisecond // time without a read, with calls outstanding, after which a ping is sent
	idlePingDelay   = 5 * time.Second        // the same with no calls outstanding
	pingTimeout     = time.Second            // a connection whose ping is unanswered for longer is closed as silent
	scanInterval    = 100 * time.Millisecond // time between two checks of the sessions
	pauseThreshold  = 500 * time.Millisecond // a longer time between two checks means that this process was paused
	writeTimeout    = 30 * time.Second       // only a peer that answers pings but does not read holds up a frame for longer
)

// errVersion reports a peer that speaks another protocol version.
var errVersion = errors.New("peer: protocol version differs")

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
func (l *Link) session(ctx context.Context, tr *Transport) (s *session, err error) {
	if s = l.liveSession(); s != nil {
		return s, nil
	}
	d, err := l.joinDial(tr)
	if err != nil {
		return nil, err
	}
	t := time.NewTimer(d.startedAt.Add(dialWaitTimeout).Sub(tr.Now()))
	defer t.Stop()
	select {
	case <-d.done:
		return d.session, d.err
	case <-ctx.Done():
		return nil, ctx.Err()
	case <-t.C:
		l.lastDialFailure.Store(tr.Now().UnixNano())
		return nil, errDialWait
	}
}

// joinDial returns the dial in progress, or starts another one if there is none younger than dialWaitTimeout. An
// older dial goes on: its connection may be merely slow, or it may hang while a new one succeeds.
func (l *Link) joinDial(tr *Transport) (d *pendingDial, err error) {
	l.mu.Lock()
	defer l.mu.Unlock()
	now := tr.Now()
	if s := l.liveSession(); s != nil {
		d = &pendingDial{startedAt: now, done: make(chan struct{}), session: s}
		close(d.done)
		return d, nil
	}
	if d = l.pending; d != nil && now.Sub(d.startedAt) < dialWaitTimeout {
		return d, nil
	}
	ctx, err := tr.addGoroutine()
	if err != nil {
		return nil, err
	}
	d = &pendingDial{startedAt: now, done: make(chan struct{})}
	l.pending = d
	go l.dial(ctx, tr, d)
	return d, nil
}

// dial runs one dial to its end. If several succeed, the session of the first is used.
func (l *Link) dial(ctx context.Context, tr *Transport, d *pendingDial) {
	defer tr.wg.Done()
	ctx, cancel := context.WithTimeout(ctx, dialTimeout)
	defer cancel()
	s, err := guard.Call(tr.Guard, "dial", func() (*session, error) { return tr.dial(ctx, l.addr) })
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
		if err = tr.addSession(s); err != nil {
			_ = s.Close()
			break
		}
		tr.OnEvent(EventDialed)
		l.lastDialFailure.Store(0)
		l.current.Store(s)
	default:
		l.lastDialFailure.Store(tr.Now().UnixNano())
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
func (tr *Transport) Unreachable(addr ident.Address, now time.Time) bool {
	l, ok := tr.links.Load(addr)
	if !ok {
		return false
	}
	miss := l.(*Link).lastDialFailure.Load()
	return miss != 0 && l.(*Link).liveSession() == nil && now.UnixNano()-miss < int64(unreachablePeriod)
}

// Connected reports whether a session to the address is open and its peer has left no ping unanswered. If there is no
// session, it starts a dial in the background unless one failed recently.
func (tr *Transport) Connected(addr ident.Address) bool {
	l := tr.Link(addr)
	if s := l.liveSession(); s != nil {
		return !s.suspect(tr.Now())
	}
	if miss := l.lastDialFailure.Load(); miss == 0 || tr.Now().UnixNano()-miss > int64(redialDelay) {
		_, _ = l.joinDial(tr)
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
func (tr *Transport) dial(ctx context.Context, addr ident.Address) (s *session, err error) {
	return tr.dialWithHello(ctx, addr, tr.helloMessage(), false)
}

// dialWithHello connects to addr and performs the handshake with the given Hello. That of a one-shot session names
// no server, so that the peer does not treat the end of the session as the loss of this node.
func (tr *Transport) dialWithHello(ctx context.Context, addr ident.Address, hello *wirepb.Hello, oneShot bool) (s *session, err error) {
	defer func() { err = oops.With("address", string(addr)).Wrapf(err, "peer: dial") }()
	conn, err := tr.Dial(ctx, string(addr))
	if err != nil {
		return nil, err
	}
	if s, err = newSession(conn, true, tr.Now, &tr.Closer); err != nil {
		_ = conn.Close() // nothing was sent on it
		return nil, err
	}
	s.oneShot = oneShot
	if err = tr.handshake(ctx, s, hello); err != nil {
		_ = s.Close()
		return nil, err
	}
	return s, nil
}

// slowHello is the round trip from which a Hello counts as delayed on its way. The peer takes the delay of the fastest
// message as usual, so a session that begins with a delayed Hello would hide the same delay of a call.
const slowHello = 100 * time.Millisecond

// maxHellos bounds the Hellos of one session; on a link that is always slow, more of them measure nothing new.
const maxHellos = 3

// handshake exchanges Hello messages until one has not been delayed, at most maxHellos, and stores the identity of the
// peer. A later Hello that fails is no error, as the peer is known by then.
func (tr *Transport) handshake(ctx context.Context, s *session, hello *wirepb.Hello) (err error) {
	for n := range maxHellos {
		sent := tr.Now()
		if n > 0 {
			hello = tr.helloMessage() // with the present time
		}
		if err = tr.exchangeHello(ctx, s, hello); err != nil {
			if n > 0 && !s.IsClosed() {
				return nil
			}
			return err
		}
		if s.oneShot || tr.Now().Sub(sent) < slowHello {
			return nil
		}
	}
	return nil
}

// exchangeHello exchanges one pair of Hello messages and stores the identity of the peer.
func (tr *Transport) exchangeHello(ctx context.Context, s *session, hello *wirepb.Hello) (err error) {
	st, err := s.OpenStream()
	if err != nil {
		return err
	}
	defer func() { _ = st.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = st.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	reply, err := wire.Exchange(st, &wirepb.Envelope{Body: &wirepb.Envelope_Hello{Hello: hello}}, nil)
	if err != nil {
		return err
	}
	h := reply.GetHello()
	if wire.Version(h.GetProtocol()) != wire.BaseVersion {
		tr.reportRefused(s, EventVersion, fmt.Sprintf("protocol %d of server %q", h.GetProtocol(), h.GetServer()))
		return errVersion
	}
	s.identity.Store(tr.identityOf(h))
	return nil
}

// isConnectionRefused reports whether no process listens at the address.
func isConnectionRefused(err error) bool { return errors.Is(err, syscall.ECONNREFUSED) }
