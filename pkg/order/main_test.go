package order

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed of the property test and the number of its logs: a rule that remembers ids
// is found after 172 logs with other seeds. Flags on the command line go before both.
func TestMain(m *testing.M) {
	for name, value := range map[string]string{"rapid.seed": "20261204", "rapid.checks": "2000"} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
