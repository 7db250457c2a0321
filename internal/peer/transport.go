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

	"briarworks.example/briarworks/internal/closer"
	"briarworks.example/briarworks/internal/guard"
	"briarworks.example/briarworks/internal/pause"
	"briarworks.example/briarworks/internal/wire"
	"briarworks.example/briarworks/internal/wire/wirepb"
	"briarworks.example/briarworks/pkg/budget"
	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/linger"
)

// Event is a change or a fault of a connection; the owner of the Transport counts them.
type Event uint8

// Events that are passed to Transport.OnEvent.
const (
	EventDialed    Event = iota // a connection to a peer was established
	EventAccepted               // a connection from a peer was accepted
	EventSilent                 // a connection was closed because it was silent
	EventLost                   // a connection broke with exchanges outstanding
	EventVersion                // a peer uses another protocol version
	EventMalformed              // a message did not decode or was not expected
	EventSettled                // a call was settled over a new connection
	EventMemory                 // a message was refused because the memory for messages is used up
)

var eventNames = [...]string{"peerDialed", "peerAccepted", "peerSilent", "peerLost", "peerVersion", "peerGarbled", "callSettled", "peerMemoryFull"}

// String returns the name of the event in metrics.
func (e Event) String() string {
	if int(e) < len(eventNames) {
		return eventNames[e]
	}
	return "unlisted"
}

// maxSessions bounds the open sessions; any further one is closed at once.
const maxSessions = 4096

// ErrClosed reports that the Transport was closed.
var ErrClosed = errors.New("peer: closed")

// NewCloser returns the Closer of a Transport. A peer that receives nothing for as long as the answer to a ping may take
// counts as gone; onCut may be nil.
func NewCloser(onCut func(closer.Cut)) closer.Closer {
	return closer.Closer{Limits: linger.Limits{Stall: pingTimeout}, OnCut: onCut}
}

// Transport owns all connections between this node and its peers. The function fields are set before Serve or Call and
// not changed afterwards.
type Transport struct {
	Server        ident.Server
	Incarnation   ident.Incarnation
	NewestVersion wire.Version // newest protocol version to use; wire.NewestVersion when 0
	Dial          func(ctx context.Context, addr string) (net.Conn, error)
	Now           func() time.Time
	BeforeSend    func(ctx context.Context)                                     // called before a call is sent; may wait until input that could cancel it has been read; may be nil
	OnEvent       func(Event)                                                   // must not block
	OnRefused     func(e Event, s ident.Server, remote, what string)            // reports a refused peer or message; may be nil
	OnCall        func(ctx context.Context, req *call.Request) call.Result      // runs a call of a peer
	OnLeave       func(server ident.Server, inc ident.Incarnation)              // reports that a peer is leaving
	OnSync        func(from ident.Server, m *wirepb.Sync) *wirepb.SyncReply     // answers a Sync message of a peer; no reply is sent for nil
	OnLost        func(server ident.Server, inc ident.Incarnation, silent bool) // reports that a session with a peer ended; may be nil
	Guard         *guard.Guard                                                  // reports panics of single calls and exchanges; may be nil
	Memory        *budget.Pool                                                  // memory for messages; nil has no limit
	Closer        closer.Closer                                                 // closes sessions whose peers are not silent

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
func (tr *Transport) reportRefused(s *session, e Event, what string) {
	tr.OnEvent(e)
	if tr.OnRefused != nil {
		server, _ := s.peer()
		tr.OnRefused(e, server, s.RemoteAddr().String(), what)
	}
}

// latestVersion returns the newest protocol version that this node uses.
func (tr *Transport) latestVersion() wire.Version {
	if tr.NewestVersion != 0 {
		return tr.NewestVersion
	}
	return wire.NewestVersion
}

// helloMessage returns the Hello of this node.
func (tr *Transport) helloMessage() *wirepb.Hello {
	h := &wirepb.Hello{Protocol: uint32(wire.BaseVersion), Server: string(tr.Server), Incarnation: uint64(tr.Incarnation), SentNs: int64(tr.clock.stamp(tr.Now()))}
	if n := tr.latestVersion(); n > wire.BaseVersion {
		h.Newest = uint32(n)
	}
	return h
}

// identityOf returns the identity of the sender of a Hello, with the highest version that both sides speak.
func (tr *Transport) identityOf(h *wirepb.Hello) *identity {
	return &identity{
		ident.Server(h.GetServer()), ident.Incarnation(h.GetIncarnation()),
		min(tr.latestVersion(), max(wire.Version(h.GetNewest()), wire.BaseVersion)),
	}
}

// Link returns the link to an address and creates it on first use.
func (tr *Transport) Link(addr ident.Address) *Link {
	if l, ok := tr.links.Load(addr); ok {
		return l.(*Link)
	}
	l, _ := tr.links.LoadOrStore(addr, &Link{addr: addr})
	return l.(*Link)
}

// PruneLinks removes the links to addresses for which known returns false, such as those of a peer that left or
// changed its address. A link with a session, a dial or a call in progress stays until these have ended, so that
// its calls are settled. Without PruneLinks the links would grow with each address that the fleet ever used.
func (tr *Transport) PruneLinks(known func(ident.Address) bool) {
	tr.links.Range(func(k, v any) bool {
		if l := v.(*Link); !known(l.addr) && l.idle() {
			tr.links.CompareAndDelete(k, l)
		}
		return true
	})
}

// LinkCount returns the number of links.
func (tr *Transport) LinkCount() (n int) {
	tr.links.Range(func(any, any) bool { n++; return true })
	return n
}

// addGoroutine counts a goroutine that Close waits for and returns the context that Close cancels. It returns
// ErrClosed after Close.
func (tr *Transport) addGoroutine() (ctx context.Context, err error) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if tr.closed {
		return nil, ErrClosed
	}
	if tr.dialCtx == nil {
		tr.dialCtx, tr.cancelDials = context.WithCancel(context.Background())
	}
	tr.wg.Add(1)
	return tr.dialCtx, nil
}

