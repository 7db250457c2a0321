package matrix

import (
	"encoding/json"
	"errors"
	"io"
	"strings"

	"github.com/samber/oops"
)

// Result is how a test ended.
type Result uint8

// Results of a test.
const (
	NotRun Result = iota // the zero value: it did not run, or its end was not reported
	Skip
	Fail
	Pass
)

// Results are the results of tests; a test that is missing was not run.
type Results map[Test]Result

// Of returns the result of a test. A test of which any subtest was skipped does not count as passed,
// because `go test` reports it as passed.
func (r Results) Of(t Test) Result {
	got := r[t]
	if got != Pass {
		return got
	}
	for other, res := range r {
		if res != Pass && other.Package == t.Package && strings.HasPrefix(other.Name, t.Name+"/") {
			return res
		}
	}
	return Pass
}

// event is one line of `go test -json`.
type event struct {
	Action  string
	Package string
	Test    string
}

// Read adds the results in the output of `go test -json` for packages of the module. A test that began
// and did not end counts as failed, as after a panic or a timeout. When a package fails although none of
// its tests did, as for a leaked goroutine, all of them count as failed.
func (r Results) Read(in io.Reader, module string) (err error) {
	defer func() { err = oops.Wrapf(err, "matrix: read results") }()
	dec := json.NewDecoder(in)
	for {
		var e event
		switch err := dec.Decode(&e); {
		case errors.Is(err, io.EOF):
			return nil
		case err != nil:
			return err
		}
		t := Test{strings.TrimPrefix(e.Package, module+"/"), e.Test}
		if t.Name == "" {
			if e.Action == "fail" {
				r.failPackage(t.Package)
			}
			continue
		}
		switch e.Action {
		case "run":
			r[t] = Fail
		case "pass":
			r[t] = Pass
		case "fail":
			r[t] = Fail
		case "skip":
			r[t] = Skip
		}
	}
}

func (r Results) failPackage(pkg string) {
	for t, res := range r {
		if t.Package == pkg && res == Fail {
			return
		}
	}
	for t := range r {
		if t.Package == pkg {
			r[t] = Fail
		}
	}
}
