package balancer

import "time"

const (
	defaultInitialLimit = 4
	defaultMinLimit     = 1
	defaultMaxLimit     = 1024

	// limitDecreaseFactor multiplies the limit of an overloaded upstream.
	limitDecreaseFactor = 0.8
	// slowStartIncrease is added to the limit for each completion until the first
	// decrease. At 0.25 the limit reaches 64 in about 13 service times, against 60 at one
	// slot per service time. Doubling once per service time overshoots, because the
	// latency feedback arrives one service time late.
	slowStartIncrease = 0.25

	// minWindowSamples and maxWindowSamples bound the number of completions that are
	// averaged for one adjustment of the limit.
	minWindowSamples = 4
	maxWindowSamples = 16

	// tokenIntervalTolerance and serviceTimeTolerance are the multiples of the low-load
	// baseline that do not count as overload. Where latency grows in proportion to the
	// load beyond the capacity, the factor is also the accepted load relative to the
	// capacity. Service times vary more than token intervals and get a higher factor.
	tokenIntervalTolerance = 1.5
	serviceTimeTolerance   = 2
	// tokenIntervalTargetShare is the share of the inter-token target that the mean of a
	// window may reach. Single responses vary by a fifth around the mean, and nearly all
	// of them must meet the target. At 0.85 the engines were full so often that 3% of the
	// first tokens of the highest tier were late at a load of 1.5; the lower value costs
	// 2% of the throughput.
	tokenIntervalTargetShare = 0.75
	// maxFirstTokenExcess is the largest accepted excess of the time to first token, as a
	// multiple of the baseline. The total of three times the baseline allows for
	// differences in prompt length and for prefixes that are not cached.
	maxFirstTokenExcess = 2
	// firstTokenWaitShare is the accepted queueing delay of a first token, as a share of
	// the service time after the first token. It takes effect when the baseline is long,
	// which happens when the baseline was measured behind a queue; a multiple of such a
	// baseline alone would let the queue grow.
	firstTokenWaitShare = 0.5
	// minFirstTokenExcess is the smallest accepted excess, as a multiple of the baseline.
	minFirstTokenExcess = 0.5
	// queuedFirstTokenExcess replaces maxFirstTokenExcess while the upstream reports a
	// queue: the excess is then queueing delay, which affects requests of high tiers too.
	queuedFirstTokenExcess = 0.5
	// latencySlackSeconds keeps differences of a few milliseconds from counting as overload
	// or as straggling.
	latencySlackSeconds = 0.005

	// baselineFallWeight is the weight of a faster window in the baseline. Taking the
	// minimum instead would make the baseline follow noise downwards.
	baselineFallWeight = 0.5
	// baselineRiseWeight is the weight of a slower window at low load.
	baselineRiseWeight = 0.25
	// lowLoadShare is the largest share of the limit in use that counts as low load.
	lowLoadShare = 0.5
	// The rebaseline delays are in service times. After that time of overload at the
	// minimum limit, the latency observed there becomes the baseline. Two causes are
	// possible: other instances keep a queue at the upstream, and accepting the latency
	// would make that queue permanent; or requests became slower, and the limit stays too
	// low until the latency is accepted. rebaselineDelayLongWait applies when the first
	// token takes long enough to be waiting in a queue. A fresh load report tells the two
	// causes apart, so the delay is long when it shows a queue and short when it shows none.
	rebaselineDelay         = 16
	rebaselineDelayLongWait = 32
	rebaselineDelayNoQueue  = 4
	rebaselineDelayQueued   = 256

	// measurementLimitShare is the share of the limit that is in effect during a baseline
	// measurement, which observes the low-load latency of an upstream that stays full.
	measurementLimitShare = 0.25
	// measurementSampleShare is the number of requests observed in a baseline measurement,
	// as a share of the limit. They take two service times, after one in which the queue
	// empties.
	measurementSampleShare = 0.5
	// maxMeasurementTime bounds the length of a baseline measurement, in service times.
	maxMeasurementTime = 8
	// initialMeasurementPeriod and maxMeasurementPeriod bound the time between baseline
	// measurements of an upstream that stays full, in service times. The period doubles
	// after each measurement. At the maximum, measurements cost about
	// 3*(1-measurementLimitShare)/32, 7% of the capacity. The first ones come early
	// because instances that start together learn their baselines behind each other's
	// requests; they also measure at the same time.
	initialMeasurementPeriod = 4
	maxMeasurementPeriod     = 32
)

