package scheduler

import (
	"time"

	"github.com/yuccabridge/yuccabridge/internal/state/estimate"
	"github.com/yuccabridge/yuccabridge/internal/state/fairqueue"
)

// item is a queued request.
type item struct {
	fairqueue.Entry[*item]
	request  Request
	class    *class
	limit    time.Duration // latest useful first token
	goal     time.Duration // limit for admission behind a backlog, see doc.go
	agedAt   time.Duration
	forcedAt time.Duration // from then on the aged share is due, see doc.go
	wait     time.Duration // predicted at arrival; 0 when unknown
	limitPos int           // in class.limits
	agedPos  int           // in Scheduler.aged
}

// learned are the estimates of a class; they outlive a Reconfigure.
type learned struct {
	service                 estimate.Mean // seconds
	firstToken, outputToken *estimate.Sketch
	teams                   map[string]*learnedTeam
}

// learnedTeam are the estimates of a team within a class.
type learnedTeam struct {
	service estimate.Mean // seconds
	// margin corrects the predicted wait. Under overload every admitted request
	// is close to its limit, and teams with a greater share overtake.
	margin estimate.Margin
}

func newLearned() *learned {
	return &learned{
		firstToken:  estimate.NewSketch(),
		outputToken: estimate.NewSketch(),
		teams:       map[string]*learnedTeam{},
	}
}

// class is a class in force, or a former one that still has queued requests.
type class struct {
	Class
	*learned
	queued int
	limits *fairqueue.Heap[*item] // queued requests by limit
}

func newClass(c Class, l *learned) *class {
	return &class{Class: c, learned: l, limits: fairqueue.NewHeap(
		func(a, b *item) bool { return a.limit < b.limit },
		func(x *item, i int) { x.limitPos = i },
	)}
}

// agedAfter returns the wait after which a request is aged. A MaxWait of half
// the class's limit or more, or none, would never make a request due in time, so
// that the class could starve; a quarter of the limit takes its place.
func (c *class) agedAfter(o Objective) time.Duration {
	limit := c.Deadline
	if o != Goodput {
		limit = min(limit, c.FirstTokenTarget)
	}
	if c.MaxWait <= 0 || c.MaxWait >= limit/2 {
		return limit / 4
	}
	return c.MaxWait
}

// limitOf returns the latest useful time of the first token. A retry has mostly missed
// its first-token target already; a late answer is better than none, so only its
// deadline counts.
func (c *class) limitOf(r Request, o Objective) time.Duration {
	limit := r.Deadline
	if limit == 0 {
		limit = r.Arrived + c.Deadline
	}
	if o == Goodput || r.Retry {
		return limit
	}
	return min(limit, r.Arrived+c.FirstTokenTarget)
}

// goalOf returns the time by which the first token of a request that finds a backlog must
// be predicted: a late answer adds nothing to either objective, but takes a slot from one
// that does.
func (c *class) goalOf(r Request, limit time.Duration) time.Duration {
	if c.FirstTokenTarget <= 0 || r.Retry {
		return limit
	}
	return min(limit, r.Arrived+c.FirstTokenTarget)
}

// firstTokenTime returns the learned time from dispatch to the first token; 0 while unknown.
func (c *class) firstTokenTime(now time.Duration) time.Duration {
	ms, ok := c.firstToken.Median(now)
	if !ok {
		return 0
	}
	return time.Duration(ms) * time.Millisecond
}

// serviceTime returns the expected service seconds of a team's request, with
// the class and then all requests in place of what is unknown.
func (c *class) serviceTime(now time.Duration, team string, all *estimate.Mean) (float64, bool) {
	if m := c.teams[team]; m != nil {
		if v, ok := m.service.Value(now); ok {
			return v, true
		}
	}
	if v, ok := c.service.Value(now); ok {
		return v, true
	}
	return all.Value(now)
}

// observe records a sample.
func (c *class) observe(now time.Duration, x Sample, knownTeam bool) {
	c.service.Add(now, x.Service.Seconds())
	if x.FirstToken > 0 {
		c.firstToken.Add(now, x.FirstToken.Milliseconds())
	}
	if x.OutputTokens > 0 {
		c.outputToken.Add(now, int64(x.OutputTokens))
	}
	if !knownTeam {
		return
	}
	c.team(x.Team).service.Add(now, x.Service.Seconds())
}

// team returns the estimates of a configured team.
func (l *learned) team(name string) *learnedTeam {
	m := l.teams[name]
	if m == nil {
		m = &learnedTeam{}
		l.teams[name] = m
	}
	return m
}

// margin returns the correction of a team's predicted wait, at least 1.
func (l *learned) margin(now time.Duration, team string) float64 {
	if m := l.teams[team]; m != nil {
		return m.margin.Value(now)
	}
	return 1
}

// Estimate is what was learned about a class, for metrics and status. A value
// is zero while it is unknown.
type Estimate struct {
	Service, FirstToken           time.Duration // mean, median
	OutputTokens, OutputTokensP95 int64         // median, 95th percentile
	// Capacity is the learned service rate of all classes, in service seconds per second.
	Capacity float64
}

// Estimate returns what was learned about a configured class.
func (s *Scheduler) Estimate(now time.Duration, name string) Estimate {
	s.mu.Lock()
	defer s.mu.Unlock()
	var e Estimate
	c := s.classes[name]
	if c == nil {
		return e
	}
	if mean, ok := c.service.Value(now); ok {
		e.Service = seconds(mean)
	}
	e.FirstToken = c.firstTokenTime(now)
	if n, ok := c.outputToken.Median(now); ok {
		e.OutputTokens = n
	}
	if n, ok := c.outputToken.P95(now); ok {
		e.OutputTokensP95 = n
	}
	if capacity, ok := s.capacity.Value(now); ok {
		e.Capacity = capacity
	}
	return e
}
