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

// errHeadersTooLarge reports headers over the limit.
var errHeadersTooLarge = errors.New("pipe: headers are too large")

// conn is one connection of a caller.
type conn struct {
	net.Conn
	server    *Server
	reader    *bufio.Reader
	cancel    context.CancelFunc
	readLimit int64 // bytes that may still be read; bounds the headers of a request
	exchanges chan *exchange
	handlers  sync.WaitGroup

	mu          sync.Mutex // guards the fields below
	outstanding int        // exchanges that were read and not answered
	closing     bool       // the connection ends with the answer to the newest exchange
}

// exchange is one request and its answer.
type exchange struct {
	req        *http.Request
	reply      reply
	done       chan struct{} // closed when the reply is complete
	closeAfter bool          // the connection ends with this answer
	bodySize   int64         // bytes of the body
}

func newConn(s *Server, nc net.Conn, cancel context.CancelFunc) *conn {
	c := &conn{Conn: nc, server: s, cancel: cancel, exchanges: make(chan *exchange, maxPipelined)}
	c.reader = bufio.NewReader(limitedReader{c})
	return c
}

// limitedReader reads from the connection within the bound on headers.
type limitedReader struct{ c *conn }

// Read reads a part of a request.
func (l limitedReader) Read(p []byte) (n int, err error) {
	if l.c.readLimit <= 0 {
		return 0, errHeadersTooLarge
	}
	n, err = l.c.Conn.Read(p[:min(int64(len(p)), l.c.readLimit)])
	l.c.readLimit -= int64(n)
	return n, err
}

// readLoop takes requests until the caller has closed the connection, has sent what is no request, or the last
// answer is decided. It cancels what runs when the caller has left.
func (c *conn) readLoop(ctx context.Context) {
	defer close(c.exchanges)
	for {
		limits := c.server.Limits()
		if !c.awaitRequest(limits.Idle) {
			return
		}
		req, status := c.readRequest(limits)
		if req == nil && status == 0 {
			c.cancel()
			return
		}
		x := &exchange{done: make(chan struct{}), closeAfter: status != 0}
		if !c.beginExchange(x.closeAfter || req.Close) {
			return
		}
		if status != 0 {
			c.reject(x, status)
			c.exchanges <- x
			_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
			if _, err := io.Copy(io.Discard, c.reader); err == nil {
				c.cancel() // the caller has left; what was no request may be the beginning of one
			}
			return
		}
		x.req, x.closeAfter = req.WithContext(ctx), req.Close
		x.bodySize = int64(bodyLen(req))
		c.handlers.Add(1)
		go c.handle(x)
		c.exchanges <- x
		if req.Close {
			c.awaitClose()
			return
		}
	}
}

// awaitRequest waits for the first byte of a request and reports whether there is one. A connection with requests
// in flight is not idle.
func (c *conn) awaitRequest(timeout time.Duration) bool {
	for {
		c.readLimit = math.MaxInt64
		if c.done() {
			timeout = lingerTimeout
		}
		_ = c.SetReadDeadline(time.Now().Add(timeout))
		_, err := c.reader.Peek(1)
		switch {
		case err == nil:
			return true
		case !errors.Is(err, os.ErrDeadlineExceeded):
			c.cancel()
			return false
		}
		c.mu.Lock()
		idle, closing := c.outstanding == 0, c.closing
		if idle {
			c.closing = true
		}
		c.mu.Unlock()
		if idle || closing {
			return false
		}
	}
}

// awaitClose waits for the end of a connection whose last request was read, so that a caller that leaves is seen.
func (c *conn) awaitClose() {
	c.readLimit = math.MaxInt64
	_ = c.SetReadDeadline(time.Time{})
	if _, err := io.Copy(io.Discard, c.reader); err != nil || !c.done() {
		c.cancel()
	}
}

func (c *conn) done() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.closing && c.outstanding == 0
}

// readRequest reads one request with its body. It returns a status for one that has to be refused, and neither
// when the caller has left.
func (c *conn) readRequest(limits Limits) (req *http.Request, status int) {
	_ = c.SetReadDeadline(time.Now().Add(limits.HeaderTime))
	c.readLimit = int64(limits.Header) - int64(c.reader.Buffered())
	req, err := http.ReadRequest(c.reader)
	c.readLimit = math.MaxInt64
	switch {
	case err == nil:
	case errors.Is(err, errHeadersTooLarge):
		return nil, http.StatusRequestHeaderFieldsTooLarge
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, http.StatusRequestTimeout
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF), isConnError(err):
		return nil, 0
	default:
		return nil, http.StatusBadRequest
	}
	req.RemoteAddr = c.RemoteAddr().String()
	if req.ContentLength == 0 && len(req.TransferEncoding) == 0 {
		req.Body = http.NoBody
		return req, 0
	}
	return c.readBody(req, limits)
}

