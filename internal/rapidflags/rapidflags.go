// Package rapidflags fixes the seed and the number of the cases that tests generate with
// rapid, so that plain "go test" gives the same verdict each time. Only tests import it.
package rapidflags

import (
	"flag"
	"strconv"
)

// Defaults are the values of rapid's flags unless the command line sets them. Zero
// values keep rapid's own.
type Defaults struct {
	Seed   uint64
	Checks int // generated cases of each property
	Steps  int // mean number of actions of a state machine
}

// Set applies the defaults. It is called from a test package's init function, before the
// command line is parsed. Files that reproduce a failure are not written.
func Set(d Defaults) {
	set("rapid.seed", strconv.FormatUint(d.Seed, 10), d.Seed != 0)
	set("rapid.checks", strconv.Itoa(d.Checks), d.Checks != 0)
	set("rapid.steps", strconv.Itoa(d.Steps), d.Steps != 0)
	set("rapid.nofailfile", "true", true)
}

func set(name, value string, wanted bool) {
	if !wanted {
		return
	}
	if err := flag.Set(name, value); err != nil {
		panic(err) // the test package does not import rapid
	}
}
