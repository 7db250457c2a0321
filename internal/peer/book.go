package peer

import (
	"context"
	"errors"
	"math/rand/v2"
	"net"
	"sync"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"briarworks.example/briarworks/internal/pause"
	"briarworks.example/briarworks/internal/wire"
	"briarworks.example/briarworks/internal/wire/wirepb"
	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/ident"
)

// Event is a change or a fault of a connection; the owner of the Book counts them.
type Event uint8

// Events that are passed to Book.OnEvent.
const (
	EventDialed    Event = iota // a connection to a peer was established
	EventAccepted               // a connection from a peer was accepted
	EventSilent                 // a connection was closed because it was silent
	EventLost                   // a connection broke with exchanges outstanding
	EventVersion                // a peer uses another protocol version
	EventMalformed              // a message did not decode or was not expected
	EventSettled                // a call was settled over a new connection
)

var eventNames = [...]string{"peerDialed", "peerAccepted", "peerSilent", "peerLost", "peerVersion", "peerGarbled", "callSettled"}

// String returns the name of the event in metrics.
func (e Event) String() string {
	if int(e) < len(eventNames) {
		return eventNames[e]
	}
	return "unlisted"
}

// maxSessions bounds the open sessions; any further one is closed at once.
const maxSessions = 4096

// ErrClosed reports that the Book was closed.
var ErrClosed = errors.New("peer: closed")

// Book owns all connections between this node and its peers. The function fields are set before Serve or Call and
// not changed afterwards.
type Book struct {
	Server        ident.Server
	Incarnation   ident.Incarnation
	NewestVersion wire.Version // newest protocol version to use; wire.NewestVersion when 0
	Dial          func(ctx context.Context, addr string) (net.Conn, error)
	Now           func() time.Time
	OnEvent       func(Event)                                                   // must not block
	OnRefused     func(e Event, s ident.Server, remote, what string)            // reports a refused peer or message; may be nil
	OnCall        func(ctx context.Context, req *call.Request) call.Result      // runs a call of a peer
	OnLeave       func(server ident.Server, inc ident.Incarnation)              // reports that a peer is leaving
	OnSync        func(from ident.Server, m *wirepb.Sync) *wirepb.SyncReply     // answers a Sync message of a peer; no reply is sent for nil
	OnLost        func(server ident.Server, inc ident.Incarnation, silent bool) // reports that a session with a peer ended; may be nil

	clock           clock
	lastCallID      atomic.Uint64
	links           sync.Map // ident.Address -> *Link
	calls           callTable
	unansweredCalls atomic.Int64 // calls of peers that run or whose answer is being written
	mu              sync.Mutex   // guards sessions, closed, dialCtx and cancelDials
	sessions        map[*session]struct{}
	closed          bool
	dialCtx         context.Context // parent context of all dials; created with the first one
	cancelDials     context.CancelFunc
	workers         *workerPool // created with the first session
	wg              sync.WaitGroup
}

// reportRefused counts and reports a peer, or a message of it, that this node refused.
func (b *Book) reportRefused(s *session, e Event, what string) {
	b.OnEvent(e)
	if b.OnRefused != nil {
		server, _ := s.peer()
		b.OnRefused(e, server, s.RemoteAddr().String(), what)
	}
}

// latestVersion returns the newest protocol version that this node uses.
func (b *Book) latestVersion() wire.Version {
	if b.NewestVersion != 0 {
		return b.NewestVersion
	}
	return wire.NewestVersion
}

// helloMessage returns the Hello of this node.
func (b *Book) helloMessage() *wirepb.Hello {
	h := &wirepb.Hello{Protocol: uint32(wire.BaseVersion), Server: string(b.Server), Incarnation: uint64(b.Incarnation), SentNs: int64(b.clock.stamp(b.Now()))}
	if n := b.latestVersion(); n > wire.BaseVersion {
		h.Newest = uint32(n)
	}
	return h
}

// identityOf returns the identity of the sender of a Hello, with the highest version that both sides speak.
func (b *Book) identityOf(h *wirepb.Hello) *identity {
	return &identity{
		ident.Server(h.GetServer()), ident.Incarnation(h.GetIncarnation()),
		min(b.latestVersion(), max(wire.Version(h.GetNewest()), wire.BaseVersion)),
	}
}

// Link returns the link to an address and creates it on first use.
func (b *Book) Link(addr ident.Address) *Link {
	if l, ok := b.links.Load(addr); ok {
		return l.(*Link)
	}
	l, _ := b.links.LoadOrStore(addr, &Link{addr: addr})
	return l.(*Link)
}

