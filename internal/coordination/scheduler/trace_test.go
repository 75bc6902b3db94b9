package scheduler

import (
	"math/rand/v2"
	"testing"
	"time"
)

// traceOptions declare one urgent and one bulk class, and the default share of 32.
func traceOptions() Options {
	return Options{
		Classes: []Class{
			{"memo", 1, 400 * ms, time.Second, 200 * ms},
			{"draft", 3, time.Minute, time.Minute, 5 * time.Second},
		},
		Teams: []Team{{"a", 1}, {"b", 1}},
	}
}

// stream sends requests of a class at a constant rate.
type stream struct {
	class, team string
	every       time.Duration
}

// result counts what became of the requests of a trace, by class.
type result struct {
	run, late map[string]int // late: first token after the class's first-token target
	shed      map[string]map[ShedReason]int
	waits     map[string]time.Duration // the longest from arrival to dispatch
	retry     []time.Duration
}

// trace runs streams against slots upstream slots, whose number the scheduler
// is not told. Every request takes service, and its first token a fifth of that.
func trace(s *Scheduler, o Options, slots int, service, start, length time.Duration, streams ...stream) result {
	res := result{map[string]int{}, map[string]int{}, map[string]map[ShedReason]int{}, map[string]time.Duration{}, nil}
	names := map[uint64]string{}
	first := uint64(start) // so that two traces of a scheduler have different IDs
	targets := map[string]time.Duration{}
	res.shed[""] = map[ShedReason]int{} // requests of an earlier trace
	for _, c := range o.Classes {
		targets[c.Name] = c.FirstTokenTarget
		res.shed[c.Name] = map[ShedReason]int{}
	}
	count := func(sheds []Shed) {
		for _, x := range sheds {
			res.shed[names[x.ID]][x.Reason]++
			res.retry = append(res.retry, x.RetryAfter)
		}
	}
	var running []run // in the order in which they end
	for now := start; now < start+length; now += ms {
		for len(running) > 0 && running[0].start+service <= now {
			x := running[0]
			running = running[1:]
			s.Observe(now, Sample{Class: x.r.Class, Team: x.r.Team, FirstToken: service / 5, Service: service, OutputTokens: 9})
		}
		for _, x := range streams {
			if now%x.every == 0 {
				r := Request{ID: first + uint64(len(names)+1), Class: x.class, Team: x.team, Arrived: now}
				names[r.ID] = x.class
				count(s.Enqueue(now, r))
			}
		}
		for len(running) < slots {
			r, ok, sheds := s.Next(now)
			count(sheds)
			if !ok {
				break
			}
			running = append(running, run{r, now})
			res.run[r.Class]++
			res.waits[r.Class] = max(res.waits[r.Class], now-r.Arrived)
			if now+service/5 > r.Arrived+targets[r.Class] {
				res.late[r.Class]++
			}
		}
		count(s.Tick(now))
	}
	return res
}

func newTrace(o Options) *Scheduler { return New(o, rand.New(rand.NewPCG(1, 2))) }

// TestEndlessOverload is the trace in which P1 and P2 both hold although tier 1
// asks for twice the capacity (40/s) for ever. Guards against bulk requests that
// are shed or starve, against admitted requests of tier 1 that are shed later,
// and against a tier 1 that pays more than one dispatch in 32.
func TestEndlessOverload(t *testing.T) {
	for _, c := range []struct {
		name      string
		weight    int // of team b; team a has 1
		mayExpire int // one in so many admitted memos; 0 for none
	}{{"equal teams", 1, 0}, {"a team overtakes", 3, 50}} {
		t.Run(c.name, func(t *testing.T) {
			o := traceOptions()
			o.Teams[1].Weight = c.weight
			memos := []stream{{"memo", "a", 25 * ms}, {"memo", "b", 25 * ms}}
			alone := trace(newTrace(o), o, 4, 100*ms, 0, 3*time.Minute, memos...)
			both := trace(newTrace(o), o, 4, 100*ms, 0, 3*time.Minute, append(memos, stream{"draft", "a", time.Second})...)
			t.Logf("tier 1 alone: %d run, shed %v", alone.run["memo"], alone.shed["memo"])
			t.Logf("with bulk: %d memos run, %d late, shed %v, longest wait %v; %d drafts run, shed %v, longest wait %v",
				both.run["memo"], both.late["memo"], both.shed["memo"], both.waits["memo"],
				both.run["draft"], both.shed["draft"], both.waits["draft"])
			checkOverload(t, alone, both, c.mayExpire)
		})
	}
}

