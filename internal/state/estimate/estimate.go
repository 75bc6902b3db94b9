package estimate

import (
	"math"
	"time"
)

const (
	// HalfLife is the time in which evidence loses half its weight.
	HalfLife = 10 * time.Second
	// maxEvidence bounds the evidence of a mean, in samples, so that the mean
	// follows a change of load within about 32 samples.
	maxEvidence = 32
	// minEvidence is the minimum evidence, in samples, of a known value.
	minEvidence = 0.25
	// minCompletions is the minimum evidence, in completions, for deriving the
	// capacity from the completed work. With fewer completions one long request
	// would dominate the result.
	minCompletions = 8
	// minBusySeconds is the minimum evidence, in seconds during which requests
	// waited, of a known capacity. While no request waits, slots may be free, and a
	// request that waits only for an instant does not show that all are in use.
	minBusySeconds = 0.05
)

// decayFactor returns the fraction of its weight that evidence keeps between two times.
func decayFactor(from, to time.Duration) float64 {
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
func (m *Mean) Add(now time.Duration, sample float64) {
	w := min(m.weight*decayFactor(m.last, now), maxEvidence-1)
	m.value = (m.value*w + sample) / (w + 1)
	m.weight, m.last = w+1, max(m.last, now)
}

// Value returns the mean, and false while it is unknown.
func (m *Mean) Value(now time.Duration) (float64, bool) {
	return m.value, m.weight*decayFactor(m.last, now) >= minEvidence
}

// Rate is an exponentially weighted amount per second over about the last HalfLife.
type Rate struct {
	sum         float64
	start, last time.Duration
}

// NewRate returns a rate whose measurement starts at now.
func NewRate(now time.Duration) *Rate { return &Rate{start: now, last: now} }

// Add records an amount.
func (r *Rate) Add(now time.Duration, amount float64) {
	r.sum = r.sum*decayFactor(r.last, now) + amount
	r.last = max(r.last, now)
}

// PerSecond returns the rate. The averaging window is at least one second, so that the
// first amounts do not appear as a high rate.
func (r *Rate) PerSecond(now time.Duration) float64 {
	window := (1 - decayFactor(r.start, now)) * HalfLife.Seconds() / math.Ln2
	return r.sum * decayFactor(r.last, now) / max(window, 1)
}

const (
	// A prediction that falls short raises the margin by marginStep, and any other
	// lowers it by a 99th of that, so that about one prediction in 100 falls short.
	marginStep      = 0.05
	marginStepRatio = 99
	maxMargin       = 8
)

// Margin is a factor, at least 1, by which a predicted time is multiplied so
// that about one prediction in 100 falls short. The zero value is 1.
type Margin struct {
	excess float64
	last   time.Duration
}

// Value returns the factor. Without new evidence its excess over 1 halves every HalfLife.
func (m *Margin) Value(now time.Duration) float64 { return 1 + m.excess*decayFactor(m.last, now) }

// Add records whether a prediction fell short.
func (m *Margin) Add(now time.Duration, short bool) {
	m.excess *= decayFactor(m.last, now)
	m.last = max(m.last, now)
	if short {
		m.excess = min(m.excess+marginStep, maxMargin-1)
	} else {
		m.excess = max(m.excess-marginStep/marginStepRatio, 0)
	}
}

// Capacity estimates the service rate. The zero value is empty.
type Capacity struct {
	last            time.Duration
	waiting         bool
	inFlight        int
	busySeconds     float64 // seconds during which requests waited
	occupiedSeconds float64 // request seconds in flight during busySeconds
	workSeconds     float64 // service seconds completed during busySeconds
	completions     float64
}

// Set records the current state: the number of requests in flight, and whether others wait.
func (c *Capacity) Set(now time.Duration, inFlight int, waiting bool) {
	c.advance(now)
	c.inFlight, c.waiting = inFlight, waiting
}

// Complete records the end of a request and its service time.
func (c *Capacity) Complete(now time.Duration, serviceSeconds float64) {
	c.advance(now)
	if c.waiting {
		c.workSeconds += serviceSeconds
		c.completions++
	}
}

// Value returns the service rate in service seconds per second, and false while it is
// unknown.
func (c *Capacity) Value(now time.Duration) (float64, bool) {
	c.advance(now)
	switch {
	case c.busySeconds < minBusySeconds || c.occupiedSeconds == 0:
		return 0, false
	case c.completions >= minCompletions && c.workSeconds > 0:
		return c.workSeconds / c.busySeconds, true
	default:
		return c.occupiedSeconds / c.busySeconds, true
	}
}

func (c *Capacity) advance(now time.Duration) {
	if now <= c.last {
		return
	}
	d := decayFactor(c.last, now)
	c.busySeconds, c.occupiedSeconds, c.workSeconds, c.completions = c.busySeconds*d, c.occupiedSeconds*d, c.workSeconds*d, c.completions*d
	if c.waiting {
		// The evidence of the elapsed time decays within it too, so it is the integral of
		// 2^(-t/HalfLife) over that time.
		busySpan := (1 - d) * HalfLife.Seconds() / math.Ln2
		c.busySeconds += busySpan
		c.occupiedSeconds += busySpan * float64(c.inFlight)
	}
	c.last = now
}