// PruneLinks removes the links to addresses for which known returns false, such as those of a peer that left or
// changed its address. A link with a session, a dial or a call in progress stays until these have ended, so that
// its calls are settled. Without PruneLinks the links would grow with each address that the fleet ever used.
func (b *Book) PruneLinks(known func(ident.Address) bool) {
	b.links.Range(func(k, v any) bool {
		if l := v.(*Link); !known(l.addr) && l.idle() {
			b.links.CompareAndDelete(k, l)
		}
		return true
	})
}

// LinkCount returns the number of links.
func (b *Book) LinkCount() (n int) {
	b.links.Range(func(any, any) bool { n++; return true })
	return n
}

// addGoroutine counts a goroutine that Close waits for and returns the context that Close cancels. It returns
// ErrClosed after Close.
func (b *Book) addGoroutine() (ctx context.Context, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return nil, ErrClosed
	}
	if b.dialCtx == nil {
		b.dialCtx, b.cancelDials = context.WithCancel(context.Background())
	}
	b.wg.Add(1)
	return b.dialCtx, nil
}

// addSession registers a session and starts to serve the streams that the peer opens on it.
func (b *Book) addSession(s *session) error {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return ErrClosed
	}
	if len(b.sessions) >= maxSessions {
		return oops.Errorf("peer: more than %d sessions", maxSessions)
	}
	if b.sessions == nil {
		b.sessions = make(map[*session]struct{})
		b.workers = newWorkerPool()
	}
	b.sessions[s] = struct{}{}
	b.wg.Add(1)
	go b.serveSession(s)
	return nil
}

// removeSession unregisters a session that has ended and reports its loss.
func (b *Book) removeSession(s *session) {
	b.mu.Lock()
	delete(b.sessions, s)
	closed := b.closed
	b.mu.Unlock()
	_ = s.Close()
	if closed || s.oneShot {
		return
	}
	if s.outstanding.Load() > 0 {
		b.OnEvent(EventLost)
	}
	if server, inc := s.peer(); b.OnLost != nil && server != "" {
		b.OnLost(server, inc, s.silent.Load())
	}
}

// Serve accepts connections of peers until the listener is closed, for which it returns nil, or fails.
func (b *Book) Serve(ln net.Listener) (err error) {
	defer func() { err = oops.Wrapf(err, "peer: serve") }()
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		s, err := newSession(conn, false, b.Now)
		if err != nil {
			_ = conn.Close()
			continue
		}
		b.OnEvent(EventAccepted)
		if b.addSession(s) != nil {
			_ = s.Close()
		}
	}
}

// Watch checks all sessions periodically until ctx ends: it pings those that received nothing for a while, closes
// silent ones, and closes streams that were idle for too long. It also expires the state retained for Settle.
func (b *Book) Watch(ctx context.Context) {
	t := time.NewTicker(scanInterval)
	defer t.Stop()
	prev := b.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := b.Now()
		paused := now.Sub(prev) > pauseThreshold
		prev = now
		b.clock.update(now)
		for _, s := range b.openSessions() {
			b.checkSession(s, now, paused)
		}
		b.calls.expire(now)
	}
}

// checkSession checks one session. After a pause of this process the lack of reads is no fault of the peer, so the
// session is pinged again instead of being closed.
func (b *Book) checkSession(s *session, now time.Time, paused bool) {
	s.closeIdleStreams(now.Add(-idleStreamTimeout))
	s.closeServedStreams(now.Add(-servedStreamTimeout))
	if paused {
		s.ping(now)
		return
	}
	switch s.check(now) {
	case pingDue:
		s.ping(now)
	case silent:
		s.silent.Store(true)
		b.OnEvent(EventSilent)
		_ = s.Close()
	}
}

// openSessions returns the open sessions.
func (b *Book) openSessions() (all []*session) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for s := range b.sessions {
		all = append(all, s)
	}
	return all
}

// SessionCount returns the number of open sessions.
func (b *Book) SessionCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.sessions)
}

// Broadcast sends a message to every connected peer and waits until each has replied or the timeout has passed.
func (b *Book) Broadcast(ctx context.Context, env *wirepb.Envelope, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, s := range b.openSessions() {
		wg.Go(func() { _, _ = b.exchange(ctx, s, env) })
	}
	wg.Wait()
}

// BroadcastLeave informs every connected peer that this server accepts no new work.
func (b *Book) BroadcastLeave(ctx context.Context, timeout time.Duration) {
	leave := &wirepb.Leave{Server: string(b.Server), Incarnation: uint64(b.Incarnation)}
	b.Broadcast(ctx, &wirepb.Envelope{Body: &wirepb.Envelope_Leave{Leave: leave}}, timeout)
}

