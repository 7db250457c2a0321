package node

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"go.uber.org/fx"
	"go.uber.org/zap"

	"briarworks.example/briarworks/internal/applog"
	"briarworks.example/briarworks/internal/fakes"
	"briarworks.example/briarworks/internal/flight"
	"briarworks.example/briarworks/internal/policy"
	"briarworks.example/briarworks/internal/ports"
	"briarworks.example/briarworks/internal/probe"
	"briarworks.example/briarworks/internal/record"
	"briarworks.example/briarworks/internal/record/recpb"
	"briarworks.example/briarworks/internal/server"
	"briarworks.example/briarworks/internal/setup"
	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/fleet"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/order"
)

const (
	waitLimit  = time.Minute // only ends a wait that fails
	retryBound = 3
)

const document = `
fleet: test
dataCentres: [{name: c, region: r}]
services:
  - {name: entry, slots: 16, connections: 64, servers: 2, dataCentres: [c]}
  - {name: middle, slots: 64, connections: 128, servers: 2, dataCentres: [c]}
  - {name: deep, slots: 64, connections: 128, servers: 2, dataCentres: [c]}
ranks: [{name: only}]
kinds:
  - {name: lookup, rank: only, service: entry, method: GET, path: /lookups, deadline: 5s, idempotent: true}
rules: {retryBound: 3}
`

// member is a backend server with its node.
type member struct {
	node    *Node
	app     *fx.App
	backend *fakes.Backend
	set     *setup.Settings
	conns   conns
	decided atomic.Int64 // publishes of the log on which the node decided
	stopped bool
}

// conns keeps the connections that a node opened to its peers.
type conns struct {
	mu  sync.Mutex
	all []*fakes.BlackholeConn
}

func (c *conns) add(x *fakes.BlackholeConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all = append(c.all, x)
}

// each calls f for each connection, forgets them and returns how many there were.
func (c *conns) each(f func(*fakes.BlackholeConn)) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range c.all {
		f(x)
	}
	n := len(c.all)
	c.all = nil
	return n
}

// cut closes a connection for both ends.
func cut(x *fakes.BlackholeConn) { _ = x.Conn.Close() }

// silence makes a connection carry nothing while it stays open.
func silence(x *fakes.BlackholeConn) {
	x.DropReads()
	x.DropWrites()
}

// testFleet is some nodes in this process over loopback, with a stand-in log.
type testFleet struct {
	*testing.T
	log     *fakes.Log
	logAddr ident.Address
	all     []*member
	tries   tries
	mu      sync.Mutex
	forced  map[ident.Server][]ident.Version // versions in force, in order
	client  *http.Client

	calls     atomic.Int64 // between nodes, numbered from 1
	last      atomic.Int64 // number of the call that was answered last
	overtaken atomic.Int64 // calls that were answered after a later one
}

func newTestFleet(t *testing.T) *testFleet {
	t.Helper()
	f := &testFleet{T: t, log: &fakes.Log{}, forced: make(map[ident.Server][]ident.Version)}
	srv := httptest.NewServer(f.log)
	f.logAddr = ident.Address(srv.Listener.Addr().String())
	f.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 64}}
	t.Cleanup(func() {
		f.log.SetFaults(fakes.LogFaults{})
		f.stopAll()
		f.client.CloseIdleConnections()
		srv.CloseClientConnections()
		srv.Close()
	})
	return f
}

// ports are below those that systems give to outgoing connections.
var free = probe.Ports{Range: ports.Range{First: 31000, Count: 1700}}

// ports returns free addresses on loopback.
func (f *testFleet) ports(n int) []ident.Address { return free.Addresses(f, n) }

