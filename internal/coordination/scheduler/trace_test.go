package scheduler

import (
	"math/rand/v2"
	"testing"
	"time"
)

// traceOptions returns options with one urgent and one bulk class and the default aging interval
// of 32.
func traceOptions() Options {
	return Options{
		Classes: []Class{
			{"memo", 1, 400 * ms, time.Second, 200 * ms},
			{"draft", 3, time.Minute, time.Minute, 5 * time.Second},
		},
		Teams: []Team{{"a", 1}, {"b", 1}},
	}
}

// arrivals describes requests of a class and team that arrive at a constant interval.
type arrivals struct {
	class, team string
	interval    time.Duration
}

// traceResult counts the outcomes of the requests of a trace by class.
type traceResult struct {
	dispatched, late map[string]int // late: dispatched, but with the first token after the class's target
	shed             map[string]map[ShedReason]int
	maxWait          map[string]time.Duration // longest time from arrival to dispatch
	retryAfters      []time.Duration
}

// runTrace simulates the arrivals with a number of upstream slots that the scheduler does not
// know. Every request takes the given service time and gets its first token after a fifth of it.
func runTrace(sched *Scheduler, o Options, slots int, service, start, duration time.Duration, load ...arrivals) traceResult {
	res := traceResult{map[string]int{}, map[string]int{}, map[string]map[ShedReason]int{}, map[string]time.Duration{}, nil}
	classByID := map[uint64]string{}
	firstID := uint64(start) // IDs must differ between two traces of one scheduler
	targets := map[string]time.Duration{}
	res.shed[""] = map[ShedReason]int{} // counts requests of an earlier trace
	for _, c := range o.Classes {
		targets[c.Name] = c.FirstTokenTarget
		res.shed[c.Name] = map[ShedReason]int{}
	}
	countSheds := func(sheds []Shed) {
		for _, s := range sheds {
			res.shed[classByID[s.ID]][s.Reason]++
			res.retryAfters = append(res.retryAfters, s.RetryAfter)
		}
	}
	var running []runningRequest // in order of completion
	for now := start; now < start+duration; now += ms {
		for len(running) > 0 && running[0].start+service <= now {
			ended := running[0]
			running = running[1:]
			sched.Observe(now, Sample{Class: ended.request.Class, Team: ended.request.Team, FirstToken: service / 5, Service: service, OutputTokens: 9})
		}
		for _, a := range load {
			if now%a.interval == 0 {
				r := Request{ID: firstID + uint64(len(classByID)+1), Class: a.class, Team: a.team, Arrived: now}
				classByID[r.ID] = a.class
				countSheds(sched.Enqueue(now, r))
			}
		}
		for len(running) < slots {
			r, ok, sheds := sched.Next(now)
			countSheds(sheds)
			if !ok {
				break
			}
			running = append(running, runningRequest{r, now})
			res.dispatched[r.Class]++
			res.maxWait[r.Class] = max(res.maxWait[r.Class], now-r.Arrived)
			if now+service/5 > r.Arrived+targets[r.Class] {
				res.late[r.Class]++
			}
		}
		countSheds(sched.Tick(now))
	}
	return res
}

func newTestScheduler(o Options) *Scheduler { return New(o, rand.New(rand.NewPCG(1, 2))) }

// TestSustainedOverload checks P1 and P2 while the load of tier 1 is permanently twice the
// capacity of 40 requests per second. It guards against bulk requests that are shed or starve,
// against admitted requests of tier 1 that are shed later, and against a tier 1 that loses
// more than one dispatch in 32.
func TestSustainedOverload(t *testing.T) {
	for _, c := range []struct {
		name                  string
		weightB               int // weight of team b; team a has 1
		minAdmittedPerExpired int // least admitted memos per expired one; 0 permits no expired memo
	}{{"equal teams", 1, 0}, {"unequal teams", 3, 50}} {
		t.Run(c.name, func(t *testing.T) {
			o := traceOptions()
			o.Teams[1].Weight = c.weightB
			memos := []arrivals{{"memo", "a", 25 * ms}, {"memo", "b", 25 * ms}}
			tier1Only := runTrace(newTestScheduler(o), o, 4, 100*ms, 0, 3*time.Minute, memos...)
			withBulk := runTrace(newTestScheduler(o), o, 4, 100*ms, 0, 3*time.Minute, append(memos, arrivals{"draft", "a", time.Second})...)
			t.Logf("tier 1 alone: %d run, shed %v", tier1Only.dispatched["memo"], tier1Only.shed["memo"])
			t.Logf("with bulk: %d memos run, %d late, shed %v, longest wait %v; %d drafts run, shed %v, longest wait %v",
				withBulk.dispatched["memo"], withBulk.late["memo"], withBulk.shed["memo"], withBulk.maxWait["memo"],
				withBulk.dispatched["draft"], withBulk.shed["draft"], withBulk.maxWait["draft"])
			checkOverload(t, tier1Only, withBulk, c.minAdmittedPerExpired)
		})
	}
}

