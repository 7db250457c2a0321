package bench

import (
	"flag"
	"os"
	"path/filepath"
	"runtime"
	"strings"
	"sync"
	"testing"
)

var (
	measure = flag.Bool("measure", false, "run every case under every policy and print the table")
	out     = flag.String("out", "", "file for the table as comma-separated values")
	seed    = flag.Uint64("seed", 1, "seed of all runs")
	only    = flag.String("only", "", "deployment/case/policy prefix of the runs to make")
)

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
			rows[i] = summarize(j.d, j.s, j.p.name, simulate(j.d, j.s, j.p, seed))
			<-gate
		})
	}
	wg.Wait()
	return rows
}

func allJobs(prefix string) (jobs []job) {
	for _, d := range []*deployment{tokachi(), shikongo()} {
		for _, s := range scenarios(d) {
			for _, p := range []policy{noControl(), fixedLimit()} {
				if j := (job{d, s, p}); strings.HasPrefix(j.name(), prefix) {
					jobs = append(jobs, j)
				}
			}
		}
	}
	return jobs
}

// Prints the table of all cases with -measure.
func TestMeasure(t *testing.T) {
	if !*measure {
		t.Skip("without -measure only TestSmoke runs")
	}
	rows := runAll(allJobs(*only), *seed)
	if err := printTable(os.Stdout, rows); err != nil {
		t.Fatal(err)
	}
	if *out == "" {
		return
	}
	if err := save(*out, rows); err != nil {
		t.Fatal(err)
	}
}

func save(path string, rows []row) error {
	if err := os.MkdirAll(filepath.Dir(path), 0o755); err != nil {
		return err
	}
	f, err := os.Create(path)
	if err != nil {
		return err
	}
	defer f.Close()
	return writeCSV(f, rows)
}
