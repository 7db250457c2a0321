package rules

import "strings"

// trimTrailingSlash removes a trailing slash, so that the root is the empty prefix.
func trimTrailingSlash(path string) string { return strings.TrimSuffix(path, "/") }

// truncateToSegment returns the longest prefix of whole segments of a path that has at most n bytes.
func truncateToSegment(path string, n int) string {
	if len(path) <= n {
		return path
	}
	if path[n] == '/' {
		return path[:n]
	}
	return path[:max(strings.LastIndexByte(path[:n], '/'), 0)]
}

// IsNormalPath reports whether a path is in normal form, so that all servers interpret it alike: absolute, without
// empty or dot segments, backslashes, or percent-encoding of a slash, a backslash or an unreserved character.
func IsNormalPath(path string) bool {
	_, ok := normalize(path)
	return ok
}

// normalize removes the query and a trailing slash, and reports whether the rest is in normal form, as
// defined by Normal. Unreserved characters are those of RFC 3986, section 2.3.
func normalize(path string) (string, bool) {
	if i := strings.IndexAny(path, "?#"); i >= 0 {
		path = path[:i]
	}
	if path == "" || path[0] != '/' {
		return "", false
	}
	path = trimTrailingSlash(path)
	for rest := path; rest != ""; {
		segment := rest[1:]
		rest = ""
		if i := strings.IndexByte(segment, '/'); i >= 0 {
			segment, rest = segment[:i], segment[i:]
		}
		if segment == "" || segment == "." || segment == ".." || !isNormalSegment(segment) {
			return "", false
		}
	}
	return path, true
}

func isNormalSegment(s string) bool {
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
		high, ok1 := hexDigit(s[i+1])
		low, ok2 := hexDigit(s[i+2])
		c := high<<4 | low
		if !ok1 || !ok2 || c == '/' || c == '\\' || isUnreserved(c) {
			return false
		}
		i += 2
	}
	return true
}

func hexDigit(c byte) (byte, bool) {
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

func isUnreserved(c byte) bool {
	switch {
	case 'a' <= c && c <= 'z', 'A' <= c && c <= 'Z', '0' <= c && c <= '9':
		return true
	}
	return c == '-' || c == '.' || c == '_' || c == '~'
}
