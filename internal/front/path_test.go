package front

import (
	"context"
	"encoding/hex"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"syscall"
	"testing"
	"time"

	"github.com/gin-gonic/gin"

	"briarworks.example/briarworks/internal/flight"
	"briarworks.example/briarworks/internal/peer"
	"briarworks.example/briarworks/internal/relay"
	"briarworks.example/briarworks/internal/roster"
	"briarworks.example/briarworks/internal/server"
	"briarworks.example/briarworks/internal/wire/wirepb"
	"briarworks.example/briarworks/pkg/admit"
	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/fleet"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/reason"
	"briarworks.example/briarworks/pkg/rules"
	"briarworks.example/briarworks/pkg/share"
)

const pathRules = `
fleet: test
dataCentres: [{name: c, region: r}]
services:
  - {name: shop, slots: 64, connections: 64, servers: 1, dataCentres: [c]}
  - {name: stock, slots: 64, connections: 64, servers: 1, dataCentres: [c]}
ranks: [{name: only}]
kinds:
  - {name: look, rank: only, service: stock, method: POST, path: /work, deadline: 5s, idempotent: true}
`

// pathBody is about the size of a small JSON document.
var pathBody = strings.Repeat("x", 200)

// pathNode is a node reduced to the request path, without gossip, configuration and other background work.
type pathNode struct {
	member fleet.Member
	front  *Front
	book   *peer.Transport
	roster *roster.Roster
	addr   string // address of the backend server
}

func pathToken() string {
	var b [16]byte
	for i := range b {
		b[i] = byte(rand.Uint32())
	}
	return hex.EncodeToString(b[:])
}

// newPathNode starts a node whose backend server responds immediately.
func newPathNode(b *testing.B, service ident.Service, snap *rules.Snapshot) *pathNode {
	b.Helper()
	ln := listenLocal(b)
	n := &pathNode{member: fleet.Member{
		Server: ident.Server(service) + "-1", Service: service, DataCentre: "c",
		Address: ident.Address(ln.Addr().String()), Incarnation: 1, Slots: 64, Conns: 64, Announced: time.Now(),
	}}
	n.roster = &roster.Roster{Self: n.member, Retention: time.Hour}
	n.book = &peer.Transport{
		Server: n.member.Server, Incarnation: n.member.Incarnation, Now: time.Now, OnEvent: func(peer.Event) {},
		Dial: func(ctx context.Context, addr string) (net.Conn, error) {
			return (&net.Dialer{}).DialContext(ctx, "tcp", addr)
		},
		OnLeave: func(ident.Server, ident.Incarnation) {},
		OnSync:  func(ident.Server, *wirepb.Sync) *wirepb.SyncReply { return nil },
	}
	backend := listenLocal(b)
	n.addr = backend.Addr().String()
	srv := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		_, _ = io.Copy(io.Discard, r.Body)
		w.Header().Set("Content-Type", "application/json")
		_, _ = io.WriteString(w, pathBody)
	})}
	go func() { _ = srv.Serve(backend) }()
	client := server.New(ident.Address(n.addr), 64)
	paths := &share.Fractions{}
	rl := &relay.Relay{
		Self: n.member, Now: time.Now, Rand: rand.Uint64, NewToken: func() flight.Token { return flight.Token(pathToken()) },
		Rules: func() *rules.Snapshot { return snap }, Routes: n.roster.PeerSet, Run: client.Run, Send: n.book.Call,
		RefusalSeq: func() ident.Seq { return 0 }, OnRetry: func(reason.Retry) {},
		Gate:      admit.New(admit.Config{Service: service, Slots: 64, Fractions: paths}),
		Fractions: paths, Flights: &flight.Table{}, MaxInflight: 4096,
	}
	n.book.OnCall = rl.ServePeer
	n.front = &Front{
		Service: service, Relay: rl, Rules: rl.Rules, Now: time.Now, NewKey: func() ident.Key { return ident.Key(pathToken()) },
		OnFailure: func(t FailureEvent) { b.Errorf("refused: got %v, want a response", t.Result.Reason) },
		OnServed:  func(ident.Kind, time.Duration) {},
	}
	done := make(chan struct{})
	go func() { defer close(done); _ = n.book.Serve(ln) }()
	b.Cleanup(func() {
		_ = ln.Close()
		<-done
		n.book.Close()
		client.Close()
		_ = srv.Close()
	})
	return n
}

func listenLocal(b *testing.B) net.Listener {
	b.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		b.Fatal(err)
	}
	return ln
}

