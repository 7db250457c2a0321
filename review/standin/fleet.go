package main

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"time"

	"briarworks.example/briarworks/platform/emul"
)

// Figures of the deployment, as in the settings of the small sites.
const (
	contact   = 3 * time.Second // after its start, a machine is in touch
	heartbeat = 1500 * time.Millisecond
	settings  = `server: %s
service: %s
dataCentre: zone-a
listen:
  callers: %s
  ready: %s
  beats: %s
  peers: %s
  operator: %s
backend: %s
store: %s
seeds: []
retries:
  ratio: 0.2
  window: 10s
  slack: 50
stopTimeout: 6s
memory: 284
`
)

// machine is a node and the backend server beside it.
type machine struct {
	name, settings, callers, ready string
	server                         *server
	cmd                            *exec.Cmd
}

// fleet is a small deployment on loopback addresses.
type fleet struct {
	rec       *record
	dir       string
	storeAddr string
	storeHTTP *http.Server
	machines  []*machine
}

// newFleet starts the store with a configuration.
func newFleet(rec *record, config string) (*fleet, error) {
	dir, err := os.MkdirTemp("", "review")
	if err != nil {
		return nil, err
	}
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return nil, err
	}
	store := &emul.Store{}
	store.Put("keyed.op", "config", []byte(config))
	f := &fleet{rec: rec, dir: dir, storeAddr: ln.Addr().String()}
	f.storeHTTP = &http.Server{Handler: store, ReadHeaderTimeout: time.Second}
	go func() { _ = f.storeHTTP.Serve(ln) }()
	return f, nil
}

// freeAddresses returns n free addresses of an IP number.
func freeAddresses(ip string, n int) (all []string, err error) {
	for range n {
		ln, err := net.Listen("tcp", ip+":0")
		if err != nil {
			return nil, err
		}
		defer func() { _ = ln.Close() }()
		all = append(all, ln.Addr().String())
	}
	return all, nil
}

// add starts a machine of a service: its backend server, and its node with the command of the deploy file.
func (f *fleet) add(service string, s *server) error {
	n := len(f.machines) + 1
	addr, err := freeAddresses(fmt.Sprintf("127.0.0.%d", 10+n), 6)
	if err != nil {
		return err
	}
	m := &machine{name: fmt.Sprintf("sidecar-%d", n), callers: addr[0], ready: addr[1], server: s}
	s.service, s.addr, s.node, s.rec = service, addr[5], addr[2], f.rec
	if !s.startsLater {
		if err := s.start(); err != nil {
			return err
		}
	}
	f.machines = append(f.machines, m)
	m.settings = filepath.Join(f.dir, m.name+".yaml")
	text := fmt.Sprintf(settings, m.name, service, addr[0], addr[1], addr[2], addr[3], addr[4], addr[5], f.storeAddr)
	if err := os.WriteFile(m.settings, []byte(text), 0o600); err != nil {
		return err
	}
	log, err := os.Create(filepath.Join(f.dir, m.name+".log"))
	if err != nil {
		return err
	}
	defer func() { _ = log.Close() }() // the process has a descriptor of its own
	m.cmd = exec.Command("target/briarworks", "sidecar", "--settings", m.settings)
	m.cmd.Stdout, m.cmd.Stderr = log, log
	f.rec.printf("node %s of service %s starts", m.name, service)
	return m.cmd.Start()
}

// awaitReady waits until all nodes are ready, and then until they count as in touch.
func (f *fleet) awaitReady(ctx context.Context) error {
	for _, m := range f.machines {
		for !isReady(ctx, m.ready) {
			if !sleep(ctx, 50*time.Millisecond) {
				return fmt.Errorf("node %s is not ready", m.name)
			}
		}
	}
	f.rec.printf("all nodes are ready")
	sleep(ctx, contact)
	return nil
}

func isReady(ctx context.Context, addr string) bool {
	r, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+addr+"/v1/readiness", http.NoBody)
	if err != nil {
		return false
	}
	resp, err := http.DefaultClient.Do(r)
	if err != nil {
		return false
	}
	_ = resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// warmUp sends one request through each node for each server that the node may know.
func (f *fleet) warmUp() error {
	for _, m := range f.machines {
		for range len(f.machines) {
			if a := ask(f.rec, m.callers, newRequest(http.MethodGet, lookupPath, lookupDeadline)); a.err != nil {
				return a.err
			}
		}
	}
	return nil
}

// close ends all processes of the fleet.
func (f *fleet) close() {
	for _, m := range f.machines {
		if m.cmd != nil && m.cmd.Process != nil {
			_ = m.cmd.Process.Kill()
			_ = m.cmd.Wait()
		}
		m.server.stop()
	}
	_ = f.storeHTTP.Close()
	_ = os.RemoveAll(f.dir)
}

// Routes of the deployment. Both lead to the service calendar.
const (
	lookupPath     = "/leny950/2f"
	lookupDeadline = 5 * time.Second
	longPath       = "/leny950/long" // a server works longer on it
	longWork       = 1500 * time.Millisecond
	claimPath      = "/puka111/2f"
)

func routeItem(name, prefix, kind string) string {
	return fmt.Sprintf(`{"resourceType":"routes","metadata":{"name":%q},"spec":{"authority":%q,"pathPrefix":%q,"routeType":%q,"timeoutMs":5000,"targetLatencyMs":1500,"priority":1,"service":"calendar","maxAttempts":2}}`,
		name, host, prefix, kind)
}

func serviceItem(name string, conns int) string {
	return fmt.Sprintf(`{"resourceType":"services","metadata":{"name":%q},"spec":{"healthPath":%q,"maxConnections":%d,"protocol":"h1","tls":false}}`, name, healthPath, conns)
}

// deployment starts one machine of the service desk and three of the service calendar. The server of the first of these starts
// later if late is set.
func deployment(ctx context.Context, rec *record, work time.Duration, size int, late bool) (f *fleet, err error) {
	items := []string{
		routeItem("r-lookup", "/leny950/", "idempotent"), routeItem("r-claim", "/puka111/", "non_idempotent"),
		serviceItem("desk", 376), serviceItem("calendar", 1012),
		`{"resourceType":"limits","metadata":{},"spec":{"maxHeaderBytes":16384,"maxBodyBytes":67108864,"headerTimeoutMs":3000,"idleTimeoutMs":15000}}`,
	}
	if f, err = newFleet(rec, `{"version":"00000007","resources":[`+strings.Join(items, ",")+`]}`); err != nil {
		return nil, err
	}
	defer func() {
		if err != nil {
			f.close()
		}
	}()
	if err = f.add("desk", &server{slots: 46, work: 20 * time.Millisecond}); err != nil {
		return nil, err
	}
	for k := range 3 {
		if err = f.add("calendar", &server{slots: 152, work: work, size: size, startsLater: late && k == 0}); err != nil {
			return nil, err
		}
	}
	return f, f.awaitReady(ctx)
}
