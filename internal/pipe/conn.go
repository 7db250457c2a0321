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

	"briarworks.example/briarworks/pkg/budget"
	"briarworks.example/briarworks/pkg/ident"
)

// errHeadersTooLarge reports request headers larger than Limits.MaxHeaderBytes.
var errHeadersTooLarge = errors.New("pipe: request headers are too large")

// conn is a connection of a caller.
type conn struct {
	net.Conn
	server    *Server
	reader    *bufio.Reader
	cancel    context.CancelFunc
	readLimit int64        // bytes that may still be read; limits the size of request headers
	headHold  *budget.Hold // memory of the request whose headers are being read; nil otherwise
	exchanges chan *exchange
	handlers  sync.WaitGroup

	left     bool  // the caller has disconnected; used by the goroutine that reads
	writeErr error // of a response that could not be written; used by the goroutine that writes

	mu          sync.Mutex // guards the fields below, and the read deadline
	outstanding int        // exchanges that were read and not yet answered
	closing     bool       // the response to the newest exchange is the last one of the connection
	ended       bool       // no further response is written
}

// exchange is a request and its response.
type exchange struct {
	req        *http.Request
	reply      reply
	done       chan struct{} // closed when the reply is complete; nil if the write loop runs the handler itself
	closeAfter bool          // the connection is closed after this response
	hold       *budget.Hold  // memory of the request and its response; closed when that is written
}

func newConn(s *Server, nc net.Conn, cancel context.CancelFunc) *conn {
	c := &conn{Conn: nc, server: s, cancel: cancel, exchanges: make(chan *exchange, maxPipelined)}
	c.reader = bufio.NewReader(limitedReader{c})
	return c
}

// limitedReader reads from the connection, up to its readLimit.
type limitedReader struct{ c *conn }

// Read returns errHeadersTooLarge once the limit is reached.
func (l limitedReader) Read(p []byte) (n int, err error) {
	if l.c.readLimit <= 0 {
		return 0, errHeadersTooLarge
	}
	n, err = l.c.Conn.Read(p[:min(int64(len(p)), l.c.readLimit)])
	l.c.readLimit -= int64(n)
	if l.c.headHold != nil && !l.c.headHold.Grow(headCopies*ident.Bytes(n)) {
		return n, budget.ErrFull
	}
	return n, err
}

// headCopies is how often the bytes of a request head are in memory: as they are read and as parsed headers.
const headCopies = 2

// readLoop reads requests and passes them on until the last response of the connection is written or the caller
// disconnects, which cancels the requests that run. What arrives behind the last request is discarded.
func (c *conn) readLoop(ctx context.Context) {
	defer close(c.exchanges)
	for {
		limits := c.server.Limits()
		if !c.awaitRequest(limits.IdleTimeout) {
			return
		}
		hold := c.server.Memory.Open()
		req, status := c.readRequest(limits, hold)
		if req == nil && status == 0 {
			hold.Close()
			c.disconnected()
			return
		}
		x := &exchange{closeAfter: status != 0, hold: hold}
		first, ok := c.beginExchange(x.closeAfter || req.Close)
		if !ok {
			hold.Close()
			c.discard()
			return
		}
		if !first || status != 0 {
			x.done = make(chan struct{})
		}
		if status != 0 {
			c.reject(x, status)
			c.exchanges <- x
			c.discard()
			return
		}
		x.req, x.closeAfter = req.WithContext(context.WithValue(ctx, holdKey{}, hold)), req.Close
		if x.done != nil {
			c.handlers.Go(func() { c.handle(x) })
		}
		c.exchanges <- x
		if req.Close {
			c.discard()
			return
		}
	}
}

// awaitRequest waits for the first byte of a request and reports whether one arrived. The idle timeout does not apply
// while requests are in flight.
func (c *conn) awaitRequest(timeout time.Duration) bool {
	c.readLimit = math.MaxInt64
	for {
		c.readUntil(time.Now().Add(timeout))
		_, err := c.reader.Peek(1)
		switch {
		case err == nil:
			return true
		case !errors.Is(err, os.ErrDeadlineExceeded):
			c.disconnected()
			return false
		case c.endIfIdle():
			return false
		}
	}
}

// discard discards what arrives until the last response is written or the caller disconnects.
func (c *conn) discard() {
	c.readLimit = math.MaxInt64
	for c.readUntil(time.Time{}) {
		if _, err := io.Copy(io.Discard, c.reader); !errors.Is(err, os.ErrDeadlineExceeded) {
			c.disconnected()
			return
		}
	}
}

// disconnected records that the caller has disconnected, and cancels its requests.
func (c *conn) disconnected() {
	c.left = true
	c.cancel()
}

// readUntil sets the deadline for reads; the zero time is none. Once no further response is written it returns false, and
// reads end at once.
func (c *conn) readUntil(deadline time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.ended {
		deadline = past
	}
	_ = c.SetReadDeadline(deadline)
	return !c.ended
}

// past is a deadline that ends a read at once.
var past = time.Unix(1, 0)

