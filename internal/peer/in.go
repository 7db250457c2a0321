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

	"briarworks.example/briarworks/internal/wire"
	"briarworks.example/briarworks/internal/wire/wirepb"
	"briarworks.example/briarworks/pkg/delay"
	"briarworks.example/briarworks/pkg/ident"
)

// errGarbled reports a message that is out of place.
var errGarbled = errors.New("peer: message out of place")

// requestLimit bounds how long a peer may take to send a whole message on a stream it opened. 100 messages
// of 260 KB on average, sent at once, took more than 10 s on a busy core under the race detector.
const requestLimit = writeTimeout

// accept serves the streams that the peer opens on a session until the session ends.
func (b *Book) accept(s *session) {
	defer b.wg.Done()
	var wg sync.WaitGroup
	for {
		st, err := s.AcceptStream()
		if err != nil {
			break
		}
		wg.Add(1)
		b.workers.do(b, job{s, st, &wg})
	}
	b.forget(s)
	wg.Wait()
}

// serve handles one stream: a request of the peer and its reply, and further calls if it is kept.
func (b *Book) serve(s *session, st *yamux.Stream) {
	defer func() { _ = st.Close() }()
	r := wire.NewReader(st)
	defer wire.FreeReader(r)
	var idle atomic.Int64
	if s.keeps() {
		s.served.Store(st, &idle)
		defer s.served.Delete(st)
	}
	for b.request(s, st, r, &idle) {
	}
}

// request handles one request of the peer and reports whether another one has begun on the stream; idle
// holds since when the stream waits for it.
func (b *Book) request(s *session, st *yamux.Stream, r *bufio.Reader, idle *atomic.Int64) (more bool) {
	_ = st.SetReadDeadline(b.Now().Add(requestLimit))
	env := &wirepb.Envelope{}
	if err := wire.Read(r, env); err != nil {
		if !errors.Is(err, io.EOF) && !s.IsClosed() {
			b.refuse(s, EventGarbled, err.Error())
		}
		return false
	}
	_ = st.SetReadDeadline(time.Time{})
	switch m := env.Body.(type) {
	case *wirepb.Envelope_Hello:
		b.onHello(s, st, m.Hello)
	case *wirepb.Envelope_Call:
		return b.onCall(s, st, r, m.Call, idle)
	case *wirepb.Envelope_Settle:
		b.onSettle(s, st, r, m.Settle)
	case *wirepb.Envelope_Leave:
		b.OnLeave(ident.Server(m.Leave.GetServer()), ident.Incarnation(m.Leave.GetIncarnation()))
		b.reply(st, &wirepb.Envelope{Body: &wirepb.Envelope_Ack{Ack: &wirepb.Ack{}}})
	case *wirepb.Envelope_Sync:
		if r := b.OnSync(ident.Server(m.Sync.GetFrom()), m.Sync); r != nil {
			b.reply(st, &wirepb.Envelope{Body: &wirepb.Envelope_SyncReply{SyncReply: r}})
		}
	case *wirepb.Envelope_Ping:
		b.reply(st, &wirepb.Envelope{Body: &wirepb.Envelope_Pong{Pong: &wirepb.Pong{}}})
	default:
		b.refuse(s, EventGarbled, fmt.Sprintf("a request of type %T", env.Body))
	}
	return false
}

func (b *Book) reply(st *yamux.Stream, env *wirepb.Envelope) {
	_ = st.SetWriteDeadline(b.Now().Add(writeTimeout))
	_ = wire.Write(st, env)
}

// onHello learns who the peer is, before it replies: the peer's first call may follow at once. A peer
// with another protocol version is told ours and is not served further.
func (b *Book) onHello(s *session, st *yamux.Stream, h *wirepb.Hello) {
	matches := wire.Version(h.GetProtocol()) == wire.Protocol
	if matches {
		s.who.Store(b.identify(h))
		s.meter.Late(delay.Stamp(h.GetSentNs()), b.clock.stamp(b.Now()))
	}
	b.reply(st, &wirepb.Envelope{Body: &wirepb.Envelope_Hello{Hello: b.hello()}})
	if !matches {
		b.refuse(s, EventVersion, fmt.Sprintf("protocol %d of server %q", h.GetProtocol(), h.GetServer()))
		_ = s.GoAway()
	}
}

// onCall runs a call once and answers on its stream. The answer is kept for Settle until the caller
// has closed the stream or begun the next call on it, which it does when it holds the answer; the latter
// is reported.
func (b *Book) onCall(s *session, st *yamux.Stream, r *bufio.Reader, m *wirepb.Call, idle *atomic.Int64) (more bool) {
	now := b.Now()
	server, inc := s.name()
	id := callID{server, inc, ident.CallID(m.GetCallId())}
	if server == "" || !b.calls.register(id, now) {
		b.refuse(s, EventGarbled, fmt.Sprintf("call %d before a Hello, repeated, or settled before", m.GetCallId()))
		return false
	}
	req := wire.ToRequest(m, now, s.meter.Late(delay.Stamp(m.GetSentNs()), b.clock.stamp(now)))
	ctx, cancel := context.WithDeadline(context.Background(), req.Deadline)
	defer cancel()
	closed := make(chan error, 1)
	go func() {
		_, err := r.Peek(1)
		closed <- err
		// The end of the stream cancels the call; a broken session does not, since the caller will
		// settle the call and may still want its answer.
		if errors.Is(err, io.EOF) && !s.IsClosed() {
			cancel()
		}
	}()
	b.answering.Add(1)
	res := b.OnCall(ctx, req)
	ans := wire.FromResult(id.call, &res)
	b.calls.complete(id, ans, b.Now())
	b.reply(st, &wirepb.Envelope{Body: &wirepb.Envelope_Answer{Answer: ans}})
	b.answering.Add(-1)
	keeps := s.keeps()
	if keeps {
		idle.Store(b.Now().UnixNano()) // a deadline here would cost a timer for each call
		defer idle.Store(0)
	} else {
		_ = st.SetReadDeadline(b.Now().Add(answerRetention))
	}
	err := <-closed
	more = err == nil && keeps
	if more || errors.Is(err, io.EOF) && !s.IsClosed() {
		b.calls.remove(id)
	}
	return more
}

// onSettle reports the state of calls, after waiting for those that still run. A call that is not
// known is barred by the reply.
func (b *Book) onSettle(s *session, st *yamux.Stream, r *bufio.Reader, m *wirepb.Settle) {
	server, inc := s.name()
	if inc != ident.Incarnation(m.GetIncarnation()) || len(m.GetCallIds()) > maxSettle {
		b.refuse(s, EventGarbled, fmt.Sprintf("a settle of %d calls for incarnation %d", len(m.GetCallIds()), m.GetIncarnation()))
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
		state, ans := b.calls.settle(ctx, id, b.Now())
		out.States = append(out.States, &wirepb.CallState{CallId: n, State: state, Answer: ans})
	}
	b.reply(st, &wirepb.Envelope{Body: &wirepb.Envelope_Settled{Settled: out}})
	_ = st.SetReadDeadline(b.Now().Add(requestLimit))
	<-closed // the reader is in use until then
}

// maxSettle bounds the calls of one Settle.
const maxSettle = 1024
