package balancer

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"
)

// Balancer selects upstreams of one model or service. It is safe for concurrent
// use. Methods take the monotonic time since process start; a time before the latest
// one passed to any method is replaced by the latest one.
type Balancer struct {
	mu         sync.Mutex
	opts       Options
	rng        *rand.Rand
	latestTime time.Duration // latest time passed to a method

	pool                  map[string]*upstream
	localRing, remoteRing []*upstream // upstreams that are not leaving, in ring order
	rank, peerCount       int         // of this instance among the live instances of its failure domain
	subset                []*upstream // upstreams of the own failure domain first
	localCount            int         // number of upstreams of the own failure domain in subset
	lastEpoch             uint32

	slots              slotTable
	cacheHints         cacheHintTable
	nextStragglerCheck time.Duration // time of the next comparison

	// Buffers reused to avoid allocations.
	localAvailable, remoteAvailable, stragglerCandidates []*upstream
	latencies                                            []float64
}

// New returns a Balancer without upstreams. The Balancer uses rng only while it holds
// its own lock; rng must not be shared with other code.
func New(o Options, rng *rand.Rand) *Balancer {
	b := &Balancer{
		opts: o.withDefaults(), rng: rng,
		pool: make(map[string]*upstream), slots: slotTable{freeHead: noSlot},
	}
	b.setPeers(o.Peers)
	return b
}

// withDefaults sets unset options to their defaults and ensures MinLimit <= MaxLimit.
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

// advanceClock returns the latest time passed to any method. A caller that obtained its
// time before waiting for the lock must not move the state back in time.
func (b *Balancer) advanceClock(now time.Duration) time.Duration {
	b.latestTime = max(b.latestTime, now)
	return b.latestTime
}

// SetUpstreams replaces the list of upstreams. Upstreams that remain keep their state
// unless their address changed. Requests in flight at a removed upstream are released
// by Done as usual. If several entries have the same name, the first is used.
func (b *Balancer) SetUpstreams(now time.Duration, upstreams []Upstream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now = b.advanceClock(now)
	pool := make(map[string]*upstream, len(upstreams))
	for _, entry := range upstreams {
		if _, ok := pool[entry.Name]; ok {
			continue
		}
		u, known := b.pool[entry.Name]
		if !known {
			u = newUpstream(entry)
		}
		changed := !known || u.Address != entry.Address || u.Domain != entry.Domain
		u.Upstream = entry
		u.remote = entry.Domain != b.opts.Domain
		if changed {
			b.resetLearnedState(u)
		}
		pool[entry.Name] = u
	}
	b.pool = pool
	b.rebuildRings()
	b.rebuildSubset(now)
}

// SetPeers replaces the list of live instances of this instance's failure domain.
func (b *Balancer) SetPeers(now time.Duration, instances []string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now = b.advanceClock(now)
	b.setPeers(instances)
	b.rebuildSubset(now)
}

// SetTokenIntervalTarget sets the inter-token target, see Options.TokenIntervalTarget.
func (b *Balancer) SetTokenIntervalTarget(target time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.opts.TokenIntervalTarget = target
}

// TokenIntervalTarget returns the inter-token target.
func (b *Balancer) TokenIntervalTarget() time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.opts.TokenIntervalTarget
}

// FreeSlots returns the number of free slots in the subset: the number of calls of Pick
// that would succeed now for requests that are neither isolated nor retries. It is 0
// when the subset is full.
func (b *Balancer) FreeSlots(now time.Duration) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.countFreeSlots(b.advanceClock(now))
}

// SlotCounts returns the number of free slots, as FreeSlots does, and the total number of
// slots of the upstreams in the subset that are neither ejected nor stragglers.
func (b *Balancer) SlotCounts(now time.Duration) (open, total int) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now = b.advanceClock(now)
	for _, u := range b.subset {
		if !u.ejection.ejected && !u.straggler.straggling {
			total += u.capacity(now)
		}
	}
	return b.countFreeSlots(now), total
}

// Pick selects an upstream and reserves a slot at it. It returns false when no upstream
// can take the request now.
func (b *Balancer) Pick(now time.Duration, r Request) (Pick, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now = b.advanceClock(now)
	u, probe := b.selectUpstream(now, r)
	if u == nil {
		return Pick{}, false
	}
	if probe {
		u.ejection.probeInFlight = u.ejection.ejected
		u.straggler.nextProbeAt = now + stragglerProbePeriod
	}
	handle := b.slots.reserve(now, u, r.Isolated, probe && u.ejection.ejected)
	u.loadReport.recordDispatch()
	return Pick{Upstream: u.Upstream, Handle: handle}, true
}

