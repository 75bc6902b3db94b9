package dispatch

import (
	"cmp"
	"math"
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
	// fillShare is the share of the slots up to which streams are to fill their
	// upstreams, so that a burst finds free ones.
	fillShare = 0.7
	// shrinkPause is the pause between two upstreams that the part for streams gives up.
	shrinkPause = 700 * time.Millisecond
	// shortPause is the pause target up to which a stream suffers from long prompts
	// beside it: a few tokens, each behind a chunk, fill an event.
	shortPause = 250 * time.Millisecond
	// crossing is the penalty for a stream with short pauses among long prompts.
	crossing = time.Second
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
	// demandHalfLife is the time over which the work of both kinds is measured.
	demandHalfLife = 2500 * time.Millisecond
	// streamUse and longUse are the shares of their time that upstreams may read prompts:
	// those for streams need room for bursts, and a long prompt's own answer takes a chunk
	// of reading for each token while others are read.
	streamUse = 0.7
	longUse   = 0.6
)

// The times above follow from the step of an engine that the users' sheets give: 5.5 ms and a
// chunk of 2,048 tokens at 38.7 tokens a millisecond, with three to five tokens in an event.
// The shares and penalties were compared on six days, see
// docs/decisions/prompt-placement.md.

// candidate is an upstream with its predicted figures for one request.
type candidate struct {
	s      *server
	cached int
	wait   time.Duration
	work   time.Duration
	cost   time.Duration
}

// firstOutput is the predicted time to the first output.
func (c *candidate) firstOutput() time.Duration { return c.wait + c.work + stepTime }

// choose returns the cheapest upstream for the request; ok is false when there is none.
func (d *Dispatcher) choose(now time.Duration, r *Request) (best candidate, ok bool) {
	median := d.medianFailures(now)
	for pass := range 3 {
		home := d.home(r, pass)
		for _, s := range d.order {
			if !d.eligible(s, r, pass) {
				continue
			}
			c := d.evaluate(now, s, r, s == home, median)
			if !ok || c.cost < best.cost {
				best, ok = c, true
			}
		}
		if ok {
			return best, true
		}
	}
	return best, false
}

// eligible reports whether the upstream may take the request. The second pass takes
// upstreams that were set aside, the third one also those that the request has tried.
func (d *Dispatcher) eligible(s *server, r *Request, pass int) bool {
	if s.Leaving || pass < 2 && slices.Contains(r.Exclude, s.ID) {
		return false
	}
	return pass > 0 || !s.aside()
}

// home is the upstream that a session belongs to, among those on the request's side of the
// border: the one with the highest hash of both. All instances choose the same without
// talking.
func (d *Dispatcher) home(r *Request, pass int) *server {
	session := sessionOf(r.Prefix)
	if session == 0 {
		return nil
	}
	long := d.isLong(r)
	var best *server
	var highest uint64
	for _, s := range d.order {
		if s.forLong != long || !d.eligible(s, r, pass) {
			continue
		}
		if h := mix(session, s.position); best == nil || h > highest {
			best, highest = s, h
		}
	}
	return best
}

// mix hashes a session and an upstream.
func mix(session, position uint64) uint64 {
	h := session*0x9e3779b97f4a7c15 ^ position
	h ^= h >> 32
	h *= 0xd6e8feb86659fd93
	return h ^ h>>32
}

func (d *Dispatcher) evaluate(now time.Duration, s *server, r *Request, home bool, medianFailures float64) candidate {
	c := candidate{s: s}
	if s.Memory > 0 {
		d.evaluatePrompt(now, &c, r, home)
	} else {
		d.evaluatePlain(now, &c)
	}
	c.cost += time.Duration(max(0, s.failures.get(now)-medianFailures) * float64(failureCost))
	if s.Domain != d.options.Domain {
		c.cost += remoteCost
	}
	return c
}