func checkOverload(t *testing.T, alone, both result, mayExpire int) {
	// 13 drafts at most are queued ahead; 32 dispatches take 0.8 s.
	bound := 2*5*time.Second + 14*800*ms
	failIf(t, len(both.shed["draft"]) > 0 || both.waits["draft"] > bound || both.run["draft"] < 160, "P2: %d drafts ran, shed %v, longest wait %v, bound %v", both.run["draft"], both.shed["draft"], both.waits["draft"], bound)
	expired := both.shed["memo"][ReasonExpired] + both.shed["memo"][ReasonQueueFull]
	failIf(t, expired*mayExpire > both.run["memo"] || mayExpire == 0 && expired > 0 || both.late["memo"] > 0, "P1: %d admitted memos were shed, %d late", expired, both.late["memo"])
	total := both.run["memo"] + both.run["draft"]
	if paid := alone.run["memo"] - both.run["memo"]; paid > total/32+1 {
		t.Errorf("P1: tier 1 paid %d of %d dispatches, bound 1/32", paid, total)
	}
	failIf(t, total < 7200*99/100, "%d of 7200 possible requests ran", total)
	// The backlog drains within the first-token target; the first tenth learns.
	least, greatest := time.Hour, time.Duration(0)
	for _, x := range both.retry[len(both.retry)/10:] {
		least, greatest = min(least, x), max(greatest, x)
	}
	failIf(t, least < 200*ms || greatest > 850*ms || greatest < least*3/2, "RetryAfter from %v to %v, want a spread over [t, 2t] with t of 200 to 425 ms", least, greatest)
}

// TestGuaranteedShareAdmits guards against bulk requests that are shed on arrival
// because of the backlog of a higher tier, although the aged share serves them
// in time. The backlog grows to a minute, the drafts allow 30 seconds.
func TestGuaranteedShareAdmits(t *testing.T) {
	o := traceOptions()
	o.Objective = Goodput
	o.Classes[0].Deadline, o.Classes[1].Deadline = 2*time.Minute, 30*time.Second
	res := trace(newTrace(o), o, 4, 100*ms, 0, 2*time.Minute, stream{"memo", "a", 12 * ms}, stream{"draft", "a", time.Second})
	t.Logf("%d drafts run, shed %v; %d memos run, shed %v", res.run["draft"], res.shed["draft"], res.run["memo"], res.shed["memo"])
	failIf(t, len(res.shed["draft"]) > 0 || res.run["draft"] < 105, "%d drafts ran, shed %v", res.run["draft"], res.shed["draft"])
}

// TestDefaultMaxWait guards against a class without a MaxWait, or with one close
// to its limit, that starves under an endless overload of a higher tier.
func TestDefaultMaxWait(t *testing.T) {
	for _, wait := range []time.Duration{0, time.Minute} {
		o := traceOptions()
		o.Classes[1].MaxWait = wait
		res := trace(newTrace(o), o, 4, 100*ms, 0, 2*time.Minute, stream{"memo", "a", 12 * ms}, stream{"draft", "a", time.Second})
		failIf(t, len(res.shed["draft"]) > 0 || res.run["draft"] < 85, "MaxWait %v: %d drafts ran, shed %v", wait, res.run["draft"], res.shed["draft"])
	}
}

