package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"briarworks.example/briarworks/internal/applog"
	"briarworks.example/briarworks/internal/fakes"
	"briarworks.example/briarworks/internal/record"
	"briarworks.example/briarworks/internal/record/recpb"
	"briarworks.example/briarworks/pkg/audit"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/reason"
)

// Guards against a record that passes for whole although its oldest part expired while it was read, and
// against one that passes for complete up to now while nodes have refusals that they have not written.
func TestRecord(t *testing.T) {
	tests := map[string]struct {
		keep    int // records that the log keeps
		during  int // batches written between the first page and the next
		closes  bool
		records int
		lost    int64
	}{
		"running":            {keep: 10_000, records: 601},
		"ended":              {keep: 10_000, closes: true, records: 602},
		"trimmed meanwhile":  {keep: 700, during: 800, records: pageSize + 700, lost: 1401 - 700 - pageSize},
		"written meanwhile":  {keep: 10_000, during: 800, records: 1401},
		"trimmed, not by it": {keep: 700, during: 200, records: 801},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			log := &fakes.Log{MaxCount: tt.keep}
			noted := time.Now().Add(-time.Hour)
			seq := ident.Seq(0)
			put := func(r *recpb.Record) {
				data, err := record.EncodeGroup([]*recpb.Record{r})
				if err != nil {
					t.Error(err)
				}
				log.Append(string(applog.Refusals), data)
			}
			batches := func(n int) {
				for range n {
					seq++
					put(record.FromBatch(audit.Batch{Server: "s", Incarnation: 1, First: seq, Last: seq, Entries: []audit.Entry{{
						Kind: "k", Reason: reason.Overload, Outcome: reason.NotRun, Count: 1, First: noted, Last: noted,
					}}}))
				}
			}
			put(record.FromOpen(audit.Open{Server: "s", Incarnation: 1}))
			batches(600)
			if tt.closes {
				put(record.FromClose(audit.Close{Server: "s", Incarnation: 1, Last: seq}))
			}
			var once sync.Once
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				log.ServeHTTP(w, r)
				once.Do(func() { batches(tt.during) })
			}))
			defer srv.Close()
			at := strings.TrimPrefix(srv.URL, "http://")
			file := filepath.Join(t.TempDir(), "record")
			var e exportResult
			runJSON(t, &e, "refusals", "export", "--log", at, "--to", file)
			if e.Records != tt.records || e.Lost != tt.lost || e.Expired != 0 {
				t.Errorf("export: got %+v, want %d records and %d lost", e, tt.records, tt.lost)
			}
			var s summary
			runJSON(t, &s, "refusals", "summary", "--file", file)
			if got, want := s.Complete, tt.lost == 0; got != want {
				t.Errorf("summary of the export: got complete %v with gaps %+v, want %v", got, s.Gaps, want)
			}
			before := time.Now()
			runJSON(t, &s, "refusals", "summary", "--log", at)
			open := audit.MaxWriteDelay
			if tt.closes {
				open = 0
			}
			if s.Until == nil || s.Until.Before(before.Add(-open)) || s.Until.After(time.Now().Add(-open)) {
				t.Errorf("until: got %v, want %v before now", s.Until, open)
			}
		})
	}
}

// runJSON runs a command and decodes what it printed as JSON.
func runJSON(t *testing.T, v any, args ...string) {
	t.Helper()
	out, err := runCommand(append(args, "--output", "json")...)
	if err == nil {
		err = json.Unmarshal([]byte(out), v)
	}
	if err != nil {
		t.Fatalf("%v: got %s, %v", args, out, err)
	}
}