// cpuTime returns the user and system CPU time that this process has used.
func cpuTime() time.Duration {
	var u syscall.Rusage
	_ = syscall.Getrusage(syscall.RUSAGE_SELF, &u)
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

// pathNodes returns a calling and a called node, and the URL of a call through both.
func pathNodes(b *testing.B, handle func(near *pathNode) gin.HandlerFunc) (near, far *pathNode, url string) {
	b.Helper()
	d, err := rules.Decode("test", []byte(pathRules))
	if err != nil {
		b.Fatal(err)
	}
	snap, err := rules.Compile(d)
	if err != nil {
		b.Fatal(err)
	}
	near, far = newPathNode(b, "shop", snap), newPathNode(b, "stock", snap)
	near.roster.Apply(time.Now(), far.member)
	ln := listenLocal(b)
	port := NewPort(Engine(handle(near), nil), 64, nil)
	go func() { _ = port.Serve(ln) }()
	b.Cleanup(func() { _ = port.Server.Close() })
	return near, far, "http://" + ln.Addr().String() + "/stock/work"
}

// BenchmarkPath measures a call through the local port of one node to the server of another one. Its CPU time
// includes that of the caller and the backend server, which the case "direct" measures alone.
func BenchmarkPath(b *testing.B) {
	_, far, two := pathNodes(b, func(near *pathNode) gin.HandlerFunc { return near.front.ServeLocal })
	for name, url := range map[string]string{
		"twoNodes": two,
		"direct":   "http://" + far.addr + "/work",
	} {
		b.Run(name, func(b *testing.B) { benchmarkCalls(b, url) })
	}
}

// BenchmarkStages makes one call at a time through two nodes and reports the median and the 99th percentile of the
// duration of each stage, in microseconds.
func BenchmarkStages(b *testing.B) {
	var at [9]time.Time // timestamps of one call
	stamp := func(i int) { at[i] = time.Now() }
	near, far, url := pathNodes(b, func(near *pathNode) gin.HandlerFunc {
		return func(c *gin.Context) {
			stamp(1)
			near.front.ServeLocal(c)
			stamp(8)
		}
	})
	send, serve, run := near.front.Relay.Send, far.book.OnCall, far.front.Relay.Run
	near.front.Relay.Send = func(ctx context.Context, addr ident.Address, req *call.Request) call.Result {
		stamp(2)
		defer stamp(7)
		return send(ctx, addr, req)
	}
	far.book.OnCall = func(ctx context.Context, req *call.Request) call.Result {
		stamp(3)
		defer stamp(6)
		return serve(ctx, req)
	}
	far.front.Relay.Run = func(ctx context.Context, req *call.Request, token flight.Token, now time.Time) call.Result {
		stamp(4)
		defer stamp(5)
		return run(ctx, req, token, now)
	}
	stages := [...]string{"toNode", "callingIn", "toPeer", "calledIn", "server", "calledOut", "fromPeer", "callingOut", "fromNode"}
	var took [len(stages)][]float64
	t := &http.Transport{}
	defer t.CloseIdleConnections()
	client := &http.Client{Transport: t}
	for b.Loop() {
		stamp(0)
		resp, err := client.Post(url, "application/json", strings.NewReader(pathBody))
		if err != nil {
			b.Fatal(err)
		}
		_, _ = io.Copy(io.Discard, resp.Body)
		_ = resp.Body.Close()
		end := time.Now()
		for i := range stages {
			next := end
			if i+1 < len(at) {
				next = at[i+1]
			}
			took[i] = append(took[i], float64(next.Sub(at[i]).Nanoseconds())/1000)
		}
	}
	for i, name := range stages {
		slices.Sort(took[i])
		b.ReportMetric(took[i][len(took[i])/2], name+"-p50-us")
		b.ReportMetric(took[i][len(took[i])*99/100], name+"-p99-us")
	}
}

// benchmarkCalls makes calls from several goroutines at a time and reports the CPU time of a call.
func benchmarkCalls(b *testing.B, url string) {
	t := &http.Transport{MaxIdleConnsPerHost: 64}
	defer t.CloseIdleConnections()
	client := &http.Client{Transport: t}
	b.ReportAllocs()
	before := cpuTime()
	b.ResetTimer()
	b.SetParallelism(1)
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			resp, err := client.Post(url, "application/json", strings.NewReader(pathBody))
			if err != nil {
				b.Error(err)
				return
			}
			body, err := io.ReadAll(resp.Body)
			_ = resp.Body.Close()
			if err != nil || resp.StatusCode != http.StatusOK || len(body) != len(pathBody) {
				b.Errorf("response: got %d, %d bytes, %v, want 200, %d bytes", resp.StatusCode, len(body), err, len(pathBody))
				return
			}
		}
	})
	b.ReportMetric(float64((cpuTime()-before).Microseconds())/float64(b.N), "cpu-us/op")
}
