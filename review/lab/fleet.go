package main

import (
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"os/signal"
	"path/filepath"
	"strings"
	"sync"
	"syscall"
	"time"
)

// Ports of each machine, the same on all machines. Each machine has a loopback address of its own.
const (
	portApp = iota
	portReady
	portOutbound
	portControl
	portPeers
	portOperator
	portCount
)

// machine is one machine: a backend server and the node beside it.
type machine struct {
	name, service, zone, ip       string
	app, ready, outbound, control string
	settings                      string // path
	server                        *server

	mu      sync.Mutex
	process *exec.Cmd
	exited  chan struct{}
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	log      *journal
	dir      string // temporary folder
	store    *store
	machines []*machine
	spare    []*machine // not started yet
	servers  []*server  // all runs of servers
	base     int        // first port
	seeds    string
	version  int
}

// fleetNet is the start of the loopback addresses of the machines.
const fleetNet = "127.93.0."

// newFleet starts the store and describes the machines, one for each service name.
func newFleet(log *journal, services ...string) (f *fleet, err error) {
	f = &fleet{log: log}
	if f.dir, err = os.MkdirTemp("", "briar-review-"); err != nil {
		return nil, err
	}
	if f.base, err = freePorts(len(services)); err != nil {
		return nil, err
	}
	if f.store, err = startStore(storeAddr(f.base)); err != nil {
		return nil, err
	}
	addr := func(i, port int) string { return fmt.Sprintf("%s%d:%d", fleetNet, i+1, f.base+port) }
	f.endOnSignal()
	var seeds []string
	for i, service := range services {
		m := &machine{
			name: fmt.Sprintf("sidecar-%d", i+1), service: service, zone: fmt.Sprintf("zone-%c", 'a'+i%3), ip: fmt.Sprintf("%s%d", fleetNet, i+1),
			app: addr(i, portApp), ready: addr(i, portReady), outbound: addr(i, portOutbound), control: addr(i, portControl),
		}
		f.machines = append(f.machines, m)
		if len(seeds) < 3 {
			seeds = append(seeds, fmt.Sprintf("%q", m.control))
		}
	}
	f.seeds = "[" + strings.Join(seeds, ",") + "]"
	return f, nil
}

// maxCaseTime bounds the time of a case.
const maxCaseTime = 110 * time.Second

// endOnSignal ends all processes of the fleet and this one on a signal to stop, or if the case takes too long.
func (f *fleet) endOnSignal() {
	signals := make(chan os.Signal, 1)
	signal.Notify(signals, syscall.SIGINT, syscall.SIGTERM)
	go func() {
		select {
		case <-signals:
		case <-time.After(maxCaseTime):
		}
		f.log.printf("the case is ended early")
		f.close()
		os.Exit(statusFailed)
	}()
}

// freePorts returns the first of portCount ports that are free on all loopback addresses of the fleet.
func freePorts(machines int) (base int, err error) {
	// Runs beside each other begin their search at different ports.
	for base = 21000 + os.Getpid()%250*20; base < 31000; base += 20 {
		if portsFree(base, machines) {
			return base, nil
		}
	}
	return 0, fmt.Errorf("no free ports")
}

func portsFree(base, machines int) bool {
	addrs := []string{storeAddr(base)}
	for i := range machines {
		for port := range portCount {
			addrs = append(addrs, fmt.Sprintf("%s%d:%d", fleetNet, i+1, base+port))
		}
	}
	for _, addr := range addrs {
		ln, err := net.Listen("tcp", addr)
		if err != nil {
			return false
		}
		_ = ln.Close()
	}
	return true
}

// storeAddr returns the address of the store.
func storeAddr(base int) string { return fmt.Sprintf("%s200:%d", fleetNet, base) }

// templatePath is the settings template of the deploy file.
const templatePath = "deploy/node.yaml"

// writeSettings fills in the template for a machine, with the bounds of the small deployments.
func (f *fleet) writeSettings(m *machine) error {
	text, err := os.ReadFile(templatePath)
	if err != nil {
		return err
	}
	filled := strings.NewReplacer(
		"{{nodeName}}", m.name, "{{service}}", m.service, "{{zone}}", m.zone, "{{ip}}", m.ip,
		"{{listen.outbound}}", m.outbound, "{{listen.ready}}", m.ready, "{{listen.control}}", m.control,
		"{{internalPortRange.0}}", fmt.Sprint(f.base+portPeers), "{{internalPortRange.1}}", fmt.Sprint(f.base+portOperator),
		"{{appAddr}}", m.app, "{{platform.address}}", f.store.addr, "{{seeds|json}}", f.seeds,
		"{{bounds.retryBudgetRatio}}", "0.2", "{{bounds.budgetWindowS}}", "10", "{{bounds.retrySlack}}", "50",
		"{{bounds.graceS}}", "6", "{{limits.memoryMb}}", "284",
	).Replace(string(text))
	m.settings = filepath.Join(f.dir, m.name+".yaml")
	return os.WriteFile(m.settings, []byte(filled), 0o600)
}

