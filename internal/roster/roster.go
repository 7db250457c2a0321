package roster

import (
	"maps"
	"sync"
	"sync/atomic"
	"time"

	"briarworks.example/briarworks/pkg/fleet"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/route"
)

// snapshot is the immutable state that readers use: the members and the peer sets built from them.
type snapshot struct {
	table *fleet.Table
	sets  map[ident.Service]*route.Set
}

// Roster is the membership list of one node. Set the exported fields before first use.
type Roster struct {
	Self            fleet.Member
	Retention       time.Duration             // of the log; members not announced for longer are removed
	AddressesReused bool                      // by the platform: a newer member ends older members at its address
	Changed         func([]fleet.Member)      // called without the lock, with the members that changed; may be nil
	Rejected        func(fleet.Member, error) // called with the lock, with a member whose fields are out of bounds; may be nil

	mu       sync.Mutex // held by writers
	state    fleet.State
	snapshot atomic.Pointer[snapshot]
}

// Apply merges members into the list and passes the ones that changed to Changed.
func (r *Roster) Apply(now time.Time, members ...fleet.Member) {
	changed := r.Merge(now, members...)
	if len(changed) > 0 && r.Changed != nil {
		r.Changed(changed)
	}
}

// Merge merges members read from the log and returns the ones that changed. A member whose fields are out of bounds is
// passed to Rejected and ignored, so that it does not spread to other nodes. Merge does not call Changed:
// the peers read the same log, and forwarding every start of a fleet that starts all at once would
// take hundreds of kilobytes a second at each node.
func (r *Roster) Merge(now time.Time, members ...fleet.Member) (changed []fleet.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range members {
		if err := m.Check(now); err != nil {
			if r.Rejected != nil {
				r.Rejected(m, err)
			}
			continue
		}
		if r.mergeMember(m, now) {
			changed = append(changed, m)
			if r.AddressesReused {
				changed = append(changed, r.state.Displace(m, now)...)
			}
		}
	}
	r.publish(len(changed) > 0)
	return changed
}

// mergeMember applies one member. A leave without a service marks the known member as left and keeps its description.
func (r *Roster) mergeMember(m fleet.Member, now time.Time) (changed bool) {
	if m.Left && m.Service == "" {
		return r.state.MarkLeft(m, now)
	}
	return r.state.Apply(m, now)
}

// Leave marks an incarnation of a server as left.
func (r *Roster) Leave(server ident.Server, inc ident.Incarnation, now time.Time) {
	r.Apply(now, fleet.Member{Server: server, Incarnation: inc, Left: true, Announced: now})
}

// Expire removes members that were not announced within Retention.
func (r *Roster) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.publish(r.state.Expire(now, r.Retention))
}

// publish replaces the snapshot if the state changed or there is none yet. Rebuilt peer sets keep the state
// of their peers. The caller holds mu.
func (r *Roster) publish(changed bool) {
	old := r.snapshot.Load()
	if !changed && old != nil {
		return
	}
	next := &snapshot{table: r.state.Table(), sets: make(map[ident.Service]*route.Set)}
	if old != nil {
		for service, set := range old.sets {
			next.sets[service] = route.Build(r.Self, next.table, service, set)
		}
	}
	r.snapshot.Store(next)
}

// Table returns the current members. It is never nil.
func (r *Roster) Table() *fleet.Table {
	if s := r.snapshot.Load(); s != nil {
		return s.table
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.publish(false)
	return r.snapshot.Load().table
}

// PeerSet returns the peer set of a service, or nil if no other server of the service is known. Sets are built
// on first use, because a node calls only a few of the services.
func (r *Roster) PeerSet(service ident.Service) *route.Set {
	if s := r.snapshot.Load(); s != nil {
		if set, ok := s.sets[service]; ok {
			return nonEmpty(set)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.publish(false)
	cur := r.snapshot.Load()
	if set, ok := cur.sets[service]; ok {
		return nonEmpty(set)
	}
	next := &snapshot{table: cur.table, sets: maps.Clone(cur.sets)}
	set := route.Build(r.Self, cur.table, service, nil)
	if len(next.sets) < maxSets {
		next.sets[service] = set
		r.snapshot.Store(next)
	}
	return nonEmpty(set)
}

// maxSets bounds the cached peer sets, since the local backend server may request any service name.
const maxSets = 256

func nonEmpty(set *route.Set) *route.Set {
	if set == nil || len(set.Peers()) == 0 {
		return nil
	}
	return set
}
