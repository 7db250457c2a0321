package peer

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"sync/atomic"
	"time"

	"github.com/hashicorp/yamux"

	"briarworks.example/briarworks/internal/pause"
	"briarworks.example/briarworks/internal/wire"
	"briarworks.example/briarworks/internal/wire/wirepb"
	"briarworks.example/briarworks/pkg/budget"
	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/delay"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/reason"
)

// errUnexpectedMessage reports a message that the protocol does not allow at this point.
var errUnexpectedMessage = errors.New("peer: unexpected message")

// requestReadTimeout bounds the time that a peer may take to send a whole message on a stream. 100 concurrent
// messages of 260 KB on average took more than 10 s on a busy core under the race detector.
const requestReadTimeout = writeTimeout

// serveSession serves the streams that the peer opens on a session until the session ends.
func (tr *Transport) serveSession(s *session) {
	defer tr.wg.Done()
	var wg sync.WaitGroup
	for {
		st, err := s.AcceptStream()
		if err != nil {
			break
		}
		wg.Add(1)
		tr.workers.submit(func() {
			defer wg.Done()
			tr.serveStream(s, st)
		})
	}
	tr.removeSession(s)
	wg.Wait()
}

// serveStream handles one stream: a request of the peer and its reply, and further calls if the stream is reused.
func (tr *Transport) serveStream(s *session, st *yamux.Stream) {
	defer tr.Guard.Recover("stream", nil)
	defer func() { _ = st.Close() }()
	r := wire.NewReader(st)
	defer wire.FreeReader(r)
	var idle atomic.Int64
	if s.reusesStreams() {
		s.servedStreams.Store(st, &idle)
		defer s.servedStreams.Delete(st)
	}
	for tr.serveRequest(s, st, r, &idle) {
	}
}

// serveRequest handles one request of the peer and reports whether another one has begun on the stream. It
// stores in idle the time in ns since which the stream has waited for the next call, and 0 while a call runs.
func (tr *Transport) serveRequest(s *session, st *yamux.Stream, r *bufio.Reader, idle *atomic.Int64) (more bool) {
	_ = st.SetReadDeadline(tr.Now().Add(requestReadTimeout))
	hold := tr.Memory.Open()
	defer hold.Close()
	env := &wirepb.Envelope{}
	if err := wire.Read(r, env, hold); err != nil {
		switch {
		case errors.Is(err, io.EOF), s.IsClosed():
		case errors.Is(err, budget.ErrFull):
			tr.reportRefused(s, EventMemory, err.Error())
		default:
			tr.reportRefused(s, EventMalformed, err.Error())
		}
		return false
	}
	_ = st.SetReadDeadline(time.Time{})
	switch m := env.Body.(type) {
	case *wirepb.Envelope_Hello:
		tr.handleHello(s, st, m.Hello)
	case *wirepb.Envelope_Call:
		return tr.handleCall(s, st, r, m.Call, idle, hold)
	case *wirepb.Envelope_Settle:
		tr.handleSettle(s, st, r, m.Settle, hold)
	case *wirepb.Envelope_Leave:
		tr.OnLeave(ident.Server(m.Leave.GetServer()), ident.Incarnation(m.Leave.GetIncarnation()))
		tr.writeReply(st, &wirepb.Envelope{Body: &wirepb.Envelope_Ack{Ack: &wirepb.Ack{}}}, hold)
	case *wirepb.Envelope_Sync:
		if r := tr.OnSync(ident.Server(m.Sync.GetFrom()), m.Sync); r != nil {
			tr.writeReply(st, &wirepb.Envelope{Body: &wirepb.Envelope_SyncReply{SyncReply: r}}, hold)
		}
	case *wirepb.Envelope_Ping:
		tr.writeReply(st, &wirepb.Envelope{Body: &wirepb.Envelope_Pong{Pong: &wirepb.Pong{}}}, hold)
	default:
		tr.reportRefused(s, EventMalformed, fmt.Sprintf("unexpected request of type %T", env.Body))
	}
	return false
}

func (tr *Transport) writeReply(st *yamux.Stream, env *wirepb.Envelope, h *budget.Hold) {
	_ = st.SetWriteDeadline(tr.Now().Add(writeTimeout))
	_ = wire.Write(st, env, h)
}

// handleHello stores the identity of the peer before it replies, since the peer's first call may follow at
// once. A peer with another protocol version receives our version and is not served further.
func (tr *Transport) handleHello(s *session, st *yamux.Stream, h *wirepb.Hello) {
	matches := wire.Version(h.GetProtocol()) == wire.BaseVersion
	if matches {
		s.identity.Store(tr.identityOf(h))
		s.delays.Delay(delay.Stamp(h.GetSentNs()), tr.clock.stamp(tr.Now()))
	}
	tr.writeReply(st, &wirepb.Envelope{Body: &wirepb.Envelope_Hello{Hello: tr.helloMessage()}}, nil)
	if !matches {
		tr.reportRefused(s, EventVersion, fmt.Sprintf("protocol %d of server %q", h.GetProtocol(), h.GetServer()))
		_ = s.GoAway()
	}
}

