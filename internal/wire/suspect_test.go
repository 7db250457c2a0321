package wire

import (
	"testing"
	"time"

	"briarworks.example/briarworks/internal/wire/wirepb"
	"briarworks.example/briarworks/pkg/blame"
)

// Guards against evidence of another node that is lost in encoding, and against taking evidence that cannot be read.
func TestSuspects(t *testing.T) {
	at := time.Unix(1_700_000_000, 5)
	suspect := blame.Suspect{ID: blame.ID{1, 2}, Ends: []blame.End{{Server: "a", At: at}}, Cleared: at}
	valid := FromSuspects([]blame.Suspect{suspect})[0]
	many := make([]*wirepb.Suspect, 2*blame.MaxSuspects)
	for i := range many {
		many[i] = valid
	}
	tests := map[string]struct {
		messages         []*wirepb.Suspect
		usable, unusable int
	}{
		"valid":             {[]*wirepb.Suspect{valid}, 1, 0},
		"nothing":           {nil, 0, 0},
		"empty":             {[]*wirepb.Suspect{{}}, 0, 1},
		"short identity":    {[]*wirepb.Suspect{{Id: valid.Id[:8]}}, 0, 1},
		"long identity":     {[]*wirepb.Suspect{{Id: append(valid.Id, 0)}}, 0, 1},
		"too many ends":     {[]*wirepb.Suspect{{Id: valid.Id, Ends: make([]*wirepb.ServerEnd, maxEnds+1)}}, 0, 1},
		"too many suspects": {many, blame.MaxSuspects, blame.MaxSuspects},
		"one of two":        {[]*wirepb.Suspect{{}, valid}, 1, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got, unusable := ToSuspects(tt.messages)
			if len(got) != tt.usable || unusable != tt.unusable {
				t.Fatalf("suspects: got %d and %d unusable, want %d and %d", len(got), unusable, tt.usable, tt.unusable)
			}
			for _, s := range got {
				if s.ID != suspect.ID || len(s.Ends) != 1 || !s.Ends[0].At.Equal(at) || s.Ends[0].Server != "a" || !s.Cleared.Equal(at) {
					t.Errorf("suspect: got %v, want %v", s, suspect)
				}
			}
		})
	}
}