// add starts a backend server, which calls the next service if there is one, and its node.
func (f *testFleet) add(service ident.Service, next string, change func(*setup.Settings)) *member {
	f.Helper()
	a := f.ports(4)
	m := &member{backend: &fakes.Backend{Service: string(service), NodeURL: "http://" + string(a[1])}}
	if next != "" {
		m.backend.Downstreams = []fakes.Downstream{{Prefix: "/", Service: next}}
	}
	srv := httptest.NewServer(m.backend)
	f.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
	})
	m.set = &setup.Settings{
		Server: ident.Server(fmt.Sprintf("%s-%d", service, len(f.all))), Service: service, DataCentre: "c",
		Listen:  setup.Listen{Callers: a[0], Local: a[1], Peers: a[2], Operator: a[3]},
		Backend: ident.Address(srv.Listener.Addr().String()), Log: setup.Log{Address: f.logAddr, Retention: 48 * time.Hour},
		StopTimeout: 10 * time.Second,
	}
	if change != nil {
		change(m.set)
	}
	f.all = append(f.all, m)
	f.start(m)
	return m
}

// start starts the node of m, as a new process would.
func (f *testFleet) start(m *member) {
	f.Helper()
	m.app = fx.New(Module, fx.Supply(m.set, zap.NewNop()), fx.Populate(&m.node), fx.NopLogger)
	n := m.node
	dial := n.Book.Dial
	n.Book.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
		c, err := dial(ctx, addr)
		if err != nil {
			return nil, err
		}
		v := fakes.NewBlackholeConn(c)
		m.conns.add(v)
		return v, nil
	}
	send, run := n.Relay.Send, n.Relay.Run
	n.Relay.Send = func(ctx context.Context, addr ident.Address, req *call.Request) call.Result {
		f.tries.sent(req)
		at := f.calls.Add(1)
		res := send(ctx, addr, req)
		if f.last.Swap(at) > at {
			f.overtaken.Add(1)
		}
		return res
	}
	n.Relay.Run = func(ctx context.Context, req *call.Request, token flight.Token, now time.Time) call.Result {
		f.tries.ran(req)
		return run(ctx, req, token, now)
	}
	m.decided.Store(0)
	n.Policy.OnDecision = func(order.Decision) { m.decided.Add(1) }
	changed := n.Policy.OnChange
	n.Policy.OnChange = func(c policy.InForce) {
		f.mu.Lock()
		f.forced[m.set.Server] = append(f.forced[m.set.Server], c.Version)
		f.mu.Unlock()
		changed(c)
	}
	if err := m.app.Start(f.Context()); err != nil {
		f.Fatal(err)
	}
	m.stopped = false
}

// stop stops a node as planned; its time is bounded.
func (f *testFleet) stop(m *member) {
	f.Helper()
	if m.stopped {
		return
	}
	m.stopped = true
	ctx, cancel := context.WithTimeout(context.Background(), m.set.StopTimeout)
	defer cancel()
	if err := m.app.Stop(ctx); err != nil {
		f.Errorf("stop of %s: got %v, want no error", m.set.Server, err)
	}
}

// stopAll stops all nodes at the same time.
func (f *testFleet) stopAll() {
	f.Helper()
	var wg sync.WaitGroup
	for _, m := range f.all {
		wg.Go(func() { f.stop(m) })
	}
	wg.Wait()
}

// publish writes a configuration past the faults of the log.
func (f *testFleet) publish(id string, base ident.Version) {
	f.Helper()
	f.write(applog.Config, record.FromOrder(order.Record{Publish: &order.Publish{
		ID: ident.RecordID(id), Base: base, Document: document, Author: "test", At: time.Now(),
	}}))
}

// announce writes the announcement of a server past the faults of the log.
func (f *testFleet) announce(m fleet.Member) {
	f.Helper()
	f.write(applog.Members, record.FromMember(m))
}

func (f *testFleet) write(to applog.Stream, r *recpb.Record) {
	f.Helper()
	data, err := record.EncodeGroup([]*recpb.Record{r})
	if err != nil {
		f.Fatal(err)
	}
	f.log.Append(string(to), data)
}

