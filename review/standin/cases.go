package main

import (
	"context"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Parameters of playLost.
const (
	slowClients  = 8
	slowBuffer   = 4096 // receive buffer of a client in bytes
	answerBytes  = 30000
	lostDeadline = 2500 * time.Millisecond
	lostFirst    = 200 * time.Millisecond // from the signal to the first request
	lostNext     = 150 * time.Millisecond // between two requests of a client
	lostFurther  = 3                      // requests of a client behind the first
)

// playLost: a node is stopped as planned while clients that read slowly send further requests behind the first.
func playLost(ctx context.Context, rec *record, trouble bool) (bool, error) {
	f, err := deployment(ctx, rec, 50*time.Millisecond, answerBytes, false)
	if err != nil {
		return false, err
	}
	defer f.close()
	if err := f.warmUp(); err != nil {
		return false, err
	}
	all := make([]*client, slowClients)
	for k := range all {
		if all[k], err = dial(rec, f.machines[0].callers, slowBuffer); err != nil {
			return false, err
		}
	}
	if trouble {
		rec.printf("SIGTERM to %s", f.machines[0].name)
		if err := f.machines[0].cmd.Process.Signal(syscall.SIGTERM); err != nil {
			return false, err
		}
	}
	var wg sync.WaitGroup
	firsts, answers := make([]*request, slowClients), make([]answer, slowClients)
	for k, c := range all {
		firsts[k] = newRequest(http.MethodGet, lookupPath, lostDeadline)
		if k%2 == 1 {
			firsts[k] = newRequest(http.MethodPost, claimPath, lostDeadline)
		}
		wg.Go(func() { answers[k] = c.sendSlowly(firsts[k]) })
	}
	wg.Wait()
	ran := f.ran()
	whole, cut, refused := 0, 0, 0
	for k, a := range answers {
		switch {
		case a.err == nil && a.status == http.StatusOK && a.size == answerBytes:
			whole++
		case a.err != nil && ran[firsts[k].id]:
			cut++
			rec.printf("the answer to %s %s, which a server has run to its end, was cut", firsts[k].method, firsts[k].id)
		default:
			refused++
		}
	}
	rec.printf("of %d answers %d were whole and %d cut; %d requests were refused", slowClients, whole, cut, refused)
	return cut > 0, nil
}

// sendSlowly sends a request and further ones behind it, and then reads the answer to the first slowly.
func (c *client) sendSlowly(first *request) answer {
	time.Sleep(lostFirst)
	if err := c.send(first); err != nil {
		return answer{err: err}
	}
	for range lostFurther {
		time.Sleep(lostNext)
		if err := c.send(newRequest(http.MethodGet, lookupPath, lostDeadline)); err != nil {
			c.rec.printf("client of %s cannot send a further request: %v", first.id, err)
		}
	}
	c.slow = true
	a := c.receive(first)
	_ = c.Close()
	return a
}

// ran returns the ids of the requests that servers have run to the end.
func (f *fleet) ran() map[string]bool {
	ids := make(map[string]bool)
	for _, m := range f.machines {
		runs, _ := m.server.seen()
		for _, x := range runs {
			ids[x.id] = ids[x.id] || x.whole
		}
	}
	return ids
}

// Parameters of playDrain.
const (
	clockStep  = 2 * time.Second
	firstLife  = 700 * time.Millisecond // from the first start of the server to its crash
	crashTime  = 500 * time.Millisecond // from the crash to the next start
	drainBound = 2 * time.Second
	drainTime  = 6 * time.Second // from the acknowledgement to the end of the server
	askEvery   = 30 * time.Millisecond
)

// playDrain: a server crashes and starts again under its instance id after the clock of its machine was set back. Later it
// drains.
func playDrain(ctx context.Context, rec *record, trouble bool) (bool, error) {
	f, err := deployment(ctx, rec, 200*time.Millisecond, 0, true)
	if err != nil {
		return false, err
	}
	defer f.close()
	s := f.machines[1].server
	if trouble {
		s.clockLead = clockStep
	}
	if err := s.start(); err != nil {
		return false, err
	}
	time.Sleep(firstLife)
	s.stop()
	rec.printf("server %s has crashed", s.instance)
	time.Sleep(crashTime)
	s.clockLead, s.keepInstance = 0, true
	if err := s.start(); err != nil {
		return false, err
	}
	sleep(ctx, contact+2*time.Second)
	stop := make(chan struct{})
	var wg sync.WaitGroup
	for k, m := range f.machines {
		wg.Go(func() { f.askUntil(m, k%2 == 1, stop) })
	}
	time.Sleep(2 * time.Second)
	s.drain()
	time.Sleep(2*heartbeat + drainTime)
	s.leave(ctx)
	close(stop)
	wg.Wait()
	runs, _ := s.seen()
	if s.drainedAt.IsZero() {
		rec.printf("the node has not acknowledged that the server drains")
		return false, nil
	}
	late, cut := 0, 0
	for _, x := range runs {
		if x.began.Sub(s.drainedAt) <= drainBound {
			continue
		}
		late++
		if !x.whole {
			cut++
		}
	}
	rec.printf("%d requests reached the server over 2 s after its node had acknowledged that it drains; %d of them were at work when it ended", late, cut)
	return late > 0, nil
}

// askUntil sends lookups, or claims, through a node until stop is closed.
func (f *fleet) askUntil(m *machine, claims bool, stop <-chan struct{}) {
	var wg sync.WaitGroup
	defer wg.Wait()
	t := time.NewTicker(askEvery)
	defer t.Stop()
	for {
		select {
		case <-stop:
			return
		case <-t.C:
		}
		r := newRequest(http.MethodGet, lookupPath, lostDeadline)
		if claims {
			r = newRequest(http.MethodPost, claimPath, lostDeadline)
		}
		wg.Go(func() { ask(f.rec, m.callers, r) })
	}
}

// playSmuggled: requests whose heads state the length of the body in a way that has two readings, with another request in the
// body.
func playSmuggled(ctx context.Context, rec *record, trouble bool) (bool, error) {
	f, err := deployment(ctx, rec, 20*time.Millisecond, 0, false)
	if err != nil {
		return false, err
	}
	defer f.close()
	inner := make(map[string]string) // ids of the requests in bodies, with the form of the outer one
	for form, length := range lengths(trouble) {
		in := newRequest(http.MethodGet, innerPath, lookupDeadline)
		out := newRequest(http.MethodPost, claimPath, lookupDeadline)
		inner[in.id] = form
		text := outerText(out, length, in.text())
		rec.printf("client sends %s, %s: %q", out.id, form, text)
		c, err := dial(rec, f.machines[0].callers, 0)
		if err != nil {
			return false, err
		}
		out.sent = time.Now()
		if _, err := io.WriteString(c.Conn, text); err != nil {
			return false, err
		}
		c.receive(out)
		_ = c.Close()
	}
	smuggled := 0
	for _, m := range f.machines {
		runs, _ := m.server.seen()
		for _, x := range runs {
			if form, ok := inner[x.id]; ok {
				smuggled++
				rec.printf("%s %s, which was the body of another request (%s), was run", x.method, x.uri, form)
			}
		}
	}
	rec.printf("%d requests from the bodies of others were run", smuggled)
	return smuggled > 0, nil
}

// innerPath is the path of the request in a body.
const innerPath = "/leny950/inner"

// lengths returns fields that state the length of a body, with a verb for it, by the name of their form.
func lengths(trouble bool) map[string]string {
	if !trouble {
		return map[string]string{"a length": "Content-Length: %d"}
	}
	return map[string]string{
		"a blank before the colon":                               "Content-Length : %d",
		"two lengths, one of them with a blank before the colon": "Content-Length: 0\r\nContent-Length : %d",
		"a length and a coding":                                  "Content-Length: %d\r\nTransfer-Encoding: chunked",
	}
}

// lastChunk ends a body in chunks.
const lastChunk = "0\r\n\r\n"

// outerText returns a request whose body, by the length that its head states, has another request in it.
func outerText(r *request, length, body string) string {
	if strings.Contains(length, "chunked") {
		body = lastChunk + body
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n"+length+"\r\n\r\n%s",
		r.method, r.path, host, headerAttempt, r.id, headerDeadline, r.deadline.Milliseconds(), len(body), body)
}

// Parameters of playGone.
const (
	leavingClients = 8
	stayingClients = 20
	stayingPause   = 300 * time.Millisecond // of a client that stays, after an answer
	pipelined      = 40                     // requests that a client sends on one connection
	stay           = 300 * time.Millisecond // until a client leaves
	goneBound      = 500 * time.Millisecond
	goneFew        = 3
	goneDivisor    = 4
)

// playGone: clients that have sent many requests on one connection leave before the first answer.
func playGone(ctx context.Context, rec *record, trouble bool) (bool, error) {
	f, err := deployment(ctx, rec, 20*time.Millisecond, 0, false)
	if err != nil {
		return false, err
	}
	defer f.close()
	if err := f.warmUp(); err != nil {
		return false, err
	}
	left := make(map[string]time.Time) // by the id of the request
	var mu sync.Mutex
	var wg sync.WaitGroup
	stop := make(chan struct{})
	var staying sync.WaitGroup
	for k := range stayingClients {
		staying.Go(func() { f.askInTurn(f.machines[k%len(f.machines)], stop) })
	}
	for range leavingClients {
		wg.Go(func() {
			all, at, err := f.pipeline(trouble)
			if err != nil {
				rec.printf("client: %v", err)
			}
			mu.Lock()
			defer mu.Unlock()
			for _, r := range all {
				left[r.id] = at
			}
		})
	}
	wg.Wait()
	time.Sleep(4 * longWork)
	close(stop)
	staying.Wait()
	late, atWork, lasting := 0, 0, 0
	for _, m := range f.machines {
		runs, arrivals := m.server.seen()
		for _, a := range arrivals {
			if at, ok := left[a.id]; ok && a.at.Sub(at) > goneBound {
				late++
			}
		}
		for _, x := range runs {
			at, ok := left[x.id]
			if !ok || x.began.After(at) || x.began.Add(longWork).Before(at.Add(goneBound)) {
				continue
			}
			lasting++
			if x.ended.IsZero() || x.ended.Sub(at) > goneBound {
				atWork++
			}
		}
	}
	rec.printf("%d requests reached a server over 0.5 s after their client had left; of %d that were at work then, servers worked on %d 0.5 s later", late, lasting, atWork)
	return late > goneFew || goneDivisor*atWork > lasting, nil
}

// askInTurn sends lookups through a node, one after the other, until stop is closed.
func (f *fleet) askInTurn(m *machine, stop <-chan struct{}) {
	for {
		ask(f.rec, m.callers, newRequest(http.MethodGet, lookupPath, lookupDeadline))
		select {
		case <-stop:
			return
		case <-time.After(stayingPause):
		}
	}
}

// pipeline sends many requests on one connection. The client then leaves, or waits for all answers. It returns the requests
// and when the client has left.
func (f *fleet) pipeline(leave bool) (all []*request, at time.Time, err error) {
	c, err := dial(f.rec, f.machines[0].callers, 0)
	if err != nil {
		return nil, at, err
	}
	defer func() { _ = c.Close() }()
	for range pipelined {
		r := newRequest(http.MethodGet, longPath, lookupDeadline)
		all = append(all, r)
		if err := c.send(r); err != nil {
			return nil, at, err
		}
	}
	if leave {
		time.Sleep(stay)
		f.rec.printf("client of %s closes its connection", all[0].id)
		return all, time.Now(), nil
	}
	for _, r := range all {
		c.receive(r)
	}
	return all, time.Now(), nil
}
