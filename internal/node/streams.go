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

// Timing and limits of the log streams that every node reads.
const (
	longPollWait           = 10 * time.Second      // a short wait would cost the log 960 reads a second
	announceDivisor        = 4                     // retention / announceDivisor between two announcements of a member
	announceJitterDivisor  = 12                    // plus up to retention / announceJitterDivisor at random
	startDelayPerMember    = 12 * time.Millisecond // at the design size the total reaches maxStartDelay
	maxStartDelay          = 10 * time.Second      // spreads the first appends of a fleet that starts all at once
	fleetSizeEstimateAfter = time.Second           // when the announcements read so far give the size of an unknown fleet
	startDelayStep         = 100 * time.Millisecond
	carryInterval          = time.Minute
	leaveTimeout           = 2 * time.Second
	initialReadTimeout     = 2 * time.Second
	maxMemberBatch         = 512                    // members merged at a time
	configPage             = 64                     // configurations read at a time; 512 of 10 KB each use over 64 MB at the start
	memberReadInterval     = 200 * time.Millisecond // between two reads of members, so that many starts take few reads
)

// stream is the reader and the writer of one stream of the log.
type stream struct {
	name        applog.Stream
	tail        *applog.Tail
	writer      *applog.Writer
	startOffset func(ctx context.Context) ident.Offset // nil starts at offset 0
	once        sync.Once
	caught      chan struct{} // closed when the stream is first read to its end
}

// newStream returns a stream. settle is called after each read that reaches the end.
func newStream(c *applog.Client, name applog.Stream, tail *applog.Tail, settle func()) *stream {
	s := &stream{name: name, tail: tail, writer: applog.NewWriter(c, name), caught: make(chan struct{})}
	tail.PollWait = longPollWait
	onCaught := tail.CaughtUp
	tail.CaughtUp = func(next ident.Offset) {
		if onCaught != nil {
			onCaught(next)
		}
		settle()
		s.once.Do(func() { close(s.caught) })
	}
	return s
}

// start runs the reader and the writer until ctx ends.
func (s *stream) start(ctx context.Context, n *Node) {
	s.tail.Skipped = func(at ident.Offset) {
		n.Stats.CountEvent("logRecordSkipped")
		n.Log.Warn("logRecordSkipped", zap.String("stream", string(s.name)), zap.Int64("offset", int64(at)))
	}
	n.spawn(func() {
		from := ident.Offset(0)
		if s.startOffset != nil {
			from = s.startOffset(ctx)
		}
		s.tail.Run(ctx, from)
	})
	n.spawn(func() { s.writer.Run(ctx) })
}

// onMember queues one record of the members stream. Records are merged in batches, because each change of the
// list builds a new table of the whole fleet.
func (n *Node) onMember(e applog.Entry) {
	if m, ok := record.ToMember(e.Record); ok {
		n.pendingMembers = append(n.pendingMembers, m)
	}
	if len(n.pendingMembers) >= maxMemberBatch {
		n.mergePending()
	}
}

// mergePending merges the queued members into the list.
func (n *Node) mergePending() {
	n.Roster.Merge(time.Now(), n.pendingMembers...)
	n.pendingMembers = nil
}

// runAnnounce announces this server at the start and again before its record expires. The first announcement is
// delayed in proportion to the fleet size, so that a fleet that starts all at once does not overload the log.
func (n *Node) runAnnounce(ctx context.Context) {
	start := time.Now()
	if !waitClosed(ctx, n.members.caught, initialReadTimeout) || !waitClosed(ctx, n.config.caught, initialReadTimeout-time.Since(start)) {
		return
	}
	if !n.delayStart(ctx, mrand.Float64()) {
		return
	}
	for {
		var wait time.Duration
		if n.announceOnce(ctx) {
			interval := n.Settings.Log.Retention / announceDivisor
			wait = interval + jitter(n.Settings.Log.Retention/announceJitterDivisor)
		} else {
			wait = time.Second + jitter(time.Second)
		}
		if !pause.For(ctx, wait) {
			return
		}
	}
}

