package balancer

import (
	"slices"
	"time"
)

const (
	// stragglerEnter and stragglerLeave are multiples of the median of the peers.
	// Hysteresis keeps an upstream near the bound from being cut and restored again.
	stragglerEnter = 2
	stragglerLeave = 1.5
	// stragglerShare is the largest share of the subset that is cut, as a divisor.
	stragglerShare = 3
	// stragglerPeriod is the time between two comparisons of the subset.
	stragglerPeriod = 250 * time.Millisecond
	// probePeriod is the time between two probes of a cut upstream.
	probePeriod = time.Second
)

// straggle is the straggler state of one upstream.
type straggle struct {
	cut     bool
	probeAt time.Duration // next probe while cut
	ratio   float64       // largest latency relative to the median of the peers
}

// updateStragglers compares the upstreams of the subset with each other.
func (b *Balancer) updateStragglers(now time.Duration) {
	if now < b.straggleAt {
		return
	}
	b.straggleAt = now + stragglerPeriod
	for _, u := range b.subset {
		u.straggle.ratio = 0
	}
	b.compare(now, func(u *upstream) float64 { return float64(u.latency.first) })
	b.compare(now, func(u *upstream) float64 { return float64(u.latency.interval) })
	b.candidates = b.candidates[:0]
	for _, u := range b.subset {
		s := &u.straggle
		if s.ratio > stragglerEnter || s.cut && s.ratio > stragglerLeave {
			b.candidates = append(b.candidates, u)
		} else {
			s.cut = false
		}
	}
	slices.SortStableFunc(b.candidates, func(x, y *upstream) int {
		switch {
		case x.straggle.ratio > y.straggle.ratio:
			return -1
		case x.straggle.ratio < y.straggle.ratio:
			return 1
		}
		return 0
	})
	room := len(b.subset) / stragglerShare
	for i, u := range b.candidates {
		cut := i < room
		if cut && !u.straggle.cut {
			u.straggle.probeAt = now + probePeriod
		}
		u.straggle.cut = cut
	}
}

// compare raises the ratio of each upstream to its latency relative to the median of
// the other upstreams.
func (b *Balancer) compare(now time.Duration, of func(*upstream) float64) {
	values := b.values[:0]
	for _, u := range b.subset {
		if x := of(u); x > 0 && u.latency.valid(now) {
			values = append(values, x)
		}
	}
	b.values = values
	if len(values) < 2 {
		return
	}
	slices.Sort(values)
	for _, u := range b.subset {
		x := of(u)
		if x <= 0 || !u.latency.valid(now) {
			continue
		}
		if m := medianWithout(values, x); x > m+latencySlack {
			u.straggle.ratio = max(u.straggle.ratio, x/m)
		}
	}
}

// medianWithout returns the median of the sorted values after removing one x.
func medianWithout(values []float64, x float64) float64 {
	at, _ := slices.BinarySearch(values, x)
	get := func(i int) float64 {
		if i >= at {
			i++
		}
		return values[i]
	}
	n := len(values) - 1
	if n%2 == 1 {
		return get(n / 2)
	}
	return (get(n/2-1) + get(n/2)) / 2
}

func (s *straggle) probeDue(now time.Duration) bool { return s.cut && now >= s.probeAt }
