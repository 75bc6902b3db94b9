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
	case c.completions >= minCompletions && c.busy > 0 && c.work > 0:
		return c.work / c.busy, true
	case c.busy > 0 && c.occupied > 0:
		return c.occupied / c.busy, true
	default:
		return float64(c.inFlight), c.inFlight > 0
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
