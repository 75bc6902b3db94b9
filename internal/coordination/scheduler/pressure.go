package scheduler

import (
	"math"
	"time"
)

// shedMemory is the time during which a shed counts as pressure.
const shedMemory = time.Second

// peerPressure is the last pressure of a peer.
type peerPressure struct {
	measured time.Duration
	tier     int // highest tier shed; 0 when none
}

// MergePressure records a peer's pressure that was measured age ago. A report
// older than the last one of the same peer is ignored.
func (s *Scheduler) MergePressure(now time.Duration, peer string, p Pressure, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	measured := now - max(age, 0)
	if old, ok := s.peers[peer]; ok && old.measured > measured {
		return
	}
	s.peers[peer] = peerPressure{measured: measured, tier: p.HighestShed}
	clear(s.heldUntil)
	for name, x := range s.peers {
		until := x.measured + s.staleness
		switch {
		case until <= now:
			delete(s.peers, name)
		case x.tier > 0:
			s.heldUntil[x.tier] = max(s.heldUntil[x.tier], until)
		}
	}
	s.sync(now)
}

// lowestAllowed returns the lowest tier that may be dispatched in turn: the
// highest one that a peer sheds. The highest tier of this configuration is
// always allowed, also while a peer has another configuration.
func (s *Scheduler) lowestAllowed(now time.Duration) int {
	lowest := math.MaxInt
	for tier, until := range s.heldUntil {
		if now < until {
			lowest = min(lowest, tier)
		}
	}
	return max(lowest, s.top)
}

// Pressure returns this instance's pressure.
func (s *Scheduler) Pressure(now time.Duration) Pressure {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := Pressure{Queued: s.queue.Len()}
	for tier, at := range s.lastShed {
		if now-at <= shedMemory && (p.HighestShed == 0 || tier < p.HighestShed) {
			p.HighestShed = tier
		}
	}
	return p
}
