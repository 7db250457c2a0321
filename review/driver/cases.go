package main

import (
	"context"
	"errors"
	"fmt"
	"maps"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"briarworks.example/briarworks/platform/emul"
)

// cases holds the cases by the name that their scripts pass.
var cases = map[string]playFunc{
	"late-call":      playLateCall,
	"odd-heartbeat":  playOddHeartbeat,
	"late-heartbeat": playLateHeartbeat,
	"uploads":        playUploads,
}

// constant returns a work time that is the same for all requests.
func constant(d time.Duration) func(string) time.Duration {
	return func(string) time.Duration { return d }
}

// Parameters of playLateCall.
const (
	orderWork     = 2220 * time.Millisecond // of the server, before its call
	settleWork    = 2400 * time.Millisecond
	routeTimeout  = 6 * time.Second
	orderDeadline = 6 * time.Second
	callDeadline  = 3500 * time.Millisecond // within that of the order
	usualOrders   = 30                      // at the other machine before the stop
	leastOrders   = 25                      // of these have to be served
	orderSpread   = 30 * time.Millisecond
	ownOrders     = 3 // at the machine whose node is stopped, before the stop
	lateOrders    = 3
	lateOrderTime = 900 * time.Millisecond // after the SIGTERM, before the platform can have missed two readiness checks
)

// lateCalls records the calls that the server beside the stopped node makes.
type lateCalls struct {
	mu      sync.Mutex
	answers map[string]answer
}

// playLateCall stops one node with SIGTERM. The server beside it goes on with the requests that the node has accepted, and
// makes calls for them later than 3 s after the signal, which another server runs. Such a call has to get its answer.
func playLateCall(ctx context.Context, f *fleet, trouble bool) (broken int, err error) {
	calls := &lateCalls{answers: make(map[string]answer)}
	var desks []*machine
	for i, zone := range []string{"a", "b"} {
		s := &server{instance: fmt.Sprintf("i-desk-%d", i+1), work: constant(orderWork)}
		m, err := f.add(fmt.Sprintf("desk-%d", i+1), "desk", zone, s)
		if err != nil {
			return 0, err
		}
		s.call = func(ctx context.Context, id string) bool {
			c := &client{name: s.instance, node: m.callers, rec: f.rec}
			defer c.close()
			a := c.send(ctx, http.MethodPost, "/settle/x", id+"-call", callDeadline)
			calls.mu.Lock()
			defer calls.mu.Unlock()
			calls.answers[id+"-call"] = a
			return a.status == http.StatusOK
		}
		desks = append(desks, m)
	}
	ledger, err := f.add("ledger-1", "ledger", "a", &server{instance: "i-ledger-1", work: constant(settleWork)})
	if err != nil {
		return 0, err
	}
	f.emulated.Configure(1,
		emul.Route{Name: "order", Prefix: "/order/", Service: "desk", Attempts: 2, Timeout: routeTimeout},
		emul.Route{Name: "settle", Prefix: "/settle/", Service: "ledger", Attempts: 2, Timeout: routeTimeout},
	)
	if err = f.startAll(ctx); err != nil {
		return 0, err
	}
	order := func(m *machine, prefix string, n int) (served int) {
		var ok atomic.Int32
		var wg sync.WaitGroup
		for i := range n {
			wg.Go(func() {
				c := &client{name: "client of " + m.name, node: m.callers, rec: f.rec}
				defer c.close()
				if sleep(ctx, time.Duration(i)*orderSpread) != nil {
					return
				}
				if a := c.send(ctx, http.MethodPost, "/order/x", fmt.Sprintf("%s-%d", prefix, i), orderDeadline); a.status == http.StatusOK {
					ok.Add(1)
				}
			})
		}
		wg.Wait()
		return int(ok.Load())
	}
	if n := order(desks[1], "usual", usualOrders); n < leastOrders {
		return 0, fmt.Errorf("only %d orders were served before the stop", n)
	}
	if order(desks[0], "own", ownOrders) == 0 {
		return 0, errors.New("no order was served at the first desk before the stop")
	}
	if err = sleep(ctx, contactTime+500*time.Millisecond); err != nil {
		return 0, err
	}
	signalled := time.Now()
	if trouble {
		desks[0].signal(syscall.SIGTERM)
	}
	if err = sleepUntil(ctx, signalled.Add(lateOrderTime)); err != nil {
		return 0, err
	}
	order(desks[0], "late", lateOrders)
	if err = sleep(ctx, time.Second); err != nil {
		return 0, err
	}
	return calls.countCut(f, ledger.server, signalled), nil
}

