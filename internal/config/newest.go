package config

import (
	"context"
	"time"

	"github.com/samber/oops"

	"briarworks.example/briarworks/internal/applog"
	"briarworks.example/briarworks/internal/record"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/order"
)

const (
	// lookPage is how many records are read at a time, from the end on, to find a Carry. Nodes write one
	// after about order.CarryRecords publishes, so that a few reads are nearly always enough.
	lookPage = 32
	// maxBehind is how far behind its own place a Carry may begin. A reader holds all records between
	// the two undecided, and one that holds too many gives up the oldest.
	maxBehind = 512
)

// Begin returns the offset at which a fold that has read nothing may begin and still reach the answer
// of one that reads everything: that behind the newest usable Carry, or the first offset that the log
// keeps when there is none. A fold that begins there must be told so by Start, as on a trimmed log.
// When the log is trimmed meanwhile, the reader finds that out itself. usable reports whether this
// software can use a document: a reader that begins behind one that it cannot use might find none.
func Begin(ctx context.Context, log Log, usable func(order.State) bool) (at ident.Offset, err error) {
	defer func() { err = oops.In("config").Wrapf(err, "config: find the newest carry") }()
	page, err := log.Read(ctx, 0, 0, 0)
	if err != nil {
		return 0, err
	}
	first := page.First
	for end, look := page.Next, ident.Offset(lookPage); end > first; end, look = max(end-look, first), 2*look {
		c, found, err := newest(ctx, log, max(end-look, first), end, first, usable)
		if err != nil {
			return 0, err
		}
		if found {
			return c.Through + 1, nil
		}
	}
	return first, nil
}

// Covers reports whether a reader that holds the state of a peer may begin behind it: the log has to
// keep the records from there on, and must not end before.
func Covers(ctx context.Context, log Log, a order.State) (ok bool, err error) {
	defer func() { err = oops.In("config").Wrapf(err, "config: compare a peer with the log") }()
	page, err := log.Read(ctx, 0, 0, 0)
	if err != nil {
		return false, err
	}
	return a.Version > 0 && a.Through+1 >= page.First && a.Through < page.Next, nil
}

// newest returns the usable Carry with the highest through in the records from at to before end.
func newest(ctx context.Context, log Log, at, end, first ident.Offset, usable func(order.State) bool) (best order.Carry, found bool, err error) {
	for at < end {
		page, err := log.Read(ctx, at, int(min(lookPage, end-at)), 0)
		if err != nil {
			return best, false, err
		}
		if len(page.Records) == 0 {
			break // trimmed meanwhile
		}
		for _, raw := range page.Records {
			at = raw.Offset + 1
			for _, c := range carries(raw) {
				fits := c.Through < raw.Offset && c.Through+1 >= first && raw.Offset-c.Through <= maxBehind
				if fits && (!found || c.Through > best.Through) && usable(c.State) {
					best, found = c, true
				}
			}
		}
	}
	return best, found, nil
}

func carries(raw applog.RawAppend) (all []order.Carry) {
	recs, err := record.DecodeGroup(raw.Data)
	if err != nil {
		return nil // holds nothing for any reader
	}
	for _, r := range recs {
		if o, ok := record.ToOrder(r, time.Unix(0, raw.AtUnixNs)); ok && o.Carry != nil {
			all = append(all, *o.Carry)
		}
	}
	return all
}
