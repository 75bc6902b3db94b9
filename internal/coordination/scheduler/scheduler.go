package scheduler

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/yuccabridge/yuccabridge/internal/state/estimate"
	"github.com/yuccabridge/yuccabridge/internal/state/fairqueue"
)

const (
	defaultQueueLimit    = 10_000
	defaultAgedShare     = 32
	leastAgedShare       = 2
	defaultPeerStaleness = time.Second
)

// Scheduler orders and admits the requests for one model or service. It is
// safe for concurrent use.
type Scheduler struct {
	mu  sync.Mutex
	rng *rand.Rand

	options   Options
	objective Objective
	agedShare int
	staleness time.Duration
	top       int // highest configured tier
	weights   map[string]int
	classes   map[string]*class // in force
	all       []*class          // in force, and former ones with queued requests

	queue       *fairqueue.Queue[*item]
	items       map[uint64]*item
	aged        *fairqueue.Heap[*item] // queued requests below the top tier, by forcedAt
	passed      *item                  // the request that the last aged dispatch passed over
	passedUntil time.Duration          // end of its exemption
	sinceAged   int                    // dispatches since the last one by the aged rule, at most agedShare-1
	agedTurnAt  time.Duration          // last dispatch by the aged rule

	open, total int // slots of the upstreams

	lastDispatch time.Duration
	backlogged   bool             // requests have waited since the last dispatch
	turn         *estimate.Sketch // microseconds between two dispatches while requests wait

	inFlight int
	service  estimate.Mean // seconds, of all classes
	capacity estimate.Capacity
	// dispatched is the work dispatched lately, in service seconds, by tier.
	dispatched map[int]*estimate.Rate

	lastShed  map[int]time.Duration // by tier
	peers     map[string]peerPressure
	heldUntil map[int]time.Duration // by the tier that a peer sheds
}

// New returns a scheduler. rng spreads the retry times; the scheduler uses it under its own lock.
func New(o Options, rng *rand.Rand) *Scheduler {
	s := &Scheduler{
		rng:       rng,
		classes:   map[string]*class{},
		items:     map[uint64]*item{},
		lastShed:  map[int]time.Duration{},
		peers:     map[string]peerPressure{},
		heldUntil: map[int]time.Duration{},

		dispatched: map[int]*estimate.Rate{},
		turn:       estimate.NewSketch(),
	}
	s.configure(o)
	return s
}

// Enqueue queues r unless its ID is in the result, which lists all requests
// shed: r itself, or the victim of a full queue.
func (s *Scheduler) Enqueue(now time.Duration, r Request) []Shed {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.classes[r.Class]
	if c == nil {
		return []Shed{{ID: r.ID, Reason: ReasonUnknownClass, RetryAfter: s.retryAfter(now, 0)}}
	}
	if s.items[r.ID] != nil {
		return []Shed{{ID: r.ID, Reason: ReasonDuplicate, RetryAfter: s.retryAfter(now, 0)}}
	}
	x := s.newItem(now, c, r)
	if !s.admits(now, x) {
		return []Shed{s.shed(now, x, ReasonDeadline)}
	}
	s.insert(x)
	var sheds []Shed
	if victim := s.queue.Victim(); victim != nil {
		s.remove(victim.Value)
		sheds = append(sheds, s.shed(now, victim.Value, ReasonQueueFull))
	}
	s.sync(now)
	return sheds
}

// Next removes and returns the request to dispatch now, and sheds the queued
// requests that can no longer meet their limit.
func (s *Scheduler) Next(now time.Duration) (Request, bool, []Shed) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sheds := s.expire(now)
	x := s.choose(now)
	if x != nil {
		s.detach(x)
		s.queue.Take(&x.Entry)
		s.dispatch(now, x)
	}
	s.sync(now)
	if x == nil {
		return Request{}, false, sheds
	}
	return x.request, true, sheds
}

// Tick sheds the queued requests that can no longer meet their limit.
func (s *Scheduler) Tick(now time.Duration) []Shed {
	s.mu.Lock()
	defer s.mu.Unlock()
	sheds := s.expire(now)
	s.sync(now)
	return sheds
}

// Cancel removes a queued request and reports whether it was queued.
func (s *Scheduler) Cancel(now time.Duration, id uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	x := s.items[id]
	if x == nil {
		return false
	}
	s.remove(x)
	s.sync(now)
	return true
}

