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

// Event is something that happened to a connection; it is counted by the owner.
type Event uint8

// Events of connections.
const (
	EventDialed   Event = iota // a connection was made
	EventAccepted              // a peer connected
	EventSilent                // a connection was closed because it carried nothing
	EventLost                  // a connection broke with calls outstanding
	EventVersion               // a peer spoke another protocol version
	EventGarbled               // a message did not decode or was out of place
	EventSettled               // a call was settled over a new connection
)

var events = [...]string{"peerDialed", "peerAccepted", "peerSilent", "peerLost", "peerVersion", "peerGarbled", "callSettled"}

// String returns the name used in metrics.
func (e Event) String() string {
	if int(e) < len(events) {
		return events[e]
	}
	return "unlisted"
}

// maxSessions bounds the sessions that peers opened to this node; more are closed at once.
const maxSessions = 4096

// ErrClosed reports a book that was closed.
var ErrClosed = errors.New("peer: closed")

// Book owns all connections between this node and others. The function fields are set before Serve or
// Call and not changed afterwards.
type Book struct {
	Server      ident.Server
	Incarnation ident.Incarnation
	Newest      wire.Version // newest protocol version to speak; wire.Newest when 0
	Dial        func(ctx context.Context, addr string) (net.Conn, error)
	Now         func() time.Time
	Event       func(Event)                                                   // must not block
	Refused     func(e Event, s ident.Server, remote, what string)            // a peer or its message was refused; may be nil
	OnCall      func(ctx context.Context, req *call.Request) call.Result      // runs a call that a peer made
	OnLeave     func(server ident.Server, inc ident.Incarnation)              // a peer is leaving
	OnSync      func(from ident.Server, m *wirepb.Sync) *wirepb.SyncReply     // a peer compares state
	OnLost      func(server ident.Server, inc ident.Incarnation, silent bool) // a session to a peer ended

	clock     clock
	ids       atomic.Uint64
	links     sync.Map // ident.Address -> *Link
	calls     callTable
	answering atomic.Int64 // calls of peers that run or whose answer is being written
	mu        sync.Mutex   // guards sessions, closed, ctx and stop
	sessions  map[*session]struct{}
	closed    bool
	ctx       context.Context // of the dials; made with the first one
	stop      context.CancelFunc
	workers   *workerPool // made with the first session
	wg        sync.WaitGroup
}

// refuse counts and reports a peer, or a message of it, that this node does not take.
func (b *Book) refuse(s *session, e Event, what string) {
	b.Event(e)
	if b.Refused != nil {
		server, _ := s.peer()
		b.Refused(e, server, s.RemoteAddr().String(), what)
	}
}

func (b *Book) newest() wire.Version {
	if b.Newest != 0 {
		return b.Newest
	}
	return wire.Newest
}

func (b *Book) hello() *wirepb.Hello {
	h := &wirepb.Hello{Protocol: uint32(wire.Protocol), Server: string(b.Server), Incarnation: uint64(b.Incarnation), SentNs: int64(b.clock.stamp(b.Now()))}
	if n := b.newest(); n > wire.Protocol {
		h.Newest = uint32(n)
	}
	return h
}

// identify returns who the sender of a Hello is, with the version that both sides speak.
func (b *Book) identify(h *wirepb.Hello) *identity {
	return &identity{
		ident.Server(h.GetServer()), ident.Incarnation(h.GetIncarnation()),
		min(b.newest(), max(wire.Version(h.GetNewest()), wire.Protocol)),
	}
}

// Link returns the link to an address; it is made when it is first asked for.
func (b *Book) Link(addr ident.Address) *Link {
	if l, ok := b.links.Load(addr); ok {
		return l.(*Link)
	}
	l, _ := b.links.LoadOrStore(addr, &Link{addr: addr})
	return l.(*Link)
}

// Forget drops the links to addresses that are not known any more, as of a peer that left or has another
// address now. A link with a session or a dial under way stays until these have ended, so that its calls
// are settled; without this each address that a fleet ever used would be kept.
func (b *Book) Forget(known func(ident.Address) bool) {
	b.links.Range(func(k, v any) bool {
		if l := v.(*Link); !known(l.addr) && l.idle() {
			b.links.CompareAndDelete(k, l)
		}
		return true
	})
}

// Links returns the number of links that are kept.
func (b *Book) Links() (n int) {
	b.links.Range(func(any, any) bool { n++; return true })
	return n
}

// enter counts a goroutine that Close waits for and returns the context that Close ends.
func (b *Book) enter() (ctx context.Context, err error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.closed {
		return nil, ErrClosed
	}
	if b.ctx == nil {
		b.ctx, b.stop = context.WithCancel(context.Background())
	}
	b.wg.Add(1)
	return b.ctx, nil
}

// adopt takes a session into the book and serves the streams that the peer opens on it.
func (b *Book) adopt(s *session) error {
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

func (b *Book) forget(s *session) {
	b.mu.Lock()
	delete(b.sessions, s)
	closed := b.closed
	b.mu.Unlock()
	_ = s.Close()
	if closed || s.oneShot {
		return
	}
	if s.outstanding.Load() > 0 {
		b.Event(EventLost)
	}
	if server, inc := s.peer(); b.OnLost != nil && server != "" {
		b.OnLost(server, inc, s.silent.Load())
	}
}

// Serve accepts connections of peers until the listener is closed.
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
		b.Event(EventAccepted)
		if b.adopt(s) != nil {
			_ = s.Close()
		}
	}
}

