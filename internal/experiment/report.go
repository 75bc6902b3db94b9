package experiment

import (
	"encoding/json"
	"fmt"
	"io"
	"maps"
	"slices"
	"strings"
	"text/tabwriter"
)

// Quantiles of a latency in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
}

// ClassCounts count the requests of a class.
type ClassCounts struct {
	// Intended counts all planned requests whose time came.
	Intended int `json:"intended"`
	Answered int `json:"answered"`
	// Met counts answers that met the class's targets.
	Met int `json:"met"`
	// Streams counts answers that came as streams; FirstTokenMet and IntervalMet count
	// those of them that met the one target.
	Streams       int `json:"streams"`
	FirstTokenMet int `json:"first_token_met"`
	IntervalMet   int `json:"interval_met"`
	Abandoned     int `json:"abandoned"`
	Orders        int `json:"orders"`
	Resends       int `json:"resends"`
	// Refused counts error answers by code, over all attempts.
	Refused map[string]int `json:"refused"`
	// Unanswered counts requests by how their last attempt ended.
	Unanswered map[string]int `json:"unanswered"`
}

// ClassReport is the result of one class.
type ClassReport struct {
	Class string `json:"class"`
	Tier  int    `json:"tier"`
	ClassCounts
	// Attainment is Met as a share of the intended requests without the abandoned ones.
	Attainment float64   `json:"attainment"`
	FirstToken Quantiles `json:"first_token"`
	Interval   Quantiles `json:"token_interval"`
	Total      Quantiles `json:"total"`
}

// WasteReport compares what was thrown away with what was produced.
type WasteReport struct {
	Tokens         uint64  `json:"tokens"`
	TokensWasted   uint64  `json:"tokens_wasted"`
	TokenShare     float64 `json:"token_share"`
	ServiceSeconds float64 `json:"service_seconds"`
	WastedSeconds  float64 `json:"wasted_seconds"`
	SecondsShare   float64 `json:"seconds_share"`
	CachedShare    float64 `json:"cached_prompt_share"`
	// Unreachable stand-ins are missing from the figures and from the checks.
	Unreachable []string `json:"unreachable,omitempty"`
}

// OrderReport counts the orders by what their callers know at the end.
type OrderReport struct {
	Answered int `json:"answered"`
	NotRun   int `json:"not_run"`
	Unknown  int `json:"unknown"`
}

// Report is the result of a run.
type Report struct {
	Scenario string  `json:"scenario"`
	RunID    string  `json:"run_id"`
	Seed     uint64  `json:"seed"`
	Duration float64 `json:"duration_s"`
	Elapsed  float64 `json:"elapsed_s"`
	// Partial is set when the run was interrupted.
	Partial bool          `json:"partial"`
	Classes []ClassReport `json:"classes"`
	// Goodput counts the tokens of answers that met their targets per second of the
	// scenario's duration.
	Goodput float64 `json:"goodput_tokens_per_s"`
	// WindowGoodput counts the tokens of such answers that arrived between the end of the
	// warm-up and the end of sending, per second of that time.
	WindowGoodput  float64               `json:"window_goodput_tokens_per_s"`
	TokensReceived int                   `json:"tokens_received"`
	Waste          WasteReport           `json:"waste"`
	Orders         OrderReport           `json:"orders"`
	Violations     map[ViolationKind]int `json:"violations"`
	Samples        []Violation           `json:"violation_samples,omitempty"`
	// SendDelay is the generator's own delay; large values make the run invalid.
	SendDelay Quantiles `json:"send_delay"`
	NotSent   int       `json:"not_sent"`
}

func (r *runner) report(before, after work) *Report {
	rec := r.record
	rec.mu.Lock()
	defer rec.mu.Unlock()
	out := &Report{
		Scenario: r.scenario.Name, RunID: r.runID, Seed: r.scenario.Seed,
		Duration:       r.scenario.Duration.Std().Seconds(),
		Goodput:        float64(rec.useful) / r.scenario.Duration.Std().Seconds(),
		WindowGoodput:  rec.delivered / rec.window.seconds(),
		TokensReceived: rec.received,
		Waste:          waste(before, after),
		Violations:     rec.violations, Samples: rec.samples,
		SendDelay: rec.late.quantiles(), NotSent: rec.notSent,
	}
	for _, c := range rec.classes {
		out.Classes = append(out.Classes, ClassReport{
			Class: c.load.Class, Tier: c.targets.tier, ClassCounts: c.counts,
			Attainment: share(float64(c.counts.Met), float64(c.counts.Intended-c.counts.Abandoned)),
			FirstToken: c.firstToken.quantiles(), Interval: c.interval.quantiles(), Total: c.total.quantiles(),
		})
	}
	for _, o := range rec.orders {
		switch o.state {
		case orderAnswered:
			out.Orders.Answered++
		case orderNotRun:
			out.Orders.NotRun++
		default:
			out.Orders.Unknown++
		}
	}
	return out
}

