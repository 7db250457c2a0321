package wire

import (
	"bufio"
	"encoding/binary"
	"io"
	"sync"

	"github.com/samber/oops"
	"google.golang.org/protobuf/encoding/protodelim"
	"google.golang.org/protobuf/proto"

	"briarworks.example/briarworks/internal/wire/wirepb"
	"briarworks.example/briarworks/pkg/ident"
)

// Version is a version of the protocol between nodes.
type Version uint32

// Versions. Hello carries Protocol, and nodes that differ in it refuse each other. It also carries the
// newest version that its sender speaks: a session uses the lower one of its two nodes, so that nodes of
// both work together while a fleet is upgraded.
const (
	Protocol    Version = 1 // each call has a stream of its own
	KeptStreams Version = 2 // a stream carries one call after the other
	Newest              = KeptStreams
)

// MaxFrame bounds one message on a stream; it leaves room for a whole answer and its headers.
const MaxFrame ident.Bytes = 8 << 20

// Write sends one message as a frame.
func Write[M proto.Message](w io.Writer, m M) (err error) {
	defer func() { err = oops.Wrapf(err, "wire: write frame") }()
	// The length and the message leave in one call of Write, since each one is a frame of yamux.
	size := proto.Size(m)
	frame := make([]byte, 0, binary.MaxVarintLen64+size)
	frame = binary.AppendUvarint(frame, uint64(size))
	if frame, err = (proto.MarshalOptions{UseCachedSize: true}).MarshalAppend(frame, m); err != nil {
		return err
	}
	_, err = w.Write(frame)
	return err
}

// Read receives one frame into m; a frame over MaxFrame or one that does not decode is an error.
func Read[M proto.Message](r *bufio.Reader, m M) (err error) {
	defer func() { err = oops.Wrapf(err, "wire: read frame") }()
	opts := protodelim.UnmarshalOptions{MaxSize: int64(MaxFrame)}
	return opts.UnmarshalFrom(r, m)
}

// Exchange sends a request on a stream and reads the reply.
func Exchange(rw io.ReadWriter, req *wirepb.Envelope) (reply *wirepb.Envelope, err error) {
	if err = Write(rw, req); err != nil {
		return nil, err
	}
	r := NewReader(rw)
	defer FreeReader(r)
	reply = &wirepb.Envelope{}
	if err = Read(r, reply); err != nil {
		return nil, err
	}
	return reply, nil
}

// readers keeps the buffers of readers, since each stream needs one for a short time.
var readers = sync.Pool{New: func() any { return bufio.NewReader(nil) }}

// NewReader returns a reader of frames; FreeReader takes it back.
func NewReader(r io.Reader) *bufio.Reader {
	b := readers.Get().(*bufio.Reader)
	b.Reset(r)
	return b
}

// FreeReader takes back a reader that nobody uses any more.
func FreeReader(b *bufio.Reader) {
	b.Reset(nil)
	readers.Put(b)
}
