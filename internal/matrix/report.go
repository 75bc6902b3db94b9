package matrix

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"text/tabwriter"

	"github.com/yuccabridge/yuccabridge/internal/experiment"
	"github.com/yuccabridge/yuccabridge/internal/settings"
)

// ViolationCount sums the broken promises of the router's policy. The baseline makes
// the same promises but is only there for comparison.
func (r *Result) ViolationCount() int {
	sum := 0
	for _, c := range r.Cells {
		if c.Policy == settings.Standard {
			sum += c.violationCount()
		}
	}
	return sum
}

// WriteJSON writes the result as JSON.
func (r *Result) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}

// WriteTable writes the result for readers: one line for each cell, then one for each
// class of each cell.
func (r *Result) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "deployment %s  objective %s  capacity %.0f tokens/s  warm-up %s  window %s\n\n", r.Deployment, r.Objective, r.Capacity, r.Warmup, r.Window)
	fmt.Fprintln(t, "condition\tload\tseed\tpolicy\toffered\tgoodput tokens/s\tof capacity\tthroughput of capacity\twasted\tbroken promises\tengine running\twaiting\tsend delay p99 ms\tcores\tvalid")
	for _, c := range r.Cells {
		fmt.Fprintf(t, "%s\t%.1f\t%d\t%s\t%.3f\t%.0f\t%.3f\t%.3f\t%.2f%%\t%s\t%.1f\t%.1f\t%.1f\t%.1f\t%v\n", c.Condition, c.Load, c.Seed, c.Policy,
			c.Offered, c.Goodput, c.GoodputShare, c.ThroughputShare, 100*c.Waste, experiment.Counts(c.Violations), c.Running, c.Waiting, c.SendDelay.P99, c.Cores, c.Valid)
	}
	fmt.Fprintln(t, "\ncondition\tload\tseed\tpolicy\tclass\ttier\tintended\tattainment\tof unloaded\tfirst token met\tinterval met\tfirst token p50/p95/p99 ms\tinterval p50/p95/p99 ms\trefused\tunanswered")
	for _, c := range r.Cells {
		for _, k := range c.Classes {
			fmt.Fprintf(t, "%s\t%.1f\t%d\t%s\t%s\t%d\t%d\t%.3f\t%s\t%.3f\t%.3f\t%s\t%s\t%s\t%s\n", c.Condition, c.Load, c.Seed, c.Policy,
				k.Class, k.Tier, k.Intended, k.Attainment, r.relative(c, k), k.FirstToken, k.Interval,
				k.FirstTokenQuantiles, k.IntervalQuantiles, experiment.Counts(k.Refused), experiment.Counts(k.Unanswered))
		}
	}
	return t.Flush()
}

// relative is the attainment over that of the unloaded cell of the same policy and seed.
func (r *Result) relative(c Cell, k Class) string {
	for _, u := range r.Cells {
		if u.Load != unloadedFactor || u.Condition != Steady || u.Policy != c.Policy || u.Seed != c.Seed {
			continue
		}
		i := slices.IndexFunc(u.Classes, func(x Class) bool { return x.Class == k.Class })
		if i >= 0 && u.Classes[i].Attainment > 0 {
			return fmt.Sprintf("%.3f", k.Attainment/u.Classes[i].Attainment)
		}
	}
	return "-"
}
