package server

import (
	"net/http"
	"testing"

	"briarworks.example/briarworks/internal/probe"
	"briarworks.example/briarworks/pkg/reason"
)

// Guards against a response that another reader would read in another way: its head is passed on with a malformed field, or the
// body that the caller gets is not the one that the server sent.
func TestBrokenHead(t *testing.T) {
	const (
		ok     = "HTTP/1.1 200 OK\r\n"
		length = "Content-Length: 3\r\n"
		inner  = "HTTP/1.1 200 OK\r\nContent-Length: 5\r\n\r\ninner" // 43 bytes
	)
	tests := map[string]string{
		"space inside a name":              ok + "X Y: z\r\n" + length + "\r\nabc",
		"space before the colon":           ok + "X-Y : z\r\n" + length + "\r\nabc",
		"space before the length's colon":  ok + "Content-Length : 3\r\n\r\nabcdef",
		"space before the coding's colon":  ok + "Transfer-Encoding : chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"space first":                      ok + " X-Y: z\r\n" + length + "\r\nabc",
		"tab before the colon":             ok + "X-Y\t: z\r\n" + length + "\r\nabc",
		"control byte inside a name":       ok + "X\x01Y: z\r\n" + length + "\r\nabc",
		"zero byte inside a name":          ok + "X\x00Y: z\r\n" + length + "\r\nabc",
		"delete inside a name":             ok + "X\x7fY: z\r\n" + length + "\r\nabc",
		"carriage return inside a name":    ok + "X\rY: z\r\n" + length + "\r\nabc",
		"carriage return first":            ok + "\rX-Y: z\r\n" + length + "\r\nabc",
		"line feed first":                  ok + "\n" + length + "\r\nabc",
		"line feed first, after a field":   ok + "X-Y: z\r\n\n" + length + "\r\nabc",
		"line feed inside a name":          ok + "X\nContent-Length: 3\r\n\r\nabc",
		"line feed inside a value":         ok + "X-Y: z\n" + length + "\r\nabc",
		"line feeds for line ends":         "HTTP/1.1 200 OK\nContent-Length: 3\n\nabc",
		"byte of another code in a name":   ok + "X\xe9: z\r\n" + length + "\r\nabc",
		"no name":                          ok + ": z\r\n" + length + "\r\nabc",
		"no colon":                         ok + "X-Y\r\n" + length + "\r\nabc",
		"continued field":                  ok + "X-Y: z\r\n " + length + "\r\nabc",
		"control byte in a value":          ok + "X-Y: \x01\r\n" + length + "\r\nabc",
		"control byte in the reason":       "HTTP/1.1 200 O\x01K\r\n" + length + "\r\nabc",
		"length and coding":                ok + length + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"coding in HTTP/1.0":               "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"coding in HTTP/1.0, and length":   "HTTP/1.0 200 OK\r\nTransfer-Encoding: chunked\r\n" + length + "\r\n3\r\nabc\r\n0\r\n\r\n",
		"two codings":                      ok + "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n",
		"signed length":                    ok + "Content-Length: +3\r\n\r\nabc",
		"other version":                    "HTTP/3.7 200 OK\r\n" + length + "\r\nabc",
		"malformed trailer":                ok + "Transfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\nX Y: z\r\n\r\n",
		"interim response with a length":   "HTTP/1.1 103 Early Hints\r\nContent-Length: 43\r\n\r\n" + inner,
		"response without content, length": "HTTP/1.1 204 No Content\r\n" + length + "\r\nabc",
		"two tokens":                       ok + HeaderToken + ": token\r\n" + HeaderToken + ": other\r\n" + length + "\r\nabc",
		"status 000":                       "HTTP/1.1 000 X\r\n" + length + "\r\nabc",
		"status 000, no length":            "HTTP/1.1 000 X\r\n\r\n",
		"status 000, then a response":      "HTTP/1.1 000 X\r\nContent-Length: 43\r\n\r\n" + inner,
		"status 099, then a response":      "HTTP/1.1 099 X\r\n\r\n" + inner,
		"status with a sign":               "HTTP/1.1 +20 X\r\n\r\n" + inner,
		"status 600":                       "HTTP/1.1 600 X\r\n" + length + "\r\nabc",
		"status 999":                       "HTTP/1.1 999 X\r\n" + length + "\r\nabc",
		"two spaces before the status":     "HTTP/1.1  200 OK\r\n" + length + "\r\nabc",
	}
	for name, text := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			c := New(newScriptedServer(t, respond(text)).addr, 1)
			defer c.Close()
			req, now := request(longTimeout)
			if res := c.Run(t.Context(), req, "token", now); res.Outcome != reason.Unknown || res.Reason != reason.ServerFailed {
				t.Errorf("got %v %v status %d header %q body %q, want unknown serverFailed", res.Outcome, res.Reason, res.Status, res.Header, res.Body)
			}
		})
	}
}

// Guards against a part of a response that reaches the caller as the whole: the server responds without a length while the
// request is still being written, and resets the connection. The write then fails with the reset, and the next read reports a
// plain end of the connection.
func TestResetDuringUpload(t *testing.T) {
	const upload = 32 << 20 // more than the buffers of the sockets hold
	tests := map[string]struct {
		text string
		want reason.Outcome
	}{
		"no length":           {"HTTP/1.1 200 OK\r\n\r\npart", reason.Unknown},
		"no length, HTTP/1.0": {"HTTP/1.0 200 OK\r\n\r\npart", reason.Unknown},
		"no length, no body":  {"HTTP/1.1 200 OK\r\n\r\n", reason.Unknown},
		"shorter than stated": {"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\npart", reason.Unknown},
		"chunks without end":  {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n", reason.Unknown},
		"whole, by length":    {"HTTP/1.1 413 No\r\nContent-Length: 4\r\n\r\npart", reason.Ran},
		"whole, in chunks":    {"HTTP/1.1 413 No\r\nTransfer-Encoding: chunked\r\n\r\n4\r\npart\r\n0\r\n\r\n", reason.Ran},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			client := New(probe.RespondAndReset(t, tt.text), 1)
			defer client.Close()
			req, now := request(longTimeout)
			req.Method, req.Body = http.MethodPost, make([]byte, upload)
			res := client.Run(t.Context(), req, "token", now)
			if res.Outcome != tt.want || res.Outcome == reason.Ran && string(res.Body) != "part" {
				t.Errorf("got %v %v status %d body %q, want %v", res.Outcome, res.Reason, res.Status, res.Body, tt.want)
			}
		})
	}
}
