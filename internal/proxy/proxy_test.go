package proxy

import (
	"errors"
	"io"
	"net"
	"os"
	"testing"
	"time"
)

// startEcho starts an echo server and returns its address.
func startEcho(t *testing.T) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = ln.Close() })
	go func() {
		for {
			c, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				_, _ = io.Copy(c, c)
				_ = c.Close()
			}()
		}
	}()
	return ln.Addr().String()
}

// Guards against a proxy that loses or changes data, or whose faults have no effect.
func TestProxy(t *testing.T) {
	const short, long = 50 * time.Millisecond, 2 * time.Second
	tests := map[string]struct {
		inject func(*Proxy)
		within time.Duration
		want   error // of a read; nil if the echo arrives
		repair func(*Proxy)
	}{
		"open":          {func(*Proxy) {}, long, nil, nil},
		"delayed":       {func(p *Proxy) { p.SetDelay(short) }, long, nil, nil},
		"muted":         {func(p *Proxy) { p.Block(true, true) }, short, os.ErrDeadlineExceeded, func(p *Proxy) { p.Block(false, false) }},
		"one way muted": {func(p *Proxy) { p.Block(false, true) }, short, os.ErrDeadlineExceeded, func(p *Proxy) { p.Block(false, false) }},
		"reset":         {func(p *Proxy) { p.Reset() }, long, net.ErrClosed, nil},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var p Proxy
			if err := p.Start("127.0.0.1:0", startEcho(t)); err != nil {
				t.Fatal(err)
			}
			defer p.Close()
			c, err := net.Dial("tcp", p.Addr())
			if err != nil {
				t.Fatal(err)
			}
			defer func() { _ = c.Close() }()
			buf := make([]byte, 5)
			if _, err = io.WriteString(c, "first"); err != nil {
				t.Fatal(err)
			}
			if _, err = io.ReadFull(c, buf); err != nil {
				t.Fatal(err)
			}
			tt.inject(&p)
			_, _ = io.WriteString(c, "after")
			_ = c.SetReadDeadline(time.Now().Add(tt.within))
			_, err = io.ReadFull(c, buf)
			if tt.want == nil && (err != nil || string(buf) != "after") || errors.Is(tt.want, os.ErrDeadlineExceeded) != errors.Is(err, os.ErrDeadlineExceeded) || (tt.want != nil) != (err != nil) {
				t.Fatalf("read: got %q %v, want error %v", buf, err, tt.want)
			}
			if tt.repair == nil {
				return
			}
			tt.repair(&p)
			_ = c.SetReadDeadline(time.Now().Add(long))
			if _, err = io.ReadFull(c, buf); err != nil || string(buf) != "after" {
				t.Errorf("read after the repair: got %q %v, want the blocked data", buf, err)
			}
		})
	}
}
