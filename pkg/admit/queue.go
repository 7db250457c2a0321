package admit

import (
	"sort"
	"time"

	"briarworks.example/briarworks/pkg/share"
)

// queue holds waiting tickets with the next one to run at the end, so that taking it moves nothing.
// It holds a few hundred at most; insertion moves less memory than a heap of pointers would touch.
type queue struct {
	list []*Ticket
	seq  uint64
}

// before reports whether a is run before b: by importance, then the oldest request first.
func before(a, b *Ticket) bool {
	if c := share.Compare(a.priority, b.priority); c != 0 {
		return c < 0
	}
	if !a.orderTime.Equal(b.orderTime) {
		return a.orderTime.Before(b.orderTime)
	}
	return a.seq < b.seq
}

func (q *queue) push(t *Ticket) {
	q.seq++
	t.seq, t.queued = q.seq, true
	i := sort.Search(len(q.list), func(i int) bool { return before(q.list[i], t) })
	q.list = append(q.list, nil)
	copy(q.list[i+1:], q.list[i:])
	q.list[i] = t
}

// first takes out the next ticket to run.
func (q *queue) first() *Ticket {
	n := len(q.list) - 1
	t := q.list[n]
	q.list[n] = nil
	q.list = q.list[:n]
	t.queued = false
	return t
}

// last returns the ticket that gives way when the queue is full.
func (q *queue) last() *Ticket { return q.list[0] }

func (q *queue) remove(t *Ticket) {
	i := sort.Search(len(q.list), func(i int) bool { return !before(t, q.list[i]) })
	q.cut(i)
}

func (q *queue) cut(i int) {
	q.list[i].queued = false
	copy(q.list[i:], q.list[i+1:])
	q.list[len(q.list)-1] = nil
	q.list = q.list[:len(q.list)-1]
}

// expired takes out the tickets whose wait has ended and hands them to end.
func (q *queue) expired(now time.Time, end func(t *Ticket)) {
	kept := q.list[:0]
	for _, t := range q.list {
		if t.waitUntil.After(now) {
			kept = append(kept, t)
			continue
		}
		t.queued = false
		end(t)
	}
	clear(q.list[len(kept):])
	q.list = kept
}
