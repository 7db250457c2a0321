package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strconv"
	"strings"
	"syscall"
	"time"

	"briarworks.example/briarworks/internal/ports"
	"briarworks.example/briarworks/platform/emul"
)

// Settings of a small deployment, as the platform writes them.
const (
	grace        = 6 * time.Second
	drainTime    = 2 * time.Second
	contactTime  = 3 * time.Second
	restartDelay = 500 * time.Millisecond // of the platform, before it starts an ended process again
	memoryMb     = 284
	readyTimeout = 15 * time.Second
	pollInterval = 20 * time.Millisecond
)

// settingsPath is the path of the settings file in the deploy file.
const settingsPath = "/etc/briarworks/settings.conf"

// fleet is the stand-in of the platform: its store, and the machines with their nodes and servers.
type fleet struct {
	rec      *recorder
	dir      string // for settings and logs of the nodes
	ports    ports.Range
	emulated emul.Fleet // holds the store
	command  []string   // starts a node
	template string     // of a node's settings
	machines []*machine
}

// machine is one machine: a node and its backend server.
type machine struct {
	fleet    *fleet
	name     string
	service  string
	zone     string
	callers  string // where the clients and the server of this machine send requests
	ready    string
	control  string // where the server sends its heartbeats
	settings string // path of the settings file
	proc     *exec.Cmd
	exited   chan struct{}
	server   *server
}

// newFleet starts the store. The working directory is the root of the repository.
func newFleet(rec *recorder) (f *fleet, err error) {
	f = &fleet{rec: rec, ports: ports.Range{First: 21000, Count: 2000}}
	deploy, err := os.ReadFile("deploy/system.toml")
	if err != nil {
		return nil, err
	}
	f.command = strings.Fields(tomlString(string(deploy), "run"))
	template, err := os.ReadFile(tomlString(string(deploy), "template"))
	if err != nil {
		return nil, err
	}
	f.template = string(template)
	if len(f.command) < 2 {
		return nil, errors.New("deploy/system.toml has no run command")
	}
	if f.dir, err = os.MkdirTemp("", "review-"); err != nil {
		return nil, err
	}
	f.emulated.Store = &emul.Store{}
	if err = f.emulated.Start(); err != nil {
		_ = os.RemoveAll(f.dir)
		return nil, err
	}
	return f, nil
}

// configure writes the first configuration, with a limit on bodies that emul.Fleet does not offer.
func (f *fleet) configure(maxBody int, routes ...emul.Route) {
	f.emulated.Configure(1, routes...)
	text := string(f.emulated.Store.Newest("keyed.op", "config"))
	f.emulated.Store.Put("keyed.op", "config", []byte(strings.Replace(text, `"maxBodyBytes":1048576`, fmt.Sprintf(`"maxBodyBytes":%d`, maxBody), 1)))
}

// tomlString returns the value of a key whose value is a string on one line.
func tomlString(text, key string) string {
	for _, line := range strings.Split(text, "\n") {
		if name, value, ok := strings.Cut(line, "="); ok && strings.TrimSpace(name) == key {
			return strings.Trim(strings.TrimSpace(value), `"`)
		}
	}
	return ""
}

// close ends all processes and servers that the fleet has started.
func (f *fleet) close() {
	for _, m := range f.machines {
		m.kill()
		m.server.close()
	}
	f.emulated.Close()
	if os.Getenv("KEEP") == "" {
		_ = os.RemoveAll(f.dir)
	}
}

// add adds a machine with a server of a service. The node is started by start.
func (f *fleet) add(name, service, zone string, s *server) (m *machine, err error) {
	addrs, err := f.ports.Allocate(5)
	if err != nil {
		return nil, err
	}
	if err = s.start(f.rec); err != nil {
		return nil, err
	}
	m = &machine{
		fleet: f, name: name, service: service, zone: zone, server: s,
		callers: string(addrs[0]), ready: string(addrs[1]), control: string(addrs[2]),
		settings: filepath.Join(f.dir, name+".conf"),
	}
	s.service, s.zone, s.control = service, zone, m.control
	ip, peers, err := net.SplitHostPort(string(addrs[3]))
	if err != nil {
		return nil, err
	}
	_, operator, err := net.SplitHostPort(string(addrs[4]))
	if err != nil {
		return nil, err
	}
	text := strings.NewReplacer(
		"{{nodeName}}", name, "{{service}}", service, "{{zone}}", zone, "{{ip}}", ip,
		"{{listen.outbound}}", m.callers, "{{listen.ready}}", m.ready, "{{listen.control}}", m.control,
		"{{internalPortRange.0}}", peers, "{{internalPortRange.1}}", operator,
		"{{appAddr}}", s.addr, "{{platform.address}}", f.emulated.Addr(), "{{seeds|json}}", "[]",
		"{{bounds.retryBudgetRatio}}", "0.2", "{{bounds.budgetWindowS}}", "10", "{{bounds.retrySlack}}", "50",
		"{{bounds.graceS}}", fmt.Sprint(int(grace.Seconds())), "{{limits.memoryMb}}", strconv.Itoa(memoryMb),
	).Replace(f.template)
	if strings.Contains(text, "{{") {
		return nil, fmt.Errorf("the template has an unknown placeholder: %s", text)
	}
	f.machines = append(f.machines, m)
	return m, os.WriteFile(m.settings, []byte(text), 0o600)
}

