package dispatch

import (
	"slices"
	"time"
)

const (
	// longReading is the reading time, with nothing cached, from which a prompt counts as
	// long: upstreams read it in two chunks or more, with tokens of other requests in
	// between, and its attention makes these chunks slower.
	longReading = 110 * time.Millisecond
	// fullCost and slotDelay are added at an upstream without a free slot: a further
	// request waits, or takes the place of one that runs.
	fullCost  = 2 * time.Second
	slotDelay = 60 * time.Millisecond
	// roomFactor times its slots is the number of requests that an upstream is given:
	// the ends of other instances' requests are known late, and a free slot costs more
	// than a short queue there.
	roomFactor = 2.0
	// choices is the number of upstreams that are looked at for a session.
	choices = 3
	// idleWait is the longest wait at an upstream that counts as idle: a part of a chunk.
	idleWait = 50 * time.Millisecond
	// shortPause is the pause target up to which a stream suffers from long prompts
	// beside it: a few tokens, each behind a chunk, fill an event.
	shortPause = 250 * time.Millisecond
	// crossing is the penalty for a stream with short pauses among long prompts.
	crossing = time.Second
	// disturbing is the penalty for a short prompt without short pauses among streams that
	// have them, and the other way round.
	disturbing = 150 * time.Millisecond
	// stalling is the penalty for a long prompt among such streams. It is above what long
	// prompts may wait, so that they are rejected before all streams are late.
	stalling = 3 * time.Second
	// rereadFactor times the reading time of shared parts is added to the cost.
	rereadFactor = 1.5
	// prior is the penalty for a long prompt beyond the border where no stream runs yet.
	prior = 100 * time.Millisecond
	// manyStreams is the number of streams from which the whole penalty applies.
	manyStreams = 4
	// failureCost is the penalty for an upstream all of whose requests fail.
	failureCost = 2 * time.Second
	// remoteCost is the penalty for an upstream of another failure domain: the extra
	// round trip.
	remoteCost = 3 * time.Millisecond
)

// The times above follow from the step of an engine that the users' sheets give: 5.5 ms and a
// chunk of 2,048 tokens at 38.7 tokens a millisecond, with three to five tokens in an event.
// The shares and penalties were compared on six days, see
// docs/decisions/prompt-placement.md.

// candidate is an upstream with its predicted figures for one request.
type candidate struct {
	s      *server
	home   bool
	cached int
	wait   time.Duration
	work   time.Duration // reading the prompt at the usual pace
	takes  time.Duration // the same at the upstream's pace
	risk   time.Duration // penalty for failures
	cost   time.Duration
}

// firstOutput is the predicted time to the first output.
func (c *candidate) firstOutput() time.Duration { return c.wait + c.takes + stepTime }

// choose returns the upstream for the request; ok is false when there is none. The home of
// the request's session comes first, as long as it is predicted to begin in time. Then
// come the next ones in the order of the session's hashes that are idle: few, the same at
// all instances, so that reports that are late do not send many instances to one upstream.
// A short prompt that finds none goes to the cheapest of all.
func (d *Dispatcher) choose(now time.Duration, r *Request) (best candidate, ok bool) {
	usual := d.usual(now)
	for pass := range 3 {
		long := d.isLong(r)
		for i, s := range d.ranked(r, pass, long) {
			c := d.evaluate(now, s, r, i == 0, usual)
			if i == 0 {
				best, ok = c, true
			}
			if i == 0 && d.inTime(now, r, &c) || i > 0 && c.idle() {
				return c, true
			}
		}
		if ok && long {
			if c, found := d.unused(now, r, pass, usual); found {
				return c, true
			}
			return best, true
		}
		for _, s := range d.order {
			if !d.eligible(s, r, pass) {
				continue
			}
			if c := d.evaluate(now, s, r, ok && s == best.s, usual); !ok || c.cost < best.cost {
				best, ok = c, true
			}
		}
		if ok {
			return best, true
		}
	}
	return best, false
}

// unused returns an upstream on the side of the streams that runs nothing at all, for a
// long prompt whose own side is busy.
func (d *Dispatcher) unused(now time.Duration, r *Request, pass int, usual usual) (candidate, bool) {
	for _, s := range d.ranked(r, pass, false) {
		if c := d.evaluate(now, s, r, false, usual); s.load() == 0 && c.idle() {
			return c, true
		}
	}
	return candidate{}, false
}

// inTime reports whether the upstream has room and is predicted to begin in time: a long
// prompt before its target, a short one at once, since it costs little elsewhere.
func (d *Dispatcher) inTime(now time.Duration, r *Request, c *candidate) bool {
	if c.s.load() >= d.room(r, c.s) {
		return false
	}
	if d.isLong(r) {
		return now+c.firstOutput()+c.risk <= r.Target
	}
	return c.wait+c.risk < idleWait
}

// idle reports whether the upstream has next to nothing to do.
func (c *candidate) idle() bool {
	return c.s.load() < c.s.Slots/2 && c.wait+c.risk < idleWait
}

