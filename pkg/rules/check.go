package rules

import (
	"fmt"
	"strings"

	"briarworks.example/briarworks/internal/strict"
	"briarworks.example/briarworks/pkg/ident"
)

// check reports the problems that involve several fields. It skips a field that already has a problem, so
// that one mistake is reported once.
func check(d *Document, s *strict.Source) {
	checkNames(d, s)
	checkDataCentres(d, s)
	checkKinds(d, s)
	checkRanks(d, s)
	checkRules(d, s)
}

func checkNames(d *Document, s *strict.Source) {
	checkUnique(s, "dataCentres", ".name", len(d.DataCentres), func(i int) string { return string(d.DataCentres[i].Name) })
	checkUnique(s, "services", ".name", len(d.Services), func(i int) string { return string(d.Services[i].Name) })
	checkUnique(s, "ranks", ".name", len(d.Ranks), func(i int) string { return d.Ranks[i].Name })
	checkUnique(s, "kinds", ".name", len(d.Kinds), func(i int) string { return string(d.Kinds[i].Name) })
}

// checkUnique reports each entry of a list that has the name of an earlier entry.
func checkUnique(s *strict.Source, list, field string, n int, name func(int) string) {
	first := make(map[string]int, n)
	for i := range n {
		at := entryPath(list, i) + field
		if s.HasProblem(at) {
			continue
		}
		if before, ok := first[name(i)]; ok {
			s.AddProblem(at, "%q is already used by %s", name(i), entryPath(list, before))
			continue
		}
		first[name(i)] = i
	}
}

// namesValid reports whether the list is not empty and the names of all entries are valid; otherwise
// references to them are not checked.
func namesValid(s *strict.Source, list string, n int) bool {
	for i := range n {
		if s.HasProblem(entryPath(list, i) + ".name") {
			return false
		}
	}
	return n > 0
}

func entryPath(list string, i int) string { return fmt.Sprintf("%s[%d]", list, i) }

func checkDataCentres(d *Document, s *strict.Source) {
	listed := make(map[ident.DataCentre]bool)
	for _, dc := range d.DataCentres {
		listed[dc.Name] = true
	}
	known := namesValid(s, "dataCentres", len(d.DataCentres))
	for i, service := range d.Services {
		list := entryPath("services", i) + ".dataCentres"
		checkUnique(s, list, "", len(service.DataCentres), func(j int) string { return string(service.DataCentres[j]) })
		for j, dc := range service.DataCentres {
			if at := entryPath(list, j); known && !listed[dc] && !s.HasProblem(at) {
				s.AddProblem(at, "data centre %q is not in dataCentres", dc)
			}
		}
	}
}

func checkKinds(d *Document, s *strict.Source) {
	services := make(map[ident.Service]bool)
	for _, service := range d.Services {
		services[service.Name] = true
	}
	known := namesValid(s, "services", len(d.Services))
	type matchKey struct {
		service      ident.Service
		method, path string
	}
	seen := make(map[matchKey]ident.Kind)
	for i, k := range d.Kinds {
		at := entryPath("kinds", i)
		if k.Name == Unlisted && !s.HasProblem(at+".name") {
			s.AddProblem(at+".name", "%q is reserved for requests that match no kind", Unlisted)
		}
		if known && !services[k.Service] && !s.HasProblem(at+".service") {
			s.AddProblem(at+".service", "service %q is not in services", k.Service)
		}
		if k.AtMostOnce && k.Idempotent {
			s.AddProblem(at+".atMostOnce", "a kind cannot be both atMostOnce and idempotent")
		}
		if s.HasProblem(at+".path") || s.HasProblem(at+".method") {
			continue
		}
		key := matchKey{k.Service, k.Method, trimTrailingSlash(k.Path)}
		if other, ok := seen[key]; ok {
			s.AddProblem(at+".path", "kind %q already has %s %s at service %s", other, k.Method, k.Path, k.Service)
			continue
		}
		seen[key] = k.Name
	}
}

// checkRanks reports unknown and unused ranks, and protected kinds whose rank is not more urgent than that of
// every unprotected kind: they would be shed before unprotected requests.
func checkRanks(d *Document, s *strict.Source) {
	number := make(map[string]int)
	for i, r := range d.Ranks {
		number[r.Name] = i
	}
	known := namesValid(s, "ranks", len(d.Ranks))
	used := make(map[string]bool)
	urgent := -1 // index of the most urgent unprotected kind
	for i, k := range d.Kinds {
		at := entryPath("kinds", i) + ".rank"
		if _, ok := number[k.Rank]; !ok {
			if known && !s.HasProblem(at) {
				s.AddProblem(at, "rank %q is not in ranks", k.Rank)
			}
			continue
		}
		used[k.Rank] = true
		if !k.Protected && (urgent < 0 || number[k.Rank] < number[d.Kinds[urgent].Rank]) {
			urgent = i
		}
	}
	for i, r := range d.Ranks {
		if at := entryPath("ranks", i); len(d.Kinds) > 0 && !used[r.Name] && !s.HasProblem(at) {
			s.AddProblem(at+".name", "no kind uses rank %q", r.Name)
		}
	}
	if urgent < 0 {
		return
	}
	for i, k := range d.Kinds {
		n, ok := number[k.Rank]
		if at := entryPath("kinds", i) + ".rank"; ok && k.Protected && n >= number[d.Kinds[urgent].Rank] && !s.HasProblem(at) {
			s.AddProblem(at, "protected kind %q must have a more urgent rank than %q, as unprotected kind %q has that rank",
				k.Name, d.Kinds[urgent].Rank, d.Kinds[urgent].Name)
		}
	}
}

// checkRules reports a key window that exceeds the log retention: a key whose records were trimmed cannot be
// distinguished from a new one, so its request would run a second time.
func checkRules(d *Document, s *strict.Source) {
	if s.HasProblem("rules.keyWindow") || s.HasProblem("rules.logRetention") {
		return
	}
	if d.Rules.KeyWindow > d.Rules.LogRetention {
		s.AddProblem("rules.keyWindow", "%s is longer than rules.logRetention, %s", formatDuration(d.Rules.KeyWindow), formatDuration(d.Rules.LogRetention))
	}
}

// formatDuration formats a duration without trailing zero units, as in 48h.
func formatDuration(d fmt.Stringer) string {
	v := d.String()
	if strings.HasSuffix(v, "m0s") {
		v = strings.TrimSuffix(v, "0s")
	}
	if strings.HasSuffix(v, "h0m") {
		v = strings.TrimSuffix(v, "0m")
	}
	return v
}
