package front

import (
	"errors"
	"io"

	"briarworks.example/briarworks/pkg/ident"
)

// DefaultBodies bounds the request bodies of outside callers that a node holds at a time. Bodies are read
// before a request is admitted, so without the bound 4096 connections could fill 4 GiB. It has room for
// about twice as many bodies of full size as the largest server has slots.
const DefaultBodies ident.Bytes = 256 << 20

// protectedReserve is the part of the bound that only protected kinds may use, as one in this many.
const protectedReserve = 8

// errBodyMemory reports that the bodies that are held fill their bound.
var errBodyMemory = errors.New("front: too many request bodies are held")

// countedBody is the body of one request while it is read, and counts what was read until done.
type countedBody struct {
	io.ReadCloser
	front     *Front
	protected bool
	counted   int64
}

// Read reads a part of the body; the error is errBodies when there is no room for it. Only bytes that
// arrived count, so that an announced length alone keeps nobody out.
func (in *countedBody) Read(p []byte) (n int, err error) {
	n, err = in.ReadCloser.Read(p)
	in.counted += int64(n)
	if n > 0 && in.front.heldBytes.Add(int64(n)) > in.limit() {
		return n, errBodyMemory
	}
	return n, err
}

func (in *countedBody) limit() int64 {
	limit := int64(in.front.Bodies)
	if limit == 0 {
		limit = int64(DefaultBodies)
	}
	if in.protected {
		return limit
	}
	return limit - limit/protectedReserve
}

// releaseSlot gives the room back when the request has ended.
func (in *countedBody) release() {
	in.front.heldBytes.Add(-in.counted)
	in.counted = 0
}
