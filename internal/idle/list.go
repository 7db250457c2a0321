package idle

import (
	"sync"
	"time"
)

// List holds idle values in the order of their last use. The zero value is an empty list without a size limit, and
// its methods are safe for concurrent use.
type List[T any] struct {
	Max int // maximum number of values; 0 means no limit

	mu      sync.Mutex
	entries []entry[T] // in ascending order of lastUsed
	closed  bool
}

type entry[T any] struct {
	value    T
	lastUsed time.Time
}

// Take removes and returns the most recently used value, unless it was last used before the given time.
func (l *List[T]) Take(before time.Time) (value T, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	n := len(l.entries) - 1
	if n < 0 || l.entries[n].lastUsed.Before(before) {
		return value, false
	}
	value = l.entries[n].value
	l.entries[n] = entry[T]{}
	l.entries = l.entries[:n]
	return value, true
}

// Put adds a value that was in use until now. It returns false if the list is full or closed.
func (l *List[T]) Put(value T, now time.Time) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.closed || (l.Max > 0 && len(l.entries) >= l.Max) {
		return false
	}
	l.entries = append(l.entries, entry[T]{value, now})
	return true
}

// Trim removes and returns the values that were last used before the given time, and returns how many are left.
func (l *List[T]) Trim(before time.Time) (expired []T, left int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	for len(expired) < len(l.entries) && l.entries[len(expired)].lastUsed.Before(before) {
		expired = append(expired, l.entries[len(expired)].value)
	}
	left = copy(l.entries, l.entries[len(expired):])
	clear(l.entries[left:])
	l.entries = l.entries[:left]
	return expired, left
}

// Close removes and returns all values. Later calls of Put return false.
func (l *List[T]) Close() (all []T) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.closed = true
	for _, e := range l.entries {
		all = append(all, e.value)
	}
	l.entries = nil
	return all
}
