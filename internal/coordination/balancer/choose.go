package balancer

import (
	"math"
	"slices"
	"time"
)

// candidateSet holds the upstreams that can serve a request, either those of the own
// failure domain or those of the others. Regular upstreams are those that are neither
// ejected nor skipped as stragglers.
type candidateSet struct {
	available    []*upstream // regular, with a free slot
	probe        *upstream   // due for a probe
	regularCount int         // regular upstreams, with or without a free slot
	inFlight     int         // sum over the regular upstreams
	capacity     int         // sum over the regular upstreams
}

// selectUpstream returns the upstream for r, or nil. probe reports whether the request is
// a probe of an ejected upstream or of a straggler.
func (b *Balancer) selectUpstream(now time.Duration, r Request) (u *upstream, probe bool) {
	b.updateStragglers(now)
	v := b.viewSubset(r)
	local := b.collectCandidates(now, r, v, b.subset[:b.localCount], b.localAvailable[:0])
	b.localAvailable = local.available
	if u := probeCandidate(&local, r, v); u != nil {
		return u, true
	}
	u = b.selectAvailable(now, r, &local)
	if u != nil && b.localCount == len(b.subset) {
		return u, false
	}
	remote := b.collectCandidates(now, r, v, b.subset[b.localCount:], b.remoteAvailable[:0])
	b.remoteAvailable = remote.available
	if u == nil {
		if candidate := probeCandidate(&remote, r, v); candidate != nil {
			return candidate, true
		}
		return b.selectAvailable(now, r, &remote), false
	}
	if candidate := b.selectAvailable(now, r, &remote); candidate != nil && predictedSlower(now, u, candidate) {
		return candidate, false
	}
	return u, false
}

// probeCandidate returns the upstream that r can probe, or nil. A retry or an isolated
// request is not used as a probe while a regular upstream exists.
func probeCandidate(c *candidateSet, r Request, v subsetView) *upstream {
	if (r.Isolated || len(r.Exclude) > 0) && v.regularCount > 0 {
		return nil
	}
	return c.probe
}

// subsetView is the state of the whole subset as far as it concerns one request.
type subsetView struct {
	ignoreExclude bool // every upstream of the subset is excluded
	regularCount  int  // upstreams that are not excluded, ejected or stragglers
	allEjected    bool
	useStragglers bool // no regular upstream exists, so stragglers are used
}

func (b *Balancer) viewSubset(r Request) subsetView {
	v := subsetView{ignoreExclude: true, allEjected: true}
	for _, u := range b.subset {
		if !excluded(u, r) {
			v.ignoreExclude = false
			break
		}
	}
	for _, u := range b.subset {
		v.allEjected = v.allEjected && u.ejection.ejected
		if v.admits(u, r) && !u.ejection.ejected && !u.straggler.straggling {
			v.regularCount++
		}
	}
	v.useStragglers = v.regularCount == 0
	return v
}

func (v *subsetView) admits(u *upstream, r Request) bool { return v.ignoreExclude || !excluded(u, r) }

func excluded(u *upstream, r Request) bool { return slices.Contains(r.Exclude, u.Name) }

// collectCandidates returns the candidates among upstreams. buffer is reused for the
// available ones.
func (b *Balancer) collectCandidates(now time.Duration, r Request, v subsetView, upstreams, buffer []*upstream) candidateSet {
	c := candidateSet{available: buffer}
	for _, u := range upstreams {
		if !v.admits(u, r) || r.Isolated && u.isolatedInFlight > 0 {
			continue
		}
		switch {
		case u.ejection.ejected:
			if u.ejection.probeDue(now, v.allEjected) && u.hasFreeSlot(now) {
				c.probe = u
			}
		case u.straggler.straggling && !v.useStragglers:
			if u.straggler.probeDue(now) && u.hasFreeSlot(now) && c.probe == nil {
				c.probe = u
			}
		default:
			c.regularCount++
			c.inFlight += u.inFlight
			c.capacity += u.capacity(now)
			if u.hasFreeSlot(now) {
				c.available = append(c.available, u)
			}
		}
	}
	return c
}

// selectAvailable selects one of the available upstreams. It returns nil if there is none.
func (b *Balancer) selectAvailable(now time.Duration, r Request, c *candidateSet) *upstream {
	switch {
	case len(c.available) == 0:
		return nil
	case len(c.available) == 1:
		return c.available[0]
	case r.Isolated:
		return fewestInFlight(c.available)
	}
	if r.PrefixHash != 0 {
		first, second := b.affinityCandidates(now, r.PrefixHash, c.available)
		if c.withinLoadBound(now, first) {
			return first
		}
		if c.withinLoadBound(now, second) {
			return second
		}
	}
	return b.powerOfTwoChoices(now, c.available)
}

// withinLoadBound reports whether u can take one more request under bounded loads: at
// most loadBoundFactor times its share of all requests, including the new one.
func (c *candidateSet) withinLoadBound(now time.Duration, u *upstream) bool {
	share := float64(u.capacity(now)) / float64(max(1, c.capacity))
	return float64(u.inFlight+1) <= math.Ceil(loadBoundFactor*float64(c.inFlight+1)*share)
}

// powerOfTwoChoices returns the less loaded of two random upstreams.
func (b *Balancer) powerOfTwoChoices(now time.Duration, upstreams []*upstream) *upstream {
	i := b.rng.IntN(len(upstreams))
	j := b.rng.IntN(len(upstreams) - 1)
	if j >= i {
		j++
	}
	if upstreams[j].relativeLoad(now) < upstreams[i].relativeLoad(now) {
		return upstreams[j]
	}
	return upstreams[i]
}

// relativeLoad returns the share of the slots in use plus the share of requests that are
// queued at the upstream according to its load report.
func (u *upstream) relativeLoad(now time.Duration) float64 {
	return float64(u.inFlight)/float64(max(1, u.capacity(now))) + u.loadReport.queuedShare(now)
}

func fewestInFlight(upstreams []*upstream) *upstream {
	best := upstreams[0]
	for _, u := range upstreams[1:] {
		if u.inFlight < best.inFlight {
			best = u
		}
	}
	return best
}

// countFreeSlots returns the number of successive calls of Pick that would succeed now for
// requests without exclusions.
func (b *Balancer) countFreeSlots(now time.Duration) int {
	b.updateStragglers(now)
	v := b.viewSubset(Request{})
	total := 0
	for _, u := range b.subset {
		open := max(0, u.capacity(now)-u.inFlight)
		switch {
		case u.ejection.ejected:
			if u.ejection.probeDue(now, v.allEjected) {
				total += min(1, open)
			}
		case u.straggler.straggling && !v.useStragglers:
			if u.straggler.probeDue(now) {
				total += min(1, open)
			}
		default:
			total += open
		}
	}
	return total
}
