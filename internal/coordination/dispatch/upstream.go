package dispatch

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccabridge/yuccabridge/internal/coordination/sharedlimit"
	"github.com/yuccabridge/yuccabridge/internal/state/expiring"
)

const (
	// prefixCacheShare is the part of an upstream's KV cache assumed to hold reusable
	// prefixes; running requests occupy the rest.
	prefixCacheShare = 0.6
	// maxCacheEntries bounds the number of cached parts tracked for each upstream.
	maxCacheEntries = 4096
	// cacheTTL is the time after which a part that has not been requested is assumed to
	// have been evicted by the upstream.
	cacheTTL = 2 * time.Minute
	// attentionMSPerMillionPairs is the attention time for a million pairs of tokens, in
	// addition to the linear prefill time. Typical of a 70-billion-parameter model on two
	// accelerators.
	attentionMSPerMillionPairs = 0.7
	// feedbackHalfLife is the half-life of the slowness and failure rates of an upstream
	// while it receives no requests.
	feedbackHalfLife = 4 * time.Second
	// slownessWeight is the EWMA weight of a new slowness sample.
	slownessWeight = 0.2
	// maxSlowness bounds a slowness sample: elapsed over predicted time, minus 1.
	maxSlowness = 12
	// failureWeight is the EWMA weight of a new outcome in the failure rate.
	failureWeight = 0.15
	// initialBackoff and maxBackoff bound the time until an unreachable upstream is probed
	// again.
	initialBackoff = 250 * time.Millisecond
	maxBackoff     = 2 * time.Second
	// firstOutputStepTime is the time from the end of prefill to the first output.
	firstOutputStepTime = 20 * time.Millisecond
)

// upstream is the dispatcher's state for one upstream.
type upstream struct {
	Upstream
	nameHash      uint64          // hash of the ID; orders the upstreams in the split
	tag           Tag             // low half of nameHash
	forLong       bool            // used for long prompts in the current split
	reserved      bool            // reserved for latency-sensitive streams
	drainDeadline time.Duration   // when it accepts long prompts even if streams still run
	local         Load            // requests of this instance
	reported      Load            // value of local in the last report to the peers
	peerLoads     map[string]Load // by peer
	peerTotal     Load            // sum of peerLoads
	// busyUntil is, by rank, the predicted time at which the prefill of all prompts of that
	// and of more urgent ranks is complete.
	busyUntil [Ranks]time.Duration
	// corrections is the sum of all corrections of busyUntil.
	corrections    [Ranks]time.Duration
	slowness       decayingValue // mean of elapsed over predicted time, minus 1
	failures       decayingValue // share of failed requests
	latencySeconds float64       // mean response time; services without prompts
	cache          *expiring.Map[uint64, struct{}]
	limiter        sharedlimit.Limiter
	cold           coldState
	returnedAt     time.Duration // when the evacuation of its failure domain ended; 0: it never was evacuated
	limitReported  bool          // the limit is unchanged since the last report to the peers
	stated         stated
	// returning is the number of requests that the upstream may get from this instance after it has wanted
	// none; 0 means no such bound.
	returning int
	// leavingReported is unset until the peers have been told that the upstream leaves.
	leavingReported bool

	connectFailures int // consecutive failures to reach the upstream
	nextProbeAt     time.Duration
	malformed       int           // consecutive malformed responses
	noResponseAt    time.Duration // last NoResponse failure; 0 if it has answered since
	probing         bool
}

func newUpstream(published Upstream) *upstream {
	u := &upstream{Upstream: published, nameHash: xxhash.Sum64String(published.ID), limitReported: true, leavingReported: true}
	u.tag = Tag(u.nameHash)
	if published.KVCapacityTokens > 0 {
		u.cache = expiring.New(expiring.Options[uint64, struct{}]{
			TTL: cacheTTL, MaxEntries: maxCacheEntries, MaxCost: int64(prefixCacheShare * float64(published.KVCapacityTokens)),
		})
	}
	return u
}

// decayingValue is a value that decays exponentially to zero without new samples.
type decayingValue struct {
	value     float64
	updatedAt time.Duration
}

// decayed returns the value of a mean with half-life feedbackHalfLife.
func (v *decayingValue) decayed(now time.Duration) float64 {
	if v.value == 0 {
		return 0
	}
	return v.value * math.Exp2(-float64(max(0, now-v.updatedAt))/float64(feedbackHalfLife))
}

func (v *decayingValue) observe(now time.Duration, sample, weight float64) {
	previous := v.decayed(now)
	v.value, v.updatedAt = previous+(sample-previous)*weight, now
}

// cachedTokens estimates how many leading prompt tokens are in the upstream's prefix cache.
// A cached session part implies that the parts before it are cached, because they are used
// more often than the session part itself.
func (u *upstream) cachedTokens(now time.Duration, prefix []Part) int {
	if u.cache == nil {
		return 0
	}
	total, cached := 0, 0
	for i, p := range prefix {
		total += p.Tokens
		if _, ok := u.cache.Peek(now, p.ID); ok {
			cached = total
		} else if i >= len(prefix)-2 {
			break
		}
	}
	return cached
}

