package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
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
	body []byte        // of each request
	pace time.Duration // in which the body is sent
}

// answer is what a client has seen of a request.
type answer struct {
	sent   time.Time
	ended  time.Time
	status int  // 0 if the connection ended without a complete answer
	kept   bool // the connection had carried a request before
	sealed bool
	err    error
}

// send sends one request on the client's connection and reads its answer. It opens a connection if there is none.
func (c *client) send(ctx context.Context, method, path, id string, deadline time.Duration) (a answer) {
	a.sent, a.kept = time.Now(), c.conn != nil
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
	head := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\nX-Briarworks-Attempt-Id: %s\r\nX-Briarworks-Deadline-Ms: %d\r\nContent-Length: %d\r\n\r\n",
		method, path, host, id, deadline.Milliseconds(), len(c.body))
	if a.err = c.write(ctx, []byte(head)); a.err != nil {
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

// bodyChunks is the number of pieces in which a paced body is sent.
const bodyChunks = 100

// write sends the head and the body of a request.
func (c *client) write(ctx context.Context, head []byte) error {
	if _, err := c.conn.Write(head); err != nil || len(c.body) == 0 {
		return err
	}
	start := time.Now()
	for i := range bodyChunks {
		if _, err := c.conn.Write(c.body[len(c.body)*i/bodyChunks : len(c.body)*(i+1)/bodyChunks]); err != nil {
			return err
		}
		if err := sleepUntil(ctx, start.Add(c.pace*time.Duration(i+1)/bodyChunks)); err != nil {
			return err
		}
	}
	return nil
}

// repeat sends requests one after the other, with a pause between them, until ctx ends. It returns the answers by the ids of
// the requests.
func (c *client) repeat(ctx context.Context, method, path string, pause, deadline time.Duration) map[string]answer {
	answers := make(map[string]answer)
	defer c.close()
	for i := 0; sleep(ctx, pause) == nil; i++ {
		id := fmt.Sprintf("%s-%d", strings.ReplaceAll(c.name, " ", "-"), i)
		answers[id] = c.send(context.WithoutCancel(ctx), method, path, id, deadline)
	}
	return answers
}

func (c *client) close() {
	if c.conn != nil {
		_ = c.conn.Close()
	}
	c.conn = nil
}
