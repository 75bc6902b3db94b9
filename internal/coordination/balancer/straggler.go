package balancer

import (
	"slices"
	"time"
)

const (
	// stragglerEnterRatio and stragglerLeaveRatio are multiples of the median latency of
	// the other upstreams. The hysteresis keeps an upstream near the threshold from being
	// marked and cleared repeatedly.
	stragglerEnterRatio = 2
	stragglerLeaveRatio = 1.5
	// maxStragglersDivisor divides the size of the subset to give the largest number of
	// stragglers.
	maxStragglersDivisor = 3
	// stragglerCheckPeriod is the time between comparisons of the upstreams in the subset.
	stragglerCheckPeriod = 250 * time.Millisecond
	// stragglerProbePeriod is the time between probes of a straggler.
	stragglerProbePeriod = time.Second
)

// stragglerState is the straggler state of one upstream.
type stragglerState struct {
	straggling  bool
	nextProbeAt time.Duration // while straggling
	ratio       float64       // largest latency relative to the median of the other upstreams
}

// updateStragglers compares the latencies of the upstreams in the subset and marks the
// stragglers.
func (b *Balancer) updateStragglers(now time.Duration) {
	if now < b.nextStragglerCheck {
		return
	}
	b.nextStragglerCheck = now + stragglerCheckPeriod
	for _, u := range b.subset {
		u.straggler.ratio = 0
	}
	b.compareLatency(now, func(u *upstream) float64 { return float64(u.latency.firstToken) })
	b.compareLatency(now, func(u *upstream) float64 { return float64(u.latency.tokenInterval) })
	b.stragglerCandidates = b.stragglerCandidates[:0]
	for _, u := range b.subset {
		s := &u.straggler
		if s.ratio > stragglerEnterRatio || s.straggling && s.ratio > stragglerLeaveRatio {
			b.stragglerCandidates = append(b.stragglerCandidates, u)
		} else {
			s.straggling = false
		}
	}
	slices.SortStableFunc(b.stragglerCandidates, func(x, y *upstream) int {
		switch {
		case x.straggler.ratio > y.straggler.ratio:
			return -1
		case x.straggler.ratio < y.straggler.ratio:
			return 1
		}
		return 0
	})
	maxStragglers := len(b.subset) / maxStragglersDivisor
	for i, u := range b.stragglerCandidates {
		straggling := i < maxStragglers
		if straggling && !u.straggler.straggling {
			u.straggler.nextProbeAt = now + stragglerProbePeriod
		}
		u.straggler.straggling = straggling
	}
}

// compareLatency raises the ratio of each upstream to its latency relative to the median
// of the other upstreams, where that is higher.
func (b *Balancer) compareLatency(now time.Duration, latencyOf func(*upstream) float64) {
	latencies := b.latencies[:0]
	for _, u := range b.subset {
		if latency := latencyOf(u); latency > 0 && u.latency.valid(now) {
			latencies = append(latencies, latency)
		}
	}
	b.latencies = latencies
	if len(latencies) < 2 {
		return
	}
	slices.Sort(latencies)
	for _, u := range b.subset {
		latency := latencyOf(u)
		if latency <= 0 || !u.latency.valid(now) {
			continue
		}
		if median := medianExcluding(latencies, latency); latency > median+latencySlackSeconds {
			u.straggler.ratio = max(u.straggler.ratio, latency/median)
		}
	}
}

// medianExcluding returns the median of the sorted values without one occurrence of
// removed.
func medianExcluding(values []float64, removed float64) float64 {
	removedIndex, _ := slices.BinarySearch(values, removed)
	valueAt := func(i int) float64 {
		if i >= removedIndex {
			i++
		}
		return values[i]
	}
	n := len(values) - 1
	if n%2 == 1 {
		return valueAt(n / 2)
	}
	return (valueAt(n/2-1) + valueAt(n/2)) / 2
}

func (s *stragglerState) probeDue(now time.Duration) bool {
	return s.straggling && now >= s.nextProbeAt
}
