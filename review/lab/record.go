package main

import (
	"fmt"
	"os"
	"sync"
	"time"
)

// journal writes what happens to record.txt of the case, with the time since its start.
type journal struct {
	mu    sync.Mutex
	file  *os.File
	start time.Time
}

func newJournal(path string) (j *journal, err error) {
	f, err := os.Create(path)
	if err != nil {
		return nil, err
	}
	return &journal{file: f, start: time.Now()}, nil
}

// printf writes one line.
func (j *journal) printf(format string, args ...any) {
	j.mu.Lock()
	defer j.mu.Unlock()
	_, _ = fmt.Fprintf(j.file, "%8.3f  %s\n", time.Since(j.start).Seconds(), fmt.Sprintf(format, args...))
}

// since returns the time of an event as printf shows it.
func (j *journal) since(t time.Time) float64 { return t.Sub(j.start).Seconds() }
