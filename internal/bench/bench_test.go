package bench

import (
	"errors"
	"flag"
	"math"
	"os"
	"path/filepath"
	"reflect"
	"runtime"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"
)

var (
	measure = flag.Bool("measure", false, "run every case under every policy and print the table")
	out     = flag.String("out", "", "file for the table as comma-separated values")
	seed    = flag.Uint64("seed", 1, "seed of all runs")
	ablate  = flag.Bool("ablate", false, "run every case without each mechanism in turn and print the table")
	only    = flag.String("only", "", "deployment/case/policy prefix of the runs to make")
)

// product is the name of the policy under measurement.
const product = "briarworks"

// job is one run of the table.
type job struct {
	d *deployment
	s scenario
	p policy
}

func (j *job) name() string { return j.d.name + "/" + j.s.name + "/" + j.p.name }

// runAll makes the runs on all cores and returns the rows in the order of the jobs.
func runAll(jobs []job, seed uint64) []row {
	rows := make([]row, len(jobs))
	var wg sync.WaitGroup
	gate := make(chan struct{}, runtime.GOMAXPROCS(0))
	for i := range jobs {
		wg.Go(func() {
			gate <- struct{}{}
			j := &jobs[i]
			began := time.Now()
			rows[i] = summarize(j.d, j.s, j.p.name, simulate(j.d, j.s, j.p, seed))
			rows[i].hasTargets = strings.HasPrefix(j.p.name, product)
			rows[i].runTime = time.Since(began)
			<-gate
		})
	}
	wg.Wait()
	return rows
}

// allJobs returns the runs whose names begin with the prefix: every case of both deployments under
// each policy, and the calm case of the deep chain.
func allJobs(policies []policy, prefix string) (jobs []job) {
	deep := chain()
	for _, d := range []*deployment{tokachi(), shikongo(), deep} {
		for _, s := range scenarios(d) {
			if d == deep && s.name != "calm" {
				continue
			}
			for _, p := range policies {
				if j := (job{d, s, p}); strings.HasPrefix(j.name(), prefix) {
					jobs = append(jobs, j)
				}
			}
		}
	}
	return jobs
}

// policies returns the baselines and the product.
func policies() []policy {
	return []policy{noControl(), fixedLimit(), briarworks(product, without{})}
}

// ablations returns the product and, for each mechanism, the product without it.
func ablations() []policy {
	all := []policy{briarworks(product, without{})}
	for name, off := range mechanisms {
		all = append(all, briarworks(product+"-"+name, off))
	}
	slices.SortFunc(all, func(a, b policy) int { return strings.Compare(a.name, b.name) })
	return all
}

var mechanisms = map[string]without{
	"downstream": {downstream: true},
	"own":        {own: true},
	"kinds":      {kinds: true},
	"callers":    {callers: true},
	"rankOrder":  {rankOrder: true},
	"oldest":     {oldest: true},
	"ratio":      {ratio: true},
	"budget":     {budget: true},
	"ejection":   {ejection: true},
	"twoChoices": {twoChoices: true},
	"limit":      {limit: true},
	"coldStart":  {coldStart: true},
}

// Prints the table of all cases with -measure, or the ablation with -ablate. A missed target
// is marked in the table and does not fail the test.
func TestMeasure(t *testing.T) {
	var jobs []job
	switch {
	case *measure:
		jobs = allJobs(policies(), *only)
	case *ablate:
		jobs = allJobs(ablations(), *only)
	default:
		t.Skip("only with -measure or -ablate")
	}
	rows := runAll(jobs, *seed)
	if err := printTable(os.Stdout, rows); err != nil {
		t.Fatal(err)
	}
	if *ablate {
		if err := printChanges(os.Stdout, names(ablations()), rows); err != nil {
			t.Fatal(err)
		}
	}
	if *out == "" {
		return
	}
	if err := save(*out, rows); err != nil {
		t.Fatal(err)
	}
}

func names(all []policy) (list []string) {
	for _, p := range all {
		list = append(list, p.name)
	}
	return list
}

func save(path string, rows []row) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	return errors.Join(writeCSV(f, rows), f.Close())
}

// Guards against a run that its seed does not determine, which would make runs
// incomparable, and against a small fleet that misses the targets of the full table.
func TestSmoke(t *testing.T) {
	d := small()
	for _, s := range scenarios(d) {
		if s.name != "surge3" && s.name != "retryHard" {
			continue
		}
		t.Run(s.name, func(t *testing.T) {
			t.Parallel()
			p := briarworks(product, without{})
			first, second := simulate(d, s, p, 1), simulate(d, s, p, 1)
			if !reflect.DeepEqual(first, second) {
				t.Errorf("two runs of one seed: got different records, want equal ones")
			}
			r := summarize(d, s, p.name, first)
			if got := r.missed(); len(got) > 0 {
				t.Errorf("missed targets: got %v, want none: %v", got, r.fields())
			}
		})
	}
}

// Guards against an ideal that is too low, which would hide lost goodput.
func TestIdeal(t *testing.T) {
	d := &deployment{
		dataCentres: 1, services: []service{{"front", 1, 10}, {"back", 1, 4}},
		kinds: []kind{
			{name: "a", rank: 0, path: []step{{"front", ms(10)}, {"back", ms(10)}}},
			{name: "b", rank: 1, path: []step{{"front", ms(20)}}},
			{name: "c", rank: 1, path: []step{{"front", ms(10)}}},
		},
	}
	tests := map[string]struct {
		s             scenario
		offered, want rates
	}{
		"all fits":                 {scenario{}, rates{100, 100, 100}, rates{100, 100, 100}},
		"deep service is full":     {scenario{}, rates{1000, 50, 50}, rates{400, 50, 50}},
		"equal slots in a rank":    {scenario{}, rates{400, 1000, 1000}, rates{400, 50, 100}},
		"what one leaves is used":  {scenario{}, rates{400, 1000, 20}, rates{400, 90, 20}},
		"slow deep holds upstream": {scenario{slow: "back", slowdown: 5}, rates{100, 1000, 0}, rates{80, 260, 0}},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			got := newIdeal(d, &tt.s).allocate(tt.offered)
			for k := range got {
				if math.Abs(got[k]-tt.want[k]) > 0.01 {
					t.Errorf("rate of kind %s: got %.2f, want %.2f", d.kinds[k].name, got[k], tt.want[k])
				}
			}
		})
	}
}
