package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// Classes of a deployment whose long prompts differ in urgency, beside streams that are the least urgent.
var (
	summaries = classProfile{class: "summary", priority: 2, groups: 4, sessions: 120, groupTokens: 5320, sessionTokens: 7980, ownTokens: 3720, sigma: 0.8, maxOwnTokens: 20_000, events: 40,
		target: 2 * time.Second, deadline: 8 * time.Second, interTokenTarget: 600 * time.Millisecond}
	matches = classProfile{class: "match", priority: 1, groups: 4, sessions: 60, groupTokens: 2520, sessionTokens: 3780, ownTokens: 2890, sigma: 0.8, maxOwnTokens: 12_000, events: 17,
		target: 600 * time.Millisecond, deadline: 2400 * time.Millisecond, interTokenTarget: 250 * time.Millisecond}
	chats = classProfile{class: "chat", priority: 2, groups: 8, sessions: 120, groupTokens: 210, sessionTokens: 140, ownTokens: 1110, sigma: 0.9, maxOwnTokens: 5000, events: 90,
		target: 400 * time.Millisecond, deadline: 2 * time.Second, interTokenTarget: 150 * time.Millisecond}
)

// simulateMatches simulates a burst of summaries beside matches, at eight instances and twelve engines.
func simulateMatches(seed uint64, matchRate float64, others func(sim *simulation, now time.Duration)) *simulation {
	sim := newFleetSimulation(8, 12, simSlots)
	sim.rng = rand.New(rand.NewPCG(seed, seed))
	sim.reportInterval, sim.reportDelay = 100*time.Millisecond, 10*time.Millisecond
	sim.run(12*time.Second, func(now time.Duration) {
		rate := 14.0
		if now > time.Second {
			rate *= 4
		}
		sim.submitTeamArrivals(now, rate, summaries, "usual", 1)
		sim.submitTeamArrivals(now, matchRate, matches, "usual", 1)
		others(sim, now)
	})
	return sim
}

// checkMatchesAreServed checks that in each five seconds at most maxUnservedShare of the matches get nothing while
// summaries of the same team start.
func checkMatchesAreServed(t *testing.T, sim *simulation) {
	t.Helper()
	const window = 5 * time.Second
	for from := time.Duration(0); from < 2*window; from += window {
		submitted, unserved, started := 0, 0, 0
		for _, r := range sim.requests {
			switch {
			case r.Class == matches.class && r.arrived >= from && r.arrived < from+window:
				submitted++
				if r.firstOutputAt == 0 {
					unserved++
				}
			case r.Class == summaries.class && r.Team == "usual" && r.firstOutputAt > from && r.firstOutputAt <= from+window:
				started++
			}
		}
		outcome := fmt.Sprintf("from %v: %d of %d urgent requests got nothing while %d less urgent ones began", from, unserved, submitted, started)
		t.Log(outcome)
		if started > 0 && float64(unserved) > maxUnservedShare*float64(submitted) {
			t.Error(outcome)
		}
	}
}

// Guards against urgent long prompts that wait for the one upstream that their sessions prefer, until their callers
// leave, while less urgent long prompts start elsewhere. Here the upstream is busy with one large session
// of a more urgent team.
func TestUrgentLongPromptsDoNotWaitForABusyUpstream(t *testing.T) {
	busy := summaries
	busy.sessions, busy.groups, busy.ownTokens = 1, 1, 9000
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			checkMatchesAreServed(t, simulateMatches(seed, 7, func(sim *simulation, now time.Duration) {
				sim.submitTeamArrivals(now, 8, busy, "urgent", 0)
			}))
		})
	}
}

// Guards against urgent long prompts that are left a single upstream because less urgent streams need the others.
func TestUrgentLongPromptsKeepUpstreamsBesideLessUrgentStreams(t *testing.T) {
	for seed := range uint64(3) {
		t.Run(fmt.Sprint("seed ", seed), func(t *testing.T) {
			checkMatchesAreServed(t, simulateMatches(seed, 9, func(sim *simulation, now time.Duration) {
				rate := 20.0
				if now > time.Second {
					rate *= 6
				}
				sim.submitTeamArrivals(now, rate, chats, "usual", 1)
				sim.submitTeamArrivals(now, 4, summaries, "urgent", 0)
			}))
		})
	}
}
