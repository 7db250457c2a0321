package main

import (
	"bufio"
	"fmt"
	"io"
	"math/rand/v2"
	"net"
	"net/http"
	"syscall"
	"time"
)

// Names on the wire.
const (
	headerAttempt  = "X-Briarworks-Attempt-Id"
	headerDeadline = "X-Briarworks-Deadline-Ms"
	headerExpected = "X-Briarworks-Expected-Instance"
	headerInstance = "X-Briarworks-Instance-Id"
	headerLoad     = "X-Briarworks-Server-Load"
	headerNotRun   = "X-Briarworks-Not-Executed"
	headerSeal     = "X-Briarworks-Server-Seal"

	healthPath = "/health"
	host       = "hulo84.example" // of all routes
)

// request is one client attempt.
type request struct {
	id, method, path string
	deadline         time.Duration
	sent             time.Time
}

func newRequest(method, path string, deadline time.Duration) *request {
	return &request{id: fmt.Sprintf("%016x", rand.Uint64()), method: method, path: path, deadline: deadline}
}

// text returns the request as it is sent.
func (r *request) text() string {
	length := ""
	if r.method == http.MethodPost {
		length = "Content-Length: 0\r\n"
	}
	return fmt.Sprintf("%s %s HTTP/1.1\r\nHost: %s\r\n%s: %s\r\n%s: %d\r\n%s\r\n",
		r.method, r.path, host, headerAttempt, r.id, headerDeadline, r.deadline.Milliseconds(), length)
}

// answer is what a client gets for a request.
type answer struct {
	status, size int
	err          error // the answer is missing or ends early
}

// client is a client with one connection.
type client struct {
	net.Conn
	r    *bufio.Reader
	rec  *record
	slow bool // reads slowly
}

// dial connects a client. The size of its receive buffer is that of the system if buffer is 0.
func dial(rec *record, addr string, buffer int) (*client, error) {
	d := net.Dialer{Timeout: time.Second}
	if buffer > 0 {
		d.Control = func(_, _ string, raw syscall.RawConn) (err error) {
			if e := raw.Control(func(fd uintptr) {
				err = syscall.SetsockoptInt(int(fd), syscall.SOL_SOCKET, syscall.SO_RCVBUF, buffer)
			}); e != nil {
				return e
			}
			return err
		}
	}
	nc, err := d.Dial("tcp", addr)
	if err != nil {
		return nil, err
	}
	c := &client{Conn: nc, rec: rec}
	c.r = bufio.NewReader(c)
	return c, nil
}

// A slow client reads slowRead bytes every slowInterval.
const (
	slowRead     = 1024
	slowInterval = 20 * time.Millisecond
)

// Read reads from the connection.
func (c *client) Read(p []byte) (int, error) {
	if c.slow {
		time.Sleep(slowInterval)
		p = p[:min(len(p), slowRead)]
	}
	return c.Conn.Read(p)
}

// send sends a request and does not wait for its answer.
func (c *client) send(r *request) error {
	r.sent = time.Now()
	c.rec.printf("client sends %s: %s %s, deadline %d", r.id, r.method, r.path, r.deadline.Milliseconds())
	_, err := io.WriteString(c.Conn, r.text())
	return err
}

// answerWait is the time after a deadline at which a client stops waiting.
const answerWait = 2 * time.Second

// receive reads the answer to the oldest request without one.
func (c *client) receive(r *request) (a answer) {
	_ = c.SetReadDeadline(r.sent.Add(r.deadline + answerWait))
	resp, err := http.ReadResponse(c.r, &http.Request{Method: r.method})
	if err == nil {
		var body []byte
		body, err = io.ReadAll(resp.Body)
		a.status, a.size = resp.StatusCode, len(body)
	}
	a.err = err
	c.rec.printf("client gets for %s: status %d, %d bytes, error %v, after %.3f s", r.id, a.status, a.size, err, time.Since(r.sent).Seconds())
	return a
}

// ask sends one request on a connection of its own and returns the answer.
func ask(rec *record, addr string, r *request) (a answer) {
	c, err := dial(rec, addr, 0)
	if err != nil {
		return answer{err: err}
	}
	defer func() { _ = c.Close() }()
	if err := c.send(r); err != nil {
		return answer{err: err}
	}
	return c.receive(r)
}
