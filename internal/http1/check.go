package http1

import (
	"bytes"
	"errors"
	"net/http"
	"strconv"

	"golang.org/x/net/http/httpguts"
)

// Errors of a Checker: what in the bytes of a response is malformed or has more than one reading.
var (
	ErrLineEnd = errors.New("http1: line does not end with a carriage return and a line feed")
	ErrStatus  = errors.New("http1: malformed status line")
	ErrName    = errors.New("http1: malformed field name")
	ErrValue   = errors.New("http1: malformed field value")
	ErrLength  = errors.New("http1: length of the body is malformed or stated in several ways")
	ErrChunk   = errors.New("http1: malformed chunk")
)

// part is the part of a response that the next byte belongs to.
type part uint8

const (
	partStatus   part = iota // status line
	partField                // field of the head, or the empty line after it
	partBody                 // body with a length
	partSize                 // line with the size of a chunk
	partChunk                // data of a chunk
	partChunkEnd             // line end after the data of a chunk
	partTrailer              // field after the last chunk, or the empty line after it
	partUnframed             // until the connection ends
)

const (
	noLength   = -1 // length of a body whose head states none
	lengthBits = 63 // of the length of a body or a chunk, without the sign
)

// Checker checks the bytes of the responses on one connection against RFC 9112, in the order in which they are read. The zero
// value is ready to use.
type Checker struct {
	// ToHead tells that the responses are to HEAD requests and have no body.
	ToHead bool

	part    part
	line    []byte // beginning of a line whose end is not read yet
	version byte   // minor version of the status line
	status  int
	length  int64 // stated length of the body, or noLength
	chunked bool
	left    int64 // bytes left of the body or the chunk
	err     error
}

// Check checks the next bytes. It returns how many of them may be passed on: all, or those before the line that is malformed.
// An error is final.
func (c *Checker) Check(b []byte) (n int, err error) {
	for c.err == nil && n < len(b) {
		var used int
		used, c.err = c.next(b[n:])
		n += used
	}
	return n, c.err
}

// Done reports whether the bytes so far end with a whole response, or none were checked.
func (c *Checker) Done() bool {
	return c.err == nil && c.part == partStatus && len(c.line) == 0
}

// next checks some of the bytes, at least one, and returns their number; 0 after an error.
func (c *Checker) next(b []byte) (used int, err error) {
	switch c.part {
	case partUnframed:
		return len(b), nil
	case partBody, partChunk:
		used = int(min(int64(len(b)), c.left))
		if c.left -= int64(used); c.left == 0 {
			c.endData()
		}
		return used, nil
	}
	end := bytes.IndexByte(b, '\n') + 1
	if end == 0 {
		c.line = append(c.line, b...)
		return len(b), nil
	}
	line := b[:end]
	if len(c.line) > 0 {
		c.line = append(c.line, line...)
		line = c.line
	}
	line, ok := bytes.CutSuffix(line, []byte("\r\n"))
	if !ok || bytes.IndexByte(line, '\r') >= 0 {
		return 0, ErrLineEnd
	}
	if err = c.checkLine(line); err != nil {
		return 0, err
	}
	c.line = nil // few lines are read in two parts, and an idle connection keeps no memory for them
	return end, nil
}

// endData ends the data of a body or a chunk.
func (c *Checker) endData() {
	if c.part == partBody {
		c.part = partStatus
	} else {
		c.part = partChunkEnd
	}
}

// checkLine checks a line without its end.
func (c *Checker) checkLine(line []byte) error {
	switch c.part {
	case partStatus:
		return c.checkStatus(line)
	case partField:
		if len(line) == 0 {
			return c.endHead()
		}
		return c.checkField(line)
	case partSize:
		return c.checkSize(line)
	case partChunkEnd:
		c.part = partSize
		if len(line) > 0 {
			return ErrChunk
		}
	case partTrailer:
		if len(line) == 0 {
			c.part = partStatus
			return nil
		}
		_, _, err := cutField(line)
		return err
	}
	return nil
}

// Bounds of a status, RFC 9110, section 15.
const (
	minStatus      = 100
	minFinalStatus = 200 // lower ones are of interim responses
	maxStatus      = 599
)

