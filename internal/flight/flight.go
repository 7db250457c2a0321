package flight

import (
	"context"
	"sync"
	"time"

	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/retry"
)

// Token names one request in flight to its backend server.
type Token string

// Flight is one request while it runs on the own backend server.
type Flight struct {
	Token   Token
	Request *call.Request
	Pool    retry.Pool      // tokens left at this node
	Ctx     context.Context // ends when the request is cancelled or its deadline passes

	mu      sync.Mutex // guards the fields below; contended only by parallel children of one request
	open    int        // downstream calls that are waited for
	since   time.Time  // when open last became non-zero
	waiting time.Duration
}

// Begin marks the start of a downstream call.
func (f *Flight) Begin(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.open == 0 {
		f.since = now
	}
	f.open++
}

// End marks the end of a downstream call.
func (f *Flight) End(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.open--
	if f.open == 0 {
		f.waiting += now.Sub(f.since)
	}
}

// Waited returns the time with at least one downstream call open; parallel calls count once.
func (f *Flight) Waited(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.open > 0 {
		return f.waiting + now.Sub(f.since)
	}
	return f.waiting
}

// Table finds flights by token. The zero value is empty.
type Table struct {
	m sync.Map // Token -> *Flight
}

// Add registers a flight under its token.
func (t *Table) Add(f *Flight) { t.m.Store(f.Token, f) }

// Remove forgets a flight; its token is worth nothing afterwards.
func (t *Table) Remove(f *Flight) { t.m.Delete(f.Token) }

// Find returns the flight with the token.
func (t *Table) Find(token Token) (*Flight, bool) {
	f, ok := t.m.Load(token)
	if !ok {
		return nil, false
	}
	return f.(*Flight), true
}
