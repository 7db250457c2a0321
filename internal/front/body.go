package front

import (
	"errors"
	"io"

	"briarworks.example/briarworks/pkg/ident"
)

// DefaultMaxBodyMemory is the default limit in bytes on the buffered request bodies of outside callers. Bodies are read
// before admission, so that without a limit 4096 connections could take 4 GiB. The limit is about twice the memory
// for one body of maximum size in each slot of the largest server.
const DefaultMaxBodyMemory ident.Bytes = 256 << 20

// 1/protectedReserve of the limit is reserved for protected kinds.
const protectedReserve = 8

// errBodyMemory reports that the buffered bodies have reached their limit.
var errBodyMemory = errors.New("front: buffered request bodies exceed their limit")

// countedBody is a request body that adds the bytes read from it to Front.heldBytes until it is released.
type countedBody struct {
	io.ReadCloser
	front     *Front
	protected bool
	counted   int64
}

// Read reads from the body and returns errBodyMemory if the limit is exceeded. Only received bytes count, so that a
// large Content-Length alone cannot exclude other requests.
func (in *countedBody) Read(p []byte) (n int, err error) {
	n, err = in.ReadCloser.Read(p)
	in.counted += int64(n)
	if n > 0 && in.front.heldBytes.Add(int64(n)) > in.limit() {
		return n, errBodyMemory
	}
	return n, err
}

func (in *countedBody) limit() int64 {
	limit := int64(in.front.MaxBodyMemory)
	if limit == 0 {
		limit = int64(DefaultMaxBodyMemory)
	}
	if in.protected {
		return limit
	}
	return limit - limit/protectedReserve
}

// release subtracts the counted bytes when the request has ended.
func (in *countedBody) release() {
	in.front.heldBytes.Add(-in.counted)
	in.counted = 0
}
