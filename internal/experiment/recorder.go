package experiment

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxRecordedLatency is the upper bound of the histograms; longer latencies are
	// recorded as this value.
	maxRecordedLatency = 15 * time.Minute
	// histogramDigits is the number of significant digits of recorded values.
	histogramDigits = 3
	// maxListedViolations limits the violations that the report lists one by one; all of
	// them are counted.
	maxListedViolations = 50
)

// histogram records durations in microseconds.
type histogram struct{ values *hdrhistogram.Histogram }

func newHistogram() histogram {
	return histogram{hdrhistogram.New(1, maxRecordedLatency.Microseconds(), histogramDigits)}
}

// record adds a duration, limited to the bounds of the histogram: 1 µs, its lowest value,
// and maxRecordedLatency.
func (h histogram) record(d time.Duration) {
	d = min(max(d, time.Microsecond), maxRecordedLatency)
	if err := h.values.RecordValue(d.Microseconds()); err != nil {
		panic(err) // the value is within the bounds
	}
}

// quantiles returns the count and the 50th, 95th and 99th percentiles in milliseconds.
// ValueAtQuantile expects a percentile, from 0 to 100.
func (h histogram) quantiles() Quantiles {
	ms := func(percentile float64) float64 { return float64(h.values.ValueAtQuantile(percentile)) / 1000 }
	return Quantiles{Count: h.values.TotalCount(), P50: ms(50), P95: ms(95), P99: ms(99)}
}

// classRecord accumulates the results of one class.
type classRecord struct {
	load           *ClassLoad
	latencyTargets classTargets
	counts         ClassCounts
	// timeToFirstToken is the time from the intended send time to the first token of a stream.
	timeToFirstToken histogram
	// meanTokenIntervals holds the mean time between the tokens of each stream.
	meanTokenIntervals histogram
	// totalLatency is the time from the intended send time to the last token of a stream, or
	// to the end of the response to a JSON request or an order.
	totalLatency histogram
}

// recorder accumulates the results of a run. Its record methods are safe for concurrent use.
type recorder struct {
	mu        sync.Mutex
	classes   []*classRecord
	sendDelay histogram // actual minus intended send time
	notSent   int       // requests above the limit of concurrent requests
	// goodputTokens counts the tokens of chat responses that met their latency targets, over
	// the whole run including warm-up and drain.
	goodputTokens    int
	receivedTokens   int // tokens of all chat attempts
	violations       map[ViolationKind]int
	listedViolations []Violation // the first maxListedViolations violations
	window           measurementWindow
	// windowGoodputTokens estimates the goodput tokens that arrived within the window.
	windowGoodputTokens float64
	orders              []orderResult
	notRunTags          []string // tags of chat attempts that were answered with "not run"
}

func newRecorder(s *Scenario, latencyTargetsOf func(class string) classTargets) *recorder {
	r := &recorder{sendDelay: newHistogram(), violations: map[ViolationKind]int{},
		window: measurementWindow{warmup: s.Warmup.Std(), runDuration: s.Duration.Std()}}
	for i := range s.Classes {
		c := &s.Classes[i]
		r.classes = append(r.classes, &classRecord{
			load: c, latencyTargets: latencyTargetsOf(c.Class),
			counts:           ClassCounts{Refused: map[string]int{}, Unanswered: map[string]int{}},
			timeToFirstToken: newHistogram(), meanTokenIntervals: newHistogram(), totalLatency: newHistogram(),
		})
	}
	return r
}

func (r *recorder) addViolations(violations ...Violation) {
	for _, v := range violations {
		r.violations[v.Kind]++
		if len(r.listedViolations) < maxListedViolations {
			r.listedViolations = append(r.listedViolations, v)
		}
	}
}

// recordAttempt records one attempt of a chat request. The refused count of a class covers
// every attempt; recordFinalResult counts a refused request once, as unanswered.
func (r *recorder) recordAttempt(arrival Arrival, tag string, result attemptResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addViolations(result.violations...)
	r.receivedTokens += result.tokens
	if result.outcome == outcomeRefused {
		if r.window.includes(arrival) {
			r.classes[arrival.Class].counts.Refused[result.apiError.Code]++
		}
		if result.apiError.Run == runNotRun {
			r.notRunTags = append(r.notRunTags, tag)
		}
	}
}

