package life

import (
	"time"

	"briarworks.example/briarworks/pkg/ident"
)

// Phase is what a server may be used for.
type Phase uint8

// Phases of a server; the zero value is a server that was not heard of.
const (
	Unknown  Phase = iota // not heard of since the node started
	Ready                 // takes new work
	Draining              // ends its work and takes no new one
	Gone                  // has said that it leaves
)

var phases = [...]string{"unknown", "ready", "draining", "gone"}

// String returns the name used in logs.
func (p Phase) String() string {
	if int(p) < len(phases) {
		return phases[p]
	}
	return "unlisted"
}

// Seq numbers the reports of one run of a server.
type Seq uint64

// Report is one message of a server about itself.
type Report struct {
	Instance ident.Instance
	Born     time.Time // start of the run; zero when the report does not tell
	Seq      Seq       // 0 when the report does not tell
	Phase    Phase
	Slots    ident.Slots   // 0 when the report does not tell
	Cold     time.Duration // time for which the server stays slow after its start
}

// State is what is known of the server; the zero value is a server that was not heard of.
type State struct {
	Report
}

// Take joins a report into the state and reports whether the state changed. A report of an earlier run, an
// older one of the same run, and a departure of another instance leave the state as it is.
func (s *State) Take(r Report) (changed bool) {
	if s.Phase == Unknown {
		s.Report = r
		return r.Phase != Unknown
	}
	if s.newer(r) {
		s.Report = r
		return true
	}
	if r.Instance != s.Instance || s.older(r) || r.Phase < s.Phase {
		return false
	}
	if !r.Born.IsZero() {
		s.Born = r.Born
	}
	s.Seq = max(s.Seq, r.Seq)
	if r.Slots == 0 {
		r.Slots = s.Slots
	}
	changed = r.Phase != s.Phase || r.Slots != s.Slots
	s.Phase, s.Slots = r.Phase, r.Slots
	return changed
}

// newer reports whether a report belongs to a later run. One that tells no start cannot show this, but for
// an instance that replaces one that has gone.
func (s *State) newer(r Report) bool {
	if r.Born.IsZero() || s.Born.IsZero() {
		return r.Instance != s.Instance && r.Phase != Gone && (s.Phase == Gone || s.Born.IsZero() && !r.Born.IsZero())
	}
	return r.Born.After(s.Born)
}

// older reports whether a report is of an earlier run or was overtaken by another one.
func (s *State) older(r Report) bool {
	if !r.Born.IsZero() && r.Born.Before(s.Born) {
		return true
	}
	return r.Seq != 0 && r.Seq <= s.Seq
}
