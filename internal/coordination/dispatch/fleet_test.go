package dispatch

import (
	"testing"
	"time"
)

// fleetShapes are the classes of the larger deployments: more sessions, shorter answers.
func fleetShapes() (long, question, instruction shape) {
	long, question, instruction = longPrompts, questions, instructions
	long.sessions, long.events = 940, 13
	question.sessions, question.groups, question.events = 1160, 80, 6
	instruction.sessions, instruction.groups, instruction.events = 943, 16, 70
	instruction.pauses = 250 * time.Millisecond
	return long, question, instruction
}

// served counts what became of a class's requests that arrived in a time.
type served struct{ asked, done, full, rejected, home int }

func (w *simWorld) served(class string, from, to time.Duration) served {
	var n served
	for _, r := range w.all {
		if r.Class != class || r.arrived < from || r.arrived >= to {
			continue
		}
		n.asked++
		switch {
		case r.done:
			n.done++
		case r.full:
			n.full++
		case r.reject != nil:
			n.rejected++
		}
		if r.home {
			n.home++
		}
	}
	return n
}

// Guards against many instances that each send to the same upstreams, because their
// knowledge of the others is half a second old: upstreams refuse for lack of room, sessions
// are read everywhere, and the part for streams gives up one upstream at a time. Load
// pattern: long prompts at three times their usual rate from the first second, at 63
// instances and 140 engines of 16 slots that could read them all, but have too few slots
// (ngri-bridge-grown scale-1, chromage-lorient-grown scale-1).
func TestFleetServesABurstOfLongPrompts(t *testing.T) {
	w := newFleet(63, 140, 16)
	w.stride = 4
	long, question, instruction := fleetShapes()
	const from, to = 2 * time.Second, 8 * time.Second
	w.run(11*time.Second, func(now time.Duration) {
		rate := 378.0
		if now < 9*time.Second {
			rate *= 2.9
		}
		w.arrive(now, rate, long, "a")
		w.arrive(now, 292, question, "b")
		w.arrive(now, 105, instruction, "c")
	})
	n := w.served(long.class, from, to)
	t.Logf("long prompts: %+v, %.2f on time", n, w.onTime(long.class, from, to))
	// The users' floor: at most 60 in 100 are rejected or fail.
	if n.done < n.asked*4/10 {
		t.Errorf("%d of %d long prompts are served", n.done, n.asked)
	}
	if n.full > 0 {
		t.Errorf("%d long prompts were refused by an engine without room", n.full)
	}
	if placed := n.asked - n.rejected; n.home < placed/2 {
		t.Errorf("%d of %d placed long prompts are at the home of their session", n.home, placed)
	}
	for _, class := range []string{question.class, instruction.class} {
		n := w.served(class, from, to)
		t.Logf("%s: %+v, %.2f on time", class, n, w.onTime(class, from, to))
		if share := float64(n.done) / float64(n.asked); share < target {
			t.Errorf("%s: %.3f served, want %.2f", class, share, target)
		}
	}
}

// Guards against a predicted queue that grows without end, because every answer corrects
// the same error again: the engine idles while its requests are rejected. Load pattern: four
// times the long prompts that two engines can read.
func TestPredictedWaitFollowsTheEngine(t *testing.T) {
	w := newWorld(2)
	w.run(20*time.Second, func(now time.Duration) {
		if now%(100*time.Millisecond) == 0 {
			for _, s := range w.ds[0].order {
				if wait := s.wait(now, longPrompts.priority); len(w.engines[s.ID].reading) == 0 && wait > longPrompts.target {
					t.Fatalf("%v: %s reads nothing, its predicted wait is %v", now, s.ID, wait)
				}
			}
		}
		w.arrive(now, 33, longPrompts, "a")
	})
}

// Guards against predictions that are multiplied because every upstream answers later than
// predicted: none of them is slower than the others, and long questions are rejected for
// waits of half a minute. Load pattern: queues that the instance does not know of.
func TestLateAnswersOfAllUpstreamsSlowNone(t *testing.T) {
	w := newWorld(6)
	d := w.ds[0]
	now := time.Duration(0)
	for range 200 {
		now += 50 * time.Millisecond
		r := w.request(now, questions, "a")
		if g := d.Submit(now, r.Request).Grant; g != nil {
			later := now + 10*(g.Wait+g.Work+stepTime)
			d.FirstOutput(later, g.Token)
			d.Done(later, g.Token, Succeeded)
		}
	}
	for _, s := range d.Snapshot(now) {
		if s.Slowness > 2 {
			t.Errorf("%s counts as %.1f times slower than predicted", s.ID, s.Slowness)
		}
	}
}

// Guards against a border that takes the longer to move the more upstreams there are. Load
// pattern: long prompts from the first second on 140 engines of which half were kept for
// streams.
func TestBorderMovesAsFastWithManyUpstreams(t *testing.T) {
	moved := func(engines int, rate float64) time.Duration {
		w := newWorld(engines)
		w.run(20*time.Second, func(now time.Duration) {
			w.arrive(now, rate, longPrompts, "a")
			if b := w.ds[0].Border(now); b.ForStreams > engines/4 {
				w.movedAt = now
			}
		})
		return w.movedAt
	}
	few, many := moved(18, 110), moved(140, 110*140.0/18)
	t.Logf("a quarter is left for streams after %v with 18 engines, %v with 140", few, many)
	if many > few+2*shrinkPause {
		t.Errorf("%v with 140 engines, %v with 18", many, few)
	}
}
