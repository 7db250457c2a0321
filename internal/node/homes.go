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
	// homes is how many servers keep a partition: the home and one that stands by, so that the loss of
	// the home does not wait for the stream to be read from its beginning.
	homes = 2
	// homePeriod is the time between two looks at which partitions are kept here.
	homePeriod = time.Second
	// homeGrace is how long a partition is kept after it has moved away, for requests that are on their
	// way and for members that come and go.
	homeGrace = 30 * time.Second
	// onceAppends is how many appends a second all partitions of all services share of the fleet's 300. A
	// flood of refusals at all 960 nodes takes 115 more.
	onceAppends = 160
)

// keepers runs the keepers of the partitions of the own service that this node is a home of.
type keepers struct {
	node *Node
	now  atomic.Pointer[map[int]*keeper.Keeper] // read on the path of a request

	kick    chan struct{} // holds one signal that rules or members have changed
	running map[int]*kept // owned by the goroutine of run
	wg      sync.WaitGroup
}

// kept is one running keeper.
type kept struct {
	keeper *keeper.Keeper
	cancel context.CancelFunc
	wanted time.Time // when the partition was last to be kept here
	window time.Duration
}

// run starts and stops keepers until ctx ends, and then waits for all.
func (k *keepers) run(ctx context.Context) {
	k.running = make(map[int]*kept)
	t := time.NewTicker(homePeriod)
	defer t.Stop()
	for ctx.Err() == nil {
		k.reconcile(ctx, time.Now())
		select {
		case <-ctx.Done():
		case <-k.kick:
		case <-t.C:
		}
	}
	for _, r := range k.running {
		r.cancel()
	}
	k.wg.Wait()
}

// changed makes run look again soon.
func (k *keepers) changed() {
	select {
	case k.kick <- struct{}{}:
	default:
	}
}

func (k *keepers) reconcile(ctx context.Context, now time.Time) {
	changed := false
	for p := range keeper.PartitionCount {
		r, here := k.running[p]
		switch wanted := k.wanted(p); {
		case wanted && here:
			r.wanted = now
			if w := k.window(); w != r.window {
				r.window = w
				r.keeper.SetWindow(w)
			}
		case wanted:
			k.running[p] = k.start(ctx, p, now)
			changed = true
		case here && now.Sub(r.wanted) > homeGrace:
			r.cancel()
			delete(k.running, p)
			changed = true
		}
	}
	if changed {
		k.publish()
	}
}

func (k *keepers) publish() {
	m := make(map[int]*keeper.Keeper, len(k.running))
	for p, r := range k.running {
		m[p] = r.keeper
	}
	k.now.Store(&m)
}

// wanted reports whether this node keeps a partition: only where the rules have at-most-once work that
// enters at its service.
func (k *keepers) wanted(p int) bool {
	n := k.node
	snap := n.Policy.Rules()
	if snap == nil {
		return false
	}
	for _, kind := range snap.Kinds() {
		if !kind.AtMostOnce || kind.Service != n.Self.Service {
			continue
		}
		for _, m := range n.Roster.Homes(n.Self.Service, p, homes) {
			if m.Server == n.Self.Server {
				return true
			}
		}
		return false
	}
	return false
}

// window returns the time for which keys are remembered. The log may be set to keep records for less than
// the rules allow callers to repeat a key.
func (k *keepers) window() time.Duration {
	w := k.node.Settings.Log.Retention
	if snap := k.node.Policy.Rules(); snap != nil {
		w = min(w, snap.KeyWindow())
	}
	return w
}

// appendRate returns the part of one partition in the appends of all. Each takes the others to be as busy.
func (k *keepers) appendRate() float64 {
	snap := k.node.Policy.Rules()
	if snap == nil {
		return onceAppends
	}
	services := map[ident.Service]struct{}{k.node.Self.Service: {}}
	for _, kind := range snap.Kinds() {
		if kind.AtMostOnce {
			services[kind.Service] = struct{}{}
		}
	}
	return onceAppends / float64(len(services)*keeper.PartitionCount)
}

func (k *keepers) start(ctx context.Context, p int, now time.Time) *kept {
	n, window := k.node, k.window()
	kp := keeper.New(n.client, n.Self.Service, p, once.Partition{
		Holder: n.Self.Server, Incarnation: n.Self.Incarnation, Window: window, HolderGone: n.gone,
	})
	kp.Writer.Rate = k.appendRate
	kp.Ignored = func(e applog.Entry) {
		n.Stats.CountEvent("logRecordSkipped")
		n.Log.Warn("logRecordSkipped", zap.Int("partition", p), zap.Int64("offset", int64(e.Offset)))
	}
	ctx, cancel := context.WithCancel(ctx)
	k.wg.Go(func() { kp.Run(ctx) })
	n.Log.Info("partitionKept", zap.Int("partition", p))
	return &kept{keeper: kp, cancel: cancel, wanted: now, window: window}
}

// gone reports whether a holder is known to have ended.
func (n *Node) gone(server ident.Server, inc ident.Incarnation) bool {
	m, ok := n.Roster.Table().Member(server)
	return ok && (m.Incarnation > inc || m.Incarnation == inc && m.Left)
}

// do runs a request at most once; a partition that is not kept here is for another node to run.
func (k *keepers) do(ctx context.Context, req *call.Request, run func(context.Context) call.Result) call.Result {
	if m := k.now.Load(); m != nil {
		if kp := (*m)[keeper.PartitionOf(req.Key)]; kp != nil {
			return kp.Do(ctx, req, run)
		}
	}
	res := call.Refuse(reason.Starting)
	res.RetryBudgetLeft = req.RetryBudget
	return res
}

// homesOf returns where a request may run at most once, the home first. A server that could not be
// reached just now comes last.
func (n *Node) homesOf(req *call.Request) (first []relay.Home) {
	now := time.Now()
	var last []relay.Home
	for _, m := range n.Roster.Homes(req.Service, keeper.PartitionOf(req.Key), homes) {
		h := relay.Home{Addr: m.Address, Self: m.Server == n.Self.Server}
		if !h.Self && n.Book.Unreachable(m.Address, now) {
			last = append(last, h)
			continue
		}
		first = append(first, h)
	}
	return append(first, last...)
}
