package stats

import (
	"io"
	"net/http"
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
	"github.com/uber-go/tally/v4/prometheus"

	"briarworks.example/briarworks/pkg/ident"
	"briarworks.example/briarworks/pkg/reason"
)

// reportPeriod is how often tally hands its values to the reporter.
const reportPeriod = time.Second

// Stats holds the metrics of one node.
type Stats struct {
	Scope    tally.Scope
	Handler  http.Handler // serves the metrics
	closer   io.Closer
	refusals map[reason.Refusal]tally.Counter
	retries  map[reason.Retry]tally.Counter
	kinds    sync.Map // ident.Kind -> *kindStats
	mu       sync.Mutex
	events   map[string]tally.Counter
}

// kindStats are the metrics of one kind of work.
type kindStats struct {
	served  tally.Counter
	refused tally.Counter
	took    tally.Timer
}

// New returns the metrics of a node; Close ends their reporting.
func New(server ident.Server, service ident.Service) *Stats {
	rep := prometheus.NewReporter(prometheus.Options{})
	scope, closer := tally.NewRootScope(tally.ScopeOptions{
		Prefix: "briarworks", Separator: prometheus.DefaultSeparator,
		CachedReporter: rep, SanitizeOptions: &prometheus.DefaultSanitizerOpts,
		Tags: map[string]string{"server": string(server), "service": string(service)},
	}, reportPeriod)
	s := &Stats{
		Scope: scope, Handler: rep.HTTPHandler(), closer: closer,
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

// Close reports once more and stops.
func (s *Stats) Close() error { return s.closer.Close() }

// Refused counts a refusal told to a caller.
func (s *Stats) Refused(kind ident.Kind, why reason.Refusal) {
	if c := s.refusals[why]; c != nil {
		c.Inc(1)
	}
	s.kind(kind).refused.Inc(1)
}

// Retried counts a retry.
func (s *Stats) Retried(why reason.Retry) {
	if c := s.retries[why]; c != nil {
		c.Inc(1)
	}
}

// Served counts a whole answer and the time it took.
func (s *Stats) Served(kind ident.Kind, took time.Duration) {
	k := s.kind(kind)
	k.served.Inc(1)
	k.took.Record(took)
}

// kind returns the metrics of a kind; kinds come from the rules, so there are few.
func (s *Stats) kind(name ident.Kind) *kindStats {
	if k, ok := s.kinds.Load(name); ok {
		return k.(*kindStats)
	}
	scope := s.Scope.Tagged(map[string]string{"kind": string(name)})
	k := &kindStats{served: scope.Counter("served"), refused: scope.Counter("refused"), took: scope.Timer("latency")}
	got, _ := s.kinds.LoadOrStore(name, k)
	return got.(*kindStats)
}

// Count counts a named event, such as one of a connection.
func (s *Stats) Count(event string) {
	s.mu.Lock()
	c := s.events[event]
	if c == nil {
		c = s.Scope.Tagged(map[string]string{"event": event}).Counter("events")
		s.events[event] = c
	}
	s.mu.Unlock()
	c.Inc(1)
}

// Set sets a gauge.
func (s *Stats) Set(name string, v float64) { s.Scope.Gauge(name).Update(v) }

// SetKind sets a gauge of one kind of work.
func (s *Stats) SetKind(name, kind string, v float64) {
	s.Scope.Tagged(map[string]string{"kind": kind}).Gauge(name).Update(v)
}
