package bench

import (
	"time"

	"briarworks.example/briarworks/pkg/ident"
)

// buckets is the number of intervals in which requests are counted by the time they were sent.
const buckets = int((calmDuration + faultDuration + recoveryDuration) / bucketInterval)

// counts holds the outcomes of the requests that were sent in one interval.
type counts struct {
	sent, inTime, late int
	refused            [32]int // by reason
}

func (c *counts) add(o *counts) {
	c.sent += o.sent
	c.inTime += o.inTime
	c.late += o.late
	for i := range c.refused {
		c.refused[i] += o.refused[i]
	}
}

// inTimeShare returns the share of sent requests that succeeded in time; 1 when none was sent.
func (c *counts) inTimeShare() float64 {
	if c.sent == 0 {
		return 1
	}
	return float64(c.inTime) / float64(c.sent)
}

// record holds the measurements of one run, per kind and interval.
type record struct {
	d           *deployment
	regular     [][buckets]counts // regular callers
	flood       [][buckets]counts // callers that flood
	retries     int               // highest number of retries of one request
	slotOverrun ident.Slots       // most concurrent calls beyond the slots of one server
}

func newRecord(d *deployment) *record {
	return &record{d: d, regular: make([][buckets]counts, len(d.kinds)), flood: make([][buckets]counts, len(d.kinds))}
}

func (r *record) count(src *source, sent time.Time) *counts {
	i := min(int(sent.Sub(epoch)/bucketInterval), buckets-1)
	if src.flood {
		return &r.flood[src.kind][i]
	}
	return &r.regular[src.kind][i]
}

// sum adds up the intervals between two times from the start of the run.
func sum(c *[buckets]counts, from, to time.Duration) (all counts) {
	for i := int(from / bucketInterval); i < int(to/bucketInterval); i++ {
		all.add(&c[i])
	}
	return all
}

// calm returns the counts of a kind's regular callers in the second before the fault.
func (r *record) calm(k int) counts {
	return sum(&r.regular[k], calmDuration-time.Second, calmDuration)
}

// fault returns the counts of the regular callers and of the flood during the fault.
func (r *record) fault(k int) (usual, flood counts) {
	return sum(&r.regular[k], calmDuration, calmDuration+faultDuration), sum(&r.flood[k], calmDuration, calmDuration+faultDuration)
}

// recovery returns the time from the fault's end until, from then on, no interval answers fewer than
// the given share of its requests whole.
func (r *record) recovery(share float64) time.Duration {
	for i := buckets - 1; i >= int((calmDuration+faultDuration)/bucketInterval); i-- {
		var all counts
		for k := range r.regular {
			all.add(&r.regular[k][i])
		}
		if all.inTimeShare() < share {
			return time.Duration(i+1)*bucketInterval - calmDuration - faultDuration
		}
	}
	return 0
}
