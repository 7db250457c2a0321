package node

import (
	"context"
	"sync"
	"time"

	"briarworks.example/briarworks/internal/admin"
	"briarworks.example/briarworks/pkg/fleet"
)

// Limits for querying the configuration version of every member.
const (
	maxVersionQueries   = 32
	versionQueryTimeout = 2 * time.Second
)

// inForce queries the configuration version in force at every member and counts those that are current.
func (n *Node) inForce(ctx context.Context) admin.InForce {
	result := admin.InForce{Accepted: uint64(n.Policy.Current().Accepted.Version)}
	var mu sync.Mutex
	var wg sync.WaitGroup
	sem := make(chan struct{}, maxVersionQueries)
	for _, m := range n.Roster.Table().All() {
		if m.Left {
			continue
		}
		result.Nodes++
		sem <- struct{}{}
		wg.Go(func() {
			defer func() { <-sem }()
			v, ok := n.queryVersion(ctx, m)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case !ok:
				result.Silent = append(result.Silent, string(m.Server))
			case v < result.Accepted:
				result.Behind = append(result.Behind, string(m.Server))
			default:
				result.Current++
			}
		})
	}
	wg.Wait()
	return result
}

// queryVersion returns the configuration version in force at a member, and false if it does not reply.
func (n *Node) queryVersion(ctx context.Context, m fleet.Member) (v uint64, ok bool) {
	if m.Server == n.Self.Server {
		return uint64(n.Policy.Version()), true
	}
	ctx, cancel := context.WithTimeout(ctx, versionQueryTimeout)
	defer cancel()
	query := n.summary()
	query.News = true
	reply, err := n.Transport.SyncOnce(ctx, m.Address, query)
	if err != nil {
		return 0, false
	}
	return reply.GetInForce(), true
}
