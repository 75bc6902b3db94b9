package balancer

import "time"

const (
	defaultInitialLimit = 4
	defaultMinLimit     = 1
	defaultMaxLimit     = 1024

	// limitDecrease is the multiplicative decrease of an overloaded upstream.
	limitDecrease = 0.8
	// rampIncrease is the increase for each completion before the first decrease. A
	// quarter reaches 64 slots in about 13 service times, where one slot per service
	// time needs 60; the feedback is one service time late, so doubling overshoots.
	rampIncrease = 0.25

	// windowMin and windowMax bound the completions that one decision averages.
	windowMin = 4
	windowMax = 16

	// intervalFactor and plainFactor are tolerated multiples of the low-load baseline.
	// Both latencies grow in proportion to the load past the capacity, so the factor
	// is also the excess load that is tolerated.
	intervalFactor = 1.5
	plainFactor    = 1.5
	// firstTokenFactor is larger because prompts differ in length and a prefix is
	// cached or not. The excess load stays small all the same: queueing adds a share
	// of a whole service time to the first token.
	firstTokenFactor = 3
	// latencySlack keeps differences of a few milliseconds from counting as overload.
	latencySlack = 0.005

	// baselineFall is the share of the gap by which a faster window lowers the
	// baseline; taking the minimum would follow the noise downwards.
	baselineFall = 0.5
	// baselineRise is the same for a slower window at low load.
	baselineRise = 0.25
	// lowLoadShare is the share of the limit that counts as low load.
	lowLoadShare = 0.5
	// floorPatience is the number of service times of overload at the minimum limit
	// after which the latency there becomes the baseline. It is longer than the first
	// drain periods, so that an instance with a wrong baseline corrects its own first.
	floorPatience = 16

	// drainShare is the share of the limit that is open while the low-load latency is
	// measured again.
	drainShare = 0.25
	// drainServices is the length of a drain in service times. The first half lets the
	// queue empty; requests dispatched in the second half are measured.
	drainServices = 2
	// drainPeriodFirst and drainPeriodMax are the service times between drains of an
	// upstream that stays full. The period doubles from the first to the second, at
	// which drains cost about 2*(1-drainShare)/32, under 5% of its capacity.
	drainPeriodFirst = 4
	drainPeriodMax   = 32
)

// limiter adapts the concurrency limit of one upstream to its latency. The low-load
// baseline falls with any faster window. It rises only when this instance loads the
// upstream little, or when overload persists at the minimum limit; otherwise a
// saturated upstream's latency would slowly become its own baseline.
type limiter struct {
	value, min, max float64
	ramping         bool
	service         average

	firstBase, intervalBase float64
	window                  window

	cutAt     time.Duration // last decrease
	overSince time.Duration // start of overload at the minimum, 0 when not overloaded

	// While draining, requests dispatched from window.since until drainUntil measure
	// the low-load latency.
	draining    bool
	drainAt     time.Duration // end of the last drain
	drainUntil  time.Duration
	drainPeriod float64 // service times
}

// window accumulates the completions of one decision.
type window struct {
	since           time.Duration // earlier dispatches don't count
	first, interval float64       // sums
	firsts, n, ints int
	full            int // completions while the limit was reached
	peak            int // most requests in flight
	plain           bool
}

func newLimiter(initial, low, high float64) limiter {
	return limiter{
		value: max(low, min(initial, high)), min: low, max: high,
		ramping: true, drainPeriod: drainPeriodFirst,
	}
}

// open returns the number of requests that may be in flight now.
func (l *limiter) open(now time.Duration) int {
	if l.draining && now < l.drainUntil {
		return int(max(l.min, l.value*drainShare))
	}
	return int(l.value)
}

func (l *limiter) services(n float64) time.Duration {
	return time.Duration(n * float64(l.service) * float64(time.Second))
}

// observe adapts the limit to one completion. inFlight includes it; capacity is the
// number of requests that may be in flight.
func (l *limiter) observe(now, dispatched time.Duration, s sample, inFlight, capacity int, o *limitContext) {
	if s.service > 0 {
		l.service.add(s.service, latencyWeight)
	}
	if l.drainAt == 0 {
		l.drainAt = now // the first period starts with the first completion
	}
	if l.draining && dispatched >= l.drainUntil {
		l.endDrain()
	}
	w := &l.window
	if dispatched < w.since {
		return
	}
	w.add(s, inFlight, capacity)
	if l.draining || w.n < int(min(windowMax, max(windowMin, l.value))) {
		return
	}
	l.decide(now, o)
	l.window = window{since: l.window.since}
}