// peakMemory returns the largest resident memory that the node has had, in bytes.
func (m *machine) peakMemory() int {
	status, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", m.proc.Process.Pid))
	if err != nil {
		return 0
	}
	for _, line := range strings.Split(string(status), "\n") {
		if text, ok := strings.CutPrefix(line, "VmHWM:"); ok {
			kb, _ := strconv.Atoi(strings.Fields(text)[0])
			return kb << 10
		}
	}
	return 0
}

// enforceMemory kills the node whenever its memory exceeds the limit of the settings, and starts it again, until ctx ends. It
// returns how often the node was killed.
func (m *machine) enforceMemory(ctx context.Context) (killed int, err error) {
	for sleep(ctx, pollInterval) == nil {
		peak := m.peakMemory()
		if peak <= memoryMb<<20 {
			continue
		}
		m.fleet.rec.printf("%s: node has taken %d MiB, the limit is %d MB", m.name, peak>>20, memoryMb)
		m.kill()
		killed++
		if err = sleep(ctx, restartDelay); err != nil {
			return killed, nil
		}
		if err = m.start(); err != nil {
			return killed, err
		}
	}
	m.fleet.rec.printf("%s: node has taken %d MiB at most", m.name, m.peakMemory()>>20)
	return killed, nil
}

// start starts the node of the machine with the command of the deploy file.
func (m *machine) start() error {
	words := make([]string, 0, len(m.fleet.command))
	for _, word := range m.fleet.command {
		words = append(words, strings.ReplaceAll(word, settingsPath, m.settings))
	}
	log, err := os.OpenFile(filepath.Join(m.fleet.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }()
	proc := exec.Command(words[0], words[1:]...)
	proc.Stdout, proc.Stderr = log, log
	proc.Env = []string{"PATH=" + os.Getenv("PATH"), "HOME=" + os.Getenv("HOME")}
	if err = proc.Start(); err != nil {
		return err
	}
	exited := make(chan struct{})
	m.proc, m.exited = proc, exited
	m.fleet.rec.printf("%s: node started, process %d", m.name, proc.Process.Pid)
	go func() {
		_ = proc.Wait()
		m.fleet.rec.printf("%s: node ended: %v", m.name, proc.ProcessState)
		close(exited)
	}()
	return nil
}

// signal sends a signal to the node.
func (m *machine) signal(s syscall.Signal) {
	m.fleet.rec.printf("%s: node gets %v", m.name, s)
	_ = m.proc.Process.Signal(s)
}

// kill ends the node if it runs.
func (m *machine) kill() {
	if m.proc == nil {
		return
	}
	select {
	case <-m.exited:
	default:
		m.signal(syscall.SIGKILL)
		<-m.exited
	}
}

// startAll starts all nodes, and the heartbeats of all servers, and waits until the nodes are ready.
func (f *fleet) startAll(ctx context.Context) error {
	for _, m := range f.machines {
		if err := m.start(); err != nil {
			return err
		}
	}
	for _, m := range f.machines {
		if err := m.awaitReady(ctx); err != nil {
			return err
		}
		m.server.beatEvery(ctx)
	}
	// Traffic starts 8 s after the machines do.
	return sleep(ctx, 8*time.Second)
}

// awaitReady waits until the node answers the platform's readiness check with 200.
func (m *machine) awaitReady(ctx context.Context) error {
	client := http.Client{Timeout: time.Second}
	for end := time.Now().Add(readyTimeout); time.Now().Before(end); {
		if resp, err := client.Get("http://" + m.ready + "/v1/readiness"); err == nil {
			_ = resp.Body.Close()
			if resp.StatusCode == http.StatusOK {
				m.fleet.rec.printf("%s: node is ready", m.name)
				return nil
			}
		}
		if err := sleep(ctx, pollInterval); err != nil {
			return err
		}
	}
	return fmt.Errorf("%s: node is not ready after %v", m.name, readyTimeout)
}

// sleep waits for a duration, or returns the error of ctx if that ends before.
func sleep(ctx context.Context, d time.Duration) error {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// sleepUntil waits until a time.
func sleepUntil(ctx context.Context, t time.Time) error { return sleep(ctx, time.Until(t)) }
