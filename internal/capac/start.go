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
	catchUpTimeout    = 30 * time.Second
	startSettleTime   = time.Second   // for the exchanges with peers that follow a start
	memberRecords     = 4 * fleetSize // a member announces itself every 12 h to 16 h, which is up to 4 times in a log retention of 48 h
	publishesPerCarry = 80            // running nodes write a carry after this number of publishes
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
		if err = writeHistory(ctx, c, n); err != nil {
			return err
		}
	}
	for i, n := range sizes {
		aloneNode, err := p.measureStart(ctx, t, 2*i, n, logs[i], "alone")
		if err != nil {
			return err
		}
		if _, err = p.measureStart(ctx, t, 2*i+1, n, logs[i], "with a peer", aloneNode.peers); err != nil {
			return err
		}
	}
	return nil
}

// measureStart starts a node on a log with n configurations and measures it until version n is in force.
func (p *processes) measureStart(ctx context.Context, t *table, index, n int, log, condition string, seeds ...string) (node nodeProcess, err error) {
	began := time.Now()
	if node, err = p.startNode(index, fmt.Sprintf("start-%d", index), string(serviceName(0)), log, seeds...); err != nil {
		return node, err
	}
	took, err := waitInForce(ctx, "http://"+node.operator+"/status", uint64(n), began)
	if err != nil {
		return node, err
	}
	pause.For(ctx, startSettleTime)
	u, err := readUsage(node.pid)
	if err != nil {
		return node, err
	}
	peak, err := procValue(fmt.Sprintf("/proc/%d/status", node.pid), "VmHWM")
	if err != nil {
		return node, err
	}
	x, xLabel := float64(n), "configurations on the log"
	t.add(condition+": until the newest is in force", "s", xLabel, x, took.Seconds())
	t.add(condition+": processor time", "s", xLabel, x, u.cpu.Seconds())
	t.add(condition+": highest resident memory", "bytes", xLabel, x, peak*1024)
	t.add(condition+": bytes read", "bytes", xLabel, x, u.read)
	return node, nil
}

// writeHistory appends the member records that a fleet writes within the log retention, and n configurations with
// their carries. Each record is an append of its own.
func writeHistory(ctx context.Context, c *applog.Client, n int) error {
	announced := time.Now().Add(-retention / 2)
	for i := range memberRecords {
		m := newMember(i%fleetSize, announced)
		m.Announced = announced.Add(time.Duration(i) * time.Second)
		if err := appendMember(ctx, c, i, m); err != nil {
			return err
		}
	}
	text := configDocument(serviceCount)
	for v := range n {
		if err := publish(ctx, c, v, text); err != nil {
			return err
		}
		if (v+1)%publishesPerCarry == 0 {
			if err := appendCarry(ctx, c, v, text); err != nil {
				return err
			}
		}
	}
	return nil
}

// appendCarry appends the carry of the configuration that was just published on top of version base.
func appendCarry(ctx context.Context, c *applog.Client, base int, text string) error {
	through := ident.Offset(base + base/publishesPerCarry)
	return appendRecords(ctx, c, applog.Config, record.FromOrder(order.Record{Carry: &order.Carry{State: order.State{
		Version: ident.Version(base + 1), Through: through, Document: text, Author: "operator", ID: publishID(base), AcceptedAt: time.Now(),
	}}}))
}

// appendMember appends the announcement of a member as record i of the history.
func appendMember(ctx context.Context, c *applog.Client, i int, m fleet.Member) error {
	r := record.FromMember(m)
	r.Id = fmt.Sprintf("history-%d", i)
	return appendRecords(ctx, c, applog.Members, r)
}

// waitInForce polls a node until a configuration version is in force there and it knows the whole fleet. It returns
// the time since began, or an error after catchUpTimeout.
func waitInForce(ctx context.Context, url string, version uint64, began time.Time) (took time.Duration, err error) {
	ctx, cancel := context.WithTimeout(ctx, catchUpTimeout)
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
			return 0, fmt.Errorf("%s: at version %d with %d members after %v, want version %d: %w", url, s.ConfigVersion, len(s.Members), catchUpTimeout, version, ctx.Err())
		}
	}
}