func (d *Dispatcher) evaluatePrompt(now time.Duration, c *candidate, r *Request, home bool) {
	s := c.s
	c.cached = min(s.cached(now, r.Prefix), r.Prompt)
	c.wait = s.wait(now, r.Priority)
	c.work = time.Duration(float64(reading(d.rate, r.Prompt, c.cached)) * s.slow(now))
	c.cost = c.wait + c.work
	if !home {
		c.cost += d.rereading(r, c.cached)
	}
	if over := s.load() - s.Slots; over >= 0 {
		c.cost += fullCost + time.Duration(over)*slotDelay
	}
	switch {
	case d.isLong(r):
		c.cost += d.stalls(s)
	case hasShortPauses(r) && s.forLong:
		c.cost += crossing
	}
}

func (d *Dispatcher) evaluatePlain(now time.Duration, c *candidate) {
	s := c.s
	mean := max(s.latency, d.plainLatency) * s.slow(now)
	ahead := float64(s.own.InFlight) / float64(max(1, s.Slots))
	c.wait = time.Duration(max(0, ahead-1) * mean * float64(time.Second))
	c.work = time.Duration(mean * float64(time.Second))
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
	switch n := len(prefix); n {
	case 0:
		return 0
	case 1:
		return prefix[0].ID
	default:
		return prefix[n-2].ID
	}
}

// medianFailures is the median share of failures over the upstreams, the lower one of two.
func (d *Dispatcher) medianFailures(now time.Duration) float64 {
	d.values = d.values[:0]
	for _, s := range d.order {
		d.values = append(d.values, s.failures.get(now))
	}
	if len(d.values) == 0 {
		return 0
	}
	slices.Sort(d.values)
	return d.values[(len(d.values)-1)/2]
}

// demand is the recent prompt work by kind, in seconds of reading.
type demand struct{ long, short fading }

func (x *demand) add(now, work time.Duration, long bool) {
	f := &x.short
	if long {
		f = &x.long
	}
	f.value, f.at = f.halved(now)+work.Seconds(), now
}

func (f *fading) halved(now time.Duration) float64 {
	return f.value * math.Exp2(-float64(max(0, now-f.at))/float64(demandHalfLife))
}

// rates returns the seconds of reading that arrive in a second, by kind.
func (x *demand) rates(now time.Duration) (long, short float64) {
	window := demandHalfLife.Seconds() / math.Ln2
	return x.long.halved(now) / window, x.short.halved(now) / window
}

// border divides the upstreams, in the order of their positions, into those for long
// prompts and those for streams.
type border struct {
	forStreams int
	shrinkAt   time.Duration
}

// setBorder marks the upstreams for long prompts. The part for streams grows at once and
// shrinks one by one: a stream that runs where long prompts arrive is late.
// Load pattern: a burst of long answers after a burst of long prompts.
func (d *Dispatcher) setBorder(now time.Duration) {
	n := len(d.order)
	wanted := d.serversForStreams(now)
	b := &d.border
	switch {
	case wanted >= b.forStreams || b.forStreams > n:
		b.forStreams, b.shrinkAt = min(wanted, n), now+shrinkPause
	case now >= b.shrinkAt:
		b.forStreams, b.shrinkAt = b.forStreams-1, now+shrinkPause
	}
	for i, s := range d.order {
		s.forLong = i < n-b.forStreams
	}
}

// serversForStreams is the number of upstreams that short prompts need for their reading
// and streams for their slots, and half of what long prompts do not need. Short prompts
// come first: more of them are served in the same time.
func (d *Dispatcher) serversForStreams(now time.Duration) int {
	n, streams, slots := len(d.order), 0, 0
	for _, s := range d.order {
		streams += s.streams()
		slots += s.Slots
	}
	if slots == 0 {
		return 0
	}
	long, short := d.demand.rates(now)
	filled := float64(streams) / (fillShare * float64(slots)) * float64(n)
	needed := int(math.Ceil(max(short/streamUse, filled, 1)))
	spare := n - needed - int(math.Ceil(long/longUse))
	return min(needed+max(spare/2, 0), n-1)
}

func comparePosition(a, b *server) int { return cmp.Compare(a.position, b.position) }
