package http1

import (
	"strings"

	"briarworks.example/briarworks/pkg/call"
)

// CheckAnswer checks the answer of a backend server that was read from another message than a response of HTTP, such as one
// between nodes. Written to a caller, its status and fields must make one response; its length is that of its body.
func CheckAnswer(status int, header []call.Header) error {
	if status < minFinalStatus || status > maxStatus {
		return ErrStatus
	}
	for _, h := range header {
		switch {
		case !isName(h.Name):
			return ErrName
		case !isValue(h.Value):
			return ErrValue
		case strings.EqualFold(h.Name, nameLength), strings.EqualFold(h.Name, nameCoding):
			return ErrLength
		}
	}
	return nil
}
