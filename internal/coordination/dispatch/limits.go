package dispatch

import (
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccabridge/yuccabridge/internal/coordination/sharedlimit"
)

// RecordLimit records that the upstream has answered, and the limit in requests per second that
// the answer states; 0 if it states none. It reports whether the limit has changed.
func (d *Dispatcher) RecordLimit(now time.Duration, token uint64, rate float64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	g := d.grants[token]
	if g == nil {
		return false
	}
	g.upstream.limitAnswered(token)
	if !g.upstream.limiter.Observe(now, g.sentAt, rate) {
		return false
	}
	g.upstream.limitReported = false
	d.placeInHolderOrder(now, g.upstream)
	return true
}

// RecordNotSent records that no byte of the request was sent to its upstream.
func (d *Dispatcher) RecordNotSent(token uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if g := d.grants[token]; g != nil {
		g.upstream.limiter.NotSent(token)
		g.upstream.cold.limiter.NotSent(token)
	}
}

// SetInstances sets the names of this instance and of the other live ones, among which the holders
// of limits are chosen.
func (d *Dispatcher) SetInstances(now time.Duration, self string, others []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.self = xxhash.Sum64String(self)
	d.instances = append(d.instances[:0], d.self)
	for _, name := range others {
		d.instances = append(d.instances, xxhash.Sum64String(name))
	}
	slices.Sort(d.instances)
	d.instances = slices.Compact(d.instances)
	for u := range d.all() {
		if u.limiter.Limited() {
			d.placeInHolderOrder(now, u)
		}
	}
}

// Leave ends the sending to limited upstreams because this instance leaves the fleet: another one
// takes its place as soon as it learns of that.
func (d *Dispatcher) Leave(now time.Duration) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leaving = true
	for u := range d.all() {
		if u.limiter.Limited() {
			d.placeInHolderOrder(now, u)
		}
		if u.isCold(now) {
			d.placeInColdOrder(now, u)
		}
	}
}

// placeInHolderOrder updates the position of this instance in the order of the upstream's holders:
// the live instances in rendezvous hash order.
func (d *Dispatcher) placeInHolderOrder(now time.Duration, u *upstream) {
	u.limiter.SetPosition(now, d.holderPosition(u, d.instances), len(d.instances))
}

// holderPosition returns the position of this instance in the order of the upstream's holders: the given instances in
// rendezvous hash order.
func (d *Dispatcher) holderPosition(u *upstream, instances []uint64) int {
	if d.leaving {
		return math.MaxInt
	}
	own, position := rendezvousHash(u.nameHash, d.self), 0
	for _, instance := range instances {
		if rendezvousHash(u.nameHash, instance) > own {
			position++
		}
	}
	return position
}

// incarnationHash returns the low half of the hash of the upstream's incarnation.
func (u *upstream) incarnationHash() uint32 { return uint32(xxhash.Sum64String(u.Incarnation)) }

// onlyHeldBack reports whether there are upstreams that only what they have stated keeps from receiving
// the request in this pass. Upstreams of the next pass, which are most likely down, are no substitute.
func (d *Dispatcher) onlyHeldBack(now time.Duration, r *Request, pass int) bool {
	for _, u := range d.byHash {
		if (u.limited(now) || u.heldBack(now)) && d.available(u, r, pass) {
			return true
		}
	}
	return false
}

