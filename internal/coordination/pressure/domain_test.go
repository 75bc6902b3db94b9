package pressure_test

import (
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yuccabridge/yuccabridge/internal/coordination/pressure"
	"github.com/yuccabridge/yuccabridge/internal/coordination/scheduler"
)

const (
	step        = 20 * time.Millisecond
	reportEvery = 200 * time.Millisecond
	linkDelay   = 2 * time.Millisecond
	// newsBound is the longest time from a shed request to the last instance that is
	// sent the news directly: the wait for the next report, one step and the link.
	newsBound = reportEvery + step + linkDelay
	maxWait   = 4 * time.Second
	testPool  = pressure.Pool(1)
)

// instance is one scheduler with its slots.
type instance struct {
	sched   *scheduler.Scheduler
	table   *pressure.Table
	waiting map[uint64]scheduler.Request
	running []time.Duration // ends
}

// domain is a small failure domain with the times at which tiers were shed.
type domain struct {
	t         *rapid.T
	instances []*instance
	now       time.Duration
	nextID    uint64
	shedAt    map[int][]time.Duration // by tier
}

func newDomain(t *rapid.T, n int) *domain {
	d := &domain{t: t, shedAt: map[int][]time.Duration{}}
	options := scheduler.Options{QueueLimit: 20, Objective: scheduler.Attainment, Classes: []scheduler.Class{
		{Name: "memo", Tier: 1, FirstTokenTarget: 400 * time.Millisecond, Deadline: time.Second},
		{Name: "draft", Tier: 3, FirstTokenTarget: 30 * time.Second, Deadline: time.Minute, MaxWait: maxWait},
	}}
	for i := range n {
		d.instances = append(d.instances, &instance{
			sched:   scheduler.New(options, rand.New(rand.NewPCG(uint64(i), 1))),
			table:   pressure.NewTable(),
			waiting: map[uint64]scheduler.Request{},
		})
	}
	return d
}

func (d *domain) enqueue(x *instance, class string) {
	d.nextID++
	r := scheduler.Request{ID: d.nextID, Class: class, Team: "t", Arrived: d.now}
	x.waiting[r.ID] = r
	d.noteSheds(x, x.sched.Enqueue(d.now, r))
}

func (d *domain) noteSheds(x *instance, sheds []scheduler.Shed) {
	for _, s := range sheds {
		tier := 1
		if x.waiting[s.ID].Class == "draft" {
			tier = 3
		}
		delete(x.waiting, s.ID)
		d.shedAt[tier] = append(d.shedAt[tier], d.now)
	}
}

// dispatch fills the open slots and checks each draft that is dispatched.
func (d *domain) dispatch(x *instance, slots int, service time.Duration) {
	var running []time.Duration
	for _, end := range x.running {
		if end > d.now {
			running = append(running, end)
			continue
		}
		x.sched.Observe(d.now, scheduler.Sample{Class: "memo", Team: "t", FirstToken: service / 4, Service: service, OutputTokens: 10})
	}
	x.running = running
	for len(x.running) < slots {
		r, ok, sheds := x.sched.Next(d.now)
		d.noteSheds(x, sheds)
		if !ok {
			return
		}
		delete(x.waiting, r.ID)
		x.running = append(x.running, d.now+service)
		if r.Class == "draft" {
			d.checkDraft(r)
		}
	}
}

// checkDraft: P1 across instances. A draft that is not aged must not run while every
// instance knows that memos were shed within the last second.
func (d *domain) checkDraft(r scheduler.Request) {
	if d.now-r.Arrived >= maxWait {
		return // the aged share
	}
	for _, at := range d.shedAt[1] {
		if age := d.now - at; age > newsBound && age < pressure.Staleness-newsBound {
			d.t.Fatalf("at %s draft %d runs after %s in the queue, although a memo was shed %s ago", d.now, r.ID, d.now-r.Arrived, age)
		}
	}
}

// report exchanges the news of all instances.
func (d *domain) report() {
	for i, x := range d.instances {
		if shed := x.sched.Pressure(d.now).HighestShed; shed > 0 {
			x.table.Set(d.now, testPool, shed)
		}
		news := x.table.Encode(d.now, 200)
		for j, y := range d.instances {
			if i != j {
				y.table.Merge(d.now+linkDelay, news, linkDelay)
			}
		}
	}
	for _, x := range d.instances {
		tier, age := x.table.Highest(d.now+linkDelay, testPool)
		x.sched.MergePressure(d.now+linkDelay, "domain", scheduler.Pressure{HighestShed: tier}, age)
	}
}

// A memo must not be shed at one instance while another instance of the domain serves
// drafts, once the news has had its time; and drafts still run in the end.
func TestLowerTiersWaitForTheWholeDomain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDomain(t, 4)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		busy := rapid.IntRange(0, 3).Draw(t, "busy")
		memos := rapid.IntRange(2, 6).Draw(t, "memos_per_step")
		service := time.Duration(rapid.IntRange(3, 10).Draw(t, "service_steps")) * step
		for ; d.now < 20*time.Second; d.now += step {
			for i, x := range d.instances {
				d.noteSheds(x, x.sched.Tick(d.now))
				if i == busy {
					for range memos {
						d.enqueue(x, "memo")
					}
				}
				if rng.IntN(5) == 0 {
					d.enqueue(x, "draft")
				}
				d.dispatch(x, 4, service)
			}
			if d.now%reportEvery == 0 {
				d.report()
			}
		}
		if len(d.shedAt[1]) == 0 {
			t.Fatal("no memo was shed: the test does not reach the overload")
		}
	})
}