// countCut returns the number of late calls that a server ran and whose connection ended without an answer before their time
// was over.
func (c *lateCalls) countCut(f *fleet, s *server, signalled time.Time) (broken int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	for _, r := range s.runsOf() {
		a, ok := c.answers[r.id]
		if !ok || a.sent.Before(signalled) {
			continue
		}
		after, took := a.sent.Sub(signalled), a.ended.Sub(a.sent)
		f.rec.printf("check: %s was sent %v after the SIGTERM, ran at %s, and ended after %v with status %d", r.id, after.Round(time.Millisecond), s.instance, took.Round(time.Millisecond), a.status)
		if a.status == 0 && after > grace/2 && took < callDeadline-100*time.Millisecond {
			broken++
			f.rec.printf("check: LOST: the connection of %s ended without an answer while its server was at work", r.id)
		}
	}
	return broken
}

// traffic sends a request from each of some clients at an interval until ctx ends, and returns all answers by request id.
func traffic(ctx context.Context, interval time.Duration, method, path string, machines ...*machine) (wait func() map[string]answer) {
	answers := make(map[string]answer)
	var mu sync.Mutex
	var wg sync.WaitGroup
	for _, m := range machines {
		wg.Go(func() {
			c := &client{name: "client of " + m.name, node: m.callers, rec: m.fleet.rec}
			sent := c.repeat(ctx, method, path, interval, 2*time.Second)
			mu.Lock()
			defer mu.Unlock()
			maps.Copy(answers, sent)
		})
	}
	return func() map[string]answer {
		wg.Wait()
		return answers
	}
}

// twoDesks adds two machines of one service and starts their nodes.
func twoDesks(ctx context.Context, f *fleet) (first, second *machine, err error) {
	if first, err = f.add("desk-1", "desk", "a", &server{instance: "i-desk-1", work: constant(50 * time.Millisecond)}); err != nil {
		return nil, nil, err
	}
	if second, err = f.add("desk-2", "desk", "b", &server{instance: "i-desk-2", work: constant(50 * time.Millisecond)}); err != nil {
		return nil, nil, err
	}
	f.emulated.Configure(1, emul.Route{Name: "approve", Prefix: "/approve/", Service: "desk", Attempts: 2, Timeout: 2 * time.Second})
	return first, second, f.startAll(ctx)
}

// ranAfterAck returns how many requests reached a server later than drainTime after its leaving was acknowledged. Requests
// that were sent before all machines were in touch don't count.
func ranAfterAck(f *fleet, s *server, acked, inTouch time.Time, answers map[string]answer) (broken int) {
	for _, r := range s.runsOf() {
		if after := r.began.Sub(acked); after > drainTime && !answers[r.id].sent.Before(inTouch) {
			broken++
			f.rec.printf("check: DRAIN: %s reached %s %v after the acknowledgement; its client got %d", r.id, s.instance, after.Round(time.Millisecond), answers[r.id].status)
		}
	}
	return broken
}

