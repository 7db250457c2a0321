package fleet

import (
	"net/netip"
	"time"
	"unicode"
	"unicode/utf8"

	"github.com/samber/oops"

	"briarworks.example/briarworks/pkg/ident"
)

// Bounds on the fields of a member. Entries come from shared storage and from other nodes, so any value can occur.
const (
	maxNameBytes = 256
	// MaxSlots is the largest number of slots of one server.
	MaxSlots ident.Slots = 1 << 20
	maxConns ident.Conns = 1 << 20
	// MaxClockLead bounds how far a member's times may lie ahead of the local clock. An entry with a later incarnation
	// would outrank each announcement that the real server can make.
	MaxClockLead = 24 * time.Hour
)

// Check returns an error if a field of the member is out of its bounds at the time now, so that the member can be
// neither reached nor compared with others. A leave mark needs a server, an incarnation and a time only.
func (m Member) Check(now time.Time) (err error) {
	defer func() { err = oops.In("fleet").Wrapf(err, "fleet: member %.64q", m.Server) }()
	latest := now.Add(MaxClockLead)
	switch {
	case !validName(string(m.Server)):
		return oops.Errorf("server name is empty, too long or has characters that cannot be printed")
	case m.Incarnation > ident.Incarnation(max(latest.UnixNano(), 0)):
		return oops.Errorf("incarnation %d lies more than %v ahead", m.Incarnation, MaxClockLead)
	case m.Announced.After(latest):
		return oops.Errorf("announced at %v, more than %v ahead", m.Announced, MaxClockLead)
	case m.Run.Instance != "" && !validName(string(m.Run.Instance)):
		return oops.Errorf("instance name is too long or has characters that cannot be printed")
	case m.Run.Born.After(latest):
		return oops.Errorf("run started at %v, more than %v ahead", m.Run.Born, MaxClockLead)
	case m.Left && m.Service == "":
		return nil
	case !validName(string(m.Service)):
		return oops.Errorf("service name is empty, too long or has characters that cannot be printed")
	case m.DataCentre != "" && !validName(string(m.DataCentre)):
		return oops.Errorf("data centre name is too long or has characters that cannot be printed")
	case m.Slots < 0 || m.Slots > MaxSlots:
		return oops.Errorf("%d slots, want 0 to %d", m.Slots, MaxSlots)
	case m.Conns < 0 || m.Conns > maxConns:
		return oops.Errorf("%d connections, want 0 to %d", m.Conns, maxConns)
	}
	return checkAddress(m.Address)
}

// checkAddress returns an error unless an address is an IP number with a port from 1 to 65535.
func checkAddress(a ident.Address) error {
	ap, err := netip.ParseAddrPort(string(a))
	switch {
	case err != nil:
		return err
	case ap.Port() == 0:
		return oops.Errorf("address %s has port 0", a)
	case ap.Addr().IsUnspecified() || ap.Addr().IsMulticast():
		return oops.Errorf("address %s is not one of a machine", a)
	}
	return nil
}

// validName reports whether a name is non-empty, of bounded length and printable.
func validName(s string) bool {
	if s == "" || len(s) > maxNameBytes || !utf8.ValidString(s) {
		return false
	}
	for _, r := range s {
		if !unicode.IsPrint(r) {
			return false
		}
	}
	return true
}
