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

// Quantiles holds the number of recorded latencies and their 50th, 95th and 99th percentiles
// in milliseconds.
type Quantiles struct {
	Count int64   `json:"count"`
	P50   float64 `json:"p50_ms"`
	P95   float64 `json:"p95_ms"`
	P99   float64 `json:"p99_ms"`
}

// ClassCounts holds the counts of the requests of a class within the measurement window.
type ClassCounts struct {
	// Offered counts the planned requests whose send time was reached, whether they were sent
	// or not (see MaxInFlight).
	Offered  int `json:"intended"`
	Answered int `json:"answered"`
	// Met counts responses that met all latency targets of the class.
	Met int `json:"met"`
	// Streams counts responses received as streams. FirstTokenMet and IntervalMet count
	// the streams that met the first-token and the token-interval target, respectively.
	Streams       int `json:"streams"`
	FirstTokenMet int `json:"first_token_met"`
	IntervalMet   int `json:"interval_met"`
	Abandoned     int `json:"abandoned"`
	Orders        int `json:"orders"` // orders that were sent
	Resends       int `json:"resends"`
	// Refused counts the error responses of all attempts, by code. A request that was resent
	// may be counted several times.
	Refused map[string]int `json:"refused"`
	// Unanswered counts requests that got no complete response and were not abandoned, by
	// their final result. Its key "refused" counts requests whose last attempt was refused.
	Unanswered map[string]int `json:"unanswered"`
}

// ClassReport is the result of one class.
type ClassReport struct {
	Class string `json:"class"`
	Tier  int    `json:"tier"`
	ClassCounts
	// Attainment is Met divided by the offered requests that were not abandoned.
	Attainment float64 `json:"attainment"`
	// FirstToken is the time from the intended send time to the first token of a stream.
	FirstToken Quantiles `json:"first_token"`
	// Interval is the mean time between the tokens of a stream.
	Interval Quantiles `json:"token_interval"`
	// Total is the time from the intended send time to the end of the response.
	Total Quantiles `json:"total"`
}

// WasteReport compares the discarded work of the upstreams with all their work.
type WasteReport struct {
	Tokens         uint64  `json:"tokens"`
	TokensWasted   uint64  `json:"tokens_wasted"`
	TokenShare     float64 `json:"token_share"`
	ServiceSeconds float64 `json:"service_seconds"`
	WastedSeconds  float64 `json:"wasted_seconds"`
	SecondsShare   float64 `json:"seconds_share"`
	// CachedShare is the share of the prompt tokens that the engines took from their caches.
	CachedShare float64 `json:"cached_prompt_share"`
	// Unreachable lists stand-ins that could not be read. They are missing from the values
	// above and from the execution checks.
	Unreachable []string `json:"unreachable,omitempty"`
}

// OrderReport counts the orders by their final state from the caller's point of view.
type OrderReport struct {
	Answered int `json:"answered"`
	NotRun   int `json:"not_run"`
	Unknown  int `json:"unknown"`
}

// Report is the result of a run.
type Report struct {
	Scenario        string  `json:"scenario"`
	RunID           string  `json:"run_id"`
	Seed            uint64  `json:"seed"`
	DurationSeconds float64 `json:"duration_s"`
	ElapsedSeconds  float64 `json:"elapsed_s"`
	// Partial is set if the run was interrupted.
	Partial bool          `json:"partial"`
	Classes []ClassReport `json:"classes"`
	// Goodput is the number of tokens of responses that met their latency targets, over the
	// whole run, per second of the scenario's duration.
	Goodput float64 `json:"goodput_tokens_per_s"`
	// WindowGoodput is the number of tokens of such responses that arrived between the end
	// of the warm-up and the end of sending, per second of that period.
	WindowGoodput  float64               `json:"window_goodput_tokens_per_s"`
	TokensReceived int                   `json:"tokens_received"`
	Waste          WasteReport           `json:"waste"`
	Orders         OrderReport           `json:"orders"`
	Violations     map[ViolationKind]int `json:"violations"`
	// ListedViolations holds the first violations, up to a limit; Violations counts all.
	ListedViolations []Violation `json:"violation_samples,omitempty"`
	// SendDelay is the delay between the intended and the actual send time. Large values
	// mean that the generator was overloaded and make the run invalid.
	SendDelay Quantiles `json:"send_delay"`
	// NotSent counts requests that were not sent because of MaxInFlight.
	NotSent int `json:"not_sent"`
}

func (r *runner) buildReport(before, after upstreamCounters) *Report {
	rec := r.recorder
	rec.mu.Lock()
	defer rec.mu.Unlock()
	report := &Report{
		Scenario: r.scenario.Name, RunID: r.runID, Seed: r.scenario.Seed,
		DurationSeconds: r.scenario.Duration.Std().Seconds(),
		Goodput:         float64(rec.goodputTokens) / r.scenario.Duration.Std().Seconds(),
		WindowGoodput:   rec.windowGoodputTokens / rec.window.seconds(),
		TokensReceived:  rec.receivedTokens,
		Waste:           measureWaste(before, after),
		Violations:      rec.violations, ListedViolations: rec.listedViolations,
		SendDelay: rec.sendDelay.quantiles(), NotSent: rec.notSent,
	}
	for _, c := range rec.classes {
		report.Classes = append(report.Classes, ClassReport{
			Class: c.load.Class, Tier: c.latencyTargets.tier, ClassCounts: c.counts,
			Attainment: ratio(float64(c.counts.Met), float64(c.counts.Offered-c.counts.Abandoned)),
			FirstToken: c.timeToFirstToken.quantiles(), Interval: c.meanTokenIntervals.quantiles(), Total: c.totalLatency.quantiles(),
		})
	}
	for _, o := range rec.orders {
		switch o.state {
		case orderAnswered:
			report.Orders.Answered++
		case orderNotRun:
			report.Orders.NotRun++
		default:
			report.Orders.Unknown++
		}
	}
	return report
}

