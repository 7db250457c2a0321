package pipe

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"io"
	"math"
	"net"
	"net/http"
	"os"
	"strings"
	"sync"
	"time"
)

// errHeader reports headers over the limit.
var errHeader = errors.New("pipe: headers are too large")

// conn is one connection of a caller.
type conn struct {
	net.Conn
	s       *Server
	r       *bufio.Reader
	cancel  context.CancelFunc
	left    int64 // bytes that may still be read; bounds the headers of a request
	queue   chan *exchange
	running sync.WaitGroup

	mu          sync.Mutex // guards the fields below
	outstanding int        // exchanges that were read and not answered
	last        bool       // the connection ends with the answer to the newest exchange
}

// exchange is one request and its answer.
type exchange struct {
	req   *http.Request
	reply reply
	done  chan struct{} // closed when the reply is complete
	close bool          // the connection ends with this answer
	held  int64         // bytes of the body
}

func newConn(s *Server, nc net.Conn, cancel context.CancelFunc) *conn {
	c := &conn{Conn: nc, s: s, cancel: cancel, queue: make(chan *exchange, maxAhead)}
	c.r = bufio.NewReader(limited{c})
	return c
}

// limited reads from the connection within the bound on headers.
type limited struct{ c *conn }

// Read reads a part of a request.
func (l limited) Read(p []byte) (n int, err error) {
	if l.c.left <= 0 {
		return 0, errHeader
	}
	n, err = l.c.Conn.Read(p[:min(int64(len(p)), l.c.left)])
	l.c.left -= int64(n)
	return n, err
}

// read takes requests until the caller has closed the connection, has sent what is no request, or the last
// answer is decided. It cancels what runs when the caller has left.
func (c *conn) read(ctx context.Context) {
	defer close(c.queue)
	for {
		lim := c.s.Limits()
		if !c.await(lim.Idle) {
			return
		}
		req, status := c.request(lim)
		if req == nil && status == 0 {
			c.cancel()
			return
		}
		x := &exchange{done: make(chan struct{}), close: status != 0}
		if !c.begin(x.close || req.Close) {
			return
		}
		if status != 0 {
			c.refuse(x, status)
			c.queue <- x
			_ = c.SetReadDeadline(time.Now().Add(lingerLimit))
			if _, err := io.Copy(io.Discard, c.r); err == nil {
				c.cancel() // the caller has left; what was no request may be the beginning of one
			}
			return
		}
		x.req, x.close = req.WithContext(ctx), req.Close
		x.held = int64(bodyLen(req))
		c.running.Add(1)
		go c.handle(x)
		c.queue <- x
		if req.Close {
			c.watch()
			return
		}
	}
}

// await waits for the first byte of a request and reports whether there is one. A connection with requests
// in flight is not idle.
func (c *conn) await(idle time.Duration) bool {
	for {
		c.left = math.MaxInt64
		if c.ended() {
			idle = lingerLimit
		}
		_ = c.SetReadDeadline(time.Now().Add(idle))
		_, err := c.r.Peek(1)
		switch {
		case err == nil:
			return true
		case !errors.Is(err, os.ErrDeadlineExceeded):
			c.cancel()
			return false
		}
		c.mu.Lock()
		idleNow, last := c.outstanding == 0, c.last
		if idleNow {
			c.last = true
		}
		c.mu.Unlock()
		if idleNow || last {
			return false
		}
	}
}

// watch waits for the end of a connection whose last request was read, so that a caller that leaves is seen.
func (c *conn) watch() {
	c.left = math.MaxInt64
	_ = c.SetReadDeadline(time.Time{})
	if _, err := io.Copy(io.Discard, c.r); err != nil || !c.ended() {
		c.cancel()
	}
}

func (c *conn) ended() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.last && c.outstanding == 0
}

// request reads one request with its body. It returns a status for one that has to be refused, and neither
// when the caller has left.
func (c *conn) request(lim Limits) (req *http.Request, status int) {
	_ = c.SetReadDeadline(time.Now().Add(lim.HeaderTime))
	c.left = int64(lim.Header) - int64(c.r.Buffered())
	req, err := http.ReadRequest(c.r)
	c.left = math.MaxInt64
	switch {
	case err == nil:
	case errors.Is(err, errHeader):
		return nil, http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, http.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), isReset(err):
		return nil, 0
	default:
		return nil, http.StatusBadRequest
	}
	req.RemoteAddr = c.RemoteAddr().String()
	if req.ContentLength == 0 && len(req.TransferEncoding) == 0 {
		req.Body = http.NoBody
		return req, 0
	}
	return c.body(req, lim)
}

