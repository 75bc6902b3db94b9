package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yuccabridge/yuccabridge/internal/rapidflags"
)

// Long campaign: go test ./internal/coordination/scheduler -run TestScheduler -rapid.seed=0 -rapid.checks=100000
func init() { rapidflags.Set(rapidflags.Defaults{Seed: 20261203, Checks: 800, Steps: 100}) }

const ms = time.Millisecond

// waiter is what the oracle knows about a queued request.
type waiter struct {
	r                       Request
	tier                    int
	limit, agedAt, forcedAt time.Duration
	forced                  bool
	ahead, overdue          int // when forced: aged requests ahead of it, dispatches since
}

type run struct {
	r     Request
	start time.Duration
}

// world drives a scheduler and keeps the oracle's view as plain lists.
type world struct {
	s          *Scheduler
	o          Options
	now        time.Duration
	nextID     uint64
	waiting    map[uint64]*waiter
	running    []run
	retries    []Request
	slowest    time.Duration // greatest first token time observed
	lastShed   map[int]time.Duration
	peers      map[string]peerPressure
	sinceLower int // dispatches since a lower tier was preferred
	// rivals were waiting in the tier that the last dispatch passed over, at rivalsAt.
	rivals   map[uint64]bool
	rivalsAt time.Duration
	best     int
	passed   bool        // the last dispatch passed over a request
	exempt   map[int]int // by tier, requests passed over that may still wait; they take no place
}

func (w *world) reserve() int { return max(w.o.QueueLimit/w.o.AgedShare, 1) }

func (w *world) class(name string) *Class {
	for i := range w.o.Classes {
		if w.o.Classes[i].Name == name {
			return &w.o.Classes[i]
		}
	}
	return nil
}

// file computes the times of a request from the configuration in force.
func (w *world) file(x *waiter) {
	if c := w.class(x.r.Class); c != nil {
		x.tier, x.limit = c.Tier, x.r.Deadline
		if w.o.Objective == Attainment && !x.r.Retry {
			x.limit = min(x.limit, x.r.Arrived+c.FirstTokenTarget)
		}
		x.agedAt, x.forcedAt = x.r.Arrived+c.MaxWait, x.r.Arrived+2*c.MaxWait
	}
	x.forced, x.overdue = false, 0
}

// count returns the waiting requests of a tier and those of it that are no retries.
func (w *world) count(tier int) (all, fresh int) {
	for _, x := range w.waiting {
		if x.tier == tier {
			all++
			if !x.r.Retry {
				fresh++
			}
		}
	}
	return all, fresh
}

// leave checks the sheds of a call. arriving is the request of Enqueue, or nil.
func (w *world) leave(t *rapid.T, sheds []Shed, arriving *waiter) {
	for _, shed := range sheds {
		x := w.waiting[shed.ID]
		failIf(t, x == nil, "shed %d, which does not wait", shed.ID)
		delete(w.waiting, shed.ID)
		w.lastShed[x.tier] = w.now
		failIf(t, shed.RetryAfter < 100*ms || shed.RetryAfter > time.Minute, "RetryAfter %v", shed.RetryAfter)
		switch shed.Reason {
		case ReasonDeadline:
			w.checkDeadline(t, x, arriving)
		case ReasonQueueFull:
			w.checkQueueFull(t, x)
		case ReasonExpired:
			w.checkExpired(t, x)
		default:
			t.Fatalf("request %d: reason %v", shed.ID, shed.Reason)
		}
	}
}

// checkDeadline: P1, the work of lower tiers must not count, and P2, nobody is
// shed on arrival whom the aged share serves in time.
func (w *world) checkDeadline(t *rapid.T, x, arriving *waiter) {
	failIf(t, x != arriving, "queued request %d was shed as if it had just arrived", x.r.ID)
	if x.limit < w.now {
		return
	}
	failIf(t, len(w.waiting)+len(w.running) == 0, "request %d was shed while nothing was queued or in flight", x.r.ID)
	same := 0
	for tier := 1; tier <= x.tier; tier++ {
		all, _ := w.count(tier)
		same += all
	}
	failIf(t, same == 0 && w.now+w.slowest <= x.limit, "request %d of tier %d was shed for the work of lower tiers", x.r.ID, x.tier)
	slots := time.Duration((len(w.waiting) + 1) * w.o.AgedShare)
	failIf(t, x.tier > 1 && max(x.forcedAt, w.now)+slots*greatestGap+w.slowest <= x.limit, "request %d of tier %d was shed although the aged share serves it in time", x.r.ID, x.tier)
}

// checkQueueFull: P1, no lower tier keeps a place of the common limit, and P2,
// no tier below the top one is emptied.
func (w *world) checkQueueFull(t *rapid.T, x *waiter) {
	total := 0
	for tier := 1; tier <= 3; tier++ {
		_, fresh := w.count(tier)
		total += fresh
		failIf(t, tier > x.tier && fresh > w.reserve()+w.exempt[tier], "victim of tier %d while tier %d has %d requests, reserve %d", x.tier, tier, fresh, w.reserve())
	}
	_, left := w.count(x.tier)
	failIf(t, x.r.Retry || total < w.o.QueueLimit || x.tier > 1 && left < w.reserve(), "victim %d (retry %v): %d waiting, limit %d, %d left in its tier", x.r.ID, x.r.Retry, total, w.o.QueueLimit, left)
}