func checkOverload(t *testing.T, tier1Only, withBulk traceResult, minAdmittedPerExpired int) {
	// At most 13 drafts are queued ahead, and 32 dispatches take 0.8 s.
	bound := 2*5*time.Second + 14*800*ms
	failIf(t, len(withBulk.shed["draft"]) > 0 || withBulk.maxWait["draft"] > bound || withBulk.dispatched["draft"] < 160, "P2: %d drafts ran, shed %v, longest wait %v, bound %v", withBulk.dispatched["draft"], withBulk.shed["draft"], withBulk.maxWait["draft"], bound)
	expired := withBulk.shed["memo"][ReasonExpired] + withBulk.shed["memo"][ReasonQueueFull]
	failIf(t, expired*minAdmittedPerExpired > withBulk.dispatched["memo"] || minAdmittedPerExpired == 0 && expired > 0 || withBulk.late["memo"] > 0, "P1: %d admitted memos were shed, %d late", expired, withBulk.late["memo"])
	total := withBulk.dispatched["memo"] + withBulk.dispatched["draft"]
	if lost := tier1Only.dispatched["memo"] - withBulk.dispatched["memo"]; lost > total/32+1 {
		t.Errorf("P1: tier 1 lost %d of %d dispatches, bound 1/32", lost, total)
	}
	failIf(t, total < 7200*99/100, "%d of 7200 possible requests ran", total)
	// The backlog is processed within the first-token target. The first tenth is left out because the
	// estimates are not settled yet.
	shortest, longest := time.Hour, time.Duration(0)
	for _, retryAfter := range withBulk.retryAfters[len(withBulk.retryAfters)/10:] {
		shortest, longest = min(shortest, retryAfter), max(longest, retryAfter)
	}
	failIf(t, shortest < 200*ms || longest > 850*ms || longest < shortest*3/2, "RetryAfter from %v to %v, want a spread over [t, 2t] with t of 200 to 425 ms", shortest, longest)
}

// TestAgingShareAdmits guards against bulk requests that are shed on arrival
// because of the backlog of a higher tier although aged dispatches would serve them
// in time. The backlog grows to one minute, and the drafts have a deadline of 30 s.
func TestAgingShareAdmits(t *testing.T) {
	o := traceOptions()
	o.Objective = Goodput
	o.Classes[0].Deadline, o.Classes[1].Deadline = 2*time.Minute, 30*time.Second
	res := runTrace(newTestScheduler(o), o, 4, 100*ms, 0, 2*time.Minute, arrivals{"memo", "a", 12 * ms}, arrivals{"draft", "a", time.Second})
	t.Logf("%d drafts run, shed %v; %d memos run, shed %v", res.dispatched["draft"], res.shed["draft"], res.dispatched["memo"], res.shed["memo"])
	failIf(t, len(res.shed["draft"]) > 0 || res.dispatched["draft"] < 105, "%d drafts ran, shed %v", res.dispatched["draft"], res.shed["draft"])
}

// TestDefaultMaxWait guards against the starvation of a class that has no MaxWait, or one close
// to its effective deadline, under a permanent overload of a higher tier.
func TestDefaultMaxWait(t *testing.T) {
	for _, maxWait := range []time.Duration{0, time.Minute} {
		o := traceOptions()
		o.Classes[1].MaxWait = maxWait
		res := runTrace(newTestScheduler(o), o, 4, 100*ms, 0, 2*time.Minute, arrivals{"memo", "a", 12 * ms}, arrivals{"draft", "a", time.Second})
		failIf(t, len(res.shed["draft"]) > 0 || res.dispatched["draft"] < 85, "MaxWait %v: %d drafts ran, shed %v", maxWait, res.dispatched["draft"], res.shed["draft"])
	}
}

