package sharedlimit

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yuccabridge/yuccabridge/internal/rapidflags"
)

func init() { rapidflags.Set(rapidflags.Defaults{Seed: 20261204, Checks: 150, Steps: 60}) }

// Guards against a limit that an overtaking answer ends, and against one that never ends.
func TestOnlyALaterRequestEndsALimit(t *testing.T) {
	var l Limiter
	l.SetPosition(0, 0, 1)
	if !l.Observe(2*time.Second, time.Second, 2) {
		t.Fatal("the limit is not recorded")
	}
	if l.Observe(2500*time.Millisecond, 1500*time.Millisecond, 0) || !l.Limited() {
		t.Error("an answer to a request that was sent before the limit was known ended it")
	}
	if !l.Observe(3*time.Second, 2500*time.Millisecond, 1) || l.Limit().Rate != 1 {
		t.Error("a stricter limit is not recorded")
	}
	if !l.Observe(4*time.Second, 3500*time.Millisecond, 0) || l.Limited() {
		t.Error("an answer without a limit did not end it")
	}
}

// Guards against an instance that was cut off and brings back a limit that has ended, or ends one
// that it has not heard of.
func TestOlderKnowledgeOfAPeerIsIgnored(t *testing.T) {
	var a, b Limiter
	a.Observe(time.Second, 0, 2)
	b.Merge(time.Second, a.Limit())
	stale := b.Limit()
	a.Observe(3*time.Second, 2*time.Second, 0)
	if a.Merge(4*time.Second, stale); a.Limited() {
		t.Error("a stale limit came back")
	}
	if b.Merge(4*time.Second, a.Limit()); b.Limited() {
		t.Error("the end of the limit did not reach the peer")
	}
	a.Observe(5*time.Second, 4*time.Second, 3)
	if a.Merge(6*time.Second, b.Limit()); !a.Limited() {
		t.Error("an instance that has not heard of the limit ended it")
	}
}

// Guards against a limit of zero that never ends, since nobody sends a request to learn of it.
func TestUpstreamThatTakesNothingIsProbed(t *testing.T) {
	var l Limiter
	l.SetPosition(0, 0, 1)
	l.Observe(0, 0, StatedRate(0))
	if at, ok := l.NextAt(0); !ok || at > 4*time.Second {
		t.Errorf("next request at %v (holder: %v), want one within 4s", at, ok)
	}
}

// arrivalBound is the published bound: 1.5 times the limit and 5 requests in any 4 s.
const (
	boundWindow    = 4 * time.Second
	boundFactor    = 1.5
	boundAllowance = 5
)

func checkArrivals(t *rapid.T, arrivals []time.Duration, rate float64) {
	slices.Sort(arrivals)
	for i := range arrivals {
		n := 0
		for n < len(arrivals)-i && arrivals[i+n]-arrivals[i] < boundWindow {
			n++
		}
		if bound := int(boundFactor*rate*boundWindow.Seconds() + boundAllowance); n > bound {
			t.Fatalf("%d arrivals in %v from %v at %v a second, want at most %d", n, boundWindow, arrivals[i], rate, bound)
		}
	}
}

// Guards against sums beyond the limit while instances join and leave, learn of each other with a
// delay, and the upstream pauses: it reads what has piled up all at once, also what was given up.
func TestArrivalsStayWithinTheLimitInSum(t *testing.T) {
	const step = 20 * time.Millisecond
	rapid.Check(t, func(t *rapid.T) {
		rate := rapid.SampledFrom([]float64{0.5, 1, 2.2, 4, 10, 60}).Draw(t, "rate")
		fleet := make([]Limiter, rapid.SampledFrom([]int{1, 8, 12, 63}).Draw(t, "instances"))
		order := rapid.Permutation(indices(len(fleet))).Draw(t, "order")
		for i := range fleet {
			fleet[i].SetPosition(0, order[i], len(fleet))
			fleet[i].Observe(0, 0, rate)
		}
		var now, pausedUntil time.Duration
		var token uint64
		var arrivals []time.Duration
		waiting := map[uint64]int{} // requests on the connections of the paused upstream, with their sender
		send := func(i int) {
			token++
			fleet[i].Sent(now, token)
			if now < pausedUntil {
				waiting[token] = i
				return
			}
			arrivals = append(arrivals, now)
			fleet[i].Answered(token)
		}
		pass := func(d time.Duration) {
			for end := now + d; now < end; now += step {
				if now >= pausedUntil {
					for sent, i := range waiting {
						arrivals = append(arrivals, now)
						fleet[i].Answered(sent)
					}
					clear(waiting)
				}
				for i := range fleet {
					if fleet[i].Permitted(now) {
						send(i)
					}
				}
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"pass time": func(t *rapid.T) {
				pass(time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond)
			},
			"pause the upstream": func(t *rapid.T) {
				if now < pausedUntil+boundWindow {
					return // one pause in a window
				}
				pausedUntil = now + time.Duration(rapid.IntRange(100, int(unreadLifetime.Milliseconds())-100).Draw(t, "pause_ms"))*time.Millisecond
			},
			"give up requests": func(t *rapid.T) {
				for sent, i := range waiting {
					if rapid.Bool().Draw(t, fmt.Sprint("give up ", sent)) {
						fleet[i].GivenUp(sent)
					}
				}
			},
			"a holder leaves": func(t *rapid.T) {
				// The others learn of it; the one that left sends nothing any more.
				pass(boundWindow) // one change of holders in a window
				first := slices.Index(order, 0)
				for i := range fleet {
					order[i] = (order[i] + len(fleet) - 1) % len(fleet)
					if i != first || len(fleet) == 1 {
						fleet[i].SetPosition(now, order[i], len(fleet))
					} else {
						fleet[i].SetPosition(now, len(fleet)-1, len(fleet))
					}
				}
			},
			"": func(t *rapid.T) { checkArrivals(t, arrivals, rate) },
		})
	})
}

func indices(n int) []int {
	out := make([]int, n)
	for i := range out {
		out[i] = i
	}
	return out
}

// Guards against requests that are forgotten once they are given up: a paused upstream still reads
// them, all at once.
func TestRequestsGivenUpAtAPausedUpstreamCount(t *testing.T) {
	const rate, pause = 2.0, 9 * time.Second
	var l Limiter
	l.SetPosition(0, 0, 1)
	l.Observe(0, 0, rate)
	sent := 0
	for now := time.Duration(0); now < pause; now += 20 * time.Millisecond {
		if l.Permitted(now) {
			sent++
			l.Sent(now, uint64(sent))
			l.GivenUp(uint64(sent))
		}
	}
	if window := boundWindow.Seconds(); float64(sent)+rate*window > boundFactor*rate*window+boundAllowance {
		t.Errorf("%d requests wait at the end of the pause, too many for a limit of %v a second", sent, rate)
	}
	l.Sent(pause, 100)
	l.Answered(100)
	if !l.Permitted(pause + l.Interval()) {
		t.Error("the holder does not go on after an answer")
	}
}