// checkExpired: only what cannot meet its limit is shed, and P1, not the
// request whose turn a lower tier took.
func (w *world) checkExpired(t *rapid.T, x *waiter) {
	if slack := x.limit - w.now; slack >= w.slowest || slack >= 0 && len(w.running) == 0 {
		t.Fatalf("request %d was shed %v before its limit", x.r.ID, slack)
	}
	if w.rivals == nil {
		return
	}
	delete(w.rivals, x.r.ID)
	failIf(t, len(w.rivals) == 0 && w.now <= w.rivalsAt+stallGrace, "request %d of tier %d was shed after a lower tier took its turn", x.r.ID, x.tier)
}

func (w *world) enqueue(t *rapid.T) {
	c := rapid.SampledFrom([]string{"memo", "query", "lookup", "draft", "report"}).Draw(t, "class")
	w.nextID++
	r := Request{ID: w.nextID, Class: c, Team: fmt.Sprint("t", rapid.IntRange(0, 3).Draw(t, "team")), Arrived: w.now}
	r.Deadline = w.now + time.Duration(rapid.IntRange(50, 90_000).Draw(t, "deadline"))*ms
	if len(w.retries) > 0 && rapid.Bool().Draw(t, "retry") {
		r, w.retries = w.retries[0], w.retries[1:]
		r.Retry = true
	}
	sheds := w.s.Enqueue(w.now, r)
	if w.class(r.Class) == nil {
		failIf(t, len(sheds) != 1 || sheds[0].Reason != ReasonUnknownClass, "unknown class: %+v", sheds)
		return
	}
	x := &waiter{r: r}
	w.file(x)
	for _, y := range w.waiting {
		if y.forced && x.tier > 1 && x.forcedAt <= y.forcedAt {
			y.ahead++
		}
	}
	w.waiting[r.ID] = x
	w.leave(t, sheds, x)
}

// held returns the lowest tier that fresh reports of peers allow.
func (w *world) held() int {
	lowest := 99
	for _, p := range w.peers {
		if p.tier > 0 && w.now < p.measured+time.Second {
			lowest = min(lowest, p.tier)
		}
	}
	return lowest
}

func (w *world) next(t *rapid.T) {
	r, ok, sheds := w.s.Next(w.now)
	w.leave(t, sheds, nil)
	best := 99
	for _, x := range w.waiting {
		best = min(best, x.tier)
	}
	if !ok {
		failIf(t, len(w.waiting) > 0 && best <= w.held(), "nothing dispatched while %d wait", len(w.waiting))
		return
	}
	x := w.waiting[r.ID]
	failIf(t, x == nil || x.r != r, "dispatched %+v, which does not wait", r)
	w.checkShare(t)
	w.checkTurn(t, x, best)
	delete(w.waiting, r.ID)
	w.running = append(w.running, run{r, w.now})
}

// checkTurn: P1, a lower tier is preferred at most once in AgedShare dispatches,
// for an aged request, and the next dispatch goes to those it passed over.
func (w *world) checkTurn(t *rapid.T, x *waiter, best int) {
	if x.tier > best || best > w.held() {
		failIf(t, w.now < x.agedAt, "request %d of tier %d was preferred to tier %d before it aged", x.r.ID, x.tier, best)
	}
	passed := w.passed
	w.passed = false
	if best > w.held() {
		w.rivals = nil
		return
	}
	if passed && best == w.best {
		w.exempt[best]--
	}
	failIf(t, w.rivals != nil && best == w.best && len(w.rivals) > 0 && !w.rivals[x.r.ID] && w.now <= w.rivalsAt+stallGrace, "request %d took the turn of the one that was passed over", x.r.ID)
	w.rivals = nil
	if x.tier == best {
		w.sinceLower++
		return
	}
	failIf(t, w.sinceLower < w.o.AgedShare-1, "a lower tier was preferred after %d other dispatches, aged share %d", w.sinceLower, w.o.AgedShare)
	w.sinceLower, w.rivalsAt, w.best, w.passed, w.rivals = 0, w.now, best, true, map[uint64]bool{}
	w.exempt[best]++
	for id, y := range w.waiting {
		if y.tier == best {
			w.rivals[id] = true
		}
	}
}

// checkShare: P2, after twice the class's MaxWait a request runs within
// (aged requests ahead + 1) * AgedShare dispatches.
func (w *world) checkShare(t *rapid.T) {
	for id, x := range w.waiting {
		if x.tier == 1 || w.now < x.forcedAt {
			continue
		}
		if !x.forced {
			x.forced, x.ahead = true, 0
			for other, y := range w.waiting {
				if other != id && y.tier > 1 && y.forcedAt <= x.forcedAt {
					x.ahead++
				}
			}
		}
		x.overdue++
		if bound := (x.ahead + 1) * w.o.AgedShare; x.overdue > bound {
			t.Fatalf("request %d of tier %d starves: %d dispatches, bound %d", id, x.tier, x.overdue, bound)
		}
	}
}

