package estimate

import (
	"math"
	"time"
)

const (
	// HalfLife is the time in which evidence loses half its weight.
	HalfLife = 10 * time.Second
	// maxWeight bounds the evidence of a mean, in samples, so that it follows a
	// change of load within about 32 samples.
	maxWeight = 32
	// minWeight is the least evidence, in samples, of a known value.
	minWeight = 0.25
	// minCompletions is the evidence from which the completed work measures the
	// capacity. With fewer completions one long request would dominate it.
	minCompletions = 8
	// minBusy is the evidence, in seconds during which requests waited, of a
	// known capacity. While nothing waits, free slots may exist, and a request
	// that waits for an instant shows no lack of them.
	minBusy = 0.05
)

func decay(from, to time.Duration) float64 {
	if to <= from {
		return 1
	}
	return math.Exp2(-float64(to-from) / float64(HalfLife))
}

// Mean is an exponentially weighted moving average. The zero value is empty.
type Mean struct {
	value, weight float64
	last          time.Duration
}

// Add records a sample.
func (m *Mean) Add(now time.Duration, x float64) {
	w := min(m.weight*decay(m.last, now), maxWeight-1)
	m.value = (m.value*w + x) / (w + 1)
	m.weight, m.last = w+1, max(m.last, now)
}

// Value returns the mean, and false while it is unknown.
func (m *Mean) Value(now time.Duration) (float64, bool) {
	return m.value, m.weight*decay(m.last, now) >= minWeight
}

// Rate is an amount per second over about the last HalfLife.
type Rate struct {
	sum         float64
	start, last time.Duration
}

// NewRate returns a rate that is measured from now on.
func NewRate(now time.Duration) *Rate { return &Rate{start: now, last: now} }

// Add records an amount.
func (r *Rate) Add(now time.Duration, x float64) {
	r.sum = r.sum*decay(r.last, now) + x
	r.last = max(r.last, now)
}

// PerSecond returns the rate. The window is at least one second, so that the
// first amounts do not count as a high rate.
func (r *Rate) PerSecond(now time.Duration) float64 {
	window := (1 - decay(r.start, now)) * HalfLife.Seconds() / math.Ln2
	return r.sum * decay(r.last, now) / max(window, 1)
}

const (
	// A shortfall raises the margin by marginStep, and a success lowers it by a
	// 99th of that, so that about one prediction in 100 falls short.
	marginStep     = 0.05
	marginRatio    = 99
	greatestMargin = 8
)

// Margin is a factor, at least 1, by which a predicted time is multiplied so
// that about one prediction in 100 falls short. The zero value is 1.
type Margin struct {
	excess float64
	last   time.Duration
}

// Value returns the factor. Without new evidence its excess over 1 halves every HalfLife.
func (m *Margin) Value(now time.Duration) float64 { return 1 + m.excess*decay(m.last, now) }

// Add records whether a prediction fell short.
func (m *Margin) Add(now time.Duration, short bool) {
	m.excess *= decay(m.last, now)
	m.last = max(m.last, now)
	if short {
		m.excess = min(m.excess+marginStep, greatestMargin-1)
	} else {
		m.excess = max(m.excess-marginStep/marginRatio, 0)
	}
}

// Capacity learns the service rate. The zero value is empty.
type Capacity struct {
	last        time.Duration
	waiting     bool
	inFlight    int
	busy        float64 // seconds during which requests waited
	occupied    float64 // request seconds in flight during busy
	work        float64 // service seconds completed during busy
	completions float64
}

// Set records the state from now on: the requests in flight, and whether others wait.
func (c *Capacity) Set(now time.Duration, inFlight int, waiting bool) {
	c.advance(now)
	c.inFlight, c.waiting = inFlight, waiting
}

// Complete records the end of a request with its service time in seconds.
func (c *Capacity) Complete(now time.Duration, service float64) {
	c.advance(now)
	if c.waiting {
		c.work += service
		c.completions++
	}
}

// Value returns the service seconds per second, and false while they are unknown.
func (c *Capacity) Value(now time.Duration) (float64, bool) {
	c.advance(now)
	switch {
	case c.busy < minBusy || c.occupied == 0:
		return 0, false
	case c.completions >= minCompletions && c.work > 0:
		return c.work / c.busy, true
	default:
		return c.occupied / c.busy, true
	}
}

func (c *Capacity) advance(now time.Duration) {
	if now <= c.last {
		return
	}
	d := decay(c.last, now)
	c.busy, c.occupied, c.work, c.completions = c.busy*d, c.occupied*d, c.work*d, c.completions*d
	if c.waiting {
		// The span itself decays as well: the integral of 2^(-t/HalfLife) over it.
		span := (1 - d) * HalfLife.Seconds() / math.Ln2
		c.busy += span
		c.occupied += span * float64(c.inFlight)
	}
	c.last = now
}
