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
	// maxSendDelay is the 99th percentile of the generator's delay above which a cell is
	// invalid: 2% of the strictest first-token target of the examples (960 ms).
	maxSendDelay = 20 * time.Millisecond
	// burstFactor is the growth of the highest class's rate in a burst.
	burstFactor = 3
	// straggle is the slowdown of stragglers.
	straggle = 3
	// stragglers is the number of slow engines.
	stragglers = 2
)

// Cell is one measurement.
type Cell struct {
	Policy    settings.Policy `json:"policy"`
	Condition Condition       `json:"condition"`
	Load      float64         `json:"load"`
	Seed      uint64          `json:"seed"`
	Classes   []Class         `json:"classes"`
	// Offered is the output tokens of the window's requests over those that the capacity
	// gives. It differs from the load by the chance of the draw, and in a burst.
	Offered float64 `json:"offered_share"`
	// Goodput and Throughput are in tokens/s within the window; the shares are of the capacity.
	Goodput         float64 `json:"goodput_tokens_per_s"`
	GoodputShare    float64 `json:"goodput_share"`
	Throughput      float64 `json:"throughput_tokens_per_s"`
	ThroughputShare float64 `json:"throughput_share"`
	// Waste is the share of the engines' tokens that were discarded within the window.
	Waste      float64                `json:"wasted_share"`
	Violations map[string]int         `json:"violations"`
	Orders     experiment.OrderReport `json:"orders"`
	SendDelay  experiment.Quantiles   `json:"send_delay"`
	// Running and Waiting are the mean numbers of requests that an engine runs and that
	// wait at it within the window.
	Running float64 `json:"engine_running"`
	Waiting float64 `json:"engine_waiting"`
	// Cores is the processor time of the whole process per second within the window.
	Cores float64 `json:"cores"`
	Valid bool    `json:"valid"`
}

// Class is the result of one class.
type Class struct {
	Class      string  `json:"class"`
	Tier       int     `json:"tier"`
	Intended   int     `json:"intended"`
	Answered   int     `json:"answered"`
	Attainment float64 `json:"attainment"`
	// FirstToken and Interval are the shares of the answered streams that met the one target.
	FirstToken          float64              `json:"first_token_met"`
	Interval            float64              `json:"token_interval_met"`
	Refused             map[string]int       `json:"refused"`
	Unanswered          map[string]int       `json:"unanswered"`
	FirstTokenQuantiles experiment.Quantiles `json:"first_token"`
	IntervalQuantiles   experiment.Quantiles `json:"token_interval"`
}

// measure runs one cell in a region of its own. A capacity of zero takes the load as
// a multiple of the nominal rates.
func (o Options) measure(ctx context.Context, p plan, capacity float64) (Cell, error) {
	f, err := fleet.Start(fleet.Options{Deployment: o.Deployment, Instances: o.Instances, Policy: p.policy, Seed: p.seed, Log: o.Log, WaitMembers: true})
	if err != nil {
		return Cell{}, err
	}
	cell, err := o.load(ctx, f, p, capacity)
	if closeErr := f.Close(); err == nil {
		err = closeErr
	}
	return cell, err
}

func (o Options) load(ctx context.Context, f *fleet.Fleet, p plan, capacity float64) (Cell, error) {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	s, err := o.scenario(f, p, capacity)
	if err != nil {
		return Cell{}, err
	}
	s.Live = f.BalancerTargets(ctx)
	window := make(chan usage, 1)
	go func() { window <- o.observe(ctx, f) }()
	go o.disturb(ctx, f, p.condition)
	report := experiment.Run(ctx, s, f.Deployment)
	if report.Partial {
		return Cell{}, ctx.Err()
	}
	cell := newCell(p, report, <-window, capacity)
	cell.Offered = share(offered(s), capacity*o.Window.Seconds())
	return cell, nil
}

// offered sums the output tokens of the requests that count.
func offered(s *experiment.Scenario) float64 {
	sum := 0
	for _, a := range experiment.Plan(s) {
		if a.At >= s.Warmup.Std() && !a.Order {
			sum += a.Output
		}
	}
	return float64(sum)
}

// scenario makes the load, in proportion to the capacity where it is known.
func (o Options) scenario(f *fleet.Fleet, p plan, capacity float64) (*experiment.Scenario, error) {
	l := fleet.Load{Factor: p.load, Duration: o.Warmup + o.Window, Seed: p.seed, Resends: o.Resends}
	if capacity > 0 {
		nominal, err := f.Scenario(fleet.Load{Factor: 1, Duration: l.Duration, Seed: p.seed})
		if err != nil {
			return nil, err
		}
		l.Factor = p.load * capacity / nominal.TokenRate()
	}
	if p.condition == Burst {
		l.Burst, l.BurstOffset, l.BurstLength = burstFactor, o.Warmup+o.Window/4, o.Window/3
	}
	s, err := f.Scenario(l)
	if err != nil {
		return nil, err
	}
	s.Warmup, s.Drain = config.Duration(o.Warmup), config.Duration(o.Drain)
	return s, nil
}