// A call that was held up on its way, as when its sender was stopped while it wrote, may have been cancelled meanwhile.
// It is held until what follows it on the connection has been read.
const (
	lateCall     = 150 * time.Millisecond // delay from which on a call is held
	lateCallHold = 30 * time.Millisecond
)

// handleCall runs a call once and answers on its stream. The answer is retained for Settle until the caller
// closes the stream or begins the next call on it, either of which confirms that the caller has received the
// answer. handleCall reports whether a next call has begun.
func (tr *Transport) handleCall(s *session, st *yamux.Stream, r *bufio.Reader, m *wirepb.Call, idle *atomic.Int64, hold *budget.Hold) (more bool) {
	now := tr.Now()
	server, inc := s.peer()
	id := callID{server, inc, ident.CallID(m.GetCallId())}
	if server == "" || !tr.calls.register(id, now) {
		tr.reportRefused(s, EventMalformed, fmt.Sprintf("call %d arrived before Hello, is a duplicate, or was already settled", m.GetCallId()))
		return false
	}
	delayed := s.delays.Delay(delay.Stamp(m.GetSentNs()), tr.clock.stamp(now))
	req := wire.ToRequest(m, now, delayed)
	req.Hold = hold
	ctx, cancel := context.WithDeadline(context.Background(), req.Deadline)
	defer cancel()
	tr.unansweredCalls.Add(1)
	answered := make(chan struct{})
	tr.workers.submit(func() {
		defer close(answered)
		defer tr.unansweredCalls.Add(-1)
		defer tr.Guard.Recover("answer", nil)
		if delayed > lateCall {
			pause.For(ctx, lateCallHold)
		}
		res := tr.runCall(ctx, req)
		ans := wire.FromResult(id.call, &res)
		tr.calls.complete(id, ans, tr.Now())
		reuse := s.reusesStreams()
		if reuse {
			idle.Store(tr.Now().UnixNano()) // a read deadline would cost a timer for each call
		}
		tr.writeReply(st, &wirepb.Envelope{Body: &wirepb.Envelope_Answer{Answer: ans}}, hold)
		if !reuse {
			_ = st.SetReadDeadline(tr.Now().Add(answerRetention))
		}
	})
	_, err := r.Peek(1)
	// The end of the stream cancels the call. A broken session does not, since the caller settles the call over a new
	// session and may still need its answer.
	if errors.Is(err, io.EOF) && !s.IsClosed() {
		cancel()
	}
	<-answered
	idle.Store(0)
	more = err == nil && s.reusesStreams()
	if more || errors.Is(err, io.EOF) && !s.IsClosed() {
		tr.calls.remove(id)
	}
	return more
}

// runCall runs a call of a peer. A panic ends the call, whose outcome is then unknown.
func (tr *Transport) runCall(ctx context.Context, req *call.Request) (res call.Result) {
	defer tr.Guard.Recover("call", func() { res = call.UnknownOutcome(reason.Internal) })
	return tr.OnCall(ctx, req)
}

// handleSettle replies with the state of calls, after waiting for those that still run. A call that is not
// known is barred from running later.
func (tr *Transport) handleSettle(s *session, st *yamux.Stream, r *bufio.Reader, m *wirepb.Settle, hold *budget.Hold) {
	server, inc := s.peer()
	if inc != ident.Incarnation(m.GetIncarnation()) || len(m.GetCallIds()) > maxSettleCalls {
		tr.reportRefused(s, EventMalformed, fmt.Sprintf("settle request for %d calls of incarnation %d", len(m.GetCallIds()), m.GetIncarnation()))
		return
	}
	ctx, cancel := context.WithCancel(context.Background())
	defer cancel()
	closed := make(chan struct{})
	go func() {
		defer close(closed)
		_, _ = r.ReadByte()
		cancel()
	}()
	out := &wirepb.Settled{}
	for _, n := range m.GetCallIds() {
		id := callID{server, inc, ident.CallID(n)}
		state, ans := tr.calls.settle(ctx, id, tr.Now())
		out.States = append(out.States, &wirepb.CallState{CallId: n, State: state, Answer: ans})
	}
	tr.writeReply(st, &wirepb.Envelope{Body: &wirepb.Envelope_Settled{Settled: out}}, hold)
	_ = st.SetReadDeadline(tr.Now().Add(requestReadTimeout))
	<-closed // the goroutine above uses r until then
}

// maxSettleCalls bounds the calls of one Settle request.
const maxSettleCalls = 1024
