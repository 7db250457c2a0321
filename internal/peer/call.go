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
	"briarworks.example/briarworks/pkg/budget"
	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/reason"
)

// settleTimeout bounds the attempts to learn the outcome of a call whose connection broke, so that time is left
// for a retry elsewhere.
const settleTimeout = time.Second

// Call runs a request on the peer at addr and returns its result, at the latest at the request's deadline. The
// outcome is NotRun only if nothing was sent or the peer reported that the call never ran.
func (tr *Transport) Call(ctx context.Context, addr ident.Address, req *call.Request) call.Result {
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	l := tr.Link(addr)
	l.activeCalls.Add(1)
	defer l.activeCalls.Add(-1)
	s, st, err := tr.openStream(ctx, l)
	if err != nil {
		why := reason.NoServer
		if ctx.Err() != nil {
			why = contextResult(ctx).Reason // not a fault of the peer
		}
		return notRunResult(req, why)
	}
	if tr.BeforeSend != nil {
		tr.BeforeSend(ctx)
	}
	if ctx.Err() != nil {
		st.release()
		return notRunResult(req, contextResult(ctx).Reason)
	}
	id := ident.CallID(tr.lastCallID.Add(1))
	ans, err := tr.exchangeCall(ctx, s, st, id, req)
	if err == nil {
		return wire.ToResult(ans)
	}
	if errors.Is(err, errNoMemoryToSend) {
		return notRunResult(req, reason.MemoryFull)
	}
	if ctx.Err() != nil {
		return contextResult(ctx)
	}
	if errors.Is(err, budget.ErrFull) {
		return call.UnknownOutcome(reason.MemoryFull) // the session is sound
	}
	if !isStreamError(err) {
		_ = s.Close() // the session's other calls fail too; all settle over one new session
	}
	why := reason.ConnectionLost
	if s.silent.Load() {
		why = reason.ConnectionSilent
	}
	return tr.settle(ctx, l, s, id, req, why)
}

// errNoMemoryToSend reports a call that was not sent because there was no memory to encode it.
var errNoMemoryToSend = errors.New("peer: no memory to encode the call")

// isStreamError reports whether only the stream ended, as when the peer refused its message or took too long to
// receive it. The other calls of the session are not affected.
func isStreamError(err error) bool {
	return errors.Is(err, io.EOF) || errors.Is(err, yamux.ErrConnectionReset)
}

// openStream returns an idle stream to the peer or opens a new one. It retries once with a new session, because a
// session can turn out to be closed only when a stream is opened, before anything was sent.
func (tr *Transport) openStream(ctx context.Context, l *Link) (s *session, st *callStream, err error) {
	for range 2 {
		if s, err = l.session(ctx, tr); err != nil {
			return nil, nil, err
		}
		if st, err = s.acquireStream(tr.Now()); err == nil {
			return s, st, nil
		}
		_ = s.Close()
	}
	return nil, nil, err
}

// notRunResult is the result of a call that no peer ran. It returns the whole retry budget explicitly, since the
// reason alone does not imply it: a peer can pass on the same reason from further down the chain, where part of
// the budget was already spent.
func notRunResult(req *call.Request, why reason.Refusal) call.Result {
	res := call.Refuse(why)
	res.RetryBudgetLeft = req.RetryBudget
	return res
}

// contextResult is the result of a call whose context ended before its answer arrived.
func contextResult(ctx context.Context) call.Result {
	if ctx.Err() == context.DeadlineExceeded {
		return call.UnknownOutcome(reason.DeadlinePassed)
	}
	return call.UnknownOutcome(reason.Cancelled)
}

// exchangeCall sends the call and waits for its answer. Closing the stream after the answer, or sending the next
// call on it, confirms the answer to the peer; closing it before the answer cancels the call.
func (tr *Transport) exchangeCall(ctx context.Context, s *session, st *callStream, id ident.CallID, req *call.Request) (ans *wirepb.Answer, err error) {
	stop := context.AfterFunc(ctx, func() { _ = st.SetDeadline(time.Unix(1, 0)) })
	defer func() {
		if stop() && err == nil && s.reusesStreams() && reusable(req, ans) && s.idleStreams.Put(st, tr.Now()) {
			return
		}
		st.release()
	}()
	now := tr.Now()
	s.beginCall(now)
	defer s.endCall()
	m := wire.FromRequest(id, req, now, tr.clock.stamp(now))
	if err = wire.Write(st, &wirepb.Envelope{Body: &wirepb.Envelope_Call{Call: m}}, req.Hold); err != nil {
		if errors.Is(err, budget.ErrFull) {
			err = errNoMemoryToSend
		}
		return nil, err
	}
	reply := &wirepb.Envelope{}
	if err = wire.Read(st.r, reply, req.Hold); err != nil {
		return nil, err
	}
	ans = reply.GetAnswer()
	if ans == nil || ans.CallId != uint64(id) {
		tr.reportRefused(s, EventMalformed, "reply is not an answer to the call")
		return nil, errUnexpectedMessage
	}
	return ans, nil
}

// settle asks the same incarnation of the peer for the outcome of a call, over a new session.
func (tr *Transport) settle(ctx context.Context, l *Link, broken *session, id ident.CallID, req *call.Request, why reason.Refusal) call.Result {
	short, cancel := context.WithTimeout(ctx, settleTimeout)
	defer cancel()
	for {
		s, err := l.session(short, tr)
		switch {
		case err != nil && isConnectionRefused(err):
			return call.UnknownOutcome(why) // the process has ended, so the outcome cannot be determined
		case err == nil && !s.sameIncarnation(broken):
			return call.UnknownOutcome(why) // a later incarnation has no record of the call
		case err == nil:
			if res, ok := tr.queryCallState(ctx, s, id, req, why); ok {
				tr.OnEvent(EventSettled)
				return res
			}
		}
		if !pause.For(short, settleRetryDelay) {
			return call.UnknownOutcome(why)
		}
	}
}

// settleRetryDelay is the time between two attempts to settle a call.
const settleRetryDelay = 50 * time.Millisecond

// queryCallState asks the peer for the state of one call; the peer replies once the call has ended.
func (tr *Transport) queryCallState(ctx context.Context, s *session, id ident.CallID, req *call.Request, why reason.Refusal) (res call.Result, ok bool) {
	m := &wirepb.Settle{Incarnation: uint64(tr.Incarnation), CallIds: []uint64{uint64(id)}}
	reply, err := tr.exchange(ctx, s, &wirepb.Envelope{Body: &wirepb.Envelope_Settle{Settle: m}}, req.Hold)
	if err != nil {
		return res, false
	}
	states := reply.GetSettled().GetStates()
	if len(states) != 1 || states[0].GetCallId() != uint64(id) {
		tr.reportRefused(s, EventMalformed, "reply does not settle the call")
		return res, false
	}
	switch states[0].GetState() {
	case wirepb.CallState_NEVER_RAN:
		return notRunResult(req, why), true
	case wirepb.CallState_ANSWERED:
		return wire.ToResult(states[0].GetAnswer()), true
	}
	return call.UnknownOutcome(why), true
}