// disturb carries out the condition.
func (o Options) disturb(ctx context.Context, f *fleet.Fleet, c Condition) {
	if !sleep(ctx, o.Warmup) {
		return
	}
	if c == Stragglers {
		for _, e := range f.Engines[:min(stragglers, len(f.Engines))] {
			e.SetSwitches(emulator.EngineSwitches{Straggle: straggle})
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

// usage is what the region used within the window.
type usage struct {
	seconds           float64
	generated, wasted uint64
	cores             float64
	running, waiting  float64 // means over engines and samples
}

// observe reads the engines' counters at both ends of the window.
func (o Options) observe(ctx context.Context, f *fleet.Fleet) usage {
	sleep(ctx, o.Warmup)
	started, before, cpu := time.Now(), counters(f), processorTime()
	running, waiting := sampleLoads(ctx, f, o.Window)
	seconds, after := time.Since(started).Seconds(), counters(f)
	return usage{
		seconds:   seconds,
		generated: after.generated - before.generated,
		wasted:    max(after.wasted, before.wasted) - before.wasted,
		running:   running,
		waiting:   waiting,
		cores:     (processorTime() - cpu).Seconds() / seconds,
	}
}

// sampleInterval is the time between two looks at the engines' batches.
const sampleInterval = 250 * time.Millisecond

// sampleLoads returns the mean running and waiting requests of an engine over d.
func sampleLoads(ctx context.Context, f *fleet.Fleet, d time.Duration) (running, waiting float64) {
	until, n := time.Now().Add(d), 0
	for {
		left := time.Until(until)
		if left <= 0 || !sleep(ctx, min(left, sampleInterval)) {
			break
		}
		for _, e := range f.Engines {
			l := e.Load()
			running += float64(l.Running)
			waiting += float64(l.Waiting)
			n++
		}
	}
	return share(running, float64(n)), share(waiting, float64(n))
}

func counters(f *fleet.Fleet) usage {
	var u usage
	for _, e := range f.Engines {
		c := e.Counters()
		u.generated += c.TokensGenerated
		u.wasted += c.TokensCancelled + c.TokensLost
	}
	return u
}

// processorTime is the time that this process has used.
func processorTime() time.Duration {
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

func newCell(p plan, r *experiment.Report, u usage, capacity float64) Cell {
	c := Cell{
		Policy: p.policy, Condition: p.condition, Load: p.load, Seed: p.seed,
		Goodput: r.WindowGoodput, GoodputShare: share(r.WindowGoodput, capacity),
		Waste: share(float64(u.wasted), float64(u.generated)), Violations: map[string]int{},
		Orders: r.Orders, SendDelay: r.SendDelay, Cores: u.cores, Running: u.running, Waiting: u.waiting,
	}
	c.Throughput = float64(u.generated) / u.seconds
	c.ThroughputShare = share(c.Throughput, capacity)
	c.Valid = r.NotSent == 0 && r.SendDelay.P99 <= float64(maxSendDelay.Milliseconds())
	for kind, n := range r.Violations {
		c.Violations[string(kind)] = n
	}
	for _, k := range r.Classes {
		c.Classes = append(c.Classes, Class{
			Class: k.Class, Tier: k.Tier, Intended: k.Intended, Answered: k.Answered, Attainment: k.Attainment,
			FirstToken: share(float64(k.FirstTokenMet), float64(k.Streams)),
			Interval:   share(float64(k.IntervalMet), float64(k.Streams)),
			Refused:    k.Refused, Unanswered: k.Unanswered,
			FirstTokenQuantiles: k.FirstToken, IntervalQuantiles: k.Interval,
		})
	}
	return c
}

func share(part, whole float64) float64 {
	if whole == 0 {
		return 0
	}
	return part / whole
}

// line sums the cell up.
func (c Cell) line() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%-10s %-10s load %.1f seed %d offered %.3f  goodput %.0f (%.3f)  throughput %.3f  waste %.4f  violations %d  send p99 %.1f ms  cores %.1f  engine %.1f+%.1f",
		c.Policy, c.Condition, c.Load, c.Seed, c.Offered, c.Goodput, c.GoodputShare, c.ThroughputShare, c.Waste, c.violationCount(), c.SendDelay.P99, c.Cores, c.Running, c.Waiting)
	for _, k := range c.Classes {
		fmt.Fprintf(&b, "  %s %.3f", k.Class, k.Attainment)
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
