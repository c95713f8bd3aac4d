package daemon

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and number of property checks, unless flags set
// them, so that every run gives the same verdict.
func TestMain(m *testing.M) {
	flag.Parse()
	set := make(map[string]bool)
	flag.Visit(func(f *flag.Flag) { set[f.Name] = true })
	for name, value := range map[string]string{"rapid.seed": "1", "rapid.checks": "40", "rapid.nofailfile": "true"} {
		if !set[name] {
			if err := flag.Set(name, value); err != nil {
				panic(err)
			}
		}
	}
	os.Exit(m.Run())
}
