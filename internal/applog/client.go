package applog

import (
	"bytes"
	"context"
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

	"briarworks.example/briarworks/internal/http1"
	"briarworks.example/briarworks/pkg/ident"
)

// Stream is the name of a stream in the log.
type Stream string

// Streams shared by the fleet; OnceStream names those of at-most-once requests.
const (
	Members  Stream = "members"  // membership of the fleet
	Config   Stream = "config"   // published configurations
	Refusals Stream = "refusals" // refused requests
)

// OnceStream returns the name of the stream for one partition of a service's at-most-once keys.
func OnceStream(service ident.Service, partition int) Stream {
	return Stream("once-" + string(service) + "-" + strconv.Itoa(partition))
}

var (
	// ErrNotWritten means that the append did not take effect and never will.
	ErrNotWritten = errors.New("applog: not written")
	// ErrUnknown means that the append may have taken effect or may still do so.
	ErrUnknown = errors.New("applog: outcome unknown")
)

// Limits on responses that the client accepts.
const (
	MaxPageBytes   ident.Bytes = 64 << 20 // to a read
	maxAppendBytes ident.Bytes = 1 << 10  // to an append
)

// defaultClient is shared by the clients of a process, as http.DefaultClient is.
var defaultClient = &http.Client{Transport: http1.NewTransport()}

// RawAppend is one append as returned by the log, with its payload still encoded.
type RawAppend struct {
	Offset   ident.Offset `json:"offset"`
	AtUnixNs int64        `json:"atUnixNs"` // time of the append by the log's clock
	Data     []byte       `json:"data"`
}

// Page is the response to one read.
type Page struct {
	First   ident.Offset `json:"first"` // first offset that the log still retains
	Next    ident.Offset `json:"next"`  // offset of the next append to the stream
	Records []RawAppend  `json:"records"`
}

type appendResponse struct {
	Offset ident.Offset `json:"offset"`
}

// Client makes single requests to the log.
type Client struct {
	BaseURL string       // base URL, such as "http://127.0.0.1:9000"
	HTTP    *http.Client // a client with the transport of http1 when nil
}

// Append appends data to the stream and returns its offset. Errors match ErrNotWritten or ErrUnknown.
func (c *Client) Append(ctx context.Context, stream Stream, data []byte) (at ident.Offset, err error) {
	defer func() { err = oops.Wrapf(err, "applog: append to %s", stream) }()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, c.url(stream), bytes.NewReader(data))
	if err != nil {
		return 0, errors.Join(ErrNotWritten, err)
	}
	req.Header.Set("Content-Type", "application/octet-stream")
	w, err := c.client().Do(req)
	if err != nil {
		return 0, errors.Join(classifyError(err), err)
	}
	defer closeBody(w.Body)
	if w.StatusCode != http.StatusOK {
		return 0, errors.Join(classifyStatus(w.StatusCode), fmt.Errorf("status %d", w.StatusCode))
	}
	a, err := http1.DecodeJSON[appendResponse](w, maxAppendBytes)
	if err != nil {
		return 0, errors.Join(ErrUnknown, err)
	}
	return a.Offset, nil
}

// Read returns up to limit appends, starting at offset from. If there are none, the log waits up to wait for one.
// A limit of 0 requests only the bounds of the stream.
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
	return http1.DecodeJSON[Page](w, MaxPageBytes)
}

func (c *Client) url(stream Stream) string {
	return c.BaseURL + "/streams/" + url.PathEscape(string(stream)) + "/records"
}

func (c *Client) client() *http.Client {
	if c.HTTP == nil {
		return defaultClient
	}
	return c.HTTP
}

// classifyError returns ErrNotWritten for errors which prove that the request was not sent, else ErrUnknown.
func classifyError(err error) error {
	var op *net.OpError
	if errors.As(err, &op) && op.Op == "dial" {
		return ErrNotWritten
	}
	if errors.Is(err, syscall.ECONNREFUSED) {
		return ErrNotWritten
	}
	return ErrUnknown
}

// classifyStatus returns ErrNotWritten for the statuses that the log sends only before it writes, else ErrUnknown.
func classifyStatus(status int) error {
	switch {
	case status >= 400 && status < 500 && status != http.StatusRequestTimeout:
		return ErrNotWritten
	case status == http.StatusServiceUnavailable:
		return ErrNotWritten
	}
	return ErrUnknown
}

// closeBody drains a short remainder of the body so that the connection can be reused.
func closeBody(body io.ReadCloser) {
	_, _ = io.CopyN(io.Discard, body, 4<<10)
	_ = body.Close()
}
