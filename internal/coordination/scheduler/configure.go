package scheduler

import (
	"math"
	"slices"
	"time"

	"github.com/yuccabridge/yuccabridge/internal/state/fairqueue"
)

// Reconfigure replaces the options and keeps the queued requests, to which the new
// parameters apply. A request whose class was removed keeps the previous parameters of the
// class until it leaves the queue, and a request whose team was removed keeps the team's previous
// weight. The cost is O(n log n) for n queued requests; unchanged options are ignored.
func (s *Scheduler) Reconfigure(now time.Duration, o Options) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.options.equal(o) {
		return
	}
	queued := make([]*queuedRequest, 0, len(s.queuedByID))
	for _, q := range s.queuedByID {
		queued = append(queued, q)
	}
	slices.SortFunc(queued, func(a, b *queuedRequest) int { return a.Compare(&b.Entry) })
	bypassed := s.bypassed
	s.bypassed = nil
	for _, q := range queued {
		q.class.queuedCount = 0
	}
	s.configure(o)
	for _, q := range queued {
		s.requeue(now, q, bypassed == q)
	}
	s.updateCapacity(now)
}

// equal reports whether o and p are the same.
func (o Options) equal(p Options) bool {
	return slices.Equal(o.Classes, p.Classes) && slices.Equal(o.Teams, p.Teams) &&
		o.QueueLimit == p.QueueLimit && o.AgingInterval == p.AgingInterval &&
		o.Objective == p.Objective && o.MaxPeerPressureAge == p.MaxPeerPressureAge
}

// configure applies the options and empties the queue.
func (s *Scheduler) configure(o Options) {
	s.options = o
	s.options.Classes, s.options.Teams = slices.Clone(o.Classes), slices.Clone(o.Teams)
	s.objective = o.Objective
	s.agingInterval = max(orDefault(o.AgingInterval, defaultAgingInterval), minAgingInterval)
	s.dispatchesSinceAged = min(s.dispatchesSinceAged, s.agingInterval-1)
	s.maxPeerPressureAge = orDefault(o.MaxPeerPressureAge, defaultMaxPeerPressureAge)

	s.weights = make(map[string]int, len(o.Teams))
	for _, t := range o.Teams {
		s.weights[t.Name] = max(t.Weight, 1)
	}
	s.configureClasses(o.Classes)

	queueLimit := orDefault(o.QueueLimit, defaultQueueLimit)
	s.queue = fairqueue.New[*queuedRequest](queueLimit, max(queueLimit/s.agingInterval, 1), s.topTier)
	clear(s.queuedByID)
	s.byDueTime = fairqueue.NewHeap(
		func(a, b *queuedRequest) bool {
			if a.dueAt != b.dueAt {
				return a.dueAt < b.dueAt
			}
			return a.Compare(&b.Entry) < 0
		},
		func(q *queuedRequest, pos int) { q.dueTimePos = pos },
	)
}

// configureClasses replaces the classes and keeps the estimators of the remaining classes and
// teams.
func (s *Scheduler) configureClasses(classes []Class) {
	previous := s.classes
	s.classes = make(map[string]*class, len(classes))
	s.allClasses = s.allClasses[:0]
	s.topTier = math.MaxInt
	for _, c := range classes {
		estimators := newClassEstimators()
		if prior := previous[c.Name]; prior != nil {
			estimators = prior.classEstimators
			for team := range estimators.teams {
				if _, ok := s.weights[team]; !ok {
					delete(estimators.teams, team)
				}
			}
		}
		s.classes[c.Name] = newClass(c, estimators)
		s.allClasses = append(s.allClasses, s.classes[c.Name])
		s.topTier = min(s.topTier, c.Tier)
	}
}

// requeue queues q again with the parameters of the new options.
func (s *Scheduler) requeue(now time.Duration, q *queuedRequest, bypassed bool) {
	c := s.classes[q.request.Class]
	if c == nil {
		c = s.formerClass(q.class)
	}
	updated := s.newQueuedRequest(now, c, q.request)
	updated.predictedWait = q.predictedWait
	if _, ok := s.weights[q.Team]; !ok {
		updated.Weight = q.Weight
	}
	s.insert(updated)
	if bypassed {
		s.bypass(now, updated)
	}
}

// formerClass returns the entry in allClasses for a class that is no longer configured, and adds
// it if needed.
func (s *Scheduler) formerClass(former *class) *class {
	for _, c := range s.allClasses {
		if c.classEstimators == former.classEstimators {
			return c
		}
	}
	c := newClass(former.Class, former.classEstimators)
	s.allClasses = append(s.allClasses, c)
	return c
}

// orDefault returns value, or fallback if value is not positive.
func orDefault[T int | time.Duration](value, fallback T) T {
	if value <= 0 {
		return fallback
	}
	return value
}
