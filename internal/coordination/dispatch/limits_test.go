package dispatch

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/yuccabridge/yuccabridge/internal/coordination/sharedlimit"
)

// limitedFleet simulates instances that send to upstreams of which some state a limit. Each
// instance gets requests at random times; upstreams answer after a fixed time.
type limitedFleet struct {
	rng       *rand.Rand
	now       time.Duration
	instances []*Dispatcher
	names     []string
	limits    map[string]float64 // stated now, by upstream
	arrivals  map[string][]time.Duration
	served    int
	rejected  map[Reason]int
	requests  uint64
	events    []fleetEvent
}

type fleetEvent struct {
	at  time.Duration
	run func()
}

const (
	fleetStep        = 10 * time.Millisecond
	fleetReportEvery = 100 * time.Millisecond
	fleetReportDelay = 20 * time.Millisecond
	fleetAnswerTime  = 30 * time.Millisecond
	// limitLearnTime is the time from the first answer with a limit until the bound applies.
	limitLearnTime = 3 * time.Second
	limitWindow    = 4 * time.Second
)

func newLimitedFleet(instances, upstreams, slots int) *limitedFleet {
	f := &limitedFleet{rng: rand.New(rand.NewPCG(7, 11)), limits: map[string]float64{}, arrivals: map[string][]time.Duration{}, rejected: map[Reason]int{}}
	var list []Upstream
	for i := range upstreams {
		list = append(list, Upstream{ID: fmt.Sprint("u", i), Slots: slots})
	}
	for i := range instances {
		f.names = append(f.names, fmt.Sprint("front-", i))
	}
	for i := range instances {
		d := New(Options{}, rand.New(rand.NewPCG(uint64(i), 3)))
		d.Update(0, list)
		others := slices.DeleteFunc(slices.Clone(f.names), func(name string) bool { return name == f.names[i] })
		d.SetInstances(0, f.names[i], others)
		f.instances = append(f.instances, d)
	}
	return f
}

func (f *limitedFleet) after(delay time.Duration, run func()) {
	f.events = append(f.events, fleetEvent{f.now + delay, run})
}

func (f *limitedFleet) handle(i int, decision Decision) {
	d := f.instances[i]
	switch {
	case decision.Rejection != nil:
		f.rejected[decision.Rejection.Reason]++
	case decision.Grant != nil:
		id, token := decision.Grant.Upstream.ID, decision.Grant.Token
		f.arrivals[id] = append(f.arrivals[id], f.now)
		f.after(fleetAnswerTime, func() {
			d.FirstOutput(f.now, token)
			d.RecordLimit(f.now, token, f.limits[id])
			d.Done(f.now, token, Succeeded)
			f.served++
		})
	}
}

// run passes time with the given rate of requests per second at each instance.
func (f *limitedFleet) run(duration time.Duration, rate float64) {
	for end := f.now + duration; f.now < end; f.now += fleetStep {
		due := f.events
		f.events = nil
		for _, e := range due {
			if e.at <= f.now {
				e.run()
			} else {
				f.events = append(f.events, e)
			}
		}
		for i, d := range f.instances {
			if f.rng.Float64() < rate*fleetStep.Seconds() {
				f.submit(i, f.rng.IntN(3))
			}
			for _, decision := range d.Advance(f.now) {
				f.handle(i, decision)
			}
			if f.now%fleetReportEvery == 0 {
				f.report(i)
			}
		}
	}
}

func (f *limitedFleet) submit(i, rank int) {
	f.requests++
	r := Request{ID: f.requests, Team: "team", Rank: rank, Arrived: f.now, Target: f.now + 500*time.Millisecond, Deadline: f.now + 2*time.Second}
	f.handle(i, f.instances[i].Submit(f.now, r))
}

func (f *limitedFleet) report(from int) {
	report := f.instances[from].Collect(f.now)
	if report.Empty() {
		return
	}
	f.after(fleetReportDelay, func() {
		for to, d := range f.instances {
			if to != from {
				d.Merge(f.now, f.names[from], report)
			}
		}
	})
}

// worstWindow returns the largest number of arrivals in a limitWindow from a time on.
func (f *limitedFleet) worstWindow(id string, from time.Duration) int {
	worst := 0
	list := slices.DeleteFunc(slices.Clone(f.arrivals[id]), func(at time.Duration) bool { return at < from })
	for i, at := range list {
		n, _ := slices.BinarySearch(list, at+limitWindow)
		worst = max(worst, n-i)
	}
	return worst
}

