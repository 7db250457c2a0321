package applog

import (
	"errors"
	"fmt"
	"strings"
	"testing"

	"briarworks.example/briarworks/internal/probe"
)

// Guards against a response of the log that is taken for an acknowledgement or for a page although it is cut, or has several
// readings.
func TestBrokenResponse(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	length := func(body string, more int) string {
		return fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body)+more, body)
	}
	tests := map[string]struct {
		text  func(body string) string
		sound bool
	}{
		"sound":                  {func(b string) string { return ok + length(b, 0) }, true},
		"sound, until the end":   {func(b string) string { return ok + "\r\n" + b }, true},
		"cut after the document": {func(b string) string { return ok + length(b, 1) }, false},
		"no last chunk": {func(b string) string {
			return ok + fmt.Sprintf("Transfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n", len(b), b)
		}, false},
		"two documents":                   {func(b string) string { return ok + length(b+b, 0) }, false},
		"space in a name":                 {func(b string) string { return ok + "X Y: z\r\n" + length(b, 0) }, false},
		"space before the length's colon": {func(b string) string { return ok + strings.Replace(length(b, 0), ":", " :", 1) }, false},
		"line feeds for line ends":        {func(b string) string { return strings.ReplaceAll(ok+length(b, 0), "\r", "") }, false},
		"status 000":                      {func(b string) string { return "HTTP/1.1 000 X\r\n" + length(b, 0) }, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			c := &Client{BaseURL: "http://" + string(probe.Respond(t, tt.text(`{"offset":7}`)))}
			defer c.client().CloseIdleConnections()
			at, err := c.Append(t.Context(), "s", []byte("x"))
			if tt.sound && (err != nil || at != 7) || !tt.sound && !errors.Is(err, ErrUnknown) {
				t.Errorf("append: got %d, error %v, want sound: %v", at, err, tt.sound)
			}
			c.BaseURL = "http://" + string(probe.Respond(t, tt.text(`{"first":0,"next":7,"records":[]}`)))
			p, err := c.Read(t.Context(), "s", 0, 1, 0)
			if (err == nil) != tt.sound || err == nil && p.Next != 7 {
				t.Errorf("read: got %d, error %v, want sound: %v", p.Next, err, tt.sound)
			}
		})
	}
}