// TestBulkOverload guards against admitting more bulk requests than aged dispatches
// serve in time, and against aged dispatches that are left unused.
func TestBulkOverload(t *testing.T) {
	o := traceOptions()
	res := runTrace(newTestScheduler(o), o, 4, 100*ms, 0, 4*time.Minute,
		arrivals{"memo", "a", 12 * ms}, arrivals{"draft", "a", 100 * ms}, arrivals{"draft", "b", 100 * ms})
	t.Logf("%d drafts run, %d late, shed %v; %d memos run, shed %v", res.dispatched["draft"], res.late["draft"], res.shed["draft"], res.dispatched["memo"], res.shed["memo"])
	// Aged dispatches amount to 1.25/s once the first drafts are due, after 10 s.
	if res.dispatched["draft"] < 270 || res.shed["draft"][ReasonExpired]*20 > res.dispatched["draft"] || res.shed["memo"][ReasonExpired] > 0 {
		t.Errorf("%d drafts ran, want about 287; expired after admission: %d drafts, %d memos",
			res.dispatched["draft"], res.shed["draft"][ReasonExpired], res.shed["memo"][ReasonExpired])
	}
}

// TestColdStartAdmits guards against requests that are shed without evidence of
// overload: at 75% of the capacity, and in a burst before the first sample.
func TestColdStartAdmits(t *testing.T) {
	o := traceOptions()
	o.Classes[1].FirstTokenTarget = 2 * time.Second
	res := runTrace(newTestScheduler(o), o, 4, 100*ms, 0, 20*time.Second, arrivals{"memo", "a", 50 * ms}, arrivals{"draft", "b", 100 * ms})
	failIf(t, len(res.shed["memo"])+len(res.shed["draft"]) > 0, "shed without overload: %v", res.shed)
	s := newTestScheduler(o)
	for id := range uint64(1000) {
		sheds := s.Enqueue(0, Request{ID: id, Class: "memo", Team: "a"})
		failIf(t, len(sheds) > 0, "shed without any sample: %v", sheds)
	}
}

// TestAgedDispatchesWhilePeerSheds guards against bulk requests that starve, or get more than
// the aged dispatches, while a peer sheds tier 1 permanently.
func TestAgedDispatchesWhilePeerSheds(t *testing.T) {
	o := traceOptions()
	o.MaxPeerPressureAge = time.Hour
	s := newTestScheduler(o)
	runTrace(s, o, 4, 100*ms, 0, 5*time.Second, arrivals{"memo", "a", 20 * ms})
	estimate := s.Estimate(5*time.Second, "memo")
	failIf(t, estimate.Service != 100*ms || estimate.FirstToken != 20*ms || estimate.OutputTokens != 9 || estimate.Capacity < 3.8 || estimate.Capacity > 4.2, "estimate %+v", estimate)
	s.MergePressure(5*time.Second, "peer", Pressure{HighestShed: 1}, 0)
	res := runTrace(s, o, 4, 100*ms, 5*time.Second, 50*time.Second, arrivals{"draft", "a", 500 * ms})
	// Drafts are aged after 5 s; from then on one is dispatched every 32 * 25 ms.
	if n := res.dispatched["draft"]; n < 50 || n > 60 {
		t.Errorf("%d drafts ran in 45 s, want about 56", n)
	}
}

// TestStaleEstimatesDoNotBlockAdmission guards against estimates from a slow period that have
// every request shed, so that no request runs and corrects them.
func TestStaleEstimatesDoNotBlockAdmission(t *testing.T) {
	o := traceOptions()
	s := newTestScheduler(o)
	observeSlowRequests := func(now time.Duration) {
		for id := range uint64(20) {
			s.Enqueue(now, Request{ID: id, Class: "memo", Team: "a", Arrived: now})
		}
		for range 20 {
			if _, ok, _ := s.Next(now); ok {
				s.Observe(now, Sample{Class: "memo", Team: "a", FirstToken: 30 * time.Second, Service: time.Minute})
			}
		}
	}
	observeSlowRequests(0)
	memo := Request{ID: 100, Class: "memo", Team: "a", Arrived: time.Second}
	sheds := s.Enqueue(time.Second, memo)
	failIf(t, len(sheds) > 0, "shed while nothing was queued or in flight: %v", sheds)
	if _, ok, sheds := s.Next(time.Second); !ok {
		t.Fatalf("shed at dispatch while nothing was in flight: %v", sheds)
	}
	// The dispatched request never ends, so one request stays in flight, and the estimated
	// first-token time is 30 s.
	memo.ID, memo.Arrived = 101, 2*time.Second
	sheds = s.Enqueue(2*time.Second, memo)
	failIf(t, len(sheds) != 1 || sheds[0].Reason != ReasonDeadline, "admitted against the estimate: %v", sheds)
	memo.ID, memo.Arrived = 102, 80*time.Second
	sheds = s.Enqueue(80*time.Second, memo)
	failIf(t, len(sheds) > 0, "still shed after 7 half-lives: %v", sheds)
}

