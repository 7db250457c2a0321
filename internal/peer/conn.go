package peer

import (
	"encoding/binary"
	"net"
	"time"

	"briarworks.example/briarworks/internal/closer"
)

// trackedConn records the times of reads and writes, from which a silent connection is detected, and combines the
// writes of one message into a single system call.
type trackedConn struct {
	*closer.Conn
	now         func() time.Time
	session     *session
	buffered    []byte // not written yet; used only by the goroutine in which yamux writes
	payloadNext bool   // the next write is the payload of the frame whose header is buffered
}

// Layout of the header of a yamux frame: version, type, flags (2 bytes), stream id (4 bytes), length (4 bytes).
const (
	frameHeaderSize   = 12
	frameData         = 0 // type of a frame that carries a payload
	frameWindowUpdate = 1 // type of a frame that opens a stream, enlarges its window or closes it
	framePing         = 2 // type of a ping and of its answer
	flagSYN           = 1 // low byte of the flags in the first frame of a stream and in a ping
)

// maxCoalescedPayload bounds the payload that is copied into the buffer; a larger one is written without a copy.
const maxCoalescedPayload = 4096

// Write writes p to the connection, or buffers it if it is a header that another write follows at once. Yamux
// writes the header and the payload of a frame separately, and sends a frame that opens the stream before the
// first message on it. Buffering these headers lets a message take one system call.
func (c *trackedConn) Write(p []byte) (n int, err error) {
	ping := !c.payloadNext && len(p) == frameHeaderSize && p[1] == framePing && p[3]&flagSYN != 0
	if c.shouldBuffer(p) {
		c.buffered = append(c.buffered, p...)
		return len(p), nil
	}
	if n, err = c.flush(p); err != nil {
		return n, err
	}
	now := c.now().UnixNano()
	c.session.lastWrite.Store(now)
	if ping {
		c.session.lastPingWrite.Store(now)
	}
	return n, nil
}

// flush writes the buffered bytes and p.
func (c *trackedConn) flush(p []byte) (n int, err error) {
	if len(c.buffered) == 0 {
		return c.Conn.Write(p)
	}
	defer func() { c.buffered = c.buffered[:0] }()
	if len(p) <= maxCoalescedPayload {
		c.buffered = append(c.buffered, p...)
		_, err = c.Conn.Write(c.buffered)
	} else {
		bufs := net.Buffers{c.buffered, p}
		_, err = bufs.WriteTo(c.Conn)
	}
	if err != nil {
		return 0, err
	}
	return len(p), nil
}

// shouldBuffer reports whether p is a header that another write follows at once.
func (c *trackedConn) shouldBuffer(p []byte) bool {
	if c.payloadNext || len(p) != frameHeaderSize {
		c.payloadNext = false
		return false
	}
	c.payloadNext = p[1] == frameData && binary.BigEndian.Uint32(p[8:]) > 0
	return c.payloadNext || (p[1] == frameWindowUpdate && p[3]&flagSYN != 0 && len(c.buffered) <= maxCoalescedPayload)
}

// Close closes the connection at once if its peer is silent, and otherwise once the peer has received what was written.
func (c *trackedConn) Close() error {
	if c.session.silent.Load() {
		return c.Conn.Abort()
	}
	return c.Conn.Close()
}

// Read reads from the connection and records the time if data arrived.
func (c *trackedConn) Read(p []byte) (n int, err error) {
	n, err = c.Conn.Read(p)
	if n > 0 {
		c.session.lastRead.Store(c.now().UnixNano())
	}
	return n, err
}
