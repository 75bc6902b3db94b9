package matrix

import (
	"io"
	"slices"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccabridge/yuccabridge/config"
	"github.com/yuccabridge/yuccabridge/internal/settings"
)

// Condition is a disturbance that is applied during a cell in addition to its load.
type Condition string

// The conditions that a cell can run under.
const (
	// Steady applies no disturbance.
	Steady Condition = "steady"
	// Burst multiplies the request rate of the highest class during part of the window.
	Burst Condition = "burst"
	// Stragglers slows two engines down from the end of the warm-up on.
	Stragglers Condition = "stragglers"
	// Crash stops an engine during part of the window.
	Crash Condition = "crash"
	// Partition isolates a failure domain during part of the window.
	Partition Condition = "partition"
)

// Conditions returns all conditions.
func Conditions() []Condition { return []Condition{Steady, Burst, Stragglers, Crash, Partition} }

// ParseCondition returns the condition with the given name.
func ParseCondition(name string) (Condition, error) {
	if c := Condition(name); slices.Contains(Conditions(), c) {
		return c, nil
	}
	return "", errors.Errorf("%s: unknown condition; valid conditions: %v", name, Conditions())
}

// unloadedLoad is the load of the reference cells. At this load no request waits for
// another.
const unloadedLoad = 0.1

// Options configures a run. Zero values select the defaults.
type Options struct {
	Deployment *config.Deployment
	// Loads are multiples of the capacity. Default 0.5, 1, 1.5 and 3.
	Loads []float64
	// Conditions lists the measured conditions. Default Steady.
	Conditions []Condition
	// Policies lists the compared policies. Default standard and baseline.
	Policies []settings.Policy
	// Seeds lists the seeds; each cell runs once for each. Default 1.
	Seeds []uint64
	// Warmup is the duration of the load before the window. Default 10 s.
	Warmup time.Duration
	// Window is the duration of the measurement window. Default 30 s.
	Window time.Duration
	// Drain is how long responses are awaited after the window. Default 20 s.
	Drain time.Duration
	// Instances is the number of entry instances. Default 8.
	Instances int
	// Resends is the maximum number of times that a caller resends a refused request.
	Resends int
	// Capacity is the capacity in tokens per second. If zero, it is measured first.
	Capacity float64
	// SkipUnloaded omits the reference cells.
	SkipUnloaded bool
	// Parallel is the number of cells that run concurrently. Default 1.
	Parallel int
	// Progress receives one line for each finished cell, if set.
	Progress io.Writer
	// Log receives the logs of the instances. If nil, they are discarded.
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

// cellParameters identifies one cell of the matrix.
type cellParameters struct {
	policy    settings.Policy
	condition Condition
	load      float64
	seed      uint64
}

// cellsToRun returns the cells in execution order. The policies of a combination run one
// after the other, so that a change of the machine's load affects both.
func (o Options) cellsToRun() []cellParameters {
	var cells []cellParameters
	for _, seed := range o.Seeds {
		if !o.SkipUnloaded {
			cells = o.appendPolicies(cells, Steady, unloadedLoad, seed)
		}
		for _, c := range o.Conditions {
			for _, load := range o.Loads {
				cells = o.appendPolicies(cells, c, load, seed)
			}
		}
	}
	return cells
}

func (o Options) appendPolicies(cells []cellParameters, c Condition, load float64, seed uint64) []cellParameters {
	for _, p := range o.Policies {
		cells = append(cells, cellParameters{policy: p, condition: c, load: load, seed: seed})
	}
	return cells
}
