package experiment

import (
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// maxRecorded is the longest latency that the histograms hold.
	maxRecorded = 15 * time.Minute
	// significantDigits of the recorded values.
	significantDigits = 3
	// maxSamples bounds the violations that the report spells out.
	maxSamples = 50
)

type histogram struct{ h *hdrhistogram.Histogram }

func newHistogram() histogram {
	return histogram{hdrhistogram.New(1, maxRecorded.Microseconds(), significantDigits)}
}

func (h histogram) record(d time.Duration) {
	d = min(max(d, time.Microsecond), maxRecorded)
	if err := h.h.RecordValue(d.Microseconds()); err != nil {
		panic(err) // the value is within the bounds
	}
}

// quantiles returns p50, p95 and p99 in milliseconds.
func (h histogram) quantiles() Quantiles {
	ms := func(q float64) float64 { return float64(h.h.ValueAtQuantile(q)) / 1000 }
	return Quantiles{Count: h.h.TotalCount(), P50: ms(50), P95: ms(95), P99: ms(99)}
}

// classRecord collects the results of one class.
type classRecord struct {
	load       *ClassLoad
	targets    targets
	counts     ClassCounts
	firstToken histogram
	interval   histogram
	total      histogram
}

// recorder collects the results of a run. It is safe for concurrent use.
type recorder struct {
	mu         sync.Mutex
	classes    []*classRecord
	late       histogram // actual minus intended send time
	notSent    int
	useful     int // tokens of answers that met their targets
	received   int // tokens of all answers
	violations map[ViolationKind]int
	samples    []Violation
	window     window
	delivered  float64 // useful tokens that arrived within the window
	orders     []orderResult
	notRun     []string // tags of attempts that were answered with "not run"
}

func newRecorder(s *Scenario, t func(class string) targets) *recorder {
	r := &recorder{late: newHistogram(), violations: map[ViolationKind]int{},
		window: window{warmup: s.Warmup.Std(), duration: s.Duration.Std()}}
	for i := range s.Classes {
		c := &s.Classes[i]
		r.classes = append(r.classes, &classRecord{
			load: c, targets: t(c.Class),
			counts:     ClassCounts{Refused: map[string]int{}, Unanswered: map[string]int{}},
			firstToken: newHistogram(), interval: newHistogram(), total: newHistogram(),
		})
	}
	return r
}

func (r *recorder) violate(list ...Violation) {
	for _, v := range list {
		r.violations[v.Kind]++
		if len(r.samples) < maxSamples {
			r.samples = append(r.samples, v)
		}
	}
}

// tried records one attempt of a chat request.
func (r *recorder) tried(a Arrival, tag string, t attempt) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.violate(t.violations...)
	r.received += t.tokens
	if t.ending == refused {
		if r.window.counts(a) {
			r.classes[a.Class].counts.Refused[t.failure.Code]++
		}
		if t.failure.Run == runNotRun {
			r.notRun = append(r.notRun, tag)
		}
	}
}

// ended records the last attempt of a chat request.
func (r *recorder) ended(a Arrival, intended time.Time, t attempt, resends int) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.classes[a.Class]
	met := t.ending == answered && c.met(a, intended, t)
	if met {
		r.useful += t.tokens
		r.delivered += r.window.part(t)
	}
	if !r.window.counts(a) {
		return
	}
	c.counts.Resends += resends
	switch t.ending {
	case answered:
		c.counts.Answered++
		c.total.record(t.last.Sub(intended))
		c.observe(a, intended, t)
		if met {
			c.counts.Met++
		}
	case abandoned:
		c.counts.Abandoned++
	case refused:
		c.counts.Unanswered["refused"]++
	case timedOut:
		c.counts.Unanswered["timed_out"]++
	default:
		c.counts.Unanswered["broken"]++
	}
}

// met reports whether an answer met the class's targets. A JSON answer shows no first
// token; it meets them when it arrives by the time at which a stream on target would
// have ended.
func (c *classRecord) met(a Arrival, intended time.Time, t attempt) bool {
	first := t.first.Sub(intended)
	if a.JSON {
		limit := c.targets.firstToken + time.Duration(a.Output-1)*c.targets.interval
		return c.targets.interval == 0 || first <= limit
	}
	return first <= c.targets.firstToken && c.intervalMet(t) && len(t.violations) == 0
}

func (c *classRecord) intervalMet(t attempt) bool {
	return c.targets.interval == 0 || t.tokens < 2 || t.interval() <= c.targets.interval
}

// interval is the mean time between the tokens of a stream.
func (t attempt) interval() time.Duration {
	return t.last.Sub(t.first) / time.Duration(t.tokens-1)
}

// observe records the latencies of a stream.
func (c *classRecord) observe(a Arrival, intended time.Time, t attempt) {
	if a.JSON {
		return
	}
	first := t.first.Sub(intended)
	c.firstToken.record(first)
	c.counts.Streams++
	if first <= c.targets.firstToken {
		c.counts.FirstTokenMet++
	}
	if c.intervalMet(t) {
		c.counts.IntervalMet++
	}
	if t.tokens > 1 {
		c.interval.record(t.interval())
	}
}

// ordered records an order with all its tries.
func (r *recorder) ordered(a Arrival, intended time.Time, o orderResult) {
	r.mu.Lock()
	defer r.mu.Unlock()
	c := r.classes[a.Class]
	r.violate(o.violations...)
	r.orders = append(r.orders, o)
	if !r.window.counts(a) {
		return
	}
	for _, f := range o.failures {
		c.counts.Refused[f.Code]++
	}
	c.counts.Orders++
	c.counts.Resends += max(0, o.tries-1)
	switch o.state {
	case orderAnswered:
		took := o.answeredAt.Sub(intended)
		c.counts.Answered++
		c.total.record(took)
		if took <= c.targets.firstToken && len(o.violations) == 0 {
			c.counts.Met++
		}
	case orderNotRun:
		c.counts.Unanswered["not_run"]++
	default:
		c.counts.Unanswered["unknown"]++
	}
}

// begin sets the time from which arrivals count.
func (r *recorder) begin(started time.Time) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.window.start = started.Add(r.window.warmup)
	r.window.end = started.Add(r.window.duration)
}

func (r *recorder) started(a Arrival, late time.Duration) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.late.record(late)
	if r.window.counts(a) {
		r.classes[a.Class].counts.Intended++
	}
}

func (r *recorder) dropped(a Arrival) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.notSent++
	if r.window.counts(a) {
		r.classes[a.Class].counts.Intended++
		r.classes[a.Class].counts.Unanswered["not_sent"]++
	}
}
