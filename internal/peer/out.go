package peer

import (
	"context"
	"errors"
	"io"
	"time"

	"github.com/hashicorp/yamux"

	"briarworks.example/briarworks/internal/pause"
	"briarworks.example/briarworks/internal/wire"
	"briarworks.example/briarworks/internal/wire/wirepb"
	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/reason"
)

// settleLimit bounds the search for the outcome of a call whose connection broke, so that a retry
// elsewhere still has time.
const settleLimit = time.Second

// Call runs a request on a peer and returns its result; the request's deadline bounds it. The result is
// NotRun only if nothing was sent or the peer proved that the call never ran.
func (b *Book) Call(ctx context.Context, addr ident.Address, req *call.Request) call.Result {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	l := b.Link(addr)
	l.calls.Add(1)
	defer l.calls.Add(-1)
	s, st, err := b.open(ctx, l)
	if err != nil {
		why := reason.NoServer
		if ctx.Err() != nil {
			why = gone(ctx).Reason // says nothing about the peer
		}
		return neverRan(req, why)
	}
	id := ident.CallID(b.ids.Add(1))
	ans, err := b.converse(ctx, s, st, id, req)
	if err == nil {
		return wire.ToResult(ans)
	}
	if ctx.Err() != nil {
		return gone(ctx)
	}
	if !ownEnd(err) {
		_ = s.Close() // what broke one call breaks the others too; they settle on one new connection
	}
	why := reason.ConnectionLost
	if s.silent.Load() {
		why = reason.ConnectionSilent
	}
	return b.settle(ctx, l, s, id, req, why)
}

// ownEnd reports whether a stream ended by itself, as when the peer refused its message or took too long
// to receive it. This says nothing about the other calls of the session.
func ownEnd(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, yamux.ErrConnectionReset)
}

// open takes a kept stream to the peer or opens one. A session may have ended without being noticed yet;
// nothing was sent on it, so a new one is tried once.
func (b *Book) open(ctx context.Context, l *Link) (s *session, st *callStream, err error) {
	for range 2 {
		if s, err = l.session(ctx, b); err != nil {
			return nil, nil, err
		}
		if st, err = s.acquireStream(b.Now()); err == nil {
			return s, st, nil
		}
		_ = s.Close()
	}
	return nil, nil, err
}

// neverRan is the result for a call that no peer ran, so that nothing of its budget was spent. The
// result itself has to say so: a peer can answer with the same reason, which its own server passed on
// from further down the chain, after tokens were spent there.
func neverRan(req *call.Request, why reason.Refusal) call.Result {
	res := call.Refuse(why)
	res.RetryBudgetLeft = req.RetryBudget
	return res
}

// gone is the result for a call that its caller stopped waiting for.
func gone(ctx context.Context) call.Result {
	if ctx.Err() == context.DeadlineExceeded {
		return call.UnknownOutcome(reason.DeadlinePassed)
	}
	return call.UnknownOutcome(reason.Cancelled)
}

// converse sends the call and waits for its answer. Closing the stream, or the next call on it, tells the
// peer that the answer arrived; closing it before the answer, that the call is cancelled.
func (b *Book) converse(ctx context.Context, s *session, st *callStream, id ident.CallID, req *call.Request) (ans *wirepb.Answer, err error) {
	stop := context.AfterFunc(ctx, func() { _ = st.SetDeadline(time.Unix(1, 0)) })
	defer func() {
		if stop() && err == nil && s.reusesStreams() && reusable(req, ans) && s.idleStreams.Put(st, b.Now()) {
			return
		}
		st.release()
	}()
	now := b.Now()
	s.begin(now)
	defer s.end()
	m := wire.FromRequest(id, req, now, b.clock.stamp(now))
	if err = wire.Write(st, &wirepb.Envelope{Body: &wirepb.Envelope_Call{Call: m}}); err != nil {
		return nil, err
	}
	reply := &wirepb.Envelope{}
	if err = wire.Read(st.r, reply); err != nil {
		return nil, err
	}
	ans = reply.GetAnswer()
	if ans == nil || ans.CallId != uint64(id) {
		b.refuse(s, EventGarbled, "a reply that is no answer to the call")
		return nil, errUnexpectedMessage
	}
	return ans, nil
}

// settle asks the same incarnation of the peer, over another connection, what became of a call.
func (b *Book) settle(ctx context.Context, l *Link, broken *session, id ident.CallID, req *call.Request, why reason.Refusal) call.Result {
	short, cancel := context.WithTimeout(ctx, settleLimit)
	defer cancel()
	for {
		s, err := l.session(short, b)
		switch {
		case err != nil && refused(err):
			return call.UnknownOutcome(why) // the process is gone; what it ran cannot be known
		case err == nil && !s.same(broken):
			return call.UnknownOutcome(why) // a later incarnation knows nothing of the call
		case err == nil:
			if res, ok := b.askState(ctx, s, id, req, why); ok {
				b.Event(EventSettled)
				return res
			}
		}
		if !pause.For(short, settlePause) {
			return call.UnknownOutcome(why)
		}
	}
}

// settlePause is the time between two attempts to reach a peer for settling.
const settlePause = 50 * time.Millisecond

// askState asks for the state of one call; the peer replies when a running call has ended.
func (b *Book) askState(ctx context.Context, s *session, id ident.CallID, req *call.Request, why reason.Refusal) (res call.Result, ok bool) {
	m := &wirepb.Settle{Incarnation: uint64(b.Incarnation), CallIds: []uint64{uint64(id)}}
	reply, err := b.ask(ctx, s, &wirepb.Envelope{Body: &wirepb.Envelope_Settle{Settle: m}})
	if err != nil {
		return res, false
	}
	states := reply.GetSettled().GetStates()
	if len(states) != 1 || states[0].GetCallId() != uint64(id) {
		b.refuse(s, EventGarbled, "a reply that does not settle the call")
		return res, false
	}
	switch states[0].GetState() {
	case wirepb.CallState_NEVER_RAN:
		return neverRan(req, why), true
	case wirepb.CallState_ANSWERED:
		return wire.ToResult(states[0].GetAnswer()), true
	}
	return call.UnknownOutcome(why), true
}