// waste sums the stand-ins that could be read before and after the run.
func waste(before, after work) WasteReport {
	w := WasteReport{Unreachable: slices.Compact(slices.Sorted(slices.Values(slices.Concat(before.unreachable, after.unreachable))))}
	var prompt, cached uint64
	for name, b := range before.engines {
		a, ok := after.engines[name]
		if !ok {
			continue
		}
		w.Tokens += a.TokensGenerated - b.TokensGenerated
		w.TokensWasted += grown(b.TokensCancelled+b.TokensLost, a.TokensCancelled+a.TokensLost)
		prompt += a.PromptTokens - b.PromptTokens
		cached += a.CachedTokens - b.CachedTokens
	}
	for name, b := range before.services {
		if a, ok := after.services[name]; ok {
			w.ServiceSeconds += a.ServiceSeconds - b.ServiceSeconds
			w.WastedSeconds += a.WastedSeconds - b.WastedSeconds
		}
	}
	w.TokenShare = share(float64(w.TokensWasted), float64(w.Tokens))
	w.SecondsShare = share(w.WastedSeconds, w.ServiceSeconds)
	w.CachedShare = share(float64(cached), float64(prompt))
	return w
}

// grown returns the growth of a counter that a resume can lower.
func grown(before, after uint64) uint64 { return max(before, after) - before }

// share returns part/whole, and 0 for an empty whole.
func share(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}

// ViolationCount sums the violations of all kinds.
func (r *Report) ViolationCount() int {
	sum := 0
	for _, n := range r.Violations {
		sum += n
	}
	return sum
}

// WriteJSON writes the report as JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}

// WriteTable writes the report for readers.
func (r *Report) WriteTable(w io.Writer) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(t, "scenario %s  seed %d  %.0f s  run %s  partial %v\n\n", r.Scenario, r.Seed, r.Duration, r.RunID, r.Partial)
	fmt.Fprintln(t, "class\ttier\tintended\tanswered\tmet\tattainment\tabandoned\tresends\tfirst token p50/p95/p99 ms\tinterval p50/p95/p99 ms\ttotal p50/p95/p99 ms")
	for _, c := range r.Classes {
		fmt.Fprintf(t, "%s\t%d\t%d\t%d\t%d\t%.1f%%\t%d\t%d\t%s\t%s\t%s\n", c.Class, c.Tier, c.Intended, c.Answered, c.Met,
			100*c.Attainment, c.Abandoned, c.Resends, c.FirstToken, c.Interval, c.Total)
	}
	fmt.Fprintln(t)
	for _, c := range r.Classes {
		fmt.Fprintf(t, "%s\trefused: %s\tunanswered: %s\n", c.Class, Counts(c.Refused), Counts(c.Unanswered))
	}
	fmt.Fprintf(t, "\ngoodput\t%.1f tokens/s\n", r.Goodput)
	fmt.Fprintf(t, "wasted work\t%.2f%% of %d tokens\t%.2f%% of %.1f service seconds\n",
		100*r.Waste.TokenShare, r.Waste.Tokens, 100*r.Waste.SecondsShare, r.Waste.ServiceSeconds)
	fmt.Fprintf(t, "prompt tokens cached\t%.1f%%\n", 100*r.Waste.CachedShare)
	fmt.Fprintf(t, "orders\tanswered %d\tnot run %d\tunknown %d\n", r.Orders.Answered, r.Orders.NotRun, r.Orders.Unknown)
	fmt.Fprintf(t, "violations\t%s\n", Counts(r.Violations))
	fmt.Fprintf(t, "send delay p50/p95/p99 ms\t%s\tnot sent %d\n", r.SendDelay, r.NotSent)
	if len(r.Waste.Unreachable) > 0 {
		fmt.Fprintf(t, "unreachable\t%s\n", strings.Join(r.Waste.Unreachable, " "))
	}
	for _, v := range r.Samples {
		fmt.Fprintf(t, "violation\t%s\t%s\t%s\n", v.Kind, v.Tag, v.Detail)
	}
	return t.Flush()
}

// String returns the quantiles for a table.
func (q Quantiles) String() string {
	if q.Count == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f/%.1f/%.1f", q.P50, q.P95, q.P99)
}

// Counts lists a map of counters in the order of its keys, for a table.
func Counts[K ~string](m map[K]int) string {
	if len(m) == 0 {
		return "none"
	}
	var list []string
	for _, k := range slices.Sorted(maps.Keys(m)) {
		list = append(list, fmt.Sprintf("%s %d", k, m[k]))
	}
	return strings.Join(list, ", ")
}
