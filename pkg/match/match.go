package match

import (
	"math/bits"
	"slices"
	"strings"
	"sync/atomic"
	"time"

	"github.com/samber/oops"

	"briarworks.example/briarworks/pkg/ident"
)

// Weight is the share of a route's requests that a service gets, relative to the weights of the other services.
type Weight int

// WeightedService is one service of a route with its weight.
type WeightedService struct {
	Service ident.Service
	Weight  Weight
}

// Route is one kind of work; it must not be modified after New.
type Route struct {
	Name          ident.Kind
	Host          string
	Prefix        string            // begins and ends with a slash
	Idempotent    bool              // may run more than once
	Rank          ident.Rank        // 0 is the most urgent; New renumbers the ranks of all routes without gaps
	MaxAttempts   int               // maximum number of servers that one attempt of a caller may be sent to
	Timeout       time.Duration     // for an answer
	TargetLatency time.Duration     // latency within which an answer keeps its full value
	Services      []WeightedService // one, or several with weights

	total uint64        // sum of the weights
	next  atomic.Uint64 // number of requests distributed so far
}

// Service is the configuration of a service.
type Service struct {
	Name   ident.Service
	Health string // path of the health check
	Conns  ident.Conns
}

// Limits are the limits on the requests of a caller.
type Limits struct {
	MaxHeader     ident.Bytes
	MaxBody       ident.Bytes
	HeaderTimeout time.Duration // for all headers
	IdleTimeout   time.Duration // between two requests on a connection
}

// Table holds the routes of one configuration version. It is immutable except for the counters that distribute
// requests, and safe for concurrent use.
type Table struct {
	Version  ident.Version
	Limits   Limits
	Ranks    int // number of distinct ranks
	routes   []*Route
	services map[ident.Service]Service
	hosts    map[string]*hostRoutes // by host name in lower case
}

// hostRoutes maps the path prefixes of one host to routes.
type hostRoutes struct {
	prefixes map[string]*Route
	longest  int // length of the longest prefix, in bytes
}

// New builds the table of a configuration version. It returns an error for a route without a service or weight,
// or with a prefix that does not begin and end with a slash.
func New(version ident.Version, limits Limits, services []Service, routes []*Route) (t *Table, err error) {
	defer func() { err = oops.In("match").Wrapf(err, "match: version %d", version) }()
	t = &Table{
		Version: version, Limits: limits, routes: routes,
		services: make(map[ident.Service]Service, len(services)), hosts: make(map[string]*hostRoutes),
	}
	for _, s := range services {
		t.services[s.Name] = s
	}
	for _, r := range routes {
		if err = t.add(r); err != nil {
			return nil, err
		}
	}
	t.compactRanks()
	return t, nil
}

// compactRanks renumbers the ranks of the routes without gaps, in the same order.
func (t *Table) compactRanks() {
	var ranks []ident.Rank
	for _, r := range t.routes {
		if i, found := slices.BinarySearch(ranks, r.Rank); !found {
			ranks = slices.Insert(ranks, i, r.Rank)
		}
	}
	for _, r := range t.routes {
		i, _ := slices.BinarySearch(ranks, r.Rank)
		r.Rank = ident.Rank(i)
	}
	t.Ranks = len(ranks)
}

// Services returns the number of services.
func (t *Table) Services() int { return len(t.services) }

func (t *Table) add(r *Route) error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return oops.Errorf("route %s: prefix %q does not begin and end with a slash", r.Name, r.Prefix)
	}
	for _, p := range r.Services {
		if p.Service == "" || p.Weight < 0 {
			return oops.Errorf("route %s: service without a name or with a negative weight", r.Name)
		}
		r.total += uint64(p.Weight)
	}
	if r.total == 0 {
		return oops.Errorf("route %s: no service has a positive weight", r.Name)
	}
	name := strings.ToLower(r.Host)
	h := t.hosts[name]
	if h == nil {
		h = &hostRoutes{prefixes: make(map[string]*Route)}
		t.hosts[name] = h
	}
	h.prefixes[r.Prefix] = r
	h.longest = max(h.longest, len(r.Prefix))
	return nil
}

// Routes returns all routes in the order of the configuration; the slice must not be modified.
func (t *Table) Routes() []*Route { return t.routes }

// Service returns the configuration of a service, and false when there is none.
func (t *Table) Service(name ident.Service) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Find returns the route of the host with the longest prefix of the path, and false when none matches. path is
// the path as it was sent, without its query.
func (t *Table) Find(hostname, path string) (*Route, bool) {
	h := t.hosts[hostname]
	if h == nil {
		if h = t.hosts[strings.ToLower(hostname)]; h == nil {
			return nil, false
		}
	}
	for n := min(len(path), h.longest); n > 0; n-- {
		if path[n-1] != '/' {
			continue
		}
		if r, ok := h.prefixes[path[:n]]; ok {
			return r, true
		}
	}
	return nil, false
}

// fibonacciMultiplier is 2^64 divided by the golden ratio. Any number of its consecutive multiples are
// distributed evenly over the 64-bit values.
const fibonacciMultiplier = 0x9E3779B97F4A7C15

// Pick returns the service for the next request of the route. Any run of consecutive requests is distributed
// nearly in proportion to the weights, so a short interval has nearly the same shares as a long one. Nodes pass
// different offsets to get different sequences.
func (r *Route) Pick(offset uint64) ident.Service {
	if len(r.Services) == 1 {
		return r.Services[0].Service
	}
	point := r.next.Add(1)*fibonacciMultiplier + offset
	position, _ := bits.Mul64(point, r.total)
	for _, p := range r.Services {
		if position < uint64(p.Weight) {
			return p.Service
		}
		position -= uint64(p.Weight)
	}
	return r.Services[len(r.Services)-1].Service
}
