package scheduler

import (
	"flag"
	"os"
	"testing"
)

// TestMain fixes the seed and the count of the generated cases. A long campaign
// overrides both: go test ./internal/coordination/scheduler -rapid.seed=0 -rapid.checks=100000
func TestMain(m *testing.M) {
	defaults := map[string]string{"rapid.seed": "20261203", "rapid.checks": "800", "rapid.steps": "100", "rapid.nofailfile": "true"}
	flag.Parse()
	flag.Visit(func(f *flag.Flag) { delete(defaults, f.Name) })
	for name, value := range defaults {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}
