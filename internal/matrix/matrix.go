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

// saturationLoad is the multiple of the nominal rates used to measure the capacity. The
// nominal rates are within 25% of the engines' capacity, so that three times these rates
// fill every slot of every engine.
const saturationLoad = 3

// Result holds the measurements of a run.
type Result struct {
	Deployment string           `json:"deployment"`
	Objective  config.Objective `json:"objective"`
	// Capacity is the throughput of the saturated engines in tokens/s.
	Capacity float64       `json:"capacity_tokens_per_s"`
	Window   time.Duration `json:"window_ns"`
	Warmup   time.Duration `json:"warmup_ns"`
	Cells    []Cell        `json:"cells"`
}

// Run measures all cells. If a cell fails, the result holds the completed cells.
func Run(ctx context.Context, o Options) (*Result, error) {
	o = o.withDefaults()
	r := &Result{Deployment: o.Deployment.Name, Objective: o.Deployment.Objective, Capacity: o.Capacity, Window: o.Window, Warmup: o.Warmup}
	if r.Capacity == 0 {
		if err := r.measureCapacity(ctx, o); err != nil {
			return nil, err
		}
	}
	parameters := o.cellsToRun()
	cells := make([]Cell, len(parameters))
	var progress sync.Mutex
	group, groupCtx := errgroup.WithContext(ctx)
	group.SetLimit(o.Parallel)
	for i, params := range parameters {
		group.Go(func() error {
			if groupCtx.Err() != nil {
				return groupCtx.Err()
			}
			c, err := o.measureCell(groupCtx, params, r.Capacity)
			if err != nil {
				return err
			}
			cells[i] = c
			progress.Lock()
			defer progress.Unlock()
			fmt.Fprintf(o.Progress, "%d/%d %s\n", i+1, len(parameters), c.summary())
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

// measureCapacity measures the throughput of the saturated engines. It uses the baseline
// policy, which does not hold requests back, so that every engine runs a full batch.
func (r *Result) measureCapacity(ctx context.Context, o Options) error {
	o.Drain = time.Second
	c, err := o.measureCell(ctx, cellParameters{policy: settings.Baseline, condition: Steady, load: saturationLoad, seed: o.Seeds[0]}, 0)
	r.Capacity = c.Throughput
	fmt.Fprintf(o.Progress, "capacity %.0f tokens/s\n", r.Capacity)
	return err
}
