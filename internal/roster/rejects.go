package roster

import (
	"sync"

	"go.uber.org/zap"
)

// Rejects reports entries of servers that cannot be used: it counts each as the event entryRejected, and logs the first
// one of each key. It is safe for concurrent use.
type Rejects struct {
	Count func(event string)
	Log   *zap.Logger

	mu   sync.Mutex
	keys map[string]struct{}
}

// maxRejects bounds the remembered keys, which other writers choose. Further ones are counted and not logged.
const maxRejects = 1024

// Report reports the entry of a key and why it cannot be used.
func (r *Rejects) Report(key string, err error) {
	r.Count("entryRejected")
	if r.first(key) {
		r.Log.Warn("entryRejected", zap.String("key", key), zap.Error(err))
	}
}

// first reports whether a key is rejected for the first time.
func (r *Rejects) first(key string) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	if _, known := r.keys[key]; known || len(r.keys) >= maxRejects {
		return false
	}
	if r.keys == nil {
		r.keys = make(map[string]struct{})
	}
	r.keys[key] = struct{}{}
	return true
}
