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

// view is what readers see: the members and the peer sets that were built from them.
type view struct {
	table *fleet.Table
	sets  map[ident.Service]*route.Set
}

// Roster is the member list of one node. The exported fields are set before first use.
type Roster struct {
	Self      fleet.Member
	Retention time.Duration        // of the log; a member that is silent for longer is forgotten
	Displace  bool                 // a newer member ends older ones at its address, where the platform uses addresses again
	Changed   func([]fleet.Member) // called without the lock, with the members that were news; may be nil

	mu    sync.Mutex // held by writers
	state fleet.State
	view  atomic.Pointer[view]
}

// Apply joins members into the list.
func (r *Roster) Apply(now time.Time, members ...fleet.Member) {
	news := r.Learn(now, members...)
	if len(news) > 0 && r.Changed != nil {
		r.Changed(news)
	}
}

// Learn joins members that the log carries, and returns those that were news. Changed is not told of
// them: the peers read the same log, and to tell them of each start in a fleet that starts at once would
// take hundreds of kilobytes a second at each node.
func (r *Roster) Learn(now time.Time, members ...fleet.Member) (news []fleet.Member) {
	r.mu.Lock()
	defer r.mu.Unlock()
	for _, m := range members {
		if r.join(m, now) {
			news = append(news, m)
			if r.Displace {
				news = append(news, r.state.Displace(m, now)...)
			}
		}
	}
	r.publish(len(news) > 0)
	return news
}

// join applies one member; a leave mark without a description keeps what is known of the member.
func (r *Roster) join(m fleet.Member, now time.Time) (changed bool) {
	if m.Left && m.Service == "" {
		return r.state.Leave(m.Server, m.Incarnation, now)
	}
	return r.state.Apply(m, now)
}

// Leave marks a member as having left.
func (r *Roster) Leave(server ident.Server, inc ident.Incarnation, now time.Time) {
	r.Apply(now, fleet.Member{Server: server, Incarnation: inc, Left: true, Announced: now})
}

// Expire forgets members that were not announced within the retention.
func (r *Roster) Expire(now time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.publish(r.state.Expire(now, r.Retention))
}

// publish swaps in a new view; peer sets that are in use keep the state of their peers.
func (r *Roster) publish(changed bool) {
	old := r.view.Load()
	if !changed && old != nil {
		return
	}
	v := &view{table: r.state.Table(), sets: make(map[ident.Service]*route.Set)}
	if old != nil {
		for service, set := range old.sets {
			v.sets[service] = route.Build(r.Self, v.table, service, set)
		}
	}
	r.view.Store(v)
}

// Table returns the members; it is never nil.
func (r *Roster) Table() *fleet.Table {
	if v := r.view.Load(); v != nil {
		return v.table
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.publish(false)
	return r.view.Load().table
}

// Set returns the peers for a service. The set is built when the service is first asked for, because a
// node calls few of the services; nil when no other server of it is known.
func (r *Roster) Set(service ident.Service) *route.Set {
	if v := r.view.Load(); v != nil {
		if set, ok := v.sets[service]; ok {
			return usable(set)
		}
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.publish(false)
	v := r.view.Load()
	if set, ok := v.sets[service]; ok {
		return usable(set)
	}
	next := &view{table: v.table, sets: maps.Clone(v.sets)}
	set := route.Build(r.Self, v.table, service, nil)
	if len(next.sets) < maxSets {
		next.sets[service] = set
		r.view.Store(next)
	}
	return usable(set)
}

// maxSets bounds the services with a kept set, since the own server may ask for any name.
const maxSets = 256

func usable(set *route.Set) *route.Set {
	if set == nil || len(set.Peers()) == 0 {
		return nil
	}
	return set
}
