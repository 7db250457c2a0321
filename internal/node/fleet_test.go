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
	waitLimit  = time.Minute // bounds waits without a required time
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
	node      *Node
	app       *fx.App
	backend   *fakes.Backend
	settings  *setup.Settings
	conns     openConns
	decisions atomic.Int64 // Publish records that the node decided
	stopped   bool
}

// openConns tracks the connections that a node opened to its peers.
type openConns struct {
	mu  sync.Mutex
	all []*fakes.BlackholeConn
}

func (c *openConns) add(x *fakes.BlackholeConn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all = append(c.all, x)
}

// applyAndClear calls f for each connection, clears the list and returns the number of connections.
func (c *openConns) applyAndClear(f func(*fakes.BlackholeConn)) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, x := range c.all {
		f(x)
	}
	n := len(c.all)
	c.all = nil
	return n
}

// cut closes a connection.
func cut(x *fakes.BlackholeConn) { _ = x.Conn.Close() }

// blackhole drops all traffic of a connection but leaves it open.
func blackhole(x *fakes.BlackholeConn) {
	x.DropReads()
	x.DropWrites()
}

// testFleet runs nodes in this process over loopback, with a fake log.
type testFleet struct {
	*testing.T
	log            *fakes.Log
	logAddress     ident.Address
	members        []*member
	attempts       attemptCounter
	mu             sync.Mutex
	versionHistory map[ident.Server][]ident.Version // versions in force at each server, in order
	client         *http.Client

	callCount    atomic.Int64 // calls between nodes, numbered from 1
	lastAnswered atomic.Int64 // number of the most recently answered call
	reordered    atomic.Int64 // calls answered after a later call
}

func newTestFleet(t *testing.T) *testFleet {
	t.Helper()
	f := &testFleet{T: t, log: &fakes.Log{}, versionHistory: make(map[ident.Server][]ident.Version)}
	srv := httptest.NewServer(f.log)
	f.logAddress = ident.Address(srv.Listener.Addr().String())
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

// freePorts hands out ports below the usual ephemeral range.
var freePorts = probe.Ports{Range: ports.Range{First: 31000, Count: 1700}}

// addresses returns n free loopback addresses.
func (f *testFleet) addresses(n int) []ident.Address { return freePorts.Addresses(f, n) }

// add starts a backend server and its node. The backend server calls the next service if next is not empty.
func (f *testFleet) add(service ident.Service, next string, change func(*setup.Settings)) *member {
	f.Helper()
	addrs := f.addresses(4)
	m := &member{backend: &fakes.Backend{Service: string(service), NodeURL: "http://" + string(addrs[1])}}
	if next != "" {
		m.backend.Downstreams = []fakes.Downstream{{Prefix: "/", Service: next}}
	}
	srv := httptest.NewServer(m.backend)
	f.Cleanup(func() {
		srv.CloseClientConnections()
		srv.Close()
	})
	m.settings = &setup.Settings{
		Server: ident.Server(fmt.Sprintf("%s-%d", service, len(f.members))), Service: service, DataCentre: "c",
		Listen:  setup.Listen{Callers: addrs[0], Local: addrs[1], Peers: addrs[2], Operator: addrs[3]},
		Backend: ident.Address(srv.Listener.Addr().String()), Log: setup.Log{Address: f.logAddress, Retention: 48 * time.Hour},
		StopTimeout: 10 * time.Second,
	}
	if change != nil {
		change(m.settings)
	}
	f.members = append(f.members, m)
	f.start(m)
	return m
}

// start starts a new node for m, as a process restart would.
func (f *testFleet) start(m *member) {
	f.Helper()
	m.app = fx.New(Module, fx.Supply(m.settings, zap.NewNop()), fx.Populate(&m.node), fx.NopLogger)
	n := m.node
	dial := n.Transport.Dial
	n.Transport.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
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
		f.attempts.countSend(req)
		number := f.callCount.Add(1)
		res := send(ctx, addr, req)
		if f.lastAnswered.Swap(number) > number {
			f.reordered.Add(1)
		}
		return res
	}
	n.Relay.Run = func(ctx context.Context, req *call.Request, token flight.Token, now time.Time) call.Result {
		f.attempts.countRun(req)
		return run(ctx, req, token, now)
	}
	m.decisions.Store(0)
	n.Policy.OnDecision = func(order.Decision) { m.decisions.Add(1) }
	changed := n.Policy.OnChange
	n.Policy.OnChange = func(c policy.InForce) {
		f.mu.Lock()
		f.versionHistory[m.settings.Server] = append(f.versionHistory[m.settings.Server], c.Version)
		f.mu.Unlock()
		changed(c)
	}
	if err := m.app.Start(f.Context()); err != nil {
		f.Fatal(err)
	}
	m.stopped = false
}

// stop stops a node gracefully, within its stop timeout.
func (f *testFleet) stop(m *member) {
	f.Helper()
	if m.stopped {
		return
	}
	m.stopped = true
	ctx, cancel := context.WithTimeout(context.Background(), m.settings.StopTimeout)
	defer cancel()
	if err := m.app.Stop(ctx); err != nil {
		f.Errorf("stop of %s: got %v, want no error", m.settings.Server, err)
	}
}

