// Package fixedseed fixes the random seed of property tests, so that a build gives the same result on each run.
package fixedseed

import (
	"flag"
	"fmt"
	"os"
	"testing"
)

// Main runs a package's tests with a fixed rapid seed; -rapid.seed sets another.
func Main(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{"rapid.seed": "20261201", "rapid.nofailfile": "true"} {
		f := flag.Lookup(name)
		if f == nil || f.Value.String() != f.DefValue {
			continue
		}
		if err := flag.Set(name, value); err != nil {
			fmt.Fprintln(os.Stderr, err)
			os.Exit(2)
		}
	}
	os.Exit(m.Run())
}
