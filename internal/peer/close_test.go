package peer

import (
	"bytes"
	"context"
	"net"
	"sync"
	"testing"
	"time"

	"briarworks.example/briarworks/internal/probe"
	"briarworks.example/briarworks/internal/wire/wirepb"
	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/reason"
)

// heldConn is a connection whose reads wait until released is closed, from hold on.
type heldConn struct {
	net.Conn
	hold, released chan struct{}
}

// Read reads from the connection.
func (c *heldConn) Read(b []byte) (int, error) {
	select {
	case <-c.hold:
		<-c.released
	default:
	}
	return c.Conn.Read(b)
}

// Guards against an answer that is cut off because its node stopped while the calling node still had to read it and sent
// further messages.
func TestAnswerOutlastsStop(t *testing.T) {
	const pause = 150 * time.Millisecond // longer than a message takes
	body := bytes.Repeat([]byte("x"), 64<<10)
	began := make(chan struct{}, 1)
	p := newPair(t, func(context.Context, *call.Request) call.Result {
		began <- struct{}{}
		return call.Result{Outcome: reason.Ran, Status: 200, Body: body, AdmittedFraction: 1}
	})
	hold, released := make(chan struct{}), make(chan struct{})
	p.caller.Dial = func(ctx context.Context, addr string) (net.Conn, error) {
		c, err := probe.SlowDialer().DialContext(ctx, "tcp", addr)
		if err != nil {
			return nil, err
		}
		return &heldConn{Conn: c, hold: hold, released: released}, nil
	}
	p.connect(t)
	close(hold)
	var wg sync.WaitGroup
	wg.Go(func() {
		res := p.caller.Call(t.Context(), p.calledAddr(), newRequest(5*time.Second))
		if res.Outcome != reason.Ran || len(res.Body) != len(body) {
			t.Errorf("call: got %v %v and %d bytes, want the whole answer", res.Outcome, res.Reason, len(res.Body))
		}
	})
	<-began
	if !p.called.WaitIdle(t.Context()) {
		t.Fatal("idle: got false, want true")
	}
	_ = p.ln.Close()
	ctx, cancel := context.WithTimeout(t.Context(), 5*time.Second)
	defer cancel()
	wg.Go(func() { p.called.Shutdown(ctx) })
	for range 2 {
		time.Sleep(pause)
		wg.Go(func() {
			p.caller.Broadcast(ctx, &wirepb.Envelope{Body: &wirepb.Envelope_Ping{Ping: &wirepb.Ping{}}}, pause)
		})
	}
	time.Sleep(pause)
	close(released)
	wg.Wait()
}
