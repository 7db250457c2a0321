package main

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"time"
)

// run is one request that a server began to work on.
type run struct {
	id, method, uri string
	began, ended    time.Time // ended is zero while the run goes on
	whole           bool      // the server has worked on it to the end
}

// arrival is one request that reached a server, whether it ran or not.
type arrival struct {
	id string
	at time.Time
}

// States of a server.
const (
	ready    = "ready"
	draining = "draining"
)

// server is a backend server. The fields before mu are set before start.
type server struct {
	service, addr, node string // node is the address for heartbeats
	rec                 *record
	slots               int
	work                time.Duration
	size                int           // of the body of an answer
	clockLead           time.Duration // by which the clock of the machine is ahead
	keepInstance        bool          // the next start has the instance id of the one before
	startsLater         bool          // the server is not started together with its node

	mu        sync.Mutex
	instance  string
	born      time.Time
	state     string
	drainedAt time.Time // when the node acknowledged that the server drains
	running   int
	runs      []*run
	arrivals  []arrival
	http      *http.Server
	cancel    context.CancelFunc
	seq       atomic.Int64
}

// start starts an incarnation of the server and its heartbeats.
func (s *server) start() error {
	ln, err := net.Listen("tcp", s.addr)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithCancel(context.Background())
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.keepInstance {
		s.instance = fmt.Sprintf("i-%08x", rand.Uint32())
	}
	s.born, s.state, s.running = time.Now().Add(s.clockLead), ready, 0
	s.seq.Store(0)
	s.rec.printf("server %s of service %s starts at %s, born %d", s.instance, s.service, s.addr, s.born.UnixMilli())
	s.http = &http.Server{Handler: s.handler(s.instance), ReadHeaderTimeout: 5 * time.Second}
	s.cancel = cancel
	go func(h *http.Server) { _ = h.Serve(ln) }(s.http)
	go s.beat(ctx, s.instance, s.born)
	return nil
}

// stop ends the server at once, as a crash does. It does nothing to one that was not started.
func (s *server) stop() {
	if s.cancel == nil {
		return
	}
	s.cancel()
	_ = s.http.Close()
}

// leave deregisters the server and ends it, as a server does that has drained.
func (s *server) leave(ctx context.Context) {
	body := fmt.Sprintf(`{"born":%d}`, s.born.UnixMilli())
	status, err := send(ctx, http.MethodDelete, "http://"+s.node+"/v1/instances/"+s.instance, []byte(body))
	s.rec.printf("DELETE of %s: status %d, error %v", s.instance, status, err)
	s.stop()
	s.rec.printf("server %s has ended", s.instance)
}

// drain makes the next heartbeats say that the server drains. It goes on to serve.
func (s *server) drain() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.state = draining
	s.rec.printf("server %s drains from now on", s.instance)
}

// beat sends heartbeats.
func (s *server) beat(ctx context.Context, instance string, born time.Time) {
	for {
		seq := s.seq.Add(1)
		s.mu.Lock()
		state := s.state
		s.mu.Unlock()
		body, err := json.Marshal(map[string]any{
			"service": s.service, "address": s.addr, "zone": "zone-a", "version": "v1", "slots": s.slots, "state": state,
			"coldRemainingMs": 0, "sequence": seq, "born": born.UnixMilli(),
		})
		if err != nil {
			panic(err) // the values above are always valid
		}
		go s.sendBeat(ctx, instance, state, seq, body)
		if !sleep(ctx, heartbeat) {
			return
		}
	}
}

func (s *server) sendBeat(ctx context.Context, instance, state string, seq int64, body []byte) {
	short, cancel := context.WithTimeout(ctx, time.Second) // a later response is no acknowledgement
	defer cancel()
	status, err := send(short, http.MethodPut, "http://"+s.node+"/v1/instances/"+instance, body)
	s.rec.printf("heartbeat %d of %s, %s: status %d, error %v", seq, instance, state, status, err)
	s.mu.Lock()
	defer s.mu.Unlock()
	if status == http.StatusOK && state == draining && s.drainedAt.IsZero() {
		s.drainedAt = time.Now()
	}
}

