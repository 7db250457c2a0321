package wire

import (
	"testing"

	"briarworks.example/briarworks/pkg/call"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/reason"
)

// Guards against an answer of another node that becomes a malformed response, or two of them, when it is written to a caller.
func TestBrokenAnswer(t *testing.T) {
	header := func(name, value string) []call.Header {
		return []call.Header{{Name: "X", Value: "y"}, {Name: name, Value: value}}
	}
	tests := map[string]struct {
		status int
		header []call.Header
		want   reason.Outcome
	}{
		"sound":                 {200, header("X-Kept", "a\tb \xe9"), reason.Ran},
		"empty value":           {599, header("X-Kept", ""), reason.Ran},
		"status 000":            {0, nil, reason.Unknown},
		"interim status":        {103, nil, reason.Unknown},
		"status 600":            {600, nil, reason.Unknown},
		"space in a name":       {200, header("X Y", "z"), reason.Unknown},
		"control byte in name":  {200, header("X\x01", "z"), reason.Unknown},
		"line end in a name":    {200, header("X\r\nY", "z"), reason.Unknown},
		"empty name":            {200, header("", "z"), reason.Unknown},
		"line end in a value":   {200, header("X", "y\r\n\r\nHTTP/1.1 200 OK"), reason.Unknown},
		"control byte in value": {200, header("X", "\x00"), reason.Unknown},
		"length":                {200, header("content-length", "3"), reason.Unknown},
		"coding":                {200, header("Transfer-Encoding", "chunked"), reason.Unknown},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			sent := call.Result{
				Outcome: reason.Ran, Status: tt.status, Header: tt.header, Body: []byte("body"), RetryBudgetLeft: 2, AdmittedFraction: 1,
			}
			got := ToResult(FromResult(1, &sent))
			if got.Outcome != tt.want {
				t.Errorf("outcome: got %v, want %v", got.Outcome, tt.want)
			}
			if got.Outcome == reason.Unknown && (got.Reason != reason.ServerFailed || got.Status != 0 || got.Header != nil || got.Body != nil) {
				t.Errorf("got %v status %d header %q body %q, want serverFailed with nothing of the answer", got.Reason, got.Status, got.Header, got.Body)
			}
			if want := ident.Tokens(2); got.RetryBudgetLeft != want {
				t.Errorf("retry budget: got %d, want %d, as sent", got.RetryBudgetLeft, want)
			}
		})
	}
}
