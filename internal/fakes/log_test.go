package fakes

import (
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

const recordsPath = "/streams/s/records"

// serve sends a request to the log and reports whether the log aborted the connection.
func serve(l *Log, method, path, body string) (w *httptest.ResponseRecorder, aborted bool) {
	w = httptest.NewRecorder()
	defer func() { aborted = recover() == http.ErrAbortHandler }()
	l.ServeHTTP(w, httptest.NewRequest(method, path, bytes.NewBufferString(body)))
	return w, false
}

// Guards against a fault that is accepted over HTTP but has no effect or a different one.
func TestFaults(t *testing.T) {
	tests := map[string]struct {
		faults  string
		status  int
		aborted bool
		kept    int
	}{
		"none":        {`{}`, 200, false, 1},
		"down":        {`{"down":true}`, 503, false, 0},
		"refuse":      {`{"refuse":true}`, 200, true, 0},
		"lose next":   {`{"loseNext":1}`, 200, true, 1},
		"lose always": {`{"loseShare":1}`, 200, true, 1},
		"rate":        {`{"appendRate":1}`, 429, false, 0},
		"too slow":    {`{"slow":"30ms"}`, 504, false, 0},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			now := time.Unix(1000, 0)
			l := &Log{AppendTimeout: 10 * time.Millisecond, Now: func() time.Time { return now }}
			if w, _ := serve(l, "POST", "/faults", tt.faults); w.Code != 200 {
				t.Fatalf("set faults: got status %d, want 200", w.Code)
			}
			w, aborted := serve(l, "POST", recordsPath, "x")
			if w.Code != tt.status || aborted != tt.aborted {
				t.Errorf("append: got %d aborted %v, want %d %v", w.Code, aborted, tt.status, tt.aborted)
			}
			if got := len(l.Records("s").Records); got != tt.kept {
				t.Errorf("records kept: got %d, want %d", got, tt.kept)
			}
		})
	}
}

// Guards against retention that keeps too many records or shifts offsets, and against a wrong count of
// appends.
func TestRetention(t *testing.T) {
	now := time.Unix(1000, 0)
	l := &Log{MaxAge: time.Minute, MaxCount: 3, Now: func() time.Time { return now }}
	for range 5 {
		serve(l, "POST", recordsPath, "x")
		now = now.Add(25 * time.Second)
	}
	w, _ := serve(l, "GET", recordsPath+"?from=0&max=10&waitMs=0", "")
	var p LogPage
	if err := json.NewDecoder(w.Body).Decode(&p); err != nil {
		t.Fatalf("decode: got %v, want no error", err)
	}
	if p.First != 3 || p.Next != 5 || len(p.Records) != 2 || string(p.Records[0].Data) != "x" {
		t.Errorf("page: got %+v, want offsets 3 to 5", p)
	}
	w, _ = serve(l, "GET", "/stats", "")
	body, _ := io.ReadAll(w.Body)
	var s LogStats
	if err := json.Unmarshal(body, &s); err != nil || s.Appends["s"] != 5 || s.Trimmed != 3 {
		t.Errorf("stats: got %s %v, want 5 appends and 3 trimmed", body, err)
	}
}
