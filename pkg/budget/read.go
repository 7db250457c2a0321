package budget

import (
	"errors"
	"io"

	"briarworks.example/briarworks/pkg/ident"
)

// Errors of ReadAll.
var (
	ErrFull     = errors.New("budget: the memory for messages is used up")
	ErrTooLarge = errors.New("budget: message is over its limit")
)

// firstBuffer is the size of the first buffer of a message whose length is not known.
const firstBuffer ident.Bytes = 4 << 10

// maxFirstBuffer bounds what is allocated on the strength of a stated length alone.
const maxFirstBuffer ident.Bytes = 64 << 10

// ReadAll reads r to its end, at most limit bytes, into memory that h holds. The size is the length that the message states, or
// negative if it states none. The error is ErrFull if the pool has no room, ErrTooLarge if there are more than limit bytes,
// io.ErrUnexpectedEOF if there are fewer than stated, or that of r; the memory is then returned to the pool.
func ReadAll(r io.Reader, size int64, limit ident.Bytes, h *Hold) (b []byte, err error) {
	if size > int64(limit) {
		return nil, ErrTooLarge
	}
	most := limit + 1 // shows that there is more
	if size >= 0 {
		most = ident.Bytes(size)
	}
	capacity := ident.Bytes(0)
	defer func() {
		if err != nil {
			h.Shrink(capacity)
			b = nil
		}
	}()
	for {
		if ident.Bytes(len(b)) == most {
			if size < 0 {
				return b, ErrTooLarge
			}
			return b, nil
		}
		if ident.Bytes(len(b)) == capacity {
			next := min(max(2*capacity, firstCapacity(size)), most)
			if !h.Grow(next) {
				return b, ErrFull
			}
			larger := make([]byte, len(b), next)
			copy(larger, b)
			h.Shrink(capacity)
			b, capacity = larger, next
		}
		n, err := r.Read(b[len(b):cap(b)])
		b = b[:len(b)+n]
		switch {
		case errors.Is(err, io.EOF) && size >= 0 && int64(len(b)) < size:
			return b, io.ErrUnexpectedEOF
		case errors.Is(err, io.EOF):
			return b, nil
		case err != nil:
			return b, err
		}
	}
}

// firstCapacity returns the size of the first buffer for a message with a stated length.
func firstCapacity(size int64) ident.Bytes {
	if size < 0 {
		return firstBuffer
	}
	return min(ident.Bytes(size), maxFirstBuffer)
}
