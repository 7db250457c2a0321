package main

import (
	"fmt"
	"os"
	"path/filepath"
	"time"
)

// Exit statuses of a case.
const (
	statusHeld   = 0 // the rule held
	statusBroken = 1
	statusFailed = 2 // the case could not run
)

// cases are the cases by their number. Each returns whether the rule was broken.
var cases = map[string]func(log *journal, trouble bool) (broken bool, err error){
	"11": answersBehind,
	"12": lateRegistration,
	"13": overwrittenLeave,
	"14": forgottenLeave,
}

func main() {
	os.Exit(run())
}

func run() int {
	if len(os.Args) != 2 || cases[os.Args[1]] == nil {
		fmt.Fprintln(os.Stderr, "usage: lab NUMBER, in the root of the repository")
		return statusFailed
	}
	log, err := newJournal(filepath.Join("review", os.Args[1], "record.txt"))
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return statusFailed
	}
	trouble := os.Getenv("TROUBLE") != "0"
	log.printf("case %s, with the disruption: %t", os.Args[1], trouble)
	broken, err := cases[os.Args[1]](log, trouble)
	switch {
	case err != nil:
		log.printf("the case could not run: %v", err)
		fmt.Fprintln(os.Stderr, err)
		return statusFailed
	case broken:
		log.printf("the rule was broken")
		fmt.Println("broken")
		return statusBroken
	}
	log.printf("the rule held")
	fmt.Println("held")
	return statusHeld
}

// drainTime is drainMs of the small deployments.
const drainTime = 2 * time.Second

// lateArrivals records the requests that reached a run of a server later than drainMs after the acknowledgement of its leave,
// and returns their number. Only those count that clients sent after a time from which the machines are in touch.
func (f *fleet) lateArrivals(s *server, l *load, acked, inTouch time.Time) (n int) {
	for _, a := range s.reached() {
		if a.at.Sub(acked) <= drainTime || l.sentBy(a.id).at.Before(inTouch) {
			continue
		}
		if n++; n <= 10 {
			sent := l.sentBy(a.id)
			f.log.printf("request %s, sent to %s at %.3f, reached server %s of %s at %.3f, %.3f s after the acknowledgement",
				a.id, sent.machine, f.log.since(sent.at), s.instance, s.m.name, f.log.since(a.at), a.at.Sub(acked).Seconds())
		}
	}
	f.log.printf("requests that reached server %s later than %v after the acknowledgement: %d", s.instance, drainTime, n)
	return n
}
