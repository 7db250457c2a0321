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
	clockTick   = 10 * time.Millisecond // unit of processor time in /proc
	stopLimit   = 12 * time.Second
	startLimit  = 15 * time.Second
	startPoll   = 50 * time.Millisecond
	groupOfSeed = 60                    // members written in one append
	seedPause   = 10 * time.Millisecond // the log takes 400 appends a second
)

// firstPort is the first port that processes listen on; those up to 999 above it are used too.
var firstPort = 29000

// procs are the processes of one group. They are stopped together, by their ids.
type procs struct {
	dir     string
	nodeEnv []string // added to the environment of nodes
	all     []*exec.Cmd
}

// standInEnv keeps the collector of stand-ins from running while calls are measured; the limit bounds
// their memory all the same.
var standInEnv = []string{"GOGC=off", "GOMEMLIMIT=512MiB"}

// start starts a program from bin with its output in a file.
func (p *procs) start(name, program string, args ...string) (pid int, err error) {
	out, err := os.Create(filepath.Join(p.dir, name+".out"))
	if err != nil {
		return 0, err
	}
	defer func() { _ = out.Close() }()
	c := exec.Command(filepath.Join("bin", program), args...)
	if program == "briarfake" {
		c.Env = append(os.Environ(), standInEnv...)
	} else {
		c.Env = append(os.Environ(), p.nodeEnv...)
	}
	c.Stdout, c.Stderr = out, out
	if err = c.Start(); err != nil {
		return 0, err
	}
	p.all = append(p.all, c)
	return c.Process.Pid, nil
}

// stop ends all processes and waits for them.
func (p *procs) stop() {
	for _, c := range p.all {
		_ = c.Process.Signal(syscall.SIGTERM)
	}
	for _, c := range p.all {
		t := time.AfterFunc(stopLimit, func() { _ = c.Process.Kill() })
		_ = c.Wait()
		t.Stop()
	}
}

// nodeOf is a node process and its addresses.
type nodeOf struct {
	pid                                        int
	callers, local, peers, operator, serverURL string
}

func addr(port int) string { return fmt.Sprintf("127.0.0.1:%d", port) }

// node starts a node; n numbers it among all that run at the time.
func (p *procs) node(n int, server, service, log string, seeds ...string) (o nodeOf, err error) {
	base := firstPort + 100 + 10*n
	o = nodeOf{callers: addr(base), local: addr(base + 1), peers: addr(base + 2), operator: addr(base + 3), serverURL: addr(base + 4)}
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
`, server, service, o.callers, o.local, o.peers, o.operator, o.serverURL, log)
	if len(seeds) > 0 {
		settings += "seeds: [" + strings.Join(seeds, ", ") + "]\n"
	}
	file := filepath.Join(p.dir, server+".yaml")
	if err = os.WriteFile(file, []byte(settings), 0o644); err != nil {
		return o, err
	}
	o.pid, err = p.start("node-"+server, "briarworks", "node", "--settings", file)
	return o, err
}

// log starts a log and waits until it answers.
func (p *procs) log(ctx context.Context, n int, flags ...string) (address string, c *applog.Client, err error) {
	address = addr(firstPort + n)
	if _, err = p.start(fmt.Sprintf("log-%d", n), "briarfake", append([]string{"log", "--listen", address}, flags...)...); err != nil {
		return "", nil, err
	}
	return address, &applog.Client{BaseURL: "http://" + address}, waitHTTP(ctx, "http://"+address+"/stats")
}

// waitHTTP waits until a URL is answered.
func waitHTTP(ctx context.Context, url string) (err error) {
	ctx, cancel := context.WithTimeout(ctx, startLimit)
	defer cancel()
	for {
		resp, err := http.Get(url)
		if err == nil {
			return resp.Body.Close()
		}
		if !pause.For(ctx, startPoll) {
			return err
		}
	}
}

func appendTo(ctx context.Context, c *applog.Client, s applog.Stream, recs ...*recpb.Record) error {
	data, err := record.EncodeGroup(recs)
	if err != nil {
		return err
	}
	_, err = c.Append(ctx, s, data)
	return err
}

// publish appends a document that follows version base.
func publish(ctx context.Context, c *applog.Client, base int, text string) error {
	pause.For(ctx, seedPause)
	return publishNow(ctx, c, base, text)
}

func publishNow(ctx context.Context, c *applog.Client, base int, text string) error {
	return appendTo(ctx, c, applog.Config, record.FromOrder(order.Record{Publish: &order.Publish{
		ID: publishID(base), Base: ident.Version(base), Document: text, Author: "operator", At: time.Now(),
	}}))
}

func publishID(base int) ident.RecordID { return ident.RecordID(fmt.Sprintf("publish-%d", base)) }

// seed writes the announcements of n servers.
func seed(ctx context.Context, c *applog.Client, n int) error {
	now := time.Now()
	var recs []*recpb.Record
	for i := range n {
		r := record.FromMember(member(i, now))
		r.Id = fmt.Sprintf("seed-%d-%d", i, now.UnixNano())
		recs = append(recs, r)
		if len(recs) == groupOfSeed || i == n-1 {
			pause.For(ctx, seedPause)
			if err := appendTo(ctx, c, applog.Members, recs...); err != nil {
				return err
			}
			recs = nil
		}
	}
	return nil
}

// usage is what a process has used since its start.
type usage struct {
	at            time.Time
	cpu           time.Duration // user and system time
	switches      float64       // context switches of all threads
	rss           float64       // bytes resident now
	read, written float64       // bytes by read and write calls, those on sockets included
}

func used(pid int) (u usage, err error) {
	u.at = time.Now()
	dir := fmt.Sprintf("/proc/%d/", pid)
	stat, err := os.ReadFile(dir + "stat")
	if err != nil {
		return u, err
	}
	// The name in parentheses may hold spaces; user time is the 12th field after it.
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

// procValue returns the number after a name in a file of /proc.
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
	return 0, fmt.Errorf("%s: no %s", file, name)
}

// spent is the use of a process between two looks.
type spent struct {
	seconds, cores, rss, read, written, switches float64
}

func between(a, b usage) spent {
	s := b.at.Sub(a.at).Seconds()
	return spent{seconds: s, cores: (b.cpu - a.cpu).Seconds() / s, rss: b.rss, read: b.read - a.read, written: b.written - a.written, switches: b.switches - a.switches}
}

// observe returns the use of each process while f runs.
func observe(pids []int, f func() error) (all []spent, err error) {
	var before []usage
	for _, pid := range pids {
		u, err := used(pid)
		if err != nil {
			return nil, err
		}
		before = append(before, u)
	}
	if err = f(); err != nil {
		return nil, err
	}
	for i, pid := range pids {
		u, err := used(pid)
		if err != nil {
			return nil, err
		}
		all = append(all, between(before[i], u))
	}
	return all, nil
}

// idleFor returns a function that waits, for observe.
func idleFor(ctx context.Context, d time.Duration) func() error {
	return func() error {
		pause.For(ctx, d)
		return ctx.Err()
	}
}
