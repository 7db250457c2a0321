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

// Headers of the protocol between a node and its backend server, from the viewpoint of the server's author.
const (
	headerToken    = "Briar-Token"
	headerDeadline = "Briar-Deadline-Ms"
	headerNotRun   = "Briar-Not-Run"
	headerOutcome  = "Briar-Outcome"
	headerReason   = "Briar-Reason"
	headerKey      = "Idempotency-Key"
)

// Headers for measurements. The response to a request with HeaderStamp has the times, in Unix nanoseconds,
// at which the handler started and at which it wrote the response.
const (
	HeaderStamp = "Fake-Stamp"
	HeaderBegan = "Fake-Began"
	HeaderEnded = "Fake-Ended"
)

// Downstream names the service that a server calls for requests under a path prefix.
type Downstream struct {
	Prefix  string `json:"prefix"`
	Service string `json:"service"`
}

// Behaviour configures a Backend. POST /_fake changes it while the server runs.
type Behaviour struct {
	Slots        int      `json:"slots"`     // maximum number of concurrent requests; 0 has no limit
	Work         Duration `json:"work"`      // processing time of each request
	WarmUp       Duration `json:"cold"`      // warm-up time after the start, in which processing time falls linearly from five times Work
	Shed         bool     `json:"shed"`      // refuses all requests before running them
	Draining     bool     `json:"draining"`  // refuses new requests and completes those in progress
	Queue        int      `json:"queue"`     // maximum number of requests that wait for a slot; further ones are refused
	IgnoreCancel bool     `json:"heedless"`  // ignores cancellation and deadlines
	HealthLag    Duration `json:"healthLag"` // age of the load that the health endpoint reports; currently ignored
}

// BackendStats holds the counters of a Backend since its start.
type BackendStats struct {
	Ran           int64    `json:"ran"`       // requests that this server ran
	DuplicateKeys []string `json:"twice"`     // keys that ran more than once
	Keys          []string `json:"keys"`      // keys that ran, if requested
	Shed          int64    `json:"shed"`      // requests refused before running
	Cancelled     int64    `json:"cancelled"` // requests ended by cancellation or deadline
	MaxRunning    int64    `json:"peak"`      // maximum number of concurrent requests
	MaxConns      int64    `json:"peakConns"` // maximum number of open connections
}

// Backend is a fake backend server. A request runs at the server that calls no further service, which
// records its key. The zero value responds at once and has no limit.
type Backend struct {
	Service     string
	NodeURL     string // base URL of the local port of the node
	Downstreams []Downstream
	Now         func() time.Time

	initOnce  sync.Once
	started   time.Time
	behaviour atomic.Pointer[Behaviour]
	running   atomic.Int64
	waiting   atomic.Int64
	openConns atomic.Int64
	client    *http.Client

	mu        sync.Mutex
	changed   chan struct{} // closed and replaced when a slot is released or the behaviour changes
	runsByKey map[string]int
	stats     BackendStats
}

func (b *Backend) init() {
	b.initOnce.Do(func() {
		if b.Now == nil {
			b.Now = time.Now
		}
		b.started = b.Now()
		b.runsByKey = make(map[string]int)
		b.changed = make(chan struct{})
		t := &http.Transport{MaxIdleConnsPerHost: 256}
		b.client = &http.Client{Transport: t}
		b.behaviour.CompareAndSwap(nil, &Behaviour{})
	})
}

// SetBehaviour replaces the behaviour of the server and wakes the requests that wait for a slot.
func (b *Backend) SetBehaviour(behaviour Behaviour) {
	b.behaviour.Store(&behaviour)
	b.init()
	b.mu.Lock()
	defer b.mu.Unlock()
	b.notifyWaiters()
}

func (b *Backend) notifyWaiters() {
	close(b.changed)
	b.changed = make(chan struct{})
}

// ConnState counts connections. It is called from the ConnState hook of http.Server.
func (b *Backend) ConnState(state http.ConnState) {
	switch state {
	case http.StateNew:
		n := b.openConns.Add(1)
		b.mu.Lock()
		b.stats.MaxConns = max(b.stats.MaxConns, n)
		b.mu.Unlock()
	case http.StateClosed, http.StateHijacked:
		b.openConns.Add(-1)
	}
}

// Stats returns the counters. If withKeys is set, they include every key that ran.
func (b *Backend) Stats(withKeys bool) (s BackendStats) {
	b.init()
	b.mu.Lock()
	defer b.mu.Unlock()
	s = b.stats
	for k, n := range b.runsByKey {
		if n > 1 {
			s.DuplicateKeys = append(s.DuplicateKeys, k)
		}
		if withKeys {
			s.Keys = append(s.Keys, k)
		}
	}
	return s
}

// ServeHTTP runs a request, or serves a control path under /_fake or the health endpoint.
func (b *Backend) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	b.init()
	switch {
	case r.URL.Path == "/_fake/stats":
		writeJSON(w, b.Stats(r.URL.Query().Get("keys") != ""))
	case r.URL.Path == "/_fake":
		b.serveBehaviour(w, r)
	case r.URL.Path == "/health":
		writeJSON(w, map[string]int64{"running": b.running.Load()})
	default:
		b.serveRequest(w, r)
	}
}

func (b *Backend) serveBehaviour(w http.ResponseWriter, r *http.Request) {
	behaviour := *b.behaviour.Load()
	if err := json.NewDecoder(r.Body).Decode(&behaviour); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	b.SetBehaviour(behaviour)
	writeJSON(w, behaviour)
}

