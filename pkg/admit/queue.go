package admit

import (
	"sort"
	"time"

	"briarworks.example/briarworks/pkg/share"
)

// queue is a sorted list of waiting tickets. The next one to run is at the end, so that removing it moves nothing.
// With at most a few hundred tickets, an insertion moves less memory than a heap of pointers would touch.
type queue struct {
	tickets []*Ticket
	seq     uint64
}

// before reports whether a runs before b: by importance, then by age, the oldest request first.
func before(a, b *Ticket) bool {
	if c := share.Compare(a.priority, b.priority); c != 0 {
		return c < 0
	}
	if !a.orderTime.Equal(b.orderTime) {
		return a.orderTime.Before(b.orderTime)
	}
	return a.seq < b.seq
}

// push inserts a ticket in order.
func (q *queue) push(t *Ticket) {
	q.seq++
	t.seq, t.queued = q.seq, true
	i := sort.Search(len(q.tickets), func(i int) bool { return before(q.tickets[i], t) })
	q.tickets = append(q.tickets, nil)
	copy(q.tickets[i+1:], q.tickets[i:])
	q.tickets[i] = t
}

// popFirst removes and returns the next ticket to run.
func (q *queue) popFirst() *Ticket {
	n := len(q.tickets) - 1
	t := q.tickets[n]
	q.tickets[n] = nil
	q.tickets = q.tickets[:n]
	t.queued = false
	return t
}

// last returns the ticket to evict when the queue is full.
func (q *queue) last() *Ticket { return q.tickets[0] }

// remove removes a queued ticket.
func (q *queue) remove(t *Ticket) {
	i := sort.Search(len(q.tickets), func(i int) bool { return !before(t, q.tickets[i]) })
	q.removeAt(i)
}

func (q *queue) removeAt(i int) {
	q.tickets[i].queued = false
	copy(q.tickets[i:], q.tickets[i+1:])
	q.tickets[len(q.tickets)-1] = nil
	q.tickets = q.tickets[:len(q.tickets)-1]
}

// removeExpired removes the tickets whose wait has ended and calls end for each.
func (q *queue) removeExpired(now time.Time, end func(t *Ticket)) {
	kept := q.tickets[:0]
	for _, t := range q.tickets {
		if t.waitUntil.After(now) {
			kept = append(kept, t)
			continue
		}
		t.queued = false
		end(t)
	}
	clear(q.tickets[len(kept):])
	q.tickets = kept
}
