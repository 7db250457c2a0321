package once

import (
	"crypto/sha256"
	"encoding/hex"
	"net/url"

	"briarworks.example/briarworks/pkg/ident"
)

// maxKey is the longest key that is kept readable; a longer one is replaced by its hash.
const maxKey = 200

// hashed begins a key that was replaced by its hash.
const hashed = "sha256:"

// Scope tells whose key it is. Two scopes never share a key.
type Scope string

// CallerScope returns the scope of an outside caller.
func CallerScope(name ident.Caller) Scope { return Scope(url.QueryEscape(string(name))) }

// ServiceScope returns the scope of the servers of a service; the unescaped colon keeps it apart from
// that of any caller.
func ServiceScope(service ident.Service) Scope {
	return "server:" + Scope(url.QueryEscape(string(service)))
}

// Key returns the key under which a request is known in the fleet. The parts are escaped, since the
// name "a/k" with the key "x" would otherwise be the name "a" with the key "k/x".
func (s Scope) Key(kind ident.Kind, key string) ident.Key {
	k := string(s) + "/" + url.QueryEscape(string(kind)) + "/" + url.QueryEscape(key)
	if len(k) <= maxKey {
		return ident.Key(k)
	}
	sum := sha256.Sum256([]byte(k))
	return ident.Key(hashed + hex.EncodeToString(sum[:]))
}
