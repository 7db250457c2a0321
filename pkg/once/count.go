package once

import (
	"strings"

	"briarworks.example/briarworks/pkg/ident"
)

// owner numbers a scope that holds keys.
type owner int32

// owners counts the keys of each scope. The zero value holds none.
type owners struct {
	index map[Scope]owner
	all   []held
	free  []owner
}

type held struct {
	scope Scope
	keys  int
}

// ownerOf returns the scope of a key. Keys that are too long to be readable have one in common.
func ownerOf(k ident.Key) Scope {
	scope, _, _ := strings.Cut(string(k), "/")
	if strings.HasPrefix(scope, hashed) {
		return hashed
	}
	return Scope(scope)
}

// held returns how many keys a scope has.
func (o *owners) held(s Scope) int {
	i, ok := o.index[s]
	if !ok {
		return 0
	}
	return o.all[i].keys
}

// add counts one more key of a scope.
func (o *owners) add(s Scope) owner {
	i, ok := o.index[s]
	if !ok {
		s = Scope(strings.Clone(string(s))) // does not keep the whole key
		if n := len(o.free); n > 0 {
			i, o.free = o.free[n-1], o.free[:n-1]
		} else {
			i = owner(len(o.all))
			o.all = append(o.all, held{})
		}
		if o.index == nil {
			o.index = map[Scope]owner{}
		}
		o.index[s], o.all[i] = i, held{scope: s}
	}
	o.all[i].keys++
	return i
}

// drop counts one key less.
func (o *owners) drop(i owner) {
	h := &o.all[i]
	if h.keys--; h.keys == 0 {
		delete(o.index, h.scope)
		*h = held{}
		o.free = append(o.free, i)
	}
}