// TestBulkOverload guards against bulk requests that are admitted beyond what
// the aged share serves in time, and against a share that is left unused.
func TestBulkOverload(t *testing.T) {
	o := traceOptions()
	res := trace(newTrace(o), o, 4, 100*ms, 0, 4*time.Minute,
		stream{"memo", "a", 12 * ms}, stream{"draft", "a", 100 * ms}, stream{"draft", "b", 100 * ms})
	t.Logf("%d drafts run, %d late, shed %v; %d memos run, shed %v", res.run["draft"], res.late["draft"], res.shed["draft"], res.run["memo"], res.shed["memo"])
	// The share is 1.25/s once the first drafts are due, after 10 s.
	if res.run["draft"] < 270 || res.shed["draft"][ReasonExpired]*20 > res.run["draft"] || res.shed["memo"][ReasonExpired] > 0 {
		t.Errorf("%d drafts ran of about 287; expired after admission: %d drafts, %d memos",
			res.run["draft"], res.shed["draft"][ReasonExpired], res.shed["memo"][ReasonExpired])
	}
}

// TestColdStartAdmits guards against requests that are shed before there is
// evidence of overload: at 75% of the capacity, and in a burst at the start.
func TestColdStartAdmits(t *testing.T) {
	o := traceOptions()
	o.Classes[1].FirstTokenTarget = 2 * time.Second
	res := trace(newTrace(o), o, 4, 100*ms, 0, 20*time.Second, stream{"memo", "a", 50 * ms}, stream{"draft", "b", 100 * ms})
	failIf(t, len(res.shed["memo"])+len(res.shed["draft"]) > 0, "shed without overload: %v", res.shed)
	s := newTrace(o)
	for id := range uint64(1000) {
		sheds := s.Enqueue(0, Request{ID: id, Class: "memo", Team: "a"})
		failIf(t, len(sheds) > 0, "shed without any sample: %v", sheds)
	}
}

// TestHeldTiers guards against bulk work that starves, or takes more than its
// share, while a peer sheds tier 1 for ever.
func TestHeldTiers(t *testing.T) {
	o := traceOptions()
	o.PeerStaleness = time.Hour
	s := newTrace(o)
	trace(s, o, 4, 100*ms, 0, 5*time.Second, stream{"memo", "a", 20 * ms})
	e := s.Estimate(5*time.Second, "memo")
	failIf(t, e.Service != 100*ms || e.FirstToken != 20*ms || e.OutputTokens != 9 || e.Capacity < 3.8 || e.Capacity > 4.2, "learned %+v", e)
	s.MergePressure(5*time.Second, "peer", Pressure{HighestShed: 1}, 0)
	res := trace(s, o, 4, 100*ms, 5*time.Second, 50*time.Second, stream{"draft", "a", 500 * ms})
	// Drafts age after 5 s; then one runs every 32 * 25 ms.
	if n := res.run["draft"]; n < 50 || n > 60 {
		t.Errorf("%d drafts ran in 45 s, want about 56", n)
	}
}

// TestShedDoesNotLockIn guards against estimates from a bad time that keep
// requests from running and therefore from correcting them.
func TestShedDoesNotLockIn(t *testing.T) {
	o := traceOptions()
	s := newTrace(o)
	slow := func(now time.Duration) {
		for id := range uint64(20) {
			s.Enqueue(now, Request{ID: id, Class: "memo", Team: "a", Arrived: now})
		}
		for range 20 {
			if _, ok, _ := s.Next(now); ok {
				s.Observe(now, Sample{Class: "memo", Team: "a", FirstToken: 30 * time.Second, Service: time.Minute})
			}
		}
	}
	slow(0)
	memo := Request{ID: 100, Class: "memo", Team: "a", Arrived: time.Second}
	sheds := s.Enqueue(time.Second, memo)
	failIf(t, len(sheds) > 0, "shed while nothing was queued or in flight: %v", sheds)
	if _, ok, sheds := s.Next(time.Second); !ok {
		t.Fatalf("shed at dispatch while nothing was in flight: %v", sheds)
	}
	// That one never ends. Its slot counts as in flight, and the estimate says 30 s.
	memo.ID, memo.Arrived = 101, 2*time.Second
	sheds = s.Enqueue(2*time.Second, memo)
	failIf(t, len(sheds) != 1 || sheds[0].Reason != ReasonDeadline, "admitted against the estimate: %v", sheds)
	memo.ID, memo.Arrived = 102, 80*time.Second
	sheds = s.Enqueue(80*time.Second, memo)
	failIf(t, len(sheds) > 0, "still shed after 7 half-lives: %v", sheds)
}

