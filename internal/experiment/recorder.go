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
	// maxViolationSamples limits the violations that the report lists one by one.
	maxViolationSamples = 50
)

type histogram struct{ values *hdrhistogram.Histogram }

func newHistogram() histogram {
	return histogram{hdrhistogram.New(1, maxRecordedLatency.Microseconds(), histogramDigits)}
}

func (h histogram) record(d time.Duration) {
	d = min(max(d, time.Microsecond), maxRecordedLatency)
	if err := h.values.RecordValue(d.Microseconds()); err != nil {
		panic(err) // the value is within the bounds
	}
}

// quantiles returns the count and the 50th, 95th and 99th percentiles in milliseconds.
func (h histogram) quantiles() Quantiles {
	ms := func(q float64) float64 { return float64(h.values.ValueAtQuantile(q)) / 1000 }
	return Quantiles{Count: h.values.TotalCount(), P50: ms(50), P95: ms(95), P99: ms(99)}
}

// classRecord accumulates the results of one class.
type classRecord struct {
	load          *ClassLoad
	targets       latencyTargets
	counts        ClassCounts
	firstToken    histogram
	tokenInterval histogram
	total         histogram
}

// recorder accumulates the results of a run. Its record methods are safe for concurrent use.
type recorder struct {
	mu                  sync.Mutex
	classes             []*classRecord
	sendDelay           histogram // actual minus intended send time
	notSent             int
	goodputTokens       int // tokens of responses that met their targets
	receivedTokens      int // tokens of all responses
	violations          map[ViolationKind]int
	samples             []Violation
	window              window
	windowGoodputTokens float64 // goodput tokens that arrived within the window
	orders              []orderResult
	notRunTags          []string // tags of attempts that were answered with "not run"
}

func newRecorder(s *Scenario, targetsOf func(class string) latencyTargets) *recorder {
	r := &recorder{sendDelay: newHistogram(), violations: map[ViolationKind]int{},
		window: window{warmup: s.Warmup.Std(), duration: s.Duration.Std()}}
	for i := range s.Classes {
		c := &s.Classes[i]
		r.classes = append(r.classes, &classRecord{
			load: c, targets: targetsOf(c.Class),
			counts:     ClassCounts{Refused: map[string]int{}, Unanswered: map[string]int{}},
			firstToken: newHistogram(), tokenInterval: newHistogram(), total: newHistogram(),
		})
	}
	return r
}

func (r *recorder) addViolations(violations ...Violation) {
	for _, v := range violations {
		r.violations[v.Kind]++
		if len(r.samples) < maxViolationSamples {
			r.samples = append(r.samples, v)
		}
	}
}

// recordAttempt records one attempt of a chat request.
func (r *recorder) recordAttempt(a Arrival, tag string, result attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.addViolations(result.violations...)
	r.receivedTokens += result.tokens
	if result.outcome == outcomeRefused {
		if r.window.includes(a) {
			r.classes[a.Class].counts.Refused[result.apiError.Code]++
		}
		if result.apiError.Run == runNotRun {
			r.notRunTags = append(r.notRunTags, tag)
		}
	}
}

// recordOutcome records the last attempt of a chat request and the number of resends.
func (r *recorder) recordOutcome(a Arrival, intended time.Time, result attempt, resends int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.classes[a.Class]
	met := result.outcome == outcomeAnswered && c.metTargets(a, intended, result)
	if met {
		r.goodputTokens += result.tokens
		r.windowGoodputTokens += r.window.tokensWithin(result)
	}
	if !r.window.includes(a) {
		return
	}
	c.counts.Resends += resends
	switch result.outcome {
	case outcomeAnswered:
		c.counts.Answered++
		c.total.record(result.lastTokenAt.Sub(intended))
		c.recordLatencies(a, intended, result)
		if met {
			c.counts.Met++
		}
	case outcomeAbandoned:
		c.counts.Abandoned++
	case outcomeRefused:
		c.counts.Unanswered["refused"]++
	case outcomeTimedOut:
		c.counts.Unanswered["timed_out"]++
	default:
		c.counts.Unanswered["broken"]++
	}
}

// metTargets reports whether a response met the targets of the class. A JSON response has
// no observable first token; it meets the targets if it arrives by the time at which a
// stream that just meets both targets would have ended.
func (c *classRecord) metTargets(a Arrival, intended time.Time, result attempt) bool {
	firstTokenLatency := result.firstTokenAt.Sub(intended)
	if a.JSON {
		limit := c.targets.firstToken + time.Duration(a.OutputTokens-1)*c.targets.tokenInterval
		return c.targets.tokenInterval == 0 || firstTokenLatency <= limit
	}
	return firstTokenLatency <= c.targets.firstToken && c.metIntervalTarget(result) && len(result.violations) == 0
}

func (c *classRecord) metIntervalTarget(result attempt) bool {
	return c.targets.tokenInterval == 0 || result.tokens < 2 || result.meanTokenInterval() <= c.targets.tokenInterval
}

// meanTokenInterval returns the mean time between the tokens of a stream.
func (t attempt) meanTokenInterval() time.Duration {
	return t.lastTokenAt.Sub(t.firstTokenAt) / time.Duration(t.tokens-1)
}

// recordLatencies records the latencies of a stream and whether they met the targets.
func (c *classRecord) recordLatencies(a Arrival, intended time.Time, result attempt) {
	if a.JSON {
		return
	}
	firstTokenLatency := result.firstTokenAt.Sub(intended)
	c.firstToken.record(firstTokenLatency)
	c.counts.Streams++
	if firstTokenLatency <= c.targets.firstToken {
		c.counts.FirstTokenMet++
	}
	if c.metIntervalTarget(result) {
		c.counts.IntervalMet++
	}
	if result.tokens > 1 {
		c.tokenInterval.record(result.meanTokenInterval())
	}
}

// recordOrder records an order with all its attempts.
func (r *recorder) recordOrder(a Arrival, intended time.Time, order orderResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.classes[a.Class]
	r.addViolations(order.violations...)
	r.orders = append(r.orders, order)
	if !r.window.includes(a) {
		return
	}
	for _, f := range order.failures {
		c.counts.Refused[f.Code]++
	}
	c.counts.Orders++
	c.counts.Resends += max(0, order.attempts-1)
	switch order.state {
	case orderAnswered:
		latency := order.answeredAt.Sub(intended)
		c.counts.Answered++
		c.total.record(latency)
		if latency <= c.targets.firstToken && len(order.violations) == 0 {
			c.counts.Met++
		}
	case orderNotRun:
		c.counts.Unanswered["not_run"]++
	default:
		c.counts.Unanswered["unknown"]++
	}
}

// startWindow sets the measurement window from the start time of the run.
func (r *recorder) startWindow(started time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.window.start = started.Add(r.window.warmup)
	r.window.end = started.Add(r.window.duration)
}

func (r *recorder) recordSent(a Arrival, delay time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sendDelay.record(delay)
	if r.window.includes(a) {
		r.classes[a.Class].counts.Intended++
	}
}

func (r *recorder) recordNotSent(a Arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notSent++
	if r.window.includes(a) {
		r.classes[a.Class].counts.Intended++
		r.classes[a.Class].counts.Unanswered["not_sent"]++
	}
}
