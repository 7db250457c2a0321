package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"
)

// host is the host name of all routes.
const host = "routes.example"

// client is a client, or the server of a machine in its calls, with a kept connection to the node of the machine.
type client struct {
	name string
	node string // address
	rec  *recorder

	conn net.Conn
	in   *bufio.Reader
}

// answer is what a client has seen of a request.
type answer struct {
	sent   time.Time
	ended  time.Time
	status int // 0 if the connection ended without a complete answer
	sealed bool
	err    error
}

// send sends one request on the client's connection and reads its answer. It opens a connection if there is none.
func (c *client) send(ctx context.Context, method, path, id string, deadline time.Duration) (a answer) {
	a.sent = time.Now()
	defer func() {
		a.ended = time.Now()
		if a.err != nil {
			c.rec.printf("%s: %s %s %s ended after %v without an answer: %v", c.name, method, path, id, a.ended.Sub(a.sent).Round(time.Millisecond), a.err)
			c.close()
			return
		}
		c.rec.printf("%s: %s %s %s answered %d, sealed %v, after %v", c.name, method, path, id, a.status, a.sealed, a.ended.Sub(a.sent).Round(time.Millisecond))
	}()
	if c.conn == nil {
		d := net.Dialer{Timeout: time.Second}
		if c.conn, a.err = d.DialContext(ctx, "tcp", c.node); a.err != nil {
			c.conn = nil
			return a
		}
		c.in = bufio.NewReader(c.conn)
	}
	c.rec.printf("%s: sends %s %s %s", c.name, method, path, id)
	_ = c.conn.SetDeadline(time.Now().Add(deadline + time.Second))
	_, a.err = fmt.Fprintf(c.conn, "%s %s HTTP/1.1\r\nHost: %s\r\nX-Briarworks-Attempt-Id: %s\r\nX-Briarworks-Deadline-Ms: %d\r\nContent-Length: 0\r\n\r\n",
		method, path, host, id, deadline.Milliseconds())
	if a.err != nil {
		return a
	}
	resp, err := http.ReadResponse(c.in, &http.Request{Method: method})
	if err != nil {
		a.err = err
		return a
	}
	defer func() { _ = resp.Body.Close() }()
	if _, a.err = io.Copy(io.Discard, resp.Body); a.err != nil {
		return a
	}
	a.status, a.sealed = resp.StatusCode, resp.Header.Get("X-Briarworks-Server-Seal") != ""
	if resp.Close {
		c.close()
	}
	return a
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}