// limitContext is what the limiter needs to know beyond its own samples.
type limitContext struct {
	intervalTarget float64 // seconds, 0 when not set
	ceiling        float64 // bound of increases
	queued         bool    // a fresh load report shows a queue
}

func (w *window) add(s sample, inFlight, capacity int) {
	w.n++
	if s.first > 0 {
		w.first += s.first
		w.firsts++
	}
	if s.interval > 0 {
		w.interval += s.interval
		w.ints++
	}
	if inFlight >= capacity {
		w.full++
	}
	w.peak = max(w.peak, inFlight)
	w.plain = w.plain || s.plain
}

func mean(sum float64, n int) float64 {
	if n == 0 {
		return 0
	}
	return sum / float64(n)
}

// decide acts on a complete window.
func (l *limiter) decide(now time.Duration, o *limitContext) {
	w := &l.window
	first, interval := mean(w.first, w.firsts), mean(w.interval, w.ints)
	lowLoad := float64(w.peak) <= lowLoadShare*l.value
	follow(&l.firstBase, first, lowLoad)
	follow(&l.intervalBase, interval, lowLoad)
	over := l.overloaded(first, interval, w.plain, o.intervalTarget)
	if !over {
		l.overSince = 0
	}
	switch {
	case over:
		l.decrease(now, first, interval)
	case w.full > 0 && l.drainDue(now):
		l.startDrain(now)
	case w.full > 0 && !o.queued:
		step := float64(w.full) / l.value
		if l.ramping {
			step = float64(w.full) * rampIncrease
		}
		l.value = max(l.value, min(l.value+step, l.max, o.ceiling))
	}
}

// follow moves a baseline towards the mean of a window.
func follow(base *float64, x float64, lowLoad bool) {
	switch {
	case x <= 0:
	case *base == 0:
		*base = x
	case x < *base:
		*base += baselineFall * (x - *base)
	case lowLoad:
		*base += baselineRise * (x - *base)
	}
}

func (l *limiter) overloaded(first, interval float64, plain bool, target float64) bool {
	factor := float64(firstTokenFactor)
	if plain {
		factor = plainFactor
	}
	if first > l.firstBase*factor+latencySlack {
		return true
	}
	if target > 0 {
		return interval > target
	}
	return interval > l.intervalBase*intervalFactor+latencySlack
}

// decrease lowers the limit at most once per service time.
func (l *limiter) decrease(now time.Duration, first, interval float64) {
	if l.cutAt > 0 && now-l.cutAt < l.services(1) {
		return
	}
	l.ramping = false
	if l.value <= l.min {
		l.atMinimum(now, first, interval)
	}
	l.value = max(l.min, l.value*limitDecrease)
	l.cutAt = now
	l.window.since = now
}

// atMinimum accepts the latency as the new baseline when overload persists at the
// minimum limit: this instance isn't the cause.
func (l *limiter) atMinimum(now time.Duration, first, interval float64) {
	if l.overSince == 0 {
		l.overSince = now
		return
	}
	if now-l.overSince < l.services(floorPatience) {
		return
	}
	l.firstBase, l.intervalBase = max(first, l.firstBase), max(interval, l.intervalBase)
	l.overSince = 0
}

func (l *limiter) drainDue(now time.Duration) bool {
	return l.service > 0 && now-l.drainAt >= l.services(l.drainPeriod)
}

// startDrain opens only part of the limit, so that the low-load latency is seen even
// while the upstream stays saturated.
func (l *limiter) startDrain(now time.Duration) {
	l.draining = true
	l.drainUntil = now + l.services(drainServices)
	l.drainPeriod = min(2*l.drainPeriod, drainPeriodMax)
	l.window = window{since: now + l.services(drainServices/2)}
}

// endDrain lowers the baselines to what was measured. It never raises them: other
// instances may have kept the upstream saturated meanwhile.
func (l *limiter) endDrain() {
	w := &l.window
	if w.n >= windowMin {
		lower(&l.firstBase, mean(w.first, w.firsts))
		lower(&l.intervalBase, mean(w.interval, w.ints))
	}
	l.draining = false
	l.drainAt = l.drainUntil
	l.window = window{since: l.drainUntil}
}

func lower(base *float64, x float64) {
	if x > 0 {
		*base = min(*base, x)
	}
}
