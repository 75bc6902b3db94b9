package scheduler

import (
	"math"
	"time"
)

const (
	// reserveDivisor is the part of the slots that stays open for each higher tier that
	// was dispatched lately.
	reserveDivisor = 8
	// maxReserveSteps bounds the tiers for which slots stay open: the reserve is at most
	// a quarter of the slots.
	maxReserveSteps = 2
	// activeWork is the least work of a tier in service seconds per second for which
	// slots stay open.
	activeWork = 0.01
)

// SetRoom tells how many slots are open and how many there are in all.
func (s *Scheduler) SetRoom(_ time.Duration, open, total int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.open, s.total = open, total
}

// lowestWithRoom returns the lowest tier that may take a slot. A tier leaves some of the
// slots open for the tiers above it: without them, a request of a higher tier waits for
// the next end of a request, and with few slots in an instance these are far apart.
func (s *Scheduler) lowestWithRoom(now time.Duration) int {
	unit := s.total / reserveDivisor
	if unit == 0 {
		return math.MaxInt
	}
	lowest := s.top
	for _, c := range s.all {
		if c.Tier > lowest && s.open > unit*s.activeAbove(now, c.Tier) {
			lowest = c.Tier
		}
	}
	return lowest
}

// activeAbove counts the tiers above the given one that were dispatched lately, up to
// maxReserveSteps.
func (s *Scheduler) activeAbove(now time.Duration, tier int) int {
	n := 0
	for number, rate := range s.dispatched {
		if number < tier && rate.PerSecond(now) > activeWork {
			n++
		}
	}
	return min(n, maxReserveSteps)
}
