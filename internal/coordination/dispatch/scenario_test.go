package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// minOnTimeShare is the share of requests that must be on time where capacity allows; the
// users require 95 in 100.
const minOnTimeShare = 0.95

// Guards against streams that are late because chunks of long prompts are processed between
// their tokens. The load is long prompts at twice their usual rate for nine seconds, with the
// usual questions and instructions, on 18 engines that are about half utilized.
func TestInstructionsAreOnTimeInABurstOfLongPrompts(t *testing.T) {
	sim := newSimulation(18)
	const warmup, end = 6 * time.Second, 20 * time.Second
	sim.run(end, func(now time.Duration) {
		long := 24.7
		if now > warmup && now < warmup+9*time.Second {
			long *= 2
		}
		sim.submitArrivals(now, long, longPrompts, "a")
		sim.submitArrivals(now, 31.4, questions, "b")
		sim.submitArrivals(now, 25.6, instructions, "c")
	})
	for _, class := range []string{"instruction", "question", "dossier"} {
		got := sim.onTime(class, warmup, end-5*time.Second)
		t.Logf("%s: %.3f on time", class, got)
		if got < minOnTimeShare {
			t.Errorf("%s: %.3f on time, want %.2f", class, got, minOnTimeShare)
		}
	}
}

// Guards against sessions that move between engines, so that their prompts are processed
// repeatedly. The load is the usual rate of long prompts from 263 sessions.
func TestSessionsStayWhereTheirPromptIsCached(t *testing.T) {
	sim := newSimulation(18)
	sim.run(16*time.Second, func(now time.Duration) {
		sim.submitArrivals(now, 24.7, longPrompts, "a")
	})
	enginesBySession := map[uint64]map[string]bool{}
	for _, r := range sim.requests {
		session := r.Prefix[1].ID
		if enginesBySession[session] == nil {
			enginesBySession[session] = map[string]bool{}
		}
		enginesBySession[session][r.engine] = true
	}
	moved := 0
	for _, engines := range enginesBySession {
		moved += len(engines) - 1
	}
	// Each session is processed once on its engine. The split may move by one engine at a time
	// while the load builds up.
	if allowed := len(enginesBySession) / 5; moved > allowed {
		t.Errorf("%d additional engines for %d sessions, want at most %d", moved, len(enginesBySession), allowed)
	}
}

// Guards against sending requests to an engine without a free slot, which preempts a running
// request. The load is a burst of long answers at several instances, each of which receives
// only a part of it.
func TestNoEngineReceivesMoreThanItsSlots(t *testing.T) {
	const instances = 4
	var dispatchers []*Dispatcher
	upstreams := []Upstream{{ID: "x", Domain: "a", Slots: 16, KVCapacityTokens: simKVCapacity}, {ID: "y", Domain: "a", Slots: 16, KVCapacityTokens: simKVCapacity}}
	for i := range instances {
		d := New(Options{Domain: "a"}, rand.New(rand.NewPCG(1, uint64(i))))
		d.Update(0, upstreams)
		dispatchers = append(dispatchers, d)
	}
	granted := map[string]int{}
	sim := simulation{rng: rand.New(rand.NewPCG(3, 3))}
	now := time.Duration(0)
	for i := range 60 {
		now += 20 * time.Millisecond
		d := dispatchers[i%instances]
		if g := d.Submit(now, sim.newRequest(now, instructions, "a").Request).Grant; g != nil {
			if granted[g.Upstream.ID]++; granted[g.Upstream.ID] > 16 {
				t.Fatalf("request %d is number %d at %s, which has 16 slots", i, granted[g.Upstream.ID], g.Upstream.ID)
			}
		}
		for j, from := range dispatchers {
			r := from.Collect(now)
			for k, to := range dispatchers {
				if j != k {
					to.Merge(now, fmt.Sprint(j), r)
				}
			}
		}
	}
	if granted["x"]+granted["y"] != 32 {
		t.Errorf("granted %v, want 32 requests in total", granted)
	}
}

// Guards against one team whose waiting requests displace those of the other teams. One team
// sends eight times its usual rate of long prompts and the engines cannot process them all.
func TestTeamAtEightTimesItsUsualRateDoesNotStarveOthers(t *testing.T) {
	sim := newSimulation(2)
	sim.run(44*time.Second, func(now time.Duration) {
		sim.submitArrivals(now, 24, longPrompts, "large")
		for i := range 3 {
			sim.submitArrivals(now, 3, longPrompts, fmt.Sprint("small-", i))
		}
	})
	served, submitted := map[string]int{}, map[string]int{}
	for _, r := range sim.requests {
		if r.arrived < 40*time.Second {
			submitted[r.Team]++
			if r.token != 0 {
				served[r.Team]++
			}
		}
	}
	totalServed, totalSubmitted := 0, 0
	for team, n := range submitted {
		totalServed, totalSubmitted = totalServed+served[team], totalSubmitted+n
	}
	share := float64(totalServed) / float64(totalSubmitted)
	for team, n := range submitted {
		got := float64(served[team]) / float64(n)
		t.Logf("%s: %d submitted, %.2f served; all teams %.2f", team, n, got, share)
		if team != "large" && got < share {
			t.Errorf("%s: %.2f served, less than the mean of all teams, %.2f", team, got, share)
		}
	}
}

