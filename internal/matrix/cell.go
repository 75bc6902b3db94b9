package matrix

import (
	"context"
	"fmt"
	"strings"
	"syscall"
	"time"

	"github.com/yuccabridge/yuccabridge/config"
	"github.com/yuccabridge/yuccabridge/internal/emulator"
	"github.com/yuccabridge/yuccabridge/internal/experiment"
	"github.com/yuccabridge/yuccabridge/internal/fleet"
	"github.com/yuccabridge/yuccabridge/internal/settings"
)

const (
	// maxSendDelay is the maximum 99th percentile of the send delay for a cell to be valid:
	// 2% of the strictest first-token target of the examples (960 ms).
	maxSendDelay = 20 * time.Millisecond
	// burstFactor multiplies the request rate of the highest class during a burst.
	burstFactor = 3
	// stragglerSlowdown is the factor by which stragglers are slower than other engines.
	stragglerSlowdown = 3
	// stragglerCount is the number of engines that are slowed down.
	stragglerCount = 2
)

// Cell is the measurement of one combination of policy, condition, load and seed.
type Cell struct {
	Policy    settings.Policy `json:"policy"`
	Condition Condition       `json:"condition"`
	Load      float64         `json:"load"`
	Seed      uint64          `json:"seed"`
	Classes   []ClassResult   `json:"classes"`
	// OfferedShare is the number of output tokens requested within the window divided by
	// the number that the capacity allows. It differs from Load because arrivals and
	// lengths are random, and during a burst.
	OfferedShare float64 `json:"offered_share"`
	// Goodput and Throughput are in tokens/s within the window; the shares are relative to
	// the capacity.
	Goodput         float64 `json:"goodput_tokens_per_s"`
	GoodputShare    float64 `json:"goodput_share"`
	Throughput      float64 `json:"throughput_tokens_per_s"`
	ThroughputShare float64 `json:"throughput_share"`
	// WastedShare is the share of the tokens generated within the window that were discarded.
	WastedShare float64                `json:"wasted_share"`
	Violations  map[string]int         `json:"violations"`
	Orders      experiment.OrderReport `json:"orders"`
	SendDelay   experiment.Quantiles   `json:"send_delay"`
	// EngineRunning and EngineWaiting are the mean numbers of running and of waiting
	// requests of an engine within the window.
	EngineRunning float64 `json:"engine_running"`
	EngineWaiting float64 `json:"engine_waiting"`
	// Cores is the CPU time of the whole process per second of the window.
	Cores float64 `json:"cores"`
	Valid bool    `json:"valid"`
}

// ClassResult is the result of one class in a cell.
type ClassResult struct {
	Class      string  `json:"class"`
	Tier       int     `json:"tier"`
	Intended   int     `json:"intended"`
	Answered   int     `json:"answered"`
	Attainment float64 `json:"attainment"`
	// FirstTokenMet and TokenIntervalMet are the shares of the completed streams that met
	// the first-token and the token-interval target, respectively.
	FirstTokenMet          float64              `json:"first_token_met"`
	TokenIntervalMet       float64              `json:"token_interval_met"`
	Refused                map[string]int       `json:"refused"`
	Unanswered             map[string]int       `json:"unanswered"`
	FirstTokenQuantiles    experiment.Quantiles `json:"first_token"`
	TokenIntervalQuantiles experiment.Quantiles `json:"token_interval"`
}

// measureCell runs one cell in a new region. If the capacity is zero, the load is a
// multiple of the nominal rates.
func (o Options) measureCell(ctx context.Context, params cellParameters, capacity float64) (Cell, error) {
	f, err := fleet.Start(fleet.Options{Deployment: o.Deployment, Instances: o.Instances, Policy: params.policy, Seed: params.seed, Log: o.Log, WaitMembers: true})
	if err != nil {
		return Cell{}, err
	}
	cell, err := o.runLoad(ctx, f, params, capacity)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return cell, err
}

