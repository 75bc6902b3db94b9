package dispatch

import (
	"iter"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccabridge/yuccabridge/internal/coordination/sharedlimit"
)

// coldState is what the dispatcher knows of an upstream that has started lately or has turned cold. Such an upstream
// is idle, so all instances would choose it at once. Only a few of them send to it, at intervals; see package sharedlimit.
type coldState struct {
	until   time.Duration // it counts as cold before
	limiter sharedlimit.Limiter
	// processEnded is set once a dial has found no listener: another process will answer next.
	processEnded bool
}

// ColdCause is why an upstream counts as cold.
type ColdCause string

// Causes.
const (
	// ColdPublished means that its entry says so.
	ColdPublished ColdCause = "published"
	// ColdReturned means that the evacuation of its failure domain has ended. Its entry may follow later.
	ColdReturned ColdCause = "returned"
	// ColdRestarted means that it answers again after its process had ended. Its entry may be old.
	ColdRestarted ColdCause = "restarted"
)

// ColdUpstream describes an upstream that has turned cold.
type ColdUpstream struct {
	ID     string
	Cause  ColdCause
	For    time.Duration
	Rate   float64 // requests per second of all instances together
	Holder bool    // this instance sends to it meanwhile
}

// maxNewlyCold bounds the upstreams that TakeNewlyCold reports at a time.
const maxNewlyCold = 1024

// isCold reports whether the upstream counts as cold and takes few requests meanwhile.
func (u *upstream) isCold(now time.Duration) bool { return u.ColdRate > 0 && now < u.cold.until }

// applyPublished updates an upstream to what is published; old is what was known under its ID, nil if nothing was. One
// whose evacuation has ended counts as cold for the time after a start: it may have turned cold before its entry says so.
func (d *Dispatcher) applyPublished(now time.Duration, u, old *upstream, published Upstream) {
	returned := old != nil && old.Evacuated && !published.Evacuated
	if old != nil && old != u && old.Incarnation == u.Incarnation {
		u.cold, u.returnedAt = old.cold, old.returnedAt
	}
	u.Upstream = published
	d.turnCold(now, u, published.ColdUntil, ColdPublished)
	if returned {
		d.turnCold(now, u, now+published.ColdTime, ColdReturned)
		u.returnedAt = max(now, u.cold.until)
	}
}

// turnCold makes the upstream count as cold until a time at least.
func (d *Dispatcher) turnCold(now time.Duration, u *upstream, until time.Duration, cause ColdCause) {
	if u.ColdRate <= 0 || until <= max(now, u.cold.until) {
		return
	}
	wasCold := u.isCold(now)
	u.cold.until = until
	if wasCold {
		return
	}
	u.cold.limiter = sharedlimit.Limiter{}
	u.cold.limiter.Impose(now, u.ColdRate)
	d.placeInColdOrder(now, u)
	if len(d.newlyCold) < maxNewlyCold {
		d.newlyCold = append(d.newlyCold, ColdUpstream{ID: u.ID, Cause: cause, For: until - now, Rate: u.ColdRate, Holder: u.cold.limiter.Holder()})
	}
}

// TakeNewlyCold returns the upstreams that have turned cold since the last call.
func (d *Dispatcher) TakeNewlyCold() []ColdUpstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	list := d.newlyCold
	d.newlyCold = nil
	return list
}

// ColdUpstreams returns the number of upstreams that count as cold.
func (d *Dispatcher) ColdUpstreams(now time.Duration) int {
	d.mu.Lock()
	defer d.mu.Unlock()
	n := 0
	for u := range d.all() {
		if u.isCold(now) {
			n++
		}
	}
	return n
}

// SetKnownInstances sets the names of all instances that may be running, this one included, also of those that cannot be
// reached; none if this instance does not know them yet. Among them the instances that send to a cold upstream are
// chosen: instances that cannot reach each other choose alike as long as they have known each other.
func (d *Dispatcher) SetKnownInstances(now time.Duration, names []string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.membersUnknown = len(names) == 0
	d.known = d.known[:0]
	for _, name := range names {
		d.known = append(d.known, xxhash.Sum64String(name))
	}
	slices.Sort(d.known)
	d.known = slices.Compact(d.known)
	for u := range d.all() {
		if u.isCold(now) { // the others are placed when they turn cold
			d.placeInColdOrder(now, u)
		}
	}
}

// placeInColdOrder updates the position of this instance in the order in which instances may send to the upstream
// while it is cold. An instance that does not know the others sends nothing to it: they may send all that it takes.
func (d *Dispatcher) placeInColdOrder(now time.Duration, u *upstream) {
	position := d.holderPosition(u, d.known)
	if d.membersUnknown {
		position = math.MaxInt
	}
	u.cold.limiter.SetPosition(now, position, len(d.known))
}

// RecordProcessEnd records that the process of an upstream has ended: a dial has found no listener.
func (d *Dispatcher) RecordProcessEnd(id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if u := d.upstreams[id]; u != nil {
		u.cold.processEnded = true
	}
}

// recordReachable records that the upstream answers. If its process had ended, another one has started, which its entry may
// not show yet.
func (d *Dispatcher) recordReachable(now time.Duration, u *upstream) {
	u.connectFailures, u.nextProbeAt = 0, 0
	if u.cold.processEnded {
		u.cold.processEnded = false
		d.turnCold(now, u, now+u.ColdTime, ColdRestarted)
	}
}

// all returns the upstreams, also those of evacuated failure domains.
func (d *Dispatcher) all() iter.Seq[*upstream] {
	return func(yield func(*upstream) bool) {
		for _, list := range [][]*upstream{d.byHash, d.evacuated} {
			for _, u := range list {
				if !yield(u) {
					return
				}
			}
		}
	}
}

// limited reports whether the upstream has a limit, stated or because it is cold.
func (u *upstream) limited(now time.Duration) bool { return u.limiter.Limited() || u.isCold(now) }

// permitted reports whether this instance may send a request to the upstream now, as far as limits are concerned.
func (u *upstream) permitted(now time.Duration) bool {
	return u.limiter.Permitted(now) && (!u.isCold(now) || u.cold.limiter.Permitted(now))
}

// limitedRate returns the requests per second that a limited upstream takes from all instances together.
func (u *upstream) limitedRate(now time.Duration) float64 {
	switch {
	case !u.isCold(now):
		return u.limiter.Limit().Rate
	case !u.limiter.Limited():
		return u.ColdRate
	}
	return min(u.limiter.Limit().Rate, u.ColdRate)
}

// nextPermitted returns when this instance may send its next request to a limited upstream, and the rate in requests
// per second at which it may go on; ok is false if it may send none.
func (u *upstream) nextPermitted(now time.Duration) (at time.Duration, rate float64, ok bool) {
	if u.limiter.Limited() {
		if at, ok = u.limiter.NextAt(now); !ok {
			return 0, 0, false
		}
		rate = 1 / u.limiter.Interval().Seconds()
	}
	if !u.isCold(now) {
		return at, rate, true
	}
	coldAt, ok := u.cold.limiter.NextAt(now)
	coldRate := 1 / u.cold.limiter.Interval().Seconds()
	if rate == 0 || coldRate < rate {
		rate = coldRate
	}
	return max(at, min(coldAt, u.cold.until)), rate, ok
}

// limitAnswered records that the upstream has answered a request.
func (u *upstream) limitAnswered(token uint64) {
	u.limiter.Answered(token)
	u.cold.limiter.Answered(token)
}
