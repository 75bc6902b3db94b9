package scheduler

import "time"

// The predictions in this file use the terms of the package comment. In regular order, requests
// are dispatched by tier and within a tier by weighted fair queueing. An aged dispatch serves a
// request below the top tier that has waited long, regardless of that order, so that it does not
// starve. A higher tier has a lower number. Work is measured in service seconds, the expected
// service time of the requests, and capacity in service seconds per second.

const (
	// minDispatchInterval and maxDispatchInterval bound the estimated time between two
	// dispatches, so that a wrong estimate can neither suppress aged dispatches nor
	// make them too frequent.
	minDispatchInterval = time.Millisecond
	maxDispatchInterval = time.Second
	// defaultDispatchInterval is used while the dispatch interval is unknown.
	defaultDispatchInterval = 50 * time.Millisecond
	// baseStallTimeout plus two mean service times is the time without a dispatch after which
	// the upstreams are considered stalled.
	baseStallTimeout = time.Second
	// minCostSeconds is the minimum cost of a request; fair queueing needs a positive cost.
	minCostSeconds = 0.001
	// defaultCostSeconds is the cost of a request while no service time is known.
	defaultCostSeconds = 1

	// minRetryAfter and maxRetryAfter bound the retry delay of a shed request, including its
	// random part.
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

// queuedServiceSeconds returns the work, in service seconds, of the requests queued in the tiers
// numbered from firstTier to lastTier.
func (s *Scheduler) queuedServiceSeconds(now time.Duration, firstTier, lastTier int) float64 {
	sum := 0.0
	for _, c := range s.allClasses {
		if c.queuedCount == 0 || c.Tier < firstTier || c.Tier > lastTier {
			continue
		}
		mean, ok := c.meanServiceSeconds.Value(now)
		if !ok {
			if mean, ok = s.meanServiceSeconds.Value(now); !ok {
				continue // no service time is known; work without an estimate must not cause shedding
			}
		}
		sum += float64(c.queuedCount) * mean
	}
	return sum
}

// backlogTime predicts how long it takes to process workSeconds of work of the given tier and of
// higher ones. It returns false while the capacity is unknown. The capacity available to the tier
// is the total minus the share of aged dispatches (1/agingInterval) and minus what higher tiers
// used recently, but at least the share of aged dispatches. Lower tiers do not count.
func (s *Scheduler) backlogTime(now time.Duration, workSeconds float64, tier int) (time.Duration, bool) {
	capacity, ok := s.capacity.Value(now)
	if !ok {
		return 0, false
	}
	agingShare := 1 / float64(s.agingInterval)
	higherTierLoad := 0.0 // in service seconds per second, like capacity
	for dispatchedTier, rate := range s.dispatchedWorkRate {
		if dispatchedTier < tier {
			higherTierLoad += rate.PerSecond(now)
		}
	}
	return durationFromSeconds(workSeconds / (capacity * max(1-agingShare-higherTierLoad/capacity, agingShare))), true
}

// meanDispatchInterval estimates the mean time between two dispatches as the mean service time
// divided by the capacity, or returns defaultDispatchInterval while either is unknown.
func (s *Scheduler) meanDispatchInterval(now time.Duration) time.Duration {
	capacity, capacityKnown := s.capacity.Value(now)
	mean, meanKnown := s.meanServiceSeconds.Value(now)
	if !capacityKnown || !meanKnown {
		return defaultDispatchInterval
	}
	return min(max(durationFromSeconds(mean/capacity), minDispatchInterval), maxDispatchInterval)
}

// p95DispatchInterval returns the 95th percentile of the time between two dispatches while
// requests wait, or the mean while the percentile is unknown.
//
// It is the allowance for the delay by one aged dispatch. The share that backlogTime sets aside
// for aged dispatches is right on average, but a short queue can be delayed by one aged dispatch
// more. The mean would be too short: when many running requests end at the same time, missing one
// dispatch can mean waiting for the next batch of free slots.
func (s *Scheduler) p95DispatchInterval(now time.Duration) time.Duration {
	micros, ok := s.dispatchInterval.P95(now)
	if !ok {
		return s.meanDispatchInterval(now)
	}
	return min(time.Duration(micros)*time.Microsecond, maxDispatchInterval)
}

// predictRegularWait predicts the time until a new request is dispatched in regular order, after
// all work of higher tiers and the work of its own tier that fair queueing serves earlier. The
// result is 0 if the capacity is unknown, no service time is known, or no work is ahead.
func (s *Scheduler) predictRegularWait(now time.Duration, c *class, team string, weight int) time.Duration {
	higherTierSeconds := s.queuedServiceSeconds(now, 0, c.Tier-1)
	tierSeconds := s.queuedServiceSeconds(now, c.Tier, c.Tier)
	teamQueued := s.queue.TeamLen(c.Tier, team)
	// activeWeight is the sum of the weights of the teams with queued requests and of this team.
	activeWeight := s.queue.ActiveWeight(c.Tier)
	if teamQueued == 0 {
		activeWeight += weight
	}
	if mean, ok := c.expectedServiceSeconds(now, team, &s.meanServiceSeconds); ok {
		// Fair queueing gives the team weight/activeWeight of the tier. While it serves the
		// team's queued requests and the new one, it serves at most this much work of all teams.
		tierSeconds = min(tierSeconds, float64(teamQueued+1)*mean*float64(activeWeight)/float64(weight))
	}
	wait, _ := s.backlogTime(now, higherTierSeconds+tierSeconds, c.Tier)
	if wait > 0 { // 0 is kept because admits and updateWaitCorrection treat it differently
		wait += s.p95DispatchInterval(now)
	}
	return time.Duration(float64(wait) * c.waitCorrectionFactor(now, team))
}

// predictAgedDispatch predicts the latest time at which an aged dispatch serves a new request,
// regardless of the load of higher tiers. The top tier has no aged dispatches.
func (s *Scheduler) predictAgedDispatch(now time.Duration, q *queuedRequest) time.Duration {
	if q.Tier <= s.topTier {
		return now + maxPredictedWait
	}
	dispatches := (s.byDueTime.Len() + 1) * s.agingInterval
	return max(now, q.dueAt) + time.Duration(dispatches)*s.meanDispatchInterval(now)
}

// admits reports whether a new request is predicted to be served in time, in regular order or by
// an aged dispatch. It sets q.predictedWait, which updateWaitCorrection uses later, unless the
// result is clear without a prediction. A predicted wait of 0 means that the capacity is unknown,
// that no service time is known, or that no work is ahead.
//
// The effective deadline and the target time bound the first token, so the dispatch must precede
// them by the median time from dispatch to first token.
func (s *Scheduler) admits(now time.Duration, q *queuedRequest) bool {
	if now > q.effectiveDeadline {
		return false
	}
	if s.queue.Len() == 0 && s.inFlight == 0 {
		return true
	}
	dispatchDeadline := q.effectiveDeadline - q.class.medianFirstTokenDelay(now)
	q.predictedWait = s.predictRegularWait(now, q.class, q.Team, q.Weight)
	regularDispatchDeadline := q.targetTime - q.class.medianFirstTokenDelay(now)
	if q.predictedWait == 0 { // capacity or service time unknown, or no work ahead
		regularDispatchDeadline = dispatchDeadline
	}
	if now+q.predictedWait <= regularDispatchDeadline {
		return true
	}
	return s.predictAgedDispatch(now, q) <= dispatchDeadline
}

// higherTiersMeetDeadlines predicts whether every waiting request of a tier above the given one
// would still meet its effective deadline if a request of the given tier were dispatched first.
// The prediction is conservative: it compares the backlog time of a whole tier with the earliest
// effective deadline in it, so it can be false although all deadlines would be met. An unknown
// capacity counts as a missed deadline.
func (s *Scheduler) higherTiersMeetDeadlines(now time.Duration, tier int) bool {
	interval := s.meanDispatchInterval(now)
	for _, c := range s.allClasses {
		if c.Tier >= tier || c.queuedCount == 0 || c.byDeadline.Len() == 0 {
			continue
		}
		wait, ok := s.backlogTime(now, s.queuedServiceSeconds(now, 0, c.Tier), c.Tier)
		if !ok || now+interval+wait+c.medianFirstTokenDelay(now) > c.byDeadline.Min().effectiveDeadline {
			return false
		}
	}
	return true
}

// retryAfter draws a duration from [t, 2t], where t is the predicted time to process the queued
// work of the tier and of higher ones, limited so that the result is between minRetryAfter and
// maxRetryAfter. The range spreads the retries of shed requests.
func (s *Scheduler) retryAfter(now time.Duration, tier int) time.Duration {
	backlog, _ := s.backlogTime(now, s.queuedServiceSeconds(now, 0, tier), tier)
	backlog = min(max(backlog, minRetryAfter), maxRetryAfter/2)
	return backlog + time.Duration(s.rng.Int64N(int64(backlog)+1))
}
