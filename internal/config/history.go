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
	pageSize = 256 // records per read
	// pollTimeout is the long-poll timeout of one read, and the delay after a read that failed.
	pollTimeout            = 500 * time.Millisecond
	defaultReadBackTimeout = 5 * time.Second
)

var (
	// ErrUndecided is returned while the trimmed log holds no record that determines the accepted version.
	ErrUndecided = errors.New("config: the accepted version is unknown: the beginning of the log is trimmed and no node has written a carry record yet")
	// ErrNoID is returned for a publish without a record id, which could not be looked up.
	ErrNoID = errors.New("config: publish has no record id")
)

// Log provides access to the configuration stream of the platform's log.
type Log struct {
	// Read has the contract of applog.Client.Read for the configuration stream.
	Read func(ctx context.Context, from ident.Offset, limit int, wait time.Duration) (applog.Page, error)
	// Append has the contract of applog.Writer.Append.
	Append func(ctx context.Context, recs ...*recpb.Record) (ident.Offset, error)
}

// History holds the published configurations of the retained log. The zero value is ready to use and has
// read nothing. It is not safe for concurrent use.
type History struct {
	Machine   order.StateMachine
	Decisions []order.Decision // one for each publish that was read, in log order
	// ReadBackTimeout bounds the search of Publish for its record after the append; 0 means 5 s.
	ReadBackTimeout time.Duration
}

// CatchUp reads up to the end of the log as of the first read. If there is nothing to read, it waits up
// to wait for a record. It returns the errors of log.Read.
func (h *History) CatchUp(ctx context.Context, log Log, wait time.Duration) (err error) {
	defer func() { err = oops.In("config").Wrapf(err, "config: read the log") }()
	for end := ident.Offset(-1); ; wait = 0 {
		page, err := log.Read(ctx, h.Machine.Next(), pageSize, wait)
		if err != nil {
			return err
		}
		if end < 0 {
			end = page.Next
		}
		h.Machine.Start(page.First)
		for _, raw := range page.Records {
			h.apply(raw)
		}
		if h.Machine.Next() >= end || len(page.Records) == 0 {
			return nil
		}
	}
}

func (h *History) apply(raw applog.RawAppend) {
	// All readers skip an append that does not decode, so its offset is applied without records.
	recs, err := record.DecodeGroup(raw.Data)
	if err != nil {
		recs = nil
	}
	at := time.Unix(0, raw.AtUnixNs)
	records := make([]order.Record, len(recs))
	for i, r := range recs {
		records[i], _ = record.ToOrder(r, at)
	}
	for _, d := range h.Machine.Apply(raw.Offset, records...) {
		h.addDecision(d)
	}
}

// addDecision appends d, or replaces an undecided decision on the same publish.
func (h *History) addDecision(d order.Decision) {
	for i := range h.Decisions {
		old := h.Decisions[i]
		if old.Verdict == order.Undecided && old.Offset == d.Offset && old.Publish == d.Publish {
			h.Decisions[i] = d
			return
		}
	}
	h.Decisions = append(h.Decisions, d)
}

// Lookup returns the decision on the publish with the given id, Undecided if it is not known.
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
	if current := h.Machine.Current(); d.Verdict == order.Undecided && id != "" && current.ID == id {
		d = order.Decision{Offset: -1, Verdict: order.Accepted, Version: current.Version}
	}
	return d
}

// Publish appends p and reads the decision back from the log. A base that is not the accepted version is
// refused without a write. Undecided means that p may have been or may yet be accepted; a later Lookup
// returns the decision. If Publish returns an error, nothing was written.
func (h *History) Publish(ctx context.Context, log Log, p order.Publish) (d order.Decision, err error) {
	defer func() { err = oops.In("config").Wrapf(err, "config: publish") }()
	if p.ID == "" {
		return d, ErrNoID
	}
	if err := h.CatchUp(ctx, log, 0); err != nil {
		return d, err
	}
	if !h.Machine.Decided() {
		return d, ErrUndecided
	}
	if p.Base != h.Machine.Current().Version {
		return h.refuseBase(p), nil
	}
	_, err = log.Append(ctx, record.FromOrder(order.Record{Publish: &p}))
	if errors.Is(err, applog.ErrNotWritten) {
		return d, err
	}
	return h.awaitDecision(ctx, log, p), nil
}

// refuseBase returns the decision on a publish whose base is not the accepted version.
func (h *History) refuseBase(p order.Publish) order.Decision {
	d := order.Decision{Offset: -1, Publish: p, Verdict: order.Refused, Version: h.Machine.Current().Version}
	for _, old := range h.Decisions {
		if old.Verdict == order.Accepted && old.Version == p.Base+1 {
			d.Winner = order.AcceptedPublish{Version: old.Version, ID: old.Publish.ID, Author: old.Publish.Author, At: old.Publish.At}
		}
	}
	if current := h.Machine.Current(); current.Version == p.Base+1 {
		d.Winner = order.AcceptedPublish{Version: current.Version, ID: current.ID, Author: current.Author, At: current.AcceptedAt}
	}
	return d
}

// awaitDecision reads until p is decided or the timeout passes. It has a timeout of its own because an
// append whose response was lost may have used up the deadline of ctx.
func (h *History) awaitDecision(ctx context.Context, log Log, p order.Publish) order.Decision {
	timeout := h.ReadBackTimeout
	if timeout == 0 {
		timeout = defaultReadBackTimeout
	}
	ctx, cancel := context.WithTimeout(context.WithoutCancel(ctx), timeout)
	defer cancel()
	for {
		err := h.CatchUp(ctx, log, pollTimeout)
		if d := h.Lookup(p.ID); d.Verdict != order.Undecided {
			return d
		}
		if ctx.Err() != nil {
			return order.Decision{Offset: -1, Publish: p, Version: h.Machine.Current().Version}
		}
		if err != nil {
			pause.For(ctx, pollTimeout)
		}
	}
}
