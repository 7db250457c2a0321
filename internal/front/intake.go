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

// reservedBodies is the part of the bound that only protected kinds may use, as one in this many.
const reservedBodies = 8

// errBodies reports that the bodies that are held fill their bound.
var errBodies = errors.New("front: too many request bodies are held")

// intake is the body of one request while it is read, and counts what was read until done.
type intake struct {
	io.ReadCloser
	front     *Front
	protected bool
	took      int64
}

// Read reads a part of the body; the error is errBodies when there is no room for it. Only bytes that
// arrived count, so that an announced length alone keeps nobody out.
func (in *intake) Read(p []byte) (n int, err error) {
	n, err = in.ReadCloser.Read(p)
	in.took += int64(n)
	if n > 0 && in.front.held.Add(int64(n)) > in.room() {
		return n, errBodies
	}
	return n, err
}

func (in *intake) room() int64 {
	bound := int64(in.front.Bodies)
	if bound == 0 {
		bound = int64(DefaultBodies)
	}
	if in.protected {
		return bound
	}
	return bound - bound/reservedBodies
}

// done gives the room back when the request has ended.
func (in *intake) done() {
	in.front.held.Add(-in.took)
	in.took = 0
}
