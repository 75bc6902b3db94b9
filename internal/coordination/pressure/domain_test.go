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
	step           = 20 * time.Millisecond
	reportInterval = 200 * time.Millisecond
	linkDelay      = 2 * time.Millisecond
	// propagationBound is the longest time until every instance that receives a report
	// directly knows of a shed request: the report interval, one step and the link delay.
	propagationBound = reportInterval + step + linkDelay
	maxWait          = 4 * time.Second
	testPool         = pressure.Pool(1)
)

// instance simulates one instance with its scheduler and its running requests.
type instance struct {
	sched       *scheduler.Scheduler
	table       *pressure.Table
	waiting     map[uint64]scheduler.Request
	runningEnds []time.Duration // end times
}

// domain simulates a small failure domain and records when each tier was shed.
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

func (d *domain) enqueue(inst *instance, class string) {
	d.nextID++
	r := scheduler.Request{ID: d.nextID, Class: class, Team: "t", Arrived: d.now}
	inst.waiting[r.ID] = r
	d.recordSheds(inst, inst.sched.Enqueue(d.now, r))
}

func (d *domain) recordSheds(inst *instance, sheds []scheduler.Shed) {
	for _, shed := range sheds {
		tier := 1
		if inst.waiting[shed.ID].Class == "draft" {
			tier = 3
		}
		delete(inst.waiting, shed.ID)
		d.shedAt[tier] = append(d.shedAt[tier], d.now)
	}
}

// dispatch fills the open slots and checks each draft that is dispatched.
func (d *domain) dispatch(inst *instance, slots int, service time.Duration) {
	var stillRunning []time.Duration
	for _, end := range inst.runningEnds {
		if end > d.now {
			stillRunning = append(stillRunning, end)
			continue
		}
		inst.sched.Observe(d.now, scheduler.Sample{Class: "memo", Team: "t", FirstToken: service / 4, Service: service, OutputTokens: 10})
	}
	inst.runningEnds = stillRunning
	for len(inst.runningEnds) < slots {
		r, ok, sheds := inst.sched.Next(d.now)
		d.recordSheds(inst, sheds)
		if !ok {
			return
		}
		delete(inst.waiting, r.ID)
		inst.runningEnds = append(inst.runningEnds, d.now+service)
		if r.Class == "draft" {
			d.checkDraft(r)
		}
	}
}

// checkDraft checks P1 across instances: a draft that is not aged must not be dispatched while every
// instance knows that memos were shed within the last second.
func (d *domain) checkDraft(r scheduler.Request) {
	if d.now-r.Arrived >= maxWait {
		return // aged dispatches are permitted
	}
	for _, at := range d.shedAt[1] {
		if age := d.now - at; age > propagationBound && age < pressure.MaxAge-propagationBound {
			d.t.Fatalf("at %s draft %d was dispatched after %s in the queue although a memo was shed %s ago", d.now, r.ID, d.now-r.Arrived, age)
		}
	}
}

// exchangeReports sends the reports of all instances to each other and passes the result to the
// schedulers.
func (d *domain) exchangeReports() {
	for i, from := range d.instances {
		if tier := from.sched.Pressure(d.now).HighestShed; tier > 0 {
			from.table.RecordShed(d.now, testPool, tier)
		}
		encoded := from.table.Encode(d.now, 200)
		for j, to := range d.instances {
			if i != j {
				to.table.Merge(d.now+linkDelay, encoded, linkDelay)
			}
		}
	}
	for _, inst := range d.instances {
		tier, age := inst.table.HighestShed(d.now+linkDelay, testPool)
		inst.sched.MergePressure(d.now+linkDelay, "domain", scheduler.Pressure{HighestShed: tier}, age)
	}
}

// No instance may dispatch drafts that are not aged while another instance of the domain sheds
// memos, once the report of the shed memos has had time to arrive.
func TestLowerTiersYieldAcrossDomain(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		d := newDomain(t, 4)
		rng := rand.New(rand.NewPCG(rapid.Uint64().Draw(t, "seed"), 1))
		busyIndex := rapid.IntRange(0, 3).Draw(t, "busy")
		memosPerStep := rapid.IntRange(2, 6).Draw(t, "memos_per_step")
		service := time.Duration(rapid.IntRange(3, 10).Draw(t, "service_steps")) * step
		for ; d.now < 20*time.Second; d.now += step {
			for i, inst := range d.instances {
				d.recordSheds(inst, inst.sched.Tick(d.now))
				if i == busyIndex {
					for range memosPerStep {
						d.enqueue(inst, "memo")
					}
				}
				if rng.IntN(5) == 0 {
					d.enqueue(inst, "draft")
				}
				d.dispatch(inst, 4, service)
			}
			if d.now%reportInterval == 0 {
				d.exchangeReports()
			}
		}
		if len(d.shedAt[1]) == 0 {
			t.Fatal("no memo was shed: the load does not reach overload")
		}
	})
}
