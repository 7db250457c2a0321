package peer

import (
	"context"
	"sync"
	"time"

	"briarworks.example/briarworks/internal/wire/wirepb"
	"briarworks.example/briarworks/pkg/ident"
)

// Limits of the state that is retained for Settle requests.
const (
	answerRetention              = 30 * time.Second // for an answer that its caller has not confirmed
	barredRetention              = 60 * time.Second // for the id of a call that must not run any more
	maxRetainedBytes ident.Bytes = 8 << 20          // total size of the retained answers; further ones are not retained
	maxTrackedCalls              = 1 << 16          // total number of call ids
	shardCount                   = 16
)

// callID identifies a call across all peers.
type callID struct {
	server      ident.Server
	incarnation ident.Incarnation
	call        ident.CallID
}

// callEntry is the state of one call.
type callEntry struct {
	done      chan struct{} // closed when the call has completed; nil for a barred id
	answer    *wirepb.Answer
	expiresAt time.Time // when the entry is removed; zero while the call runs
	size      ident.Bytes
}

// callTable tracks the calls that run, those whose answer is unconfirmed, and those that are barred. It is
// sharded to reduce lock contention, since every call updates it twice.
type callTable struct {
	shards [shardCount]shard
}

type shard struct {
	mu      sync.Mutex
	entries map[callID]*callEntry
	size    ident.Bytes
	_       [64]byte // keeps the locks of adjacent shards on separate cache lines
}

func (c *callTable) shardFor(id callID) *shard { return &c.shards[uint64(id.call)%shardCount] }

// register adds a call and reports whether it may run. It may not when the id is already known or barred, or
// when the shard is full.
func (c *callTable) register(id callID, _ time.Time) bool {
	s := c.shardFor(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.entries == nil {
		s.entries = make(map[callID]*callEntry)
	}
	if _, known := s.entries[id]; known || len(s.entries) >= maxTrackedCalls/shardCount {
		return false
	}
	s.entries[id] = &callEntry{done: make(chan struct{})}
	return true
}

// complete retains the answer of a call until it is confirmed or expires.
func (c *callTable) complete(id callID, ans *wirepb.Answer, now time.Time) {
	s := c.shardFor(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.entries[id]
	if e == nil {
		return
	}
	e.expiresAt = now.Add(answerRetention)
	e.size = ident.Bytes(len(ans.GetBody()))
	if s.size+e.size <= maxRetainedBytes/shardCount {
		e.answer = ans
		s.size += e.size
	} else {
		e.size = 0 // only the state is retained; the settled state is then UNKNOWN
	}
	close(e.done)
}

// remove deletes a call whose caller has received the answer.
func (c *callTable) remove(id callID) {
	s := c.shardFor(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(id)
}

func (s *shard) remove(id callID) {
	if e := s.entries[id]; e != nil {
		s.size -= e.size
		delete(s.entries, id)
	}
}

// settle waits for the final state of a call and returns it, or RUNNING when ctx ends first. A call that is
// not in the table has not run and is barred from now on.
func (c *callTable) settle(ctx context.Context, id callID, now time.Time) (wirepb.CallState_State, *wirepb.Answer) {
	s := c.shardFor(id)
	s.mu.Lock()
	e := s.entries[id]
	if e == nil {
		if s.entries == nil {
			s.entries = make(map[callID]*callEntry)
		}
		s.entries[id] = &callEntry{expiresAt: now.Add(barredRetention)}
		s.mu.Unlock()
		return wirepb.CallState_NEVER_RAN, nil
	}
	s.mu.Unlock()
	if e.done == nil {
		return wirepb.CallState_NEVER_RAN, nil
	}
	select {
	case <-e.done:
	case <-ctx.Done():
		return wirepb.CallState_RUNNING, nil
	}
	if e.answer == nil {
		return wirepb.CallState_UNKNOWN, nil
	}
	return wirepb.CallState_ANSWERED, e.answer
}

// expire removes the entries whose retention time has passed.
func (c *callTable) expire(now time.Time) {
	for i := range c.shards {
		s := &c.shards[i]
		s.mu.Lock()
		for id, e := range s.entries {
			if !e.expiresAt.IsZero() && now.After(e.expiresAt) {
				s.remove(id)
			}
		}
		s.mu.Unlock()
	}
}
