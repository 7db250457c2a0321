package lazy

import "sync"

// Map holds a value for each key; the zero value is empty, and all methods may be called at the same time.
type Map[K comparable, V any] struct {
	m sync.Map // K -> *V
}

// Of returns the value of a key, a new zero value when there was none.
func (m *Map[K, V]) Of(key K) *V {
	if v := m.Find(key); v != nil {
		return v
	}
	v, _ := m.m.LoadOrStore(key, new(V))
	return v.(*V)
}

// Find returns the value of a key, nil when there is none.
func (m *Map[K, V]) Find(key K) *V {
	if v, ok := m.m.Load(key); ok {
		return v.(*V)
	}
	return nil
}

// Range calls f for each key and its value.
func (m *Map[K, V]) Range(f func(K, *V)) {
	m.m.Range(func(k, v any) bool {
		f(k.(K), v.(*V))
		return true
	})
}