// stopAll stops all nodes at the same time.
func (f *testFleet) stopAll() {
	f.Helper()
	var wg sync.WaitGroup
	for _, m := range f.members {
		wg.Go(func() { f.stop(m) })
	}
	wg.Wait()
}

// publish writes a configuration to the log, bypassing its faults.
func (f *testFleet) publish(id string, base ident.Version) {
	f.Helper()
	f.write(applog.Config, record.FromOrder(order.Record{Publish: &order.Publish{
		ID: ident.RecordID(id), Base: base, Document: document, Author: "test", At: time.Now(),
	}}))
}

// announce writes the announcement of a server to the log, bypassing its faults.
func (f *testFleet) announce(m fleet.Member) {
	f.Helper()
	f.write(applog.Members, record.FromMember(m))
}

// write appends a record to the log, bypassing its faults.
func (f *testFleet) write(to applog.Stream, r *recpb.Record) {
	f.Helper()
	data, err := record.EncodeGroup([]*recpb.Record{r})
	if err != nil {
		f.Fatal(err)
	}
	f.log.Append(string(to), data)
}

// versionsOf returns the versions that were in force at a server, in order.
func (f *testFleet) versionsOf(m *member) []ident.Version {
	f.mu.Lock()
	defer f.mu.Unlock()
	return append([]ident.Version(nil), f.versionHistory[m.settings.Server]...)
}

// waitFor waits until a condition holds and fails the test at the limit.
func (f *testFleet) waitFor(limit time.Duration, what string, holds func() bool) {
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

// knows reports whether a node lists a server that has not left.
func (m *member) knows(s ident.Server) bool {
	x, ok := m.node.Roster.Table().Member(s)
	return ok && !x.Left
}

// response is what a caller received.
type response struct {
	outcome    string // empty for a response of the backend server
	reason     string
	status     int
	mismatched bool // the response belongs to another request
	elapsed    time.Duration
	err        error
}

// complete reports whether the caller received the full response of the backend server to its own request.
func (x response) complete() bool {
	return x.err == nil && x.outcome == "" && x.status == http.StatusOK && !x.mismatched
}

// get sends one request with a unique path and waits for the response.
func (f *testFleet) get(m *member, path string) (x response) {
	start := time.Now()
	defer func() { x.elapsed = time.Since(start) }()
	req, err := http.NewRequest(http.MethodGet, "http://"+string(m.settings.Listen.Callers)+path, nil)
	if err != nil {
		return response{err: err}
	}
	req.Header.Set(server.HeaderCaller, "test")
	resp, err := f.client.Do(req)
	if err != nil {
		return response{err: err}
	}
	defer func() { _ = resp.Body.Close() }()
	body, err := io.ReadAll(resp.Body)
	x = response{outcome: resp.Header.Get(server.HeaderOutcome), reason: resp.Header.Get(server.HeaderReason), status: resp.StatusCode, err: err}
	var a struct {
		Path string `json:"path"`
	}
	x.mismatched = x.outcome == "" && (json.Unmarshal(body, &a) != nil || a.Path != path)
	return x
}

// sendBatch sends n requests from width concurrent callers and returns the responses.
func (f *testFleet) sendBatch(name string, n, width int, at ...*member) []response {
	responses := make([]response, n)
	var next atomic.Int64
	var wg sync.WaitGroup
	for range width {
		wg.Go(func() {
			for i := int(next.Add(1)) - 1; i < n; i = int(next.Add(1)) - 1 {
				responses[i] = f.get(at[i%len(at)], fmt.Sprintf("/lookups/%s/%d", name, i))
			}
		})
	}
	wg.Wait()
	return responses
}

// checkComplete checks that every caller received its complete response within the limit.
func (f *testFleet) checkComplete(limit time.Duration, what string, responses []response) {
	f.Helper()
	for i, x := range responses {
		if !x.complete() || x.elapsed > limit {
			f.Errorf("%s, request %d: got %+v, want a complete response within %v", what, i, x, limit)
			return
		}
	}
}

// attemptCounter counts the attempts of requests over all nodes. All attempts of one call share a request pointer.
// At the entry, a request counts as retried when it runs again.
type attemptCounter struct {
	mu    sync.Mutex
	sends map[*call.Request]int
	runs  map[ident.Key]int
}

func (t *attemptCounter) countSend(req *call.Request) {
	if req.Hop == 0 {
		return // forwarded within the entry service, where runs are counted
	}
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.sends == nil {
		t.sends = make(map[*call.Request]int)
	}
	t.sends[req]++
}

func (t *attemptCounter) countRun(req *call.Request) {
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

// retries returns the number of retries of each request over the whole chain.
func (t *attemptCounter) retries() map[ident.Key]int {
	t.mu.Lock()
	defer t.mu.Unlock()
	counts := make(map[ident.Key]int)
	for req, n := range t.sends {
		counts[req.Key] += n - 1
	}
	for key, n := range t.runs {
		counts[key] += n - 1
	}
	return counts
}
