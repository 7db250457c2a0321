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
	// searchPageSize is the number of records per read in the backward search for a Carry. Nodes write a
	// Carry after about order.CarryRecords publishes, so a few reads are nearly always enough.
	searchPageSize = 32
	// maxCarryLag is the maximum distance in offsets from the Through of a Carry to the Carry itself. A
	// reader keeps all records between the two undecided, and drops the oldest ones if there are too many.
	maxCarryLag = 512
)

// StartOffset returns the offset at which a new state machine may start and still decide as if it had read
// the whole log: the one after the Through of the newest usable Carry, or the first retained offset if there
// is none. The caller has to pass it to Start, as on a trimmed log. If the log is trimmed in the meantime,
// the reader detects that itself. usable reports whether this version of the software can use a document; a
// reader that starts after an unusable document might not read a usable one at all. StartOffset returns the
// errors of log.Read.
func StartOffset(ctx context.Context, log Log, usable func(order.State) bool) (at ident.Offset, err error) {
	defer func() { err = oops.In("config").Wrapf(err, "config: find the start offset") }()
	page, err := log.Read(ctx, 0, 0, 0)
	if err != nil {
		return 0, err
	}
	first := page.First
	for end, span := page.Next, ident.Offset(searchPageSize); end > first; end, span = max(end-span, first), 2*span {
		c, found, err := newestCarry(ctx, log, max(end-span, first), end, first, usable)
		if err != nil {
			return 0, err
		}
		if found {
			return c.Through + 1, nil
		}
	}
	return first, nil
}

// Covers reports whether a reader may start after the state a of a peer: the log has to retain the
// records from there on, and must not end before. It returns the errors of log.Read.
func Covers(ctx context.Context, log Log, a order.State) (ok bool, err error) {
	defer func() { err = oops.In("config").Wrapf(err, "config: check a peer's state against the log") }()
	page, err := log.Read(ctx, 0, 0, 0)
	if err != nil {
		return false, err
	}
	return a.Version > 0 && a.Through+1 >= page.First && a.Through < page.Next, nil
}

// newestCarry returns the usable Carry with the highest Through among the records in [next, end).
func newestCarry(ctx context.Context, log Log, next, end, first ident.Offset, usable func(order.State) bool) (best order.Carry, found bool, err error) {
	for next < end {
		page, err := log.Read(ctx, next, int(min(searchPageSize, end-next)), 0)
		if err != nil {
			return best, false, err
		}
		if len(page.Records) == 0 {
			break // trimmed in the meantime
		}
		for _, raw := range page.Records {
			next = raw.Offset + 1
			for _, c := range decodeCarries(raw) {
				inRange := c.Through < raw.Offset && c.Through+1 >= first && raw.Offset-c.Through <= maxCarryLag
				if inRange && (!found || c.Through > best.Through) && usable(c.State) {
					best, found = c, true
				}
			}
		}
	}
	return best, found, nil
}

func decodeCarries(raw applog.RawAppend) (carries []order.Carry) {
	recs, err := record.DecodeGroup(raw.Data)
	if err != nil {
		return nil // all readers skip an append that does not decode
	}
	for _, r := range recs {
		if o, ok := record.ToOrder(r, time.Unix(0, raw.AtUnixNs)); ok && o.Carry != nil {
			carries = append(carries, *o.Carry)
		}
	}
	return carries
}