// Guards against a sum over the instances that exceeds the limit, against a limited upstream that
// gets nothing, and against a limit that outlives the last answer that states it, at instances that
// send nothing to the upstream.
func TestLimitIsKeptInSumUntilItEnds(t *testing.T) {
	for _, instances := range []int{1, 8, 63} {
		for _, limit := range []float64{0.5, 1, 2.2, 10} {
			t.Run(fmt.Sprint(instances, " instances, limit ", limit), func(t *testing.T) {
				f := newLimitedFleet(instances, 4, 16)
				rate := 160 / float64(instances)
				f.run(2*time.Second, rate)
				limited := f.instances[0].byHash[0].ID // the first choice of all instances
				f.limits[limited] = limit
				statedAt := f.now
				f.run(15*time.Second, rate)
				if n, bound := f.worstWindow(limited, statedAt+limitLearnTime), int(1.5*limit*limitWindow.Seconds()+5); n > bound {
					t.Errorf("%d requests in %v, want at most %d", n, limitWindow, bound)
				}
				if n := f.worstWindow(limited, statedAt+limitLearnTime); float64(n) < limit*limitWindow.Seconds()/2 {
					t.Errorf("%d requests in %v, want at least half of what the limit allows", n, limitWindow)
				}
				delete(f.limits, limited)
				f.run(5*time.Second, rate)
				endedAt := f.now
				f.run(limitWindow, rate)
				if n := f.worstWindow(limited, endedAt); n < 4*int(rate*float64(instances)/16) {
					t.Errorf("%d requests in %v after the limit has ended", n, limitWindow)
				}
				if len(f.rejected) > 0 {
					t.Errorf("rejected %v, although the other upstreams have room", f.rejected)
				}
			})
		}
	}
}

// Guards against requests that go to ejected upstreams because the others have a limit, and
// against rejections without a time to come back that follows from the limits.
func TestRequestsBeyondAllLimitsAreRejected(t *testing.T) {
	f := newLimitedFleet(8, 4, 16)
	f.run(time.Second, 10)
	down := "u3"
	for _, d := range f.instances {
		d.mu.Lock()
		d.upstreams[down].recordConnectFailure(f.now)
		d.mu.Unlock()
	}
	for _, id := range []string{"u0", "u1", "u2"} {
		f.limits[id] = 2
	}
	f.run(limitLearnTime, 10)
	clear(f.rejected)
	from, served := f.now, f.served
	f.run(20*time.Second, 10)
	for id := range f.limits {
		if n, bound := f.worstWindow(id, from), 17; n > bound {
			t.Errorf("%s got %d requests in %v, want at most %d", id, n, limitWindow, bound)
		}
	}
	if n := f.worstWindow(down, from); n > 0 {
		t.Errorf("the ejected upstream got %d requests in %v", n, limitWindow)
	}
	if n := f.served - served; n < 60 {
		t.Errorf("%d requests served in 20 s, want at least half of the limits", n)
	}
	if f.rejected[ReasonLimit] == 0 || len(f.rejected) > 1 {
		t.Errorf("rejected %v, want only %q", f.rejected, ReasonLimit)
	}
	d := f.instances[0]
	for range 100 {
		decision := d.Submit(f.now, Request{ID: 1 << 40, Target: f.now, Deadline: f.now + time.Second})
		if decision.Rejection == nil || decision.Rejection.RetryAfter <= 0 {
			t.Fatalf("decision %+v, want a rejection with a time to come back", decision)
		}
	}
}

// Guards against less urgent requests that take the permits of a limit before more urgent ones.
func TestMostUrgentRequestGetsTheNextPermit(t *testing.T) {
	d := New(Options{}, rand.New(rand.NewPCG(1, 2)))
	d.Update(0, []Upstream{{ID: "u", Slots: 8}})
	d.SetInstances(0, "front-0", nil)
	d.upstreams["u"].limiter.Merge(0, sharedlimit.Limit{Rate: 1, Version: 1})
	for id, rank := range []int{5, 3, 1} {
		r := Request{ID: uint64(id), Team: "team", Rank: rank, Target: 10 * time.Second, Deadline: 10 * time.Second}
		if decision := d.Submit(0, r); decision.Grant != nil || decision.Rejection != nil || decision.Wait.Reason != WaitLimit {
			t.Fatalf("decision %+v, want to wait for the limit", decision)
		}
	}
	var order []uint64
	for now := time.Duration(0); now < 4*time.Second; now += 20 * time.Millisecond {
		for _, decision := range d.Advance(now) {
			order = append(order, decision.ID)
			d.FirstOutput(now, decision.Grant.Token)
			d.Done(now, decision.Grant.Token, Succeeded)
		}
	}
	if !slices.Equal(order, []uint64{2, 1, 0}) {
		t.Errorf("order %v, want the most urgent request first", order)
	}
}

