package http1

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
	"slices"
	"testing"
)

// check gives the bytes to a Checker in parts of a size and returns it with the number of bytes passed on.
func check(c *Checker, text string, size int) (passed int, err error) {
	for part := range slices.Chunk([]byte(text), size) {
		n, err := c.Check(part)
		passed += n
		if err != nil {
			return passed, err
		}
	}
	return passed, nil
}

// Guards against a malformed response that is accepted, a sound one that is not, and a verdict that depends on how the bytes are
// split into reads.
func TestChecker(t *testing.T) {
	const (
		ok     = "HTTP/1.1 200 OK\r\n"
		length = "Content-Length: 3\r\n"
		coding = "Transfer-Encoding: chunked\r\n"
		head   = ok + length + "\r\n"
	)
	tests := map[string]struct {
		text     string
		toHead   bool
		want     error
		wantDone bool // the bytes end with a whole response
	}{
		"length":                      {text: head + "abc", wantDone: true},
		"length, in other letters":    {text: ok + "content-length:3\r\n\r\nabc", wantDone: true},
		"length 0":                    {text: ok + "Content-Length: 0\r\n\r\n", wantDone: true},
		"same length twice":           {text: ok + length + length + "\r\nabc", wantDone: true},
		"chunks":                      {text: ok + coding + "\r\n3\r\nabc\r\nA;x=y\r\n0123456789\r\n0\r\n\r\n", wantDone: true},
		"trailer":                     {text: ok + coding + "\r\n3 \r\nabc\r\n0\r\nX: y\r\n\r\n", wantDone: true},
		"no reason":                   {text: "HTTP/1.1 200\r\n" + length + "\r\nabc", wantDone: true},
		"spaces around a value":       {text: ok + length + "X:\t y z \t\r\n\r\nabc", wantDone: true},
		"value in another code":       {text: ok + length + "X: \xe9\r\n\r\nabc", wantDone: true},
		"no content":                  {text: "HTTP/1.1 204 No Content\r\n\r\n", wantDone: true},
		"no content, length 0":        {text: "HTTP/1.1 204 No Content\r\nContent-Length: 0\r\n\r\n", wantDone: true},
		"not modified":                {text: "HTTP/1.1 304 Not Modified\r\n" + length + "\r\n", wantDone: true},
		"to HEAD":                     {text: head, toHead: true, wantDone: true},
		"interim":                     {text: "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n" + head + "abc", wantDone: true},
		"several":                     {text: head + "abc" + head + "abc", wantDone: true},
		"last status":                 {text: "HTTP/1.1 599 X\r\n" + length + "\r\nabc", wantDone: true},
		"nothing":                     {wantDone: true},
		"until the end":               {text: ok + "\r\nabc"},
		"until the end, HTTP/1.0":     {text: "HTTP/1.0 200 OK\r\n\r\nabc"},
		"other protocol":              {text: "HTTP/1.1 101 Switching Protocols\r\n\r\n\x00\n"},
		"part of a status line":       {text: "HTTP/1.1 20"},
		"part of a head":              {text: ok + length},
		"part of a body":              {text: head + "ab"},
		"part of a chunk":             {text: ok + coding + "\r\n3\r\nab"},
		"no last chunk":               {text: ok + coding + "\r\n3\r\nabc\r\n"},
		"part of a trailer":           {text: ok + coding + "\r\n0\r\nX: y\r\n"},
		"bytes after it":              {text: head + "abcxyz"},
		"line after it":               {text: head + "abcxyz\r\n", want: ErrStatus},
		"space in a name":             {text: ok + "X Y: z\r\n" + length + "\r\nabc", want: ErrName},
		"space before the colon":      {text: ok + "Content-Length : 3\r\n\r\nabc", want: ErrName},
		"tab before the colon":        {text: ok + "X\t: z\r\n" + length + "\r\nabc", want: ErrName},
		"control byte in a name":      {text: ok + "X\x01: z\r\n" + length + "\r\nabc", want: ErrName},
		"zero byte in a name":         {text: ok + "X\x00: z\r\n" + length + "\r\nabc", want: ErrName},
		"other code in a name":        {text: ok + "\xe9: z\r\n" + length + "\r\nabc", want: ErrName},
		"empty name":                  {text: ok + ": z\r\n" + length + "\r\nabc", want: ErrName},
		"no colon":                    {text: ok + "X\r\n" + length + "\r\nabc", want: ErrName},
		"continued field":             {text: ok + "X: y\r\n z: a\r\n" + length + "\r\nabc", want: ErrName},
		"line feed for the last line": {text: ok + length + "\n\r\nabc", want: ErrLineEnd},
		"line feed in a name":         {text: ok + "X\nY: z\r\n" + length + "\r\nabc", want: ErrLineEnd},
		"carriage return in a name":   {text: ok + "X\rY: z\r\n" + length + "\r\nabc", want: ErrLineEnd},
		"two carriage returns":        {text: ok + length + "\r\r\nabc", want: ErrLineEnd},
		"control byte in a value":     {text: ok + "X: \x1f\r\n" + length + "\r\nabc", want: ErrValue},
		"delete in a value":           {text: ok + "X: \x7f\r\n" + length + "\r\nabc", want: ErrValue},
		"control byte in a reason":    {text: "HTTP/1.1 200 \x01\r\n" + length + "\r\nabc", want: ErrStatus},
		"name in a trailer":           {text: ok + coding + "\r\n0\r\nX Y: z\r\n\r\n", want: ErrName},
		"line feed in a trailer":      {text: ok + coding + "\r\n0\r\n\nX: y\r\n\r\n", want: ErrLineEnd},
		"empty line first":            {text: "\r\n" + head + "abc", want: ErrStatus},
		"other version":               {text: "HTTP/2.0 200 OK\r\n" + length + "\r\nabc", want: ErrStatus},
		"other protocol's version":    {text: "HTTP/1.x 200 OK\r\n" + length + "\r\nabc", want: ErrStatus},
		"four digits":                 {text: "HTTP/1.1 2000 OK\r\n" + length + "\r\nabc", want: ErrStatus},
		"two digits":                  {text: "HTTP/1.1 20  OK\r\n" + length + "\r\nabc", want: ErrStatus},
		"letter in the status":        {text: "HTTP/1.1 2x0 OK\r\n" + length + "\r\nabc", want: ErrStatus},
		"sign in the status":          {text: "HTTP/1.1 +20 OK\r\n" + length + "\r\nabc", want: ErrStatus},
		"status 000":                  {text: "HTTP/1.1 000 OK\r\n" + length + "\r\nabc", want: ErrStatus},
		"status 099":                  {text: "HTTP/1.1 099 OK\r\n" + length + "\r\nabc", want: ErrStatus},
		"status 600":                  {text: "HTTP/1.1 600 OK\r\n" + length + "\r\nabc", want: ErrStatus},
		"two lengths":                 {text: ok + length + "Content-Length: 4\r\n\r\nabc", want: ErrLength},
		"list of lengths":             {text: ok + "Content-Length: 3, 3\r\n\r\nabc", want: ErrLength},
		"signed length":               {text: ok + "Content-Length: +3\r\n\r\nabc", want: ErrLength},
		"negative length":             {text: ok + "Content-Length: -3\r\n\r\nabc", want: ErrLength},
		"empty length":                {text: ok + "Content-Length:\r\n\r\nabc", want: ErrLength},
		"length of 64 bits":           {text: ok + "Content-Length: 9223372036854775808\r\n\r\nabc", want: ErrLength},
		"length and coding":           {text: ok + length + coding + "\r\n0\r\n\r\n", want: ErrLength},
		"coding and length":           {text: ok + coding + length + "\r\n0\r\n\r\n", want: ErrLength},
		"two codings":                 {text: ok + coding + coding + "\r\n0\r\n\r\n", want: ErrLength},
		"other coding":                {text: ok + "Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n", want: ErrLength},
		"coding in HTTP/1.0":          {text: "HTTP/1.0 200 OK\r\n" + coding + "\r\n0\r\n\r\n", want: ErrLength},
		"interim with a length":       {text: "HTTP/1.1 103 Early Hints\r\n" + length + "\r\nabc", want: ErrLength},
		"interim with a coding":       {text: "HTTP/1.1 100 Continue\r\n" + coding + "\r\n0\r\n\r\n", want: ErrLength},
		"no content, length":          {text: "HTTP/1.1 204 No Content\r\n" + length + "\r\nabc", want: ErrLength},
		"no content, coding":          {text: "HTTP/1.1 204 No Content\r\n" + coding + "\r\n0\r\n\r\n", want: ErrLength},
		"no size":                     {text: ok + coding + "\r\n\r\n", want: ErrChunk},
		"size with a prefix":          {text: ok + coding + "\r\n0x3\r\nabc\r\n0\r\n\r\n", want: ErrChunk},
		"negative size":               {text: ok + coding + "\r\n-3\r\nabc\r\n0\r\n\r\n", want: ErrChunk},
		"size of 64 bits":             {text: ok + coding + "\r\nffffffffffffffff\r\nabc\r\n0\r\n\r\n", want: ErrChunk},
		"control byte after size":     {text: ok + coding + "\r\n3;\x01\r\nabc\r\n0\r\n\r\n", want: ErrChunk},
		"chunk longer than stated":    {text: ok + coding + "\r\n3\r\nabcd\r\n0\r\n\r\n", want: ErrChunk},
		"line feed after size":        {text: ok + coding + "\r\n3\nabc\r\n0\r\n\r\n", want: ErrLineEnd},
		"line feed after chunk":       {text: ok + coding + "\r\n3\r\nabc\n0\r\n\r\n", want: ErrLineEnd},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			whole := Checker{ToHead: tt.toHead}
			_, err := check(&whole, tt.text, max(len(tt.text), 1))
			if !errors.Is(err, tt.want) || whole.Done() != tt.wantDone {
				t.Fatalf("got error %v, done %v, want %v, %v", err, whole.Done(), tt.want, tt.wantDone)
			}
			for size := 1; size < len(tt.text); size++ {
				c := Checker{ToHead: tt.toHead}
				if _, got := check(&c, tt.text, size); !errors.Is(got, err) || c.Done() != whole.Done() {
					t.Errorf("in parts of %d bytes: got error %v, done %v, want %v, %v", size, got, c.Done(), err, whole.Done())
				}
			}
			if n, again := whole.Check([]byte(head)); err != nil && (n != 0 || !errors.Is(again, err)) {
				t.Errorf("after an error: got %d bytes passed on, error %v, want 0, %v", n, again, err)
			}
		})
	}
}

