package fakes

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"
)

// Headers of the protocol between a node and its server, as a server's author knows them.
const (
	headerToken    = "Briar-Token"
	headerDeadline = "Briar-Deadline-Ms"
	headerNotRun   = "Briar-Not-Run"
	headerOutcome  = "Briar-Outcome"
	headerReason   = "Briar-Reason"
	headerKey      = "Idempotency-Key"
)

// Headers for measurements. A request with HeaderStamp is answered with the times, in ns of Unix time,
// at which the handler began and at which it wrote the answer.
const (
	HeaderStamp = "Fake-Stamp"
	HeaderBegan = "Fake-Began"
	HeaderEnded = "Fake-Ended"
)

// Step says which service a server calls for requests under a path prefix.
type Step struct {
	Prefix  string `json:"prefix"`
	Service string `json:"service"`
}

// Behaviour is how a stand-in server works; POST /_fake replaces it while the server runs.
type Behaviour struct {
	Slots     int      `json:"slots"`     // requests at a time
	Work      Duration `json:"work"`      // own time for each request
	Cold      Duration `json:"cold"`      // after the start, work takes up to five times as long
	Shed      bool     `json:"shed"`      // refuses everything before running it
	Draining  bool     `json:"draining"`  // refuses new requests, finishes those that run
	Queue     int      `json:"queue"`     // requests that wait for a slot before the server sheds
	Heedless  bool     `json:"heedless"`  // goes on with a request after it was cancelled
	HealthLag Duration `json:"healthLag"` // age of what the health endpoint tells
}

// BackendStats is what a stand-in server counted since its start.
type BackendStats struct {
	Ran       int64    `json:"ran"`       // requests that took effect here
	Twice     []string `json:"twice"`     // keys that took effect more than once
	Keys      []string `json:"keys"`      // keys that took effect, when they are asked for
	Shed      int64    `json:"shed"`      // requests refused before they ran
	Cancelled int64    `json:"cancelled"` // requests broken off by cancellation or deadline
	Peak      int64    `json:"peak"`      // most requests at a time
	PeakConns int64    `json:"peakConns"` // most connections at a time
}

// Backend stands in for a backend server. A request takes effect at the server that calls no further
// service; that server remembers the request's key. The zero value answers at once without limit.
type Backend struct {
	Service string
	Node    string // base URL of the node's local port
	Steps   []Step
	Now     func() time.Time

	init      sync.Once
	started   time.Time
	behaviour atomic.Pointer[Behaviour]
	running   atomic.Int64
	waiting   atomic.Int64
	conns     atomic.Int64
	client    *http.Client

	mu    sync.Mutex
	freed chan struct{} // closed when a slot is freed or the behaviour changes
	keys  map[string]int
	stats BackendStats
}

func (b *Backend) setup() {
	b.init.Do(func() {
		if b.Now == nil {
			b.Now = time.Now
		}
		b.started = b.Now()
		b.keys = make(map[string]int)
		b.freed = make(chan struct{})
		t := &http.Transport{MaxIdleConnsPerHost: 256}
		b.client = &http.Client{Transport: t}
		b.behaviour.CompareAndSwap(nil, &Behaviour{})
	})
}

// Behave replaces the behaviour.
func (b *Backend) Behave(v Behaviour) {
	b.behaviour.Store(&v)
	b.setup()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.wake()
}

func (b *Backend) wake() {
	close(b.freed)
	b.freed = make(chan struct{})
}

// ConnState counts connections; it is given to http.Server.
func (b *Backend) ConnState(state http.ConnState) {
	switch state {
	case http.StateNew:
		n := b.conns.Add(1)
		b.mu.Lock()
		b.stats.PeakConns = max(b.stats.PeakConns, n)
		b.mu.Unlock()
	case http.StateClosed, http.StateHijacked:
		b.conns.Add(-1)
	}
}

// Stats returns what was counted; with keys it lists every key that took effect.
func (b *Backend) Stats(keys bool) (s BackendStats) {
	b.setup()
	b.mu.Lock()
	defer b.mu.Unlock()
	s = b.stats
	for k, n := range b.keys {
		if n > 1 {
			s.Twice = append(s.Twice, k)
		}
		if keys {
			s.Keys = append(s.Keys, k)
		}
	}
	return s
}

// ServeHTTP runs a request, or serves the control paths under /_fake.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.setup()
	switch {
	case r.URL.Path == "/_fake/stats":
		writeJSON(w, b.Stats(r.URL.Query().Get("keys") != ""))
	case r.URL.Path == "/_fake":
		b.control(w, r)
	case r.URL.Path == "/health":
		writeJSON(w, map[string]int64{"running": b.running.Load()})
	default:
		b.serve(w, r)
	}
}

