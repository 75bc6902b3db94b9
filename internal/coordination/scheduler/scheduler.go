package scheduler

import (
	"math/rand/v2"
	"sync"
	"time"

	"github.com/yuccabridge/yuccabridge/internal/state/estimate"
	"github.com/yuccabridge/yuccabridge/internal/state/fairqueue"
)

const (
	defaultQueueLimit         = 10_000
	defaultAgingInterval      = 32
	minAgingInterval          = 2
	defaultMaxPeerPressureAge = time.Second
)

// Scheduler admits and orders the requests for one model or service. It is
// safe for concurrent use.
type Scheduler struct {
	mu  sync.Mutex
	rng *rand.Rand

	options            Options
	objective          Objective
	agingInterval      int
	maxPeerPressureAge time.Duration
	topTier            int // highest configured tier, that is the lowest number
	weights            map[string]int
	classes            map[string]*class // configured classes by name
	allClasses         []*class          // configured classes, and removed ones with queued requests

	queue               *fairqueue.Queue[*queuedRequest]
	queuedByID          map[uint64]*queuedRequest
	byDueTime           *fairqueue.Heap[*queuedRequest] // queued requests below the top tier, by dueAt
	bypassed            *queuedRequest                  // the request that the last aged dispatch bypassed
	bypassExemptUntil   time.Duration                   // end of the exemption of bypassed
	dispatchesSinceAged int                             // dispatches since the last aged one, at most agingInterval-1
	lastAgedDispatch    time.Duration                   // time of the last aged dispatch

	openSlots, totalSlots int // slots of all upstreams together

	lastDispatch     time.Duration
	backlogged       bool             // requests have waited without interruption since the last dispatch
	dispatchInterval *estimate.Sketch // microseconds between two dispatches while requests wait

	inFlight           int
	meanServiceSeconds estimate.Mean     // seconds, of all classes
	capacity           estimate.Capacity // service seconds per second
	// dispatchedWorkRate is the rate of recently dispatched work by tier, in service seconds per
	// second.
	dispatchedWorkRate map[int]*estimate.Rate

	lastShed      map[int]time.Duration // last shed by tier
	peers         map[string]peerPressure
	peerShedUntil map[int]time.Duration // end of the validity of peers' reports, by shed tier
}

// New returns a scheduler. It draws the RetryAfter of shed requests from rng, which it uses
// only while it holds its own lock.
func New(options Options, rng *rand.Rand) *Scheduler {
	s := &Scheduler{
		rng:           rng,
		classes:       map[string]*class{},
		queuedByID:    map[uint64]*queuedRequest{},
		lastShed:      map[int]time.Duration{},
		peers:         map[string]peerPressure{},
		peerShedUntil: map[int]time.Duration{},

		dispatchedWorkRate: map[int]*estimate.Rate{},
		dispatchInterval:   estimate.NewSketch(),
	}
	s.configure(options)
	return s
}

// Enqueue queues r and returns the request that is shed as a result, if any: r itself,
// which is then not queued, or the victim of a full queue.
func (s *Scheduler) Enqueue(now time.Duration, r Request) []Shed {
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.classes[r.Class]
	if c == nil {
		return []Shed{{ID: r.ID, Reason: ReasonUnknownClass, RetryAfter: s.retryAfter(now, 0)}}
	}
	if s.queuedByID[r.ID] != nil {
		return []Shed{{ID: r.ID, Reason: ReasonDuplicate, RetryAfter: s.retryAfter(now, 0)}}
	}
	q := s.newQueuedRequest(now, c, r)
	if !s.admits(now, q) {
		return []Shed{s.recordShed(now, q, ReasonDeadline)}
	}
	s.insert(q)
	var sheds []Shed
	if victim := s.queue.Victim(); victim != nil {
		s.remove(victim.Value)
		sheds = append(sheds, s.recordShed(now, victim.Value, ReasonQueueFull))
	}
	s.updateCapacity(now)
	return sheds
}

// Next removes and returns the request to dispatch now, and sheds the queued
// requests that can no longer meet their effective deadlines.
func (s *Scheduler) Next(now time.Duration) (Request, bool, []Shed) {
	s.mu.Lock()
	defer s.mu.Unlock()
	sheds := s.shedExpired(now)
	q := s.choose(now)
	if q != nil {
		s.removeFromIndexes(q)
		s.queue.Take(&q.Entry)
		s.dispatch(now, q)
	}
	s.updateCapacity(now)
	if q == nil {
		return Request{}, false, sheds
	}
	return q.request, true, sheds
}

// Tick sheds the queued requests that can no longer meet their effective deadlines.
func (s *Scheduler) Tick(now time.Duration) []Shed {
	s.mu.Lock()
	defer s.mu.Unlock()
	sheds := s.shedExpired(now)
	s.updateCapacity(now)
	return sheds
}

// Cancel removes a queued request and reports whether it was queued.
func (s *Scheduler) Cancel(now time.Duration, id uint64) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	q := s.queuedByID[id]
	if q == nil {
		return false
	}
	s.remove(q)
	s.updateCapacity(now)
	return true
}

// Observe records the end of a dispatched request.
func (s *Scheduler) Observe(now time.Duration, sample Sample) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.inFlight = max(s.inFlight-1, 0)
	s.capacity.Complete(now, sample.Service.Seconds())
	s.meanServiceSeconds.Add(now, sample.Service.Seconds())
	if c := s.classes[sample.Class]; c != nil {
		_, configured := s.weights[sample.Team]
		c.observe(now, sample, configured)
	}
	s.updateCapacity(now)
}