// send sends a message of a server to its node and returns the status of the response.
func send(ctx context.Context, method, url string, body []byte) (status int, err error) {
	r, err := http.NewRequestWithContext(ctx, method, url, bytes.NewReader(body))
	if err != nil {
		return 0, err
	}
	r.Header.Set("Content-Type", "application/json")
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0, err
	}
	return resp.StatusCode, resp.Body.Close()
}

// sleep returns false if ctx ends first.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}

// handler returns the handler of one incarnation.
func (s *server) handler(instance string) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		id := r.Header.Get(headerAttempt)
		if r.URL.Path == healthPath && id == "" {
			s.serveHealth(w, instance)
			return
		}
		if id != "" {
			w.Header().Set(headerAttempt, id)
		}
		if status := s.refusal(r, instance); status != 0 {
			w.Header().Set(headerInstance, instance)
			if status != http.StatusMisdirectedRequest {
				w.Header().Set(headerNotRun, "1")
			}
			w.WriteHeader(status)
			return
		}
		s.serve(w, r, instance)
	})
}

func (s *server) serveHealth(w http.ResponseWriter, instance string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	w.Header().Set(headerInstance, instance)
	w.Header().Set(headerLoad, fmt.Sprintf("%d,0,%d", s.running, s.slots))
	if s.state != ready {
		w.WriteHeader(http.StatusServiceUnavailable)
	}
}

// refusal records the arrival of a request. It returns the status of a request that is not run, or 0.
func (s *server) refusal(r *http.Request, instance string) (status int) {
	id, expected := r.Header.Get(headerAttempt), r.Header.Get(headerExpected)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.arrivals = append(s.arrivals, arrival{id, time.Now()})
	switch {
	case expected != "" && expected != instance:
		status = http.StatusMisdirectedRequest
	case id == "":
		status = http.StatusBadRequest
	case s.running >= s.slots:
		status = http.StatusServiceUnavailable
	default:
		s.running++
		return 0
	}
	s.rec.printf("server %s answers %s with %d and does not run it", instance, id, status)
	return status
}

// serve runs a request.
func (s *server) serve(w http.ResponseWriter, r *http.Request, instance string) {
	x := &run{id: r.Header.Get(headerAttempt), method: r.Method, uri: r.RequestURI, began: time.Now()}
	s.mu.Lock()
	s.runs = append(s.runs, x)
	work := s.work
	if r.URL.Path == longPath {
		work = longWork
	}
	s.mu.Unlock()
	s.rec.printf("server %s runs %s: %s %s, deadline %s", instance, x.id, x.method, x.uri, r.Header.Get(headerDeadline))
	_, err := io.Copy(io.Discard, r.Body)
	whole := err == nil && sleep(r.Context(), work)
	s.mu.Lock()
	s.running--
	x.ended, x.whole = time.Now(), whole
	load, leaving := fmt.Sprintf("%d,0,%d", s.running, s.slots), s.state != ready
	s.mu.Unlock()
	if !whole {
		s.rec.printf("server %s drops %s, since its connection was closed", instance, x.id)
		return
	}
	answer := bytes.Repeat([]byte("a"), max(s.size, 64))
	sum := sha256.Sum256(append([]byte(x.id), answer...))
	h := w.Header()
	h.Set(headerSeal, hex.EncodeToString(sum[:8]))
	h.Set(headerLoad, load)
	if leaving {
		h.Set("Connection", "close")
	}
	h.Set("Content-Length", fmt.Sprint(len(answer)))
	_, _ = w.Write(answer)
}

// seen returns copies of what the server has run and of what has arrived.
func (s *server) seen() (runs []run, arrivals []arrival) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, x := range s.runs {
		runs = append(runs, *x)
	}
	return runs, append([]arrival(nil), s.arrivals...)
}