// startNode starts the node of a machine with the command of the deploy file.
func (f *fleet) startNode(m *machine) error {
	out, err := os.OpenFile(filepath.Join(f.dir, m.name+".log"), os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	cmd := exec.Command("target/briarworks", "sidecar", "--settings", m.settings)
	cmd.Stdout, cmd.Stderr = out, out
	if err = cmd.Start(); err != nil {
		_ = out.Close()
		return err
	}
	exited := make(chan struct{})
	m.mu.Lock()
	m.process, m.exited = cmd, exited
	m.mu.Unlock()
	go func() {
		_ = cmd.Wait()
		_ = out.Close()
		close(exited)
	}()
	return nil
}

// killNode sends SIGKILL to the node of a machine and waits for its end.
func (m *machine) killNode() {
	m.mu.Lock()
	cmd, exited := m.process, m.exited
	m.mu.Unlock()
	if cmd == nil {
		return
	}
	_ = cmd.Process.Kill()
	<-exited
}

// startMachine starts the server and the node of a machine.
func (f *fleet) startMachine(m *machine, instance string) error {
	if err := f.writeSettings(m); err != nil {
		return err
	}
	s, err := f.startServer(m, instance, time.Now())
	if err != nil {
		return err
	}
	if err = f.startNode(m); err != nil {
		return err
	}
	s.beatEvery(f)
	return nil
}

// start writes the configuration, starts all machines but the last spare ones, and waits until the nodes are ready.
func (f *fleet) start(spare int, services ...string) error {
	f.configure(services...)
	all := f.machines
	f.machines = all[:len(all)-spare]
	for i, m := range f.machines {
		if err := f.startMachine(m, fmt.Sprintf("i-%04x", 0x7a01+i)); err != nil {
			return err
		}
	}
	f.spare = all[len(f.machines):]
	for end := time.Now().Add(15 * time.Second); !f.allReady(); time.Sleep(50 * time.Millisecond) {
		if time.Now().After(end) {
			return fmt.Errorf("the nodes are not ready")
		}
	}
	f.log.printf("%d nodes are ready", len(f.machines))
	return nil
}

// readyClient asks the ready addresses.
var readyClient = &http.Client{Timeout: time.Second, Transport: &http.Transport{DisableKeepAlives: true}}

func (f *fleet) allReady() bool {
	for _, m := range f.machines {
		if !m.isReady() {
			return false
		}
	}
	return true
}

func (m *machine) isReady() bool {
	resp, err := readyClient.Get("http://" + m.ready + "/v1/readiness")
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// close ends all processes that the fleet has started, and removes its folder.
func (f *fleet) close() {
	for _, m := range f.machines {
		m.killNode()
		if m.server != nil {
			m.server.crash()
		}
	}
	f.store.close()
	if os.Getenv("KEEP_LOGS") == "" {
		_ = os.RemoveAll(f.dir)
	} else {
		fmt.Println("logs of the nodes:", f.dir)
	}
}

// routeTimeout is the timeoutMs of all routes, the longest deadline of a request on the site.
const routeTimeout = 6 * time.Second

// configHost is the host of all routes.
const configHost = "hulo84.example"

// configure writes the next configuration: one idempotent route to each service.
func (f *fleet) configure(services ...string) {
	f.version += 3
	var items []string
	for _, s := range services {
		items = append(items,
			fmt.Sprintf(`{"resourceType":"routes","metadata":{"name":"r-%s"},"spec":{"authority":%q,"pathPrefix":"/%s/","routeType":"idempotent","timeoutMs":%d,"targetLatencyMs":1200,"priority":1,"service":%q,"maxAttempts":2}}`, s, configHost, s, routeTimeout.Milliseconds(), s),
			fmt.Sprintf(`{"resourceType":"services","metadata":{"name":%q},"spec":{"healthPath":"/health","maxConnections":376,"protocol":"h1","tls":false}}`, s))
	}
	items = append(items, `{"resourceType":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`)
	f.store.put("keyed.op", "config", []byte(fmt.Sprintf(`{"version":"%08x","resources":[%s]}`, f.version, strings.Join(items, ","))))
}
