package applog

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/url"
	"strconv"
	"syscall"
	"time"

	"github.com/samber/oops"

	"briarworks.example/briarworks/pkg/ident"
)

// Stream names a stream of the log.
type Stream string

// Streams of the product; the at-most-once streams are named by OnceStream.
const (
	Members  Stream = "members"
	Config   Stream = "config"
	Refusals Stream = "refusals"
)

// OnceStream names the stream of one partition of a service's at-most-once keys.
func OnceStream(service ident.Service, partition int) Stream {
	return Stream("once-" + string(service) + "-" + strconv.Itoa(partition))
}

var (
	// ErrNotWritten marks an append that did not take effect and never will.
	ErrNotWritten = errors.New("applog: not written")
	// ErrUnknown marks an append that may have taken effect or may still do so.
	ErrUnknown = errors.New("applog: outcome unknown")
)

// MaxPage is the largest answer to one read that the client accepts, in bytes.
const MaxPage = 64 << 20

// Raw is one append as the log returns it.
type Raw struct {
	Offset   ident.Offset `json:"offset"`
	AtUnixNs int64        `json:"atUnixNs"`
	Data     []byte       `json:"data"`
}

// Page is the answer to one read.
type Page struct {
	First   ident.Offset `json:"first"` // first offset that the log still keeps
	Next    ident.Offset `json:"next"`  // offset of the next append to the stream
	Records []Raw        `json:"records"`
}

type appended struct {
	Offset ident.Offset `json:"offset"`
}

// Client makes single calls to the log at Base, such as "http://127.0.0.1:9000".
type Client struct {
	Base string
	HTTP *http.Client // http.DefaultClient when nil
}

// Append writes data as one record and returns its offset. An error is ErrNotWritten or ErrUnknown.
func (c *Client) Append(ctx context.Context, stream Stream, data []byte) (at ident.Offset, err error) {
	defer func() { err = oops.Wrapf(err, "applog: append to %s", stream) }()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(stream), bytes.NewReader(data))
	if err != nil {
		return 0, errors.Join(ErrNotWritten, err)
	}
	req.Header.Set("Content-Type", "application/octet-stream")
	w, err := c.client().Do(req)
	if err != nil {
		return 0, errors.Join(classify(err), err)
	}
	defer closeBody(w.Body)
	if w.StatusCode != http.StatusOK {
		return 0, errors.Join(classifyStatus(w.StatusCode), fmt.Errorf("status %d", w.StatusCode))
	}
	var a appended
	if err := json.NewDecoder(io.LimitReader(w.Body, 1<<10)).Decode(&a); err != nil {
		return 0, errors.Join(ErrUnknown, err)
	}
	return a.Offset, nil
}

// Read returns at most limit records from the given offset on. With none there, the log waits for
// one for as long as wait. A limit of 0 asks only for the bounds of the stream.
func (c *Client) Read(ctx context.Context, stream Stream, from ident.Offset, limit int, wait time.Duration) (p Page, err error) {
	defer func() { err = oops.Wrapf(err, "applog: read of %s from %d", stream, from) }()
	q := url.Values{}
	q.Set("from", strconv.FormatInt(int64(from), 10))
	q.Set("max", strconv.Itoa(limit))
	q.Set("waitMs", strconv.FormatInt(wait.Milliseconds(), 10))
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, c.url(stream)+"?"+q.Encode(), nil)
	if err != nil {
		return p, err
	}
	w, err := c.client().Do(req)
	if err != nil {
		return p, err
	}
	defer closeBody(w.Body)
	if w.StatusCode != http.StatusOK {
		return p, fmt.Errorf("status %d", w.StatusCode)
	}
	if err := json.NewDecoder(io.LimitReader(w.Body, MaxPage)).Decode(&p); err != nil {
		return Page{}, err
	}
	return p, nil
}

func (c *Client) url(stream Stream) string {
	return c.Base + "/streams/" + url.PathEscape(string(stream)) + "/records"
}

func (c *Client) client() *http.Client {
	if c.HTTP == nil {
		return http.DefaultClient
	}
	return c.HTTP
}

// classify tells a failure that proves that nothing was sent from every other one.
func classify(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return ErrNotWritten
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return ErrNotWritten
	}
	return ErrUnknown
}

// classifyStatus trusts only the statuses by which the log refuses before it writes.
func classifyStatus(status int) error {
	switch {
	case status >= 400 && status < 500 && status != http.StatusRequestTimeout:
		return ErrNotWritten
	case status == http.StatusServiceUnavailable:
		return ErrNotWritten
	}
	return ErrUnknown
}

// closeBody reads a short rest so that the connection can be used again.
func closeBody(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, 4<<10)
	_ = body.Close()
}
