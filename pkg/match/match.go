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

// Weight is the part of a route's requests that a service gets, relative to the other services of the route.
type Weight int

// Part is one service of a route.
type Part struct {
	Service ident.Service
	Weight  Weight
}

// Route is one kind of work; it must not be changed after New.
type Route struct {
	Name       ident.Kind
	Host       string
	Prefix     string        // begins and ends with a slash
	Idempotent bool          // may run more than once
	Rank       ident.Rank    // New replaces it by its place among the ranks of all routes, 0 for the most urgent
	Attempts   int           // most servers that one attempt of a caller may be sent to
	Timeout    time.Duration // longest time to an answer
	Target     time.Duration // time within which an answer has its full worth
	Parts      []Part        // one, or several with weights

	total uint64        // sum of the weights
	next  atomic.Uint64 // requests spread so far
}

// Service is what the configuration says of a service.
type Service struct {
	Name   ident.Service
	Health string // path of the health check
	Conns  ident.Conns
}

// Limits bound what a caller may send.
type Limits struct {
	Header     ident.Bytes
	Body       ident.Bytes
	HeaderTime time.Duration // to send all headers
	Idle       time.Duration // between two requests of a connection
}

// Table holds the routes of one version. It is immutable but for the counters that spread requests, and
// safe for use by any number of goroutines.
type Table struct {
	Version  ident.Version
	Limits   Limits
	Ranks    int // different ranks of the routes
	routes   []*Route
	services map[ident.Service]Service
	hosts    map[string]*host
}

// host maps the prefixes of one host to routes.
type host struct {
	prefixes map[string]*Route
	longest  int // bytes of the longest prefix
}

// New builds the table of a version; a route without a service or weight, or with a prefix that does not
// begin and end with a slash, is an error.
func New(version ident.Version, limits Limits, services []Service, routes []*Route) (t *Table, err error) {
	defer func() { err = oops.In("match").Wrapf(err, "match: version %d", version) }()
	t = &Table{
		Version: version, Limits: limits, routes: routes,
		services: make(map[ident.Service]Service, len(services)), hosts: make(map[string]*host),
	}
	for _, s := range services {
		t.services[s.Name] = s
	}
	for _, r := range routes {
		if err = t.add(r); err != nil {
			return nil, err
		}
	}
	t.rank()
	return t, nil
}

// rank numbers the ranks of the routes without gaps.
func (t *Table) rank() {
	var all []ident.Rank
	for _, r := range t.routes {
		if at, found := slices.BinarySearch(all, r.Rank); !found {
			all = slices.Insert(all, at, r.Rank)
		}
	}
	for _, r := range t.routes {
		at, _ := slices.BinarySearch(all, r.Rank)
		r.Rank = ident.Rank(at)
	}
	t.Ranks = len(all)
}

// Services returns the number of services.
func (t *Table) Services() int { return len(t.services) }

func (t *Table) add(r *Route) error {
	if !strings.HasPrefix(r.Prefix, "/") || !strings.HasSuffix(r.Prefix, "/") {
		return oops.Errorf("route %s: prefix %q does not begin and end with a slash", r.Name, r.Prefix)
	}
	for _, p := range r.Parts {
		if p.Service == "" || p.Weight < 0 {
			return oops.Errorf("route %s: a part has no service or a negative weight", r.Name)
		}
		r.total += uint64(p.Weight)
	}
	if r.total == 0 {
		return oops.Errorf("route %s: no service with a weight", r.Name)
	}
	name := strings.ToLower(r.Host)
	h := t.hosts[name]
	if h == nil {
		h = &host{prefixes: make(map[string]*Route)}
		t.hosts[name] = h
	}
	h.prefixes[r.Prefix] = r
	h.longest = max(h.longest, len(r.Prefix))
	return nil
}

// Routes returns every route in the order of the configuration; the slice must not be changed.
func (t *Table) Routes() []*Route { return t.routes }

// Service returns what the configuration says of a service.
func (t *Table) Service(name ident.Service) (Service, bool) {
	s, ok := t.services[name]
	return s, ok
}

// Find returns the route whose host is the given one and whose prefix is the longest that begins the path.
// The path is compared as it was sent, without its query.
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

// golden is 2^64 divided by the golden ratio: its multiples spread evenly over all 64-bit values however
// many of them are taken.
const golden = 0x9E3779B97F4A7C15

// Pick returns the service for the next request of the route. Any run of consecutive requests is divided
// nearly by weight, so a short time shows the shares as well as a long one; offset makes the sequences of
// several nodes differ.
func (r *Route) Pick(offset uint64) ident.Service {
	if len(r.Parts) == 1 {
		return r.Parts[0].Service
	}
	point := r.next.Add(1)*golden + offset
	at, _ := bits.Mul64(point, r.total)
	for _, p := range r.Parts {
		if at < uint64(p.Weight) {
			return p.Service
		}
		at -= uint64(p.Weight)
	}
	return r.Parts[len(r.Parts)-1].Service
}
