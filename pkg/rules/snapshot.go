package rules

import (
	"time"

	"github.com/samber/oops"

	"briarworks.example/briarworks/pkg/ident"
)

// Unlisted is the reserved name of the kind of requests that match no other kind.
const Unlisted ident.Kind = "unlisted"

// Kind is one compiled kind of work; it must not be modified.
type Kind struct {
	Name       ident.Kind
	Rank       ident.Rank
	RankName   string
	Service    ident.Service // at which callers outside the fleet enter
	Deadline   time.Duration
	Idempotent bool
	AtMostOnce bool
	Protected  bool
}

// Snapshot is a compiled document. It is immutable and safe for use by any number of goroutines.
type Snapshot struct {
	document *Document
	services map[ident.Service]*Service
	kinds    map[ident.Kind]*Kind
	ordered  []*Kind
	unlisted *Kind
	routes   map[routeKey]*prefixTable
}

// routeKey selects the prefixTable that a request is matched against.
type routeKey struct {
	service ident.Service
	method  string
}

// prefixTable maps the path prefixes of one service and method to kinds.
type prefixTable struct {
	prefixes map[string]*Kind
	longest  int // length of the longest prefix, in bytes
}

// Compile builds the snapshot of a document. It fails if a kind has a rank that is not in the list of ranks.
func Compile(d *Document) (s *Snapshot, err error) {
	defer func() {
		if err != nil {
			err = oops.In("rules").Wrapf(err, "rules: compile")
		}
	}()
	s = &Snapshot{
		document: d.clone(),
		services: make(map[ident.Service]*Service),
		kinds:    make(map[ident.Kind]*Kind),
		routes:   make(map[routeKey]*prefixTable),
	}
	d = s.document
	ranks := make(map[string]ident.Rank)
	for i, r := range d.Ranks {
		ranks[r.Name] = ident.Rank(i)
	}
	for i := range d.Services {
		s.services[d.Services[i].Name] = &d.Services[i]
	}
	for _, rule := range d.Kinds {
		rank, ok := ranks[rule.Rank]
		if !ok {
			return nil, oops.Errorf("kind %s: rank %q is not in ranks", rule.Name, rule.Rank)
		}
		s.add(rule, rank)
	}
	s.unlisted = &Kind{
		Name:     Unlisted,
		Rank:     ident.Rank(max(len(d.Ranks)-1, 0)),
		Deadline: d.Rules.UnlistedDeadline,
	}
	if n := len(d.Ranks); n > 0 {
		s.unlisted.RankName = d.Ranks[n-1].Name
	}
	return s, nil
}

// KeyWindow returns the time within which a caller may repeat a key.
func (s *Snapshot) KeyWindow() time.Duration { return s.document.Rules.KeyWindow }

func (s *Snapshot) add(rule KindRule, rank ident.Rank) {
	k := &Kind{
		Name: rule.Name, Rank: rank, RankName: rule.Rank, Service: rule.Service, Deadline: rule.Deadline,
		Idempotent: rule.Idempotent, AtMostOnce: rule.AtMostOnce, Protected: rule.Protected,
	}
	s.kinds[k.Name] = k
	s.ordered = append(s.ordered, k)
	at := routeKey{rule.Service, rule.Method}
	t := s.routes[at]
	if t == nil {
		t = &prefixTable{prefixes: make(map[string]*Kind)}
		s.routes[at] = t
	}
	prefix := trimTrailingSlash(rule.Path)
	t.prefixes[prefix] = k
	t.longest = max(t.longest, len(prefix))
}

// Document returns the document that was compiled; it must not be modified.
func (s *Snapshot) Document() *Document { return s.document }

// Service returns a service of the inventory, and false when there is none; it must not be modified.
func (s *Snapshot) Service(name ident.Service) (*Service, bool) {
	v, ok := s.services[name]
	return v, ok
}

// KindNamed returns the kind with the given name, Unlisted included, and false when there is none.
func (s *Snapshot) KindNamed(name ident.Kind) (*Kind, bool) {
	if name == Unlisted {
		return s.unlisted, true
	}
	k, ok := s.kinds[name]
	return k, ok
}

// Kinds returns all kinds but Unlisted in the order of the document; the slice must not be modified.
func (s *Snapshot) Kinds() []*Kind { return s.ordered }

// Unlisted returns the kind of requests that match no other kind: it has the least urgent rank and is neither
// idempotent nor protected.
func (s *Snapshot) Unlisted() *Kind { return s.unlisted }

// Rules returns the rules of the fleet.
func (s *Snapshot) Rules() Rules { return s.document.Rules }

// Ranks returns the number of ranks.
func (s *Snapshot) Ranks() int { return len(s.document.Ranks) }

// Classify returns the kind of a request that enters at a service, and false when none matches: the kind with
// the longest path prefix of whole segments. The query is ignored. A path that is not in normal form (dot
// segments, empty segments, unneeded percent-encoding) matches no kind, because the backend server could
// interpret it as the path of another kind.
func (s *Snapshot) Classify(service ident.Service, method, path string) (*Kind, bool) {
	t := s.routes[routeKey{service, method}]
	if t == nil {
		return nil, false
	}
	path, ok := normalize(path)
	if !ok {
		return nil, false
	}
	return t.match(path)
}

func (t *prefixTable) match(path string) (*Kind, bool) {
	path = truncateToSegment(path, t.longest)
	for {
		if k, ok := t.prefixes[path]; ok {
			return k, true
		}
		if path == "" {
			return nil, false
		}
		path = truncateToSegment(path, len(path)-1)
	}
}
