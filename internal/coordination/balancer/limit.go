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
	// Where a latency grows in proportion to the load past the capacity, the factor is
	// also the load that is tolerated. Whole service times vary more than intervals.
	intervalFactor = 1.5
	plainFactor    = 2
	// intervalHeadroom is the share of the token interval's target up to which a window's
	// mean may go. Single answers vary by a fifth around the mean, and nearly all of them
	// must meet the target. At 0.85 engines were full so often that 3% of the first tokens
	// of the top tier came late at load 1.5; the slots given up cost 2% of the throughput.
	intervalHeadroom = 0.75
	// firstTokenMaxExcess tolerates three times the baseline, because prompts differ in
	// length and a prefix is cached or not.
	firstTokenMaxExcess = 2
	// firstTokenWait is the share of the rest of the service time that a first token
	// may wait in a queue. It takes effect when the baseline is long, which it is when
	// it was learned behind a queue; a multiple alone would let that queue grow.
	firstTokenWait      = 0.5
	firstTokenMinExcess = 0.5
	// queuedExcess tolerates half of the baseline more when the upstream reports a queue:
	// then the excess is a wait, which hits requests of high tiers as well.
	queuedExcess = 0.5
	// latencySlack keeps differences of a few milliseconds from counting as overload.
	latencySlack = 0.005

	// baselineFall is the share of the gap by which a faster window lowers the
	// baseline; taking the minimum would follow the noise downwards.
	baselineFall = 0.5
	// baselineRise is the same for a slower window at low load.
	baselineRise = 0.25
	// lowLoadShare is the share of the limit that counts as low load.
	lowLoadShare = 0.5
	// The patience is the number of service times of overload at the minimum limit
	// after which the latency there becomes the baseline. Either other instances hold a
	// queue at the upstream, and accepting it makes it permanent, or requests became
	// slower, and the limit is too low until it is accepted. patienceLong applies when
	// the first token takes long enough to be a wait in a queue. A fresh load report
	// with or without a queue decides between the two, so it lengthens or shortens the
	// patience.
	patienceShort  = 16
	patienceLong   = 32
	patienceIdle   = 4
	patienceQueued = 256

	// drainShare is the share of the limit that is open while the low-load latency is
	// measured again.
	drainShare = 0.25
	// drainMeasured is the number of requests measured in a drain, as a share of the
	// limit. They take two service times, after one in which the queue empties.
	drainMeasured = 0.5
	// drainMax bounds the length of a drain in service times.
	drainMax = 8
	// drainPeriodFirst and drainPeriodMax are the service times between drains of an
	// upstream that stays full. The period doubles from the first to the second, at
	// which drains cost about 3*(1-drainShare)/32, 7% of its capacity. The first come
	// early because instances that start together learn their baseline behind each
	// other's requests, and drain together.
	drainPeriodFirst = 4
	drainPeriodMax   = 32
)

