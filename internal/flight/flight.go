package flight

import (
	"context"
	"sync"
	"time"

	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/retry"
)

// Token identifies a request in flight to the backend server.
type Token string

// Flight is a request in flight to the node's own backend server.
type Flight struct {
	Token     Token
	Request   *call.Request
	RetryPool retry.Pool      // retry tokens that are left at this node
	Ctx       context.Context // done when the request is cancelled or its deadline passes

	mu           sync.Mutex    // guards the fields below; contended only by parallel downstream calls of the request
	openCalls    int           // downstream calls in progress
	waitingSince time.Time     // time at which openCalls last became non-zero
	waited       time.Duration // total of the periods that have ended
}

// BeginCall records the start of a downstream call at now.
func (f *Flight) BeginCall(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.openCalls == 0 {
		f.waitingSince = now
	}
	f.openCalls++
}

// EndCall records the end of a downstream call at now.
func (f *Flight) EndCall(now time.Time) {
	f.mu.Lock()
	defer f.mu.Unlock()
	f.openCalls--
	if f.openCalls == 0 {
		f.waited += now.Sub(f.waitingSince)
	}
}

// Waited returns the total time until now with at least one downstream call in progress. Parallel calls count once.
func (f *Flight) Waited(now time.Time) time.Duration {
	f.mu.Lock()
	defer f.mu.Unlock()
	if f.openCalls > 0 {
		return f.waited + now.Sub(f.waitingSince)
	}
	return f.waited
}

// Table holds flights by token. The zero value is an empty table, and its methods are safe for concurrent use.
type Table struct {
	m sync.Map // Token -> *Flight
}

// Add adds a flight under its token.
func (t *Table) Add(f *Flight) { t.m.Store(f.Token, f) }

// Remove removes a flight and so invalidates its token.
func (t *Table) Remove(f *Flight) { t.m.Delete(f.Token) }

// Find returns the flight with the given token, and whether there is one.
func (t *Table) Find(token Token) (*Flight, bool) {
	f, ok := t.m.Load(token)
	if !ok {
		return nil, false
	}
	return f.(*Flight), true
}
