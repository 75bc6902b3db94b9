package matrix

import (
	"io"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccabridge/yuccabridge/config"
	"github.com/yuccabridge/yuccabridge/internal/settings"
)

// Condition is what happens during a cell besides its load.
type Condition string

// The conditions.
const (
	// Steady is the load alone.
	Steady Condition = "steady"
	// Burst multiplies the rate of the highest class for a part of the window.
	Burst Condition = "burst"
	// Stragglers makes two engines slow from the end of the warm-up on.
	Stragglers Condition = "stragglers"
	// Crash stops an engine for a part of the window.
	Crash Condition = "crash"
	// Partition cuts a failure domain off for a part of the window.
	Partition Condition = "partition"
)

// Conditions lists all conditions.
func Conditions() []Condition { return []Condition{Steady, Burst, Stragglers, Crash, Partition} }

// ParseCondition checks the name of a condition.
func ParseCondition(name string) (Condition, error) {
	if c := Condition(name); slices.Contains(Conditions(), c) {
		return c, nil
	}
	return "", errors.Errorf("%s: not a condition; there are %v", name, Conditions())
}

// unloadedFactor is the load of the reference cells, at which no request waits for another.
const unloadedFactor = 0.1

// Options configures a run. Zero values take the defaults.
type Options struct {
	Deployment *config.Deployment
	// Loads are multiples of the capacity. Default 0.5, 1, 1.5 and 3.
	Loads []float64
	// Conditions default to Steady.
	Conditions []Condition
	// Policies default to both.
	Policies []settings.Policy
	// Seeds default to 1.
	Seeds []uint64
	// Warmup is the time before the window. Default 10 s.
	Warmup time.Duration
	// Window is the measured time. Default 30 s.
	Window time.Duration
	// Drain is how long answers are awaited after the window. Default 20 s.
	Drain time.Duration
	// Instances is the number of entry instances. Default 8.
	Instances int
	// Resends is how often a caller tries again after a refusal.
	Resends int
	// Capacity in tokens per second. Zero: measured first.
	Capacity float64
	// SkipUnloaded leaves out the reference cells.
	SkipUnloaded bool
	// Parallel is the number of cells at a time. Default 1.
	Parallel int
	// Progress receives a line for each finished cell. Nil: none.
	Progress io.Writer
	// Log receives the instances' log. Nil: dropped.
	Log io.Writer
}

func (o Options) withDefaults() Options {
	if len(o.Loads) == 0 {
		o.Loads = []float64{0.5, 1, 1.5, 3}
	}
	if len(o.Conditions) == 0 {
		o.Conditions = []Condition{Steady}
	}
	if len(o.Policies) == 0 {
		o.Policies = []settings.Policy{settings.Standard, settings.Baseline}
	}
	if len(o.Seeds) == 0 {
		o.Seeds = []uint64{1}
	}
	setDefault(&o.Warmup, 10*time.Second)
	setDefault(&o.Window, 30*time.Second)
	setDefault(&o.Drain, 20*time.Second)
	setDefault(&o.Parallel, 1)
	if o.Progress == nil {
		o.Progress = io.Discard
	}
	return o
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// plan identifies one cell.
type plan struct {
	policy    settings.Policy
	condition Condition
	load      float64
	seed      uint64
}

// plans lists the cells in the order in which they run: the policies of a case follow
// each other, so that a change of the machine's load falls on both.
func (o Options) plans() []plan {
	var list []plan
	for _, seed := range o.Seeds {
		if !o.SkipUnloaded {
			list = o.appendCase(list, Steady, unloadedFactor, seed)
		}
		for _, c := range o.Conditions {
			for _, load := range o.Loads {
				list = o.appendCase(list, c, load, seed)
			}
		}
	}
	return list
}

func (o Options) appendCase(list []plan, c Condition, load float64, seed uint64) []plan {
	for _, p := range o.Policies {
		list = append(list, plan{policy: p, condition: c, load: load, seed: seed})
	}
	return list
}
