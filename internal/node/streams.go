package node

import (
	"context"
	mrand "math/rand/v2"
	"sync"
	"time"

	"go.uber.org/zap"

	"briarworks.example/briarworks/internal/applog"
	"briarworks.example/briarworks/internal/pause"
	"briarworks.example/briarworks/internal/record"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/order"
)

// Times of the streams that every node reads.
const (
	pollWait       = 10 * time.Second      // long poll; a short one would cost the log 960 reads a second
	announcePart   = 4                     // a member announces itself again after this part of the retention
	announceSpread = 12                    // and a random part of this part
	startSpread    = 12 * time.Millisecond // for each known member; at the design size the whole of maxStartSpread
	maxStartSpread = 10 * time.Second      // of the first appends of a fleet that starts at once
	startLook      = time.Second           // after which announcements that were read tell the size of an unknown fleet
	startStep      = 100 * time.Millisecond
	carryCheck     = time.Minute
	leaveTimeout   = 2 * time.Second
	firstRead      = 2 * time.Second
	maxJoined      = 512                    // members that are joined together
	configPage     = 64                     // configurations read at a time: 512 of 10 KB each took a node that starts over 64 MB
	memberGap      = 200 * time.Millisecond // between two reads of members, so that many starts are few reads
)

// stream reads and writes one stream of the log.
type stream struct {
	name   applog.Stream
	tail   *applog.Tail
	writer *applog.Writer
	from   func(ctx context.Context) ident.Offset // where to begin; nil begins at offset 0
	once   sync.Once
	caught chan struct{} // closed when the stream was first read to its end
}

// newStream returns a stream; settle is called after each read that reached the end.
func newStream(c *applog.Client, name applog.Stream, tail *applog.Tail, settle func()) *stream {
	s := &stream{name: name, tail: tail, writer: applog.NewWriter(c, name), caught: make(chan struct{})}
	tail.PollWait = pollWait
	before := tail.CaughtUp
	tail.CaughtUp = func(next ident.Offset) {
		if before != nil {
			before(next)
		}
		settle()
		s.once.Do(func() { close(s.caught) })
	}
	return s
}

func (s *stream) start(ctx context.Context, n *Node) {
	s.tail.Skipped = func(at ident.Offset) {
		n.Stats.CountEvent("logRecordSkipped")
		n.Log.Warn("logRecordSkipped", zap.String("stream", string(s.name)), zap.Int64("offset", int64(at)))
	}
	n.run(func() {
		from := ident.Offset(0)
		if s.from != nil {
			from = s.from(ctx)
		}
		s.tail.Run(ctx, from)
	})
	n.run(func() { s.writer.Run(ctx) })
}

// onMember takes one record of the members stream. Records are joined together, because each change of
// the list makes a new table of the whole fleet.
func (n *Node) onMember(e applog.Entry) {
	if m, ok := record.ToMember(e.Record); ok {
		n.joined = append(n.joined, m)
	}
	if len(n.joined) >= maxJoined {
		n.joinRead()
	}
}

func (n *Node) joinRead() {
	n.Roster.Learn(time.Now(), n.joined...)
	n.joined = nil
}

// announce tells the fleet of this server at the start and again before its record expires. The start
// is spread by the size of the fleet, so that one that starts at once stays within what the log takes.
func (n *Node) announce(ctx context.Context) {
	began := time.Now()
	if !within(ctx, n.members.caught, firstRead) || !within(ctx, n.config.caught, firstRead-time.Since(began)) {
		return
	}
	if !n.spreadStart(ctx, mrand.Float64()) {
		return
	}
	for {
		var wait time.Duration
		if n.announceOnce(ctx) {
			part := n.Settings.Log.Retention / announcePart
			wait = part + jitter(n.Settings.Log.Retention/announceSpread)
		} else {
			wait = time.Second + jitter(time.Second)
		}
		if !pause.For(ctx, wait) {
			return
		}
	}
}

// within waits until done is closed or d has passed, and reports false when ctx ended before.
func within(ctx context.Context, done <-chan struct{}, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// spreadStart waits before the first announcement and reports false when ctx ended before. rnd is in [0,1).
func (n *Node) spreadStart(ctx context.Context, rnd float64) bool {
	began, known := time.Now(), len(n.Roster.Table().All())
	for {
		listed := 0
		if snap := n.Policy.Rules(); snap != nil {
			for _, s := range snap.Document().Services {
				listed += s.Servers
			}
		}
		waited := time.Since(began)
		size := expected(known, listed, len(n.Roster.Table().All()), waited)
		left := startWait(size, rnd) - waited
		if left <= 0 {
			return ctx.Err() == nil
		}
		if !pause.For(ctx, min(left, startStep)) {
			return false
		}
	}
}

// expected returns the size of a fleet that may be starting: by the members that were known at first, else by
// the servers that the inventory lists. On an empty log it is taken to be large, and after startLook twice
// what the announcements that were read by then let expect.
func expected(known, listed, read int, waited time.Duration) int {
	switch {
	case known > 0 || listed > 0:
		return max(known, listed)
	case waited < startLook:
		return int(maxStartSpread / startSpread)
	}
	return 10 + int(2*float64(read)*float64(maxStartSpread)/float64(waited))
}

// startWait returns how long a node of a fleet of a size waits before its first announcement; rnd is in [0,1).
func startWait(size int, rnd float64) time.Duration {
	return time.Duration(rnd * float64(min(time.Duration(size)*startSpread, maxStartSpread)))
}

func (n *Node) announceOnce(ctx context.Context) bool {
	now := time.Now()
	m := n.Self
	m.Announced = now
	_, err := n.members.writer.Append(ctx, record.FromMember(m))
	if err != nil {
		n.Log.Warn("announceFailed", zap.Error(err))
		// Without the log the peers learn of this server by Sync; once is enough.
		if known, ok := n.Roster.Table().Member(m.Server); !ok || known.Incarnation < m.Incarnation {
			n.Roster.Apply(now, m)
		}
		return false
	}
	n.Roster.Learn(now, m)
	n.Log.Info("announced", zap.String("address", string(m.Address)))
	return true
}

// leave writes this server's leave; without the log the peers, who were told, carry it.
func (n *Node) leave(ctx context.Context) {
	now := time.Now()
	n.Roster.Leave(n.Self.Server, n.Self.Incarnation, now)
	m := n.Self
	m.Left, m.Announced = true, now
	short, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	_, err := n.members.writer.Append(short, record.FromMember(m))
	if err != nil {
		n.Log.Warn("leaveNotWritten", zap.Error(err))
	}
}

// carry writes the accepted configuration again before its record expires.
func (n *Node) carry(ctx context.Context) {
	chance := ident.Fraction(mrand.Float64())
	pause.Every(ctx, carryCheck, func(now time.Time) {
		if n.carryOnce(ctx, now, chance) {
			chance = ident.Fraction(mrand.Float64())
		}
	})
}

// carryOnce writes the accepted configuration if that is due, and reports whether it did.
func (n *Node) carryOnce(ctx context.Context, now time.Time, chance ident.Fraction) bool {
	c, due := n.Policy.CarryDue(now, chance)
	if !due {
		return false
	}
	if _, err := n.config.writer.Append(ctx, record.FromOrder(order.Record{Carry: &c})); err != nil {
		n.Log.Warn("carryNotWritten", zap.Error(err))
		return false
	}
	return true
}