// recordFinalResult records the final result of a chat request, which is that of its last
// attempt, and the number of resends.
func (r *recorder) recordFinalResult(arrival Arrival, intendedSendTime time.Time, result attemptResult, resends int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.classes[arrival.Class]
	met := result.outcome == outcomeAnswered && c.metTargets(arrival, intendedSendTime, result)
	if met {
		r.goodputTokens += result.tokens
		r.windowGoodputTokens += r.window.tokensWithin(result)
	}
	if !r.window.includes(arrival) {
		return
	}
	c.counts.Resends += resends
	switch result.outcome {
	case outcomeAnswered:
		c.counts.Answered++
		c.totalLatency.record(result.lastTokenAt.Sub(intendedSendTime))
		c.recordLatencies(arrival, intendedSendTime, result)
		if met {
			c.counts.Met++
		}
	case outcomeAbandoned:
		c.counts.Abandoned++
	case outcomeRefused:
		c.counts.Unanswered["refused"]++
	case outcomeTimedOut:
		c.counts.Unanswered["timed_out"]++
	default: // outcomeBroken
		c.counts.Unanswered["broken"]++
	}
}

// metTargets reports whether a response met the latency targets of the class. A stream must
// meet the first-token target and the token-interval target, if set, without a violation.
//
// The first token of a JSON response cannot be observed. Its limit applies to the whole
// response and is the latest end of a stream that meets both targets: the first-token target
// plus n-1 times the token-interval target, where n is the number of planned output tokens.
// Without a token-interval target a JSON response has no limit. Violations in a JSON response
// are not considered.
func (c *classRecord) metTargets(arrival Arrival, intendedSendTime time.Time, result attemptResult) bool {
	// To the first token of a stream, or to the end of a JSON response.
	latency := result.firstTokenAt.Sub(intendedSendTime)
	if arrival.JSON {
		limit := c.latencyTargets.firstToken + time.Duration(arrival.OutputTokens-1)*c.latencyTargets.tokenInterval
		return c.latencyTargets.tokenInterval == 0 || latency <= limit
	}
	return latency <= c.latencyTargets.firstToken && c.metIntervalTarget(result) && len(result.violations) == 0
}

// metIntervalTarget reports whether a stream met the token-interval target. It is met if no
// target is set or if the stream has fewer than two tokens.
func (c *classRecord) metIntervalTarget(result attemptResult) bool {
	return c.latencyTargets.tokenInterval == 0 || result.tokens < 2 || result.meanTokenInterval() <= c.latencyTargets.tokenInterval
}

// meanTokenInterval returns the mean time between the tokens of a stream, which must have at
// least two.
func (r attemptResult) meanTokenInterval() time.Duration {
	return r.lastTokenAt.Sub(r.firstTokenAt) / time.Duration(r.tokens-1)
}

// recordLatencies records the time to the first token and the mean token interval of a stream
// and whether they met the targets. It does nothing for a JSON response, whose tokens
// arrive together.
func (c *classRecord) recordLatencies(arrival Arrival, intendedSendTime time.Time, result attemptResult) {
	if arrival.JSON {
		return
	}
	firstTokenLatency := result.firstTokenAt.Sub(intendedSendTime)
	c.timeToFirstToken.record(firstTokenLatency)
	c.counts.Streams++
	if firstTokenLatency <= c.latencyTargets.firstToken {
		c.counts.FirstTokenMet++
	}
	if c.metIntervalTarget(result) {
		c.counts.IntervalMet++
	}
	if result.tokens > 1 {
		c.meanTokenIntervals.record(result.meanTokenInterval())
	}
}

// recordOrder records an order with all its attempts. Each error response counts as refused.
// The first-token target applies to the whole response.
func (r *recorder) recordOrder(arrival Arrival, intendedSendTime time.Time, order orderResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.classes[arrival.Class]
	r.addViolations(order.violations...)
	r.orders = append(r.orders, order)
	if !r.window.includes(arrival) {
		return
	}
	for _, e := range order.apiErrors {
		c.counts.Refused[e.Code]++
	}
	c.counts.Orders++
	c.counts.Resends += max(0, order.attempts-1)
	switch order.state {
	case orderAnswered:
		latency := order.answeredAt.Sub(intendedSendTime)
		c.counts.Answered++
		c.totalLatency.record(latency)
		if latency <= c.latencyTargets.firstToken && len(order.violations) == 0 {
			c.counts.Met++
		}
	case orderNotRun:
		c.counts.Unanswered["not_run"]++
	default: // orderUnknown
		c.counts.Unanswered["unknown"]++
	}
}

// setMeasurementWindow sets the start and end of the measurement window from the start time
// of the run.
func (r *recorder) setMeasurementWindow(runStart time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.window.start = runStart.Add(r.window.warmup)
	r.window.end = runStart.Add(r.window.runDuration)
}

// recordSent records an offered request and the delay of its actual send time.
func (r *recorder) recordSent(arrival Arrival, delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sendDelay.record(delay)
	if r.window.includes(arrival) {
		r.classes[arrival.Class].counts.Offered++
	}
}

// recordNotSent records an offered request that was not sent because of the limit of
// concurrent requests.
func (r *recorder) recordNotSent(arrival Arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notSent++
	if r.window.includes(arrival) {
		r.classes[arrival.Class].counts.Offered++
		r.classes[arrival.Class].counts.Unanswered["not_sent"]++
	}
}