// checkStatus checks a status line, RFC 9112, section 4. The space after the status may be missing if no reason follows.
func (c *Checker) checkStatus(line []byte) error {
	const version, status, reason = len("HTTP/1."), len("HTTP/1.1 "), len("HTTP/1.1 200")
	switch {
	case len(line) < reason, string(line[:version]) != "HTTP/1.", !isDigit(line[version]), line[version+1] != ' ':
		return ErrStatus
	case len(line) > reason && line[reason] != ' ', !isValue(line[reason:]):
		return ErrStatus
	}
	c.status = 0
	for _, d := range line[status:reason] {
		if !isDigit(d) {
			return ErrStatus
		}
		c.status = 10*c.status + int(d-'0')
	}
	if c.status < minStatus || c.status > maxStatus {
		return ErrStatus
	}
	c.part, c.version, c.length, c.chunked = partField, line[version], noLength, false
	return nil
}

const (
	nameLength = "Content-Length"
	nameCoding = "Transfer-Encoding"
	chunked    = "chunked"
)

// checkField checks a field of the head and takes the length of the body from it.
func (c *Checker) checkField(line []byte) error {
	name, value, err := cutField(line)
	switch {
	case err != nil:
		return err
	case bytes.EqualFold(name, []byte(nameLength)):
		n, err := strconv.ParseUint(string(value), 10, lengthBits)
		if err != nil || c.length != noLength && c.length != int64(n) {
			return ErrLength
		}
		c.length = int64(n)
	case bytes.EqualFold(name, []byte(nameCoding)):
		if c.chunked || !bytes.EqualFold(value, []byte(chunked)) {
			return ErrLength
		}
		c.chunked = true
	}
	return nil
}

// endHead ends the head of a response and finds the end of its body: RFC 9112, section 6.3.
func (c *Checker) endHead() error {
	interim := c.status < minFinalStatus
	switch {
	case c.chunked && (c.length != noLength || c.version == '0'):
		return ErrLength
	case (interim || c.status == http.StatusNoContent) && (c.chunked || c.length > 0):
		return ErrLength // it has no body, and a reader that takes the length finds one
	case c.status == http.StatusSwitchingProtocols:
		c.part = partUnframed
	case interim, c.status == http.StatusNoContent, c.status == http.StatusNotModified, c.ToHead, c.length == 0:
		c.part = partStatus
	case c.chunked:
		c.part = partSize
	case c.length > 0:
		c.part, c.left = partBody, c.length
	default:
		c.part = partUnframed
	}
	return nil
}

// checkSize checks a line with the size of a chunk, and extensions that are ignored.
func (c *Checker) checkSize(line []byte) error {
	size, extension, _ := bytes.Cut(line, []byte(";"))
	n, err := strconv.ParseUint(string(bytes.TrimRight(size, " \t")), 16, lengthBits)
	switch {
	case err != nil, !isValue(extension):
		return ErrChunk
	case n == 0:
		c.part = partTrailer
	default:
		c.part, c.left = partChunk, int64(n)
	}
	return nil
}

// cutField splits a field into its name and its value, without the whitespace around the value: RFC 9112, section 5. The second
// line of a folded field has no valid name.
func cutField(line []byte) (name, value []byte, err error) {
	name, value, ok := bytes.Cut(line, []byte(":"))
	switch {
	case !ok, !isName(name):
		return nil, nil, ErrName
	case !isValue(value):
		return nil, nil, ErrValue
	}
	return name, bytes.Trim(value, " \t"), nil
}

// isName reports whether the text is a token: RFC 9110, section 5.6.2.
func isName[T string | []byte](text T) bool {
	for i := range len(text) {
		if !httpguts.IsTokenRune(rune(text[i])) {
			return false
		}
	}
	return len(text) > 0
}

// isValue reports whether the text has no control bytes other than tabs: RFC 9110, section 5.5.
func isValue[T string | []byte](text T) bool {
	for i := range len(text) {
		if b := text[i]; b < ' ' && b != '\t' || b == 0x7f {
			return false
		}
	}
	return true
}

func isDigit(b byte) bool { return '0' <= b && b <= '9' }
