package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Constants of a server.
const (
	beatInterval = 1500 * time.Millisecond
	beatTimeout  = time.Second
	serverSlots  = 62
	healthPath   = "/health"
)

// run is one request that a server has run.
type run struct {
	id, method string
	path       string
	began      time.Time
	ended      time.Time // zero while the request runs
	dropped    bool      // its connection was closed while it ran
}

// server is the stand-in of a backend server. Its exported behaviour is that of a sound server: it runs each request that
// names its instance, or none, and repeats the attempt's id and a seal in its response.
type server struct {
	instance string
	work     func(path string) time.Duration
	size     func(path string) int                     // bytes added to the answer; may be nil
	call     func(ctx context.Context, id string) bool // call that each run makes after its work, and whether it succeeded; may be nil

	service string
	zone    string
	addr    string
	control string // address of the node for heartbeats
	born    time.Time
	rec     *recorder
	http    *http.Server
	running atomic.Int32

	mu       sync.Mutex
	runs     []*run
	sequence uint64
	state    string // in heartbeats
	leaving  bool   // the health check fails
	silent   bool   // no heartbeats
}

// start listens on a free port of loopback.
func (s *server) start(rec *recorder) error {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return err
	}
	s.rec, s.addr, s.born, s.state = rec, ln.Addr().String(), time.Now(), "ready"
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 10 * time.Second}
	go func() { _ = s.http.Serve(ln) }()
	return nil
}

// close ends the server with all its connections.
func (s *server) close() { _ = s.http.Close() }

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	h.Set("X-Briarworks-Server-Load", fmt.Sprintf("%d,0,%d", s.running.Load(), serverSlots))
	h.Set("Keep-Alive", "timeout=10")
	if r.URL.Path == healthPath {
		h.Set("X-Briarworks-Instance-Id", s.instance)
		s.mu.Lock()
		leaving := s.leaving
		s.mu.Unlock()
		if leaving {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		s.rec.printf("%s: health check, leaving %v", s.instance, leaving)
		return
	}
	id := r.Header.Get("X-Briarworks-Attempt-Id")
	h.Set("X-Briarworks-Attempt-Id", id)
	if expected := r.Header.Get("X-Briarworks-Expected-Instance"); expected != "" && expected != s.instance {
		h.Set("X-Briarworks-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	x := &run{id: id, method: r.Method, path: r.URL.Path, began: time.Now()}
	s.mu.Lock()
	s.runs = append(s.runs, x)
	s.mu.Unlock()
	s.running.Add(1)
	defer s.running.Add(-1)
	s.rec.printf("%s: runs %s %s %s", s.instance, r.Method, r.URL.Path, id)
	err := sleep(r.Context(), s.work(r.URL.Path))
	called := err != nil || s.call == nil || s.call(r.Context(), id)
	if err == nil {
		err = r.Context().Err()
	}
	s.mu.Lock()
	x.ended, x.dropped = time.Now(), err != nil
	s.mu.Unlock()
	if err != nil {
		s.rec.printf("%s: drops %s, its connection was closed", s.instance, id)
		return
	}
	h.Set("X-Briarworks-Server-Seal", "seal-"+id)
	if !called {
		w.WriteHeader(http.StatusInternalServerError)
	}
	_, _ = fmt.Fprintf(w, "answer to %s", id)
}

// runsOf returns the requests that the server has run.
func (s *server) runsOf() (all []run) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.runs {
		all = append(all, *x)
	}
	return all
}

// body returns the body of the next heartbeat.
func (s *server) body() string {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.sequence++
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":%d,"state":%q,"coldRemainingMs":0,"sequence":%d,"born":%d}`,
		s.service, s.addr, s.zone, serverSlots, s.state, s.sequence, s.born.UnixMilli())
}

// beat sends one heartbeat and reports whether the node acknowledged it.
func (s *server) beat(ctx context.Context) bool {
	s.mu.Lock()
	silent := s.silent
	s.mu.Unlock()
	if silent {
		return false
	}
	return s.send(ctx, http.MethodPut, s.body())
}

// send sends a call about the server to its node, and reports whether that was acknowledged.
func (s *server) send(ctx context.Context, method, body string) bool {
	ctx, cancel := context.WithTimeout(ctx, beatTimeout)
	defer cancel()
	hr, err := http.NewRequestWithContext(ctx, method, "http://"+s.control+"/v1/instances/"+s.instance, bytes.NewReader([]byte(body)))
	if err != nil {
		return false
	}
	hr.Header.Set("Content-Type", "application/json")
	hr.Close = true
	status := "no answer"
	resp, err := http.DefaultClient.Do(hr)
	if err == nil {
		_ = resp.Body.Close()
		status = resp.Status
	}
	s.rec.printf("%s: %s %s -> %s", s.instance, method, strings.TrimSpace(body), status)
	return err == nil && resp.StatusCode/100 == 2
}

// beatEvery sends heartbeats until ctx ends or the server falls silent.
func (s *server) beatEvery(ctx context.Context) {
	s.beat(ctx)
	go func() {
		for sleep(ctx, beatInterval) == nil {
			s.beat(ctx)
		}
	}()
}

// set changes the state that the server reports, and whether its health check fails.
func (s *server) set(state string, leaving, silent bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state, s.leaving, s.silent = state, leaving, silent
}
