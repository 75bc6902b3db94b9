package scheduler

import (
	"math"
	"time"
)

// shedPressureDuration is the time for which a shed request counts as pressure.
const shedPressureDuration = time.Second

// peerPressure is the last pressure report of a peer.
type peerPressure struct {
	measuredAt  time.Duration
	highestShed int // 0 if no tier was shed
}

// MergePressure records a pressure report of a peer. age is the time since the peer measured
// the pressure. A report older than the last one of the same peer is ignored.
func (s *Scheduler) MergePressure(now time.Duration, peer string, p Pressure, age time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	measuredAt := now - max(age, 0)
	if last, ok := s.peers[peer]; ok && last.measuredAt > measuredAt {
		return
	}
	s.peers[peer] = peerPressure{measuredAt: measuredAt, highestShed: p.HighestShed}
	clear(s.peerShedUntil)
	for peerName, report := range s.peers {
		until := report.measuredAt + s.maxPeerPressureAge
		switch {
		case until <= now:
			delete(s.peers, peerName)
		case report.highestShed > 0:
			s.peerShedUntil[report.highestShed] = max(s.peerShedUntil[report.highestShed], until)
		}
	}
	s.updateCapacity(now)
}

// lowestTierAllowedByPeers returns the lowest tier that may be dispatched in regular order: the
// highest one that a peer sheds. The highest tier of this configuration is
// always allowed, even if a peer with a different configuration sheds a higher one.
func (s *Scheduler) lowestTierAllowedByPeers(now time.Duration) int {
	lowest := math.MaxInt
	for tier, until := range s.peerShedUntil {
		if now < until {
			lowest = min(lowest, tier)
		}
	}
	return max(lowest, s.topTier)
}

// Pressure returns the pressure to report to peers.
func (s *Scheduler) Pressure(now time.Duration) Pressure {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := Pressure{Queued: s.queue.Len()}
	for tier, at := range s.lastShed {
		if now-at <= shedPressureDuration && (p.HighestShed == 0 || tier < p.HighestShed) {
			p.HighestShed = tier
		}
	}
	return p
}