// Guards against rejecting a more urgent request while long prompts of a lower priority start.
// The load is three times the long prompts that the engines can process.
func TestUrgentRequestsAreNotRejectedBehindLessUrgentOnes(t *testing.T) {
	sim := newSimulation(4)
	sim.run(8*time.Second, func(now time.Duration) {
		sim.submitArrivals(now, 60, longPrompts, "a")
		sim.submitArrivals(now, 6, instructions, "b")
	})
	rejected := map[string]int{}
	for _, r := range sim.requests {
		if r.rejection != nil {
			rejected[r.Class]++
		}
	}
	if rejected["instruction"] > 0 {
		t.Errorf("%d instructions were rejected", rejected["instruction"])
	}
	if rejected["dossier"] == 0 {
		t.Error("no long prompt was rejected although the engines cannot process all of them")
	}
}

// Guards against rejected callers that all retry at the same time. The load is a hundred long
// prompts at once on one engine.
func TestRetryAfterIsSpreadOverTime(t *testing.T) {
	sim := newSimulation(1)
	for range 100 {
		sim.submit(0, sim.newRequest(0, longPrompts, "a"))
	}
	shortest, longest := time.Hour, time.Duration(0)
	rejected := 0
	for _, r := range sim.requests {
		if r.rejection != nil {
			rejected++
			shortest, longest = min(shortest, r.rejection.RetryAfter), max(longest, r.rejection.RetryAfter)
		}
	}
	if rejected < 10 || longest < shortest*3/2 {
		t.Errorf("%d rejected with retry delays from %v to %v, want at least 10 spread by a factor of 1.5", rejected, shortest, longest)
	}
}

// Guards against a partitioned failure domain in which each upstream costs one failed request
// before it is ejected.
func TestUnresponsiveDomainIsEjectedAsAWhole(t *testing.T) {
	d := New(Options{Domain: "a"}, rand.New(rand.NewPCG(1, 1)))
	var upstreams []Upstream
	for i := range 4 {
		upstreams = append(upstreams, Upstream{ID: fmt.Sprint("near-", i), Domain: "a", Slots: 4}, Upstream{ID: fmt.Sprint("far-", i), Domain: "b", Slots: 4})
	}
	d.Update(0, upstreams)
	now := time.Second
	request := func(exclude ...string) *Grant {
		now += time.Millisecond
		return d.Submit(now, Request{ID: uint64(now), Arrived: now, Target: now + time.Second, Deadline: now + time.Second, Exclude: exclude}).Grant
	}
	for range domainEjectThreshold {
		g := request("near-0", "near-1", "near-2", "near-3")
		if g.Upstream.Domain != "b" {
			t.Fatalf("granted %+v", g)
		}
		d.Done(now, g.Token, NoResponse)
	}
	for range 12 {
		if g := request(); g == nil || g.Upstream.Domain != "a" {
			t.Fatalf("granted %+v while the other domain is unresponsive", g)
		} else {
			d.Done(now, g.Token, Succeeded)
		}
	}
	due := d.ProbesDue(now + initialBackoff)
	if len(due) != 4 {
		t.Fatalf("%d upstreams are due for a probe, want 4", len(due))
	}
	for _, u := range due {
		d.RecordProbe(now+initialBackoff, u.ID, true)
	}
	for _, u := range d.Snapshot(now + initialBackoff) {
		if u.Ejected {
			t.Errorf("%s is still ejected", u.ID)
		}
	}
}

// Guards against a service that is not used at all because each of its upstreams fails part of
// its requests.
func TestServiceWithPartlyFailingUpstreamsIsStillUsed(t *testing.T) {
	d := New(Options{Domain: "a"}, rand.New(rand.NewPCG(1, 1)))
	d.Update(0, []Upstream{{ID: "x", Domain: "a", Slots: 4}, {ID: "y", Domain: "a", Slots: 4}})
	used := map[string]int{}
	for i := range 200 {
		now := time.Duration(i) * 10 * time.Millisecond
		g := d.Submit(now, Request{ID: uint64(i + 1), Arrived: now, Target: now + time.Second, Deadline: now + time.Second}).Grant
		if g == nil {
			t.Fatalf("request %d was not placed", i)
		}
		used[g.Upstream.ID]++
		status := Succeeded
		if i%2 == 0 {
			status = Failed
		}
		d.FirstOutput(now+5*time.Millisecond, g.Token)
		d.Done(now+5*time.Millisecond, g.Token, status)
	}
	if used["x"] < 20 || used["y"] < 20 {
		t.Errorf("granted %v, want at least 20 for each upstream", used)
	}
}

