package dispatch

import (
	"slices"
	"time"
)

const (
	// noSlotPenalty and, for each request above the limit, excessRequestPenalty are added for
	// an upstream without a free slot: a further request waits or preempts a running one.
	noSlotPenalty        = 2 * time.Second
	excessRequestPenalty = 60 * time.Millisecond
	// longRequestsPerSlot is the number of requests per slot up to which an upstream receives
	// long prompts. The end of other instances' requests is learned with a delay, and an
	// unused slot costs more than a short queue at the upstream.
	longRequestsPerSlot = 2.0
	// sessionCandidates is the number of upstreams considered for a session.
	sessionCandidates = 3
	// maxIdleWait is the longest predicted wait at which an upstream counts as idle: part of
	// a prefill chunk.
	maxIdleWait = 50 * time.Millisecond
	// sensitiveInterTokenTarget is the longest inter-token target of a latency-sensitive
	// stream, which is late if long prompts are processed beside it: an event consists of a
	// few tokens, and each of them waits for a chunk.
	sensitiveInterTokenTarget = 250 * time.Millisecond
	// streamAmongLongPenalty is the penalty for placing a latency-sensitive stream on an
	// upstream for long prompts.
	streamAmongLongPenalty = time.Second
	// reservedMismatchPenalty is the penalty for placing a short prompt that is not
	// latency-sensitive on a reserved upstream, or a latency-sensitive one on an upstream that
	// is not reserved.
	reservedMismatchPenalty = 150 * time.Millisecond
	// longAmongStreamsPenalty is the penalty for placing a long prompt beside
	// fullPenaltyStreams latency-sensitive streams. It exceeds the time that long prompts may
	// wait, so that long prompts are rejected before all streams are late.
	longAmongStreamsPenalty = 3 * time.Second
	// recomputeFactor scales the prefill time of uncached shared parts that is added to the
	// cost.
	recomputeFactor = 1.5
	// longAcrossSplitPenalty is the penalty for placing a long prompt on an upstream for
	// streams that runs none yet.
	longAcrossSplitPenalty = 100 * time.Millisecond
	// fullPenaltyStreams is the number of latency-sensitive streams from which
	// longAmongStreamsPenalty applies in full. An upstream with fewer streams is reassigned to
	// long prompts without waiting for them.
	fullPenaltyStreams = 4
	// unmeasuredLatency is assumed for a response of a plain service until one has been measured.
	unmeasuredLatency = 50 * time.Millisecond
	// maxFailurePenalty is the penalty for an upstream at which all requests fail.
	maxFailurePenalty = 2 * time.Second
	// remoteDomainPenalty is the penalty for an upstream in another failure domain: the
	// additional round trip.
	remoteDomainPenalty = 3 * time.Millisecond
)

// The durations above are derived from the engine step in the users' specifications: 5.5 ms
// plus a chunk of 2,048 tokens at 38.7 tokens per millisecond, with three to five tokens per
// event. For the shares and penalties see docs/decisions/prompt-placement.md.

// candidate is an upstream with its predictions for one request.
type candidate struct {
	upstream       *upstream
	preferred      bool
	outranks       bool // for streams that are less urgent than the request, a long prompt
	cachedTokens   int
	predictedWait  time.Duration
	work           time.Duration // prefill time at the learned rate
	scaledWork     time.Duration // work multiplied by the upstream's slowness factor
	failurePenalty time.Duration
	cost           time.Duration
}

// timeToFirstOutput is the predicted time from now to the first output.
func (c *candidate) timeToFirstOutput() time.Duration {
	return c.predictedWait + c.scaledWork + firstOutputStepTime
}

// choose selects the upstream for a request; ok is false if there is none. The preferred
// upstream of the session is used while it is predicted to start the request in time, then
// the next upstreams in the session's rendezvous order if they are idle; a long prompt that outranks others uses
// them also if they start it in time. Only a few upstreams
// are considered, the same by all instances, so that delayed load reports do not direct many
// instances to one upstream. A short prompt for which none of them is suitable is placed on
// the upstream with the lowest cost.
func (d *Dispatcher) choose(now time.Duration, r *Request) (best candidate, ok bool) {
	medians := d.medians(now)
	long := r.long
	moves := long && d.outranksOthers(now, r)
	for pass := range 3 {
		for i, u := range d.rankedBySession(now, r, pass, long) {
			c := d.evaluate(now, u, r, i == 0, medians)
			if i == 0 || moves && c.cost < best.cost {
				best, ok = c, true
			}
			if (i == 0 || moves) && d.startsInTime(now, r, &c) || i > 0 && c.idle() {
				return c, true
			}
		}
		if ok && long {
			if c, found := d.streamUpstream(now, r, pass, medians, best.timeToFirstOutput()); found {
				return c, true
			}
			return best, true
		}
		for _, u := range d.byHash {
			if !d.eligible(now, u, r, pass) {
				continue
			}
			if c := d.evaluate(now, u, r, ok && u == best.upstream, medians); !ok || c.cost < best.cost {
				best, ok = c, true
			}
		}
		if ok {
			return best, true
		}
		if d.onlyHeldBack(now, r, pass) {
			return best, false
		}
	}
	return best, false
}

