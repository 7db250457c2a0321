package main

import (
	"bufio"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"syscall"
	"time"
)

// sentAhead is a request that a client sent on a connection, and its answer.
type sentAhead struct {
	id       string
	sent     time.Time
	answered time.Time // zero if no complete answer came
	status   int
}

// answersBehind stops one node while clients that send requests ahead wait for a long one. The answers to the requests behind it
// are ready before the stop begins.
func answersBehind(log *journal, trouble bool) (broken bool, err error) {
	f, err := newFleet(log, "front", "desk", "pack", "deep")
	if err != nil {
		return false, err
	}
	defer f.close()
	if err = f.start(0, "front", "desk", "pack", "deep"); err != nil {
		return false, err
	}
	desk, pack, deep := f.machines[1].server, f.machines[2].server, f.machines[3].server
	desk.work, desk.call = 2900*time.Millisecond, "/deep/x"
	deep.work = 2900 * time.Millisecond
	time.Sleep(trafficDelay)
	if !f.warmUp("/desk/w", "/pack/w", "/deep/w") {
		return false, errors.New("a request before the case was not served")
	}
	time.Sleep(contactTime)

	var (
		mu  sync.Mutex
		all []*sentAhead
		wg  sync.WaitGroup
	)
	for n := range 8 {
		wg.Go(func() {
			requests := clientAhead(f.machines[0], n)
			mu.Lock()
			defer mu.Unlock()
			all = append(all, requests...)
		})
	}
	time.Sleep(300 * time.Millisecond)
	stopped := time.Now()
	if trouble {
		m := f.machines[0]
		m.mu.Lock()
		process, exited := m.process, m.exited
		m.mu.Unlock()
		_ = process.Process.Signal(syscall.SIGTERM)
		log.printf("%s gets SIGTERM", m.name)
		<-exited
		log.printf("%s has ended, %.3f s after the signal", m.name, time.Since(stopped).Seconds())
	}
	wg.Wait()
	ran := make(map[string]arrival)
	for _, s := range []*server{desk, pack} {
		for _, a := range s.reached() {
			ran[a.id] = a
		}
	}
	lost := 0
	for _, q := range all {
		a, passedOn := ran[q.id]
		switch {
		case !q.answered.IsZero():
			log.printf("request %s: status %d after %.3f s", q.id, q.status, q.answered.Sub(q.sent).Seconds())
		case passedOn && !a.ended.IsZero() && a.ended.Sub(stopped) < graceTime*5/6:
			lost++
			log.printf("request %s, sent at %.3f, reached server %s at %.3f, which ended its work at %.3f: no answer", q.id, log.since(q.sent), a.instance, log.since(a.at), log.since(a.ended))
		default:
			log.printf("request %s, sent at %.3f: no answer, but its server was at work in the last sixth of graceS", q.id, log.since(q.sent))
		}
	}
	log.printf("requests without an answer whose server had ended its work before the last sixth of graceS: %d", lost)
	return lost > 0, nil
}

// graceTime is graceS of the small deployments.
const graceTime = 6 * time.Second

// warmUp sends a request for each path through the first machine, all at once, and reports whether all were served.
func (f *fleet) warmUp(paths ...string) bool {
	var failed atomic.Int32
	var wg sync.WaitGroup
	for _, path := range paths {
		wg.Go(func() {
			req, err := http.NewRequest(http.MethodGet, "http://"+f.machines[0].outbound+path, http.NoBody)
			if err != nil {
				failed.Add(1)
				return
			}
			req.Host = configHost
			req.Header.Set("X-Briarworks-Attempt-Id", "warm"+path)
			req.Header.Set("X-Briarworks-Deadline-Ms", "6000")
			resp, err := callClient.Do(req)
			if err != nil || resp.StatusCode != http.StatusOK {
				failed.Add(1)
			}
			if err == nil {
				_ = resp.Body.Close()
			}
		})
	}
	wg.Wait()
	return failed.Load() == 0
}

// clientAhead sends a long request and three short ones behind it on one connection, and reads the answers until the connection ends.
func clientAhead(m *machine, n int) (requests []*sentAhead) {
	c, err := net.DialTimeout("tcp", m.outbound, time.Second)
	if err != nil {
		return nil
	}
	defer func() { _ = c.Close() }()
	_ = c.SetDeadline(time.Now().Add(8 * time.Second))
	for k, path := range []string{"/desk/long", "/pack/a", "/pack/b", "/pack/c"} {
		q := &sentAhead{id: fmt.Sprintf("client-%d-%d", n, k), sent: time.Now()}
		requests = append(requests, q)
		if _, err = fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: %s\r\nX-Briarworks-Attempt-Id: %s\r\nX-Briarworks-Deadline-Ms: 6000\r\n\r\n", path, configHost, q.id); err != nil {
			return requests
		}
		time.Sleep(50 * time.Millisecond)
	}
	r := bufio.NewReader(c)
	for _, q := range requests {
		resp, err := http.ReadResponse(r, nil)
		if err != nil {
			return requests
		}
		if _, err = io.Copy(io.Discard, resp.Body); err != nil {
			return requests
		}
		q.answered, q.status = time.Now(), resp.StatusCode
		if resp.Close {
			return requests
		}
	}
	return requests
}