// TestBurstOfOneTeam guards against a burst that has other teams' requests shed or delayed.
func TestBurstOfOneTeam(t *testing.T) {
	o := traceOptions()
	s := newTrace(o)
	trace(s, o, 4, 100*ms, 0, 10*time.Second, stream{"memo", "a", 30 * ms}, stream{"memo", "b", 300 * ms})
	now := 10 * time.Second
	for id := range uint64(3000) {
		s.Enqueue(now, Request{ID: 5000 + id, Class: "memo", Team: "a", Arrived: now})
	}
	sheds := s.Enqueue(now, Request{ID: 9000, Class: "memo", Team: "b", Arrived: now})
	failIf(t, len(sheds) > 0, "team b pays for team a's burst: %v", sheds)
	for range 3 {
		if r, _, _ := s.Next(now); r.ID == 9000 {
			return
		}
	}
	t.Fatal("team b waits behind team a's burst")
}

// aged returns a scheduler whose next dispatch may go to the aged draft 1,
// with the waiting memo 2. The draft is aged at 5 s and due at 10 s.
func aged(limit int, at, memoDeadline time.Duration) *Scheduler {
	o := traceOptions()
	o.AgedShare, o.QueueLimit, o.Objective = 2, limit, Goodput
	s := newTrace(o)
	s.Enqueue(at-2*time.Second, Request{ID: 9, Class: "memo", Team: "a", Arrived: at - 2*time.Second})
	for id := range uint64(20) { // one slot, 100 ms each, and always one that waits
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

// TestAgedShareSparesHigherTiers guards against an aged dispatch before its due
// time that makes a higher tier miss its limit.
func TestAgedShareSparesHigherTiers(t *testing.T) {
	for _, c := range []struct {
		at, memo time.Duration
		want     uint64
	}{{6 * time.Second, 5 * time.Second, 1}, {6 * time.Second, 250 * ms, 2}, {11 * time.Second, 250 * ms, 1}} {
		if r, _, _ := aged(10, c.at, c.memo).Next(c.at); r.ID != c.want {
			t.Errorf("at %v with %v left, request %d runs, want %d", c.at, c.memo, r.ID, c.want)
		}
	}
}

// TestPassedOverIsKept guards against the loss of a request whose turn an aged
// dispatch took: to a full queue, to its limit, or to another team of its tier.
func TestPassedOverIsKept(t *testing.T) {
	at := 11 * time.Second
	s := aged(1, at, 250*ms)
	if r, _, _ := s.Next(at); r.ID != 1 {
		t.Fatalf("request %d runs, want the draft", r.ID)
	}
	sheds := s.Enqueue(at+ms, Request{ID: 4, Class: "memo", Team: "b", Arrived: at})
	failIf(t, len(sheds) > 0, "full queue: %v", sheds)
	sheds = s.Tick(at + 300*ms)
	failIf(t, len(sheds) > 0, "expired: %v", sheds)
	if r, _, sheds := s.Next(at + 400*ms); r.ID != 2 {
		t.Fatalf("request %d runs, %v shed, want the one passed over", r.ID, sheds)
	}
}
