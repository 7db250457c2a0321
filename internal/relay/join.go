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

// runShards is the number of locks in a runTable; every request with a key takes one of them twice.
const runShards = 64

// runTable holds the running calls of this node by the keys that callers gave them, so that a request with the key of
// a running call shares that run. The zero value is empty.
type runTable struct {
	shards [runShards]runShard
}

type runShard struct {
	mu   sync.Mutex
	runs map[ident.Key]*sharedRun
	_    [48]byte // keeps neighbouring locks off one cache line
}

// sharedRun is one run of a request and the callers that wait for it.
type sharedRun struct {
	req     *call.Request
	cancel  context.CancelFunc
	done    chan struct{} // closed when res is set
	res     call.Result
	waiting int // guarded by the shard's mu; at 0 the run is cancelled and no longer in the table
}

func (t *runTable) shard(key ident.Key) *runShard {
	return &t.shards[xxhash.Sum64String(string(key))%runShards]
}

// sameRequest reports whether two requests with the same key are the same request.
func sameRequest(a, b *call.Request) bool {
	return a.Service == b.Service && a.Method == b.Method && a.Path == b.Path && bytes.Equal(a.Body, b.Body)
}

// joinOrStart joins the run with the request's key, or adds a new one if begin allows it; runCtx is set only for a new
// run. It returns nil and a reason when the request is refused.
func (s *runShard) joinOrStart(ctx context.Context, req *call.Request, begin func(*call.Request) reason.Refusal) (shared *sharedRun, runCtx context.Context, why reason.Refusal) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if shared = s.runs[req.Key]; shared != nil {
		if !sameRequest(shared.req, req) {
			return nil, nil, reason.KeyReused
		}
		shared.waiting++
		return shared, nil, reason.None
	}
	if why = begin(req); why != reason.None {
		return nil, nil, why
	}
	if s.runs == nil {
		s.runs = make(map[ident.Key]*sharedRun)
	}
	shared = &sharedRun{req: req, done: make(chan struct{}), waiting: 1}
	runCtx, shared.cancel = context.WithCancel(context.WithoutCancel(ctx))
	s.runs[req.Key] = shared
	return shared, runCtx, reason.None
}

// leave removes one waiting caller from a run and reports whether it was the last one. The run is then cancelled, and a
// later request with its key starts a new one.
func (s *runShard) leave(shared *sharedRun) (last bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	shared.waiting--
	if shared.waiting > 0 {
		return false
	}
	s.remove(shared)
	shared.cancel()
	return true
}

// remove deletes a run from the table, unless its key now belongs to another run.
func (s *runShard) remove(shared *sharedRun) {
	if s.runs[shared.req.Key] == shared {
		delete(s.runs, shared.req.Key)
	}
}

// runKeyed runs a request under its key, or waits for the run that already exists for the key. A run continues while at
// least one of its callers waits for it, and the last caller to leave waits for its end.
func (r *Relay) runKeyed(ctx context.Context, req *call.Request, run func(context.Context, *call.Request) call.Result) call.Result {
	s := r.keyedRuns.shard(req.Key)
	shared, runCtx, why := s.joinOrStart(ctx, req, r.beginRequest)
	if why != reason.None {
		return call.Refuse(why)
	}
	if runCtx != nil {
		go r.execute(runCtx, s, shared, run)
	}
	select {
	case <-shared.done:
	case <-ctx.Done():
		if !s.leave(shared) {
			return call.UnknownOutcome(reason.Cancelled)
		}
		<-shared.done
		return shared.res
	}
	s.leave(shared)
	return shared.res
}

// execute performs a shared run and wakes its waiting callers. It recovers from panics, because the front end does so
// only in its own goroutines.
func (r *Relay) execute(ctx context.Context, s *runShard, shared *sharedRun, run func(context.Context, *call.Request) call.Result) {
	defer close(shared.done)
	defer r.inflight.Add(-1) // before the callers are woken, as for a request without a key
	defer func() {
		if recover() != nil {
			shared.res = call.UnknownOutcome(reason.Internal)
		}
		s.mu.Lock()
		s.remove(shared)
		s.mu.Unlock()
	}()
	shared.res = run(ctx, shared.req)
}
