package main

import (
	"context"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync"
	"time"

	"briarworks.example/briarworks/internal/applog"
	"briarworks.example/briarworks/internal/pause"
	"briarworks.example/briarworks/internal/peer"
	"briarworks.example/briarworks/internal/record"
	"briarworks.example/briarworks/internal/record/recpb"
	"briarworks.example/briarworks/pkg/ident"
)

const (
	responderPortOffset = 500             // from firstPort to the first port of the sync responders
	peersPerAddress     = 200             // sync responders on one loopback address
	commandSettleTime   = time.Second     // between the end of a command and the reading of the node's usage
	memberReadTime      = 2 * time.Second // for the node to read the members from the log
)

// syncResponders are peers that listen at an address each and reply to every Sync with the state that its sender
// holds.
type syncResponders struct {
	peerGroup
	listeners []net.Listener
	wg        sync.WaitGroup
}

// listen starts n peers and returns their addresses.
func (r *syncResponders) listen(n int) (addresses []ident.Address, err error) {
	for i := range n {
		addr := fmt.Sprintf("127.0.0.%d:%d", 2+i/peersPerAddress, firstPort+responderPortOffset+i%peersPerAddress)
		listener, err := net.Listen("tcp", addr)
		if err != nil {
			return nil, err
		}
		transport := &peer.Transport{
			Server: ident.Server(fmt.Sprintf("peer-%04d", i)), Incarnation: 1, Now: time.Now,
			OnEvent: func(peer.Event) {}, OnLeave: func(ident.Server, ident.Incarnation) {}, OnSync: r.onSync,
			Dial: func(context.Context, string) (net.Conn, error) { return nil, net.ErrClosed },
		}
		r.transports, r.listeners = append(r.transports, transport), append(r.listeners, listener)
		r.wg.Go(func() { _ = transport.Serve(listener) })
		addresses = append(addresses, ident.Address(addr))
	}
	return addresses, nil
}

// stop closes all listeners and sessions and waits until the peers have ended.
func (r *syncResponders) stop() {
	for _, listener := range r.listeners {
		_ = listener.Close()
	}
	r.close()
	r.wg.Wait()
}

// measureCLI measures commands that are run against a node, by the number of members of its fleet.
func measureCLI(ctx context.Context, t *table, dir string) error {
	for i, n := range []int{60, 240, 480, 960} {
		if err := measureCLIAt(ctx, t, dir, i, n); err != nil {
			return err
		}
	}
	return nil
}

// measureCLIAt measures the commands on a fleet of n members. i selects the ports.
func measureCLIAt(ctx context.Context, t *table, dir string, i, n int) (err error) {
	p, responders := &processes{dir: dir}, &syncResponders{}
	defer responders.stop()
	defer p.stop()
	address, c, err := p.startLog(ctx, i, "--appendRate", "0")
	if err != nil {
		return err
	}
	peers, err := responders.listen(n)
	if err != nil {
		return err
	}
	if err = appendAnnouncements(ctx, c, peers); err != nil {
		return err
	}
	file := filepath.Join(dir, "cli.yaml")
	if err = os.WriteFile(file, []byte(configDocument(serviceCount)), 0o644); err != nil {
		return err
	}
	node, err := p.startNode(i, fmt.Sprintf("cli-%d", n), string(serviceName(0)), address)
	if err != nil {
		return err
	}
	if err = waitForHTTP(ctx, "http://"+node.operator+"/status"); err != nil {
		return err
	}
	pause.For(ctx, memberReadTime)
	for _, run := range []struct {
		name string
		args []string
	}{
		{"fleet status", []string{"fleet", "status", "--node", node.operator}},
		{"config publish", []string{"config", "publish", file, "--log", address, "--author", "operator", "--node", node.operator}},
	} {
		x, xLabel := float64(n), "members"
		began := time.Now()
		cmd := exec.CommandContext(ctx, filepath.Join("bin", "briarworks"), run.args...)
		deltas, err := observeUsage([]int{node.pid}, func() error {
			out, err := cmd.CombinedOutput()
			if err != nil {
				return fmt.Errorf("%s: %w: %s", run.name, err, out)
			}
			t.add(run.name+": time", "s", xLabel, x, time.Since(began).Seconds())
			pause.For(ctx, commandSettleTime)
			return nil
		})
		if err != nil {
			return err
		}
		t.add(run.name+": processor time of the command", "s", xLabel, x, (cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()).Seconds())
		t.add(run.name+": processor time of the node", "s", xLabel, x, deltas[0].cores*deltas[0].seconds)
		t.add(run.name+": bytes of the node", "bytes", xLabel, x, deltas[0].read+deltas[0].written)
		t.add(run.name+": resident memory of the node after it", "bytes", xLabel, x, deltas[0].rss)
	}
	return nil
}

// appendAnnouncements announces one member at each address.
func appendAnnouncements(ctx context.Context, c *applog.Client, peers []ident.Address) error {
	now := time.Now()
	var recs []*recpb.Record
	for i, addr := range peers {
		m := newMember(i, now)
		m.Address = addr
		r := record.FromMember(m)
		r.Id = fmt.Sprintf("cli-%d", i)
		recs = append(recs, r)
	}
	return appendRecords(ctx, c, applog.Members, recs...)
}