// Guards against a malformed line that is passed on, and against a whole response that is held back because of bytes after it.
func TestCheckerPasses(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n"
	tests := map[string]struct{ sound, malformed string }{
		"status line":  {"", "HTTP/1.1 000 X\r\n\r\n"},
		"field":        {head, "X Y: z\r\n\r\n0\r\n\r\n"},
		"line end":     {head, "\n0\r\n\r\n"},
		"size":         {head + "\r\n", "x\r\n"},
		"end of chunk": {head + "\r\n1\r\na", "b\r\n"},
		"trailer":      {head + "\r\n0\r\n", "X Y: z\r\n\r\n"},
		"after it":     {head + "\r\n0\r\n\r\n", "extra\r\n"},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			var c Checker
			text := tt.sound + tt.malformed
			if got, err := check(&c, text, len(text)); err == nil || got != len(tt.sound) {
				t.Errorf("got %d bytes passed on and error %v, want %d and an error", got, err, len(tt.sound))
			}
		})
	}
}

// FuzzChecker looks for a response that the Checker takes for whole and net/http does not, or with another end.
func FuzzChecker(f *testing.F) {
	for _, text := range []string{
		"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\nabc",
		"HTTP/1.1 204 No Content\r\n\r\n",
		"HTTP/1.1 304 Not Modified\r\nContent-Length: 3\r\n\r\n",
		"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\nTrailer: X\r\n\r\n3;x=y\r\nabc\r\n0\r\nX: y\r\n\r\n",
		"HTTP/1.0 200 OK\r\nConnection: keep-alive\r\nContent-Length: 0\r\n\r\n",
		"HTTP/1.1 200 OK\r\nContent-Length : 3\r\n\r\nabc",
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n",
	} {
		f.Add([]byte(text))
	}
	f.Fuzz(func(t *testing.T, b []byte) {
		var c Checker
		end := 0 // of the first response
		for ; end < len(b) && (end == 0 || !c.Done()); end++ {
			if _, err := c.Check(b[end : end+1]); err != nil {
				return
			}
		}
		if !c.Done() || end == 0 {
			return
		}
		r := bufio.NewReader(bytes.NewReader(b[:end]))
		resp, err := http.ReadResponse(r, nil)
		if err == nil {
			_, err = io.Copy(io.Discard, resp.Body)
		}
		if err != nil && !errors.Is(err, io.ErrUnexpectedEOF) {
			return // net/http is stricter in some respects, such as the names in Trailer
		}
		if rest, _ := io.ReadAll(r); err != nil || len(rest) > 0 {
			t.Errorf("read by net/http: got error %v, %q left, want the end of %q", err, rest, b[:end])
		}
	})
}