// addSession registers a session and starts to serve the streams that the peer opens on it.
func (tr *Transport) addSession(s *session) error {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	if tr.closed {
		return ErrClosed
	}
	if len(tr.sessions) >= maxSessions {
		return oops.Errorf("peer: more than %d sessions", maxSessions)
	}
	if tr.sessions == nil {
		tr.sessions = make(map[*session]struct{})
		tr.workers = newWorkerPool()
	}
	tr.sessions[s] = struct{}{}
	tr.wg.Add(1)
	go tr.serveSession(s)
	return nil
}

// removeSession unregisters a session that has ended and reports its loss.
func (tr *Transport) removeSession(s *session) {
	tr.mu.Lock()
	delete(tr.sessions, s)
	closed := tr.closed
	tr.mu.Unlock()
	_ = s.Close()
	if closed || s.oneShot {
		return
	}
	if s.outstanding.Load() > 0 {
		tr.OnEvent(EventLost)
	}
	if server, inc := s.peer(); tr.OnLost != nil && server != "" {
		tr.OnLost(server, inc, s.silent.Load())
	}
}

// Serve accepts connections of peers until the listener is closed, for which it returns nil, or fails.
func (tr *Transport) Serve(ln net.Listener) (err error) {
	defer func() { err = oops.Wrapf(err, "peer: serve") }()
	for {
		conn, err := ln.Accept()
		if errors.Is(err, net.ErrClosed) {
			return nil
		}
		if err != nil {
			return err
		}
		s, err := newSession(conn, false, tr.Now, &tr.Closer)
		if err != nil {
			_ = conn.Close() // nothing was sent on it
			continue
		}
		tr.OnEvent(EventAccepted)
		if tr.addSession(s) != nil {
			_ = s.Close()
		}
	}
}

