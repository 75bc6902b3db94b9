package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// mixedOverload simulates a burst of long prompts and of streams at the same time, from two
// teams with priorities of their own, at several instances: ten times the usual long prompts
// and streamFactor times the usual streams of a deployment of 12 engines with 64 slots.
func mixedOverload(seed uint64, streamFactor float64) *simulation {
	sim := newFleetSimulation(6, 12, simSlots)
	sim.rng = rand.New(rand.NewPCG(seed, seed))
	sim.reportInterval, sim.reportDelay = 100*time.Millisecond, 10*time.Millisecond
	sim.run(14*time.Second, func(now time.Duration) {
		long, streams := 18.1, 18.7
		if now > time.Second {
			long *= 10
		}
		if now > 3*time.Second && now < 11*time.Second {
			streams *= streamFactor
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
		sim := mixedOverload(seed, 12)
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

// The patience of a caller is the time for which it waits for the first event of an answer.
const (
	questionPatience    = 2400 * time.Millisecond
	instructionPatience = 2 * time.Second
)

// checkServedBeforeLongPrompts checks that in each five seconds at most maxUnservedShare of a
// class's requests get nothing while long prompts of the same team start.
func checkServedBeforeLongPrompts(t *testing.T, sim *simulation, class string, patience time.Duration) {
	t.Helper()
	const window = 5 * time.Second
	for from := time.Duration(0); from < 2*window; from += window {
		for _, team := range []string{"urgent", "usual"} {
			submitted, unserved, longStarted := 0, 0, 0
			for _, r := range sim.requests {
				switch {
				case r.Team == team && r.Class == class && r.arrived >= from && r.arrived < from+window:
					submitted++
					if r.firstOutputAt == 0 || r.firstOutputAt > r.arrived+patience {
						unserved++
					}
				case r.Team == team && r.Class == longPrompts.class && r.firstOutputAt > from && r.firstOutputAt <= from+window:
					longStarted++
				}
			}
			outcome := fmt.Sprintf("from %v, team %s: %d of %d requests of class %s got nothing while %d long prompts started", from, team, unserved, submitted, class, longStarted)
			t.Log(outcome)
			if longStarted > 0 && float64(unserved) > maxUnservedShare*float64(submitted) {
				t.Error(outcome)
			}
		}
	}
}

// Guards against questions that are rejected, or wait until their callers leave, while the less
// urgent long prompts of the same team start.
func TestQuestionsAreServedWhileLessUrgentLongPromptsStart(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			checkServedBeforeLongPrompts(t, mixedOverload(seed, 12), questions.class, questionPatience)
		})
	}
}

// Guards against streams that wait for slots until their callers leave, because long prompts
// are placed on the upstreams for streams and queue there beyond the slots.
func TestStreamsAreServedWhileLessUrgentLongPromptsStart(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			checkServedBeforeLongPrompts(t, mixedOverload(seed, 14), instructions.class, instructionPatience)
		})
	}
}

// Guards against an upstream for long prompts that loses its role when streams are placed there
// for lack of other slots. Without any such upstream, long prompts are placed on all upstreams.
func TestUpstreamForLongPromptsKeepsItsRoleWhenStreamsAreAdded(t *testing.T) {
	sim := newSimulation(3)
	d := sim.dispatchers[0]
	upstreamForLong := func() string {
		for _, u := range d.Snapshot(0) {
			if u.ForLong {
				return u.ID
			}
		}
		return ""
	}
	id := upstreamForLong()
	if id == "" {
		t.Fatal("no upstream is for long prompts at the start")
	}
	load := Load{Upstream: d.upstreams[id].tag, InFlight: fullPenaltyStreams, Streams: fullPenaltyStreams}
	d.Merge(time.Second, "peer", Report{Loads: []Load{load}})
	d.Advance(time.Second)
	if got := upstreamForLong(); got != id {
		t.Errorf("the upstream for long prompts is %q after %d streams were placed there, want %q", got, fullPenaltyStreams, id)
	}
}

// Guards against long prompts that queue beyond the slots of an upstream for streams, where
// they take each slot that is freed before the streams that wait for one.
func TestLongPromptDoesNotQueueBeyondTheSlotsOfAnUpstreamForStreams(t *testing.T) {
	sim := newSimulation(3)
	d := sim.dispatchers[0]
	var loads []Load
	for _, u := range d.Snapshot(0) {
		if u.ForLong {
			g := d.Submit(0, sim.newRequest(0, longPrompts, "a").Request).Grant
			d.Done(0, g.Token, Unreachable) // ejects the upstream
			continue
		}
		loads = append(loads, Load{Upstream: d.upstreams[u.ID].tag, InFlight: u.Slots})
	}
	d.Merge(0, "peer", Report{Loads: loads})
	if decision := d.Submit(0, sim.newRequest(0, longPrompts, "a").Request); decision.Grant != nil {
		t.Errorf("a long prompt was placed on %s, which has %d requests for %d slots", decision.Grant.Upstream.ID, decision.Grant.Load, decision.Grant.Upstream.Slots)
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

// Guards against questions of a less urgent team that start after their callers have left, behind
// the long prompts of a more urgent team: the engines of the users take up to twice as long as
// predicted when they are overloaded.
func TestQuestionBehindLongPromptsStartsWithinItsCallersPatience(t *testing.T) {
	const overloadFactor = 2
	d := New(Options{}, rand.New(rand.NewPCG(1, 1)))
	d.Update(0, []Upstream{{ID: "engine", Slots: simSlots, KVCapacityTokens: simKVCapacity}})
	for id := uint64(1); id <= 40; id++ {
		d.Submit(0, Request{ID: id, Class: longPrompts.class, Team: "urgent", Rank: longPrompts.priority, Target: longPrompts.target, Deadline: longPrompts.deadline,
			Prompt: 9000, Prefix: []Part{{ID: id, Tokens: 9000}}, InterTokenTarget: longPrompts.interTokenTarget})
	}
	if d.Waiting() == 0 {
		t.Fatal("the load does not fill the engine's backlog")
	}
	decision := d.Submit(0, Request{ID: 100, Class: questions.class, Team: "usual", Rank: 3 + questions.priority, Target: questions.target, Deadline: questionPatience,
		Prompt: 1800, Prefix: []Part{{ID: 100, Tokens: 1800}}, InterTokenTarget: questions.interTokenTarget})
	if decision.Grant == nil {
		t.Fatalf("%+v", decision)
	}
	if start := decision.Grant.Wait + decision.Grant.Work; overloadFactor*start > questionPatience {
		t.Errorf("the question is predicted to start after %v; its caller leaves after %v", start, questionPatience)
	}
}