// limiter adapts the concurrency limit of one upstream to its latency. The low-load
// baseline falls with any faster window. It rises only when this instance loads the
// upstream little, when a fresh load report shows no queue, or when overload persists
// at the minimum limit; otherwise a saturated upstream's latency would slowly become
// its own baseline.
type limiter struct {
	value, min, max float64
	ramping         bool
	service         average

	firstBase, intervalBase float64
	window                  window

	cutAt     time.Duration // last decrease
	overSince time.Duration // start of overload at the minimum, 0 when not overloaded

	// Fastest window since overSince.
	floorFirst, floorInterval float64

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
	if l.draining && now >= l.drainUntil {
		l.endDrain(now)
	}
	if o.idle {
		l.drainAt = now // the report shows what a drain would: latency without a queue
	} else if !l.draining && inFlight >= capacity && l.drainDue(now) {
		l.startDrain(now)
	}
	w := &l.window
	if dispatched < w.since {
		return
	}
	w.add(s, inFlight, capacity)
	if l.draining {
		if float64(w.n) >= min(windowMax, max(windowMin, l.value*drainMeasured)) {
			l.endDrain(now)
		}
		return
	}
	if w.n < int(min(windowMax, max(windowMin, l.value))) {
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
	idle           bool    // a fresh load report shows none
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
	follow(&l.intervalBase, interval, lowLoad)
	slow := l.slowTokens(interval, o)
	follow(&l.firstBase, first, lowLoad || o.idle && !slow)
	over := slow || l.lateFirst(first, w.plain, o)
	if !over {
		l.overSince = 0
	}
	switch {
	case over:
		l.decrease(now, first, interval, o)
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

// lateFirst reports whether the first token comes too late.
func (l *limiter) lateFirst(first float64, plain bool, o *limitContext) bool {
	if o.queued && (first > firstTokenWait*max(0, float64(l.service)-first) || first > l.firstBase*(1+queuedExcess)+latencySlack) {
		return true
	}
	return first > l.firstBase+l.firstTolerance(plain)+latencySlack
}

// slowTokens reports whether the token interval is too long.
func (l *limiter) slowTokens(interval float64, o *limitContext) bool {
	if target := o.intervalTarget; target > 0 {
		return interval > target*intervalHeadroom
	}
	return interval > l.intervalBase*intervalFactor+latencySlack
}

// firstTolerance is the excess of the first token over its baseline that is accepted.
func (l *limiter) firstTolerance(plain bool) float64 {
	if plain {
		return l.firstBase * (plainFactor - 1)
	}
	generation := max(0, float64(l.service)-l.firstBase)
	wait := max(l.firstBase*firstTokenMinExcess, generation*firstTokenWait)
	return min(l.firstBase*firstTokenMaxExcess, wait)
}

// decrease lowers the limit at most once per service time.
func (l *limiter) decrease(now time.Duration, first, interval float64, o *limitContext) {
	if l.cutAt > 0 && now-l.cutAt < l.services(1) {
		return
	}
	l.ramping = false
	if l.value <= l.min {
		l.atMinimum(now, first, interval, o)
	}
	l.value = max(l.min, l.value*limitDecrease)
	l.cutAt = now
	l.window.since = now
}

// atMinimum raises the baseline when overload persists at the minimum limit: this
// instance isn't the cause. The fastest window of that time counts, because it saw the
// others drain.
func (l *limiter) atMinimum(now time.Duration, first, interval float64, o *limitContext) {
	if l.overSince == 0 {
		l.overSince = now
		l.floorFirst, l.floorInterval = first, interval
		return
	}
	lower(&l.floorFirst, first)
	lower(&l.floorInterval, interval)
	if now-l.overSince < l.services(l.patience(o)) {
		return
	}
	l.firstBase = max(l.firstBase, l.floorFirst)
	l.intervalBase = max(l.intervalBase, l.floorInterval)
	l.overSince = 0
	l.ramping = true
}

// patience returns the service times of overload at the minimum limit before the
// latency there is accepted.
func (l *limiter) patience(o *limitContext) float64 {
	switch {
	case o.queued:
		return patienceQueued
	case o.idle:
		return patienceIdle
	case l.floorFirst > firstTokenWait*(float64(l.service)-l.floorFirst):
		return patienceLong
	}
	return patienceShort
}

func (l *limiter) drainDue(now time.Duration) bool {
	// At the smallest limits there is nothing to close.
	return l.value >= 2*l.min && l.service > 0 && now-l.drainAt >= l.services(l.drainPeriod)
}

// startDrain opens only part of the limit, so that the low-load latency is seen even
// while the upstream stays saturated.
func (l *limiter) startDrain(now time.Duration) {
	l.draining = true
	l.drainUntil = now + l.services(drainMax)
	l.drainPeriod = min(2*l.drainPeriod, drainPeriodMax)
	l.window = window{since: now + l.services(1)}
}

// endDrain lowers the baselines to what was measured. It never raises them: other
// instances may have kept the upstream saturated meanwhile.
func (l *limiter) endDrain(now time.Duration) {
	w := &l.window
	if w.n >= windowMin {
		follow(&l.firstBase, mean(w.first, w.firsts), false)
		follow(&l.intervalBase, mean(w.interval, w.ints), false)
	}
	l.draining = false
	l.drainAt = now
	l.window = window{since: now}
}

func lower(base *float64, x float64) {
	if x > 0 {
		*base = min(*base, x)
	}
}
