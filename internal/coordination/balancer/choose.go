package balancer

import (
	"math"
	"slices"
	"time"
)

// choice collects the upstreams of one domain group that can serve a request.
type choice struct {
	open     []*upstream // regular, with room
	probe    *upstream   // due for a probe
	regular  int         // regular upstreams, with or without room
	inFlight int         // over the regular upstreams
	capacity int         // over the regular upstreams
}

// choose selects the upstream for r; probe tells that it is cut or ejected.
func (b *Balancer) choose(now time.Duration, r Request) (u *upstream, probe bool) {
	b.updateStragglers(now)
	v := b.view(r)
	local := b.collect(now, r, v, b.subset[:b.localCount], b.openLocal[:0])
	b.openLocal = local.open
	if u := probeOf(&local, r, v); u != nil {
		return u, true
	}
	u = b.among(now, r, &local)
	if u != nil && b.localCount == len(b.subset) {
		return u, false
	}
	remote := b.collect(now, r, v, b.subset[b.localCount:], b.openRemote[:0])
	b.openRemote = remote.open
	if u == nil {
		if p := probeOf(&remote, r, v); p != nil {
			return p, true
		}
		return b.among(now, r, &remote), false
	}
	if s := b.among(now, r, &remote); s != nil && slower(now, u, s) {
		return s, false
	}
	return u, false
}

// probeOf returns the upstream that r probes, if any. A retry or a suspect is not
// spent on a probe while a regular upstream exists.
func probeOf(c *choice, r Request, v view) *upstream {
	if (r.Isolated || len(r.Exclude) > 0) && v.regular > 0 {
		return nil
	}
	return c.probe
}

// view is what the whole subset offers to one request.
type view struct {
	ignoreExclude bool // every upstream of the subset was tried
	regular       int  // upstreams neither excluded, ejected nor cut
	allEjected    bool
	useCut        bool // no regular upstream exists, so cut ones serve
}

func (b *Balancer) view(r Request) view {
	v := view{ignoreExclude: true, allEjected: true}
	for _, u := range b.subset {
		if !excluded(u, r) {
			v.ignoreExclude = false
			break
		}
	}
	for _, u := range b.subset {
		v.allEjected = v.allEjected && u.eject.ejected
		if v.admits(u, r) && !u.eject.ejected && !u.straggle.cut {
			v.regular++
		}
	}
	v.useCut = v.regular == 0
	return v
}

func (v *view) admits(u *upstream, r Request) bool { return v.ignoreExclude || !excluded(u, r) }

func excluded(u *upstream, r Request) bool { return slices.Contains(r.Exclude, u.Name) }

// collect sorts the upstreams of one domain group into open ones and a due probe.
func (b *Balancer) collect(now time.Duration, r Request, v view, ups, open []*upstream) choice {
	c := choice{open: open}
	for _, u := range ups {
		if !v.admits(u, r) || r.Isolated && u.isolated > 0 {
			continue
		}
		switch {
		case u.eject.ejected:
			if u.eject.probeDue(now, v.allEjected) && u.hasRoom(now) {
				c.probe = u
			}
		case u.straggle.cut && !v.useCut:
			if u.straggle.probeDue(now) && u.hasRoom(now) && c.probe == nil {
				c.probe = u
			}
		default:
			c.regular++
			c.inFlight += u.inFlight
			c.capacity += u.capacity(now)
			if u.hasRoom(now) {
				c.open = append(c.open, u)
			}
		}
	}
	return c
}

// among selects one of the open upstreams, or nil.
func (b *Balancer) among(now time.Duration, r Request, c *choice) *upstream {
	switch {
	case len(c.open) == 0:
		return nil
	case len(c.open) == 1:
		return c.open[0]
	case r.Isolated:
		return fewestInFlight(c.open)
	}
	if r.Affinity != 0 {
		first, second := b.rendezvous(now, r.Affinity, c.open)
		if c.withinBound(now, first) {
			return first
		}
		if c.withinBound(now, second) {
			return second
		}
	}
	return b.lessLoadedOfTwo(now, c.open)
}

// withinBound reports whether u may take one more request by bounded loads: at most
// boundFactor times its share of all requests, the arriving one included.
func (c *choice) withinBound(now time.Duration, u *upstream) bool {
	share := float64(u.capacity(now)) / float64(max(1, c.capacity))
	return float64(u.inFlight+1) <= math.Ceil(boundFactor*float64(c.inFlight+1)*share)
}

func (b *Balancer) lessLoadedOfTwo(now time.Duration, ups []*upstream) *upstream {
	i := b.rng.IntN(len(ups))
	j := b.rng.IntN(len(ups) - 1)
	if j >= i {
		j++
	}
	if ups[j].load(now) < ups[i].load(now) {
		return ups[j]
	}
	return ups[i]
}

// load is the used share of the open slots, plus the share of requests that wait at
// the upstream according to its load report.
func (u *upstream) load(now time.Duration) float64 {
	return float64(u.inFlight)/float64(max(1, u.capacity(now))) + u.report.queueShare(now)
}

func fewestInFlight(ups []*upstream) *upstream {
	best := ups[0]
	for _, u := range ups[1:] {
		if u.inFlight < best.inFlight {
			best = u
		}
	}
	return best
}

// free counts the successive picks of requests without exclusions that would succeed
// now.
func (b *Balancer) free(now time.Duration) int {
	b.updateStragglers(now)
	v := b.view(Request{})
	n := 0
	for _, u := range b.subset {
		open := max(0, u.capacity(now)-u.inFlight)
		switch {
		case u.eject.ejected:
			if u.eject.probeDue(now, v.allEjected) {
				n += min(1, open)
			}
		case u.straggle.cut && !v.useCut:
			if u.straggle.probeDue(now) {
				n += min(1, open)
			}
		default:
			n += open
		}
	}
	return n
}
