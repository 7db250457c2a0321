package node

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"errors"
	mrand "math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"briarworks.example/briarworks/internal/pause"

	"github.com/samber/oops"
	"go.uber.org/zap"

	"briarworks.example/briarworks/internal/admin"
	"briarworks.example/briarworks/internal/applog"
	"briarworks.example/briarworks/internal/closer"
	"briarworks.example/briarworks/internal/flush"
	"briarworks.example/briarworks/internal/front"
	"briarworks.example/briarworks/internal/guard"
	"briarworks.example/briarworks/internal/peer"
	"briarworks.example/briarworks/internal/policy"
	"briarworks.example/briarworks/internal/relay"
	"briarworks.example/briarworks/internal/roster"
	"briarworks.example/briarworks/internal/server"
	"briarworks.example/briarworks/internal/setup"
	"briarworks.example/briarworks/internal/stall"
	"briarworks.example/briarworks/internal/stats"
	"briarworks.example/briarworks/pkg/admit"
	"briarworks.example/briarworks/pkg/audit"
	"briarworks.example/briarworks/pkg/fleet"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/share"
)

// Node is a node with its components. Start and Stop run it once.
type Node struct {
	Settings  *setup.Settings
	Log       *zap.Logger
	Stats     *stats.Stats
	Self      fleet.Member
	Roster    *roster.Roster
	Policy    *policy.Policy
	Gate      *admit.Gate
	Fractions *share.Fractions
	Relay     *relay.Relay
	Front     *front.Front
	Transport *peer.Transport
	Backend   *server.Client
	Ledger    *audit.Ledger
	Guard     *guard.Guard // reports panics of single requests and exchanges

	refusalLog     *zap.Logger // sampled
	client         *applog.Client
	members        *stream
	config         *stream
	refusalWriter  *applog.Writer
	flusher        *flush.Flusher
	stopFlusher    func() // flushes the refusal record
	monitor        stall.Monitor
	keepers        *keepers
	rates          rates
	startColdOnce  sync.Once // starts the gate with a cold limit at the first configuration
	refusalMarks   refusalMarks
	lostPeers      chan lostPeer       // if full, further losses are not recorded
	pendingMembers []fleet.Member      // read from the log, not merged yet; used only by the tail's goroutine
	mergedTo       atomic.Int64        // all records of the members stream before this offset are merged; 0 until its end was read
	newsQueue      chan []fleet.Member // members to broadcast; the periodic sync covers any overflow
	peerListener   net.Listener
	ports          []*front.Port
	cancel         context.CancelFunc
	wg             sync.WaitGroup
}

// Limits of concurrent work of a node. The largest server has about 900 connections and the queue of its node
// holds requests for 50 ms, so an ordinary overload stays far below them.
const (
	maxInflight      = 4096 // requests
	maxConns         = 4096 // connections to each of the caller and local ports
	maxOperatorConns = 64
)

// tickInterval is how often the gate expires queued requests and advances its windows.
const tickInterval = 20 * time.Millisecond

// Start opens the ports and starts the goroutines of the node.
func (n *Node) Start(context.Context) (err error) {
	defer func() { err = oops.Wrapf(err, "node: start") }()
	ctx, cancel := context.WithCancel(context.Background())
	n.cancel = cancel
	if err = n.listen(); err != nil {
		cancel()
		return err
	}
	n.spawn(func() { n.Transport.Watch(ctx) })
	n.spawn(func() { n.tick(ctx) })
	n.spawn(func() { n.runSync(ctx) })
	n.spawn(func() { n.runBroadcast(ctx) })
	n.spawn(func() { n.runGauges(ctx) })
	n.members.start(ctx, n)
	n.config.start(ctx, n)
	n.spawn(func() { n.runAnnounce(ctx) })
	n.spawn(func() { n.runCarry(ctx) })
	n.spawn(func() { n.keepers.run(ctx) })
	n.spawn(func() { n.runWitness(ctx) })
	n.spawn(func() { n.refusalWriter.Run(ctx) })
	n.startFlusher()
	n.Log.Info("nodeStarted",
		zap.String("incarnation", n.Self.Incarnation.String()), zap.String("callers", string(n.Settings.Listen.Callers)),
		zap.String("peers", string(n.Settings.Listen.Peers)))
	return nil
}

// spawn runs f in a goroutine that Stop waits for.
func (n *Node) spawn(f func()) { n.wg.Go(f) }

