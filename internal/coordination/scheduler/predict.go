package scheduler

import "time"

const (
	// minDispatchInterval and maxDispatchInterval bound the estimated time between two
	// dispatches, so that a wrong estimate can neither suppress aged dispatches nor
	// make them too frequent.
	minDispatchInterval = time.Millisecond
	maxDispatchInterval = time.Second
	// defaultDispatchInterval is used while the dispatch interval is unknown.
	defaultDispatchInterval = 50 * time.Millisecond
	// The upstreams are considered stalled after two mean service times plus stallMargin
	// without a dispatch.
	stallMargin = time.Second
	// minCostSeconds is the minimum cost of a request; fair queueing needs a positive cost.
	minCostSeconds = 0.001
	// defaultCostSeconds is the cost of a request while no service time is known.
	defaultCostSeconds = 1

	minRetryAfter = 100 * time.Millisecond
	maxRetryAfter = 60 * time.Second
)

// maxPredictedWait is longer than any deadline, and adding it to a time does not overflow.
const maxPredictedWait = 100 * 365 * 24 * time.Hour

// durationFromSeconds converts seconds to a duration of at most maxPredictedWait.
func durationFromSeconds(seconds float64) time.Duration {
	if seconds >= maxPredictedWait.Seconds() {
		return maxPredictedWait
	}
	return time.Duration(seconds * float64(time.Second))
}

// queuedWork returns the expected service time, in seconds, of the requests queued in the
// tiers from firstTier to lastTier.
func (s *Scheduler) queuedWork(now time.Duration, firstTier, lastTier int) float64 {
	sum := 0.0
	for _, c := range s.allClasses {
		if c.queuedCount == 0 || c.Tier < firstTier || c.Tier > lastTier {
			continue
		}
		mean, ok := c.meanService.Value(now)
		if !ok {
			if mean, ok = s.meanService.Value(now); !ok {
				continue
			}
		}
		sum += float64(c.queuedCount) * mean
	}
	return sum
}

// drainTime returns the time in which a tier gets the given work, in service seconds, served; false
// while the capacity is unknown. The calculation uses the capacity minus the share of aged
// dispatches (1/agingInterval) and minus the capacity that higher tiers used recently, but
// at least the share of aged dispatches. Lower tiers do not count.
func (s *Scheduler) drainTime(now time.Duration, work float64, tier int) (time.Duration, bool) {
	capacity, ok := s.capacity.Value(now)
	if !ok {
		return 0, false
	}
	agingShare := 1 / float64(s.agingInterval)
	higherTierLoad := 0.0
	for dispatchedTier, rate := range s.dispatchedWork {
		if dispatchedTier < tier {
			higherTierLoad += rate.PerSecond(now)
		}
	}
	return durationFromSeconds(work / (capacity * max(1-agingShare-higherTierLoad/capacity, agingShare))), true
}

// meanDispatchInterval returns the estimated mean time between two dispatches.
func (s *Scheduler) meanDispatchInterval(now time.Duration) time.Duration {
	capacity, capacityKnown := s.capacity.Value(now)
	mean, meanKnown := s.meanService.Value(now)
	if !capacityKnown || !meanKnown {
		return defaultDispatchInterval
	}
	return min(max(durationFromSeconds(mean/capacity), minDispatchInterval), maxDispatchInterval)
}

// p95DispatchInterval returns the delay that one aged dispatch can cause, which is the 95th
// percentile of the dispatch interval. The share that drainTime sets aside for aged dispatches
// is right on average, but a short queue can be delayed by one aged dispatch more. When many
// running requests end at the same time, missing one dispatch can mean waiting for the next
// batch of free slots, so the mean interval is too short.
func (s *Scheduler) p95DispatchInterval(now time.Duration) time.Duration {
	micros, ok := s.dispatchInterval.P95(now)
	if !ok {
		return s.meanDispatchInterval(now)
	}
	return min(time.Duration(micros)*time.Microsecond, maxDispatchInterval)
}

// fairQueueWait predicts the time until a new request is dispatched in regular order, after
// all work of higher tiers and the work of its own tier that fair queueing serves earlier.
func (s *Scheduler) fairQueueWait(now time.Duration, c *class, team string, weight int) time.Duration {
	higherTierWork := s.queuedWork(now, 0, c.Tier-1)
	tierWork := s.queuedWork(now, c.Tier, c.Tier)
	teamQueued := s.queue.TeamLen(c.Tier, team)
	activeWeight := s.queue.ActiveWeight(c.Tier)
	if teamQueued == 0 {
		activeWeight += weight
	}
	if mean, ok := c.expectedServiceSeconds(now, team, &s.meanService); ok {
		tierWork = min(tierWork, float64(teamQueued+1)*mean*float64(activeWeight)/float64(weight))
	}
	wait, _ := s.drainTime(now, higherTierWork+tierWork, c.Tier)
	if wait > 0 {
		wait += s.p95DispatchInterval(now)
	}
	return time.Duration(float64(wait) * c.waitMarginOf(now, team))
}

// latestAgedDispatch predicts the latest time at which an aged dispatch serves a new
// request, regardless of the load of higher tiers.
func (s *Scheduler) latestAgedDispatch(now time.Duration, q *queuedRequest) time.Duration {
	if q.Tier <= s.topTier {
		return now + maxPredictedWait
	}
	dispatches := (s.byDueTime.Len() + 1) * s.agingInterval
	return max(now, q.dueAt) + time.Duration(dispatches)*s.meanDispatchInterval(now)
}

// admits reports whether a new request is predicted to be served in time, in regular order or by
// an aged dispatch.
func (s *Scheduler) admits(now time.Duration, q *queuedRequest) bool {
	if now > q.effectiveDeadline {
		return false
	}
	if s.queue.Len() == 0 && s.inFlight == 0 {
		return true
	}
	latestDispatch := q.effectiveDeadline - q.class.firstTokenDelay(now)
	q.predictedWait = s.fairQueueWait(now, q.class, q.Team, q.Weight)
	latestRegularDispatch := q.targetTime - q.class.firstTokenDelay(now)
	if q.predictedWait == 0 { // no known work of its tier or a higher one is ahead
		latestRegularDispatch = latestDispatch
	}
	if now+q.predictedWait <= latestRegularDispatch {
		return true
	}
	return s.latestAgedDispatch(now, q) <= latestDispatch
}

// higherTiersMeetDeadlines predicts whether every waiting request of a tier above the given one
// would still meet its effective deadline if a request of the given tier were dispatched first.
// It compares the drain time of a whole tier with the earliest effective deadline in it, so
// its errors are on the side of false.
func (s *Scheduler) higherTiersMeetDeadlines(now time.Duration, tier int) bool {
	interval := s.meanDispatchInterval(now)
	for _, c := range s.allClasses {
		if c.Tier >= tier || c.queuedCount == 0 || c.byDeadline.Len() == 0 {
			continue
		}
		wait, ok := s.drainTime(now, s.queuedWork(now, 0, c.Tier), c.Tier)
		if !ok || now+interval+wait+c.firstTokenDelay(now) > c.byDeadline.Min().effectiveDeadline {
			return false
		}
	}
	return true
}

// retryAfter draws a duration from [t, 2t], where t is the predicted time until the work of the
// tier and of higher tiers is drained. The range spreads the retries of shed requests.
func (s *Scheduler) retryAfter(now time.Duration, tier int) time.Duration {
	drain, _ := s.drainTime(now, s.queuedWork(now, 0, tier), tier)
	drain = min(max(drain, minRetryAfter), maxRetryAfter/2)
	return drain + time.Duration(s.rng.Int64N(int64(drain)+1))
}