// Observe records a dispatched request that ended.
func (s *Scheduler) Observe(now time.Duration, x Sample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight = max(s.inFlight-1, 0)
	s.capacity.Complete(now, x.Service.Seconds())
	s.service.Add(now, x.Service.Seconds())
	if c := s.classes[x.Class]; c != nil {
		_, known := s.weights[x.Team]
		c.observe(now, x, known)
	}
	s.sync(now)
}

// dispatch records that x leaves for an upstream.
func (s *Scheduler) dispatch(now time.Duration, x *item) {
	if s.backlogged {
		s.turn.Add(now, (now - s.lastDispatch).Microseconds())
	}
	s.lastDispatch, s.backlogged = now, true
	s.inFlight++
	rate := s.dispatched[x.Tier]
	if rate == nil {
		rate = estimate.NewRate(now)
		s.dispatched[x.Tier] = rate
	}
	// x.Cost may be the default from before the first sample.
	if cost, ok := x.class.serviceTime(now, x.Team, &s.service); ok {
		rate.Add(now, cost)
	}
	s.learnMargin(now, x, now+x.class.firstTokenTime(now) > x.goal)
}

// learnMargin records whether x, which was admitted by prediction, fell short of it.
func (s *Scheduler) learnMargin(now time.Duration, x *item, short bool) {
	if _, known := s.weights[x.Team]; known && x.wait > 0 {
		x.class.team(x.Team).margin.Add(now, short)
	}
}

// newItem returns r with its parameters as of now.
func (s *Scheduler) newItem(now time.Duration, c *class, r Request) *item {
	x := &item{request: r, class: c, limitPos: -1, agedPos: -1}
	cost, ok := c.serviceTime(now, r.Team, &s.service)
	if !ok {
		cost = defaultCost
	}
	x.limit = c.limitOf(r, s.objective)
	x.goal = c.goalOf(r, x.limit)
	x.agedAt = r.Arrived + c.agedAfter(s.objective)
	x.forcedAt = r.Arrived + 2*c.agedAfter(s.objective)
	x.Entry = fairqueue.Entry[*item]{
		Tier: c.Tier, Team: r.Team, Weight: max(s.weights[r.Team], 1),
		Cost: max(cost, leastCost), Arrived: r.Arrived, Retry: r.Retry, Value: x,
	}
	return x
}

func (s *Scheduler) insert(x *item) {
	s.items[x.request.ID] = x
	s.queue.Push(&x.Entry)
	x.class.queued++
	x.class.limits.Add(x)
	if x.Tier > s.top {
		s.aged.Add(x)
	}
}

// detach takes x out of everything but the fair queue.
func (s *Scheduler) detach(x *item) {
	delete(s.items, x.request.ID)
	x.class.queued--
	if x.limitPos >= 0 {
		x.class.limits.Remove(x.limitPos)
	}
	if x.agedPos >= 0 {
		s.aged.Remove(x.agedPos)
	}
	if s.passed == x {
		s.passed = nil
	}
}

func (s *Scheduler) remove(x *item) {
	s.detach(x)
	s.queue.Remove(&x.Entry)
}

// shed records that x was given up.
func (s *Scheduler) shed(now time.Duration, x *item, reason ShedReason) Shed {
	s.lastShed[x.Tier] = now
	return Shed{ID: x.request.ID, Reason: reason, RetryAfter: s.retryAfter(now, x.Tier)}
}

// expire sheds what can no longer meet its limit even if dispatched now.
func (s *Scheduler) expire(now time.Duration) []Shed {
	var sheds []Shed
	if s.passed != nil && now > s.passedUntil {
		s.releasePassed()
	}
	for _, c := range s.all {
		if c.queued == 0 {
			continue
		}
		var first time.Duration
		if s.inFlight > 0 {
			// With nothing in flight the estimate is not trusted: a request
			// must run for it to be corrected.
			first = c.firstTokenTime(now)
		}
		for c.limits.Len() > 0 {
			x := c.limits.Min()
			if now+first <= x.limit {
				break
			}
			s.remove(x)
			s.learnMargin(now, x, true)
			sheds = append(sheds, s.shed(now, x, ReasonExpired))
		}
	}
	return sheds
}

// stallAfter is the time without a dispatch after which the upstreams stall.
func (s *Scheduler) stallAfter(now time.Duration) time.Duration {
	mean, _ := s.service.Value(now)
	return 2*seconds(mean) + stallGrace
}

// sync tells the capacity estimate what holds from now on.
func (s *Scheduler) sync(now time.Duration) {
	best, ok := s.queue.Best()
	waiting := ok && best <= s.lowestAllowed(now) && s.inFlight > 0
	s.backlogged = s.backlogged && waiting
	s.capacity.Set(now, s.inFlight, waiting)
}