// dispatch records that q is dispatched to an upstream.
func (s *Scheduler) dispatch(now time.Duration, q *queuedRequest) {
	if s.backlogged {
		s.dispatchInterval.Add(now, (now - s.lastDispatch).Microseconds())
	}
	s.lastDispatch, s.backlogged = now, true
	s.inFlight++
	rate := s.dispatchedWorkRate[q.Tier]
	if rate == nil {
		rate = estimate.NewRate(now)
		s.dispatchedWorkRate[q.Tier] = rate
	}
	// q.Cost may still be the default that is used while no service time is known.
	if cost, ok := q.class.expectedServiceSeconds(now, q.Team, &s.meanServiceSeconds); ok {
		rate.Add(now, cost)
	}
	s.updateWaitCorrection(now, q, now+q.class.medianFirstTokenDelay(now) > q.targetTime)
}

// updateWaitCorrection records whether q is late although a predicted wait was known when it was
// admitted. Only requests of configured teams with such a prediction count.
func (s *Scheduler) updateWaitCorrection(now time.Duration, q *queuedRequest, late bool) {
	if _, configured := s.weights[q.Team]; configured && q.predictedWait > 0 {
		q.class.estimatorsOf(q.Team).waitCorrection.Add(now, late)
	}
}

// newQueuedRequest computes the scheduling parameters of r from the current options and
// estimates.
func (s *Scheduler) newQueuedRequest(now time.Duration, c *class, r Request) *queuedRequest {
	q := &queuedRequest{request: r, class: c, deadlinePos: -1, dueTimePos: -1}
	cost, ok := c.expectedServiceSeconds(now, r.Team, &s.meanServiceSeconds)
	if !ok {
		cost = defaultCostSeconds
	}
	q.effectiveDeadline = c.effectiveDeadlineOf(r, s.objective)
	q.targetTime = c.targetTimeOf(r, q.effectiveDeadline)
	q.agedAt = r.Arrived + c.agingDelay(s.objective)
	q.dueAt = r.Arrived + 2*c.agingDelay(s.objective)
	q.Entry = fairqueue.Entry[*queuedRequest]{
		Tier: c.Tier, Team: r.Team, Weight: max(s.weights[r.Team], 1),
		Cost: max(cost, minCostSeconds), Arrived: r.Arrived, Retry: r.Retry, Value: q,
	}
	return q
}

// insert adds q to the fair queue and to all indexes.
func (s *Scheduler) insert(q *queuedRequest) {
	s.queuedByID[q.request.ID] = q
	s.queue.Push(&q.Entry)
	q.class.queuedCount++
	q.class.byDeadline.Add(q)
	if q.Tier > s.topTier {
		s.byDueTime.Add(q)
	}
}

// removeFromIndexes removes q from everything except the fair queue.
func (s *Scheduler) removeFromIndexes(q *queuedRequest) {
	delete(s.queuedByID, q.request.ID)
	q.class.queuedCount--
	if q.deadlinePos >= 0 {
		q.class.byDeadline.Remove(q.deadlinePos)
	}
	if q.dueTimePos >= 0 {
		s.byDueTime.Remove(q.dueTimePos)
	}
	if s.bypassed == q {
		s.bypassed = nil
	}
}

func (s *Scheduler) remove(q *queuedRequest) {
	s.removeFromIndexes(q)
	s.queue.Remove(&q.Entry)
}

// recordShed records that q is shed and returns its Shed.
func (s *Scheduler) recordShed(now time.Duration, q *queuedRequest, reason ShedReason) Shed {
	s.lastShed[q.Tier] = now
	return Shed{ID: q.request.ID, Reason: reason, RetryAfter: s.retryAfter(now, q.Tier)}
}

// shedExpired sheds the queued requests that would miss their effective deadlines even if
// they were dispatched now.
func (s *Scheduler) shedExpired(now time.Duration) []Shed {
	var sheds []Shed
	if s.bypassed != nil && now > s.bypassExemptUntil {
		s.endBypassExemption()
	}
	for _, c := range s.allClasses {
		if c.queuedCount == 0 {
			continue
		}
		var minDelay time.Duration
		if s.inFlight > 0 {
			// The estimate is ignored while nothing is in flight: it can only be
			// corrected if a request runs.
			minDelay = c.medianFirstTokenDelay(now)
		}
		for c.byDeadline.Len() > 0 {
			q := c.byDeadline.Min()
			if now+minDelay <= q.effectiveDeadline {
				break
			}
			s.remove(q)
			s.updateWaitCorrection(now, q, true)
			sheds = append(sheds, s.recordShed(now, q, ReasonExpired))
		}
	}
	return sheds
}

// stallTimeout returns the time without a dispatch after which the upstreams are considered
// stalled.
func (s *Scheduler) stallTimeout(now time.Duration) time.Duration {
	mean, _ := s.meanServiceSeconds.Value(now)
	return 2*durationFromSeconds(mean) + baseStallTimeout
}

// updateCapacity passes the state from now on to the capacity estimate: the requests in flight
// and whether requests wait for a slot.
func (s *Scheduler) updateCapacity(now time.Duration) {
	highestTier, ok := s.queue.Best()
	waiting := ok && highestTier <= s.lowestTierAllowedByPeers(now) && s.inFlight > 0
	s.backlogged = s.backlogged && waiting
	s.capacity.Set(now, s.inFlight, waiting)
}
