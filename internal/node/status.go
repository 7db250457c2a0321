package node

import (
	"context"
	"time"

	"briarworks.example/briarworks/internal/admin"
	"briarworks.example/briarworks/internal/pause"
	"briarworks.example/briarworks/pkg/fleet"
)

// gaugeInterval is the time between two updates of the gauges.
const gaugeInterval = time.Second

// startingWindow is how long a server is reported as starting after the start of its node.
const startingWindow = 5 * time.Second

// runGauges updates the gauges until ctx ends.
func (n *Node) runGauges(ctx context.Context) {
	pause.Every(ctx, gaugeInterval, func(now time.Time) {
		s := n.Stats
		s.SetGauge("limit", float64(n.Gate.Limit()))
		s.SetGauge("inflight", float64(n.Gate.Inflight()))
		s.SetGauge("queued", float64(n.Gate.Queued()))
		s.SetGauge("configVersion", float64(n.Policy.Version()))
		s.SetGauge("logLag", float64(n.config.tail.Lag()+n.members.tail.Lag()))
		s.SetGauge("logDown", gaugeValue(n.config.tail.Down(now)))
		s.SetGauge("peerConnections", float64(n.Transport.SessionCount()))
		s.SetGauge("ledgerBytes", float64(n.Ledger.Size()))
		s.SetGauge("carrying", float64(n.Relay.Inflight()))
		for _, k := range n.kindStatus(now) {
			s.SetKindGauge("admittedFraction", k.Kind, k.Fraction)
		}
	})
}

func gaugeValue(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

// kindStatus returns the admitted fraction of each kind, or nil without rules.
func (n *Node) kindStatus(now time.Time) (statuses []admin.KindStatus) {
	rules := n.Policy.Rules()
	if rules == nil {
		return nil
	}
	for _, k := range rules.Kinds() {
		fraction := n.Gate.Advertise(k.Name, now)
		statuses = append(statuses, admin.KindStatus{Kind: string(k.Name), Rank: int(k.Rank), Fraction: float64(fraction)})
	}
	return statuses
}

// status returns the status that the operator port serves.
func (n *Node) status() admin.Status {
	now := time.Now()
	c := n.Policy.Current()
	s := admin.Status{
		Server: string(n.Self.Server), Service: string(n.Self.Service), DataCentre: string(n.Self.DataCentre),
		Incarnation: uint64(n.Self.Incarnation), State: n.stateName(), ConfigVersion: uint64(c.Version),
		ConfigAuthor: c.Accepted.Author, ConfigFault: c.Fault,
		LogDown: n.config.tail.Down(now), LogLag: n.config.tail.Lag() + n.members.tail.Lag(),
		Limit: int(n.Gate.Limit()), Inflight: int(n.Gate.Inflight()), Queued: n.Gate.Queued(),
		Connections: n.Transport.SessionCount(), Kinds: n.kindStatus(now), Refusals: n.rates.snapshot(now), At: now,
	}
	for _, m := range n.Roster.Table().All() {
		s.Members = append(s.Members, n.memberStatus(m, now))
	}
	return s
}

// stateName returns the state of this node as reported to operators.
func (n *Node) stateName() string {
	switch {
	case n.Relay.Draining():
		return "leaving"
	case n.Policy.Rules() == nil:
		return "starting"
	}
	return "inService"
}

func (n *Node) memberStatus(m fleet.Member, now time.Time) admin.MemberStatus {
	s := admin.MemberStatus{
		Server: string(m.Server), Service: string(m.Service), DataCentre: string(m.DataCentre),
		Address: string(m.Address), State: "inService",
	}
	switch {
	case m.Left:
		s.State = "leaving"
	case now.UnixNano()-int64(m.Incarnation) < int64(startingWindow):
		s.State = "starting"
	}
	if set := n.Roster.PeerSet(m.Service); set != nil {
		if p, ok := set.Peer(m.Server); ok && p.Ejected(now) {
			s.State = "putAside"
		}
	}
	return s
}