// Watch looks at all sessions until ctx ends: it pings quiet ones, closes silent ones, and closes streams
// that were kept for too long.
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
		for _, s := range b.list() {
			b.look(s, now, paused)
		}
		b.calls.expire(now)
	}
}

// look judges one session. After a pause of this process nothing was read for a while through no
// fault of the peer, so the session gets a new ping instead of a verdict.
func (b *Book) look(s *session, now time.Time, paused bool) {
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
		b.Event(EventSilent)
		_ = s.Close()
	}
}

func (b *Book) list() (all []*session) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for s := range b.sessions {
		all = append(all, s)
	}
	return all
}

// Sessions returns the number of open sessions.
func (b *Book) Sessions() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.sessions)
}

// Tell sends a message to every connected peer and waits until each has taken it or timeout is over.
func (b *Book) Tell(ctx context.Context, env *wirepb.Envelope, timeout time.Duration) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	var wg sync.WaitGroup
	for _, s := range b.list() {
		wg.Go(func() { _, _ = b.ask(ctx, s, env) })
	}
	wg.Wait()
}

// TellLeave tells every connected peer that this server takes no new work.
func (b *Book) TellLeave(ctx context.Context, timeout time.Duration) {
	leave := &wirepb.Leave{Server: string(b.Server), Incarnation: uint64(b.Incarnation)}
	b.Tell(ctx, &wirepb.Envelope{Body: &wirepb.Envelope_Leave{Leave: leave}}, timeout)
}

// Sync sends m to one connected peer, chosen by rnd, and returns its reply; nil when there is none.
func (b *Book) Sync(ctx context.Context, m *wirepb.Sync) (from ident.Server, reply *wirepb.SyncReply) {
	all := b.list()
	if len(all) == 0 {
		return "", nil
	}
	return b.syncWith(ctx, all[rand.IntN(len(all))], m)
}

// SyncAll sends m to every connected peer and hands each reply to take; nil for a peer that gave none.
func (b *Book) SyncAll(ctx context.Context, m *wirepb.Sync, take func(ident.Server, *wirepb.SyncReply)) {
	b.syncEach(ctx, b.list(), m, take)
}

// SyncSome is SyncAll for at most n connected peers, chosen at random.
func (b *Book) SyncSome(ctx context.Context, n int, m *wirepb.Sync, take func(ident.Server, *wirepb.SyncReply)) {
	all := b.list()
	rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
	b.syncEach(ctx, all[:min(n, len(all))], m, take)
}

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

// SyncTo connects to an address, sends m and returns the reply.
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

// SyncOnce is SyncTo for asking many peers: a connection that it has to make is closed again.
func (b *Book) SyncOnce(ctx context.Context, addr ident.Address, m *wirepb.Sync) (reply *wirepb.SyncReply, err error) {
	if l, ok := b.links.Load(addr); ok && l.(*Link).liveSession() != nil {
		_, reply, err = b.SyncTo(ctx, addr, m)
		return reply, err
	}
	short, cancel := context.WithTimeout(ctx, dialWaitTimeout)
	defer cancel()
	s, err := b.dialWithHello(short, addr, &wirepb.Hello{Protocol: uint32(wire.Protocol)}, true)
	if err != nil {
		return nil, err
	}
	defer func() { _ = s.Close() }()
	if err = b.adopt(s); err != nil {
		return nil, err
	}
	if _, reply = b.syncWith(ctx, s, m); reply == nil {
		return nil, oops.Errorf("peer: no reply to sync from %s", addr)
	}
	return reply, nil
}

func (b *Book) syncWith(ctx context.Context, s *session, m *wirepb.Sync) (ident.Server, *wirepb.SyncReply) {
	reply, err := b.ask(ctx, s, &wirepb.Envelope{Body: &wirepb.Envelope_Sync{Sync: m}})
	if err != nil {
		return "", nil
	}
	server, _ := s.peer()
	return server, reply.GetSyncReply()
}

// ask makes one short exchange on a stream of its own.
func (b *Book) ask(ctx context.Context, s *session, env *wirepb.Envelope) (reply *wirepb.Envelope, err error) {
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

// idlePeriod is how often Idle looks whether the calls have ended.
const idlePeriod = 5 * time.Millisecond

// Idle waits until the answers of all calls of peers are written, and reports false when ctx ends before.
func (b *Book) Idle(ctx context.Context) bool {
	for b.answering.Load() > 0 {
		if !pause.For(ctx, idlePeriod) {
			return false
		}
	}
	return true
}

// Close closes all sessions and waits for the goroutines of the book.
func (b *Book) Close() {
	b.mu.Lock()
	b.closed = true
	if b.stop != nil {
		b.stop()
	}
	b.mu.Unlock()
	for _, s := range b.list() {
		_ = s.Close()
	}
	b.wg.Wait()
	if b.workers != nil {
		b.workers.stop()
	}
}
