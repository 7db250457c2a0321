package wire

import (
	"strings"
	"time"

	"briarworks.example/briarworks/internal/wire/wirepb"
	"briarworks.example/briarworks/pkg/blame"
	"briarworks.example/briarworks/pkg/ident"
)

// FromSuspects returns the messages for suspects.
func FromSuspects(all []blame.Suspect) (out []*wirepb.Suspect) {
	for _, s := range all {
		m := &wirepb.Suspect{Id: s.ID[:]}
		for _, e := range s.Ends {
			m.Ends = append(m.Ends, &wirepb.ServerEnd{Server: string(e.Server), AtUnixNs: e.At.UnixNano()})
		}
		if !s.Cleared.IsZero() {
			m.ClearedUnixNs = s.Cleared.UnixNano()
		}
		out = append(out, m)
	}
	return out
}

// ToSuspects returns the suspects that messages describe, with strings of their own, and how many messages could not be used.
// At most blame.MaxSuspects are returned.
func ToSuspects(all []*wirepb.Suspect) (out []blame.Suspect, unusable int) {
	for _, m := range all {
		s := blame.Suspect{}
		if len(out) >= blame.MaxSuspects || len(m.GetId()) != len(s.ID) || len(m.GetEnds()) > maxEnds {
			unusable++
			continue
		}
		copy(s.ID[:], m.GetId())
		for _, e := range m.GetEnds() {
			s.Ends = append(s.Ends, blame.End{Server: ident.Server(strings.Clone(e.GetServer())), At: time.Unix(0, e.GetAtUnixNs())})
		}
		if ns := m.GetClearedUnixNs(); ns != 0 {
			s.Cleared = time.Unix(0, ns)
		}
		out = append(out, s)
	}
	return out, unusable
}

// maxEnds bounds the ends that a message of one suspect may have.
const maxEnds = 64
