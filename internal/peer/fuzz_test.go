package peer

import (
	"context"
	"io"
	"net"
	"testing"
	"time"

	"briarworks.example/briarworks/internal/wire/wirepb"
	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/ident"
)

// FuzzSession looks for bytes on a connection between nodes that end the process or leave the session open.
func FuzzSession(f *testing.F) {
	f.Add([]byte("GET / HTTP/1.1\r\n\r\n"))
	f.Add([]byte{0, 0, 0, 1, 0, 0, 0, 1, 0, 0, 0, 4, 3, 0xff, 0xff, 0xff}) // a stream with a malformed message
	f.Add([]byte{0, 1, 0, 1, 0, 0, 0, 1, 0xff, 0xff, 0xff, 0xff})
	f.Fuzz(func(t *testing.T, b []byte) {
		tr := &Transport{
			Server: "a", Incarnation: 1, Now: time.Now, OnEvent: func(Event) {},
			OnCall:  func(context.Context, *call.Request) call.Result { return call.Result{} },
			OnLeave: func(ident.Server, ident.Incarnation) {},
			OnSync:  func(ident.Server, *wirepb.Sync) *wirepb.SyncReply { return nil },
		}
		near, far := net.Pipe()
		s, err := newSession(far, false, time.Now, &tr.Closer)
		if err != nil {
			t.Fatal(err)
		}
		if err = tr.addSession(s); err != nil {
			t.Fatal(err)
		}
		go func() { _, _ = io.Copy(io.Discard, near) }()
		_, _ = near.Write(b)
		_ = near.Close()
		tr.Close()
		if got := tr.SessionCount(); got != 0 {
			t.Errorf("sessions after the connection has ended: got %d, want 0", got)
		}
	})
}
