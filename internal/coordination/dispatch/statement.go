package dispatch

import (
	"math"
	"slices"
	"time"
)

// Statement is what an upstream states about itself in an answer.
type Statement struct {
	// Limit is the number of requests per second that it takes from all instances together; 0 if it
	// states no limit, negative if the statement cannot be read.
	Limit float64
	// Leaving means that the process takes no new requests any more.
	Leaving bool
	// RetryAfter is how long it wants nothing from this instance; 0 if it states no such time.
	RetryAfter time.Duration
}

const (
	// statementLifetime is how long the statements of an upstream without an entry are kept. Entries
	// lapse while the platform is unavailable.
	statementLifetime = 5 * time.Minute
	// maxLapsedStatements bounds the number of upstreams without an entry whose statements are kept.
	maxLapsedStatements = 256
)

// stated is what the process of an upstream has stated and what holds until another process runs.
type stated struct {
	leaving bool
	// silentUntil is the time before which it wants no requests from this instance.
	silentUntil time.Duration
	// silenceStatedAt is when it stated that.
	silenceStatedAt time.Duration
}

// lapsedStatement is what an upstream without an entry has stated.
type lapsedStatement struct {
	id, incarnation string
	stated          stated
	lapsedAt        time.Duration
}

// RecordStatement records what the upstream of a grant states in its answer. It reports whether that differs
// from what it stated before, its limit aside.
func (d *Dispatcher) RecordStatement(now time.Duration, token uint64, s Statement) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	g := d.grants[token]
	if g == nil {
		return false
	}
	u, changed := g.upstream, false
	published := d.upstreams[u.ID]
	if published != nil && published.Incarnation == u.Incarnation {
		u = published
	}
	if s.Leaving && !u.stated.leaving {
		u.stated.leaving, u.leavingReported, changed = true, false, true
	}
	if s.RetryAfter > 0 {
		changed = changed || !u.silent(now)
		// The jitter keeps instances that were told at the same time from coming back together.
		jitter := time.Duration(d.rng.Float64() * float64(min(s.RetryAfter/maxReturnJitterFraction, maxReturnJitter)))
		u.stated.silentUntil, u.stated.silenceStatedAt = max(u.stated.silentUntil, now+s.RetryAfter+jitter), now
		u.returning = 1
	}
	if published == nil {
		d.keepLapsed(now, u)
	}
	return changed
}

const (
	// maxReturnJitter and one part in maxReturnJitterFraction of the stated time bound the random time
	// after which an instance sends to an upstream again that has stated when to come back.
	maxReturnJitter         = time.Second
	maxReturnJitterFraction = 5
)

// silent reports whether the upstream has stated that it wants no requests from this instance yet.
func (u *upstream) silent(now time.Duration) bool { return now < u.stated.silentUntil }

// full reports whether the upstream, which has wanted no requests for a while, has as many from this instance
// as it may get for now: one at first, and twice as many after each that succeeds.
func (u *upstream) full() bool { return u.returning > 0 && u.local.InFlight >= u.returning }

// heldBack reports whether the upstream may get no request now although it serves.
func (u *upstream) heldBack(now time.Duration) bool { return u.silent(now) || u.full() }

// recordSuccess raises the number of requests that an upstream which comes back may get.
func (u *upstream) recordSuccess() {
	if u.returning *= 2; u.returning >= u.Slots {
		u.returning = 0
	}
}

// decideHeldBack decides a request for which all upstreams are held back: it waits if one of them may get it
// before its target, and is rejected otherwise with the earliest time. ok is false if there is none.
func (d *Dispatcher) decideHeldBack(now time.Duration, r *Request) (decision Decision, ok bool) {
	var first *upstream
	for _, u := range d.byHash {
		if u.leaves() || !u.hasVersion(r) || u.ejected() || !u.heldBack(now) {
			continue
		}
		if first == nil || u.stated.silentUntil < first.stated.silentUntil {
			first = u
		}
	}
	if first == nil {
		return Decision{}, false
	}
	if wait := first.stated.silentUntil - now; first.stated.silentUntil > min(r.Target, r.Deadline) {
		return Decision{ID: r.ID, Rejection: &Rejection{Reason: ReasonSilent, Predicted: wait, RetryAfter: wait}}, true
	}
	return Decision{ID: r.ID, Wait: Wait{Reason: WaitSilent, Upstream: first.ID, Load: first.load()}}, true
}