// TestBurstOfOneTeam guards against a burst of one team that causes other teams' requests to be
// shed or delayed.
func TestBurstOfOneTeam(t *testing.T) {
	o := traceOptions()
	s := newTestScheduler(o)
	runTrace(s, o, 4, 100*ms, 0, 10*time.Second, arrivals{"memo", "a", 30 * ms}, arrivals{"memo", "b", 300 * ms})
	now := 10 * time.Second
	for id := range uint64(3000) {
		s.Enqueue(now, Request{ID: 5000 + id, Class: "memo", Team: "a", Arrived: now})
	}
	sheds := s.Enqueue(now, Request{ID: 9000, Class: "memo", Team: "b", Arrived: now})
	failIf(t, len(sheds) > 0, "team b's request was shed because of team a's burst: %v", sheds)
	for range 3 {
		if r, _, _ := s.Next(now); r.ID == 9000 {
			return
		}
	}
	t.Fatal("team b's request waits behind team a's burst")
}

// schedulerWithAgedDraft returns a scheduler in which draft 1 and memo 2 wait and the next dispatch
// may be an aged one. The draft is aged at 5 s and due at 10 s.
func schedulerWithAgedDraft(queueLimit int, at, memoDeadline time.Duration) *Scheduler {
	o := traceOptions()
	o.AgingInterval, o.QueueLimit, o.Objective = 2, queueLimit, Goodput
	s := newTestScheduler(o)
	s.Enqueue(at-2*time.Second, Request{ID: 9, Class: "memo", Team: "a", Arrived: at - 2*time.Second})
	for id := range uint64(20) { // one slot, 100 ms per request, and one request always waits
		now := at + time.Duration(int(id)-20)*100*ms
		s.Enqueue(now, Request{ID: 10 + id, Class: "memo", Team: "a", Arrived: now})
		s.Next(now)
		s.Observe(now+99*ms, Sample{Class: "memo", Team: "a", Service: 99 * ms, FirstToken: 20 * ms})
	}
	s.Next(at - ms)
	s.Enqueue(at-ms, Request{ID: 1, Class: "draft", Team: "a"})
	s.Enqueue(at, Request{ID: 2, Class: "memo", Team: "a", Arrived: at, Deadline: at + memoDeadline})
	return s
}

// TestEarlyAgedDispatchKeepsHigherTierDeadlines guards against an aged dispatch before the due
// time that causes a request of a higher tier to miss its effective deadline.
func TestEarlyAgedDispatchKeepsHigherTierDeadlines(t *testing.T) {
	for _, c := range []struct {
		at, memoDeadline time.Duration
		want             uint64
	}{{6 * time.Second, 5 * time.Second, 1}, {6 * time.Second, 250 * ms, 2}, {11 * time.Second, 250 * ms, 1}} {
		if r, _, _ := schedulerWithAgedDraft(10, c.at, c.memoDeadline).Next(c.at); r.ID != c.want {
			t.Errorf("at %v with a memo deadline in %v: request %d was dispatched, want %d", c.at, c.memoDeadline, r.ID, c.want)
		}
	}
}

// TestBypassedRequestIsKept guards against a bypassed request that is shed by a full queue, that
// expires, or that is dispatched after a request of another team of its tier.
func TestBypassedRequestIsKept(t *testing.T) {
	at := 11 * time.Second
	s := schedulerWithAgedDraft(1, at, 250*ms)
	if r, _, _ := s.Next(at); r.ID != 1 {
		t.Fatalf("request %d was dispatched, want the draft", r.ID)
	}
	sheds := s.Enqueue(at+ms, Request{ID: 4, Class: "memo", Team: "b", Arrived: at})
	failIf(t, len(sheds) > 0, "shed by a full queue: %v", sheds)
	sheds = s.Tick(at + 300*ms)
	failIf(t, len(sheds) > 0, "expired: %v", sheds)
	if r, _, sheds := s.Next(at + 400*ms); r.ID != 2 {
		t.Fatalf("request %d was dispatched, %v shed, want the bypassed request", r.ID, sheds)
	}
}
