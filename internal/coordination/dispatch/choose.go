package dispatch

import (
	"cmp"
	"math"
	"slices"
	"time"
)

const (
	// longReading is the reading time from which a prompt counts as long: about the
	// chunk that upstreams read between two tokens.
	longReading = 60 * time.Millisecond
	// shortPause is the pause target up to which a stream suffers from long prompts
	// beside it: a few tokens, each behind a chunk, fill an event.
	shortPause = 250 * time.Millisecond
	// crossing is the penalty for a long prompt among streams and for a stream with
	// short pauses among long prompts.
	crossing = 250 * time.Millisecond
	// sessionSpread is the most that the hash of a session adds to the cost, so that
	// instances without knowledge choose the same upstream for it.
	sessionSpread = 25 * time.Millisecond
	// failureCost is the penalty for an upstream all of whose requests fail.
	failureCost = 2 * time.Second
	// remoteCost is the penalty for an upstream of another failure domain: the extra
	// round trip.
	remoteCost = 3 * time.Millisecond
	// minLongShare and maxLongShare bound the share of upstreams for long prompts.
	minLongShare = 0.3
	maxLongShare = 0.75
	// demandHalfLife is the time over which the work of both kinds is compared.
	demandHalfLife = 3 * time.Second
)

// candidate is an upstream with its predicted figures for one request.
type candidate struct {
	s      *server
	cached int
	wait   time.Duration
	work   time.Duration
	cost   time.Duration
}

// start is the predicted time to the first output.
func (c *candidate) firstOutput() time.Duration { return c.wait + c.work + stepTime }

// choose returns the cheapest upstream for the request; ok is false when there is none.
func (d *Dispatcher) choose(now time.Duration, r *Request) (best candidate, ok bool) {
	if c, due := d.probe(now, r); due {
		return c, true
	}
	median := d.medianFailures(now)
	for pass := range 3 {
		for _, s := range d.order {
			if !d.eligible(s, r, pass) {
				continue
			}
			c := d.evaluate(now, s, r, median)
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

// probe returns an upstream that is due to be tried again. A request that has failed
// once is not spent on it.
func (d *Dispatcher) probe(now time.Duration, r *Request) (candidate, bool) {
	if len(r.Exclude) > 0 || d.aside == 0 {
		return candidate{}, false
	}
	for _, s := range d.order {
		if s.aside() && !s.Leaving && s.probeDue(now) {
			return d.evaluate(now, s, r, 0), true
		}
	}
	return candidate{}, false
}

func (d *Dispatcher) evaluate(now time.Duration, s *server, r *Request, medianFailures float64) candidate {
	c := candidate{s: s}
	if s.Memory > 0 {
		d.evaluatePrompt(now, &c, r)
	} else {
		d.evaluatePlain(now, &c)
	}
	c.cost += time.Duration(max(0, s.failures.get(now)-medianFailures) * float64(failureCost))
	if s.Domain != d.options.Domain {
		c.cost += remoteCost
	}
	return c
}

func (d *Dispatcher) evaluatePrompt(now time.Duration, c *candidate, r *Request) {
	s := c.s
	c.cached = min(s.cached(now, r.Prefix), r.Prompt)
	c.wait = s.wait(now)
	c.work = time.Duration(float64(reading(d.rate, r.Prompt, c.cached)) * s.slow(now))
	c.cost = c.wait + c.work
	if s.inFlight >= s.Slots {
		c.cost += time.Duration(s.inFlight-s.Slots+1) * longReading
	}
	switch {
	case c.work >= longReading && !s.forLong:
		c.cost += crossing
	case r.PauseTarget > 0 && r.PauseTarget <= shortPause && s.forLong:
		c.cost += crossing
	}
	if session := sessionOf(r.Prefix); session != 0 {
		c.cost += spread(session, s.position)
	}
}

func (d *Dispatcher) evaluatePlain(now time.Duration, c *candidate) {
	s := c.s
	mean := max(s.latency, d.plainLatency) * s.slow(now)
	ahead := float64(s.inFlight) / float64(max(1, s.Slots))
	c.wait = time.Duration(max(0, ahead-1) * mean * float64(time.Second))
	c.work = time.Duration(mean * float64(time.Second))
	c.cost = time.Duration((1 + ahead) * mean * float64(time.Second))
}

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

// spread maps the session and the upstream to a cost that all instances compute alike.
func spread(session, position uint64) time.Duration {
	h := session*0x9e3779b97f4a7c15 ^ position
	h ^= h >> 32
	h *= 0xd6e8feb86659fd93
	h ^= h >> 32
	return time.Duration(float64(h) / math.MaxUint64 * float64(sessionSpread))
}

// medianFailures is the median share of failures over the upstreams.
func (d *Dispatcher) medianFailures(now time.Duration) float64 {
	d.values = d.values[:0]
	for _, s := range d.order {
		d.values = append(d.values, s.failures.get(now))
	}
	if len(d.values) == 0 {
		return 0
	}
	slices.Sort(d.values)
	return d.values[len(d.values)/2]
}

// demand is the recent prompt work by kind, in seconds of reading.
type demand struct{ long, short fading }

func (x *demand) add(now, work time.Duration) {
	f := &x.short
	if work >= longReading {
		f = &x.long
	}
	f.value, f.at = f.halved(now)+work.Seconds(), now
}

func (f *fading) halved(now time.Duration) float64 {
	return f.value * math.Exp2(-float64(max(0, now-f.at))/float64(demandHalfLife))
}

// longShare is the share of upstreams for long prompts.
func (x *demand) longShare(now time.Duration) float64 {
	long, short := x.long.halved(now), x.short.halved(now)
	if long+short == 0 {
		return (minLongShare + maxLongShare) / 2
	}
	return min(max(long/(long+short), minLongShare), maxLongShare)
}

// setBorder marks the upstreams for long prompts.
func (d *Dispatcher) setBorder(now time.Duration) {
	n := int(math.Round(d.demand.longShare(now) * float64(len(d.order))))
	for i, s := range d.order {
		s.forLong = i < n
	}
}

func comparePosition(a, b *server) int { return cmp.Compare(a.position, b.position) }