// limiter adapts the concurrency limit of one upstream to its latency. Each faster
// window lowers the low-load baseline. The baseline rises only when this instance uses a
// small share of the limit, when a fresh load report shows no queue, or when overload
// persists at the minimum limit; otherwise the latency of a saturated upstream would
// gradually become its baseline.
type limiter struct {
	limit, minLimit, maxLimit float64
	slowStart                 bool
	serviceTime               ewma

	firstTokenBaseline, tokenIntervalBaseline float64
	window                                    window

	decreasedAt     time.Duration // last decrease
	overloadedSince time.Duration // start of overload at the minimum limit; 0 when not overloaded

	// Means of the fastest window since overloadedSince.
	lowestFirstToken, lowestTokenInterval float64

	// During a baseline measurement, the requests dispatched between window.start and
	// measureUntil show the low-load latency.
	measuring         bool
	measuredAt        time.Duration // end of the last baseline measurement
	measureUntil      time.Duration
	measurementPeriod float64 // in service times
}

// window accumulates the completions that are averaged for one adjustment.
type window struct {
	start                                            time.Duration // requests dispatched earlier are ignored
	firstTokenSum, tokenIntervalSum                  float64       // seconds
	firstTokenCount, completions, tokenIntervalCount int
	atLimit                                          int // completions at which the limit was reached
	maxInFlight                                      int // at any completion
	serviceTimeOnly                                  bool
}

func newLimiter(initial, minLimit, maxLimit float64) limiter {
	return limiter{
		limit: max(minLimit, min(initial, maxLimit)), minLimit: minLimit, maxLimit: maxLimit,
		slowStart: true, measurementPeriod: initialMeasurementPeriod,
	}
}

// effectiveLimit returns the number of requests that may be in flight now. It is lower
// than the limit during a baseline measurement.
func (l *limiter) effectiveLimit(now time.Duration) int {
	if l.measuring && now < l.measureUntil {
		return int(max(l.minLimit, l.limit*measurementLimitShare))
	}
	return int(l.limit)
}

// serviceTimes returns the duration of count average service times.
func (l *limiter) serviceTimes(count float64) time.Duration {
	return time.Duration(count * float64(l.serviceTime) * float64(time.Second))
}

// recordCompletion adapts the limit to one completed request. inFlight includes that
// request; capacity is the number of requests that may be in flight.
func (l *limiter) recordCompletion(now, dispatchedAt time.Duration, sample latencySample, inFlight, capacity int, inputs *limitInputs) {
	if sample.serviceTime > 0 {
		l.serviceTime.add(sample.serviceTime, latencyEWMAWeight)
	}
	if l.measuredAt == 0 {
		l.measuredAt = now // the first period starts at the first completion
	}
	if l.measuring && now >= l.measureUntil {
		l.endMeasurement(now)
	}
	if inputs.noQueueReported {
		l.measuredAt = now // without a queue, the current latency shows what a measurement would
	} else if !l.measuring && inFlight >= capacity && l.measurementDue(now) {
		l.startMeasurement(now)
	}
	w := &l.window
	if dispatchedAt < w.start {
		return
	}
	w.add(sample, inFlight, capacity)
	if l.measuring {
		if float64(w.completions) >= min(maxWindowSamples, max(minWindowSamples, l.limit*measurementSampleShare)) {
			l.endMeasurement(now)
		}
		return
	}
	if w.completions < int(min(maxWindowSamples, max(minWindowSamples, l.limit))) {
		return
	}
	l.adjustLimit(now, inputs)
	l.window = window{start: l.window.start}
}

