package config

import (
	"context"
	"errors"
	"slices"
	"time"

	"github.com/samber/oops"

	"briarworks.example/briarworks/internal/applog"
	"briarworks.example/briarworks/internal/pause"
	"briarworks.example/briarworks/internal/record"
	"briarworks.example/briarworks/internal/record/recpb"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/order"
)

const (
	pageSize = 256
	// pollWait is how long one read waits for a record that has not been written yet.
	pollWait        = 500 * time.Millisecond
	defaultPatience = 5 * time.Second
)

var (
	// ErrUndecided tells that the log's beginning is trimmed and nothing yet tells the accepted version.
	ErrUndecided = errors.New("config: the accepted version cannot be told from the log: its beginning is trimmed and no node has repeated the version yet")
	// ErrNoID tells that a record must have an id to be looked up.
	ErrNoID = errors.New("config: publish has no record id")
)

// Log is what History needs of the platform's log.
type Log struct {
	// Read has the contract of applog.Client.Read for the stream of the configuration.
	Read func(ctx context.Context, from ident.Offset, limit int, wait time.Duration) (applog.Page, error)
	// Append has the contract of applog.Writer.Append.
	Append func(ctx context.Context, recs ...*recpb.Record) (ident.Offset, error)
}

// History is what the retained log tells about the published configurations. The zero value has read
// nothing; it is owned by one goroutine.
type History struct {
	Fold      order.StateMachine
	Decisions []order.Decision // one for each publish that was read, in log order
	// Patience is how long Publish looks for its record after the append ended; 5 s when 0.
	Patience time.Duration
}

// CatchUp reads up to the end that the log has at the first read. When nothing is there to read, it
// waits for as long as wait for a record.
func (h *History) CatchUp(ctx context.Context, log Log, wait time.Duration) (err error) {
	defer func() { err = oops.In("config").Wrapf(err, "config: read the log") }()
	for end := ident.Offset(-1); ; wait = 0 {
		page, err := log.Read(ctx, h.Fold.Next(), pageSize, wait)
		if err != nil {
			return err
		}
		if end < 0 {
			end = page.Next
		}
		h.Fold.Start(page.First)
		for _, raw := range page.Records {
			h.take(raw)
		}
		if h.Fold.Next() >= end || len(page.Records) == 0 {
			return nil
		}
	}
}

func (h *History) take(raw applog.RawAppend) {
	// An append that does not decode holds nothing for any reader, so all of them pass it over.
	recs, err := record.DecodeGroup(raw.Data)
	if err != nil {
		recs = nil
	}
	at := time.Unix(0, raw.AtUnixNs)
	seen := make([]order.Record, len(recs))
	for i, r := range recs {
		seen[i], _ = record.ToOrder(r, at)
	}
	for _, d := range h.Fold.Apply(raw.Offset, seen...) {
		h.settle(d)
	}
}

// settle adds a decision, or replaces the one that was still undecided.
func (h *History) settle(d order.Decision) {
	for i := range h.Decisions {
		old := h.Decisions[i]
		if old.Verdict == order.Undecided && old.Offset == d.Offset && old.Publish == d.Publish {
			h.Decisions[i] = d
			return
		}
	}
	h.Decisions = append(h.Decisions, d)
}

// Lookup returns what became of a publish; Undecided when that is not known.
func (h *History) Lookup(id ident.RecordID) (d order.Decision) {
	for _, found := range slices.Backward(h.Decisions) {
		if found.Publish.ID != id || found.Verdict == order.Ignored {
			continue
		}
		d = found
		if found.Verdict == order.Accepted {
			return d
		}
	}
	if now := h.Fold.Current(); d.Verdict == order.Undecided && id != "" && now.ID == id {
		d = order.Decision{Offset: -1, Verdict: order.Accepted, Version: now.Version}
	}
	return d
}

// Publish writes p and reads back what became of it. A base that is not the accepted version is refused
// without a write. The verdict Undecided means that it is not known whether p was or will be accepted;
// Lookup with its id tells later. An error means that nothing was written.
func (h *History) Publish(ctx context.Context, log Log, p order.Publish) (d order.Decision, err error) {
	defer func() { err = oops.In("config").Wrapf(err, "config: publish") }()
	if p.ID == "" {
		return d, ErrNoID
	}
	if err := h.CatchUp(ctx, log, 0); err != nil {
		return d, err
	}
	if !h.Fold.Decided() {
		return d, ErrUndecided
	}
	if p.Base != h.Fold.Current().Version {
		return h.stale(p), nil
	}
	_, err = log.Append(ctx, record.FromOrder(order.Record{Publish: &p}))
	if errors.Is(err, applog.ErrNotWritten) {
		return d, err
	}
	return h.readBack(ctx, log, p), nil
}

// stale returns the verdict on a publish that no reader would accept.
func (h *History) stale(p order.Publish) order.Decision {
	d := order.Decision{Offset: -1, Publish: p, Verdict: order.Refused, Version: h.Fold.Current().Version}
	for _, old := range h.Decisions {
		if old.Verdict == order.Accepted && old.Version == p.Base+1 {
			d.Winner = order.AcceptedPublish{Version: old.Version, ID: old.Publish.ID, Author: old.Publish.Author, At: old.Publish.At}
		}
	}
	if now := h.Fold.Current(); now.Version == p.Base+1 {
		d.Winner = order.AcceptedPublish{Version: now.Version, ID: now.ID, Author: now.Author, At: now.AcceptedAt}
	}
	return d
}

// readBack reads until the record is found. Its time is counted anew, because an append whose answer
// was lost may have used up the time of ctx.
func (h *History) readBack(ctx context.Context, log Log, p order.Publish) order.Decision {
	patience := h.Patience
	if patience == 0 {
		patience = defaultPatience
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), patience)
	defer cancel()
	for {
		err := h.CatchUp(ctx, log, pollWait)
		if d := h.Lookup(p.ID); d.Verdict != order.Undecided {
			return d
		}
		if ctx.Err() != nil {
			return order.Decision{Offset: -1, Publish: p, Version: h.Fold.Current().Version}
		}
		if err != nil {
			pause.For(ctx, pollWait)
		}
	}
}