// Sync sends m to one connected peer, chosen at random, and returns its reply, or nil if there is none.
func (b *Book) Sync(ctx context.Context, m *wirepb.Sync) (from ident.Server, reply *wirepb.SyncReply) {
	all := b.openSessions()
	if len(all) == 0 {
		return "", nil
	}
	return b.syncWith(ctx, all[rand.IntN(len(all))], m)
}

// SyncAll sends m to every connected peer and passes each reply to take, or nil for a peer that did not reply. It
// calls take from several goroutines.
func (b *Book) SyncAll(ctx context.Context, m *wirepb.Sync, take func(ident.Server, *wirepb.SyncReply)) {
	b.syncEach(ctx, b.openSessions(), m, take)
}

// SyncRandom is like SyncAll for at most n connected peers, chosen at random.
func (b *Book) SyncRandom(ctx context.Context, n int, m *wirepb.Sync, take func(ident.Server, *wirepb.SyncReply)) {
	all := b.openSessions()
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	b.syncEach(ctx, all[:min(n, len(all))], m, take)
}

// syncEach sends m on the given sessions concurrently and passes each reply to take.
func (b *Book) syncEach(ctx context.Context, all []*session, m *wirepb.Sync, take func(ident.Server, *wirepb.SyncReply)) {
	var wg sync.WaitGroup
	for _, s := range all {
		wg.Go(func() {
			from, r := b.syncWith(ctx, s, m)
			if r == nil {
				from, _ = s.peer()
			}
			take(from, r)
		})
	}
	wg.Wait()
}

// SyncTo connects to the peer at addr if needed, sends m and returns the reply.
func (b *Book) SyncTo(ctx context.Context, addr ident.Address, m *wirepb.Sync) (from ident.Server, reply *wirepb.SyncReply, err error) {
	s, err := b.Link(addr).session(ctx, b)
	if err != nil {
		return "", nil, err
	}
	from, reply = b.syncWith(ctx, s, m)
	if reply == nil {
		return "", nil, oops.Errorf("peer: no reply to sync from %s", addr)
	}
	return from, reply, nil
}

// SyncOnce is like SyncTo but closes a connection that it had to open, so that many peers can be queried.
func (b *Book) SyncOnce(ctx context.Context, addr ident.Address, m *wirepb.Sync) (reply *wirepb.SyncReply, err error) {
	if l, ok := b.links.Load(addr); ok && l.(*Link).liveSession() != nil {
		_, reply, err = b.SyncTo(ctx, addr, m)
		return reply, err
	}
	short, cancel := context.WithTimeout(ctx, dialWaitTimeout)
	defer cancel()
	s, err := b.dialWithHello(short, addr, &wirepb.Hello{Protocol: uint32(wire.BaseVersion)}, true)
	if err != nil {
		return nil, err
	}
	defer func() { _ = s.Close() }()
	if err = b.addSession(s); err != nil {
		return nil, err
	}
	if _, reply = b.syncWith(ctx, s, m); reply == nil {
		return nil, oops.Errorf("peer: no reply to sync from %s", addr)
	}
	return reply, nil
}

// syncWith sends m on a session and returns the reply; nil when there is none.
func (b *Book) syncWith(ctx context.Context, s *session, m *wirepb.Sync) (ident.Server, *wirepb.SyncReply) {
	reply, err := b.exchange(ctx, s, &wirepb.Envelope{Body: &wirepb.Envelope_Sync{Sync: m}})
	if err != nil {
		return "", nil
	}
	server, _ := s.peer()
	return server, reply.GetSyncReply()
}

// exchange sends env on a new stream and returns the reply.
func (b *Book) exchange(ctx context.Context, s *session, env *wirepb.Envelope) (reply *wirepb.Envelope, err error) {
	st, err := s.OpenStream()
	if err != nil {
		return nil, err
	}
	defer func() { _ = st.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = st.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	s.beginCall(b.Now())
	defer s.endCall()
	return wire.Exchange(st, env)
}

// idlePollInterval is the interval at which WaitIdle polls for the end of the calls.
const idlePollInterval = 5 * time.Millisecond

// WaitIdle waits until the answers to all calls of peers are written. It reports false if ctx ends first.
func (b *Book) WaitIdle(ctx context.Context) bool {
	for b.unansweredCalls.Load() > 0 {
		if !pause.For(ctx, idlePollInterval) {
			return false
		}
	}
	return true
}

// Close closes all sessions and waits for the goroutines of the Book. It may be called more than once.
func (b *Book) Close() {
	b.mu.Lock()
	b.closed = true
	if b.cancelDials != nil {
		b.cancelDials()
	}
	b.mu.Unlock()
	for _, s := range b.openSessions() {
		_ = s.Close()
	}
	b.wg.Wait()
	if b.workers != nil {
		b.workers.stop()
	}
}
