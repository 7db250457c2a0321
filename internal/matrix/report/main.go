package main

import (
	"bytes"
	"context"
	"errors"
	"flag"
	"fmt"
	"io"
	"maps"
	"os"
	"os/exec"
	"os/signal"
	"slices"
	"strings"
	"time"

	"briarworks.example/briarworks/internal/matrix"
)

const (
	module = "briarworks.example/briarworks"
	// testTimeout bounds the tests of one package.
	testTimeout = 3 * time.Minute
)

var errFailed = errors.New("matrix: a test failed")

func main() {
	out := flag.String("out", "docs/matrix.md", "file that gets the matrix too")
	command := flag.String("command", "make matrix", "command that the matrix names as its source")
	flag.Parse()
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt)
	defer stop()
	if err := run(ctx, *out, *command); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(ctx context.Context, out, command string) error {
	spec := matrix.Faults()
	if p := spec.Problems(); len(p) > 0 {
		return errors.New("matrix: " + strings.Join(p, "; "))
	}
	results := make(matrix.Results)
	tests := spec.Tests()
	for _, pkg := range slices.Sorted(maps.Keys(tests)) {
		if err := runPackage(ctx, pkg, tests[pkg], results); err != nil {
			return err
		}
	}
	text := spec.Markdown(matrix.Header{Command: command, At: time.Now(), Commit: commit(ctx)}, results)
	fmt.Print(text)
	if err := os.WriteFile(out, []byte(text), 0o644); err != nil {
		return err
	}
	for _, r := range results {
		if r == matrix.Fail {
			return errFailed
		}
	}
	return nil
}

// runPackage adds the results of the named tests of one package. A failed test is a result and no
// error; so are a package that does not build and a run that ends early, which leave no passes behind.
func runPackage(ctx context.Context, pkg string, names []string, results matrix.Results) error {
	cmd := exec.CommandContext(ctx, "go", "test", "-json", "-count=1", "-timeout", testTimeout.String(),
		"-run", matrix.RunPattern(names), "./"+pkg)
	var out bytes.Buffer
	cmd.Stdout, cmd.Stderr = &out, os.Stderr
	began := time.Now()
	err := cmd.Run()
	fmt.Fprintf(os.Stderr, "matrix: %s: %v after %.1f s\n", pkg, verdict(err), time.Since(began).Seconds())
	var exit *exec.ExitError
	if err != nil && !errors.As(err, &exit) {
		return err
	}
	text := out.Bytes()
	if err := results.Read(bytes.NewReader(text), module); err != nil {
		return err
	}
	if exit != nil {
		_, _ = io.Copy(os.Stderr, bytes.NewReader(text))
	}
	return nil
}

func verdict(err error) string {
	if err != nil {
		return err.Error()
	}
	return "ok"
}

// commit names the commit that was tested, empty when it is not known.
func commit(ctx context.Context) string {
	out, err := exec.CommandContext(ctx, "git", "describe", "--always", "--dirty", "--exclude=*").Output()
	if err != nil {
		return ""
	}
	return strings.TrimSpace(string(out))
}