func (w *world) finish(t *rapid.T) {
	if len(w.running) == 0 {
		t.Skip("nothing runs") // rapid draws another action
	}
	i := rapid.IntRange(0, len(w.running)-1).Draw(t, "finished")
	x := w.running[i]
	w.running = append(w.running[:i], w.running[i+1:]...)
	service := w.now - x.start
	first := min(service/2, 300*ms).Truncate(ms)
	w.s.Observe(w.now, Sample{Class: x.r.Class, Team: x.r.Team, FirstToken: first, Service: service, OutputTokens: 5})
	w.slowest = max(w.slowest, first+first/8+ms) // the sketch's resolution
	if rapid.IntRange(0, 3).Draw(t, "failed") == 0 {
		w.retries = append(w.retries, x.r)
	}
}

func (w *world) tick(t *rapid.T) {
	w.now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * ms
	w.leave(t, w.s.Tick(w.now), nil)
	late := 0
	for _, x := range w.waiting {
		if x.limit < w.now {
			late++
		}
	}
	failIf(t, late > 1 || late == 1 && !w.passed, "%d requests past their limit are still queued", late)
}

func (w *world) cancel(t *rapid.T) {
	id := uint64(rapid.IntRange(1, int(w.nextID)+1).Draw(t, "id"))
	if got, want := w.s.Cancel(w.now, id), w.waiting[id] != nil; got != want {
		t.Fatalf("Cancel(%d) = %v", id, got)
	}
	delete(w.waiting, id)
	w.rivals = nil // the cancelled one may be the one passed over
}

func (w *world) peer(t *rapid.T) {
	name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "peer")
	p := peerPressure{w.now - time.Duration(rapid.IntRange(0, 1500).Draw(t, "age"))*ms, rapid.IntRange(0, 3).Draw(t, "sheds")}
	w.s.MergePressure(w.now, name, Pressure{HighestShed: p.tier}, w.now-p.measured)
	if old, ok := w.peers[name]; !ok || p.measured >= old.measured {
		w.peers[name] = p
	}
}

// reconfigure guards against queued requests that are lost or stuck.
func (w *world) reconfigure(t *rapid.T) {
	w.o = drawOptions(t, w.o.Objective)
	w.s.Reconfigure(w.now, w.o)
	for _, x := range w.waiting {
		w.file(x)
	}
	w.rivals, w.exempt = nil, map[int]int{}
	if w.passed {
		w.exempt[w.best] = 1
	}
}

func (w *world) check(t *rapid.T) {
	want := Pressure{Queued: len(w.waiting)}
	for tier := 3; tier >= 1; tier-- {
		if all, _ := w.count(tier); all == 0 {
			w.exempt[tier] = 0
		}
		if at, ok := w.lastShed[tier]; ok && w.now-at <= time.Second {
			want.HighestShed = tier
		}
	}
	if got := w.s.Pressure(w.now); got != want {
		t.Fatalf("Pressure() = %+v, want %+v", got, want)
	}
}

func drawOptions(t *rapid.T, objective Objective) Options {
	o := Options{
		QueueLimit: rapid.IntRange(1, 12).Draw(t, "limit"), AgedShare: rapid.IntRange(2, 5).Draw(t, "share"), Objective: objective,
		Classes: []Class{
			{"memo", 1, 600 * ms, time.Second, 200 * ms}, {"query", 2, 2 * time.Second, 4 * time.Second, 300 * ms},
			{"lookup", 2, time.Second, 3 * time.Second, 400 * ms}, {"draft", 3, time.Minute, 80 * time.Second, 500 * ms},
		},
	}
	if rapid.Bool().Draw(t, "report") {
		o.Classes = append(o.Classes, Class{"report", 3, 20 * time.Second, time.Minute, time.Second})
	}
	for i := range rapid.IntRange(1, 4).Draw(t, "teams") {
		o.Teams = append(o.Teams, Team{fmt.Sprint("t", i), i})
	}
	return o
}

func TestScheduler(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		w := &world{waiting: map[uint64]*waiter{}, lastShed: map[int]time.Duration{}, peers: map[string]peerPressure{}, exempt: map[int]int{}}
		w.o = drawOptions(t, rapid.SampledFrom([]Objective{Attainment, Goodput}).Draw(t, "objective"))
		w.s = New(w.o, rand.New(rand.NewPCG(1, 2)))
		t.Repeat(map[string]func(*rapid.T){
			"enqueue": w.enqueue, "enqueue 2": w.enqueue, "enqueue 3": w.enqueue, "next": w.next, "next 2": w.next,
			"finish": w.finish, "tick": w.tick, "cancel": w.cancel, "peer": w.peer, "reconfigure": w.reconfigure, "": w.check,
		})
	})
}

// failIf stops the test when a check fails.
func failIf(t rapid.TB, failed bool, format string, args ...any) {
	t.Helper()
	if failed {
		t.Fatalf(format, args...)
	}
}