// measureWaste sums the differences of the counters over the stand-ins that could be
// read both before and after the run.
func measureWaste(before, after upstreamCounters) WasteReport {
	report := WasteReport{Unreachable: slices.Compact(slices.Sorted(slices.Values(slices.Concat(before.unreachable, after.unreachable))))}
	var prompt, cached uint64
	for name, beforeRun := range before.engines {
		afterRun, ok := after.engines[name]
		if !ok {
			continue
		}
		report.Tokens += afterRun.TokensGenerated - beforeRun.TokensGenerated
		report.TokensWasted += counterIncrease(beforeRun.TokensCancelled+beforeRun.TokensLost, afterRun.TokensCancelled+afterRun.TokensLost)
		prompt += afterRun.PromptTokens - beforeRun.PromptTokens
		cached += afterRun.CachedTokens - beforeRun.CachedTokens
	}
	for name, beforeRun := range before.services {
		if afterRun, ok := after.services[name]; ok {
			report.ServiceSeconds += afterRun.ServiceSeconds - beforeRun.ServiceSeconds
			report.WastedSeconds += afterRun.WastedSeconds - beforeRun.WastedSeconds
		}
	}
	report.TokenShare = ratio(float64(report.TokensWasted), float64(report.Tokens))
	report.SecondsShare = ratio(report.WastedSeconds, report.ServiceSeconds)
	report.CachedShare = ratio(float64(cached), float64(prompt))
	return report
}

// counterIncrease returns the increase of a counter, or zero if the counter went down, as
// it can when a stream is resumed.
func counterIncrease(before, after uint64) uint64 { return max(before, after) - before }

// ratio returns part/whole, or 0 if whole is 0.
func ratio(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}

// ViolationCount returns the number of violations of all kinds.
func (r *Report) ViolationCount() int {
	sum := 0
	for _, n := range r.Violations {
		sum += n
	}
	return sum
}

// WriteJSON writes the report as indented JSON.
func (r *Report) WriteJSON(w io.Writer) error {
	enc := json.NewEncoder(w)
	enc.SetIndent("", "  ")
	return enc.Encode(r)
}

// WriteTable writes the report as text tables.
func (r *Report) WriteTable(w io.Writer) error {
	table := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	fmt.Fprintf(table, "scenario %s  seed %d  %.0f s  run %s  partial %v\n\n", r.Scenario, r.Seed, r.DurationSeconds, r.RunID, r.Partial)
	fmt.Fprintln(table, "class\ttier\tintended\tanswered\tmet\tattainment\tabandoned\tresends\tfirst token p50/p95/p99 ms\tinterval p50/p95/p99 ms\ttotal p50/p95/p99 ms")
	for _, c := range r.Classes {
		fmt.Fprintf(table, "%s\t%d\t%d\t%d\t%d\t%.1f%%\t%d\t%d\t%s\t%s\t%s\n", c.Class, c.Tier, c.Offered, c.Answered, c.Met,
			100*c.Attainment, c.Abandoned, c.Resends, c.FirstToken, c.Interval, c.Total)
	}
	fmt.Fprintln(table)
	for _, c := range r.Classes {
		fmt.Fprintf(table, "%s\trefused: %s\tunanswered: %s\n", c.Class, FormatCounts(c.Refused), FormatCounts(c.Unanswered))
	}
	fmt.Fprintf(table, "\ngoodput\t%.1f tokens/s\n", r.Goodput)
	fmt.Fprintf(table, "wasted work\t%.2f%% of %d tokens\t%.2f%% of %.1f service seconds\n",
		100*r.Waste.TokenShare, r.Waste.Tokens, 100*r.Waste.SecondsShare, r.Waste.ServiceSeconds)
	fmt.Fprintf(table, "prompt tokens cached\t%.1f%%\n", 100*r.Waste.CachedShare)
	fmt.Fprintf(table, "orders\tanswered %d\tnot run %d\tunknown %d\n", r.Orders.Answered, r.Orders.NotRun, r.Orders.Unknown)
	fmt.Fprintf(table, "violations\t%s\n", FormatCounts(r.Violations))
	fmt.Fprintf(table, "send delay p50/p95/p99 ms\t%s\tnot sent %d\n", r.SendDelay, r.NotSent)
	if len(r.Waste.Unreachable) > 0 {
		fmt.Fprintf(table, "unreachable\t%s\n", strings.Join(r.Waste.Unreachable, " "))
	}
	for _, v := range r.ListedViolations {
		fmt.Fprintf(table, "violation\t%s\t%s\t%s\n", v.Kind, v.Tag, v.Detail)
	}
	return table.Flush()
}

// String formats the quantiles as p50/p95/p99 for a table cell.
func (q Quantiles) String() string {
	if q.Count == 0 {
		return "-"
	}
	return fmt.Sprintf("%.1f/%.1f/%.1f", q.P50, q.P95, q.P99)
}

// FormatCounts formats the counters of a map, sorted by key, for a table cell.
func FormatCounts[K ~string](m map[K]int) string {
	if len(m) == 0 {
		return "none"
	}
	var entries []string
	for _, key := range slices.Sorted(maps.Keys(m)) {
		entries = append(entries, fmt.Sprintf("%s %d", key, m[key]))
	}
	return strings.Join(entries, ", ")
}