// Guards against a limit that an upstream keeps after it has started again under its ID.
func TestRestartEndsALimit(t *testing.T) {
	d := New(Options{}, rand.New(rand.NewPCG(1, 2)))
	d.Update(0, []Upstream{{ID: "u", Incarnation: "1", Slots: 8}})
	d.SetInstances(0, "front-0", []string{"front-1"})
	stale := Report{Limits: []UpstreamLimit{{Upstream: d.upstreams["u"].tag, Incarnation: d.upstreams["u"].incarnationHash(), Limit: sharedlimit.Limit{Rate: 1, Version: 4}}}}
	d.Merge(0, "front-1", stale)
	if s := d.Snapshot(0); s[0].Limit != 1 {
		t.Fatalf("limit %v, want that of the peer", s[0].Limit)
	}
	d.Update(time.Second, []Upstream{{ID: "u", Incarnation: "2", Slots: 8}})
	d.Merge(time.Second, "front-1", stale)
	if s := d.Snapshot(time.Second); s[0].Limit != 0 {
		t.Errorf("limit %v of the process before, want none", s[0].Limit)
	}
}

// Guards against a limit that is forgotten because the upstream's entry lapses and comes back: all
// instances send to it until its next answer, which a paused upstream gives late.
func TestLimitSurvivesAnEntryThatLapses(t *testing.T) {
	d := New(Options{}, rand.New(rand.NewPCG(1, 2)))
	list := []Upstream{{ID: "u", Incarnation: "1", Slots: 8}, {ID: "other", Incarnation: "1", Slots: 8}}
	d.Update(0, list)
	d.SetInstances(0, "front-0", []string{"front-1"})
	d.upstreams["u"].limiter.Merge(0, sharedlimit.Limit{Rate: 1, Version: 1})
	d.Update(time.Second, list[1:])
	d.Update(3*time.Second, list)
	if rate := d.upstreams["u"].limiter.Limit().Rate; rate != 1 {
		t.Errorf("limit %v after the entry came back, want 1", rate)
	}
	moved := list[0]
	moved.Address = "10.0.0.2:80"
	d.Update(4*time.Second, []Upstream{moved, list[1]})
	if rate := d.upstreams["u"].limiter.Limit().Rate; rate != 1 {
		t.Errorf("limit %v after the entry changed, want 1", rate)
	}
	d.Update(5*time.Second, list[1:])
	restarted := list[0]
	restarted.Incarnation = "2"
	d.Update(6*time.Second, []Upstream{restarted, list[1]})
	if rate := d.upstreams["u"].limiter.Limit().Rate; rate != 0 {
		t.Errorf("limit %v after a restart, want none", rate)
	}
	for i := range 10 * maxLapsedLimits {
		id := Upstream{ID: string(rune('a'+i%26)) + time.Duration(i).String(), Incarnation: "1"}
		d.Update(7*time.Second, []Upstream{id})
		d.upstreams[id.ID].limiter.Merge(7*time.Second, sharedlimit.Limit{Rate: 1, Version: 1})
	}
	if n := len(d.lapsedLimits); n > maxLapsedLimits {
		t.Errorf("%d limits of upstreams that are gone are kept, want at most %d", n, maxLapsedLimits)
	}
}

// Guards against an instance that starts later and never learns of a limit at upstreams to which it
// sends nothing, and against reports of which each repeats all limits.
func TestHoldersRepeatTheLimitsForInstancesThatStartLater(t *testing.T) {
	const instances, upstreams = 20, 40
	f := newLimitedFleet(instances, upstreams, 8)
	late := f.instances[0]
	for i, d := range f.instances[1:] {
		for _, u := range d.byHash {
			u.limiter.Merge(0, sharedlimit.Limit{Rate: 1, Version: 1})
			d.placeInHolderOrder(0, u)
		}
		repeated := 0
		for range 2 { // the first report of an instance is a full one
			f.now += fullReportInterval
			r := d.Collect(f.now)
			repeated += len(r.Limits)
			late.Merge(f.now, f.names[i+1], r)
		}
		if repeated > upstreams {
			t.Errorf("instance %d reports %d limits in two reports, want its share of %d", i+1, repeated, 2*upstreams)
		}
	}
	for _, u := range late.byHash {
		if !u.limiter.Limited() && !u.limiter.Holder() {
			t.Errorf("the limit of %s is not known", u.ID)
		}
	}
}