// waitClosed waits until done is closed or d has passed. It returns false if ctx ended first.
func waitClosed(ctx context.Context, done <-chan struct{}, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-done:
	case <-t.C:
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// delayStart waits before the first announcement. It returns false if ctx ended first. rnd is in [0,1).
func (n *Node) delayStart(ctx context.Context, rnd float64) bool {
	start, known := time.Now(), len(n.Roster.Table().All())
	for {
		listed := 0
		if rules := n.Policy.Rules(); rules != nil {
			for _, s := range rules.Document().Services {
				listed += s.Servers
			}
		}
		waited := time.Since(start)
		size := expectedFleetSize(known, listed, len(n.Roster.Table().All()), waited)
		remaining := startDelay(size, rnd) - waited
		if remaining <= 0 {
			return ctx.Err() == nil
		}
		if !pause.For(ctx, min(remaining, startDelayStep)) {
			return false
		}
	}
}

// expectedFleetSize estimates the size of a fleet that may be starting: the larger of the members known at first
// and the servers listed in the inventory. If both are 0, it assumes a large fleet until fleetSizeEstimateAfter.
// After that it is twice the number extrapolated from the announcements read so far, plus 10.
func expectedFleetSize(known, listed, read int, waited time.Duration) int {
	switch {
	case known > 0 || listed > 0:
		return max(known, listed)
	case waited < fleetSizeEstimateAfter:
		return int(maxStartDelay / startDelayPerMember)
	}
	return 10 + int(2*float64(read)*float64(maxStartDelay)/float64(waited))
}

// startDelay returns the delay before the first announcement in a fleet of the given size. rnd is in [0,1).
func startDelay(size int, rnd float64) time.Duration {
	return time.Duration(rnd * float64(min(time.Duration(size)*startDelayPerMember, maxStartDelay)))
}

// announceOnce writes an announcement and reports whether the log took it.
func (n *Node) announceOnce(ctx context.Context) bool {
	now := time.Now()
	m := n.Self
	m.Announced = now
	_, err := n.members.writer.Append(ctx, record.FromMember(m))
	if err != nil {
		n.Log.Warn("announceFailed", zap.Error(err))
		// Without the log, peers learn of this server by Sync. Once per incarnation is enough.
		if known, ok := n.Roster.Table().Member(m.Server); !ok || known.Incarnation < m.Incarnation {
			n.Roster.Apply(now, m)
		}
		return false
	}
	n.Roster.Merge(now, m)
	n.Log.Info("announced", zap.String("address", string(m.Address)))
	return true
}

// writeLeave writes the leave of this server. Without the log, the leave spreads through the notified peers.
func (n *Node) writeLeave(ctx context.Context) {
	now := time.Now()
	n.Roster.Leave(n.Self.Server, n.Self.Incarnation, now)
	m := n.Self
	m.Left, m.Announced = true, now
	leaveCtx, cancel := context.WithTimeout(ctx, leaveTimeout)
	defer cancel()
	_, err := n.members.writer.Append(leaveCtx, record.FromMember(m))
	if err != nil {
		n.Log.Warn("leaveNotWritten", zap.Error(err))
	}
}

// runCarry writes the accepted configuration again before its record expires, until ctx ends.
func (n *Node) runCarry(ctx context.Context) {
	rnd := ident.Fraction(mrand.Float64())
	pause.Every(ctx, carryInterval, func(now time.Time) {
		if n.carryOnce(ctx, now, rnd) {
			rnd = ident.Fraction(mrand.Float64())
		}
	})
}

// carryOnce writes the accepted configuration if it is due, and reports whether it was written. rnd is a
// random number in [0,1) that spreads the writes of the nodes over time.
func (n *Node) carryOnce(ctx context.Context, now time.Time, rnd ident.Fraction) bool {
	c, due := n.Policy.CarryDue(now, rnd)
	if !due {
		return false
	}
	if _, err := n.config.writer.Append(ctx, record.FromOrder(order.Record{Carry: &c})); err != nil {
		n.Log.Warn("carryNotWritten", zap.Error(err))
		return false
	}
	return true
}
