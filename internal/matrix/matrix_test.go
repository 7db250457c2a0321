package matrix

import (
	"go/ast"
	"go/parser"
	"go/token"
	"path/filepath"
	"strconv"
	"strings"
	"testing"
)

const module = "example.test/m"

// Guards against a cell, or a requirement, that prints as passed although a test of it failed, was
// skipped, did not end, did not run or does not exist.
func TestJudge(t *testing.T) {
	a, b := Test{"p", "TestA"}, Test{"p", "TestB/sub"}
	tests := map[string]struct {
		cell    Cell
		output  string // of `go test -json`, as action and test name
		verdict Verdict
	}{
		"all passed":           {Cell{Tests: []Test{a, b}}, "run TestA pass TestA run TestB run TestB/sub pass TestB/sub pass TestB", Passed},
		"no test":              {Cell{}, "run TestA pass TestA", NotProved},
		"no output":            {Cell{Tests: []Test{a}}, "", NotProved},
		"did not run":          {Cell{Tests: []Test{a, b}}, "run TestA pass TestA", NotProved},
		"only its parent ran":  {Cell{Tests: []Test{b}}, "run TestB pass TestB", NotProved},
		"of another name":      {Cell{Tests: []Test{a}}, "run TestAB pass TestAB", NotProved},
		"skipped":              {Cell{Tests: []Test{a}}, "run TestA skip TestA", NotProved},
		"a subtest skipped":    {Cell{Tests: []Test{a}}, "run TestA run TestA/x skip TestA/x pass TestA", NotProved},
		"failed":               {Cell{Tests: []Test{a, b}}, "run TestA fail TestA run TestB/sub pass TestB/sub", Failed},
		"failed and did not":   {Cell{Tests: []Test{b, a}}, "run TestA fail TestA", Failed},
		"did not end":          {Cell{Tests: []Test{a}}, "run TestA fail ", Failed},
		"package failed after": {Cell{Tests: []Test{a}}, "run TestA pass TestA fail ", Failed},
		"cannot happen":        {Cell{Never: "why"}, "run TestA fail TestA", Never},
	}
	for name, tt := range tests {
		t.Run(name, func(t *testing.T) {
			r := make(Results)
			words := strings.Split(tt.output, " ")
			var out strings.Builder
			for i := 0; i+1 < len(words); i += 2 {
				out.WriteString(`{"Action":"` + words[i] + `","Package":"` + module + `/p","Test":"` + words[i+1] + `"}` + "\n")
			}
			if err := r.Read(strings.NewReader(out.String()), module); err != nil {
				t.Fatal(err)
			}
			if got, want := Judge(tt.cell, r), tt.verdict; got != want {
				t.Errorf("cell: got %v, want %v", got, want)
			}
			s := &Spec{
				Faults: []Fault{"f"}, Steps: []Step{"s"}, Cells: map[Fault]map[Step]Cell{"f": {"s": tt.cell}},
				Reasons: map[Reason]string{"why": "never"},
			}
			want := min(tt.verdict, Passed)
			if want == Never {
				want = NotProved
			}
			if got := s.JudgeRequirement(Requirement{Cells: map[Fault][]Step{"f": {"s"}}}, r); got != want {
				t.Errorf("requirement: got %v, want %v", got, want)
			}
			if got, want := s.JudgeRequirement(Requirement{Cells: map[Fault][]Step{"f": {"s", "other"}}}, r), min(want, NotProved); got > want && got != Failed {
				t.Errorf("requirement with a cell that is missing: got %v, want %v", got, want)
			}
			if got, want := strings.Contains(s.Markdown(Header{}, r), "| passed |"), tt.verdict == Passed; got != want {
				t.Errorf("prints passed: got %v, want %v", got, want)
			}
		})
	}
}

// Guards against a specification that names tests which do not exist, or that contradicts itself.
func TestSpec(t *testing.T) {
	s := Faults()
	for _, p := range s.Problems() {
		t.Error(p)
	}
	for pkg, names := range s.Tests() {
		funcs, texts := testsOf(t, pkg)
		for _, name := range names {
			for i, part := range strings.Split(name, "/") {
				if i == 0 && !funcs[part] || i > 0 && !texts[part] {
					t.Errorf("%s %s: got no such test", pkg, name)
				}
			}
		}
	}
}

// testsOf returns the test functions of a package and the texts in its tests, as `go test` prints them
// when they name subtests.
func testsOf(t *testing.T, pkg string) (funcs, texts map[string]bool) {
	t.Helper()
	files, err := filepath.Glob(filepath.Join("..", "..", pkg, "*_test.go"))
	if err != nil || len(files) == 0 {
		t.Fatalf("%s: got %d test files, %v, want some", pkg, len(files), err)
	}
	funcs, texts = make(map[string]bool), make(map[string]bool)
	for _, name := range files {
		f, err := parser.ParseFile(token.NewFileSet(), name, nil, parser.SkipObjectResolution)
		if err != nil {
			t.Fatal(err)
		}
		ast.Inspect(f, func(n ast.Node) bool {
			switch n := n.(type) {
			case *ast.FuncDecl:
				funcs[n.Name.Name] = n.Recv == nil
			case *ast.BasicLit:
				if text, err := strconv.Unquote(n.Value); err == nil {
					texts[strings.ReplaceAll(text, " ", "_")] = true
				}
			}
			return true
		})
	}
	return funcs, texts
}
