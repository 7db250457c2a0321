package http1

import (
	"bytes"
	"errors"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"briarworks.example/briarworks/internal/probe"
	"briarworks.example/briarworks/pkg/ident"
)

// Guards against a client of net/http that gets a part of a response as the whole, or a body that was not sent.
func TestTransport(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	tests := map[string]struct {
		serve  func(t testing.TB, text string) ident.Address
		text   string
		upload int
		want   string // body; an error if empty
	}{
		"length":                        {serve: probe.Respond, text: ok + "Content-Length: 4\r\n\r\nbody", want: "body"},
		"until the end":                 {serve: probe.Respond, text: ok + "\r\nbody", want: "body"},
		"reset":                         {serve: probe.RespondAndReset, text: ok + "\r\npart"},
		"reset during an upload":        {serve: probe.RespondAndReset, text: ok + "\r\npart", upload: 32 << 20},
		"length, reset during upload":   {serve: probe.RespondAndReset, text: ok + "Content-Length: 10\r\n\r\npart", upload: 32 << 20},
		"space before the colon":        {serve: probe.Respond, text: ok + "Content-Length : 4\r\n\r\nbody and more"},
		"line feed before the length":   {serve: probe.Respond, text: ok + "\nContent-Length: 4\r\n\r\nbody"},
		"length and coding":             {serve: probe.Respond, text: ok + "Content-Length: 4\r\nTransfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n\r\n"},
		"interim response with content": {serve: probe.Respond, text: "HTTP/1.1 103 X\r\nContent-Length: 9\r\n\r\n" + ok + "\r\nbody"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			tr := NewTransport()
			defer tr.CloseIdleConnections()
			client := &http.Client{Transport: tr, Timeout: 5 * time.Second}
			var body []byte
			resp, err := client.Post("http://"+string(tt.serve(t, tt.text)), "", bytes.NewReader(make([]byte, tt.upload)))
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
