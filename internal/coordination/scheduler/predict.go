package scheduler

import "time"

const (
	// leastGap and greatestGap bound the learned time between two dispatches,
	// so that a wrong estimate can neither disable nor flood the aged share.
	leastGap    = time.Millisecond
	greatestGap = time.Second
	// defaultGap is used while the gap is unknown.
	defaultGap = 50 * time.Millisecond
	// stallGrace is the time, beyond the limit and two service times, after which
	// a request that was passed over is shed because no upstream opens a slot.
	stallGrace = time.Second
	// leastCost is the least cost of a request in seconds; fair queueing needs a positive cost.
	leastCost = 0.001
	// defaultCost is the cost in seconds while no service time is known.
	defaultCost = 1

	leastRetryAfter    = 100 * time.Millisecond
	greatestRetryAfter = 60 * time.Second
)

// forever is a wait that no limit allows for and that can be added to a time.
const forever = 100 * 365 * 24 * time.Hour

func seconds(x float64) time.Duration {
	if x >= forever.Seconds() {
		return forever
	}
	return time.Duration(x * float64(time.Second))
}

// work returns the service seconds of the requests queued in the tiers from
// first to last.
func (s *Scheduler) work(now time.Duration, first, last int) float64 {
	sum := 0.0
	for _, c := range s.all {
		if c.queued == 0 || c.Tier < first || c.Tier > last {
			continue
		}
		mean, ok := c.service.Value(now)
		if !ok {
			if mean, ok = s.service.Value(now); !ok {
				continue
			}
		}
		sum += float64(c.queued) * mean
	}
	return sum
}

// drain returns the time in which the capacity that is certain, without the
// aged share, serves the given work; false while the capacity is unknown.
func (s *Scheduler) drain(now time.Duration, work float64) (time.Duration, bool) {
	capacity, ok := s.capacity.Value(now)
	if !ok {
		return 0, false
	}
	share := float64(s.agedShare) / float64(s.agedShare-1)
	return seconds(work / capacity * share), true
}

// gap returns the learned time between two dispatches.
func (s *Scheduler) gap(now time.Duration) time.Duration {
	capacity, known := s.capacity.Value(now)
	mean, ok := s.service.Value(now)
	if !known || !ok {
		return defaultGap
	}
	return min(max(seconds(mean/capacity), leastGap), greatestGap)
}

// turnWait predicts the time until the regular turn of a new request: all work
// of higher tiers and, of its own tier, what fair queueing serves first.
func (s *Scheduler) turnWait(now time.Duration, c *class, team string, weight int) time.Duration {
	ahead := s.work(now, 0, c.Tier-1)
	same := s.work(now, c.Tier, c.Tier)
	own := s.queue.TeamLen(c.Tier, team)
	active := s.queue.ActiveWeight(c.Tier)
	if own == 0 {
		active += weight
	}
	if mean, ok := c.serviceTime(now, team, &s.service); ok {
		same = min(same, float64(own+1)*mean*float64(active)/float64(weight))
	}
	wait, _ := s.drain(now, ahead+same)
	return wait
}

// agedTime predicts the latest time at which the aged share serves a new
// request, whatever higher tiers do.
func (s *Scheduler) agedTime(now time.Duration, c *class, r Request) time.Duration {
	if c.Tier <= s.top {
		return now + forever
	}
	slots := (s.aged.Len() + 1) * s.agedShare
	return max(now, r.Arrived+2*c.MaxWait) + time.Duration(slots)*s.gap(now)
}

// admits predicts whether a new request meets its limit, by its turn or by the aged share.
func (s *Scheduler) admits(now time.Duration, x *item) bool {
	if now > x.limit {
		return false
	}
	if s.queue.Len() == 0 && s.inFlight == 0 {
		return true
	}
	latest := x.limit - x.class.firstTokenTime(now)
	if now+s.turnWait(now, x.class, x.Team, x.Weight) <= latest {
		return true
	}
	return s.agedTime(now, x.class, x.request) <= latest
}

// spares predicts whether every waiting request of a tier above the given one
// meets its limit after one more dispatch of another tier. It compares the
// drain time of a whole tier with the earliest limit in it, which errs towards no.
func (s *Scheduler) spares(now time.Duration, tier int) bool {
	gap := s.gap(now)
	for _, c := range s.all {
		if c.Tier >= tier || c.queued == 0 || c.limits.Len() == 0 {
			continue
		}
		wait, ok := s.drain(now, s.work(now, 0, c.Tier))
		if !ok || now+gap+wait+c.firstTokenTime(now) > c.limits.Min().limit {
			return false
		}
	}
	return true
}

// retryAfter draws from [t, 2t], t being the time until the work of the tier
// and those above has drained.
func (s *Scheduler) retryAfter(now time.Duration, tier int) time.Duration {
	t, _ := s.drain(now, s.work(now, 0, tier))
	t = min(max(t, leastRetryAfter), greatestRetryAfter/2)
	return t + time.Duration(s.rng.Int64N(int64(t)+1))
}