// playOddHeartbeat lets another writer send one heartbeat with missing fields and a large sequence number for a server,
// which then drains.
func playOddHeartbeat(ctx context.Context, f *fleet, trouble bool) (broken int, err error) {
	first, second, err := twoDesks(ctx, f)
	if err != nil {
		return 0, err
	}
	load, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	wait := traffic(load, 40*time.Millisecond, http.MethodPost, "/approve/x", first, second)
	if err = sleep(ctx, 2*time.Second); err != nil {
		return 0, err
	}
	s := first.server
	if trouble {
		// The fields zone, version, coldRemainingMs and born are missing.
		s.send(ctx, http.MethodPut, fmt.Sprintf(`{"service":%q,"address":%q,"slots":%d,"state":"ready","sequence":18446744073709551615}`, s.service, s.addr, serverSlots))
	}
	if err = sleep(ctx, 2*time.Second); err != nil {
		return 0, err
	}
	s.set("draining", true, false)
	if !s.beat(ctx) {
		return 0, fmt.Errorf("the node has not acknowledged that its server drains")
	}
	acked := time.Now()
	f.rec.printf("%s: its leaving is acknowledged", s.instance)
	// The server goes on for drainMs and some seconds, deregisters and exits.
	if err = sleep(ctx, drainTime+3*time.Second); err != nil {
		return 0, err
	}
	s.set("draining", true, true)
	s.send(ctx, http.MethodDelete, fmt.Sprintf(`{"born":%d}`, s.born.UnixMilli()))
	s.close()
	f.rec.printf("%s: ended", s.instance)
	if err = sleep(ctx, time.Second); err != nil {
		return 0, err
	}
	stopLoad()
	return ranAfterAck(f, s, acked, acked, wait()), nil
}

// Times of playLateHeartbeat.
const (
	leaveToKill  = 300 * time.Millisecond
	lateBeatTime = 4500 * time.Millisecond // after the heartbeat was sent
	serveOnTime  = 8 * time.Second         // of the server after its leaving was acknowledged
)

// playLateHeartbeat kills and restarts the node beside a server whose leaving it has acknowledged. A heartbeat that the
// server sent before it left arrives seconds late.
func playLateHeartbeat(ctx context.Context, f *fleet, trouble bool) (broken int, err error) {
	first, second, err := twoDesks(ctx, f)
	if err != nil {
		return 0, err
	}
	load, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	wait := traffic(load, 40*time.Millisecond, http.MethodPost, "/approve/x", first, second)
	if err = sleep(ctx, 4*time.Second); err != nil {
		return 0, err
	}
	s := first.server
	s.set("ready", false, true)
	late, lateSent := s.body(), time.Now() // on its way
	f.rec.printf("%s: a heartbeat is held up: %s", s.instance, late)
	if err = sleep(ctx, 200*time.Millisecond); err != nil {
		return 0, err
	}
	s.set("ready", true, true)
	if !s.send(ctx, http.MethodDelete, fmt.Sprintf(`{"born":%d}`, s.born.UnixMilli())) {
		return 0, fmt.Errorf("the node has not acknowledged that its server leaves")
	}
	acked := time.Now()
	f.rec.printf("%s: its leaving is acknowledged", s.instance)
	if err = sleep(ctx, leaveToKill); err != nil {
		return 0, err
	}
	inTouch := acked
	if trouble {
		first.kill()
		if err = sleep(ctx, restartDelay); err != nil {
			return 0, err
		}
		if err = first.start(); err != nil {
			return 0, err
		}
		inTouch = time.Now().Add(contactTime)
	}
	if err = sleepUntil(ctx, lateSent.Add(lateBeatTime)); err != nil {
		return 0, err
	}
	s.send(ctx, http.MethodPut, late)
	if err = sleepUntil(ctx, acked.Add(serveOnTime)); err != nil {
		return 0, err
	}
	s.close()
	f.rec.printf("%s: ended", s.instance)
	if err = sleep(ctx, time.Second); err != nil {
		return 0, err
	}
	stopLoad()
	return ranAfterAck(f, s, acked, inTouch, wait()), nil
}

