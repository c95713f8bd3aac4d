// Package prop runs the tests of packages that use property-based testing.
package prop

import (
	"flag"
	"os"
	"strconv"
	"testing"
)

// Main runs a package's tests with a fixed seed and a fixed number of checks per
// property, so that every run gives the same result. Flags on the command line
// override these settings.
func Main(m *testing.M, checks int) {
	flag.Parse()
	set := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": strconv.Itoa(checks), "rapid.nofailfile": "true"} {
		if !set[name] {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}