func (b *Backend) serveRequest(w http.ResponseWriter, r *http.Request) {
	w.Header().Set(headerToken, r.Header.Get(headerToken))
	started := b.Now()
	body, err := io.ReadAll(r.Body)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	ctx, cancel := withDeadline(r)
	defer cancel()
	if !b.acquireSlot(ctx) {
		b.updateStats(func(s *BackendStats) { s.Shed++ })
		w.Header().Set(headerNotRun, "true")
		http.Error(w, "busy", http.StatusServiceUnavailable)
		return
	}
	defer b.releaseSlot()
	if !b.simulateWork(ctx) {
		b.updateStats(func(s *BackendStats) { s.Cancelled++ })
		w.Header().Set(headerNotRun, "true") // the request has not run yet
		http.Error(w, "cancelled", http.StatusServiceUnavailable)
		return
	}
	for _, downstream := range b.Downstreams {
		if strings.HasPrefix(r.URL.Path, downstream.Prefix) {
			b.forward(ctx, w, r, downstream.Service, body)
			return
		}
	}
	b.recordRun(r.Header.Get(headerKey))
	w.Header().Set("Content-Type", "application/json")
	if r.Header.Get(HeaderStamp) != "" {
		w.Header().Set(HeaderBegan, strconv.FormatInt(started.UnixNano(), 10))
		w.Header().Set(HeaderEnded, strconv.FormatInt(b.Now().UnixNano(), 10))
	}
	writeJSON(w, map[string]any{"service": b.Service, "path": r.URL.Path, "bytes": len(body), "key": r.Header.Get(headerKey)})
}

// withDeadline returns the request's context, bounded by the remaining time that the node reports.
func withDeadline(r *http.Request) (context.Context, context.CancelFunc) {
	ms, err := strconv.ParseInt(r.Header.Get(headerDeadline), 10, 64)
	if err != nil {
		return context.WithCancel(r.Context())
	}
	return context.WithTimeout(r.Context(), time.Duration(ms)*time.Millisecond)
}

// acquireSlot takes a slot, waiting for one if the queue has room. It reports false if the server refuses
// the request or ctx ends.
func (b *Backend) acquireSlot(ctx context.Context) bool {
	queued := false
	for {
		behaviour := b.behaviour.Load()
		b.mu.Lock()
		changed := b.changed
		free := behaviour.Slots == 0 || b.running.Load() < int64(behaviour.Slots)
		if !behaviour.Shed && !behaviour.Draining && free {
			b.stats.MaxRunning = max(b.stats.MaxRunning, b.running.Add(1))
			b.mu.Unlock()
			if queued {
				b.waiting.Add(-1)
			}
			return true
		}
		b.mu.Unlock()
		if !queued {
			if behaviour.Shed || behaviour.Draining || b.waiting.Load() >= int64(behaviour.Queue) {
				return false
			}
			b.waiting.Add(1)
			queued = true
		}
		select {
		case <-changed:
		case <-ctx.Done():
			b.waiting.Add(-1)
			return false
		}
	}
}

func (b *Backend) releaseSlot() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.running.Add(-1)
	b.notifyWaiters()
}

// simulateWork waits for the processing time. It reports false if ctx ended first.
func (b *Backend) simulateWork(ctx context.Context) bool {
	behaviour := b.behaviour.Load()
	duration := time.Duration(behaviour.Work)
	if age := b.Now().Sub(b.started); age < time.Duration(behaviour.WarmUp) {
		duration += time.Duration(4 * float64(duration) * (1 - float64(age)/float64(behaviour.WarmUp)))
	}
	timer := time.NewTimer(duration)
	defer timer.Stop()
	done := ctx.Done()
	if behaviour.IgnoreCancel {
		done = nil
	}
	select {
	case <-timer.C:
		return true
	case <-done:
		return false
	}
}

func (b *Backend) recordRun(key string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.stats.Ran++
	b.runsByKey[key]++
}

func (b *Backend) updateStats(update func(*BackendStats)) {
	b.mu.Lock()
	defer b.mu.Unlock()
	update(&b.stats)
}

// forward calls the next service through the node and relays its response. This server runs nothing
// itself, so if the call did not run, neither did this request.
func (b *Backend) forward(ctx context.Context, w http.ResponseWriter, r *http.Request, service string, body []byte) {
	req, err := http.NewRequestWithContext(ctx, r.Method, b.NodeURL+"/"+service+r.URL.RequestURI(), strings.NewReader(string(body)))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	req.GetBody = nil // keeps http.Client from retrying the call
	req.Header.Set(headerToken, r.Header.Get(headerToken))
	resp, err := b.client.Do(req)
	if err != nil {
		writeUnknown(w, "connectionLost")
		return
	}
	defer func() { _ = resp.Body.Close() }()
	respBody, err := io.ReadAll(resp.Body)
	if err != nil {
		writeUnknown(w, "connectionLost")
		return
	}
	switch resp.Header.Get(headerOutcome) {
	case "":
		w.Header().Set("Content-Type", resp.Header.Get("Content-Type"))
		w.WriteHeader(resp.StatusCode)
		_, _ = w.Write(respBody)
	case "notRun":
		w.Header().Set(headerNotRun, "true")
		w.Header().Set(headerReason, resp.Header.Get(headerReason))
		http.Error(w, "not run", http.StatusServiceUnavailable)
	default:
		writeUnknown(w, resp.Header.Get(headerReason))
	}
}

func writeUnknown(w http.ResponseWriter, reason string) {
	w.Header().Set(headerOutcome, "unknown")
	w.Header().Set(headerReason, reason)
	http.Error(w, "unknown", http.StatusBadGateway)
}
