package balancer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Balancer selects upstreams of one model or service. It is safe for concurrent
// use. Methods take the monotonic time since process start; a time earlier than one
// seen before counts as the latest seen.
type Balancer struct {
	mu  sync.Mutex
	o   Options
	rng *rand.Rand
	now time.Duration // latest time seen

	pool          map[string]*upstream
	local, remote []*upstream // rings of the upstreams that aren't leaving
	rank, peers   int         // of this instance among the live ones of its domain
	subset        []*upstream // own domain first
	localCount    int         // upstreams of the own domain in subset
	epochs        uint32

	slots      slotTable
	hints      hints
	straggleAt time.Duration // next comparison

	// Buffers that are reused to avoid allocations.
	openLocal, openRemote, candidates []*upstream
	values                            []float64
}

// New returns a Balancer without upstreams. The Balancer uses rng only while it holds
// its own lock; rng must not be shared with other code.
func New(o Options, rng *rand.Rand) *Balancer {
	b := &Balancer{
		o: o.withDefaults(), rng: rng,
		pool: make(map[string]*upstream), slots: slotTable{free: noSlot},
	}
	b.setPeers(o.Peers)
	return b
}

// withDefaults fills in unset options and orders the limits.
func (o Options) withDefaults() Options {
	if o.SubsetSize <= 0 {
		o.SubsetSize = defaultSubsetSize
	}
	if o.InitialLimit <= 0 {
		o.InitialLimit = defaultInitialLimit
	}
	if o.MaxLimit <= 0 {
		o.MaxLimit = defaultMaxLimit
	}
	o.MinLimit = max(o.MinLimit, defaultMinLimit)
	o.MaxLimit = max(o.MaxLimit, o.MinLimit)
	return o
}

// advance returns the latest time seen, so that a late caller does not move state
// backwards.
func (b *Balancer) advance(now time.Duration) time.Duration {
	b.now = max(b.now, now)
	return b.now
}

// Update replaces the list of upstreams. Upstreams that remain keep their state
// unless their address changed. Requests in flight at a removed upstream are released
// by Done as usual. Of entries with the same name the first counts.
func (b *Balancer) Update(now time.Duration, ups []Upstream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now = b.advance(now)
	pool := make(map[string]*upstream, len(ups))
	for _, up := range ups {
		if _, ok := pool[up.Name]; ok {
			continue
		}
		u, known := b.pool[up.Name]
		if !known {
			u = newUpstream(up)
		}
		changed := !known || u.Address != up.Address || u.Domain != up.Domain
		u.Upstream = up
		u.remote = up.Domain != b.o.Domain
		if changed {
			b.resetLearned(u)
		}
		pool[up.Name] = u
	}
	b.pool = pool
	b.splitPool()
	b.rebuild(now)
}

// SetPeers replaces the list of live instances of this instance's failure domain.
func (b *Balancer) SetPeers(now time.Duration, instances []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now = b.advance(now)
	b.setPeers(instances)
	b.rebuild(now)
}

// SetTokenIntervalTarget replaces the longest acceptable mean time between tokens.
func (b *Balancer) SetTokenIntervalTarget(target time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.o.TokenIntervalTarget = target
}

// TokenIntervalTarget returns the longest acceptable mean time between tokens.
func (b *Balancer) TokenIntervalTarget() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.o.TokenIntervalTarget
}

// Free returns the number of open slots in the subset: the picks that would succeed
// now for requests that are neither isolated nor retries. It is 0 when the subset is
// full.
func (b *Balancer) Free(now time.Duration) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.free(b.advance(now))
}

// Room returns what Free returns, and the number of slots that the subset has in all.
func (b *Balancer) Room(now time.Duration) (open, total int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now = b.advance(now)
	for _, u := range b.subset {
		if !u.eject.ejected && !u.straggle.cut {
			total += u.capacity(now)
		}
	}
	return b.free(now), total
}