// decideWithoutUpstream decides a request that no upstream may receive now. If limits are the
// cause, it waits while this instance may send it before its target, and is rejected otherwise
// with the time until the limits are predicted to allow it.
func (d *Dispatcher) decideWithoutUpstream(now time.Duration, r *Request) Decision {
	var held, all float64 // rates in requests per second: of this instance, of all
	var next *upstream    // that this instance may send to first
	var nextAt time.Duration
	for _, u := range d.byHash {
		if !u.limited(now) || u.leaves() || !u.hasVersion(r) || u.ejected() {
			continue
		}
		all += u.limitedRate(now)
		if at, rate, ok := u.nextPermitted(now); ok {
			held += rate
			if next == nil || at < nextAt {
				next, nextAt = u, at
			}
		}
	}
	if all == 0 {
		if decision, ok := d.decideHeldBack(now, r); ok {
			return decision
		}
		return d.rejectWithoutUpstream(now, r)
	}
	if next != nil {
		predicted := nextAt + time.Duration(float64(d.waitingBefore(r))/held*float64(time.Second))
		if predicted <= min(r.Target, r.Deadline) {
			return Decision{ID: r.ID, Wait: Wait{Reason: WaitLimit, Upstream: next.ID, Load: next.load()}}
		}
		return d.reject(now, r, ReasonLimit, predicted-now)
	}
	return d.reject(now, r, ReasonLimit, time.Duration(float64(1+len(d.waiting))/all*float64(time.Second)))
}

// rejectWithoutUpstream rejects a request for want of an upstream.
func (d *Dispatcher) rejectWithoutUpstream(now time.Duration, r *Request) Decision {
	for _, u := range d.evacuated {
		if !u.leaves() && u.hasVersion(r) && !u.ejected() {
			return d.reject(now, r, ReasonEvacuated, evacuatedRetryAfter)
		}
	}
	if r.Version != nil {
		return d.reject(now, r, ReasonNoVersion, 0)
	}
	return d.reject(now, r, ReasonNoUpstream, 0)
}

// waitingBefore returns the number of waiting requests that are served before the request.
func (d *Dispatcher) waitingBefore(r *Request) int {
	n := 0
	for _, w := range d.waiting {
		other := &w.request
		if other.Rank < r.Rank || other.Rank == r.Rank && other.ID < r.ID {
			n++
		}
	}
	return n
}

// StatedLimit returns the rate to be recorded for a limit that an upstream states.
func StatedLimit(requestsPerSecond float64) float64 { return sharedlimit.StatedRate(requestsPerSecond) }

const (
	// lapsedLimitLifetime is how long the limit of an upstream without an entry is kept. Entries
	// lapse while the platform is unavailable.
	lapsedLimitLifetime = 5 * time.Minute
	// maxLapsedLimits bounds the number of limits of upstreams without an entry.
	maxLapsedLimits = 256
)

// lapsedLimit is the limit of an upstream that has no entry.
type lapsedLimit struct {
	id, incarnation string
	limiter         sharedlimit.Limiter
	lapsedAt        time.Duration
}

// keepLimits keeps the limits of upstreams that are not among the next ones.
func (d *Dispatcher) keepLimits(now time.Duration, next map[string]*upstream) {
	for id, u := range d.upstreams {
		if next[id] == nil && u.limiter.Limited() {
			d.lapsedLimits = append(d.lapsedLimits, lapsedLimit{id: id, incarnation: u.Incarnation, limiter: u.limiter, lapsedAt: now})
		}
	}
	d.lapsedLimits = slices.DeleteFunc(d.lapsedLimits, func(l lapsedLimit) bool { return now-l.lapsedAt >= lapsedLimitLifetime })
	d.lapsedLimits = d.lapsedLimits[max(0, len(d.lapsedLimits)-maxLapsedLimits):]
}

// restoreLimit gives an upstream the limit that the same process had before its entry changed, in old,
// or lapsed.
func (d *Dispatcher) restoreLimit(now time.Duration, u, old *upstream) {
	switch i := slices.IndexFunc(d.lapsedLimits, func(l lapsedLimit) bool { return l.id == u.ID }); {
	case old != nil && old.Incarnation == u.Incarnation:
		u.limiter = old.limiter
	case i >= 0:
		if d.lapsedLimits[i].incarnation == u.Incarnation {
			u.limiter = d.lapsedLimits[i].limiter
		}
		d.lapsedLimits = slices.Delete(d.lapsedLimits, i, i+1)
	}
	if u.limiter.Limited() {
		d.placeInHolderOrder(now, u)
	}
}
