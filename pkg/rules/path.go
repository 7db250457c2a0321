package rules

import "strings"

// trimSlash removes the slash at the end, so that the root is the empty prefix.
func trimSlash(path string) string { return strings.TrimSuffix(path, "/") }

// cut returns the longest run of whole segments at the start of a path that has at most n bytes.
func cut(path string, n int) string {
	if len(path) <= n {
		return path
	}
	if path[n] == '/' {
		return path[:n]
	}
	return path[:max(strings.LastIndexByte(path[:n], '/'), 0)]
}

// normal removes the query and the slash at the end of a path, and reports whether the rest is in
// normal form: absolute, without empty or dot segments, and without percent-encoding of a slash or of
// a character that needs none (RFC 3986, section 2.3).
func normal(path string) (string, bool) {
	if i := strings.IndexAny(path, "?#"); i >= 0 {
		path = path[:i]
	}
	if path == "" || path[0] != '/' {
		return "", false
	}
	path = trimSlash(path)
	for rest := path; rest != ""; {
		segment := rest[1:]
		rest = ""
		if i := strings.IndexByte(segment, '/'); i >= 0 {
			segment, rest = segment[:i], segment[i:]
		}
		if segment == "" || segment == "." || segment == ".." || !normalSegment(segment) {
			return "", false
		}
	}
	return path, true
}

func normalSegment(s string) bool {
	for i := 0; i < len(s); i++ {
		if s[i] == '\\' {
			return false
		}
		if s[i] != '%' {
			continue
		}
		if i+2 >= len(s) {
			return false
		}
		high, ok1 := hex(s[i+1])
		low, ok2 := hex(s[i+2])
		c := high<<4 | low
		if !ok1 || !ok2 || c == '/' || c == '\\' || unreserved(c) {
			return false
		}
		i += 2
	}
	return true
}

func hex(c byte) (byte, bool) {
	switch {
	case '0' <= c && c <= '9':
		return c - '0', true
	case 'a' <= c && c <= 'f':
		return c - 'a' + 10, true
	case 'A' <= c && c <= 'F':
		return c - 'A' + 10, true
	}
	return 0, false
}

func unreserved(c byte) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return true
	}
	return c == '-' || c == '.' || c == '_' || c == '~'
}
