package main

import (
	"context"
	"errors"
	"fmt"
	"os"
	"os/signal"
	"path/filepath"
	"syscall"
	"time"
)

// Exit statuses of a case.
const (
	statusHeld   = 0 // the rule held
	statusBroken = 1 // the rule was broken
	statusNotRun = 2 // the case could not run
)

// caseTimeout bounds one case; a script may take 120 s.
const caseTimeout = 100 * time.Second

// playFunc plays a case and returns how often the rule was broken. It disturbs the fleet only if trouble is set.
type playFunc func(ctx context.Context, f *fleet, trouble bool) (broken int, err error)

func main() {
	if len(os.Args) != 3 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: driver CASE FOLDER")
		os.Exit(statusNotRun)
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, os.Interrupt)
	ctx, cancel := context.WithTimeout(ctx, caseTimeout)
	status, err := runCase(ctx, cases[os.Args[1]], os.Args[2], os.Getenv("TROUBLE") != "0")
	cancel()
	stop()
	if err != nil {
		fmt.Fprintln(os.Stderr, "driver: the case could not run:", err)
	}
	os.Exit(status)
}

// runCase plays a case and writes its record to a folder.
func runCase(ctx context.Context, play playFunc, folder string, trouble bool) (status int, err error) {
	rec, err := newRecorder(filepath.Join(folder, "record.txt"))
	if err != nil {
		return statusNotRun, err
	}
	defer func() { err = errors.Join(err, rec.close()) }()
	f, err := newFleet(rec)
	if err != nil {
		return statusNotRun, err
	}
	defer f.close()
	rec.printf("trouble: %v", trouble)
	broken, err := play(ctx, f, trouble)
	switch {
	case err != nil:
		rec.printf("the case could not run: %v", err)
		return statusNotRun, err
	case broken > 0:
		rec.printf("the rule was broken: %d requests", broken)
		fmt.Printf("broken: %d requests\n", broken)
		return statusBroken, nil
	}
	rec.printf("the rule held")
	fmt.Println("held")
	return statusHeld, nil
}
