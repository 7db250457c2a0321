package life

import (
	"time"

	"briarworks.example/briarworks/pkg/ident"
)

// Phase is the stage of a server in its lifecycle.
type Phase uint8

// Phases of a server, in the order in which a run passes through them.
const (
	Unknown  Phase = iota // no report since the node started
	Ready                 // accepts new requests
	Draining              // completes its running requests and accepts no new ones
	Gone                  // has announced its departure
)

var phaseNames = [...]string{"unknown", "ready", "draining", "gone"}

// String returns the name used in logs.
func (p Phase) String() string {
	if int(p) < len(phaseNames) {
		return phaseNames[p]
	}
	return "unlisted"
}

// Seq is the sequence number of a report within one run of a server.
type Seq uint64

// Report is a status message from a server.
type Report struct {
	Instance  ident.Instance
	Born      time.Time // start of the run; zero if unknown
	Seq       Seq       // 0 if unknown
	Phase     Phase
	Slots     ident.Slots   // 0 if unknown
	ColdStart time.Duration // duration of the cold start
}

// Notice is what a response of a server says about the server itself, besides answering its request.
type Notice struct {
	Instance  ident.Instance // that the request was sent to; "" if unknown
	SentAt    time.Time      // when the request was sent; the server may have responded at any later time
	Limited   bool           // the server states a Limit
	Limit     ident.Rate     // requests that it accepts from all callers together, for as long as its responses state it
	Unlimited bool           // the server states no limit; neither this nor Limited is set if its limit cannot be read
	Leaving   bool           // the server is about to end
}

// Run identifies one run of a server. The zero value is no run.
type Run struct {
	Instance ident.Instance
	Born     time.Time // zero if unknown
}

// State is the merged state of a server. The zero value is a server without any report.
type State struct {
	Report
}

// Merge merges a report into the state and returns whether the state changed. It ignores reports of earlier runs,
// outdated reports of the same run, and departures of other instances.
func (s *State) Merge(r Report) (changed bool) {
	if s.Phase == Unknown {
		if !r.Born.IsZero() && r.Born.Before(s.Born) {
			return false
		}
		s.Report = r
		return r.Phase != Unknown
	}
	if s.isNewerRun(r) {
		s.Report = r
		return true
	}
	if r.Instance != s.Instance || s.isStale(r) || r.Phase < s.Phase {
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

// Restore merges what the node has recorded about a run of the server, which it may have done before it restarted, and returns
// whether the state changed. A run that departed is not taken up again; of another one, reports of earlier runs are ignored.
func (s *State) Restore(r Run, departed bool) (changed bool) {
	switch {
	case r.Instance == "":
		return false
	case departed:
		return s.Merge(Report{Instance: r.Instance, Born: r.Born, Phase: Gone})
	case s.Phase == Unknown && r.Born.After(s.Born):
		s.Instance, s.Born = r.Instance, r.Born
	}
	return false
}

// Run returns the run that the state describes.
func (s *State) Run() Run { return Run{s.Instance, s.Born} }

// Describes reports whether the state may describe a run. A run whose start time is not known is compared by its instance.
func (s *State) Describes(r Run) bool {
	return s.Phase == Unknown || s.Instance == r.Instance && (s.Born.IsZero() || r.Born.IsZero() || s.Born.Equal(r.Born))
}

// Concerns reports whether a notice is about the run that the state describes. A response may be handled after the server
// was replaced or has restarted under its name.
func (s *State) Concerns(n Notice) bool {
	return s.Phase != Unknown && (n.Instance == "" || n.Instance == s.Instance) && !s.Born.After(n.SentAt)
}

// isNewerRun reports whether r belongs to a later run. Unless both start times are known, that holds only for
// another instance that is not departing, and only if the known one is gone or r alone has a start time.
func (s *State) isNewerRun(r Report) bool {
	if r.Born.IsZero() || s.Born.IsZero() {
		return r.Instance != s.Instance && r.Phase != Gone && (s.Phase == Gone || s.Born.IsZero() && !r.Born.IsZero())
	}
	return r.Born.After(s.Born)
}

// isStale reports whether r belongs to an earlier run or is not newer than the last report of this run. A run never returns from a
// later phase, so a report that it leaves is true whenever it arrives, also behind one of another writer with a large sequence
// number.
func (s *State) isStale(r Report) bool {
	if !r.Born.IsZero() && r.Born.Before(s.Born) {
		return true
	}
	return r.Seq != 0 && r.Seq <= s.Seq && r.Phase <= s.Phase
}
