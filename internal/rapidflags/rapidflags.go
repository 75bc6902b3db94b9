// Package rapidflags sets the seed and the number of cases of property-based tests that use
// rapid, so that "go test" without flags is deterministic. Only tests import it.
package rapidflags

import (
	"flag"
	"strconv"
)

// Defaults are the values of rapid's flags unless the command line sets them. For zero
// values rapid's own defaults apply.
type Defaults struct {
	Seed   uint64
	Checks int // number of generated cases per property
	Steps  int // mean number of actions per state machine test
}

// Set applies the defaults and turns off rapid's failure files. It must be called from the
// init function of a test package, before the command line is parsed.
func Set(d Defaults) {
	setFlag("rapid.seed", strconv.FormatUint(d.Seed, 10), d.Seed != 0)
	setFlag("rapid.checks", strconv.Itoa(d.Checks), d.Checks != 0)
	setFlag("rapid.steps", strconv.Itoa(d.Steps), d.Steps != 0)
	setFlag("rapid.nofailfile", "true", true)
}

func setFlag(name, value string, enabled bool) {
	if !enabled {
		return
	}
	if err := flag.Set(name, value); err != nil {
		panic(err) // the test package does not import rapid
	}
}
