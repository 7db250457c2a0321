package once

import (
	"strings"

	"briarworks.example/briarworks/pkg/ident"
)

// scopeID is the index of a scope in scopeCounts. It replaces the scope in the state of each key to save memory.
type scopeID int32

// scopeCounts counts the keys of each scope. The zero value is ready to use.
type scopeCounts struct {
	ids    map[Scope]scopeID
	counts []scopeCount
	free   []scopeID // unused indices of counts
}

type scopeCount struct {
	scope Scope
	keys  int
}

// scopeOf returns the scope of a key. All hashed keys share one scope, since a hash does not show the scope.
func scopeOf(k ident.Key) Scope {
	scope, _, _ := strings.Cut(string(k), "/")
	if strings.HasPrefix(scope, hashedPrefix) {
		return hashedPrefix
	}
	return Scope(scope)
}

// count returns the number of keys of a scope.
func (c *scopeCounts) count(s Scope) int {
	i, ok := c.ids[s]
	if !ok {
		return 0
	}
	return c.counts[i].keys
}

// add increments the count of a scope and returns its id.
func (c *scopeCounts) add(s Scope) scopeID {
	i, ok := c.ids[s]
	if !ok {
		s = Scope(strings.Clone(string(s))) // does not retain the memory of the whole key
		if n := len(c.free); n > 0 {
			i, c.free = c.free[n-1], c.free[:n-1]
		} else {
			i = scopeID(len(c.counts))
			c.counts = append(c.counts, scopeCount{})
		}
		if c.ids == nil {
			c.ids = map[Scope]scopeID{}
		}
		c.ids[s], c.counts[i] = i, scopeCount{scope: s}
	}
	c.counts[i].keys++
	return i
}

// remove decrements the count of a scope and frees its id when the count reaches 0.
func (c *scopeCounts) remove(i scopeID) {
	n := &c.counts[i]
	if n.keys--; n.keys == 0 {
		delete(c.ids, n.scope)
		*n = scopeCount{}
		c.free = append(c.free, i)
	}
}
