package main

import (
	"context"
	"fmt"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"briarworks.example/briarworks/internal/applog"
	"briarworks.example/briarworks/internal/pause"
	"briarworks.example/briarworks/internal/record"
	"briarworks.example/briarworks/internal/record/recpb"
	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/order"
)

const (
	clockTick        = 10 * time.Millisecond // unit of processor time in /proc/PID/stat
	stopTimeout      = 12 * time.Second
	startTimeout     = 15 * time.Second
	pollInterval     = 50 * time.Millisecond
	membersPerAppend = 60                    // announcements in one append
	appendInterval   = 10 * time.Millisecond // keeps below the 400 appends/s that the emulated log accepts by default
)

// firstPort is the first of the 1000 ports that the started processes may listen on.
var firstPort = 29000

// processes holds the processes that one group of measurements started. They are stopped together.
type processes struct {
	dir     string
	nodeEnv []string // added to the environment of node processes
	cmds    []*exec.Cmd
}

// noGCEnv turns off garbage collection in a process, so that it doesn't disturb the measured calls. The memory
// limit still bounds the heap.
var noGCEnv = []string{"GOGC=off", "GOMEMLIMIT=512MiB"}

// start starts a program from bin and writes its output to name.out in dir.
func (p *processes) start(name, program string, args ...string) (pid int, err error) {
	out, err := os.Create(filepath.Join(p.dir, name+".out"))
	if err != nil {
		return 0, err
	}
	defer func() { _ = out.Close() }()
	cmd := exec.Command(filepath.Join("bin", program), args...)
	if program == "briarfake" {
		cmd.Env = append(os.Environ(), noGCEnv...)
	} else {
		cmd.Env = append(os.Environ(), p.nodeEnv...)
	}
	cmd.Stdout, cmd.Stderr = out, out
	if err = cmd.Start(); err != nil {
		return 0, err
	}
	p.cmds = append(p.cmds, cmd)
	return cmd.Process.Pid, nil
}

// stop sends SIGTERM to all processes and waits for them. It kills those that still run after stopTimeout.
func (p *processes) stop() {
	for _, cmd := range p.cmds {
		_ = cmd.Process.Signal(syscall.SIGTERM)
	}
	for _, cmd := range p.cmds {
		timer := time.AfterFunc(stopTimeout, func() { _ = cmd.Process.Kill() })
		_ = cmd.Wait()
		timer.Stop()
	}
}

// nodeProcess identifies a node process and its addresses.
type nodeProcess struct {
	pid                                      int
	callers, local, peers, operator, backend string
}