// Pick reserves a slot at an upstream. It returns false when no upstream may take the
// request now.
func (b *Balancer) Pick(now time.Duration, r Request) (Pick, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now = b.advance(now)
	u, probe := b.choose(now, r)
	if u == nil {
		return Pick{}, false
	}
	if probe {
		u.eject.probing = u.eject.ejected
		u.straggle.probeAt = now + probePeriod
	}
	token := b.slots.reserve(now, u, r.Isolated, probe && u.eject.ejected)
	u.report.dispatched()
	return Pick{Upstream: u.Upstream, Token: token}, true
}

// Done releases the slot of p and learns from r. Only the first call with the same
// token has an effect.
func (b *Balancer) Done(now time.Duration, p Pick, r Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now = b.advance(now)
	s, ok := b.slots.release(p.Token)
	if !ok {
		return
	}
	u := s.up
	if s.epoch != u.epoch {
		return // the result belongs to an earlier incarnation
	}
	u.report.done(s.dispatched)
	if s.probe {
		u.eject.probing = false
	}
	b.learn(now, u, &s, r)
}

// learn feeds the result of a request into the learned state of its upstream.
func (b *Balancer) learn(now time.Duration, u *upstream, s *slot, r Result) {
	if r.Status == Failed || r.Status == Crashed {
		if u.eject.fail(now, s.dispatched, s.probe) {
			v := b.view(Request{})
			u.eject.backOff(now, v.allEjected, b.rng)
		}
		if r.Status == Crashed {
			u.limit.value = min(u.limit.value, max(u.limit.min, b.o.InitialLimit))
		}
		return
	}
	if r.Status == OK || r.FirstToken > 0 {
		u.eject.succeed(s.dispatched)
	}
	x, ok := sampleOf(r, float64(u.latency.first))
	if !ok {
		return
	}
	u.latency.add(now, x)
	u.limit.observe(now, s.dispatched, x, u.inFlight+1, u.capacity(now), &limitContext{
		intervalTarget: b.o.TokenIntervalTarget.Seconds(),
		ceiling:        b.ceiling(u),
		queued:         u.report.fresh(now) && u.report.waiting > 0,
		idle:           u.report.fresh(now) && u.report.waiting == 0,
	})
}

// ReportLoad records an upstream's load report. A report older than the newest one
// known is ignored; a changed incarnation resets the learned state.
func (b *Balancer) ReportLoad(now time.Duration, upstream string, l LoadReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now = b.advance(now)
	if u, ok := b.pool[upstream]; ok {
		b.reportLoad(now, u, l)
	}
}

// CacheEvent records that an upstream's prefix cache gained or lost a prefix. prefix
// is the value that requests carry as Affinity.
func (b *Balancer) CacheEvent(now time.Duration, upstream string, prefix uint64, present bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now = b.advance(now)
	if u, ok := b.pool[upstream]; ok {
		b.hints.set(now, prefix, u.epoch, present)
	}
}

// Snapshot returns the state of the upstreams in the subset, in its order, followed
// by the other upstreams of the pool that have requests in flight.
func (b *Balancer) Snapshot(now time.Duration) []UpstreamState {
	b.mu.Lock()
	defer b.mu.Unlock()
	now = b.advance(now)
	b.updateStragglers(now)
	states := make([]UpstreamState, 0, len(b.subset))
	for _, u := range b.subset {
		states = append(states, u.state())
	}
	rest := len(states)
	for _, u := range b.pool {
		if !u.inSubset && u.inFlight > 0 {
			states = append(states, u.state())
		}
	}
	slices.SortFunc(states[rest:], func(x, y UpstreamState) int {
		return cmp.Compare(x.Upstream.Name, y.Upstream.Name)
	})
	return states
}

func (u *upstream) state() UpstreamState {
	seconds := func(a average) time.Duration { return time.Duration(float64(a) * float64(time.Second)) }
	return UpstreamState{
		Upstream: u.Upstream, InSubset: u.inSubset, Spillover: u.remote,
		InFlight: u.inFlight, Isolated: u.isolated > 0, Limit: u.limit.value,
		Straggler: u.straggle.cut, Ejected: u.eject.ejected,
		Failures: u.eject.failures, RetryAt: u.eject.retryAt,
		FirstToken: seconds(u.latency.first), TokenInterval: seconds(u.latency.interval),
	}
}
