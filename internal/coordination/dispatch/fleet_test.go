package dispatch

import (
	"testing"
	"time"
)

// fleetProfiles returns the classes of the larger deployments, with more sessions and shorter
// answers.
func fleetProfiles() (long, question, instruction classProfile) {
	long, question, instruction = longPrompts, questions, instructions
	long.sessions, long.events = 940, 13
	question.sessions, question.groups, question.events = 1160, 80, 6
	instruction.sessions, instruction.groups, instruction.events = 943, 16, 70
	instruction.interTokenTarget = 250 * time.Millisecond
	return long, question, instruction
}

// classOutcome counts the outcomes of a class's requests that arrived in an interval.
type classOutcome struct{ submitted, completed, refusedFull, rejected, preferred int }

func (sim *simulation) outcome(class string, from, to time.Duration) classOutcome {
	var counts classOutcome
	for _, r := range sim.requests {
		if r.Class != class || r.arrived < from || r.arrived >= to {
			continue
		}
		counts.submitted++
		switch {
		case r.completed:
			counts.completed++
		case r.refusedFull:
			counts.refusedFull++
		case r.rejection != nil:
			counts.rejected++
		}
		if r.preferred {
			counts.preferred++
		}
	}
	return counts
}

// Guards against many instances sending to the same upstreams because their knowledge of each
// other's load is half a second old. The faults were that upstreams refused requests for lack
// of capacity, that sessions were processed on many upstreams, and that the number of
// upstreams for streams shrank by only one at a time. The load is three times the usual rate of
// long prompts from the first second, at 63 instances and 140 engines of 16 slots that could
// process all of them but have too few slots. This is the load of scenario scale-1 on the days
// ngri-bridge-grown and chromage-lorient-grown.
func TestFleetServesABurstOfLongPrompts(t *testing.T) {
	sim := newFleetSimulation(63, 140, 16)
	sim.tokensPerEvent = 4
	long, question, instruction := fleetProfiles()
	const from, to = 2 * time.Second, 8 * time.Second
	sim.run(11*time.Second, func(now time.Duration) {
		rate := 378.0
		if now < 9*time.Second {
			rate *= 2.9
		}
		sim.submitArrivals(now, rate, long, "a")
		sim.submitArrivals(now, 292, question, "b")
		sim.submitArrivals(now, 105, instruction, "c")
	})
	counts := sim.outcome(long.class, from, to)
	t.Logf("long prompts: %+v, %.2f on time", counts, sim.onTime(long.class, from, to))
	// The requirement is that at most 60 in 100 are rejected or fail.
	if counts.completed < counts.submitted*4/10 {
		t.Errorf("%d of %d long prompts were completed, want at least 40 in 100", counts.completed, counts.submitted)
	}
	if counts.refusedFull > 0 {
		t.Errorf("%d long prompts were refused by an engine with a full queue", counts.refusedFull)
	}
	if placed := counts.submitted - counts.rejected; counts.preferred < placed/2 {
		t.Errorf("%d of %d placed long prompts are at the preferred upstream of their session, want half", counts.preferred, placed)
	}
	for _, class := range []string{question.class, instruction.class} {
		counts := sim.outcome(class, from, to)
		t.Logf("%s: %+v, %.2f on time", class, counts, sim.onTime(class, from, to))
		if share := float64(counts.completed) / float64(counts.submitted); share < minOnTimeShare {
			t.Errorf("%s: %.3f completed, want %.2f", class, share, minOnTimeShare)
		}
	}
}

// Guards against a predicted backlog that grows without bound because every answer corrects
// the same prediction error again, so that an engine is idle while its requests are rejected.
// The load is four times the long prompts that two engines can process.
func TestPredictedWaitTracksEngineBacklog(t *testing.T) {
	sim := newSimulation(2)
	sim.run(20*time.Second, func(now time.Duration) {
		if now%(100*time.Millisecond) == 0 {
			for _, u := range sim.dispatchers[0].byHash {
				if wait := u.predictedWait(now, longPrompts.priority); len(sim.engines[u.ID].prefilling) == 0 && wait > longPrompts.target {
					t.Fatalf("%v: %s processes no prompt but its predicted wait is %v", now, u.ID, wait)
				}
			}
		}
		sim.submitArrivals(now, 33, longPrompts, "a")
	})
}

// Guards against scaling predictions by a slowness that all upstreams share: every upstream
// answers later than predicted, none is slower than the others, and long questions were
// rejected for predicted waits of half a minute. The cause is load that the instance does not
// know of.
func TestUniformlyLateAnswersDoNotRaiseSlowness(t *testing.T) {
	sim := newSimulation(6)
	d := sim.dispatchers[0]
	now := time.Duration(0)
	for range 200 {
		now += 50 * time.Millisecond
		r := sim.newRequest(now, questions, "a")
		if g := d.Submit(now, r.Request).Grant; g != nil {
			later := now + 10*(g.Wait+g.Work+firstOutputStepTime)
			d.FirstOutput(later, g.Token)
			d.Done(later, g.Token, Succeeded)
		}
	}
	for _, u := range d.Snapshot(now) {
		if u.Slowness > 2 {
			t.Errorf("%s has slowness %.1f, want at most 2", u.ID, u.Slowness)
		}
	}
}

// Guards against a split that takes longer to adapt the more upstreams there are. The load is
// long prompts from the first second on 140 engines, half of which were kept for streams.
func TestUpstreamSplitConvergesAsFastWithManyUpstreams(t *testing.T) {
	settleTime := func(engines int, rate float64) time.Duration {
		sim := newSimulation(engines)
		sim.run(20*time.Second, func(now time.Duration) {
			sim.submitArrivals(now, rate, longPrompts, "a")
			if split := sim.dispatchers[0].UpstreamSplit(now); split.ForStreams > engines/4 {
				sim.splitSettledAt = now
			}
		})
		return sim.splitSettledAt
	}
	few, many := settleTime(18, 110), settleTime(140, 110*140.0/18)
	t.Logf("a quarter of the upstreams is left for streams after %v with 18 engines, after %v with 140", few, many)
	if many > few+2*shrinkInterval {
		t.Errorf("the split took %v to settle with 140 engines, %v with 18", many, few)
	}
}

// Guards against processing the shared parts of a session again because upstreams were reassigned to long prompts:
// the first of them in hash order for a session is then another one. At 90 engines a third of the sessions moved
// while a burst of long prompts was processed.
func TestSessionsStayWhenUpstreamsAreReassigned(t *testing.T) {
	sim := newSimulation(30)
	d := sim.dispatchers[0]
	now := time.Second
	moved, sessions := 0, 0
	for range 200 {
		r := sim.newRequest(now, longPrompts, "a").Request
		r.long = true
		for _, u := range d.byHash {
			u.forLong = true
		}
		order := d.rankedBySession(now, &r, 0, true)
		if order[0].hasSession(now, sessionID(r.Prefix)) {
			continue
		}
		sessions++
		order[0].forLong = false // it is for streams when the session begins
		home := d.rankedBySession(now, &r, 0, true)[0]
		home.cachePrefix(now, sharedParts(r.Prefix))
		order[0].forLong = true
		if after := d.rankedBySession(now, &r, 0, true); after[0] != home {
			moved++
		}
	}
	if sessions < 50 || moved > 0 {
		t.Errorf("%d of %d sessions moved", moved, sessions)
	}
}
