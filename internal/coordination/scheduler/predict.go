package scheduler

import "time"

const (
	// leastGap and greatestGap bound the learned time between two dispatches,
	// so that a wrong estimate can neither disable nor flood the aged share.
	leastGap    = time.Millisecond
	greatestGap = time.Second
	// defaultGap is used while the gap is unknown.
	defaultGap = 50 * time.Millisecond
	// stallGrace and two service times without a dispatch mean that the upstreams stall.
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

// drain returns the time in which a tier gets the given work served; false
// while the capacity is unknown. The tier counts on the capacity without the
// aged share and without what higher tiers have lately taken, but on no less
// than the aged share. Lower tiers play no part.
func (s *Scheduler) drain(now time.Duration, work float64, tier int) (time.Duration, bool) {
	capacity, ok := s.capacity.Value(now)
	if !ok {
		return 0, false
	}
	aged := 1 / float64(s.agedShare)
	taken := 0.0
	for number, rate := range s.dispatched {
		if number < tier {
			taken += rate.PerSecond(now)
		}
	}
	return seconds(work / (capacity * max(1-aged-taken/capacity, aged))), true
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

// longTurn returns the delay that one aged dispatch can cause. The share that
// drain leaves out is right in the long run, but a short queue can meet one
// aged dispatch more than that. When the slots of the upstreams end together,
// one dispatch less can mean the next round, so the mean gap is too short.
func (s *Scheduler) longTurn(now time.Duration) time.Duration {
	us, ok := s.turn.P95(now)
	if !ok {
		return s.gap(now)
	}
	return min(time.Duration(us)*time.Microsecond, greatestGap)
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
	wait, _ := s.drain(now, ahead+same, c.Tier)
	if wait > 0 {
		wait += s.longTurn(now)
	}
	return time.Duration(float64(wait) * c.margin(now, team))
}

// agedTime predicts the latest time at which the aged share serves a new
// request, whatever higher tiers do.
func (s *Scheduler) agedTime(now time.Duration, x *item) time.Duration {
	if x.Tier <= s.top {
		return now + forever
	}
	slots := (s.aged.Len() + 1) * s.agedShare
	return max(now, x.forcedAt) + time.Duration(slots)*s.gap(now)
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
	x.wait = s.turnWait(now, x.class, x.Team, x.Weight)
	onTime := x.goal - x.class.firstTokenTime(now)
	if x.wait == 0 { // nothing of its tier or above is ahead
		onTime = latest
	}
	if now+x.wait <= onTime {
		return true
	}
	return s.agedTime(now, x) <= latest
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
		wait, ok := s.drain(now, s.work(now, 0, c.Tier), c.Tier)
		if !ok || now+gap+wait+c.firstTokenTime(now) > c.limits.Min().limit {
			return false
		}
	}
	return true
}

// retryAfter draws from [t, 2t], t being the time until the work of the tier
// and those above has drained.
func (s *Scheduler) retryAfter(now time.Duration, tier int) time.Duration {
	t, _ := s.drain(now, s.work(now, 0, tier), tier)
	t = min(max(t, leastRetryAfter), greatestRetryAfter/2)
	return t + time.Duration(s.rng.Int64N(int64(t)+1))
}