// Watch checks all sessions periodically until ctx ends: it pings those that received nothing for a while, closes
// silent ones, and closes streams that were idle for too long. It also expires the state retained for Settle.
func (tr *Transport) Watch(ctx context.Context) {
	t := time.NewTicker(scanInterval)
	defer t.Stop()
	prev := tr.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-t.C:
		}
		now := tr.Now()
		paused := now.Sub(prev) > pauseThreshold
		prev = now
		tr.clock.update(now)
		for _, s := range tr.openSessions() {
			tr.checkSession(s, now, paused)
		}
		tr.calls.expire(now)
	}
}

// checkSession checks one session. After a pause of this process the lack of reads is no fault of the peer, so the
// session is pinged again instead of being closed.
func (tr *Transport) checkSession(s *session, now time.Time, paused bool) {
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
		tr.OnEvent(EventSilent)
		_ = s.Close()
	}
}

// openSessions returns the open sessions.
func (tr *Transport) openSessions() (all []*session) {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	for s := range tr.sessions {
		all = append(all, s)
	}
	return all
}

// SessionCount returns the number of open sessions.
func (tr *Transport) SessionCount() int {
	tr.mu.Lock()
	defer tr.mu.Unlock()
	return len(tr.sessions)
}

// ConnectedServers returns the names of the peers with an open session.
func (tr *Transport) ConnectedServers() map[ident.Server]bool {
	names := make(map[ident.Server]bool)
	for _, s := range tr.openSessions() {
		if id := s.identity.Load(); id != nil {
			names[id.server] = true
		}
	}
	return names
}

// Broadcast sends a message to every connected peer and waits until each has replied or the timeout has passed.
func (tr *Transport) Broadcast(ctx context.Context, env *wirepb.Envelope, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, s := range tr.openSessions() {
		wg.Go(func() {
			h := tr.Memory.Open()
			defer h.Close()
			_, _ = tr.exchange(ctx, s, env, h)
		})
	}
	wg.Wait()
}

// BroadcastLeave informs every connected peer that this server accepts no new work.
func (tr *Transport) BroadcastLeave(ctx context.Context, timeout time.Duration) {
	leave := &wirepb.Leave{Server: string(tr.Server), Incarnation: uint64(tr.Incarnation)}
	tr.Broadcast(ctx, &wirepb.Envelope{Body: &wirepb.Envelope_Leave{Leave: leave}}, timeout)
}

// Sync sends m to one connected peer, chosen at random, and returns its reply, or nil if there is none.
func (tr *Transport) Sync(ctx context.Context, m *wirepb.Sync) (from ident.Server, reply *wirepb.SyncReply) {
	all := tr.openSessions()
	if len(all) == 0 {
		return "", nil
	}
	return tr.syncWith(ctx, all[rand.IntN(len(all))], m)
}

// SyncAll sends m to every connected peer and passes each reply to take, or nil for a peer that did not reply. It
// calls take from several goroutines.
func (tr *Transport) SyncAll(ctx context.Context, m *wirepb.Sync, take func(ident.Server, *wirepb.SyncReply)) {
	tr.syncEach(ctx, tr.openSessions(), m, take)
}

// SyncRandom is like SyncAll for at most n connected peers, chosen at random.
func (tr *Transport) SyncRandom(ctx context.Context, n int, m *wirepb.Sync, take func(ident.Server, *wirepb.SyncReply)) {
	all := tr.openSessions()
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	tr.syncEach(ctx, all[:min(n, len(all))], m, take)
}

// syncEach sends m on the given sessions concurrently and passes each reply to take.
func (tr *Transport) syncEach(ctx context.Context, all []*session, m *wirepb.Sync, take func(ident.Server, *wirepb.SyncReply)) {
	var wg sync.WaitGroup
	for _, s := range all {
		wg.Go(func() {
			tr.Guard.Run("reply", func() {
				from, r := tr.syncWith(ctx, s, m)
				if r == nil {
					from, _ = s.peer()
				}
				take(from, r)
			})
		})
	}
	wg.Wait()
}

