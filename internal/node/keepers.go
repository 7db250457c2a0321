package node

import (
	"context"
	"sync"
	"sync/atomic"
	"time"

	"go.uber.org/zap"

	"briarworks.example/briarworks/internal/applog"
	"briarworks.example/briarworks/internal/keeper"
	"briarworks.example/briarworks/internal/relay"
	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/once"
	"briarworks.example/briarworks/pkg/reason"
)

const (
	// homesPerPartition is the number of servers that keep a partition: the home and one standby, so that a
	// failover need not read the stream from its beginning.
	homesPerPartition = 2
	// reconcileInterval is the time between two checks of the partitions that are assigned to this node.
	reconcileInterval = time.Second
	// handoverGrace is how long a partition is kept after it was assigned elsewhere, for requests on their way
	// and for members that leave and return.
	handoverGrace = 30 * time.Second
	// onceAppendRate is the share of the fleet's 300 appends per second that all partitions of all services may
	// use. A flood of refusals at all 960 nodes takes another 115.
	onceAppendRate = 160
)

// keepers runs a keeper for each partition of the local service that is assigned to this node.
type keepers struct {
	node   *Node
	active atomic.Pointer[map[int]*keeper.Keeper] // by partition; read on the request path

	wake    chan struct{}          // signals that rules or members have changed
	running map[int]*runningKeeper // by partition; used only by the goroutine of run
	wg      sync.WaitGroup
}

// runningKeeper is a keeper with what is needed to stop or update it.
type runningKeeper struct {
	keeper       *keeper.Keeper
	cancel       context.CancelFunc
	lastAssigned time.Time // last time the partition was assigned to this node
	window       time.Duration
}

// run starts and stops keepers until ctx ends, and then waits for all of them to end.
func (k *keepers) run(ctx context.Context) {
	k.running = make(map[int]*runningKeeper)
	t := time.NewTicker(reconcileInterval)
	defer t.Stop()
	for ctx.Err() == nil {
		k.reconcile(ctx, time.Now())
		select {
		case <-ctx.Done():
		case <-k.wake:
		case <-t.C:
		}
	}
	for _, r := range k.running {
		r.cancel()
	}
	k.wg.Wait()
}

// notify makes run reconcile without waiting for the next interval.
func (k *keepers) notify() {
	select {
	case k.wake <- struct{}{}:
	default:
	}
}

// reconcile starts keepers of newly assigned partitions, updates the key window of running ones and stops those
// that were assigned elsewhere for longer than handoverGrace.
func (k *keepers) reconcile(ctx context.Context, now time.Time) {
	changed := false
	for p := range keeper.PartitionCount {
		r, here := k.running[p]
		switch assigned := k.assigned(p); {
		case assigned && here:
			r.lastAssigned = now
			if w := k.keyWindow(); w != r.window {
				r.window = w
				r.keeper.SetWindow(w)
			}
		case assigned:
			k.running[p] = k.start(ctx, p, now)
			changed = true
		case here && now.Sub(r.lastAssigned) > handoverGrace:
			r.cancel()
			delete(k.running, p)
			changed = true
		}
	}
	if changed {
		k.publish()
	}
}

// publish replaces the map of keepers that the request path reads.
func (k *keepers) publish() {
	m := make(map[int]*keeper.Keeper, len(k.running))
	for p, r := range k.running {
		m[p] = r.keeper
	}
	k.active.Store(&m)
}

// assigned reports whether this node is a home of a partition. It never is unless the rules have an at-most-once
// kind of its service.
func (k *keepers) assigned(p int) bool {
	n := k.node
	rules := n.Policy.Rules()
	if rules == nil {
		return false
	}
	for _, kind := range rules.Kinds() {
		if !kind.AtMostOnce || kind.Service != n.Self.Service {
			continue
		}
		for _, m := range n.Roster.Homes(n.Self.Service, p, homesPerPartition) {
			if m.Server == n.Self.Server {
				return true
			}
		}
		return false
	}
	return false
}

// keyWindow returns the time for which keys are remembered: the smaller of the key window of the rules and the
// retention of the log, which may be shorter.
func (k *keepers) keyWindow() time.Duration {
	w := k.node.Settings.Log.Retention
	if rules := k.node.Policy.Rules(); rules != nil {
		w = min(w, rules.KeyWindow())
	}
	return w
}

// appendRate returns the appends per second that one partition may use, assuming that all are equally busy.
func (k *keepers) appendRate() float64 {
	rules := k.node.Policy.Rules()
	if rules == nil {
		return onceAppendRate
	}
	services := map[ident.Service]struct{}{k.node.Self.Service: {}}
	for _, kind := range rules.Kinds() {
		if kind.AtMostOnce {
			services[kind.Service] = struct{}{}
		}
	}
	return onceAppendRate / float64(len(services)*keeper.PartitionCount)
}

// start starts the keeper of a partition.
func (k *keepers) start(ctx context.Context, p int, now time.Time) *runningKeeper {
	n, window := k.node, k.keyWindow()
	kp := keeper.New(n.client, n.Self.Service, p, once.Partition{
		Holder: n.Self.Server, Incarnation: n.Self.Incarnation, Window: window, HolderGone: n.hasEnded,
	})
	kp.Writer.Rate = k.appendRate
	kp.Ignored = func(e applog.Entry) {
		n.Stats.CountEvent("logRecordSkipped")
		n.Log.Warn("logRecordSkipped", zap.Int("partition", p), zap.Int64("offset", int64(e.Offset)))
	}
	ctx, cancel := context.WithCancel(ctx)
	k.wg.Go(func() { kp.Run(ctx) })
	n.Log.Info("partitionKept", zap.Int("partition", p))
	return &runningKeeper{keeper: kp, cancel: cancel, lastAssigned: now, window: window}
}

// hasEnded reports whether an incarnation of a server is known to have ended.
func (n *Node) hasEnded(server ident.Server, inc ident.Incarnation) bool {
	m, ok := n.Roster.Table().Member(server)
	return ok && (m.Incarnation > inc || m.Incarnation == inc && m.Left)
}

// do runs a request at most once. It refuses a request whose partition is not kept by this node.
func (k *keepers) do(ctx context.Context, req *call.Request, run func(context.Context) call.Result) call.Result {
	if m := k.active.Load(); m != nil {
		if kp := (*m)[keeper.PartitionOf(req.Key)]; kp != nil {
			return kp.Do(ctx, req, run)
		}
	}
	res := call.Refuse(reason.Starting)
	res.RetryBudgetLeft = req.RetryBudget
	return res
}

// homes returns the servers that may run an at-most-once request, the home first. Servers that were recently
// unreachable come last.
func (n *Node) homes(req *call.Request) (reachable []relay.Home) {
	now := time.Now()
	var unreachable []relay.Home
	for _, m := range n.Roster.Homes(req.Service, keeper.PartitionOf(req.Key), homesPerPartition) {
		h := relay.Home{Addr: m.Address, Self: m.Server == n.Self.Server}
		if !h.Self && n.Transport.Unreachable(m.Address, now) {
			unreachable = append(unreachable, h)
			continue
		}
		reachable = append(reachable, h)
	}
	return append(reachable, unreachable...)
}
