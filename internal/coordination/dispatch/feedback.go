package dispatch

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

// FirstOutput records the start of an answer and corrects the upstream's predictions.
func (d *Dispatcher) FirstOutput(now time.Duration, token uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	g := d.grants[token]
	if g == nil || g.answered {
		return
	}
	g.answered = true
	d.recordAnswer(now, g)
	g.upstream.limitAnswered(token)
	elapsed := now - g.sentAt
	if g.upstream.KVCapacityTokens == 0 {
		d.updateResponseTimes(now, g, elapsed)
		return
	}
	predicted := g.predictedWait + g.work + firstOutputStepTime
	excessRatio := float64(elapsed)/float64(predicted) - 1
	g.upstream.slowness.observe(now, min(max(excessRatio, 0), maxSlowness), slownessWeight)
	d.updatePrefillRate(g, elapsed)
	// Prompts are processed in order, so if this one was earlier or later than predicted, so
	// are those behind it. Corrections from other answers since it was sent stem from the same
	// error and are subtracted. The tokens of the first event were generated while prompts
	// behind it were processed, so that time does not make those later.
	lateness := elapsed - predicted - (g.upstream.corrections[rankIndex(g.rank)] - g.corrections)
	if behind := g.upstream.predictedWait(now, g.rank) + lateness; lateness > 0 && behind > 0 {
		lateness -= min(lateness, behind, eventGenerationTime)
	}
	g.upstream.correctBusyUntil(now, g.rank, lateness/2)
}

// eventGenerationTime is the time to generate the tokens of an event while prompts are
// processed: three to five tokens, each behind a prefill chunk.
const eventGenerationTime = 200 * time.Millisecond

// minRateSampleTime is the minimum prefill time at which the rate can be distinguished from
// the fixed cost of a step.
const minRateSampleTime = 60 * time.Millisecond

// updatePrefillRate updates the prefill rate with a sample from a prompt that did not wait for
// other prompts.
func (d *Dispatcher) updatePrefillRate(g *grant, elapsed time.Duration) {
	uncached := g.promptTokens - g.cachedTokens
	if g.predictedWait > 0 || g.work < minRateSampleTime || elapsed <= firstOutputStepTime {
		return
	}
	linearMS := float64(elapsed-firstOutputStepTime)/float64(time.Millisecond) - attentionTimeMS(g.promptTokens, g.cachedTokens)
	if linearMS <= 0 {
		return
	}
	rate := min(max(float64(uncached)/linearMS, d.options.TokensPerMS/4), d.options.TokensPerMS*4)
	// Concurrent prompts from other instances can only make the sample smaller.
	weight := prefillRateWeight
	if rate > d.tokensPerMS {
		weight = fasterRateWeight
	}
	d.tokensPerMS += (rate - d.tokensPerMS) * weight
}

// updateResponseTimes updates the response times of a service without prompts.
func (d *Dispatcher) updateResponseTimes(now time.Duration, g *grant, elapsed time.Duration) {
	seconds := elapsed.Seconds()
	if d.serviceLatencySeconds == 0 {
		d.serviceLatencySeconds = seconds
	}
	if d.serviceLatencySeconds > 0 {
		g.upstream.slowness.observe(now, min(max(seconds/d.serviceLatencySeconds-1, 0), maxSlowness), slownessWeight)
	}
	d.serviceLatencySeconds += (seconds - d.serviceLatencySeconds) * latencyWeight
	g.upstream.latencySeconds += (seconds - g.upstream.latencySeconds) * latencyWeight
}

// Done ends a grant. Only the first call for a token has an effect.
func (d *Dispatcher) Done(now time.Duration, token uint64, status Status) {
	d.mu.Lock()
	defer d.mu.Unlock()
	g := d.grants[token]
	if g == nil {
		return
	}
	delete(d.grants, token)
	u := g.upstream
	if status == Succeeded || status == Refused {
		u.limitAnswered(token)
	} else {
		u.limiter.GivenUp(token)
		u.cold.limiter.GivenUp(token)
	}
	u.local.InFlight--
	if g.latencySensitive {
		u.local.Streams--
	}
	if u.KVCapacityTokens > 0 && !g.answered && status != Succeeded {
		u.correctBusyUntil(now, g.rank, -g.work)
	}
	switch status {
	case Succeeded:
		d.recordAnswer(now, g)
		u.malformed = 0
		u.recordSuccess()
		u.failures.observe(now, 0, failureWeight)
	case Failed:
		d.recordAnswer(now, g)
		u.failures.observe(now, 1, failureWeight)
	case Unreachable:
		u.recordConnectFailure(now)
		u.failures.observe(now, 1, failureWeight)
	case NoResponse:
		u.recordConnectFailure(now)
		u.failures.observe(now, 1, failureWeight)
		d.ejectUnresponsiveDomain(now, u)
	case Refused:
		d.recordAnswer(now, g)
		u.addWork(now, g.rank, refusedDelay)
	case Misdirected:
		u.recordMisdirected(now)
	case Malformed:
		u.recordMalformed(now)
		u.failures.observe(now, 1, failureWeight)
	case Cancelled:
	}
}