// limitInputs holds the inputs of the limiter other than latency samples.
type limitInputs struct {
	tokenIntervalTarget float64 // seconds; 0 when not set
	limitCeiling        float64 // upper bound for increases
	queueReported       bool    // a fresh load report shows a queue
	noQueueReported     bool    // a fresh load report shows no queue
}

func (w *window) add(sample latencySample, inFlight, capacity int) {
	w.completions++
	if sample.firstToken > 0 {
		w.firstTokenSum += sample.firstToken
		w.firstTokenCount++
	}
	if sample.tokenInterval > 0 {
		w.tokenIntervalSum += sample.tokenInterval
		w.tokenIntervalCount++
	}
	if inFlight >= capacity {
		w.atLimit++
	}
	w.maxInFlight = max(w.maxInFlight, inFlight)
	w.serviceTimeOnly = w.serviceTimeOnly || sample.serviceTimeOnly
}

func mean(sum float64, count int) float64 {
	if count == 0 {
		return 0
	}
	return sum / float64(count)
}

// adjustLimit updates the baselines and the limit from a complete window.
func (l *limiter) adjustLimit(now time.Duration, inputs *limitInputs) {
	w := &l.window
	firstToken, tokenInterval := mean(w.firstTokenSum, w.firstTokenCount), mean(w.tokenIntervalSum, w.tokenIntervalCount)
	lowLoad := float64(w.maxInFlight) <= lowLoadShare*l.limit
	updateBaseline(&l.tokenIntervalBaseline, tokenInterval, lowLoad)
	tokensSlow := l.tokenIntervalTooLong(tokenInterval, inputs)
	updateBaseline(&l.firstTokenBaseline, firstToken, lowLoad || inputs.noQueueReported && !tokensSlow)
	overloaded := tokensSlow || l.firstTokenTooLate(firstToken, w.serviceTimeOnly, inputs)
	if !overloaded {
		l.overloadedSince = 0
	}
	switch {
	case overloaded:
		l.decrease(now, firstToken, tokenInterval, inputs)
	case w.atLimit > 0 && !inputs.queueReported:
		increase := float64(w.atLimit) / l.limit
		if l.slowStart {
			increase = float64(w.atLimit) * slowStartIncrease
		}
		l.limit = max(l.limit, min(l.limit+increase, l.maxLimit, inputs.limitCeiling))
	}
}

// updateBaseline moves a baseline towards value, the mean of a window. It raises the
// baseline only at low load.
func updateBaseline(baseline *float64, value float64, lowLoad bool) {
	switch {
	case value <= 0:
	case *baseline == 0:
		*baseline = value
	case value < *baseline:
		*baseline += baselineFallWeight * (value - *baseline)
	case lowLoad:
		*baseline += baselineRiseWeight * (value - *baseline)
	}
}

// firstTokenTooLate reports whether the time to first token indicates overload.
func (l *limiter) firstTokenTooLate(firstToken float64, serviceTimeOnly bool, inputs *limitInputs) bool {
	if inputs.queueReported && (firstToken > firstTokenWaitShare*max(0, float64(l.serviceTime)-firstToken) || firstToken > l.firstTokenBaseline*(1+queuedFirstTokenExcess)+latencySlackSeconds) {
		return true
	}
	return firstToken > l.firstTokenBaseline+l.firstTokenTolerance(serviceTimeOnly)+latencySlackSeconds
}

// tokenIntervalTooLong reports whether the token interval indicates overload.
func (l *limiter) tokenIntervalTooLong(tokenInterval float64, inputs *limitInputs) bool {
	if target := inputs.tokenIntervalTarget; target > 0 {
		return tokenInterval > target*tokenIntervalTargetShare
	}
	return tokenInterval > l.tokenIntervalBaseline*tokenIntervalTolerance+latencySlackSeconds
}

