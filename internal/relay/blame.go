package relay

import (
	"context"
	"sync"
	"time"

	"briarworks.example/briarworks/pkg/blame"
	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/reason"
)

// Blame connects a Relay with the requests that end the servers which run them. The exported fields are set before the first
// request. A nil Blame blames nothing.
type Blame struct {
	Table  *blame.Table
	Server ident.Server // the local one
	Now    func() time.Time
	// Identify returns what makes two attempts the same request.
	Identify func(*call.Request) blame.ID
	// ServerEnded reports whether the local server accepts no connection.
	ServerEnded func(ctx context.Context) bool
	// Share passes changed suspects on to other nodes; it must not block.
	Share func([]blame.Suspect)
	// OnEnd is called when the local server has ended, with the number of requests that were at work on it; may be nil.
	OnEnd func(end blame.End, requests int)
	// OnConvicted is called for each request that is refused; may be nil.
	OnConvicted func(req *call.Request, id blame.ID, v blame.Verdict)

	recent blame.Recent // requests that the local server has completed
	mu     sync.Mutex   // guards broken
	broken []blame.ID   // requests whose responses broke off since the last check of the local server
}

const (
	// endCheckDelay collects the requests whose responses break off together when a server ends.
	endCheckDelay = 30 * time.Millisecond
	// endCheckTimeout is the time after which a server that accepts no connection has ended.
	endCheckTimeout = 300 * time.Millisecond
	// maxBroken bounds the requests that are collected for one check.
	maxBroken = 512
)

// verdict returns what is known about a request, and its identity if anything is known of any request.
func (b *Blame) verdict(req *call.Request, now time.Time) (id blame.ID, v blame.Verdict) {
	if b == nil || b.Table.Empty() {
		return id, v
	}
	id = b.Identify(req)
	return id, b.Table.Verdict(id, now)
}

// refusal returns the result of a request that is convicted, and reports whether it is. It must not come back before the verdict
// ends.
func (b *Blame) refusal(req *call.Request, now time.Time) (res call.Result, convicted bool) {
	id, v := b.verdict(req, now)
	if !v.Convicted() {
		return res, false
	}
	if b.OnConvicted != nil {
		b.OnConvicted(req, id, v)
	}
	res = call.Refuse(reason.EndsServers)
	res.RetryAfter = v.Until
	return res, true
}

// limitAttempts keeps a request under which several servers have ended from being sent to a second one by this node.
func (b *Blame) limitAttempts(req *call.Request, now time.Time) {
	if _, v := b.verdict(req, now); !v.Repeatable() {
		req.MaxAttempts = min(req.MaxAttempts, 1)
	}
}

// observe records how a run of a request on the local server has ended.
func (b *Blame) observe(req *call.Request, res *call.Result, now time.Time) {
	switch {
	case b == nil:
	case res.Outcome == reason.Ran:
		id := b.Identify(req)
		b.recent.Add(id, now)
		if b.Table.Empty() {
			return
		}
		if changed := b.Table.Clear(id, now); len(changed) > 0 {
			b.Share(changed)
		}
	case res.Outcome == reason.Unknown && res.Reason == reason.ServerFailed:
		if id := b.Identify(req); !b.recent.Has(id, now) {
			b.collect(id)
		}
	}
}

// collect adds a request whose response broke off, and starts a check of the local server with the first one.
func (b *Blame) collect(id blame.ID) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.broken) < maxBroken {
		b.broken = append(b.broken, id)
	}
	if len(b.broken) == 1 {
		time.AfterFunc(endCheckDelay, b.check)
	}
}

// check accuses the collected requests if the local server has ended.
func (b *Blame) check() {
	b.mu.Lock()
	ids := b.broken
	b.broken = nil
	b.mu.Unlock()
	end := blame.End{Server: b.Server, At: b.Now()}
	ctx, cancel := context.WithTimeout(context.Background(), endCheckTimeout)
	defer cancel()
	if !b.ServerEnded(ctx) {
		return
	}
	if b.OnEnd != nil {
		b.OnEnd(end, len(ids))
	}
	if changed := b.Table.Accuse(end, ids, end.At); len(changed) > 0 {
		b.Share(changed)
	}
}
