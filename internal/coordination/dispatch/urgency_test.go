package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// mixedOverload simulates a burst of long prompts and of streams at the same time, from two
// teams with priorities of their own, at several instances: ten times the usual long prompts
// and twelve times the usual streams of a deployment of 12 engines with 64 slots.
func mixedOverload(seed uint64) *simulation {
	sim := newFleetSimulation(6, 12, simSlots)
	sim.rng = rand.New(rand.NewPCG(seed, seed))
	sim.reportInterval, sim.reportDelay = 100*time.Millisecond, 10*time.Millisecond
	sim.run(14*time.Second, func(now time.Duration) {
		long, streams := 18.1, 18.7
		if now > time.Second {
			long *= 10
		}
		if now > 3*time.Second && now < 11*time.Second {
			streams *= 12
		}
		for _, team := range []struct {
			name     string
			priority int
			share    float64 // of the requests
		}{{"urgent", 0, 0.2}, {"usual", 1, 0.8}} {
			sim.submitTeamArrivals(now, long*team.share, longPrompts, team.name, team.priority)
			sim.submitTeamArrivals(now, 23*team.share, questions, team.name, team.priority)
			sim.submitTeamArrivals(now, streams*team.share, instructions, team.name, team.priority)
		}
	})
	return sim
}

// Guards against engines that preempt a request of an urgent route and let a less urgent one
// of the same team run on.
func TestUrgentRequestsAreNotPreemptedWhileLessUrgentOnesRunOn(t *testing.T) {
	for seed := range uint64(3) {
		sim := mixedOverload(seed)
		preemptions := 0
		for _, e := range sim.engineOrder {
			preemptions += e.preemptions
		}
		wrong := map[string]int{}
		for _, r := range sim.requests {
			if r.preemptedBeside > 0 {
				wrong[r.Class]++
			}
		}
		t.Logf("seed %d: %d preemptions", seed, preemptions)
		if len(wrong) > 0 {
			t.Errorf("seed %d: preempted while less urgent requests ran on: %v", seed, wrong)
		}
	}
}

// maxUnservedShare is the share of a class's requests that may get nothing in five seconds in
// which less urgent requests of over twice their size start; the users allow one in twelve.
const maxUnservedShare = 1.0 / 12

// questionPatience is how long a caller waits for the first event of an answer to a question.
const questionPatience = 2400 * time.Millisecond

// Guards against questions that are rejected, or wait until their callers leave, while the less
// urgent long prompts of the same team start.
func TestQuestionsAreServedWhileLessUrgentLongPromptsStart(t *testing.T) {
	const window = 5 * time.Second
	for seed := range uint64(3) {
		sim := mixedOverload(seed)
		for from := time.Duration(0); from < 2*window; from += window {
			for _, team := range []string{"urgent", "usual"} {
				submitted, unserved, longStarted := 0, 0, 0
				for _, r := range sim.requests {
					switch {
					case r.Team == team && r.Class == questions.class && r.arrived >= from && r.arrived < from+window:
						submitted++
						if r.firstOutputAt == 0 || r.firstOutputAt > r.arrived+questionPatience {
							unserved++
						}
					case r.Team == team && r.Class == longPrompts.class && r.firstOutputAt > from && r.firstOutputAt <= from+window:
						longStarted++
					}
				}
				name := fmt.Sprintf("seed %d, from %v, team %s", seed, from, team)
				t.Logf("%s: %d of %d questions got nothing, %d long prompts started", name, unserved, submitted, longStarted)
				if longStarted > 0 && float64(unserved) > maxUnservedShare*float64(submitted) {
					t.Errorf("%s: %d of %d questions got nothing while %d long prompts started", name, unserved, submitted, longStarted)
				}
			}
		}
	}
}

// Guards against rejecting a question because of a backlog of less urgent long prompts of the
// same team, which the engine processes after it. Several instances have placed the backlog.
func TestQuestionIsNotRejectedForABacklogOfLessUrgentPrompts(t *testing.T) {
	const instances = 4
	sim := newFleetSimulation(instances, 1, simSlots)
	for i := range instances {
		for range 12 {
			r := sim.newTeamRequest(0, longPrompts, "usual", 1)
			r.instance = i
			sim.submitTo(0, r)
		}
	}
	for i, from := range sim.dispatchers[1:] {
		sim.dispatchers[0].Merge(0, fmt.Sprint(i+1), from.Collect(0))
	}
	longQuestions := questions
	longQuestions.ownTokens, longQuestions.sigma = 6000, 0
	r := sim.newTeamRequest(0, longQuestions, "usual", 1)
	sim.submitTo(0, r)
	if r.rejection != nil {
		t.Errorf("the question was rejected: %+v", *r.rejection)
	}
}
