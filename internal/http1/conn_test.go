package http1

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"
)

// respondOnce accepts one connection, reads the beginning of a request, runs a script on the connection and closes it.
func respondOnce(t *testing.T, script func(c *net.TCPConn)) (url string) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		c, err := ln.Accept()
		if err != nil {
			return
		}
		defer func() { _ = c.Close() }()
		_, _ = c.Read(make([]byte, 1<<10))
		script(c.(*net.TCPConn))
	}()
	t.Cleanup(func() { _ = ln.Close(); <-done })
	return "http://" + ln.Addr().String()
}

// Guards against a client of net/http that gets a part of a response as the whole, or a body that was not sent.
func TestTransport(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	reset := func(text string) func(c *net.TCPConn) {
		return func(c *net.TCPConn) {
			_, _ = io.WriteString(c, text)
			time.Sleep(20 * time.Millisecond) // a reset discards what has not arrived yet
			_ = c.SetLinger(0)
		}
	}
	respond := func(text string) func(c *net.TCPConn) {
		return func(c *net.TCPConn) { _, _ = io.WriteString(c, text) }
	}
	tests := map[string]struct {
		script func(c *net.TCPConn)
		upload int
		want   string // body; an error if empty
	}{
		"length":                        {script: respond(ok + "Content-Length: 4\r\n\r\nbody"), want: "body"},
		"until the end":                 {script: respond(ok + "\r\nbody"), want: "body"},
		"reset":                         {script: reset(ok + "\r\npart")},
		"reset during an upload":        {script: reset(ok + "\r\npart"), upload: 32 << 20},
		"length, reset during upload":   {script: reset(ok + "Content-Length: 10\r\n\r\npart"), upload: 32 << 20},
		"space before the colon":        {script: respond(ok + "Content-Length : 4\r\n\r\nbody and more")},
		"line feed before the length":   {script: respond(ok + "\nContent-Length: 4\r\n\r\nbody")},
		"length and coding":             {script: respond(ok + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n")},
		"interim response with content": {script: respond("HTTP/1.1 103 X\r\nContent-Length: 9\r\n\r\n" + ok + "\r\nbody")},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tr := NewTransport()
			defer tr.CloseIdleConnections()
			client := &http.Client{Transport: tr, Timeout: 5 * time.Second}
			var body []byte
			resp, err := client.Post(respondOnce(t, tt.script), "", bytes.NewReader(make([]byte, tt.upload)))
			if err == nil {
				body, err = io.ReadAll(resp.Body)
				_ = resp.Body.Close()
			}
			if (err == nil) != (tt.want != "") || err == nil && string(body) != tt.want {
				t.Errorf("got body %q, error %v, want body %q", body, err, tt.want)
			}
		})
	}
}

// brokenConn is a connection whose writes fail and whose reads end.
type brokenConn struct {
	net.Conn
	writeErr error
}

func (c brokenConn) Read([]byte) (int, error)    { return 0, io.EOF }
func (c brokenConn) Write(p []byte) (int, error) { return len(p), c.writeErr }

// Guards against an end of file that is taken for the end of a response although a write has failed.
func TestEndAfterWrite(t *testing.T) {
	tests := map[string]struct {
		write    func(c *Conn)
		writeErr error
		want     error
	}{
		"no write":     {func(*Conn) {}, nil, io.EOF},
		"write":        {func(c *Conn) { _, _ = c.Write([]byte("x")) }, nil, io.EOF},
		"failed write": {func(c *Conn) { _, _ = c.Write([]byte("x")) }, net.ErrClosed, io.ErrUnexpectedEOF},
		"failed copy":  {func(c *Conn) { _, _ = c.ReadFrom(bytes.NewReader([]byte("x"))) }, net.ErrClosed, io.ErrUnexpectedEOF},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := &Conn{Conn: brokenConn{writeErr: tt.writeErr}}
			tt.write(c)
			if _, got := c.Read(make([]byte, 1)); !errors.Is(got, tt.want) {
				t.Errorf("got %v, want %v", got, tt.want)
			}
		})
	}
}