func (o Options) runLoad(ctx context.Context, f *fleet.Fleet, params cellParameters, capacity float64) (Cell, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := o.scenario(f, params, capacity)
	if err != nil {
		return Cell{}, err
	}
	s.CurrentEntryAddresses = f.BalancerTargets(ctx)
	usage := make(chan windowUsage, 1)
	go func() { usage <- o.measureUsage(ctx, f) }()
	go o.applyCondition(ctx, f, params.condition)
	report := experiment.Run(ctx, s, f.Deployment)
	if report.Partial {
		return Cell{}, ctx.Err()
	}
	cell := newCell(params, report, <-usage, capacity)
	cell.OfferedShare = ratio(offeredTokens(s), capacity*o.Window.Seconds())
	return cell, nil
}

// offeredTokens returns the planned output tokens of the chat requests of the window.
func offeredTokens(s *experiment.Scenario) float64 {
	sum := 0
	for _, a := range experiment.Plan(s) {
		if a.At >= s.Warmup.Std() && !a.Order {
			sum += a.OutputTokens
		}
	}
	return float64(sum)
}

// scenario builds the load of a cell, scaled to the capacity if that is known.
func (o Options) scenario(f *fleet.Fleet, params cellParameters, capacity float64) (*experiment.Scenario, error) {
	load := fleet.Load{Factor: params.load, Duration: o.Warmup + o.Window, Seed: params.seed, Resends: o.Resends}
	if capacity > 0 {
		nominal, err := f.Scenario(fleet.Load{Factor: 1, Duration: load.Duration, Seed: params.seed})
		if err != nil {
			return nil, err
		}
		load.Factor = params.load * capacity / nominal.TokenRate()
	}
	if params.condition == Burst {
		load.Burst, load.BurstOffset, load.BurstLength = burstFactor, o.Warmup+o.Window/4, o.Window/3
	}
	s, err := f.Scenario(load)
	if err != nil {
		return nil, err
	}
	s.Warmup, s.Drain = config.Duration(o.Warmup), config.Duration(o.Drain)
	return s, nil
}

// applyCondition injects the faults of the condition at their times. The load of Burst is
// part of the scenario.
func (o Options) applyCondition(ctx context.Context, f *fleet.Fleet, c Condition) {
	if !sleep(ctx, o.Warmup) {
		return
	}
	if c == Stragglers {
		for _, e := range f.Engines[:min(stragglerCount, len(f.Engines))] {
			e.SetFaults(emulator.EngineFaults{Straggle: stragglerSlowdown})
		}
	}
	if !sleep(ctx, o.Window/4) {
		return
	}
	switch c {
	case Crash:
		f.Engines[0].CrashFor(o.Window / 3)
	case Partition:
		f.Isolate(f.Deployment.FailureDomains[0])
		sleep(ctx, o.Window/3)
		f.Heal()
	}
}

// windowUsage holds the resource usage of the region within the window.
type windowUsage struct {
	seconds                       float64
	generatedTokens, wastedTokens uint64
	cores                         float64
	running, waiting              float64 // means over engines and samples
}

// measureUsage measures the resource usage between the start and the end of the window.
func (o Options) measureUsage(ctx context.Context, f *fleet.Fleet) windowUsage {
	sleep(ctx, o.Warmup)
	started, before, cpuBefore := time.Now(), readTokenCounters(f), processCPUTime()
	running, waiting := sampleLoads(ctx, f, o.Window)
	seconds, after := time.Since(started).Seconds(), readTokenCounters(f)
	return windowUsage{
		seconds:         seconds,
		generatedTokens: after.generatedTokens - before.generatedTokens,
		wastedTokens:    max(after.wastedTokens, before.wastedTokens) - before.wastedTokens,
		running:         running,
		waiting:         waiting,
		cores:           (processCPUTime() - cpuBefore).Seconds() / seconds,
	}
}

// sampleInterval is the interval at which the load of the engines is sampled.
const sampleInterval = 250 * time.Millisecond

