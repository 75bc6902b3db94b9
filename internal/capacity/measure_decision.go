package capacity

import (
	"context"
	"crypto/rand"
	"fmt"
	mathrand "math/rand/v2"
	"net/netip"
	"runtime"
	"time"

	"github.com/yuccabridge/yuccabridge/internal/coordination/balancer"
	"github.com/yuccabridge/yuccabridge/internal/coordination/orders"
	"github.com/yuccabridge/yuccabridge/internal/coordination/quarantine"
	"github.com/yuccabridge/yuccabridge/internal/coordination/scheduler"
)

func measureDecision(_ context.Context, r *Recorder) error {
	measureScheduler(r)
	measureBalancer(r)
	measureQuarantine(r)
	return measureLedger(r)
}

// queuedRequests is the queue length during the scheduler measurements.
const queuedRequests = 1000

func measureScheduler(r *Recorder) {
	var request, tick, memory []Point
	for _, teams := range []int{10, 600, 2400} {
		before := liveBytes()
		s, o := newLoadedScheduler(teams)
		memory = append(memory, Point{float64(teams), liveBytes() - before})
		id, now := uint64(queuedRequests), time.Second
		scheduleOne := func() {
			id++
			now += 50 * time.Microsecond
			s.Enqueue(now, scheduler.Request{ID: id, Class: o.Classes[id%6].Name, Team: o.Teams[id*7919%uint64(teams)].Name, Arrived: now})
			if q, ok, _ := s.Next(now); ok {
				s.Observe(now, scheduler.Sample{Class: q.Class, Team: q.Team, FirstToken: 20 * time.Millisecond, Service: 100 * time.Millisecond, OutputTokens: 100})
			}
		}
		ns, _ := costPerCall(scheduleOne)
		request = append(request, Point{float64(teams), ns})
		idle := scheduler.New(o, mathrand.New(mathrand.NewPCG(1, 1)))
		ns, _ = costPerCall(func() { now += 20 * time.Millisecond; idle.Tick(now) })
		tick = append(tick, Point{float64(teams), ns})
		runtime.KeepAlive(s)
	}
	r.record("scheduler.request", "teams", "ns", request)
	r.record("scheduler.tick", "teams", "ns", tick)
	r.record("scheduler.memory", "teams", "B", memory)
}

// newLoadedScheduler returns a scheduler that has served every team in every class and
// has queuedRequests requests in its queue.
func newLoadedScheduler(teams int) (*scheduler.Scheduler, scheduler.Options) {
	o := scheduler.Options{Objective: scheduler.Goodput, QueueLimit: 2 * queuedRequests}
	for tier := 1; tier <= targetTiers; tier++ {
		o.Classes = append(o.Classes, scheduler.Class{Name: fmt.Sprint("class", tier), Tier: tier,
			FirstTokenTarget: time.Hour, Deadline: 100 * time.Hour, MaxWait: time.Minute})
	}
	for i := range teams {
		o.Teams = append(o.Teams, scheduler.Team{Name: fmt.Sprint("team", i), Weight: 1 + i%5})
	}
	s := scheduler.New(o, mathrand.New(mathrand.NewPCG(1, 1)))
	for i := range teams * targetTiers {
		q := scheduler.Request{ID: uint64(1<<40 + i), Class: o.Classes[i%targetTiers].Name, Team: o.Teams[i/targetTiers].Name}
		s.Enqueue(0, q)
		s.Next(0)
		s.Observe(time.Millisecond, scheduler.Sample{Class: q.Class, Team: q.Team, FirstToken: time.Millisecond, Service: time.Millisecond, OutputTokens: 1})
	}
	for i := range queuedRequests {
		s.Enqueue(time.Second, scheduler.Request{ID: uint64(i), Class: o.Classes[i%targetTiers].Name, Team: o.Teams[i*7919%teams].Name, Arrived: time.Second})
	}
	return s, o
}

func measureBalancer(r *Recorder) {
	var request, update, memory []Point
	result := balancer.Result{FirstToken: 100 * time.Millisecond, TokenInterval: 20 * time.Millisecond, ServiceTime: time.Second}
	for _, n := range []int{4, 60, 600} {
		before := liveBytes()
		upstreams := make([]balancer.Upstream, n)
		for i := range upstreams {
			upstreams[i] = balancer.Upstream{Name: fmt.Sprintf("u%d", i), Domain: fmt.Sprintf("d%d", i%4)}
		}
		b := balancer.New(balancer.Options{Instance: "i0", Domain: "d0", Peers: []string{"i1", "i2"}}, mathrand.New(mathrand.NewPCG(1, 1)))
		b.SetUpstreams(0, upstreams)
		memory = append(memory, Point{float64(n), liveBytes() - before})
		var inFlight [8]balancer.Pick
		now, i := time.Duration(0), 0
		ns, _ := costPerCall(func() {
			i++
			now += time.Millisecond
			b.Done(now, inFlight[i%len(inFlight)], result)
			b.FreeSlots(now)
			inFlight[i%len(inFlight)], _ = b.Pick(now, balancer.Request{PrefixHash: uint64(i % 64)})
		})
		request = append(request, Point{float64(n), ns})
		ns, _ = costPerCall(func() { b.SetUpstreams(now, upstreams) })
		update = append(update, Point{float64(n), ns})
		runtime.KeepAlive(b)
	}
	r.record("balancer.request", "upstreams", "ns", request)
	r.record("balancer.update", "upstreams", "ns", update)
	r.record("balancer.memory", "upstreams", "B", memory)
}

