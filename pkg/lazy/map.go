package lazy

import "sync"

// Map maps keys to values that are created on first use. The zero value is an empty map, and Map is safe for
// concurrent use.
type Map[K comparable, V any] struct {
	entries sync.Map // K -> *V
}

// LoadOrNew returns the value for key and stores a new zero value if there is none.
func (m *Map[K, V]) LoadOrNew(key K) *V {
	if v := m.Load(key); v != nil {
		return v
	}
	v, _ := m.entries.LoadOrStore(key, new(V))
	return v.(*V)
}

// Load returns the value for key, or nil if there is none.
func (m *Map[K, V]) Load(key K) *V {
	if v, ok := m.entries.Load(key); ok {
		return v.(*V)
	}
	return nil
}

// Range calls f for each key and value, in no particular order.
func (m *Map[K, V]) Range(f func(K, *V)) {
	m.entries.Range(func(k, v any) bool {
		f(k.(K), v.(*V))
		return true
	})
}
