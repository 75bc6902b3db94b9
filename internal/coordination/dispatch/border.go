package dispatch

import (
	"cmp"
	"math"
	"time"
)

const (
	// fillShare is the share of the slots up to which streams are to fill their
	// upstreams, so that a burst finds free ones.
	fillShare = 0.7
	// shrinkPause is the pause between two steps in which the part for streams gives up
	// upstreams, one in shrinkParts of all at a time.
	shrinkPause = 700 * time.Millisecond
	shrinkParts = 6
	// emptyTime is how long an upstream that changes over to long prompts keeps them out
	// while streams run there: about the time that a stream takes.
	emptyTime = 2 * time.Second
	// demandHalfLife is the time over which the work of both kinds is measured.
	demandHalfLife = 2500 * time.Millisecond
	// streamUse and longUse are the shares of their time that upstreams may read prompts:
	// those for streams need room for bursts, and a long prompt's own answer takes a chunk
	// of reading for each token while others are read.
	streamUse = 0.4
	longUse   = 0.7
)

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
	quiet      int // of these, for streams alone
	shrinkAt   time.Duration
}

// setBorder marks the upstreams for long prompts, and those for streams alone. The part for
// streams grows at once and shrinks in steps, and streams run to their end first: one that
// runs where long prompts arrive is late.
// Load pattern: a burst of long answers after a burst of long prompts.
func (d *Dispatcher) setBorder(now time.Duration) {
	n := len(d.order)
	wanted := d.serversForStreams(now)
	b := &d.border
	switch {
	case wanted >= b.forStreams || b.forStreams > n:
		b.forStreams, b.shrinkAt = min(wanted, n), now+shrinkPause
	case now >= b.shrinkAt:
		b.forStreams, b.shrinkAt = max(wanted, b.forStreams-max(1, n/shrinkParts)), now+shrinkPause
	}
	b.quiet = d.quiet(now)
	for i, s := range d.order {
		long := i < n-b.forStreams
		if !long || s.forLong || s.emptied == 0 {
			s.emptied = now + emptyTime
		}
		s.forLong = long && (s.streams() < manyStreams || now >= s.emptied)
		s.quiet = i >= n-b.quiet
	}
}

// quiet is the number of upstreams that are for streams with short pauses alone: their
// share of what both kinds of short prompts need.
func (d *Dispatcher) quiet(now time.Duration) int {
	forStreams := d.border.forStreams
	reading, filled := d.neededByShort(now)
	if forStreams < 2 || reading+filled == 0 {
		return 0
	}
	return min(max(int(math.Round(float64(forStreams)*filled/(reading+filled))), 1), forStreams-1)
}

// Border is how the upstreams are divided between long prompts and streams, and why.
type Border struct {
	Servers, ForStreams int
	// LongWork and ShortWork are the seconds of reading that arrive in a second.
	LongWork, ShortWork float64
	// Streams is the number of streams with short pauses that run.
	Streams int
}

// Border returns the present division.
func (d *Dispatcher) Border(now time.Duration) Border {
	d.mu.Lock()
	defer d.mu.Unlock()
	b := Border{Servers: len(d.order), ForStreams: d.border.forStreams}
	b.LongWork, b.ShortWork = d.demand.rates(now)
	for _, s := range d.order {
		b.Streams += s.streams()
	}
	return b
}

// serversForStreams is the number of upstreams that short prompts need for their reading
// and streams for their slots, and half of what long prompts do not need. Short prompts
// come first: more of them are served in the same time.
func (d *Dispatcher) serversForStreams(now time.Duration) int {
	n := len(d.order)
	if n == 0 {
		return 0
	}
	reading, filled := d.neededByShort(now)
	long, _ := d.demand.rates(now)
	needed := int(math.Ceil(max(reading+filled, 1)))
	spare := n - needed - int(math.Ceil(long/longUse))
	return min(needed+max(spare/2, 0), n-1)
}

// neededByShort is the number of upstreams that are needed for the reading of short prompts
// and for the slots of streams.
func (d *Dispatcher) neededByShort(now time.Duration) (reading, filled float64) {
	streams, slots := 0, 0
	for _, s := range d.order {
		streams += s.streams()
		slots += s.Slots
	}
	_, short := d.demand.rates(now)
	return short / streamUse, float64(streams) / (fillShare * float64(max(slots, 1))) * float64(len(d.order))
}

func comparePosition(a, b *server) int { return cmp.Compare(a.position, b.position) }