// Guards against placing requests on an upstream that fails more often than the others.
func TestUpstreamWithHigherFailureRateReceivesFewRequests(t *testing.T) {
	d := New(Options{Domain: "a"}, rand.New(rand.NewPCG(1, 1)))
	d.Update(0, []Upstream{{ID: "good-1", Domain: "a", Slots: 4}, {ID: "good-2", Domain: "a", Slots: 4}, {ID: "bad", Domain: "a", Slots: 4}})
	bad := 0
	for i := range 300 {
		now := time.Duration(i) * 10 * time.Millisecond
		g := d.Submit(now, Request{ID: uint64(i + 1), Arrived: now, Target: now + time.Second, Deadline: now + time.Second}).Grant
		status := Succeeded
		if g.Upstream.ID == "bad" {
			bad++
			status = Failed
		}
		d.FirstOutput(now+5*time.Millisecond, g.Token)
		d.Done(now+5*time.Millisecond, g.Token, status)
	}
	if bad > 300/10 {
		t.Errorf("%d of 300 requests went to the failing upstream", bad)
	}
}

// Guards against requests that remain counted because the report of their end was lost, for
// example when a relay stopped: the engine would appear full permanently.
func TestFullReportRepairsLostReport(t *testing.T) {
	upstreams := []Upstream{{ID: "x", Domain: "a", Slots: 16, KVCapacityTokens: simKVCapacity}}
	a, b := New(Options{}, rand.New(rand.NewPCG(1, 1))), New(Options{}, rand.New(rand.NewPCG(1, 2)))
	a.Update(0, upstreams)
	b.Update(0, upstreams)
	sim := simulation{rng: rand.New(rand.NewPCG(3, 3))}
	g := a.Submit(0, sim.newRequest(0, instructions, "t").Request).Grant
	b.Merge(0, "a", a.Collect(0))
	if load := b.Snapshot(0)[0].Load; load != 1 {
		t.Fatalf("load %d after the report", load)
	}
	a.Done(time.Second, g.Token, Succeeded)
	a.Collect(time.Second) // lost
	later := time.Second + fullReportInterval
	b.Merge(later, "a", a.Collect(later))
	if load := b.Snapshot(later)[0].Load; load != 0 {
		t.Errorf("load %d after the next full report", load)
	}
}

// Guards against long prompts of an urgent class waiting while those of a less urgent class
// start, because the shorter target of the urgent class allows a shorter queue at the engine.
// It was found with half of the engines down (ngri-bridge, mix --seed 551282911809).
func TestUrgentLongPromptsStartBeforeLessUrgentOnes(t *testing.T) {
	sim := newSimulation(4)
	longQuestions := questions
	longQuestions.ownTokens, longQuestions.sigma = 6000, 0
	sim.run(10*time.Second, func(now time.Duration) {
		for range sim.arrivalCount(30) {
			sim.submit(now, sim.newRequest(now, longPrompts, "a"))
		}
		for range sim.arrivalCount(3) {
			sim.submit(now, sim.newRequest(now, longQuestions, "a"))
		}
	})
	submitted, started := map[string]int{}, map[string]int{}
	for _, r := range sim.requests {
		if r.arrived > 2*time.Second && r.arrived < 7*time.Second {
			submitted[r.Class]++
			if r.token != 0 {
				started[r.Class]++
			}
		}
	}
	share := func(class string) float64 { return float64(started[class]) / float64(max(1, submitted[class])) }
	t.Logf("started: questions %.2f, dossiers %.2f", share("question"), share("dossier"))
	if share("question") < minOnTimeShare {
		t.Errorf("%.2f of the questions started, want %.2f", share("question"), minOnTimeShare)
	}
}

// Guards against a service that is never used again because its first response times exceeded
// every deadline, so that no further response times would be measured. It was found with an
// instance that was paused just after its start (soak --seed 100).
func TestServiceIsUsedAgainAfterAnswersBeyondTheDeadline(t *testing.T) {
	d := New(Options{Domain: "a"}, rand.New(rand.NewPCG(1, 1)))
	d.Update(0, []Upstream{{ID: "x", Domain: "a", Slots: 4}, {ID: "y", Domain: "a", Slots: 4}})
	const deadline = time.Second
	request := func(now time.Duration) *Grant {
		return d.Submit(now, Request{ID: uint64(now) + 1, Arrived: now, Target: now + deadline/4, Deadline: now + deadline}).Grant
	}
	paused := []*Grant{request(0), request(1), request(2)}
	now := 3 * deadline
	for _, g := range paused {
		d.FirstOutput(now, g.Token)
		d.Done(now, g.Token, Succeeded)
	}
	for i := range 20 {
		now += 100 * time.Millisecond
		g := request(now)
		if g == nil {
			t.Fatalf("request %d after the pause is rejected", i)
		}
		d.FirstOutput(now+10*time.Millisecond, g.Token)
		d.Done(now+10*time.Millisecond, g.Token, Succeeded)
	}
}