// hasSession estimates whether the shared parts of a session are in the upstream's prefix cache.
func (u *upstream) hasSession(now time.Duration, session uint64) bool {
	if u.cache == nil {
		return false
	}
	_, ok := u.cache.Peek(now, session)
	return ok
}

// cachePrefix records that the upstream has processed the shared parts of a prompt.
func (u *upstream) cachePrefix(now time.Duration, parts []Part) {
	if u.cache == nil {
		return
	}
	for _, p := range parts {
		u.cache.Put(now, p.ID, struct{}{}, int64(p.Tokens))
	}
}

// cacheSession records that the upstream has processed a session's shared parts for a peer.
func (u *upstream) cacheSession(now time.Duration, session Part) {
	if u.cache != nil && session.ID != 0 {
		u.cache.Put(now, session.ID, struct{}{}, int64(max(session.Tokens, 0)))
	}
}

// prefillTime is the time to process the uncached remainder of a prompt.
func prefillTime(tokensPerMS float64, prompt, cached int) time.Duration {
	uncached := float64(max(prompt-cached, 1))
	return time.Duration((uncached/tokensPerMS + attentionTimeMS(prompt, cached)) * float64(time.Millisecond))
}

// attentionTimeMS is the part of the prefill time, in milliseconds, that grows with the number
// of preceding tokens.
func attentionTimeMS(prompt, cached int) float64 {
	uncached := float64(max(prompt-cached, 1))
	return uncached * (float64(cached) + uncached/2) / 1e6 * attentionMSPerMillionPairs
}

// slownessFactor is the slowness of the upstream relative to the median upstream, at least 1.
func (u *upstream) slownessFactor(now time.Duration, medians medians) float64 {
	return max(1, (1+u.slowness.decayed(now))/(1+medians.slowness))
}

// predictedWait is the predicted time until the upstream starts a prompt of the given rank.
// More urgent prompts are processed first.
func (u *upstream) predictedWait(now time.Duration, rank int) time.Duration {
	return max(0, u.busyUntil[rankIndex(rank)]-now)
}

// addWork adds the prefill time of a prompt of the given rank to the predicted backlog.
func (u *upstream) addWork(now time.Duration, rank int, work time.Duration) {
	for i := rankIndex(rank); i < Ranks; i++ {
		u.busyUntil[i] = max(u.busyUntil[i], now) + work
	}
}

// correctBusyUntil shifts the predicted backlog of the given and of less urgent ranks.
func (u *upstream) correctBusyUntil(now time.Duration, rank int, delta time.Duration) {
	for i := rankIndex(rank); i < Ranks; i++ {
		u.busyUntil[i] = max(u.busyUntil[i]+delta, now)
		u.corrections[i] += delta
	}
}

// load is the number of requests that all instances have in flight at the upstream.
func (u *upstream) load() int { return u.local.InFlight + u.peerTotal.InFlight }

// sensitiveStreams is the number of latency-sensitive streams that all instances have at the
// upstream.
func (u *upstream) sensitiveStreams() int { return u.local.Streams + u.peerTotal.Streams }

// setPeerLoad replaces the load that a peer has reported for the upstream.
func (u *upstream) setPeerLoad(peer string, load Load) {
	old := u.peerLoads[peer]
	u.peerTotal.InFlight += load.InFlight - old.InFlight
	u.peerTotal.Streams += load.Streams - old.Streams
	if load.InFlight == 0 && load.Streams == 0 {
		delete(u.peerLoads, peer)
		return
	}
	if u.peerLoads == nil {
		u.peerLoads = map[string]Load{}
	}
	u.peerLoads[peer] = load
}

// ejected reports whether the upstream is kept out of selection after connection failures.
func (u *upstream) ejected() bool { return u.connectFailures > 0 }

func (u *upstream) probeDue(now time.Duration) bool { return !u.probing && now >= u.nextProbeAt }

func (u *upstream) recordConnectFailure(now time.Duration) {
	backoff := initialBackoff << min(u.connectFailures, 8)
	u.connectFailures++
	u.nextProbeAt = now + min(backoff, maxBackoff)
}

// recordMisdirected ejects an upstream whose address belongs to another one. Dials succeed there, so
// the first probe is late enough for the list of upstreams to be updated before.
func (u *upstream) recordMisdirected(now time.Duration) {
	u.connectFailures++
	u.nextProbeAt = now + maxBackoff
}

// maxMalformed is the number of consecutive malformed responses that ejects an upstream.
const maxMalformed = 3

// recordMalformed ejects an upstream after several malformed responses, and after each further one
// until a response is good.
func (u *upstream) recordMalformed(now time.Duration) {
	if u.malformed++; u.malformed < maxMalformed {
		return
	}
	u.connectFailures++
	u.nextProbeAt = now + min(initialBackoff<<min(u.malformed-maxMalformed, 8), maxBackoff)
}

// onTrial reports whether the upstream was ejected for malformed responses and has not given a good
// one since. It receives one request of this instance at a time.
func (u *upstream) onTrial() bool { return u.malformed >= maxMalformed }
