package wire

import (
	"bufio"
	"encoding/binary"
	"io"
	"sync"

	"github.com/samber/oops"

	"briarworks.example/briarworks/internal/wire/wirepb"
	"briarworks.example/briarworks/pkg/budget"
	"briarworks.example/briarworks/pkg/ident"
)

// Version is a version number of the protocol between nodes.
type Version uint32

// Protocol versions. Hello carries BaseVersion, and nodes that differ in it refuse each other. Hello also carries the
// newest version that its sender supports. A session uses the lower of the newest versions of its two nodes, so
// that nodes of both versions work together during an upgrade.
const (
	BaseVersion        Version = 1                  // base version: each call has its own stream
	StreamReuseVersion Version = 2                  // a stream can carry several calls in turn
	NewestVersion              = StreamReuseVersion // newest version that this build supports
)

// MaxFrame is the largest size of a message on a stream. It has room for a whole answer with its headers.
const MaxFrame ident.Bytes = 8 << 20

// message is a message with generated methods for its encoding, which are several times faster than reflection.
type message interface {
	SizeVT() int
	MarshalToSizedBufferVT(b []byte) (int, error)
	UnmarshalVTUnsafe(b []byte) error
}

// StreamWindow is the number of bytes that a peer may send on a stream before they are read, and that are buffered then.
const StreamWindow ident.Bytes = 256 << 10

// Write encodes m as one frame in memory that h holds meanwhile, and writes it to w. It returns budget.ErrFull if the memory is
// used up, before it writes anything, and errors of the encoding and of w.
func Write[M message](w io.Writer, m M, h *budget.Hold) (err error) {
	defer func() { err = oops.Wrapf(err, "wire: write frame") }()
	// The length and the message are written in one call, since yamux makes a frame of each call of Write.
	size := m.SizeVT()
	held := ident.Bytes(binary.MaxVarintLen64 + size)
	if !h.Grow(held) {
		return budget.ErrFull
	}
	defer h.Shrink(held)
	frame := make([]byte, 0, binary.MaxVarintLen64+size)
	frame = binary.AppendUvarint(frame, uint64(size))
	head := len(frame)
	frame = frame[:head+size]
	if _, err = m.MarshalToSizedBufferVT(frame[head:]); err != nil {
		return err
	}
	_, err = w.Write(frame)
	return err
}

// errFrameTooLarge reports a frame that is larger than MaxFrame.
var errFrameTooLarge = oops.Errorf("wire: frame is larger than %d bytes", MaxFrame)

// Read reads one frame from r into m, whose strings and bytes share the memory of the frame, which h holds together with what
// the stream buffers of it. It fails with io.EOF if r has ended, with budget.ErrFull if the memory is used up, and with another
// error if the frame is larger than MaxFrame or does not decode.
func Read[M message](r *bufio.Reader, m M, h *budget.Hold) (err error) {
	defer func() { err = oops.Wrapf(err, "wire: read frame") }()
	size, err := binary.ReadUvarint(r)
	if err != nil {
		return err
	}
	if size > uint64(MaxFrame) {
		return errFrameTooLarge
	}
	buffered := min(ident.Bytes(size), StreamWindow)
	if !h.Grow(buffered) {
		return budget.ErrFull
	}
	defer h.Shrink(buffered)
	frame, err := budget.ReadAll(r, int64(size), MaxFrame, h)
	if err != nil {
		return err
	}
	return m.UnmarshalVTUnsafe(frame)
}

// Exchange sends a request on a stream and returns the reply, in memory that h holds. It returns errors of the stream, of the
// memory and of the decoding.
func Exchange(rw io.ReadWriter, req *wirepb.Envelope, h *budget.Hold) (reply *wirepb.Envelope, err error) {
	if err = Write(rw, req, h); err != nil {
		return nil, err
	}
	r := NewReader(rw)
	defer FreeReader(r)
	reply = &wirepb.Envelope{}
	if err = Read(r, reply, h); err != nil {
		return nil, err
	}
	return reply, nil
}

// readerPool reuses the buffers of readers, since each stream needs one only briefly.
var readerPool = sync.Pool{New: func() any { return bufio.NewReader(nil) }}

// NewReader returns a pooled buffered reader of r. FreeReader returns it to the pool.
func NewReader(r io.Reader) *bufio.Reader {
	b := readerPool.Get().(*bufio.Reader)
	b.Reset(r)
	return b
}

// FreeReader returns b to the pool. The caller must not use b afterwards.
func FreeReader(b *bufio.Reader) {
	b.Reset(nil)
	readerPool.Put(b)
}
