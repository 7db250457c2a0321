package relay

import (
	"bytes"
	"context"
	"sync"

	"github.com/cespare/xxhash/v2"

	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/reason"
)

// joinShards divides the lock of the table, because each request with a key passes through it twice.
const joinShards = 64

// joins holds the running calls of this node by the keys that callers gave them, so that a repeated
// request joins the running call and does not run beside it. The zero value is empty.
type joins struct {
	shards [joinShards]joinShard
}

type joinShard struct {
	mu sync.Mutex
	m  map[ident.Key]*running
	_  [48]byte // keeps neighbouring locks off one cache line
}

// running is one call and the callers that wait for it.
type running struct {
	req     *call.Request
	cancel  context.CancelFunc
	done    chan struct{} // closed when res is set
	res     call.Result
	waiting int // guarded by the shard; at 0 the call is cancelled and no longer in the table
}

func (j *joins) of(key ident.Key) *joinShard {
	return &j.shards[xxhash.Sum64String(string(key))%joinShards]
}

// same tells whether two requests with one key are the same request.
func same(a, b *call.Request) bool {
	return a.Service == b.Service && a.Method == b.Method && a.Path == b.Path && bytes.Equal(a.Body, b.Body)
}

// enter joins the running call with the request's key, or starts one if begin allows it. It returns
// nil and a reason when the request is refused.
func (s *joinShard) enter(ctx context.Context, req *call.Request, begin func(*call.Request) reason.Refusal) (c *running, runCtx context.Context, why reason.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if c = s.m[req.Key]; c != nil {
		if !same(c.req, req) {
			return nil, nil, reason.KeyReused
		}
		c.waiting++
		return c, nil, reason.None
	}
	if why = begin(req); why != reason.None {
		return nil, nil, why
	}
	if s.m == nil {
		s.m = make(map[ident.Key]*running)
	}
	c = &running{req: req, done: make(chan struct{}), waiting: 1}
	runCtx, c.cancel = context.WithCancel(context.WithoutCancel(ctx))
	s.m[req.Key] = c
	return c, runCtx, reason.None
}

// leave takes one caller off a call and reports whether it was the last one; then the call is
// cancelled, and a later request with its key starts a new one.
func (s *joinShard) leave(c *running) (last bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	c.waiting--
	if c.waiting > 0 {
		return false
	}
	s.remove(c)
	c.cancel()
	return true
}

// remove takes a call out of the table, unless its key is another call's by now.
func (s *joinShard) remove(c *running) {
	if s.m[c.req.Key] == c {
		delete(s.m, c.req.Key)
	}
}

// join runs a request under its key, or waits for the call that already runs under it. The call runs
// while at least one of its callers waits, and the last caller to go waits for its end.
func (r *Relay) join(ctx context.Context, req *call.Request, run func(context.Context, *call.Request) call.Result) call.Result {
	s := r.joins.of(req.Key)
	c, runCtx, why := s.enter(ctx, req, r.begin)
	if why != reason.None {
		return call.Refuse(why)
	}
	if runCtx != nil {
		go r.carry(runCtx, s, c, run)
	}
	select {
	case <-c.done:
	case <-ctx.Done():
		if !s.leave(c) {
			return call.UnknownOutcome(reason.Cancelled)
		}
		<-c.done
		return c.res
	}
	s.leave(c)
	return c.res
}

// carry runs a call and hands its result to everyone who waits. A panic must not end the process: the
// front end recovers only those of its own goroutines.
func (r *Relay) carry(ctx context.Context, s *joinShard, c *running, run func(context.Context, *call.Request) call.Result) {
	defer close(c.done)
	defer r.active.Add(-1) // before the callers wake, as for a request without a key
	defer func() {
		if recover() != nil {
			c.res = call.UnknownOutcome(reason.Internal)
		}
		s.mu.Lock()
		s.remove(c)
		s.mu.Unlock()
	}()
	c.res = run(ctx, c.req)
}
