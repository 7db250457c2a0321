package peer

import (
	"context"
	"sync"
	"time"

	"briarworks.example/briarworks/internal/wire/wirepb"
	"briarworks.example/briarworks/pkg/ident"
)

// Bounds of what is kept for Settle.
const (
	keepAnswer             = 30 * time.Second // an answer that its caller did not confirm
	keepBarred             = 60 * time.Second // a call id that must not run any more
	maxKept    ident.Bytes = 8 << 20          // answers kept together; the oldest go first
	maxCalls               = 1 << 16          // call ids kept together
	shardCount             = 16
)

// callID identifies a call over all peers.
type callID struct {
	server      ident.Server
	incarnation ident.Incarnation
	call        ident.CallID
}

// entry is what is known of one call.
type entry struct {
	done   chan struct{} // closed when the call has ended; nil for a barred id
	answer *wirepb.Answer
	until  time.Time // when the entry is dropped; zero while the call runs
	size   ident.Bytes
}

// calls remembers which calls run, which have ended unconfirmed, and which are barred. It is sharded,
// because each call of the node passes through it twice.
type calls struct {
	shards [shardCount]shard
}

type shard struct {
	mu   sync.Mutex
	m    map[callID]*entry
	size ident.Bytes
	_    [64]byte // keeps neighbouring locks off one cache line
}

func (c *calls) of(id callID) *shard { return &c.shards[uint64(id.call)%shardCount] }

// start registers a call and reports whether it may run: not when the id is known or barred.
func (c *calls) start(id callID, _ time.Time) bool {
	s := c.of(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.m == nil {
		s.m = make(map[callID]*entry)
	}
	if _, known := s.m[id]; known || len(s.m) >= maxCalls/shardCount {
		return false
	}
	s.m[id] = &entry{done: make(chan struct{})}
	return true
}

// finish keeps the answer of a call until it is confirmed or its time is over.
func (c *calls) finish(id callID, ans *wirepb.Answer, now time.Time) {
	s := c.of(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	e := s.m[id]
	if e == nil {
		return
	}
	e.until = now.Add(keepAnswer)
	e.size = ident.Bytes(len(ans.GetBody()))
	if s.size+e.size <= maxKept/shardCount {
		e.answer = ans
		s.size += e.size
	} else {
		e.size = 0 // the state alone is kept: Settle then says that the call ran but not its answer
	}
	close(e.done)
}

// drop forgets a call whose caller holds the answer.
func (c *calls) drop(id callID) {
	s := c.of(id)
	s.mu.Lock()
	defer s.mu.Unlock()
	s.remove(id)
}

func (s *shard) remove(id callID) {
	if e := s.m[id]; e != nil {
		s.size -= e.size
		delete(s.m, id)
	}
}

// settle returns the state of a call once it is final, or UNKNOWN when ctx ends first. A call that is
// not known has not run and is barred from now on.
func (c *calls) settle(ctx context.Context, id callID, now time.Time) (wirepb.CallState_State, *wirepb.Answer) {
	s := c.of(id)
	s.mu.Lock()
	e := s.m[id]
	if e == nil {
		if s.m == nil {
			s.m = make(map[callID]*entry)
		}
		s.m[id] = &entry{until: now.Add(keepBarred)}
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

// expire drops what was kept for long enough.
func (c *calls) expire(now time.Time) {
	for i := range c.shards {
		s := &c.shards[i]
		s.mu.Lock()
		for id, e := range s.m {
			if !e.until.IsZero() && now.After(e.until) {
				s.remove(id)
			}
		}
		s.mu.Unlock()
	}
}