// outranksOthers reports whether less urgent requests have arrived recently.
func (d *Dispatcher) outranksOthers(now time.Duration, r *Request) bool {
	return !d.recentRanks.isLeastUrgent(now, r.Rank)
}

// streamUpstream returns an upstream for streams, for a long prompt that no upstream for long prompts starts in time:
// one that runs no requests at all or, if the prompt is more urgent than the streams of its team, one that starts it
// in time, or at least before its deadline and sooner than an upstream for long prompts would.
func (d *Dispatcher) streamUpstream(now time.Duration, r *Request, pass int, medians medians, longSide time.Duration) (best candidate, ok bool) {
	outranks := d.streamRanks.outranked(now, r.Team, r.Rank)
	soonest := min(longSide, r.Deadline-now)
	for _, u := range d.rankedBySession(now, r, pass, false) {
		c := d.evaluate(now, u, r, false, medians)
		c.outranks = outranks
		if u.load() == 0 && c.idle() || outranks && d.startsInTime(now, r, &c) {
			return c, true
		}
		if outranks && u.load() < d.requestLimit(r, u) && c.timeToFirstOutput() < soonest {
			best, ok, soonest = c, true, c.timeToFirstOutput()
		}
	}
	return best, ok
}

// startsInTime reports whether the upstream is below its request limit and is predicted to
// start the request in time: a long prompt before its target, a short prompt at once, because
// a short prompt costs little elsewhere.
func (d *Dispatcher) startsInTime(now time.Duration, r *Request, c *candidate) bool {
	if c.upstream.load() >= d.requestLimit(r, c.upstream) {
		return false
	}
	if r.long {
		return now+c.timeToFirstOutput()+c.failurePenalty <= r.Target
	}
	return c.predictedWait+c.failurePenalty < maxIdleWait
}

// idle reports whether less than half of the slots are used and the predicted wait is short.
func (c *candidate) idle() bool {
	return c.upstream.load() < c.upstream.Slots/2 && c.predictedWait+c.failurePenalty < maxIdleWait
}

// rankedBySession returns the first upstreams on one side of the split in rendezvous hash
// order for the request's session. The order is the same on all instances without
// coordination.
func (d *Dispatcher) rankedBySession(now time.Duration, r *Request, pass int, long bool) []*upstream {
	session := sessionID(r.Prefix)
	if session == 0 {
		return nil
	}
	var list [sessionCandidates]*upstream
	var hashes [sessionCandidates]uint64
	n := 0
	for _, u := range d.byHash {
		if u.forLong != long || !long && d.split.reservedUpstreams > 0 && u.reserved != isLatencySensitive(r) || !d.eligible(now, u, r, pass) {
			continue
		}
		h := rendezvousHash(session, u.nameHash)
		if !u.takesBack(now, h) {
			continue
		}
		i := n
		for i > 0 && hashes[i-1] < h {
			i--
		}
		if i == sessionCandidates {
			continue
		}
		n = min(n+1, sessionCandidates)
		copy(list[i+1:n], list[i:])
		copy(hashes[i+1:n], hashes[i:])
		list[i], hashes[i] = u, h
	}
	if long {
		preferCached(list[:n], func(u *upstream) bool { return u.hasSession(now, session) })
	}
	return slices.Clone(list[:n])
}

// preferCached moves the first upstream that has the session cached to the front. The upstreams for long prompts
// change with the load, and with them the first in hash order; a session that would move has its
// shared parts processed again.
func preferCached(list []*upstream, cached func(*upstream) bool) {
	if i := slices.IndexFunc(list, cached); i > 0 {
		preferred := list[i]
		copy(list[1:i+1], list[:i])
		list[0] = preferred
	}
}

// eligible reports whether the upstream may receive the request now. The second pass includes
// ejected upstreams, the third pass also those in r.Exclude.
func (d *Dispatcher) eligible(now time.Duration, u *upstream, r *Request, pass int) bool {
	return u.permitted(now) && !u.heldBack(now) && d.available(u, r, pass)
}

// available reports whether the upstream may receive the request, apart from its limit.
func (d *Dispatcher) available(u *upstream, r *Request, pass int) bool {
	if u.leaves() || !u.hasVersion(r) || pass < 2 && slices.Contains(r.Exclude, u.ID) {
		return false
	}
	return pass > 0 || !u.ejected() && !(u.onTrial() && u.local.InFlight > 0)
}

// hasVersion reports whether the upstream's software has the version that the request needs.
func (u *upstream) hasVersion(r *Request) bool { return r.Version == nil || u.Version == *r.Version }

// rendezvousHash returns the weight of an upstream for a session in rendezvous hashing.
func rendezvousHash(session, nameHash uint64) uint64 {
	h := session*0x9e3779b97f4a7c15 ^ nameHash
	h ^= h >> 32
	h *= 0xd6e8feb86659fd93
	return h ^ h>>32
}