func isReset(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && !op.Timeout()
}

// body reads the whole body, so that a request is run only when it has arrived in full.
func (c *conn) body(req *http.Request, lim Limits) (*http.Request, int) {
	if req.ContentLength > int64(lim.Body) {
		return nil, http.StatusRequestEntityTooLarge
	}
	if strings.EqualFold(req.Header.Get("Expect"), "100-continue") && c.quiet() {
		if _, err := io.WriteString(c.Conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, 0
		}
	}
	_ = c.SetReadDeadline(time.Now().Add(bodyTime))
	var b bytes.Buffer
	if req.ContentLength > 0 {
		b.Grow(int(min(req.ContentLength, maxGrow)))
	}
	n, err := b.ReadFrom(io.LimitReader(req.Body, int64(lim.Body)+1))
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, http.StatusRequestTimeout
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF), isReset(err):
		return nil, 0
	case err != nil:
		return nil, http.StatusBadRequest
	case n > int64(lim.Body):
		return nil, http.StatusRequestEntityTooLarge
	}
	if c.s.held.Add(n) > int64(lim.Bodies) {
		c.s.held.Add(-n)
		return nil, http.StatusServiceUnavailable
	}
	req.Body = &whole{Reader: bytes.NewReader(b.Bytes()), data: b.Bytes()}
	req.ContentLength = n
	return req, 0
}

// maxGrow bounds the memory that an announced length alone takes.
const maxGrow = 64 << 10

// whole is a body that was read in full.
type whole struct {
	*bytes.Reader
	data []byte
}

// Close does nothing.
func (*whole) Close() error { return nil }

// Body returns the whole body of a request that a Server read; the slice must not be changed.
func Body(r *http.Request) []byte {
	if w, ok := r.Body.(*whole); ok {
		return w.data
	}
	return nil
}

func bodyLen(r *http.Request) int { return len(Body(r)) }

// quiet reports whether no answer is outstanding.
func (c *conn) quiet() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outstanding == 0
}

// begin counts an exchange, and reports false when the answer before it ends the connection.
func (c *conn) begin(last bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.last {
		return false
	}
	c.last = last
	c.outstanding++
	return true
}

// ends reports whether the connection ends with the answer to x. While the server drains, that is the
// answer behind which no request was read.
func (c *conn) ends(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.outstanding == 1 && c.s.drain.Load() {
		c.last = true
	}
	return x.close || c.outstanding == 1 && c.last
}

// stopIdle ends a connection on which no request is outstanding.
func (c *conn) stopIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.outstanding == 0 {
		c.last = true
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
}

// refuse answers a request that was not read, or not in full.
func (c *conn) refuse(x *exchange, status int) {
	if c.s.Refused != nil {
		c.s.Refused(c.RemoteAddr().String(), status)
	}
	x.reply.code = status
	close(x.done)
}

// handle runs the handler of one exchange.
func (c *conn) handle(x *exchange) {
	defer c.running.Done()
	defer close(x.done)
	c.s.Handler.ServeHTTP(&x.reply, x.req)
	c.s.held.Add(-x.held)
}

// write sends the answers in the order of the requests.
func (c *conn) write() {
	var buf bytes.Buffer
	broken := false
	for x := range c.queue {
		<-x.done
		end := c.ends(x)
		if !broken {
			buf.Reset()
			x.reply.encode(&buf, x.req, end)
			_ = c.SetWriteDeadline(time.Now().Add(writeLimit))
			if _, err := c.Conn.Write(buf.Bytes()); err != nil {
				broken = true
				c.cancel()
			}
		}
		c.mu.Lock()
		c.outstanding--
		c.mu.Unlock()
		if end || broken {
			c.finish()
		}
	}
}

// finish ends the sending side and lets the reader end. What the caller still sends is read for a moment,
// since unread bytes would reset the connection and with it the answer.
func (c *conn) finish() {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = c.SetReadDeadline(time.Now().Add(lingerLimit))
}
