package main

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"os"
	"path/filepath"
	"sync"
	"time"
)

// Exit statuses of a case.
const (
	held   = 0 // the rule was kept
	broken = 1
	failed = 2 // the case could not run
)

// scenario plays one case and reports whether the rule was broken; trouble is false if the disruption is left out.
type scenario func(ctx context.Context, rec *record, trouble bool) (isBroken bool, err error)

var scenarios = map[string]scenario{
	"lost":     playLost,
	"drain":    playDrain,
	"smuggled": playSmuggled,
	"gone":     playGone,
}

// caseTimeout bounds a case.
const caseTimeout = 100 * time.Second

func main() { os.Exit(play()) }

// play plays the scenario of the command line and returns the exit status.
func play() int {
	if len(os.Args) != 3 || scenarios[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: standin SCENARIO FOLDER")
		return failed
	}
	file, err := os.Create(filepath.Join(os.Args[2], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return failed
	}
	defer func() { _ = file.Close() }()
	w := bufio.NewWriter(file)
	rec := &record{start: time.Now(), w: w}
	trouble := os.Getenv("TROUBLE") != "0"
	rec.printf("scenario %s, disruption: %t", os.Args[1], trouble)
	ctx, cancel := context.WithTimeout(context.Background(), caseTimeout)
	defer cancel()
	isBroken, err := scenarios[os.Args[1]](ctx, rec, trouble)
	status := held
	switch {
	case err != nil:
		rec.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		status = failed
	case isBroken:
		status = broken
	}
	rec.printf("exit status %d", status)
	rec.mu.Lock()
	defer rec.mu.Unlock()
	_ = w.Flush()
	return status
}

// record writes what was sent, answered and run to the file of a case.
type record struct {
	mu    sync.Mutex
	start time.Time
	w     io.Writer
}

// printf writes one line with the time since the start of the case.
func (r *record) printf(format string, args ...any) {
	r.mu.Lock()
	defer r.mu.Unlock()
	_, _ = fmt.Fprintf(r.w, "%8.3f "+format+"\n", append([]any{time.Since(r.start).Seconds()}, args...)...)
}