// versions returns the versions that were in force at a server, in order.
func (f *testFleet) versions(m *member) []ident.Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]ident.Version(nil), f.forced[m.set.Server]...)
}

// within waits until a condition holds.
func (f *testFleet) within(limit time.Duration, what string, holds func() bool) {
	f.Helper()
	probe.Within(f, limit, what, holds)
}

// inForce reports whether a version is in force at all members.
func (f *testFleet) inForce(v ident.Version, at ...*member) bool {
	for _, m := range at {
		if m.node.Policy.Version() != v {
			return false
		}
	}
	return true
}

// sees reports whether a node knows a server that has not left.
func (m *member) sees(s ident.Server) bool {
	x, ok := m.node.Roster.Table().Member(s)
	return ok && !x.Left
}

// told is what a caller was told.
type told struct {
	outcome string // empty for a whole answer of the backend server
	reason  string
	status  int
	wrong   bool // the answer belongs to another request
	took    time.Duration
	err     error
}

func (x told) whole() bool {
	return x.err == nil && x.outcome == "" && x.status == http.StatusOK && !x.wrong
}

// ask sends one request with a path of its own and waits for the answer.
func (f *testFleet) ask(m *member, path string) (x told) {
	began := time.Now()
	defer func() { x.took = time.Since(began) }()
	req, err := http.NewRequest(http.MethodGet, "http://"+string(m.set.Listen.Callers)+path, nil)
	if err != nil {
		return told{err: err}
	}
	req.Header.Set(server.HeaderCaller, "test")
	resp, err := f.client.Do(req)
	if err != nil {
		return told{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	x = told{outcome: resp.Header.Get(server.HeaderOutcome), reason: resp.Header.Get(server.HeaderReason), status: resp.StatusCode, err: err}
	var a struct {
		Path string `json:"path"`
	}
	x.wrong = x.outcome == "" && (json.Unmarshal(body, &a) != nil || a.Path != path)
	return x
}

// batch sends n requests at a time with width, and returns what their callers were told.
func (f *testFleet) batch(name string, n, width int, at ...*member) []told {
	all := make([]told, n)
	var next atomic.Int64
	var wg sync.WaitGroup
	for range width {
		wg.Go(func() {
			for i := int(next.Add(1)) - 1; i < n; i = int(next.Add(1)) - 1 {
				all[i] = f.ask(at[i%len(at)], fmt.Sprintf("/lookups/%s/%d", name, i))
			}
		})
	}
	wg.Wait()
	return all
}

// wholeIn checks that every caller got its whole answer within the time.
func (f *testFleet) wholeIn(limit time.Duration, what string, all []told) {
	f.Helper()
	for i, x := range all {
		if !x.whole() || x.took > limit {
			f.Errorf("%s, request %d: got %+v, want a whole answer within %v", what, i, x, limit)
			return
		}
	}
}

// tries counts the attempts of requests over all nodes. All attempts of one call pass the same request
// by pointer. At the entry a request is repeated when it is run once more.
type tries struct {
	mu    sync.Mutex
	sends map[*call.Request]int
	runs  map[ident.Key]int
}

func (t *tries) sent(req *call.Request) {
	if req.Hop == 0 {
		return // handed over within the entry service; a run there counts
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sends == nil {
		t.sends = make(map[*call.Request]int)
	}
	t.sends[req]++
}

func (t *tries) ran(req *call.Request) {
	if req.Hop != 0 {
		return
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.runs == nil {
		t.runs = make(map[ident.Key]int)
	}
	t.runs[req.Key]++
}

// retries returns the retries of each request over the whole chain.
func (t *tries) retries() map[ident.Key]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	all := make(map[ident.Key]int)
	for req, n := range t.sends {
		all[req.Key] += n - 1
	}
	for key, n := range t.runs {
		all[key] += n - 1
	}
	return all
}
