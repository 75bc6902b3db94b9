package matrix

import (
	"context"
	"fmt"
	"sync"
	"time"

	"golang.org/x/sync/errgroup"

	"github.com/yuccabridge/yuccabridge/config"
	"github.com/yuccabridge/yuccabridge/internal/settings"
)

// saturatingFactor is the nominal load of the capacity measurement. The nominal rates
// come within a quarter of the engines' capacity, so that three times as much fills
// every slot of every engine.
const saturatingFactor = 3

// Result is the result of a run.
type Result struct {
	Deployment string           `json:"deployment"`
	Objective  config.Objective `json:"objective"`
	// Capacity is the engines' throughput in tokens/s when they are saturated.
	Capacity float64       `json:"capacity_tokens_per_s"`
	Window   time.Duration `json:"window_ns"`
	Warmup   time.Duration `json:"warmup_ns"`
	Cells    []Cell        `json:"cells"`
}

// Run measures all cells.
func Run(ctx context.Context, o Options) (*Result, error) {
	o = o.withDefaults()
	r := &Result{Deployment: o.Deployment.Name, Objective: o.Deployment.Objective, Capacity: o.Capacity, Window: o.Window, Warmup: o.Warmup}
	if r.Capacity == 0 {
		if err := r.measureCapacity(ctx, o); err != nil {
			return nil, err
		}
	}
	plans := o.plans()
	cells := make([]Cell, len(plans))
	var progress sync.Mutex
	group, work := errgroup.WithContext(ctx)
	group.SetLimit(o.Parallel)
	for i, p := range plans {
		group.Go(func() error {
			if work.Err() != nil {
				return work.Err()
			}
			c, err := o.measure(work, p, r.Capacity)
			if err != nil {
				return err
			}
			cells[i] = c
			progress.Lock()
			defer progress.Unlock()
			fmt.Fprintf(o.Progress, "%d/%d %s\n", i+1, len(plans), c.line())
			return nil
		})
	}
	err := group.Wait()
	for _, c := range cells {
		if c.Policy != "" {
			r.Cells = append(r.Cells, c)
		}
	}
	return r, err
}

// measureCapacity saturates the engines. The baseline policy holds no request back,
// so every engine has a full batch.
func (r *Result) measureCapacity(ctx context.Context, o Options) error {
	o.Drain = time.Second
	c, err := o.measure(ctx, plan{policy: settings.Baseline, condition: Steady, load: saturatingFactor, seed: o.Seeds[0]}, 0)
	r.Capacity = c.Throughput
	fmt.Fprintf(o.Progress, "capacity %.0f tokens/s\n", r.Capacity)
	return err
}