func loopbackAddr(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// startNode starts a node process without waiting for it. Among the nodes that run at the same time, index is
// unique and selects the ports.
func (p *processes) startNode(index int, server, service, log string, seeds ...string) (node nodeProcess, err error) {
	basePort := firstPort + 100 + 10*index
	node = nodeProcess{callers: loopbackAddr(basePort), local: loopbackAddr(basePort + 1), peers: loopbackAddr(basePort + 2), operator: loopbackAddr(basePort + 3), backend: loopbackAddr(basePort + 4)}
	settings := fmt.Sprintf(`server: %s
service: %s
dataCentre: centre-0
listen:
  callers: %s
  local: %s
  peers: %s
  operator: %s
backend: %s
log:
  address: %s
stopTimeout: 5s
`, server, service, node.callers, node.local, node.peers, node.operator, node.backend, log)
	if len(seeds) > 0 {
		settings += "seeds: [" + strings.Join(seeds, ", ") + "]\n"
	}
	file := filepath.Join(p.dir, server+".yaml")
	if err = os.WriteFile(file, []byte(settings), 0o644); err != nil {
		return node, err
	}
	node.pid, err = p.start("node-"+server, "briarworks", "node", "--settings", file)
	return node, err
}

// startLog starts an emulated log and waits until it answers. index selects its port.
func (p *processes) startLog(ctx context.Context, index int, flags ...string) (address string, c *applog.Client, err error) {
	address = loopbackAddr(firstPort + index)
	if _, err = p.start(fmt.Sprintf("log-%d", index), "briarfake", append([]string{"log", "--listen", address}, flags...)...); err != nil {
		return "", nil, err
	}
	return address, &applog.Client{BaseURL: "http://" + address}, waitForHTTP(ctx, "http://"+address+"/stats")
}

// waitForHTTP polls a URL until it is answered with any status, or fails after startTimeout.
func waitForHTTP(ctx context.Context, url string) (err error) {
	ctx, cancel := context.WithTimeout(ctx, startTimeout)
	defer cancel()
	for {
		resp, err := http.Get(url)
		if err == nil {
			return resp.Body.Close()
		}
		if !pause.For(ctx, pollInterval) {
			return err
		}
	}
}

// appendRecords appends the records to stream s in one group.
func appendRecords(ctx context.Context, c *applog.Client, s applog.Stream, recs ...*recpb.Record) error {
	data, err := record.EncodeGroup(recs)
	if err != nil {
		return err
	}
	_, err = c.Append(ctx, s, data)
	return err
}

// publishPaced waits for appendInterval and then publishes a document on top of version base.
func publishPaced(ctx context.Context, c *applog.Client, base int, text string) error {
	pause.For(ctx, appendInterval)
	return publish(ctx, c, base, text)
}

// publish appends a document on top of version base.
func publish(ctx context.Context, c *applog.Client, base int, text string) error {
	return appendRecords(ctx, c, applog.Config, record.FromOrder(order.Record{Publish: &order.Publish{
		ID: publishID(base), Base: ident.Version(base), Document: text, Author: "operator", At: time.Now(),
	}}))
}

func publishID(base int) ident.RecordID { return ident.RecordID(fmt.Sprintf("publish-%d", base)) }

// seedMembers appends the announcements of n servers, at most membersPerAppend at a time.
func seedMembers(ctx context.Context, c *applog.Client, n int) error {
	now := time.Now()
	var recs []*recpb.Record
	for i := range n {
		r := record.FromMember(newMember(i, now))
		r.Id = fmt.Sprintf("seed-%d-%d", i, now.UnixNano())
		recs = append(recs, r)
		if len(recs) == membersPerAppend || i == n-1 {
			pause.For(ctx, appendInterval)
			if err := appendRecords(ctx, c, applog.Members, recs...); err != nil {
				return err
			}
			recs = nil
		}
	}
	return nil
}

// usage holds the resources that a process has used since its start.
type usage struct {
	at            time.Time
	cpu           time.Duration // user and system time
	switches      float64       // context switches of all current threads
	rss           float64       // resident memory in bytes at the time of the reading
	read, written float64       // bytes transferred by read and write system calls, including those on sockets
}

// readUsage reads the usage of a process from /proc.
func readUsage(pid int) (u usage, err error) {
	u.at = time.Now()
	dir := fmt.Sprintf("/proc/%d/", pid)
	stat, err := os.ReadFile(dir + "stat")
	if err != nil {
		return u, err
	}
	// The process name in parentheses may contain spaces; user time is the 12th field after it.
	fields := strings.Fields(string(stat[strings.LastIndexByte(string(stat), ')')+1:]))
	user, _ := strconv.Atoi(fields[11])
	system, _ := strconv.Atoi(fields[12])
	u.cpu = time.Duration(user+system) * clockTick
	u.rss, err = procValue(dir+"status", "VmRSS")
	u.rss *= 1024
	u.read, _ = procValue(dir+"io", "rchar")
	u.written, _ = procValue(dir+"io", "wchar")
	threads, _ := filepath.Glob(dir + "task/*/status")
	for _, t := range threads {
		for _, name := range []string{"voluntary_ctxt_switches", "nonvoluntary_ctxt_switches"} {
			n, _ := procValue(t, name)
			u.switches += n
		}
	}
	return u, err
}

// procValue returns the number in the named field of a file in /proc.
func procValue(file, name string) (v float64, err error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return 0, err
	}
	for line := range strings.Lines(string(text)) {
		if key, rest, ok := strings.Cut(line, ":"); ok && key == name {
			return strconv.ParseFloat(strings.Fields(rest)[0], 64)
		}
	}
	return 0, fmt.Errorf("%s: field %s is missing", file, name)
}

// usageDelta is the usage of a process between two readings. rss is that of the second reading in bytes, and
// cores is the processor time per second.
type usageDelta struct {
	seconds, cores, rss, read, written, switches float64
}

// diffUsage returns the usage between two readings.
func diffUsage(before, after usage) usageDelta {
	seconds := after.at.Sub(before.at).Seconds()
	return usageDelta{seconds: seconds, cores: (after.cpu - before.cpu).Seconds() / seconds, rss: after.rss, read: after.read - before.read, written: after.written - before.written, switches: after.switches - before.switches}
}

// observeUsage returns the usage of each process during a call of run.
func observeUsage(pids []int, run func() error) (deltas []usageDelta, err error) {
	var before []usage
	for _, pid := range pids {
		u, err := readUsage(pid)
		if err != nil {
			return nil, err
		}
		before = append(before, u)
	}
	if err = run(); err != nil {
		return nil, err
	}
	for i, pid := range pids {
		u, err := readUsage(pid)
		if err != nil {
			return nil, err
		}
		deltas = append(deltas, diffUsage(before[i], u))
	}
	return deltas, nil
}

// sleepFunc returns a function for observeUsage that waits for d.
func sleepFunc(ctx context.Context, d time.Duration) func() error {
	return func() error {
		pause.For(ctx, d)
		return ctx.Err()
	}
}
