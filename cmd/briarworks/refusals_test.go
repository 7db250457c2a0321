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

// Guards against a record that counts as complete although records expired during the read, and against one
// that counts as complete up to now although running nodes may still have unwritten refusals.
func TestRecord(t *testing.T) {
	tests := map[string]struct {
		keep    int // maximum number of records that the log retains
		during  int // batches written between the first and the second page
		closes  bool
		records int
		lost    int64
	}{
		"running":            {keep: 10_000, records: 601},
		"ended":              {keep: 10_000, closes: true, records: 602},
		"trimmed in read":    {keep: 700, during: 800, records: pageSize + 700, lost: 1401 - 700 - pageSize},
		"written in read":    {keep: 10_000, during: 800, records: 1401},
		"trimmed after read": {keep: 700, during: 200, records: 801},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			log := &fakes.Log{MaxCount: tt.keep}
			refusedAt := time.Now().Add(-time.Hour)
			seq := ident.Seq(0)
			appendRecord := func(r *recpb.Record) {
				data, err := record.EncodeGroup([]*recpb.Record{r})
				if err != nil {
					t.Error(err)
				}
				log.Append(string(applog.Refusals), data)
			}
			appendBatches := func(n int) {
				for range n {
					seq++
					appendRecord(record.FromBatch(audit.Batch{Server: "s", Incarnation: 1, First: seq, Last: seq, Entries: []audit.Entry{{
						Kind: "k", Reason: reason.Overload, Outcome: reason.NotRun, Count: 1, First: refusedAt, Last: refusedAt,
					}}}))
				}
			}
			appendRecord(record.FromOpen(audit.Open{Server: "s", Incarnation: 1}))
			appendBatches(600)
			if tt.closes {
				appendRecord(record.FromClose(audit.Close{Server: "s", Incarnation: 1, Last: seq}))
			}
			var once sync.Once
			srv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				log.ServeHTTP(w, r)
				once.Do(func() { appendBatches(tt.during) })
			}))
			defer srv.Close()
			address := strings.TrimPrefix(srv.URL, "http://")
			file := filepath.Join(t.TempDir(), "record")
			var export exportResult
			runJSONCommand(t, &export, "refusals", "export", "--log", address, "--to", file)
			if export.Records != tt.records || export.Lost != tt.lost || export.Expired != 0 {
				t.Errorf("export: got %+v, want %d records and %d lost", export, tt.records, tt.lost)
			}
			var s summary
			runJSONCommand(t, &s, "refusals", "summary", "--file", file)
			if got, want := s.Complete, tt.lost == 0; got != want {
				t.Errorf("summary of the export: got complete %v with gaps %+v, want %v", got, s.Gaps, want)
			}
			before := time.Now()
			runJSONCommand(t, &s, "refusals", "summary", "--log", address)
			writeDelay := audit.MaxWriteDelay
			if tt.closes {
				writeDelay = 0
			}
			if s.Until == nil || s.Until.Before(before.Add(-writeDelay)) || s.Until.After(time.Now().Add(-writeDelay)) {
				t.Errorf("until: got %v, want %v before now", s.Until, writeDelay)
			}
		})
	}
}

// runJSONCommand runs a command and decodes its JSON output.
func runJSONCommand(t *testing.T, v any, args ...string) {
	t.Helper()
	out, err := runCommand(append(args, "--output", "json")...)
	if err == nil {
		err = json.Unmarshal([]byte(out), v)
	}
	if err != nil {
		t.Fatalf("%v: got %s, %v", args, out, err)
	}
}