// refusedDelay is added to the predicted backlog of an upstream that refuses a request for
// lack of capacity.
const refusedDelay = 100 * time.Millisecond

// recordAnswer records that the upstream answered.
func (d *Dispatcher) recordAnswer(now time.Duration, g *grant) {
	d.recordReachable(now, g.upstream)
	g.upstream.noResponseAt = 0
	if last := d.domainAnsweredAt[g.upstream.Domain]; last < g.sentAt {
		d.domainAnsweredAt[g.upstream.Domain] = g.sentAt
	}
}

const (
	// domainFailureWindow is the time within which NoResponse failures of upstreams in one
	// failure domain are counted together.
	domainFailureWindow = 2 * time.Second
	// domainEjectThreshold is the number of unresponsive upstreams from which the whole failure
	// domain is ejected, unless an upstream there answered a request sent in the meantime.
	domainEjectThreshold = 2
)

// ejectUnresponsiveDomain ejects all upstreams of a failure domain when several of them do not
// respond, as during a network partition: trying each upstream would cost one request each.
func (d *Dispatcher) ejectUnresponsiveDomain(now time.Duration, failed *upstream) {
	failed.noResponseAt = now
	unresponsive := 0
	for _, u := range d.byHash {
		if u.Domain == failed.Domain && u.noResponseAt > 0 && u.noResponseAt > now-domainFailureWindow && u.noResponseAt > d.domainAnsweredAt[failed.Domain] {
			unresponsive++
		}
	}
	if unresponsive < domainEjectThreshold {
		return
	}
	for _, u := range d.byHash {
		if u.Domain == failed.Domain && !u.ejected() {
			u.recordConnectFailure(now)
		}
	}
}

// ProbesDue returns the ejected upstreams to which a connection must be tried now. The caller
// reports each result with RecordProbe.
func (d *Dispatcher) ProbesDue(now time.Duration) []Upstream {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []Upstream
	for _, u := range d.byHash {
		if u.ejected() && !u.leaves() && u.probeDue(now) {
			u.probing = true
			out = append(out, u.Upstream)
		}
	}
	return out
}

// RecordProbe records whether a connection to an ejected upstream succeeded.
func (d *Dispatcher) RecordProbe(now time.Duration, id string, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	u := d.upstreams[id]
	if u == nil {
		return
	}
	u.probing = false
	if ok {
		d.recordReachable(now, u)
		return
	}
	u.recordConnectFailure(now)
}

// UpstreamState is the state of one upstream for operators.
type UpstreamState struct {
	Upstream
	InFlight int // of this instance
	Load     int // of all instances, according to their reports
	Wait     time.Duration
	Slowness float64
	Failures float64
	Ejected  bool `json:"Aside"`
	ForLong  bool
	// Limit is the rate in requests per second that the upstream has stated for all instances;
	// 0 if there is none. LimitHolder reports whether this instance sends to it meanwhile.
	Limit       float64 `json:",omitempty"`
	LimitHolder bool    `json:",omitempty"`
	// StatedLeaving reports whether the upstream has stated that it leaves.
	StatedLeaving bool `json:",omitempty"`
	// Silent reports whether it has stated that it wants no requests from this instance yet.
	Silent bool `json:",omitempty"`
	// Cold reports whether it counts as cold. ColdHolder reports whether this instance sends to it meanwhile.
	Cold       bool `json:",omitempty"`
	ColdHolder bool `json:",omitempty"`
}

// Snapshot returns the state of all upstreams, ordered by nameHash.
func (d *Dispatcher) Snapshot(now time.Duration) []UpstreamState {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]UpstreamState, 0, len(d.upstreams))
	for u := range d.all() {
		out = append(out, UpstreamState{
			Upstream: u.Upstream, InFlight: u.local.InFlight, Load: u.load(), Wait: u.predictedWait(now, Ranks), Slowness: u.slownessFactor(now, d.medians(now)),
			Failures: u.failures.decayed(now), Ejected: u.ejected(), ForLong: u.forLong,
			Limit: u.limiter.Limit().Rate, LimitHolder: u.limiter.Limited() && u.limiter.Holder(), StatedLeaving: u.stated.leaving, Silent: u.silent(now),
			Cold: u.isCold(now), ColdHolder: u.isCold(now) && u.cold.limiter.Holder(),
		})
	}
	slices.SortFunc(out, func(a, b UpstreamState) int { return cmp.Compare(xxhash.Sum64String(a.ID), xxhash.Sum64String(b.ID)) })
	return out
}
