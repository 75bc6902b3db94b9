package dispatch

import (
	"cmp"
	"math"
	"time"
)

const (
	// streamSlotUtilization is the target share of slots in use on upstreams for streams;
	// the remaining slots absorb bursts.
	streamSlotUtilization = 0.7
	// shrinkInterval is the minimum time between two reductions of the number of upstreams
	// for streams. Each reduction takes at most one in shrinkDivisor of all upstreams.
	shrinkInterval = 700 * time.Millisecond
	shrinkDivisor  = 6
	// drainTimeout is how long an upstream that is reassigned to long prompts may wait for
	// its streams to finish, which is about the duration of a stream.
	drainTimeout = 2 * time.Second
	// demandHalfLife is the half-life of the measured prefill demand.
	demandHalfLife = 2500 * time.Millisecond
	// streamPrefillUtilization and longPrefillUtilization are the shares of their time that
	// upstreams may spend on prefill. Upstreams for streams need headroom for bursts, and an
	// answer to a long prompt needs one prefill chunk per token while other prompts are
	// processed.
	streamPrefillUtilization = 0.4
	longPrefillUtilization   = 0.7
)

// demand is the recent prefill work of long and of short prompts in seconds.
type demand struct{ long, short decayingValue }

func (m *demand) addWork(now, work time.Duration, long bool) {
	sum := &m.short
	if long {
		sum = &m.long
	}
	sum.value, sum.updatedAt = sum.decayedDemand(now)+work.Seconds(), now
}

// decayedDemand returns the value of a sum with half-life demandHalfLife.
func (v *decayingValue) decayedDemand(now time.Duration) float64 {
	return v.value * math.Exp2(-float64(max(0, now-v.updatedAt))/float64(demandHalfLife))
}

// rates returns the prefill work that arrives per second, in seconds, by kind of prompt.
func (m *demand) rates(now time.Duration) (long, short float64) {
	window := demandHalfLife.Seconds() / math.Ln2
	return m.long.decayedDemand(now) / window, m.short.decayedDemand(now) / window
}

// split divides the upstreams, ordered by nameHash, into upstreams for long prompts and
// upstreams for streams.
type split struct {
	forStreams        int
	reservedUpstreams int // those of forStreams reserved for latency-sensitive streams
	nextShrinkAt      time.Duration
}

// updateSplit assigns upstreams to long prompts or streams, and reserves some for
// latency-sensitive streams. The number of upstreams for streams grows at once and shrinks in
// steps. An upstream that is reassigned to long prompts finishes its streams first, because a
// stream that runs beside long prompts is late. This matters when a burst of long answers
// follows a burst of long prompts. An upstream that is already for long prompts stays so when
// streams are placed there for lack of other slots.
func (d *Dispatcher) updateSplit(now time.Duration) {
	n := len(d.byHash)
	desired := d.upstreamsForStreams(now)
	sp := &d.split
	switch {
	case desired >= sp.forStreams || sp.forStreams > n:
		sp.forStreams, sp.nextShrinkAt = min(desired, n), now+shrinkInterval
	case now >= sp.nextShrinkAt:
		sp.forStreams, sp.nextShrinkAt = max(desired, sp.forStreams-max(1, n/shrinkDivisor)), now+shrinkInterval
	}
	sp.reservedUpstreams = d.reservedUpstreams(now)
	for i, u := range d.byHash {
		longSide := i < n-sp.forStreams
		if !longSide || u.forLong || u.drainDeadline == 0 {
			u.drainDeadline = now + drainTimeout
		}
		u.forLong = longSide && (u.forLong || u.sensitiveStreams() < fullPenaltyStreams || now >= u.drainDeadline)
		u.reserved = i >= n-sp.reservedUpstreams
	}
}

// reservedUpstreams is the number of upstreams reserved for latency-sensitive streams: their
// share of the upstreams that streams and other short prompts need.
func (d *Dispatcher) reservedUpstreams(now time.Duration) int {
	forStreams := d.split.forStreams
	forPrefill, forSlots := d.upstreamsNeededByShort(now)
	if forStreams < 2 || forPrefill+forSlots == 0 {
		return 0
	}
	return min(max(int(math.Round(float64(forStreams)*forSlots/(forPrefill+forSlots))), 1), forStreams-1)
}

// UpstreamSplit describes how the upstreams are divided between long prompts and streams.
type UpstreamSplit struct {
	Upstreams, ForStreams int
	// LongWork and ShortWork are the seconds of prefill work that arrive per second.
	LongWork, ShortWork float64
	// Streams is the number of latency-sensitive streams in progress.
	Streams int
}

// UpstreamSplit returns the current division.
func (d *Dispatcher) UpstreamSplit(now time.Duration) UpstreamSplit {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := UpstreamSplit{Upstreams: len(d.byHash), ForStreams: d.split.forStreams}
	out.LongWork, out.ShortWork = d.demand.rates(now)
	for _, u := range d.byHash {
		out.Streams += u.sensitiveStreams()
	}
	return out
}

// upstreamsForStreams is the number of upstreams needed for the prefill of short prompts and
// for the slots of streams, plus half of those that long prompts do not need. Short prompts
// have precedence because more of them are served in the same time.
func (d *Dispatcher) upstreamsForStreams(now time.Duration) int {
	n := len(d.byHash)
	if n == 0 {
		return 0
	}
	forPrefill, forSlots := d.upstreamsNeededByShort(now)
	long, _ := d.demand.rates(now)
	needed := int(math.Ceil(max(forPrefill+forSlots, 1)))
	spare := n - needed - int(math.Ceil(long/longPrefillUtilization))
	return min(needed+max(spare/2, 0), n-1)
}

// upstreamsNeededByShort is the number of upstreams needed for the prefill of short prompts
// and for the slots of latency-sensitive streams.
func (d *Dispatcher) upstreamsNeededByShort(now time.Duration) (forPrefill, forSlots float64) {
	sensitiveStreams, slots := 0, 0
	for _, u := range d.byHash {
		sensitiveStreams += u.sensitiveStreams()
		slots += u.Slots
	}
	_, short := d.demand.rates(now)
	return short / streamPrefillUtilization, float64(sensitiveStreams) / (streamSlotUtilization * float64(max(slots, 1))) * float64(len(d.byHash))
}

func compareNameHash(a, b *upstream) int { return cmp.Compare(a.nameHash, b.nameHash) }