// evaluate predicts the cost of placing the request on the upstream.
func (d *Dispatcher) evaluate(now time.Duration, u *upstream, r *Request, preferred bool, medians medians) candidate {
	c := candidate{upstream: u, preferred: preferred}
	if u.KVCapacityTokens > 0 {
		d.evaluatePrompt(now, &c, r, medians)
	} else {
		d.evaluateWithoutPrompt(now, &c, medians)
	}
	c.failurePenalty = time.Duration(max(0, u.failures.decayed(now)-medians.failures) * float64(maxFailurePenalty))
	c.cost += c.failurePenalty
	if u.Domain != d.options.Domain {
		c.cost += remoteDomainPenalty
	}
	return c
}

func (d *Dispatcher) evaluatePrompt(now time.Duration, c *candidate, r *Request, medians medians) {
	u := c.upstream
	c.cachedTokens = min(u.cachedTokens(now, r.Prefix), r.Prompt)
	c.predictedWait = u.predictedWait(now, r.Rank)
	c.work = prefillTime(d.tokensPerMS, r.Prompt, c.cachedTokens)
	c.scaledWork = time.Duration(float64(c.work) * u.slownessFactor(now, medians))
	c.cost = c.predictedWait + c.scaledWork
	if !c.preferred {
		c.cost += d.recomputePenalty(r, c.cachedTokens)
	}
	if excess := u.load() - d.requestLimit(r, u); excess >= 0 {
		c.cost += noSlotPenalty + time.Duration(excess)*excessRequestPenalty
	}
	switch {
	case r.long, !isLatencySensitive(r) && c.work >= longPrefillThreshold:
		c.cost += d.longPromptPenalty(u)
	case isLatencySensitive(r) && u.forLong:
		c.cost += streamAmongLongPenalty
	case d.split.reservedUpstreams > 0 && u.reserved != isLatencySensitive(r) && !u.forLong:
		c.cost += reservedMismatchPenalty
	}
}

func (d *Dispatcher) evaluateWithoutPrompt(now time.Duration, c *candidate, medians medians) {
	u := c.upstream
	meanSeconds := max(u.latencySeconds, d.serviceLatencySeconds) * u.slownessFactor(now, medians)
	if meanSeconds == 0 {
		meanSeconds = unmeasuredLatency.Seconds()
	}
	utilization := float64(u.local.InFlight) / float64(max(1, u.Slots))
	c.predictedWait = time.Duration(max(0, utilization-1) * meanSeconds * float64(time.Second))
	c.work = time.Duration(meanSeconds * float64(time.Second))
	c.scaledWork = c.work
	c.cost = time.Duration((1 + utilization) * meanSeconds * float64(time.Second))
}

// recomputePenalty is the penalty for processing shared parts that are not cached: another
// upstream most likely has them cached, and the additional work delays later requests. It
// keeps sessions on their upstreams when there are more prompts than the upstreams can
// process.
func (d *Dispatcher) recomputePenalty(r *Request, cached int) time.Duration {
	shared := 0
	for i, p := range r.Prefix {
		if i < len(r.Prefix)-1 {
			shared += p.Tokens
		}
	}
	if shared <= cached {
		return 0
	}
	return time.Duration(recomputeFactor * float64(prefillTime(d.tokensPerMS, shared, cached)))
}

// longPromptPenalty is the penalty for a long prompt on an upstream that may run
// latency-sensitive streams, each of which would be late.
func (d *Dispatcher) longPromptPenalty(u *upstream) time.Duration {
	if u.forLong {
		return 0
	}
	return longAcrossSplitPenalty + longAmongStreamsPenalty*time.Duration(min(u.sensitiveStreams(), fullPenaltyStreams))/fullPenaltyStreams
}

// isLatencySensitive reports whether the stream is late if a long prompt is processed beside
// it.
func isLatencySensitive(r *Request) bool {
	return r.InterTokenTarget > 0 && r.InterTokenTarget <= sensitiveInterTokenTarget
}

// sessionID returns the ID of the last shared part of the prompt, which identifies the
// session.
func sessionID(prefix []Part) uint64 {
	shared := sharedParts(prefix)
	if len(shared) == 0 {
		return 0
	}
	return shared[len(shared)-1].ID
}

// sharedParts returns the parts that other requests may share: all but the last.
func sharedParts(prefix []Part) []Part {
	if len(prefix) < 2 {
		return prefix
	}
	return prefix[:len(prefix)-1]
}

// sessionPart returns the last shared part with the token count of all shared parts.
func sessionPart(prefix []Part) Part {
	session := Part{ID: sessionID(prefix)}
	for _, part := range sharedParts(prefix) {
		session.Tokens += part.Tokens
	}
	return session
}

// requestLimit is the number of requests from which the upstream counts as full. A stream must
// not wait for a slot; a long prompt may, on an upstream for long prompts. Elsewhere it would
// take each slot that is freed before the streams that wait for one.
func (d *Dispatcher) requestLimit(r *Request, u *upstream) int {
	if r.long && u.forLong {
		return int(longRequestsPerSlot * float64(u.Slots))
	}
	return u.Slots
}
