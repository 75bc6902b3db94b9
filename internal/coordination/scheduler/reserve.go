package scheduler

import (
	"math"
	"time"
)

const (
	// reservedSlotDivisor determines the slots that stay open for each higher tier with
	// recent dispatches: one in reservedSlotDivisor.
	reservedSlotDivisor = 8
	// maxReservedTiers bounds the number of tiers for which slots stay open, so that at
	// most a quarter of the slots is reserved.
	maxReservedTiers = 2
	// minActiveLoad is the load, in service seconds per second, that a tier must exceed for
	// slots to stay open for it.
	minActiveLoad = 0.01
)

// SetSlots sets the number of open slots and of all slots.
func (s *Scheduler) SetSlots(_ time.Duration, openSlots, totalSlots int) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.openSlots, s.totalSlots = openSlots, totalSlots
}

// lowestTierWithOpenSlots returns the lowest tier that may take a slot. A tier leaves some of the
// slots open for higher tiers. Without them, a request of a higher tier would wait for a
// running request to end, which happens rarely in an instance with few slots.
func (s *Scheduler) lowestTierWithOpenSlots(now time.Duration) int {
	slotsPerTier := s.totalSlots / reservedSlotDivisor
	if slotsPerTier == 0 {
		return math.MaxInt
	}
	lowest := s.topTier
	for _, c := range s.allClasses {
		if c.Tier > lowest && s.openSlots > slotsPerTier*s.activeTiersAbove(now, c.Tier) {
			lowest = c.Tier
		}
	}
	return lowest
}

// activeTiersAbove returns the number of tiers above the given one with recent dispatches, at most
// maxReservedTiers.
func (s *Scheduler) activeTiersAbove(now time.Duration, tier int) int {
	n := 0
	for dispatchedTier, rate := range s.dispatchedWorkRate {
		if dispatchedTier < tier && rate.PerSecond(now) > minActiveLoad {
			n++
		}
	}
	return min(n, maxReservedTiers)
}