// sampleLoads returns the mean numbers of running and waiting requests of an engine over d.
func sampleLoads(ctx context.Context, f *fleet.Fleet, d time.Duration) (running, waiting float64) {
	end, samples := time.Now().Add(d), 0
	for {
		remaining := time.Until(end)
		if remaining <= 0 || !sleep(ctx, min(remaining, sampleInterval)) {
			break
		}
		for _, e := range f.Engines {
			load := e.Load()
			running += float64(load.Running)
			waiting += float64(load.Waiting)
			samples++
		}
	}
	return ratio(running, float64(samples)), ratio(waiting, float64(samples))
}

func readTokenCounters(f *fleet.Fleet) windowUsage {
	var u windowUsage
	for _, e := range f.Engines {
		c := e.Counters()
		u.generatedTokens += c.TokensGenerated
		u.wastedTokens += c.TokensCancelled + c.TokensLost
	}
	return u
}

// processCPUTime returns the user and system CPU time of this process.
func processCPUTime() time.Duration {
	var u syscall.Rusage
	if syscall.Getrusage(syscall.RUSAGE_SELF, &u) != nil {
		return 0
	}
	return time.Duration(u.Utime.Nano() + u.Stime.Nano())
}

func sleep(ctx context.Context, d time.Duration) bool {
	select {
	case <-ctx.Done():
		return false
	case <-time.After(d):
		return true
	}
}

func newCell(params cellParameters, r *experiment.Report, usage windowUsage, capacity float64) Cell {
	c := Cell{
		Policy: params.policy, Condition: params.condition, Load: params.load, Seed: params.seed,
		Goodput: r.WindowGoodput, GoodputShare: ratio(r.WindowGoodput, capacity),
		WastedShare: ratio(float64(usage.wastedTokens), float64(usage.generatedTokens)), Violations: map[string]int{},
		Orders: r.Orders, SendDelay: r.SendDelay, Cores: usage.cores, EngineRunning: usage.running, EngineWaiting: usage.waiting,
	}
	c.Throughput = float64(usage.generatedTokens) / usage.seconds
	c.ThroughputShare = ratio(c.Throughput, capacity)
	c.Valid = r.NotSent == 0 && r.SendDelay.P99 <= float64(maxSendDelay.Milliseconds())
	for kind, n := range r.Violations {
		c.Violations[string(kind)] = n
	}
	for _, class := range r.Classes {
		c.Classes = append(c.Classes, ClassResult{
			Class: class.Class, Tier: class.Tier, Intended: class.Offered, Answered: class.Answered, Attainment: class.Attainment,
			FirstTokenMet:    ratio(float64(class.FirstTokenMet), float64(class.Streams)),
			TokenIntervalMet: ratio(float64(class.IntervalMet), float64(class.Streams)),
			Refused:          class.Refused, Unanswered: class.Unanswered,
			FirstTokenQuantiles: class.FirstToken, TokenIntervalQuantiles: class.Interval,
		})
	}
	return c
}

func ratio(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}

// summary formats the main results of the cell as one line.
func (c Cell) summary() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-10s %-10s load %.1f seed %d offered %.3f  goodput %.0f (%.3f)  throughput %.3f  waste %.4f  violations %d  send p99 %.1f ms  cores %.1f  engine %.1f+%.1f",
		c.Policy, c.Condition, c.Load, c.Seed, c.OfferedShare, c.Goodput, c.GoodputShare, c.ThroughputShare, c.WastedShare, c.violationCount(), c.SendDelay.P99, c.Cores, c.EngineRunning, c.EngineWaiting)
	for _, class := range c.Classes {
		fmt.Fprintf(&b, "  %s %.3f", class.Class, class.Attainment)
	}
	if !c.Valid {
		b.WriteString("  INVALID")
	}
	return b.String()
}

func (c Cell) violationCount() int {
	sum := 0
	for _, n := range c.Violations {
		sum += n
	}
	return sum
}
