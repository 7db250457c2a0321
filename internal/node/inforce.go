package node

import (
	"context"
	"sync"
	"time"

	"briarworks.example/briarworks/internal/admin"
	"briarworks.example/briarworks/pkg/fleet"
)

// Bounds of asking the whole fleet for its configuration version.
const (
	askAtOnce  = 32
	askTimeout = 2 * time.Second
)

// inForce asks every member which configuration it has in force.
func (n *Node) inForce(ctx context.Context) admin.InForce {
	out := admin.InForce{Accepted: uint64(n.Policy.Current().Accepted.Version)}
	var mu sync.Mutex
	var wg sync.WaitGroup
	slots := make(chan struct{}, askAtOnce)
	for _, m := range n.Roster.Table().All() {
		if m.Left {
			continue
		}
		out.Nodes++
		slots <- struct{}{}
		wg.Go(func() {
			defer func() { <-slots }()
			v, ok := n.versionOf(ctx, m)
			mu.Lock()
			defer mu.Unlock()
			switch {
			case !ok:
				out.Silent = append(out.Silent, string(m.Server))
			case v < out.Accepted:
				out.Behind = append(out.Behind, string(m.Server))
			default:
				out.Current++
			}
		})
	}
	wg.Wait()
	return out
}

func (n *Node) versionOf(ctx context.Context, m fleet.Member) (v uint64, ok bool) {
	if m.Server == n.Self.Server {
		return uint64(n.Policy.Version()), true
	}
	ctx, cancel := context.WithTimeout(ctx, askTimeout)
	defer cancel()
	ask := n.summary()
	ask.News = true
	reply, err := n.Book.SyncOnce(ctx, m.Address, ask)
	if err != nil {
		return 0, false
	}
	return reply.GetInForce(), true
}
