package spare

import (
	"sync"
	"time"
)

// List holds what waits for its next use, in the order of the last use; the zero value holds nothing and has no bound.
type List[T any] struct {
	Max int // how many it holds at most; 0 sets no bound

	mu     sync.Mutex
	items  []item[T] // the one used last at the end
	closed bool
}

type item[T any] struct {
	x    T
	used time.Time
}

// Take removes and returns what was used last, unless that was before a time.
func (l *List[T]) Take(before time.Time) (x T, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.items) - 1
	if n < 0 || l.items[n].used.Before(before) {
		return x, false
	}
	x = l.items[n].x
	l.items[n] = item[T]{}
	l.items = l.items[:n]
	return x, true
}

// Put adds what was used until now, and reports false when the list is full or closed.
func (l *List[T]) Put(x T, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || (l.Max > 0 && len(l.items) >= l.Max) {
		return false
	}
	l.items = append(l.items, item[T]{x, now})
	return true
}

// Trim removes and returns what was last used before a time, and tells how many are left.
func (l *List[T]) Trim(before time.Time) (old []T, left int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(old) < len(l.items) && l.items[len(old)].used.Before(before) {
		old = append(old, l.items[len(old)].x)
	}
	left = copy(l.items, l.items[len(old):])
	clear(l.items[left:])
	l.items = l.items[:left]
	return old, left
}

// Close removes and returns all; the list takes nothing any more.
func (l *List[T]) Close() (all []T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for _, i := range l.items {
		all = append(all, i.x)
	}
	l.items = nil
	return all
}
