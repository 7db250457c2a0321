package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// recorder writes the record of a case: one line for each event, with the seconds since the start of the case.
type recorder struct {
	mu    sync.Mutex
	out   *os.File
	start time.Time
}

func newRecorder(path string) (*recorder, error) {
	out, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &recorder{out: out, start: time.Now()}, nil
}

func (r *recorder) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	fmt.Fprintf(r.out, "%8.3f  %s\n", time.Since(r.start).Seconds(), fmt.Sprintf(format, args...))
}

// since returns the seconds from the start of the case to a time.
func (r *recorder) since(t time.Time) float64 { return t.Sub(r.start).Seconds() }

func (r *recorder) close() error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.out.Close()
}