func (b *Backend) control(w http.ResponseWriter, r *http.Request) {
	v := *b.behaviour.Load()
	if err := json.NewDecoder(r.Body).Decode(&v); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	b.Behave(v)
	writeJSON(w, v)
}

func (b *Backend) serve(w http.ResponseWriter, r *http.Request) {
	began := b.Now()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := deadline(r)
	defer cancel()
	if !b.enter(ctx) {
		b.count(func(s *BackendStats) { s.Shed++ })
		w.Header().Set(headerNotRun, "true")
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	defer b.leave()
	if !b.work(ctx) {
		b.count(func(s *BackendStats) { s.Cancelled++ })
		w.Header().Set(headerNotRun, "true") // nothing took effect yet
		http.Error(w, "cancelled", http.StatusServiceUnavailable)
		return
	}
	for _, st := range b.Steps {
		if strings.HasPrefix(r.URL.Path, st.Prefix) {
			b.onward(ctx, w, r, st.Service, body)
			return
		}
	}
	b.effect(r.Header.Get(headerKey))
	w.Header().Set("Content-Type", "application/json")
	if r.Header.Get(HeaderStamp) != "" {
		w.Header().Set(HeaderBegan, strconv.FormatInt(began.UnixNano(), 10))
		w.Header().Set(HeaderEnded, strconv.FormatInt(b.Now().UnixNano(), 10))
	}
	writeJSON(w, map[string]any{"service": b.Service, "path": r.URL.Path, "bytes": len(body), "key": r.Header.Get(headerKey)})
}

// deadline bounds the request by what its node says is left.
func deadline(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get(headerDeadline), 10, 64)
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

// enter takes a slot, waiting in the server's own queue if it has one.
func (b *Backend) enter(ctx context.Context) bool {
	queued := false
	for {
		v := b.behaviour.Load()
		b.mu.Lock()
		freed := b.freed
		free := v.Slots == 0 || b.running.Load() < int64(v.Slots)
		if !v.Shed && !v.Draining && free {
			b.stats.Peak = max(b.stats.Peak, b.running.Add(1))
			b.mu.Unlock()
			if queued {
				b.waiting.Add(-1)
			}
			return true
		}
		b.mu.Unlock()
		if !queued {
			if v.Shed || v.Draining || b.waiting.Load() >= int64(v.Queue) {
				return false
			}
			b.waiting.Add(1)
			queued = true
		}
		select {
		case <-freed:
		case <-ctx.Done():
			b.waiting.Add(-1)
			return false
		}
	}
}

func (b *Backend) leave() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running.Add(-1)
	b.wake()
}

// work takes the server's own time; it reports false when the request was broken off.
func (b *Backend) work(ctx context.Context) bool {
	v := b.behaviour.Load()
	d := time.Duration(v.Work)
	if age := b.Now().Sub(b.started); age < time.Duration(v.Cold) {
		d += time.Duration(4 * float64(d) * (1 - float64(age)/float64(v.Cold)))
	}
	t := time.NewTimer(d)
	defer t.Stop()
	cancelled := ctx.Done()
	if v.Heedless {
		cancelled = nil
	}
	select {
	case <-t.C:
		return true
	case <-cancelled:
		return false
	}
}

func (b *Backend) effect(key string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stats.Ran++
	b.keys[key]++
}

func (b *Backend) count(f func(*BackendStats)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	f(&b.stats)
}

// onward calls the next service through the node and passes its answer on. Nothing took effect here,
// so a call that was not run means that this request was not run either.
func (b *Backend) onward(ctx context.Context, w http.ResponseWriter, r *http.Request, service string, body []byte) {
	req, err := http.NewRequestWithContext(ctx, r.Method, b.Node+"/"+service+r.URL.RequestURI(), strings.NewReader(string(body)))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	req.GetBody = nil // the client must not repeat the call on its own
	req.Header.Set(headerToken, r.Header.Get(headerToken))
	resp, err := b.client.Do(req)
	if err != nil {
		unknown(w, "connectionLost")
		return
	}
	defer func() { _ = resp.Body.Close() }()
	answer, err := io.ReadAll(resp.Body)
	if err != nil {
		unknown(w, "connectionLost")
		return
	}
	switch resp.Header.Get(headerOutcome) {
	case "":
		w.Header().Set("Content-Type", resp.Header.Get("Content-Type"))
		w.WriteHeader(resp.StatusCode)
		_, _ = w.Write(answer)
	case "notRun":
		w.Header().Set(headerNotRun, "true")
		w.Header().Set(headerReason, resp.Header.Get(headerReason))
		http.Error(w, "not run", http.StatusServiceUnavailable)
	default:
		unknown(w, resp.Header.Get(headerReason))
	}
}

func unknown(w http.ResponseWriter, reason string) {
	w.Header().Set(headerOutcome, "unknown")
	w.Header().Set(headerReason, reason)
	http.Error(w, "unknown", http.StatusBadGateway)
}
