package main

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"time"

	"briarworks.example/briarworks/internal/admin"
	"briarworks.example/briarworks/internal/applog"
	"briarworks.example/briarworks/internal/pause"
	"briarworks.example/briarworks/internal/record"
	"briarworks.example/briarworks/pkg/fleet"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/order"
)

const (
	catchUpLimit  = 30 * time.Second
	startRest     = time.Second   // after the start, for the exchanges that follow it
	memberRecords = 4 * fleetSize // what the log holds at least of a fleet that announces itself every 12 h to 16 h for 48 h
	carryEvery    = 80            // publishes between two carries that running nodes write
)

// measureStarts measures the time from the start of a node until the newest configuration is in force, by the
// number of configurations on the log. Each size is measured without peers and with one running peer.
func measureStarts(ctx context.Context, t *table, dir string) error {
	p := &processes{dir: dir}
	defer p.stop()
	sizes := []int{250, 1000, 2000, 7000}
	logs := make([]string, len(sizes))
	for i, n := range sizes {
		address, c, err := p.startLog(ctx, i, "--appendRate", "0")
		if err != nil {
			return err
		}
		logs[i] = address
		if err = history(ctx, c, n); err != nil {
			return err
		}
	}
	for i, n := range sizes {
		first, err := p.startOne(ctx, t, 2*i, n, logs[i], "alone")
		if err != nil {
			return err
		}
		if _, err = p.startOne(ctx, t, 2*i+1, n, logs[i], "with a peer", first.peers); err != nil {
			return err
		}
	}
	return nil
}

func (p *processes) startOne(ctx context.Context, t *table, i, n int, log, how string, seeds ...string) (o nodeProcess, err error) {
	began := time.Now()
	if o, err = p.startNode(i, fmt.Sprintf("start-%d", i), string(serviceName(0)), log, seeds...); err != nil {
		return o, err
	}
	took, err := inForce(ctx, "http://"+o.operator+"/status", uint64(n), began)
	if err != nil {
		return o, err
	}
	pause.For(ctx, startRest)
	u, err := readUsage(o.pid)
	if err != nil {
		return o, err
	}
	peak, err := procValue(fmt.Sprintf("/proc/%d/status", o.pid), "VmHWM")
	if err != nil {
		return o, err
	}
	x, xLabel := float64(n), "configurations on the log"
	t.add(how+": until the newest is in force", "s", xLabel, x, took.Seconds())
	t.add(how+": processor time", "s", xLabel, x, u.cpu.Seconds())
	t.add(how+": highest resident memory", "bytes", xLabel, x, peak*1024)
	t.add(how+": bytes read", "bytes", xLabel, x, u.read)
	return o, nil
}

// history writes the member records of two days and n configurations, one append each.
func history(ctx context.Context, c *applog.Client, n int) error {
	old := time.Now().Add(-retention / 2)
	for i := range memberRecords {
		m := newMember(i%fleetSize, old)
		m.Announced = old.Add(time.Duration(i) * time.Second)
		if err := appendOne(ctx, c, i, m); err != nil {
			return err
		}
	}
	text := document(serviceCount)
	for v := range n {
		if err := publish(ctx, c, v, text); err != nil {
			return err
		}
		if (v+1)%carryEvery == 0 {
			if err := carryNow(ctx, c, v, text); err != nil {
				return err
			}
		}
	}
	return nil
}

// carryNow appends the carry of the configuration that was just published on base.
func carryNow(ctx context.Context, c *applog.Client, base int, text string) error {
	through := ident.Offset(base + base/carryEvery)
	return appendRecords(ctx, c, applog.Config, record.FromOrder(order.Record{Carry: &order.Carry{State: order.State{
		Version: ident.Version(base + 1), Through: through, Document: text, Author: "operator", ID: publishID(base), AcceptedAt: time.Now(),
	}}}))
}

func appendOne(ctx context.Context, c *applog.Client, i int, m fleet.Member) error {
	r := record.FromMember(m)
	r.Id = fmt.Sprintf("history-%d", i)
	return appendRecords(ctx, c, applog.Members, r)
}

// inForce waits until a node has a configuration version in force and knows the fleet.
func inForce(ctx context.Context, url string, version uint64, began time.Time) (took time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, catchUpLimit)
	defer cancel()
	for {
		var s admin.Status
		resp, err := http.Get(url)
		if err == nil {
			err = json.NewDecoder(resp.Body).Decode(&s)
			_ = resp.Body.Close()
		}
		if err == nil && s.ConfigVersion >= version && len(s.Members) >= fleetSize {
			return time.Since(began), nil
		}
		if !pause.For(ctx, pollInterval) {
			return 0, fmt.Errorf("%s: version %d and %d members after %v, want version %d: %w", url, s.ConfigVersion, len(s.Members), catchUpLimit, version, ctx.Err())
		}
	}
}
