package policy

import (
	"strconv"
	"testing"
	"time"

	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/order"
)

const usable = `fleet: test
dataCentres:
  - {name: here, region: here}
services:
  - {name: front, slots: 10, connections: 10, servers: 1, dataCentres: [here]}
ranks:
  - {name: only}
kinds:
  - {name: work, rank: only, service: front, method: GET, path: /work, deadline: 1s}
`

// Guards against a node that starts without rules, or with older rules than necessary, because the
// newest document on the log cannot be used.
func TestSettle(t *testing.T) {
	tests := map[string]struct {
		usable  []bool // of versions 1, 2, ...
		inForce ident.Version
		fault   bool
		changes int // calls of OnChange
	}{
		"newest usable":        {[]bool{true, true, true}, 3, false, 1},
		"newest unusable":      {[]bool{true, true, false}, 2, true, 1},
		"two newest unusable":  {[]bool{true, false, false}, 1, true, 1},
		"none usable":          {[]bool{false, false}, 0, true, 1},
		"more than maxPending": {append(make([]bool, 2*maxPending), true), 2*maxPending + 1, false, 1},
		"usable long ago only": {append([]bool{true}, make([]bool, 2*maxPending)...), 1, true, 1},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			changes := 0
			p := &Policy{Retention: time.Hour, OnChange: func(InForce) { changes++ }}
			p.Start(0)
			for i, ok := range tt.usable {
				doc := "not a document"
				if ok {
					doc = usable
				}
				p.Apply(ident.Offset(i), order.Record{Publish: &order.Publish{
					ID: ident.RecordID(strconv.Itoa(i)), Base: ident.Version(i), Document: doc, At: time.Unix(int64(i), 0),
				}})
			}
			p.Activate()
			c := p.Current()
			if got, want := c.Version, tt.inForce; got != want {
				t.Errorf("version in force: got %d, want %d", got, want)
			}
			if got, want := c.Accepted.Version, ident.Version(len(tt.usable)); got != want {
				t.Errorf("version accepted: got %d, want %d", got, want)
			}
			if got := c.Fault != ""; got != tt.fault {
				t.Errorf("fault: got %q, want one: %v", c.Fault, tt.fault)
			}
			if changes != tt.changes {
				t.Errorf("calls of OnChange: got %d, want %d", changes, tt.changes)
			}
		})
	}
}
