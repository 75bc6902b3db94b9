package scheduler

import "time"

// choose returns the request to dispatch, or nil. The caller removes it from the queue.
func (s *Scheduler) choose(now time.Duration) *queuedRequest {
	highestTier, waiting := s.queue.Best()
	if !waiting {
		return nil
	}
	if highestTier > min(s.lowestTierAllowedByPeers(now), s.lowestTierWithOpenSlots(now)) {
		return s.chooseAgedByTime(now)
	}
	head := s.headOfTier(now, highestTier)
	if s.bypassed != nil && s.bypassed.Tier == highestTier {
		head = s.bypassed
	}
	if aged := s.chooseAged(now, highestTier); aged != nil {
		s.endBypassExemption()
		if aged.Tier > highestTier {
			s.bypass(now, head)
		}
		s.dispatchesSinceAged, s.lastAgedDispatch = 0, now
		return aged
	}
	s.endBypassExemption()
	s.dispatchesSinceAged = min(s.dispatchesSinceAged+1, s.agingInterval-1)
	return head
}

// headOfTier returns the next request of a tier in fair-queueing order. With Goodput, a request
// that can no longer meet its first-token target does not add to goodput, so it is deferred
// once behind the requests of its tier that can.
func (s *Scheduler) headOfTier(now time.Duration, tier int) *queuedRequest {
	head := s.queue.Head(tier)
	for s.objective == Goodput && !head.Retry && !head.Deferred() && s.missesTarget(now, head.Value) {
		s.queue.Defer(head)
		head = s.queue.Head(tier)
	}
	return head.Value
}

// missesTarget reports whether q would get its first token after its target time if it were
// dispatched now.
func (s *Scheduler) missesTarget(now time.Duration, q *queuedRequest) bool {
	return now+q.class.medianFirstTokenDelay(now) > q.targetTime
}

// chooseAged returns the request to serve by an aged dispatch now, or nil if none is permitted.
// At most one dispatch in agingInterval is an aged one.
func (s *Scheduler) chooseAged(now time.Duration, highestTier int) *queuedRequest {
	if s.dispatchesSinceAged < s.agingInterval-1 || s.byDueTime.Len() == 0 {
		return nil
	}
	q := s.byDueTime.Min()
	switch {
	case now >= q.dueAt:
		return q
	case now >= q.agedAt && q.Tier > highestTier && s.higherTiersMeetDeadlines(now, q.Tier):
		return q
	default:
		return nil
	}
}

// chooseAgedByTime returns the request to serve by an aged dispatch, or nil, while no waiting
// request may be dispatched in regular order because a peer sheds a tier above theirs or
// only reserved slots are open. There are then no other dispatches to count, so the aging interval
// is converted to a time by the mean dispatch interval.
func (s *Scheduler) chooseAgedByTime(now time.Duration) *queuedRequest {
	if s.byDueTime.Len() == 0 || now < s.byDueTime.Min().agedAt {
		return nil
	}
	if s.lastAgedDispatch > 0 && now-s.lastAgedDispatch < time.Duration(s.agingInterval)*s.meanDispatchInterval(now) {
		return nil
	}
	s.endBypassExemption()
	s.dispatchesSinceAged, s.lastAgedDispatch = 0, now
	return s.byDueTime.Min()
}

// bypass records that an aged dispatch takes the turn of q. Until the next
// dispatch, q is neither expired nor the victim of a full queue, and that
// dispatch goes to q unless a higher tier has a request by then. The exemption ends
// early when the upstreams stall and no dispatch follows.
func (s *Scheduler) bypass(now time.Duration, q *queuedRequest) {
	s.bypassed = q
	s.bypassExemptUntil = max(q.effectiveDeadline, now) + s.stallTimeout(now)
	s.queue.Protect(&q.Entry)
	q.class.byDeadline.Remove(q.deadlinePos)
}

// endBypassExemption makes the bypassed request subject to expiry again.
func (s *Scheduler) endBypassExemption() {
	if s.bypassed == nil {
		return
	}
	s.bypassed.class.byDeadline.Add(s.bypassed)
	s.bypassed = nil
}