// SyncTo connects to the peer at addr if needed, sends m and returns the reply.
func (tr *Transport) SyncTo(ctx context.Context, addr ident.Address, m *wirepb.Sync) (from ident.Server, reply *wirepb.SyncReply, err error) {
	s, err := tr.Link(addr).session(ctx, tr)
	if err != nil {
		return "", nil, err
	}
	from, reply = tr.syncWith(ctx, s, m)
	if reply == nil {
		return "", nil, oops.Errorf("peer: no reply to sync from %s", addr)
	}
	return from, reply, nil
}

// SyncOnce is like SyncTo but closes a connection that it had to open, so that many peers can be queried.
func (tr *Transport) SyncOnce(ctx context.Context, addr ident.Address, m *wirepb.Sync) (reply *wirepb.SyncReply, err error) {
	if l, ok := tr.links.Load(addr); ok && l.(*Link).liveSession() != nil {
		_, reply, err = tr.SyncTo(ctx, addr, m)
		return reply, err
	}
	short, cancel := context.WithTimeout(ctx, dialWaitTimeout)
	defer cancel()
	s, err := tr.dialWithHello(short, addr, &wirepb.Hello{Protocol: uint32(wire.BaseVersion)}, true)
	if err != nil {
		return nil, err
	}
	defer func() { _ = s.Close() }()
	if err = tr.addSession(s); err != nil {
		return nil, err
	}
	if _, reply = tr.syncWith(ctx, s, m); reply == nil {
		return nil, oops.Errorf("peer: no reply to sync from %s", addr)
	}
	return reply, nil
}

// syncWith sends m on a session and returns the reply; nil when there is none.
func (tr *Transport) syncWith(ctx context.Context, s *session, m *wirepb.Sync) (ident.Server, *wirepb.SyncReply) {
	h := tr.Memory.Open()
	defer h.Close()
	reply, err := tr.exchange(ctx, s, &wirepb.Envelope{Body: &wirepb.Envelope_Sync{Sync: m}}, h)
	if err != nil {
		return "", nil
	}
	server, _ := s.peer()
	return server, reply.GetSyncReply()
}

// exchange sends env on a new stream and returns the reply, in memory that h holds.
func (tr *Transport) exchange(ctx context.Context, s *session, env *wirepb.Envelope, h *budget.Hold) (reply *wirepb.Envelope, err error) {
	st, err := s.OpenStream()
	if err != nil {
		return nil, err
	}
	defer func() { _ = st.Close() }()
	stop := context.AfterFunc(ctx, func() { _ = st.SetDeadline(time.Unix(1, 0)) })
	defer stop()
	s.beginCall(tr.Now())
	defer s.endCall()
	return wire.Exchange(st, env, h)
}

// idlePollInterval is the interval at which WaitIdle polls for the end of the calls.
const idlePollInterval = 5 * time.Millisecond

// WaitIdle waits until the answers to all calls of peers are written. It reports false if ctx ends first.
func (tr *Transport) WaitIdle(ctx context.Context) bool {
	for tr.unansweredCalls.Load() > 0 {
		if !pause.For(ctx, idlePollInterval) {
			return false
		}
	}
	return true
}

// Shutdown closes all sessions and waits until their peers have received what was written to them, or ctx ends.
func (tr *Transport) Shutdown(ctx context.Context) {
	tr.closeSessions()
	tr.Closer.Shutdown(ctx)
}

// Close closes all sessions and waits for the goroutines of the Transport, but not for peers. It may be called more than once.
func (tr *Transport) Close() {
	tr.closeSessions()
	tr.Closer.Expire()
	tr.wg.Wait()
	tr.Closer.Shutdown(context.Background())
	if tr.workers != nil {
		tr.workers.stop()
	}
}

// closeSessions closes all sessions, and makes the Transport open no others.
func (tr *Transport) closeSessions() {
	tr.mu.Lock()
	tr.closed = true
	if tr.cancelDials != nil {
		tr.cancelDials()
	}
	tr.mu.Unlock()
	for _, s := range tr.openSessions() {
		_ = s.Close()
	}
}