// Parameters of playUploads.
const (
	maxBodyBytes  = 64 << 20 // of the configuration, as the pages' example of it states
	uploadBytes   = 23 << 20
	uploadTime    = 2200 * time.Millisecond // in which a client sends a body
	uploaders     = 4                       // clients that upload all the time
	burstFactor   = 2.5
	burstTime     = 5 * time.Second
	approvers     = 20 // clients with small requests
	approveWork   = 300 * time.Millisecond
	uploadRate    = 2500 * time.Millisecond // between two uploads of a client
	calmTime      = 6 * time.Second
	toleratedCuts = 3
)

// playUploads lets clients of one machine upload bodies within the limits of the configuration, 2.5 times as many for some
// seconds, while others send small requests. The platform kills a node whose memory exceeds its limit.
func playUploads(ctx context.Context, f *fleet, trouble bool) (broken int, err error) {
	m, err := f.add("desk-1", "desk", "a", &server{instance: "i-desk-1", work: constant(approveWork)})
	if err != nil {
		return 0, err
	}
	if _, err = f.add("desk-2", "desk", "b", &server{instance: "i-desk-2", work: constant(approveWork)}); err != nil {
		return 0, err
	}
	f.configure(maxBodyBytes,
		emul.Route{Name: "approve", Prefix: "/approve/", Service: "desk", Attempts: 2, Timeout: 3 * time.Second},
		emul.Route{Name: "upload", Prefix: "/upload/", Service: "desk", Attempts: 2, Timeout: 5 * time.Second},
	)
	if err = f.startAll(ctx); err != nil {
		return 0, err
	}
	load, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	var wg sync.WaitGroup
	var killed int
	wg.Go(func() {
		if killed, err = m.enforceMemory(load); err != nil {
			f.rec.printf("%s: %v", m.name, err)
		}
	})
	approved := make([]map[string]answer, approvers)
	for i := range approvers {
		wg.Go(func() {
			c := &client{name: fmt.Sprintf("client %d", i), node: m.callers, rec: f.rec}
			approved[i] = c.repeat(load, http.MethodPost, "/approve/x", 20*time.Millisecond, 3*time.Second)
		})
	}
	upload := func(ctx context.Context, i int) {
		c := &client{name: fmt.Sprintf("uploader %d", i), node: m.callers, rec: f.rec, body: make([]byte, uploadBytes), pace: uploadTime}
		c.repeat(ctx, http.MethodPost, "/upload/x", uploadRate-uploadTime, 5*time.Second)
	}
	for i := range uploaders {
		wg.Go(func() { upload(load, i) })
	}
	if err = sleep(ctx, calmTime); err != nil {
		return 0, err
	}
	f.rec.printf("burst: %v", trouble)
	burst, endBurst := context.WithTimeout(load, burstTime)
	defer endBurst()
	for i := uploaders; trouble && float64(i) < uploaders*burstFactor; i++ {
		wg.Go(func() { upload(burst, i) })
	}
	if err = sleep(ctx, burstTime+4*time.Second); err != nil {
		return 0, err
	}
	stopLoad()
	wg.Wait()
	ran := make(map[string]bool)
	for _, x := range f.machines {
		for _, r := range x.server.runsOf() {
			ran[r.id] = true
		}
	}
	for _, answers := range approved {
		for id, a := range answers {
			if ran[id] && a.status == 0 && a.kept && a.ended.Sub(a.sent) < 3*time.Second-100*time.Millisecond {
				broken++
				f.rec.printf("check: LOST: %s was passed on to a server, and its kept connection was closed without an answer after %v", id, a.ended.Sub(a.sent).Round(time.Millisecond))
			}
		}
	}
	f.rec.printf("check: the node was killed %d times; %d requests were cut, up to %d are tolerated", killed, broken, toleratedCuts)
	if broken <= toleratedCuts {
		broken = 0
	}
	return broken, err
}
