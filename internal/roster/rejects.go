package roster

import "sync"

// Rejects remembers the keys of rejected entries, so that each of them is logged once. The zero value is empty.
type Rejects struct {
	mu   sync.Mutex
	keys map[string]struct{}
}

// maxRejects bounds the remembered keys, which other writers choose. Further ones are counted and not logged.
const maxRejects = 1024

// First reports whether a key is rejected for the first time.
func (r *Rejects) First(key string) bool {
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