// MaySend reports whether the upstream of a grant still takes requests: since the grant was given it may have
// stated otherwise, may be published no more, may have been evacuated or may have turned cold.
func (d *Dispatcher) MaySend(now time.Duration, token uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	g := d.grants[token]
	if g == nil {
		return true
	}
	current := d.upstreams[g.upstream.ID]
	return current != nil && current.isProcess(g.upstream) && !current.leaves() && !current.silent(now) && !current.Evacuated && (g.cold || !current.isCold(now))
}

// isProcess reports whether both are the same process at the same address.
func (u *upstream) isProcess(other *upstream) bool {
	return u.Incarnation == other.Incarnation && u.Address == other.Address
}

// leaves reports whether the upstream takes no new requests, as published or as stated.
func (u *upstream) leaves() bool { return u.Leaving || u.stated.leaving }

// LeavingUpstream is an upstream that has stated that it leaves.
type LeavingUpstream struct {
	Upstream Tag
	// Incarnation is the low half of the hash of the upstream's incarnation.
	Incarnation uint32
}

// mergeLeaving records what upstreams have stated to a peer.
func (d *Dispatcher) mergeLeaving(list []LeavingUpstream) {
	for _, l := range list {
		if u := d.byTag[l.Upstream]; u != nil && l.Incarnation == u.incarnationHash() {
			u.stated.leaving = true
		}
	}
}

// keepStatements keeps what upstreams have stated that are not among the next ones.
func (d *Dispatcher) keepStatements(now time.Duration, next map[string]*upstream) {
	for id, u := range d.upstreams {
		if next[id] == nil {
			d.keepLapsed(now, u)
		}
	}
	d.lapsedStatements = slices.DeleteFunc(d.lapsedStatements, func(l lapsedStatement) bool { return now-l.lapsedAt >= statementLifetime })
	d.lapsedStatements = d.lapsedStatements[max(0, len(d.lapsedStatements)-maxLapsedStatements):]
}

// keepLapsed keeps what an upstream without an entry has stated. If another process of it has lapsed since, that has
// taken its place.
func (d *Dispatcher) keepLapsed(now time.Duration, u *upstream) {
	if u.stated == (stated{}) {
		return
	}
	i := slices.IndexFunc(d.lapsedStatements, func(l lapsedStatement) bool { return l.id == u.ID })
	if i < 0 {
		d.lapsedStatements = append(d.lapsedStatements, lapsedStatement{id: u.ID, incarnation: u.Incarnation, stated: u.stated, lapsedAt: now})
		return
	}
	if l := &d.lapsedStatements[i]; l.incarnation == u.Incarnation {
		l.stated = stated{leaving: l.stated.leaving || u.stated.leaving, silentUntil: max(l.stated.silentUntil, u.stated.silentUntil),
			silenceStatedAt: max(l.stated.silenceStatedAt, u.stated.silenceStatedAt)}
	}
}

// restoreStatements gives an upstream what the same process stated before its entry changed, in old, or
// lapsed. The entry of a process may come after its first answers: when to come back is kept if it was stated after the start.
// That it leaves is not, since the clocks may differ and it would hold for good.
func (d *Dispatcher) restoreStatements(u, old *upstream) {
	if old != nil {
		switch {
		case old.Incarnation == u.Incarnation:
			u.stated = old.stated
		case u.StartedAt != 0 && old.stated.silenceStatedAt > u.StartedAt:
			u.stated = stated{silentUntil: old.stated.silentUntil, silenceStatedAt: old.stated.silenceStatedAt}
			u.returning = old.returning
		}
		return
	}
	i := slices.IndexFunc(d.lapsedStatements, func(l lapsedStatement) bool { return l.id == u.ID })
	if i < 0 {
		return
	}
	if d.lapsedStatements[i].incarnation == u.Incarnation {
		u.stated = d.lapsedStatements[i].stated
	}
	d.lapsedStatements = slices.Delete(d.lapsedStatements, i, i+1)
}

// LimitReadable reports whether the limit could be read.
func (s Statement) LimitReadable() bool { return s.Limit >= 0 && !math.IsNaN(s.Limit) }