func isConnError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && !op.Timeout()
}

// readBody reads the whole body, so that a request is run only when it has arrived in full.
func (c *conn) readBody(req *http.Request, limits Limits) (*http.Request, int) {
	if req.ContentLength > int64(limits.Body) {
		return nil, http.StatusRequestEntityTooLarge
	}
	if strings.EqualFold(req.Header.Get("Expect"), "100-continue") && c.idle() {
		if _, err := io.WriteString(c.Conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, 0
		}
	}
	_ = c.SetReadDeadline(time.Now().Add(bodyTimeout))
	var b bytes.Buffer
	if req.ContentLength > 0 {
		b.Grow(int(min(req.ContentLength, maxInitialBuffer)))
	}
	n, err := b.ReadFrom(io.LimitReader(req.Body, int64(limits.Body)+1))
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, http.StatusRequestTimeout
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF), isConnError(err):
		return nil, 0
	case err != nil:
		return nil, http.StatusBadRequest
	case n > int64(limits.Body):
		return nil, http.StatusRequestEntityTooLarge
	}
	if c.server.heldBytes.Add(n) > int64(limits.Bodies) {
		c.server.heldBytes.Add(-n)
		return nil, http.StatusServiceUnavailable
	}
	req.Body = &bufferedBody{Reader: bytes.NewReader(b.Bytes()), data: b.Bytes()}
	req.ContentLength = n
	return req, 0
}

// maxInitialBuffer bounds the memory that an announced length alone takes.
const maxInitialBuffer = 64 << 10

// bufferedBody is a body that was read in full.
type bufferedBody struct {
	*bytes.Reader
	data []byte
}

// Close does nothing.
func (*bufferedBody) Close() error { return nil }

// Body returns the whole body of a request that a Server read; the slice must not be changed.
func Body(r *http.Request) []byte {
	if w, ok := r.Body.(*bufferedBody); ok {
		return w.data
	}
	return nil
}

func bodyLen(r *http.Request) int { return len(Body(r)) }

// idle reports whether no answer is outstanding.
func (c *conn) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outstanding == 0
}

// beginExchange counts an exchange, and reports false when the answer before it ends the connection.
func (c *conn) beginExchange(closing bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false
	}
	c.closing = closing
	c.outstanding++
	return true
}

// closesAfter reports whether the connection ends with the answer to x. While the server drains, that is the
// answer behind which no request was read.
func (c *conn) closesAfter(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.outstanding == 1 && c.server.draining.Load() {
		c.closing = true
	}
	return x.closeAfter || c.outstanding == 1 && c.closing
}

// closeIfIdle ends a connection on which no request is outstanding.
func (c *conn) closeIfIdle() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.outstanding == 0 {
		c.closing = true
		_ = c.SetReadDeadline(time.Unix(1, 0))
	}
}

// reject answers a request that was not read, or not in full.
func (c *conn) reject(x *exchange, status int) {
	if c.server.Refused != nil {
		c.server.Refused(c.RemoteAddr().String(), status)
	}
	x.reply.status = status
	close(x.done)
}

// handle runs the handler of one exchange.
func (c *conn) handle(x *exchange) {
	defer c.handlers.Done()
	defer close(x.done)
	c.server.Handler.ServeHTTP(&x.reply, x.req)
	c.server.heldBytes.Add(-x.bodySize)
}

// writeLoop sends the answers in the order of the requests.
func (c *conn) writeLoop() {
	var buf bytes.Buffer
	broken := false
	for x := range c.exchanges {
		<-x.done
		closeAfter := c.closesAfter(x)
		if !broken {
			buf.Reset()
			x.reply.encode(&buf, x.req, closeAfter)
			_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
			if _, err := c.Conn.Write(buf.Bytes()); err != nil {
				broken = true
				c.cancel()
			}
		}
		c.mu.Lock()
		c.outstanding--
		c.mu.Unlock()
		if closeAfter || broken {
			c.closeWrite()
		}
	}
}

// closeWrite ends the sending side and lets the reader end. What the caller still sends is read for a moment,
// since unread bytes would reset the connection and with it the answer.
func (c *conn) closeWrite() {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok {
		_ = half.CloseWrite()
	}
	_ = c.SetReadDeadline(time.Now().Add(lingerTimeout))
}
