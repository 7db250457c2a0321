package bench

import (
	"container/heap"
	"time"
)

// event is a callback scheduled at a virtual time.
type event struct {
	at  time.Time
	seq uint64 // events at the same time run in the order in which they were scheduled
	run func()
}

// eventQueue orders events for container/heap.
type eventQueue []*event

func (q eventQueue) Len() int { return len(q) }

func (q eventQueue) Less(i, j int) bool {
	if q[i].at.Equal(q[j].at) {
		return q[i].seq < q[j].seq
	}
	return q[i].at.Before(q[j].at)
}

func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *eventQueue) Push(x any) { *q = append(*q, x.(*event)) }

func (q *eventQueue) Pop() any {
	last := len(*q) - 1
	e := (*q)[last]
	(*q)[last] = nil
	*q = (*q)[:last]
	return e
}

// clock is a virtual clock with its event queue.
type clock struct {
	now   time.Time
	queue eventQueue
	seq   uint64
	free  []*event
}

// after schedules f after d.
func (c *clock) after(d time.Duration, f func()) { c.set(c.now.Add(d), f) }

// set schedules f at t, or now if t has passed.
func (c *clock) set(t time.Time, f func()) {
	if t.Before(c.now) {
		t = c.now
	}
	c.seq++
	e := &event{}
	if n := len(c.free); n > 0 {
		e, c.free = c.free[n-1], c.free[:n-1]
	}
	*e = event{at: t, seq: c.seq, run: f}
	heap.Push(&c.queue, e)
}

// every runs f each d until end.
func (c *clock) every(d time.Duration, end time.Time, f func()) {
	c.after(d, func() {
		f()
		if c.now.Before(end) {
			c.every(d, end, f)
		}
	})
}

// runUntil runs the events up to end.
func (c *clock) runUntil(end time.Time) {
	for len(c.queue) > 0 && !c.queue[0].at.After(end) {
		e := heap.Pop(&c.queue).(*event)
		c.now = e.at
		run := e.run
		e.run = nil
		c.free = append(c.free, e)
		run()
	}
	c.now = end
}
