package scheduler

import "time"

// choose returns the request to dispatch, or nil. The caller removes it.
func (s *Scheduler) choose(now time.Duration) *item {
	best, waiting := s.queue.Best()
	if !waiting {
		return nil
	}
	if best > min(s.lowestAllowed(now), s.lowestWithRoom(now)) {
		return s.chooseHeld(now)
	}
	head := s.headOf(now, best)
	if s.passed != nil && s.passed.Tier == best {
		head = s.passed
	}
	if x := s.chooseAged(now, best); x != nil {
		s.releasePassed()
		if x.Tier > best {
			s.passOver(now, head)
		}
		s.sinceAged, s.agedTurnAt = 0, now
		return x
	}
	s.releasePassed()
	s.sinceAged = min(s.sinceAged+1, s.agedShare-1)
	return head
}

// headOf returns the request of a tier whose turn it is. With Goodput, a request that
// can no longer meet its first-token target adds nothing to goodput: it is put behind
// those of its tier that can, once.
func (s *Scheduler) headOf(now time.Duration, tier int) *item {
	head := s.queue.Head(tier)
	for s.objective == Goodput && !head.Retry && !head.Deferred() && s.missesGoal(now, head.Value) {
		s.queue.Defer(head)
		head = s.queue.Head(tier)
	}
	return head.Value
}

// missesGoal reports whether x would get its first token after its target if it were
// dispatched now.
func (s *Scheduler) missesGoal(now time.Duration, x *item) bool {
	return now+x.class.firstTokenTime(now) > x.goal
}

// chooseAged returns the request that takes an aged dispatch now, or nil.
func (s *Scheduler) chooseAged(now time.Duration, best int) *item {
	if s.sinceAged < s.agedShare-1 || s.aged.Len() == 0 {
		return nil
	}
	x := s.aged.Min()
	switch {
	case now >= x.forcedAt:
		return x
	case now >= x.agedAt && x.Tier > best && s.spares(now, x.Tier):
		return x
	default:
		return nil
	}
}

// chooseHeld returns the request that the aged share serves while a peer sheds
// a tier above all those waiting here. Without other dispatches to count, the
// share is taken by time.
func (s *Scheduler) chooseHeld(now time.Duration) *item {
	if s.aged.Len() == 0 || now < s.aged.Min().agedAt {
		return nil
	}
	if s.agedTurnAt > 0 && now-s.agedTurnAt < time.Duration(s.agedShare)*s.gap(now) {
		return nil
	}
	s.releasePassed()
	s.sinceAged, s.agedTurnAt = 0, now
	return s.aged.Min()
}

// passOver records that an aged dispatch takes the turn of x. Until the next
// dispatch x is neither expired nor the victim of a full queue, and that
// dispatch goes to x unless a tier above x has a request by then. When the
// upstreams stall and no dispatch follows, the exemption ends.
func (s *Scheduler) passOver(now time.Duration, x *item) {
	s.passed = x
	s.passedUntil = max(x.limit, now) + s.stallAfter(now)
	s.queue.Protect(&x.Entry)
	x.class.limits.Remove(x.limitPos)
}

// releasePassed ends the exemption of the request that was passed over.
func (s *Scheduler) releasePassed() {
	if s.passed == nil {
		return
	}
	s.passed.class.limits.Add(s.passed)
	s.passed = nil
}
