package scheduler

import (
	"time"

	"github.com/yuccabridge/yuccabridge/internal/state/estimate"
	"github.com/yuccabridge/yuccabridge/internal/state/fairqueue"
)

// queuedRequest is a request in the queue with its scheduling parameters.
type queuedRequest struct {
	fairqueue.Entry[*queuedRequest]
	request           Request
	class             *class
	effectiveDeadline time.Duration // latest useful time of the first token
	targetTime        time.Duration // the same for admission behind a backlog; see doc.go
	agedAt            time.Duration // from then on an aged dispatch is allowed; see doc.go
	dueAt             time.Duration // from then on an aged dispatch is due; see doc.go
	predictedWait     time.Duration // in regular order, on arrival; 0: see admits
	deadlinePos       int           // position in class.byDeadline
	dueTimePos        int           // position in Scheduler.byDueTime
}

// classEstimators holds the estimators of a class. They are kept across Reconfigure.
type classEstimators struct {
	meanServiceSeconds             estimate.Mean // seconds
	timeToFirstToken, outputTokens *estimate.Sketch
	teams                          map[string]*teamEstimators
}

// teamEstimators holds the estimators of a team within a class.
type teamEstimators struct {
	meanServiceSeconds estimate.Mean // seconds
	// waitCorrection multiplies the predicted wait. It is kept for each team because under
	// overload every admitted request is close to its effective deadline, and requests of teams
	// with a greater share are dispatched earlier.
	waitCorrection estimate.Margin
}

func newClassEstimators() *classEstimators {
	return &classEstimators{
		timeToFirstToken: estimate.NewSketch(),
		outputTokens:     estimate.NewSketch(),
		teams:            map[string]*teamEstimators{},
	}
}

// class is a configured class, or a removed one that still has queued requests.
type class struct {
	Class
	*classEstimators
	queuedCount int
	byDeadline  *fairqueue.Heap[*queuedRequest] // queued requests by effective deadline
}

func newClass(c Class, estimators *classEstimators) *class {
	return &class{Class: c, classEstimators: estimators, byDeadline: fairqueue.NewHeap(
		func(a, b *queuedRequest) bool { return a.effectiveDeadline < b.effectiveDeadline },
		func(q *queuedRequest, pos int) { q.deadlinePos = pos },
	)}
}

// agingDelay returns the wait after which a request is aged. With a MaxWait that is not set,
// or that is at least half of the class's effective deadline, no request would become due in
// time and the class could starve; a quarter of the effective deadline replaces it.
func (c *class) agingDelay(objective Objective) time.Duration {
	deadline := c.Deadline
	if objective != Goodput {
		deadline = min(deadline, c.FirstTokenTarget)
	}
	if c.MaxWait <= 0 || c.MaxWait >= deadline/2 {
		return deadline / 4
	}
	return c.MaxWait
}

// effectiveDeadlineOf returns the latest useful time of the first token. For a retry only the
// deadline counts: it has usually missed its first-token target already, and a late answer is
// better than none.
func (c *class) effectiveDeadlineOf(r Request, objective Objective) time.Duration {
	deadline := r.Deadline
	if deadline == 0 {
		deadline = r.Arrived + c.Deadline
	}
	if objective == Goodput || r.Retry {
		return deadline
	}
	return min(deadline, r.Arrived+c.FirstTokenTarget)
}

// targetTimeOf returns the latest predicted time of the first token at which a request that
// arrives behind a backlog is admitted. A late answer counts for neither objective, but occupies
// a slot that an answer in time could use.
func (c *class) targetTimeOf(r Request, effectiveDeadline time.Duration) time.Duration {
	if c.FirstTokenTarget <= 0 || r.Retry {
		return effectiveDeadline
	}
	return min(effectiveDeadline, r.Arrived+c.FirstTokenTarget)
}

// medianFirstTokenDelay returns the estimated median time from dispatch to the first token, or 0
// while it is unknown.
func (c *class) medianFirstTokenDelay(now time.Duration) time.Duration {
	millis, ok := c.timeToFirstToken.Median(now)
	if !ok {
		return 0
	}
	return time.Duration(millis) * time.Millisecond
}

// expectedServiceSeconds returns the expected service time of a team's request in seconds, and
// false while it is unknown. It falls back to the mean of the class and then to fallback, the
// mean of all requests.
func (c *class) expectedServiceSeconds(now time.Duration, team string, fallback *estimate.Mean) (float64, bool) {
	if t := c.teams[team]; t != nil {
		if mean, ok := t.meanServiceSeconds.Value(now); ok {
			return mean, true
		}
	}
	if mean, ok := c.meanServiceSeconds.Value(now); ok {
		return mean, true
	}
	return fallback.Value(now)
}

// observe adds a sample to the estimators. Only configured teams have estimators of their own.
func (c *class) observe(now time.Duration, sample Sample, configuredTeam bool) {
	c.meanServiceSeconds.Add(now, sample.Service.Seconds())
	if sample.FirstToken > 0 {
		c.timeToFirstToken.Add(now, sample.FirstToken.Milliseconds())
	}
	if sample.OutputTokens > 0 {
		c.outputTokens.Add(now, int64(sample.OutputTokens))
	}
	if !configuredTeam {
		return
	}
	c.estimatorsOf(sample.Team).meanServiceSeconds.Add(now, sample.Service.Seconds())
}

// estimatorsOf returns the estimators of a configured team and creates them if needed.
func (e *classEstimators) estimatorsOf(name string) *teamEstimators {
	t := e.teams[name]
	if t == nil {
		t = &teamEstimators{}
		e.teams[name] = t
	}
	return t
}

// waitCorrectionFactor returns the factor that corrects a team's predicted wait; it is at least 1.
func (e *classEstimators) waitCorrectionFactor(now time.Duration, team string) float64 {
	if t := e.teams[team]; t != nil {
		return t.waitCorrection.Value(now)
	}
	return 1
}

// Estimate holds the estimates for a class, for metrics and status. A value
// is zero while it is unknown.
type Estimate struct {
	Service, FirstToken           time.Duration // mean; median time from dispatch
	OutputTokens, OutputTokensP95 int64         // median, 95th percentile
	// Capacity is the estimated service rate of all classes, in service seconds per second.
	Capacity float64
}

// Estimate returns the estimates for a configured class.
func (s *Scheduler) Estimate(now time.Duration, name string) Estimate {
	s.mu.Lock()
	defer s.mu.Unlock()
	var e Estimate
	c := s.classes[name]
	if c == nil {
		return e
	}
	if mean, ok := c.meanServiceSeconds.Value(now); ok {
		e.Service = durationFromSeconds(mean)
	}
	e.FirstToken = c.medianFirstTokenDelay(now)
	if n, ok := c.outputTokens.Median(now); ok {
		e.OutputTokens = n
	}
	if n, ok := c.outputTokens.P95(now); ok {
		e.OutputTokensP95 = n
	}
	if capacity, ok := s.capacity.Value(now); ok {
		e.Capacity = capacity
	}
	return e
}
