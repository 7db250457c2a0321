package once

import (
	"crypto/sha256"
	"encoding/hex"
	"net/url"

	"briarworks.example/briarworks/pkg/ident"
)

// maxKeyBytes is the maximum length of a key in plain text; a longer key is replaced by its hash.
const maxKeyBytes = 200

// hashedPrefix is the prefix of a key that was replaced by its hash.
const hashedPrefix = "sha256:"

// Scope is the namespace of the idempotency keys of one caller or service. Keys of different scopes never
// collide.
type Scope string

// CallerScope returns the scope of an external caller.
func CallerScope(name ident.Caller) Scope { return Scope(url.QueryEscape(string(name))) }

// ServiceScope returns the scope of the servers of a service. Its unescaped colon cannot occur in a caller scope.
func ServiceScope(service ident.Service) Scope {
	return "server:" + Scope(url.QueryEscape(string(service)))
}

// Key returns the fleet-wide key of a request. The parts are escaped, since caller "a/k" with key "x" and
// caller "a" with key "k/x" would otherwise collide.
func (s Scope) Key(kind ident.Kind, key string) ident.Key {
	k := string(s) + "/" + url.QueryEscape(string(kind)) + "/" + url.QueryEscape(key)
	if len(k) <= maxKeyBytes {
		return ident.Key(k)
	}
	sum := sha256.Sum256([]byte(k))
	return ident.Key(hashedPrefix + hex.EncodeToString(sum[:]))
}