// readRequest reads one request with its body. It returns a nil request with a status if the request must be
// rejected, and with status 0 if the caller has disconnected.
func (c *conn) readRequest(limits Limits, hold *budget.Hold) (req *http.Request, status int) {
	c.readUntil(time.Now().Add(limits.HeaderTimeout))
	buffered := c.reader.Buffered()
	if !hold.Grow(headCopies * ident.Bytes(buffered)) {
		return nil, http.StatusServiceUnavailable
	}
	c.readLimit, c.headHold = int64(limits.MaxHeaderBytes)-int64(buffered), hold
	req, err := http.ReadRequest(c.reader)
	c.readLimit, c.headHold = math.MaxInt64, nil
	switch {
	case err == nil:
	case errors.Is(err, budget.ErrFull):
		return nil, http.StatusServiceUnavailable
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
	return c.readBody(req, limits, hold)
}

func isConnError(err error) bool {
	var op *net.OpError
	return errors.As(err, &op) && !op.Timeout()
}

// readBody buffers the whole body in memory that hold has, so that a handler only runs for a complete request.
func (c *conn) readBody(req *http.Request, limits Limits, hold *budget.Hold) (*http.Request, int) {
	if req.ContentLength > int64(limits.MaxBodyBytes) {
		return nil, http.StatusRequestEntityTooLarge
	}
	if strings.EqualFold(req.Header.Get("Expect"), "100-continue") && c.idle() {
		if _, err := io.WriteString(c.Conn, "HTTP/1.1 100 Continue\r\n\r\n"); err != nil {
			return nil, 0
		}
	}
	c.readUntil(time.Now().Add(bodyTimeout))
	b, err := budget.ReadAll(req.Body, req.ContentLength, limits.MaxBodyBytes, hold)
	switch {
	case errors.Is(err, os.ErrDeadlineExceeded):
		return nil, http.StatusRequestTimeout
	case errors.Is(err, budget.ErrTooLarge):
		return nil, http.StatusRequestEntityTooLarge
	case errors.Is(err, budget.ErrFull):
		return nil, http.StatusServiceUnavailable
	case errors.Is(err, io.ErrUnexpectedEOF), errors.Is(err, io.EOF), isConnError(err):
		return nil, 0
	case err != nil:
		return nil, http.StatusBadRequest
	}
	req.Body = &bufferedBody{Reader: bytes.NewReader(b), data: b}
	req.ContentLength = int64(len(b))
	return req, 0
}

// holdKey is the key of a request's Hold in its context.
type holdKey struct{}

// Hold returns the memory of a request received by a Server and of its response, or nil if the Server has no limit.
func Hold(r *http.Request) *budget.Hold {
	h, _ := r.Context().Value(holdKey{}).(*budget.Hold)
	return h
}

// bufferedBody is a request body that is buffered in memory.
type bufferedBody struct {
	*bytes.Reader
	data []byte
}

// Close does nothing.
func (*bufferedBody) Close() error { return nil }

// Body returns the whole body of a request received by a Server, or nil for other requests and empty bodies. The
// caller must not modify it.
func Body(r *http.Request) []byte {
	if w, ok := r.Body.(*bufferedBody); ok {
		return w.data
	}
	return nil
}

// idle reports whether no response is outstanding.
func (c *conn) idle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.outstanding == 0
}

// beginExchange counts a new exchange and reports whether it is the only outstanding one. It returns false if the
// connection is closed after an earlier response.
func (c *conn) beginExchange(closing bool) (first, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.closing {
		return false, false
	}
	c.closing = closing
	c.outstanding++
	return c.outstanding == 1, true
}

// closesAfter reports whether the connection is closed after the response to x. While the server drains, that is the
// response to the last request read so far.
func (c *conn) closesAfter(x *exchange) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.outstanding == 1 && c.server.draining.Load() {
		c.closing = true
	}
	return x.closeAfter || c.outstanding == 1 && c.closing
}

// endIfIdle ends a connection without outstanding requests, and reports whether it has ended.
func (c *conn) endIfIdle() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.outstanding == 0 && !c.ended {
		c.closing = true
		c.end()
	}
	return c.ended
}

// end records that no further response is written, and makes the read loop return. The caller holds mu.
func (c *conn) end() {
	c.ended = true
	_ = c.SetReadDeadline(past)
}

// reject completes an exchange whose request could not be read in full, with the given status.
func (c *conn) reject(x *exchange, status int) {
	if c.server.OnRefused != nil {
		c.server.OnRefused(c.RemoteAddr().String(), status)
	}
	x.reply.status = status
	close(x.done)
}

// handle runs the handler for one exchange.
func (c *conn) handle(x *exchange) {
	if x.done != nil {
		defer close(x.done)
	}
	defer c.server.Guard.Recover("caller", func() {
		// The handler may have run the request, so the answer promises nothing.
		x.reply = reply{status: http.StatusBadGateway}
	})
	c.server.Handler.ServeHTTP(&x.reply, x.req)
}

// writeLoop writes the responses in the order of the requests. It runs the handler of a request that was read while no
// other was outstanding, which saves a goroutine for each request; the handlers of requests read behind one run beside it.
func (c *conn) writeLoop() {
	var buf bytes.Buffer // heads of responses, with short bodies
	for x := range c.exchanges {
		if x.done == nil {
			c.handle(x)
		} else {
			<-x.done
		}
		last := c.closesAfter(x)
		if c.writeErr == nil {
			buf.Reset()
			body := x.reply.encode(&buf, x.req, last)
			_ = c.SetWriteDeadline(time.Now().Add(writeTimeout))
			if c.writeErr = c.write(buf.Bytes(), body); c.writeErr != nil {
				c.cancel()
			}
		}
		x.hold.Close()
		c.endExchange(last || c.writeErr != nil)
	}
}

// endExchange counts an answered exchange, which may be the last one of the connection.
func (c *conn) endExchange(last bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.outstanding--
	if last {
		c.closing = true
		c.end()
	}
}

// write writes the head and the body of a response; the body may be nil.
func (c *conn) write(head, body []byte) (err error) {
	if len(body) == 0 {
		_, err = c.Conn.Write(head)
		return err
	}
	_, err = (&net.Buffers{head, body}).WriteTo(c.Conn)
	return err
}