// Done releases the slot of p and applies the result r. Only the first call with the
// same handle has an effect.
func (b *Balancer) Done(now time.Duration, p Pick, r Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now = b.advanceClock(now)
	s, ok := b.slots.release(p.Handle)
	if !ok {
		return
	}
	u := s.upstream
	if s.epoch != u.epoch {
		return // the result belongs to an earlier incarnation
	}
	u.loadReport.recordDone(s.dispatchedAt)
	if s.probe {
		u.ejection.probeInFlight = false
	}
	b.applyResult(now, u, &s, r)
}

// applyResult updates the learned state of an upstream with the result of a request.
func (b *Balancer) applyResult(now time.Duration, u *upstream, s *slot, r Result) {
	if r.Status == Failed || r.Status == Crashed {
		if u.ejection.recordFailure(now, s.dispatchedAt, s.probe) {
			v := b.viewSubset(Request{})
			u.ejection.scheduleProbe(now, v.allEjected, b.rng)
		}
		if r.Status == Crashed {
			u.limiter.limit = min(u.limiter.limit, max(u.limiter.minLimit, b.opts.InitialLimit))
		}
		return
	}
	if r.Status == OK || r.FirstToken > 0 {
		u.ejection.recordSuccess(s.dispatchedAt)
	}
	sample, ok := latencyFromResult(r, float64(u.latency.firstToken))
	if !ok {
		return
	}
	u.latency.add(now, sample)
	u.limiter.recordCompletion(now, s.dispatchedAt, sample, u.inFlight+1, u.capacity(now), &limitInputs{
		tokenIntervalTarget: b.opts.TokenIntervalTarget.Seconds(),
		limitCeiling:        b.limitCeiling(u),
		queueReported:       u.loadReport.fresh(now) && u.loadReport.waiting > 0,
		noQueueReported:     u.loadReport.fresh(now) && u.loadReport.waiting == 0,
	})
}

// ReportLoad records an upstream's load report. A report older than the newest one
// received is ignored; a changed incarnation resets the learned state.
func (b *Balancer) ReportLoad(now time.Duration, name string, report LoadReport) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now = b.advanceClock(now)
	if u, ok := b.pool[name]; ok {
		b.applyLoadReport(now, u, report)
	}
}

// RecordCacheEvent records that a prefix was added to an upstream's prefix cache, or
// evicted from it when present is false. prefixHash corresponds to Request.PrefixHash.
func (b *Balancer) RecordCacheEvent(now time.Duration, name string, prefixHash uint64, present bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	now = b.advanceClock(now)
	if u, ok := b.pool[name]; ok {
		b.cacheHints.set(now, prefixHash, u.epoch, present)
	}
}

// Snapshot returns the state of the upstreams in the subset, in the order of the subset,
// followed by the other upstreams of the pool that have requests in flight.
func (b *Balancer) Snapshot(now time.Duration) []UpstreamState {
	b.mu.Lock()
	defer b.mu.Unlock()
	now = b.advanceClock(now)
	b.updateStragglers(now)
	states := make([]UpstreamState, 0, len(b.subset))
	for _, u := range b.subset {
		states = append(states, u.snapshot())
	}
	subsetLen := len(states)
	for _, u := range b.pool {
		if !u.inSubset && u.inFlight > 0 {
			states = append(states, u.snapshot())
		}
	}
	slices.SortFunc(states[subsetLen:], func(x, y UpstreamState) int {
		return cmp.Compare(x.Upstream.Name, y.Upstream.Name)
	})
	return states
}

func (u *upstream) snapshot() UpstreamState {
	toDuration := func(mean ewma) time.Duration { return time.Duration(float64(mean) * float64(time.Second)) }
	return UpstreamState{
		Upstream: u.Upstream, InSubset: u.inSubset, Spillover: u.remote,
		InFlight: u.inFlight, Isolated: u.isolatedInFlight > 0, Limit: u.limiter.limit,
		Straggler: u.straggler.straggling, Ejected: u.ejection.ejected,
		Failures: u.ejection.consecutiveFailures, RetryAt: u.ejection.nextProbeAt,
		FirstToken: toDuration(u.latency.firstToken), TokenInterval: toDuration(u.latency.tokenInterval),
	}
}
