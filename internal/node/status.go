package node

import (
	"context"
	"time"

	"briarworks.example/briarworks/internal/admin"
	"briarworks.example/briarworks/internal/pause"
	"briarworks.example/briarworks/pkg/fleet"
)

// gaugePeriod is how often gauges are set.
const gaugePeriod = time.Second

// startingFor is how long a server counts as starting after its node began.
const startingFor = 5 * time.Second

func (n *Node) gauge(ctx context.Context) {
	pause.Every(ctx, gaugePeriod, func(now time.Time) {
		s := n.Stats
		s.SetGauge("limit", float64(n.Gate.Limit()))
		s.SetGauge("inflight", float64(n.Gate.Inflight()))
		s.SetGauge("queued", float64(n.Gate.Queued()))
		s.SetGauge("configVersion", float64(n.Policy.Version()))
		s.SetGauge("logLag", float64(n.config.tail.Lag()+n.members.tail.Lag()))
		s.SetGauge("logDown", boolGauge(n.config.tail.Down(now)))
		s.SetGauge("peerConnections", float64(n.Book.SessionCount()))
		s.SetGauge("ledgerBytes", float64(n.Ledger.Size()))
		s.SetGauge("carrying", float64(n.Relay.Inflight()))
		for _, k := range n.kindStatus(now) {
			s.SetKindGauge("admittedFraction", k.Kind, k.Fraction)
		}
	})
}

func boolGauge(b bool) float64 {
	if b {
		return 1
	}
	return 0
}

func (n *Node) kindStatus(now time.Time) (out []admin.KindStatus) {
	snap := n.Policy.Rules()
	if snap == nil {
		return nil
	}
	for _, k := range snap.Kinds() {
		f := n.Gate.Advertise(k.Name, now)
		out = append(out, admin.KindStatus{Kind: string(k.Name), Rank: int(k.Rank), Fraction: float64(f)})
	}
	return out
}

// status is the answer of the operator's port.
func (n *Node) status() admin.Status {
	now := time.Now()
	c := n.Policy.Current()
	s := admin.Status{
		Server: string(n.Self.Server), Service: string(n.Self.Service), DataCentre: string(n.Self.DataCentre),
		Incarnation: uint64(n.Self.Incarnation), State: n.state(), ConfigVersion: uint64(c.Version),
		ConfigAuthor: c.Accepted.Author, ConfigFault: c.Fault,
		LogDown: n.config.tail.Down(now), LogLag: n.config.tail.Lag() + n.members.tail.Lag(),
		Limit: int(n.Gate.Limit()), Inflight: int(n.Gate.Inflight()), Queued: n.Gate.Queued(),
		Connections: n.Book.SessionCount(), Kinds: n.kindStatus(now), Refusals: n.rates.last(now), At: now,
	}
	for _, m := range n.Roster.Table().All() {
		s.Members = append(s.Members, n.memberStatus(m, now))
	}
	return s
}

func (n *Node) state() string {
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
	case now.UnixNano()-int64(m.Incarnation) < int64(startingFor):
		s.State = "starting"
	}
	if set := n.Roster.Set(m.Service); set != nil {
		if p, ok := set.Peer(m.Server); ok && p.Ejected(now) {
			s.State = "putAside"
		}
	}
	return s
}