// listen opens the ports for peers, the local backend server, operators and callers.
func (n *Node) listen() (err error) {
	listen := n.Settings.Listen
	peers, err := net.Listen("tcp", string(listen.Peers))
	if err != nil {
		return err
	}
	n.spawn(func() {
		if err := n.Transport.Serve(peers); err != nil {
			n.Log.Error("peersPortFailed", zap.Error(err))
		}
	})
	ports := []struct {
		addr ident.Address
		*front.Port
	}{
		{listen.Local, front.NewPort(front.Engine(n.Front.ServeLocal, n.Guard), maxConns, n.Front.ReportMalformed)},
		{listen.Operator, front.NewPort(admin.Handler(n.Stats.Handler, n.status, n.inForce), maxOperatorConns, nil)},
		{listen.Callers, front.NewPort(front.Engine(n.Front.ServeCaller, n.Guard), maxConns, n.Front.ReportMalformed)},
	}
	for _, p := range ports {
		ln, err := net.Listen("tcp", string(p.addr))
		if err != nil {
			return errors.Join(err, peers.Close(), n.shutdownPorts(context.Background(), context.Background()))
		}
		p.Closer.OnCut = closer.Report(n.Stats.CountEvent, n.Log)
		n.ports = append(n.ports, p.Port)
		n.spawn(func() {
			if err := p.Serve(ln); !errors.Is(err, http.ErrServerClosed) {
				n.Log.Error("portFailed", zap.String("address", string(p.addr)), zap.Error(err))
			}
		})
	}
	n.peerListener = peers
	return nil
}

// Stop ends the node gracefully; ctx bounds the wait for requests in flight.
func (n *Node) Stop(ctx context.Context) (err error) {
	defer func() { err = oops.Wrapf(err, "node: stop") }()
	n.Log.Info("stopStarted", zap.Int64("inFlight", n.Relay.Inflight()))
	n.Relay.Drain()
	n.Transport.BroadcastLeave(ctx, leaveNotifyTimeout)
	idle := n.Relay.Idle(ctx) && n.Transport.WaitIdle(ctx)
	n.writeLeave(ctx)
	closeCtx, cancel := closeContext(ctx)
	defer cancel()
	err = n.shutdownPorts(ctx, closeCtx)
	n.stopFlusher()
	n.cancel()
	err = errors.Join(err, n.peerListener.Close())
	n.Transport.Shutdown(closeCtx)
	n.Transport.Close()
	n.wg.Wait()
	n.Backend.Close()
	n.Log.Info("stopEnded", zap.Bool("idle", idle), zap.Int64("inFlight", n.Relay.Inflight()))
	return errors.Join(err, n.Stats.Close())
}

// startFlusher runs the flusher of the refusal record under its own context. Stop ends it after the last refusal
// is recorded and before the log writer ends.
func (n *Node) startFlusher() {
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() {
		defer close(done)
		n.flusher.Run(ctx)
	}()
	n.stopFlusher = func() {
		cancel()
		<-done
	}
}

// leaveNotifyTimeout bounds the time to notify peers of a leave. Peers that do not answer learn of it from refusals.
const leaveNotifyTimeout = time.Second

// closeMargin is reserved at the end of a stop, so that a caller or a peer that does not read cannot make it late.
const closeMargin = 500 * time.Millisecond

// closeContext returns a context that ends closeMargin before the deadline of ctx.
func closeContext(ctx context.Context) (context.Context, context.CancelFunc) {
	if deadline, ok := ctx.Deadline(); ok {
		return context.WithDeadline(ctx, deadline.Add(-closeMargin))
	}
	return context.WithCancel(ctx)
}

// shutdownPorts closes the HTTP ports after their requests have ended, and waits until callers have received the responses
// or closeCtx ends.
func (n *Node) shutdownPorts(ctx, closeCtx context.Context) (err error) {
	for _, p := range n.ports {
		err = errors.Join(err, p.Server.Shutdown(ctx))
	}
	for _, p := range n.ports {
		p.Closer.Shutdown(closeCtx)
	}
	return err
}

// tick drives the timers of the gate, and records that the process runs, until ctx ends.
func (n *Node) tick(ctx context.Context) {
	pause.Every(ctx, tickInterval, func(now time.Time) {
		n.monitor.Beat(now)
		n.Gate.Tick(now)
	})
}

// randomID returns 128 random bits in hexadecimal.
func randomID() string {
	var b [16]byte
	_, _ = rand.Read(b[:]) // never returns an error
	return hex.EncodeToString(b[:])
}

// jitter returns a random duration in [0,d).
func jitter(d time.Duration) time.Duration { return time.Duration(mrand.Float64() * float64(d)) }
