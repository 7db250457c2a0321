package fleet

import (
	"math"
	"strings"
	"testing"
	"time"

	"briarworks.example/briarworks/pkg/ident"
)

// Guards against an entry of another writer that is taken as a member: no node could reach it, and one with an
// incarnation or a time far ahead would outrank the server's own announcements for ever.
func TestCheck(t *testing.T) {
	now := time.Unix(1_700_000_000, 0)
	tests := map[string]struct {
		change func(*Member)
		ok     bool
	}{
		"valid":                    {func(*Member) {}, true},
		"IP version 6":             {func(m *Member) { m.Address = "[::1]:7003" }, true},
		"clock ahead by an hour":   {func(m *Member) { m.Announced = now.Add(time.Hour) }, true},
		"leave mark":               {func(m *Member) { *m = Member{Server: "a", Incarnation: m.Incarnation, Left: true, Announced: now} }, true},
		"leave mark far ahead":     {func(m *Member) { *m = Member{Server: "a", Incarnation: math.MaxUint64, Left: true, Announced: now} }, false},
		"no server":                {func(m *Member) { m.Server = "" }, false},
		"long server name":         {func(m *Member) { m.Server = ident.Server(strings.Repeat("a", maxNameBytes+1)) }, false},
		"line break in a name":     {func(m *Member) { m.Server = "a\nb" }, false},
		"bytes that are no text":   {func(m *Member) { m.DataCentre = "\xff" }, false},
		"no service":               {func(m *Member) { m.Service = "" }, false},
		"no address":               {func(m *Member) { m.Address = "" }, false},
		"address without a port":   {func(m *Member) { m.Address = "10.0.0.1" }, false},
		"port 0":                   {func(m *Member) { m.Address = "10.0.0.1:0" }, false},
		"port out of range":        {func(m *Member) { m.Address = "10.0.0.1:70000" }, false},
		"negative port":            {func(m *Member) { m.Address = "10.0.0.1:-1" }, false},
		"host name":                {func(m *Member) { m.Address = "somewhere.example:7003" }, false},
		"unspecified address":      {func(m *Member) { m.Address = "0.0.0.0:7003" }, false},
		"slots too many":           {func(m *Member) { m.Slots = math.MaxInt32 }, false},
		"negative slots":           {func(m *Member) { m.Slots = -1 }, false},
		"connections too many":     {func(m *Member) { m.Conns = math.MaxInt32 }, false},
		"greatest incarnation":     {func(m *Member) { m.Incarnation = math.MaxUint64 }, false},
		"incarnation far ahead":    {func(m *Member) { m.Incarnation += ident.Incarnation(MaxClockLead + time.Second) }, false},
		"announced in a century":   {func(m *Member) { m.Announced = now.AddDate(100, 0, 0) }, false},
		"announced long ago":       {func(m *Member) { m.Announced = now.AddDate(-100, 0, 0) }, true},
		"departed with bad fields": {func(m *Member) { m.Left, m.Address = true, "x" }, false},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			m := Member{
				Server: "a", Service: "s", DataCentre: "d", Address: "10.0.0.1:7003",
				Incarnation: ident.Incarnation(now.UnixNano()), Slots: 8, Conns: 100, Announced: now,
			}
			tt.change(&m)
			if err := m.Check(now); (err == nil) != tt.ok {
				t.Errorf("check of %+v: got %v, want valid: %t", m, err, tt.ok)
			}
		})
	}
}
