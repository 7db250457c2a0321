package stats

import (
	"io"
	"net/http"
	"sync"
	"time"

	prom "github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/reason"
)

// reportInterval is the interval at which tally passes its values to the reporter.
const reportInterval = time.Second

// Stats holds the metrics of one node.
type Stats struct {
	Scope    tally.Scope
	Handler  http.Handler // serves the metrics in the Prometheus text format
	closer   io.Closer
	refusals map[reason.Refusal]tally.Counter
	retries  map[reason.Retry]tally.Counter
	kinds    sync.Map   // ident.Kind -> *kindStats
	mu       sync.Mutex // guards events
	events   map[string]tally.Counter
}

// kindStats are the metrics of one kind of work.
type kindStats struct {
	served  tally.Counter
	refused tally.Counter
	latency tally.Timer
}

// New returns the metrics of a node and starts to report them; Close stops that.
func New(server ident.Server, service ident.Service) *Stats {
	// Each node has a registry of its own: the default one is shared by the process and rejects a second
	// registration of a metric, so that a second node in the process would fail.
	reg := prom.NewRegistry()
	reg.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reporter := prometheus.NewReporter(prometheus.Options{Registerer: reg})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "briarworks", Separator: prometheus.DefaultSeparator,
		CachedReporter: reporter, SanitizeOptions: &prometheus.DefaultSanitizerOpts,
		Tags: map[string]string{"server": string(server), "service": string(service)},
	}, reportInterval)
	s := &Stats{
		Scope: scope, Handler: reporter.HTTPHandler(), closer: closer,
		refusals: make(map[reason.Refusal]tally.Counter), retries: make(map[reason.Retry]tally.Counter),
		events: make(map[string]tally.Counter),
	}
	for _, r := range reason.Refusals() {
		s.refusals[r] = scope.Tagged(map[string]string{"reason": r.String()}).Counter("refusals")
		s.refusals[r].Inc(0)
	}
	for _, r := range reason.Retries() {
		s.retries[r] = scope.Tagged(map[string]string{"reason": r.String()}).Counter("retries")
		s.retries[r].Inc(0)
	}
	return s
}

// Close reports the metrics a last time and stops reporting. It returns the error of closing the reporter.
func (s *Stats) Close() error { return s.closer.Close() }

// Refused counts a refusal that was returned to a caller.
func (s *Stats) Refused(kind ident.Kind, r reason.Refusal) {
	if c := s.refusals[r]; c != nil {
		c.Inc(1)
	}
	s.kind(kind).refused.Inc(1)
}

// Retried counts a retry for the given reason.
func (s *Stats) Retried(r reason.Retry) {
	if c := s.retries[r]; c != nil {
		c.Inc(1)
	}
}

// Served counts a complete response and records its latency.
func (s *Stats) Served(kind ident.Kind, latency time.Duration) {
	k := s.kind(kind)
	k.served.Inc(1)
	k.latency.Record(latency)
}

// kind returns the metrics of a kind. They are never removed: kinds come from the rules, so there are few.
func (s *Stats) kind(name ident.Kind) *kindStats {
	if k, ok := s.kinds.Load(name); ok {
		return k.(*kindStats)
	}
	scope := s.Scope.Tagged(map[string]string{"kind": string(name)})
	k := &kindStats{served: scope.Counter("served"), refused: scope.Counter("refused"), latency: scope.Timer("latency")}
	got, _ := s.kinds.LoadOrStore(name, k)
	return got.(*kindStats)
}

// CountEvent counts an event by name, such as a connection event.
func (s *Stats) CountEvent(event string) {
	s.mu.Lock()
	c := s.events[event]
	if c == nil {
		c = s.Scope.Tagged(map[string]string{"event": event}).Counter("events")
		s.events[event] = c
	}
	s.mu.Unlock()
	c.Inc(1)
}

// SetGauge sets the gauge with the given name.
func (s *Stats) SetGauge(name string, v float64) { s.Scope.Gauge(name).Update(v) }

// SetKindGauge sets the gauge with the given name for one kind of work.
func (s *Stats) SetKindGauge(name, kind string, v float64) {
	s.Scope.Tagged(map[string]string{"kind": kind}).Gauge(name).Update(v)
}
