package main

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"
)

// heartbeatInterval is heartbeatMs of the small deployments.
const heartbeatInterval = 1500 * time.Millisecond

// arrival is a request that reached a server.
type arrival struct {
	id, instance string
	at           time.Time
	ended        time.Time // zero if the server broke off, or was still at work
}

// server stands in for one run of a backend server.
type server struct {
	m        *machine
	instance string
	born     time.Time
	work     time.Duration
	call     string // path that each request calls through the node of the machine after its work; empty for none

	leaving  atomic.Bool
	http     *http.Server
	stop     context.CancelFunc // ends the heartbeats
	sequence atomic.Int64

	mu       sync.Mutex
	arrivals []arrival
}

// startServer starts a run of the server of a machine; it sends no heartbeats yet.
func (f *fleet) startServer(m *machine, instance string, born time.Time) (s *server, err error) {
	ln, err := net.Listen("tcp", m.app)
	if err != nil {
		return nil, err
	}
	s = &server{m: m, instance: instance, born: born, work: 15 * time.Millisecond, stop: func() {}}
	s.http = &http.Server{Handler: http.HandlerFunc(s.serve), ReadHeaderTimeout: 5 * time.Second, IdleTimeout: 10 * time.Second}
	go func() { _ = s.http.Serve(ln) }()
	m.server = s
	f.servers = append(f.servers, s)
	f.log.printf("server %s of %s starts at %s", instance, m.name, m.app)
	return s, nil
}

// crash ends the server at once, with its connections.
func (s *server) crash() {
	s.stop()
	_ = s.http.Close()
}

func (s *server) serve(w http.ResponseWriter, r *http.Request) {
	h := w.Header()
	if r.URL.Path == "/health" {
		h.Set("X-Briarworks-Instance-Id", s.instance)
		h.Set("X-Briarworks-Server-Load", "0,0,46")
		if s.leaving.Load() {
			w.WriteHeader(http.StatusServiceUnavailable)
		}
		return
	}
	id := r.Header.Get("X-Briarworks-Attempt-Id")
	h.Set("X-Briarworks-Attempt-Id", id)
	if want := r.Header.Get("X-Briarworks-Expected-Instance"); want != "" && want != s.instance {
		h.Set("X-Briarworks-Instance-Id", s.instance)
		h.Set("X-Briarworks-Not-Executed", "1")
		w.WriteHeader(http.StatusMisdirectedRequest)
		return
	}
	s.mu.Lock()
	n := len(s.arrivals)
	s.arrivals = append(s.arrivals, arrival{id: id, instance: s.instance, at: time.Now()})
	s.mu.Unlock()
	_, _ = io.Copy(io.Discard, r.Body)
	select {
	case <-time.After(s.work):
	case <-r.Context().Done():
		return
	}
	if s.call != "" && !s.makeCall(r, id) {
		w.WriteHeader(http.StatusInternalServerError)
		return
	}
	s.mu.Lock()
	s.arrivals[n].ended = time.Now()
	s.mu.Unlock()
	h.Set("X-Briarworks-Server-Seal", "seal."+id)
	_, _ = fmt.Fprintf(w, "answer to %s by %s", id, s.instance)
}

// makeCall calls s.call through the node of the machine and reports success. The call expires with the request that it is made for.
func (s *server) makeCall(r *http.Request, id string) bool {
	req, err := http.NewRequestWithContext(r.Context(), http.MethodGet, "http://"+s.m.outbound+s.call, http.NoBody)
	if err != nil {
		return false
	}
	left, _ := strconv.Atoi(r.Header.Get("X-Briarworks-Deadline-Ms"))
	req.Host = configHost
	req.Header.Set("X-Briarworks-Attempt-Id", id+".1")
	req.Header.Set("X-Briarworks-Deadline-Ms", strconv.Itoa(max(left-int(s.work.Milliseconds()), 1)))
	resp, err := callClient.Do(req)
	if err != nil {
		return false
	}
	defer func() { _ = resp.Body.Close() }()
	_, err = io.Copy(io.Discard, resp.Body)
	return err == nil && resp.StatusCode == http.StatusOK
}

// callClient sends the calls that servers make.
var callClient = &http.Client{Timeout: 10 * time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// reached returns the requests that reached this run.
func (s *server) reached() []arrival {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]arrival(nil), s.arrivals...)
}

// beat returns the next heartbeat of the server.
func (s *server) beat(state string) string {
	return fmt.Sprintf(`{"service":%q,"address":%q,"zone":%q,"version":"v1","slots":46,"state":%q,"coldRemainingMs":0,"sequence":%d,"born":%d}`,
		s.m.service, s.m.app, s.m.zone, state, s.sequence.Add(1), s.born.UnixMilli())
}

// beatEvery sends a heartbeat now and then at the interval, until the server ends or leaves.
func (s *server) beatEvery(f *fleet) {
	ctx, cancel := context.WithCancel(context.Background())
	s.stop = cancel
	go func() {
		for {
			f.tell(s, http.MethodPut, s.beat("ready"), false)
			select {
			case <-time.After(heartbeatInterval):
			case <-ctx.Done():
				return
			}
		}
	}()
}

// beatClient sends the calls of servers to the control address of their machine.
var beatClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

// tell sends a heartbeat or a leave to the node beside the server and returns the status, or 0 if none came within a second.
func (f *fleet) tell(s *server, method, body string, record bool) (status int) {
	req, err := http.NewRequest(method, "http://"+s.m.control+"/v1/instances/"+s.instance, bytes.NewReader([]byte(body)))
	if err != nil {
		return 0
	}
	if body != "" {
		req.Header.Set("Content-Type", "application/json")
	}
	if resp, err := beatClient.Do(req); err == nil {
		status = resp.StatusCode
		_ = resp.Body.Close()
	}
	if record {
		f.log.printf("%s of server %s at %s: status %d; %s", method, s.instance, s.m.name, status, body)
	}
	return status
}
