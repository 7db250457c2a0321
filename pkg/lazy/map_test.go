package lazy

import (
	"sync"
	"sync/atomic"
	"testing"
)

// Guards against creating two values for one key when several goroutines request it first at the same time, which
// would lose the counts in one of them.
func TestMap(t *testing.T) {
	const lookups = 50
	tests := map[string][]string{
		"one key":    {"a"},
		"some keys":  {"a", "b", "c"},
		"empty key":  {""},
		"no keys":    nil,
		"equal keys": {"a", "a"},
	}
	for name, keys := range tests {
		t.Run(name, func(t *testing.T) {
			var m Map[string, atomic.Int64]
			if got := m.Load("other"); got != nil {
				t.Errorf("key that was never requested: got a value, want none")
			}
			var wg sync.WaitGroup
			want := make(map[string]int64)
			for _, key := range keys {
				want[key] += lookups
				for range lookups {
					wg.Go(func() { m.LoadOrNew(key).Add(1) })
				}
			}
			wg.Wait()
			got := make(map[string]int64)
			m.Range(func(k string, v *atomic.Int64) { got[k] = v.Load() })
			if len(got) != len(want) {
				t.Errorf("keys: got %v, want %v", got, want)
			}
			for key, n := range want {
				if got[key] != n || m.Load(key).Load() != n {
					t.Errorf("count of %q: got %d, want %d", key, got[key], n)
				}
			}
		})
	}
}