func measureQuarantine(r *Recorder) {
	var request, merge, memory []Point
	for _, n := range []int{64, 1024, quarantine.DefaultMaxEntries} {
		before := liveBytes()
		q := quarantine.New(quarantine.Options{})
		rng := mathrand.New(mathrand.NewPCG(5, 6))
		suspicion := func(i int) quarantine.Suspicion {
			return quarantine.Suspicion{Fingerprint: quarantine.Fingerprint(rng.Uint64()), Team: fmt.Sprint("team", i%100),
				Crashes: []quarantine.CrashID{{Upstream: "u1", Incarnation: "1"}}}
		}
		for i := range n {
			q.Merge(0, []quarantine.Suspicion{suspicion(i)})
		}
		memory = append(memory, Point{float64(n), liveBytes() - before})
		f := quarantine.Fingerprint(1)
		ns, _ := costPerCall(func() {
			f += 7
			_ = q.Check(0, f)
			q.Started(0, f, "team", "u1")
			q.Completed(0, f, "u1")
		})
		request = append(request, Point{float64(n), ns})
		i := 0
		ns, _ = costPerCall(func() { i++; q.Merge(0, []quarantine.Suspicion{suspicion(i)}) })
		merge = append(merge, Point{float64(n), ns})
		runtime.KeepAlive(q)
	}
	r.record("quarantine.request", "suspects", "ns", request)
	r.record("quarantine.merge", "suspects", "ns", merge)
	r.record("quarantine.memory", "suspects", "B", memory)
}

// orderResponseBytes is the size of the response bodies that the ledger stores during a
// measurement.
const orderResponseBytes = 256

func measureLedger(r *Recorder) error {
	var order, memory, witnessMemory []Point
	for _, n := range []int{1_000, 10_000, 100_000} {
		before := liveBytes()
		l, w, err := newLedger(n)
		if err != nil {
			return err
		}
		var runErr error
		runOrder := func() {
			if _, err := l.runOrder(w); err != nil {
				runErr = err
			}
		}
		for range n {
			runOrder()
		}
		memory = append(memory, Point{float64(n), liveBytes() - before})
		ns, _ := costPerCall(runOrder)
		if runErr != nil {
			return runErr
		}
		order = append(order, Point{float64(n), ns})
		runtime.KeepAlive(l)
	}
	r.record("orders.owner", "retained outcomes", "ns", order)
	r.record("orders.ledger_memory", "retained outcomes", "B", memory)
	for _, n := range []int{1_000, 10_000, 60_000} {
		l, member, err := newLedger(1)
		if err != nil {
			return err
		}
		tickets := make([]orders.Ticket, n)
		for i := range tickets {
			if tickets[i], err = l.runOrder(member); err != nil {
				return err
			}
		}
		before := liveBytes()
		w := orders.NewWitness(orders.WitnessOptions{Self: member.Incarnation})
		for _, t := range tickets {
			w.RecordIntent(0, t, orders.BodyHash{1})
			w.RecordOutcome(0, t, orders.BodyHash{1}, orders.Outcome{Kind: orders.NotRun})
		}
		witnessMemory = append(witnessMemory, Point{float64(n), liveBytes() - before})
		runtime.KeepAlive(tickets)
		runtime.KeepAlive(w)
	}
	r.record("orders.witness_memory", "records", "B", witnessMemory)
	return nil
}

type orderLedger struct{ *orders.Ledger }

// newLedger returns a ledger that retains the given number of outcomes, and the identity
// of a witness.
func newLedger(retained int) (orderLedger, orders.Member, error) {
	key := make([]byte, 32)
	rand.Read(key)
	keys, err := orders.NewKeyring(key)
	if err != nil {
		return orderLedger{}, orders.Member{}, err
	}
	self := orders.Member{Incarnation: orders.Incarnation{1}, Address: netip.MustParseAddrPort("10.0.0.1:7000")}
	witness := orders.Member{Incarnation: orders.Incarnation{2}, Address: netip.MustParseAddrPort("10.0.0.2:7000")}
	return orderLedger{orders.NewLedger(orders.LedgerOptions{Self: self, Keys: keys, Random: rand.Reader, MaxOutcomes: retained, MaxResponseBytes: 1 << 30})}, witness, nil
}

// runOrder runs one order from issuing its ticket to storing the response.
func (l orderLedger) runOrder(witness orders.Member) (orders.Ticket, error) {
	t, err := l.Issue(0, "team", witness)
	if err != nil {
		return t, err
	}
	l.Begin(0, t, orders.BodyHash{1})
	l.IntentAcked(0, t.ID, witness.Incarnation)
	if l.MarkSending(0, t.ID) {
		l.Finish(0, t.ID, orders.Response{Status: 200, ContentType: "application/json", Body: make([]byte, orderResponseBytes)})
	}
	return t, nil
}