// firstTokenTolerance returns the accepted excess of the time to first token over its
// baseline, in seconds.
func (l *limiter) firstTokenTolerance(serviceTimeOnly bool) float64 {
	if serviceTimeOnly {
		return l.firstTokenBaseline * (serviceTimeTolerance - 1)
	}
	generation := max(0, float64(l.serviceTime)-l.firstTokenBaseline)
	excess := max(l.firstTokenBaseline*minFirstTokenExcess, generation*firstTokenWaitShare)
	return min(l.firstTokenBaseline*maxFirstTokenExcess, excess)
}

// decrease lowers the limit at most once per service time.
func (l *limiter) decrease(now time.Duration, firstToken, tokenInterval float64, inputs *limitInputs) {
	if l.decreasedAt > 0 && now-l.decreasedAt < l.serviceTimes(1) {
		return
	}
	l.slowStart = false
	if l.limit <= l.minLimit {
		l.overloadedAtMinimum(now, firstToken, tokenInterval, inputs)
	}
	l.limit = max(l.minLimit, l.limit*limitDecreaseFactor)
	l.decreasedAt = now
	l.window.start = now
}

// overloadedAtMinimum raises the baselines when overload persists at the minimum limit,
// where this instance is not the cause. It uses the fastest window of that time, because
// in that window the other instances reduced their load for their own measurements.
func (l *limiter) overloadedAtMinimum(now time.Duration, firstToken, tokenInterval float64, inputs *limitInputs) {
	if l.overloadedSince == 0 {
		l.overloadedSince = now
		l.lowestFirstToken, l.lowestTokenInterval = firstToken, tokenInterval
		return
	}
	lowerTo(&l.lowestFirstToken, firstToken)
	lowerTo(&l.lowestTokenInterval, tokenInterval)
	if now-l.overloadedSince < l.serviceTimes(l.rebaselineAfter(inputs)) {
		return
	}
	l.firstTokenBaseline = max(l.firstTokenBaseline, l.lowestFirstToken)
	l.tokenIntervalBaseline = max(l.tokenIntervalBaseline, l.lowestTokenInterval)
	l.overloadedSince = 0
	l.slowStart = true
}

// rebaselineAfter returns the number of service times of overload at the minimum limit
// after which the latency observed there is accepted as the baseline.
func (l *limiter) rebaselineAfter(inputs *limitInputs) float64 {
	switch {
	case inputs.queueReported:
		return rebaselineDelayQueued
	case inputs.noQueueReported:
		return rebaselineDelayNoQueue
	case l.lowestFirstToken > firstTokenWaitShare*(float64(l.serviceTime)-l.lowestFirstToken):
		return rebaselineDelayLongWait
	}
	return rebaselineDelay
}

func (l *limiter) measurementDue(now time.Duration) bool {
	// Close to the minimum limit there are no slots to withhold.
	return l.limit >= 2*l.minLimit && l.serviceTime > 0 && now-l.measuredAt >= l.serviceTimes(l.measurementPeriod)
}

// startMeasurement reduces the effective limit, so that the low-load latency can be
// observed although the upstream is saturated.
func (l *limiter) startMeasurement(now time.Duration) {
	l.measuring = true
	l.measureUntil = now + l.serviceTimes(maxMeasurementTime)
	l.measurementPeriod = min(2*l.measurementPeriod, maxMeasurementPeriod)
	l.window = window{start: now + l.serviceTimes(1)}
}

// endMeasurement applies the measured latency to the baselines. It only lowers them,
// because other instances may have kept the upstream saturated during the measurement.
func (l *limiter) endMeasurement(now time.Duration) {
	w := &l.window
	if w.completions >= minWindowSamples {
		updateBaseline(&l.firstTokenBaseline, mean(w.firstTokenSum, w.firstTokenCount), false)
		updateBaseline(&l.tokenIntervalBaseline, mean(w.tokenIntervalSum, w.tokenIntervalCount), false)
	}
	l.measuring = false
	l.measuredAt = now
	l.window = window{start: now}
}

// lowerTo lowers *lowest to value. Zero means that no latency was observed.
func lowerTo(lowest *float64, value float64) {
	if value > 0 {
		*lowest = min(*lowest, value)
	}
}
