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
	peerPorts   = 500             // from the first port to that of the peers that only answer
	peersOfHost = 200             // on one address of loopback
	afterCLI    = time.Second     // until the memory of the node is looked at
	readMembers = 2 * time.Second // until a node has read the members
)

// answerers are peers at addresses of their own, which answer every comparison with what the asker holds.
type answerers struct {
	peerGroup
	lns []net.Listener
	wg  sync.WaitGroup
}

func (a *answerers) listen(n int) (all []ident.Address, err error) {
	for i := range n {
		addr := fmt.Sprintf("127.0.0.%d:%d", 2+i/peersOfHost, firstPort+peerPorts+i%peersOfHost)
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			return nil, err
		}
		b := &peer.Transport{
			Server: ident.Server(fmt.Sprintf("peer-%04d", i)), Incarnation: 1, Now: time.Now,
			OnEvent: func(peer.Event) {}, OnLeave: func(ident.Server, ident.Incarnation) {}, OnSync: a.onSync,
			Dial: func(context.Context, string) (net.Conn, error) { return nil, net.ErrClosed },
		}
		a.transports, a.lns = append(a.transports, b), append(a.lns, ln)
		a.wg.Go(func() { _ = b.Serve(ln) })
		all = append(all, ident.Address(addr))
	}
	return all, nil
}

func (a *answerers) stop() {
	for _, ln := range a.lns {
		_ = ln.Close()
	}
	a.close()
	a.wg.Wait()
}

// measureCLI measures commands that are run against a node, by the number of members of its fleet.
func measureCLI(ctx context.Context, t *table, dir string) error {
	for i, n := range []int{60, 240, 480, 960} {
		if err := commandsOf(ctx, t, dir, i, n); err != nil {
			return err
		}
	}
	return nil
}

func commandsOf(ctx context.Context, t *table, dir string, i, n int) (err error) {
	p, a := &processes{dir: dir}, &answerers{}
	defer a.stop()
	defer p.stop()
	address, c, err := p.startLog(ctx, i, "--appendRate", "0")
	if err != nil {
		return err
	}
	peers, err := a.listen(n)
	if err != nil {
		return err
	}
	if err = announceAt(ctx, c, peers); err != nil {
		return err
	}
	file := filepath.Join(dir, "cli.yaml")
	if err = os.WriteFile(file, []byte(configDocument(serviceCount)), 0o644); err != nil {
		return err
	}
	o, err := p.startNode(i, fmt.Sprintf("cli-%d", n), string(serviceName(0)), address)
	if err != nil {
		return err
	}
	if err = waitForHTTP(ctx, "http://"+o.operator+"/status"); err != nil {
		return err
	}
	pause.For(ctx, readMembers)
	for _, run := range []struct {
		name string
		args []string
	}{
		{"fleet status", []string{"fleet", "status", "--node", o.operator}},
		{"config publish", []string{"config", "publish", file, "--log", address, "--author", "operator", "--node", o.operator}},
	} {
		x, xLabel := float64(n), "members"
		began := time.Now()
		cmd := exec.CommandContext(ctx, filepath.Join("bin", "briarworks"), run.args...)
		all, err := observeUsage([]int{o.pid}, func() error {
			out, err := cmd.CombinedOutput()
			if err != nil {
				return fmt.Errorf("%s: %w: %s", run.name, err, out)
			}
			t.add(run.name+": time", "s", xLabel, x, time.Since(began).Seconds())
			pause.For(ctx, afterCLI)
			return nil
		})
		if err != nil {
			return err
		}
		t.add(run.name+": processor time of the command", "s", xLabel, x, (cmd.ProcessState.UserTime() + cmd.ProcessState.SystemTime()).Seconds())
		t.add(run.name+": processor time of the node", "s", xLabel, x, all[0].cores*all[0].seconds)
		t.add(run.name+": bytes of the node", "bytes", xLabel, x, all[0].read+all[0].written)
		t.add(run.name+": resident memory of the node after it", "bytes", xLabel, x, all[0].rss)
	}
	return nil
}

func announceAt(ctx context.Context, c *applog.Client, peers []ident.Address) error {
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