// ranked returns the first upstreams on one side of the border in the order of the hashes
// of session and upstream. All instances have the same order without talking.
func (d *Dispatcher) ranked(r *Request, pass int, long bool) []*server {
	session := sessionOf(r.Prefix)
	if session == 0 {
		return nil
	}
	var list [choices]*server
	var hashes [choices]uint64
	n := 0
	for _, s := range d.order {
		if s.forLong != long || !long && d.border.quiet > 0 && s.quiet != hasShortPauses(r) || !d.eligible(s, r, pass) {
			continue
		}
		h := mix(session, s.position)
		i := n
		for i > 0 && hashes[i-1] < h {
			i--
		}
		if i == choices {
			continue
		}
		n = min(n+1, choices)
		copy(list[i+1:n], list[i:])
		copy(hashes[i+1:n], hashes[i:])
		list[i], hashes[i] = s, h
	}
	return slices.Clone(list[:n])
}

// eligible reports whether the upstream may take the request. The second pass takes
// upstreams that were set aside, the third one also those that the request has tried.
func (d *Dispatcher) eligible(s *server, r *Request, pass int) bool {
	if s.Leaving || pass < 2 && slices.Contains(r.Exclude, s.ID) {
		return false
	}
	return pass > 0 || !s.aside()
}

// mix hashes a session and an upstream.
func mix(session, position uint64) uint64 {
	h := session*0x9e3779b97f4a7c15 ^ position
	h ^= h >> 32
	h *= 0xd6e8feb86659fd93
	return h ^ h>>32
}

func (d *Dispatcher) evaluate(now time.Duration, s *server, r *Request, home bool, usual usual) candidate {
	c := candidate{s: s, home: home}
	if s.Memory > 0 {
		d.evaluatePrompt(now, &c, r, usual)
	} else {
		d.evaluatePlain(now, &c, usual)
	}
	c.risk = time.Duration(max(0, s.failures.get(now)-usual.failures) * float64(failureCost))
	c.cost += c.risk
	if s.Domain != d.options.Domain {
		c.cost += remoteCost
	}
	return c
}

func (d *Dispatcher) evaluatePrompt(now time.Duration, c *candidate, r *Request, usual usual) {
	s := c.s
	c.cached = min(s.cached(now, r.Prefix), r.Prompt)
	c.wait = s.wait(now, r.Priority)
	c.work = reading(d.rate, r.Prompt, c.cached)
	c.takes = time.Duration(float64(c.work) * s.slow(now, usual))
	c.cost = c.wait + c.takes
	if !c.home {
		c.cost += d.rereading(r, c.cached)
	}
	if over := s.load() - d.room(r, s); over >= 0 {
		c.cost += fullCost + time.Duration(over)*slotDelay
	}
	switch {
	case d.isLong(r):
		c.cost += d.stalls(s)
	case hasShortPauses(r) && s.forLong:
		c.cost += crossing
	case d.border.quiet > 0 && s.quiet != hasShortPauses(r) && !s.forLong:
		c.cost += disturbing
	}
}

func (d *Dispatcher) evaluatePlain(now time.Duration, c *candidate, usual usual) {
	s := c.s
	mean := max(s.latency, d.plainLatency) * s.slow(now, usual)
	ahead := float64(s.own.InFlight) / float64(max(1, s.Slots))
	c.wait = time.Duration(max(0, ahead-1) * mean * float64(time.Second))
	c.work = time.Duration(mean * float64(time.Second))
	c.takes = c.work
	c.cost = time.Duration((1 + ahead) * mean * float64(time.Second))
}

// rereading is the penalty for reading shared parts of the prompt: another upstream most
// likely keeps them, and the work is taken from requests that come later.
// Load pattern: more prompts than the upstreams can read, as long as sessions stay.
func (d *Dispatcher) rereading(r *Request, cached int) time.Duration {
	shared := 0
	for i, p := range r.Prefix {
		if i < len(r.Prefix)-1 {
			shared += p.Tokens
		}
	}
	if shared <= cached {
		return 0
	}
	return time.Duration(rereadFactor * float64(reading(d.rate, shared, cached)))
}

// stalls is the penalty for a long prompt at an upstream that runs streams with short
// pauses: each of them would be late.
func (d *Dispatcher) stalls(s *server) time.Duration {
	if s.forLong {
		return 0
	}
	return prior + stalling*time.Duration(min(s.streams(), manyStreams))/manyStreams
}

// hasShortPauses reports whether a long prompt beside the stream makes it late.
func hasShortPauses(r *Request) bool { return r.PauseTarget > 0 && r.PauseTarget <= shortPause }

// isLong reports whether reading the prompt stalls the streams beside it.
func (d *Dispatcher) isLong(r *Request) bool { return reading(d.rate, r.Prompt, 0) >= longReading }

// sessionOf returns the last shared part of the prompt: the one before the request's own.
func sessionOf(prefix []Part) uint64 {
	shared := sharedParts(prefix)
	if len(shared) == 0 {
		return 0
	}
	return shared[len(shared)-1].ID
}

// sharedParts returns the parts that other requests may share: all but the request's own.
func sharedParts(prefix []Part) []Part {
	if len(prefix) < 2 {
		return prefix
	}
	return prefix[:len(prefix)-1]
}

// sessionPart is the last shared part with the tokens of all shared parts.
func sessionPart(prefix []Part) Part {
	p := Part{ID: sessionOf(prefix)}
	for _, x := range sharedParts(prefix) {
		p.Tokens += x.Tokens
	}
	return p
}

// room is the number of requests up to which an upstream is taken to have room. A stream
// must not wait for a slot; a long prompt may.
func (d *Dispatcher) room(r *Request, s *server) int {
	if d.isLong(r) {
		return int(roomFactor * float64(s.Slots))
	}
	return s.Slots
}
