package once

import (
	"testing"

	"briarworks.example/briarworks/pkg/ident"
)

// Guards against distinct requests that map to the same key.
func TestScope(t *testing.T) {
	long := make([]byte, 5000)
	seen := map[ident.Key]string{}
	for name, r := range map[string]struct {
		caller ident.Caller
		kind   ident.Kind
		key    string
	}{
		"plain":        {"a", "b", "c"},
		"slash":        {"a/b", "", "c"},
		"other caller": {"x", "b", "c"},
		"other kind":   {"a", "x", "c"},
		"invalid text": {"a", "b", "\xff"},
		"other bytes":  {"a", "b", "\xfe"},
		"long":         {"a", "b", string(long)},
		"longer":       {"a", "b", string(append(long, 0))},
	} {
		k := CallerScope(r.caller).Key(r.kind, r.key)
		if other, ok := seen[k]; ok || len(k) > maxKeyBytes {
			t.Errorf("%s: got key %q of %d bytes as for %q, want one of its own", name, k, len(k), other)
		}
		seen[k] = name
	}
}
