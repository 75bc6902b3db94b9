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

// ViolationCount returns the number of violated guarantees under the standard policy. The
// baseline policy gives the same guarantees but serves only as a comparison.
func (r *Result) ViolationCount() int {
	sum := 0
	for _, c := range r.Cells {
		if c.Policy == settings.Standard {
			sum += c.violationCount()
		}
	}
	return sum
}

// WriteJSON writes the result as indented JSON.
func (r *Result) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}

// WriteTable writes the result as two text tables: one row for each cell, then one row
// for each class of each cell.
func (r *Result) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "deployment %s  objective %s  capacity %.0f tokens/s  warm-up %s  window %s\n\n", r.Deployment, r.Objective, r.Capacity, r.Warmup, r.Window)
	fmt.Fprintln(t, "condition\tload\tseed\tpolicy\toffered\tgoodput tokens/s\tof capacity\tthroughput of capacity\twasted\tbroken promises\tengine running\twaiting\tsend delay p99 ms\tcores\tvalid")
	for _, c := range r.Cells {
		fmt.Fprintf(t, "%s\t%.1f\t%d\t%s\t%.3f\t%.0f\t%.3f\t%.3f\t%.2f%%\t%s\t%.1f\t%.1f\t%.1f\t%.1f\t%v\n", c.Condition, c.Load, c.Seed, c.Policy,
			c.OfferedShare, c.Goodput, c.GoodputShare, c.ThroughputShare, 100*c.WastedShare, experiment.FormatCounts(c.Violations), c.EngineRunning, c.EngineWaiting, c.SendDelay.P99, c.Cores, c.Valid)
	}
	fmt.Fprintln(t, "\ncondition\tload\tseed\tpolicy\tclass\ttier\tintended\tattainment\tof unloaded\tfirst token met\tinterval met\tfirst token p50/p95/p99 ms\tinterval p50/p95/p99 ms\trefused\tunanswered")
	for _, c := range r.Cells {
		for _, class := range c.Classes {
			fmt.Fprintf(t, "%s\t%.1f\t%d\t%s\t%s\t%d\t%d\t%.3f\t%s\t%.3f\t%.3f\t%s\t%s\t%s\t%s\n", c.Condition, c.Load, c.Seed, c.Policy,
				class.Class, class.Tier, class.Intended, class.Attainment, r.relativeAttainment(c, class), class.FirstTokenMet, class.TokenIntervalMet,
				class.FirstTokenQuantiles, class.TokenIntervalQuantiles, experiment.FormatCounts(class.Refused), experiment.FormatCounts(class.Unanswered))
		}
	}
	return t.Flush()
}

// relativeAttainment returns the attainment of a class divided by its attainment in the
// unloaded cell of the same policy and seed, or "-" if there is no such reference.
func (r *Result) relativeAttainment(c Cell, class ClassResult) string {
	for _, unloaded := range r.Cells {
		if unloaded.Load != unloadedLoad || unloaded.Condition != Steady || unloaded.Policy != c.Policy || unloaded.Seed != c.Seed {
			continue
		}
		i := slices.IndexFunc(unloaded.Classes, func(candidate ClassResult) bool { return candidate.Class == class.Class })
		if i >= 0 && unloaded.Classes[i].Attainment > 0 {
			return fmt.Sprintf("%.3f", class.Attainment/unloaded.Classes[i].Attainment)
		}
	}
	return "-"
}
