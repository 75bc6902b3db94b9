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

// schedulerWaiting is the queue that each request meets.
const schedulerWaiting = 1000

func measureScheduler(r *Recorder) {
	var request, tick, memory []Point
	for _, teams := range []int{10, 600, 2400} {
		before := heldBytes()
		s, o := filledScheduler(teams)
		memory = append(memory, Point{float64(teams), heldBytes() - before})
		id, now := uint64(schedulerWaiting), time.Second
		cycle := func() {
			id++
			now += 50 * time.Microsecond
			s.Enqueue(now, scheduler.Request{ID: id, Class: o.Classes[id%6].Name, Team: o.Teams[id*7919%uint64(teams)].Name, Arrived: now})
			if q, ok, _ := s.Next(now); ok {
				s.Observe(now, scheduler.Sample{Class: q.Class, Team: q.Team, FirstToken: 20 * time.Millisecond, Service: 100 * time.Millisecond, OutputTokens: 100})
			}
		}
		ns, _ := perOp(cycle)
		request = append(request, Point{float64(teams), ns})
		idle := scheduler.New(o, mathrand.New(mathrand.NewPCG(1, 1)))
		ns, _ = perOp(func() { now += 20 * time.Millisecond; idle.Tick(now) })
		tick = append(tick, Point{float64(teams), ns})
		runtime.KeepAlive(s)
	}
	r.put("scheduler.request", "teams", "ns", request)
	r.put("scheduler.tick", "teams", "ns", tick)
	r.put("scheduler.memory", "teams", "B", memory)
}

// filledScheduler returns a scheduler in which every team has been served and some
// requests wait.
func filledScheduler(teams int) (*scheduler.Scheduler, scheduler.Options) {
	o := scheduler.Options{Objective: scheduler.Goodput, QueueLimit: 2 * schedulerWaiting}
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
	for i := range schedulerWaiting {
		s.Enqueue(time.Second, scheduler.Request{ID: uint64(i), Class: o.Classes[i%targetTiers].Name, Team: o.Teams[i*7919%teams].Name, Arrived: time.Second})
	}
	return s, o
}

func measureBalancer(r *Recorder) {
	var request, update, memory []Point
	result := balancer.Result{FirstToken: 100 * time.Millisecond, TokenInterval: 20 * time.Millisecond, ServiceTime: time.Second}
	for _, n := range []int{4, 60, 600} {
		before := heldBytes()
		ups := make([]balancer.Upstream, n)
		for i := range ups {
			ups[i] = balancer.Upstream{Name: fmt.Sprintf("u%d", i), Domain: fmt.Sprintf("d%d", i%4)}
		}
		b := balancer.New(balancer.Options{Instance: "i0", Domain: "d0", Peers: []string{"i1", "i2"}}, mathrand.New(mathrand.NewPCG(1, 1)))
		b.SetUpstreams(0, ups)
		memory = append(memory, Point{float64(n), heldBytes() - before})
		var inFlight [8]balancer.Pick
		now, i := time.Duration(0), 0
		ns, _ := perOp(func() {
			i++
			now += time.Millisecond
			b.Done(now, inFlight[i%len(inFlight)], result)
			b.FreeSlots(now)
			inFlight[i%len(inFlight)], _ = b.Pick(now, balancer.Request{PrefixHash: uint64(i % 64)})
		})
		request = append(request, Point{float64(n), ns})
		ns, _ = perOp(func() { b.SetUpstreams(now, ups) })
		update = append(update, Point{float64(n), ns})
		runtime.KeepAlive(b)
	}
	r.put("balancer.request", "upstreams", "ns", request)
	r.put("balancer.update", "upstreams", "ns", update)
	r.put("balancer.memory", "upstreams", "B", memory)
}

func measureQuarantine(r *Recorder) {
	var request, merge, memory []Point
	for _, n := range []int{64, 1024, quarantine.DefaultEntries} {
		before := heldBytes()
		q := quarantine.New(quarantine.Options{})
		rng := mathrand.New(mathrand.NewPCG(5, 6))
		suspicion := func(i int) quarantine.Suspicion {
			return quarantine.Suspicion{Fingerprint: quarantine.Fingerprint(rng.Uint64()), Team: fmt.Sprint("team", i%100),
				Crashes: []quarantine.CrashID{{Upstream: "u1", Incarnation: "1"}}}
		}
		for i := range n {
			q.Merge(0, []quarantine.Suspicion{suspicion(i)})
		}
		memory = append(memory, Point{float64(n), heldBytes() - before})
		f := quarantine.Fingerprint(1)
		ns, _ := perOp(func() {
			f += 7
			_ = q.Check(0, f)
			q.Started(0, f, "team", "u1")
			q.Finished(0, f, "u1")
		})
		request = append(request, Point{float64(n), ns})
		i := 0
		ns, _ = perOp(func() { i++; q.Merge(0, []quarantine.Suspicion{suspicion(i)}) })
		merge = append(merge, Point{float64(n), ns})
		runtime.KeepAlive(q)
	}
	r.put("quarantine.request", "suspects", "ns", request)
	r.put("quarantine.merge", "suspects", "ns", merge)
	r.put("quarantine.memory", "suspects", "B", memory)
}

// orderAnswerBytes is the size of the answers that the ledger keeps in a measurement.
const orderAnswerBytes = 256

func measureLedger(r *Recorder) error {
	var order, memory, witnessMemory []Point
	for _, n := range []int{1_000, 10_000, 100_000} {
		before := heldBytes()
		l, w, err := newLedger(n)
		if err != nil {
			return err
		}
		var failed error
		run := func() {
			if _, err := l.order(w); err != nil {
				failed = err
			}
		}
		for range n {
			run()
		}
		memory = append(memory, Point{float64(n), heldBytes() - before})
		ns, _ := perOp(run)
		if failed != nil {
			return failed
		}
		order = append(order, Point{float64(n), ns})
		runtime.KeepAlive(l)
	}
	r.put("orders.owner", "retained outcomes", "ns", order)
	r.put("orders.ledger_memory", "retained outcomes", "B", memory)
	for _, n := range []int{1_000, 10_000, 60_000} {
		l, member, err := newLedger(1)
		if err != nil {
			return err
		}
		tickets := make([]orders.Ticket, n)
		for i := range tickets {
			if tickets[i], err = l.order(member); err != nil {
				return err
			}
		}
		before := heldBytes()
		w := orders.NewWitness(orders.WitnessOptions{Self: member.Incarnation})
		for _, t := range tickets {
			w.Intent(0, t, orders.BodyHash{1})
			w.Outcome(0, t, orders.BodyHash{1}, orders.Outcome{Kind: orders.NotRun})
		}
		witnessMemory = append(witnessMemory, Point{float64(n), heldBytes() - before})
		runtime.KeepAlive(tickets)
		runtime.KeepAlive(w)
	}
	r.put("orders.witness_memory", "records", "B", witnessMemory)
	return nil
}

type ledger struct{ *orders.Ledger }

// newLedger returns a ledger that retains the given number of outcomes, and a witness.
func newLedger(retained int) (ledger, orders.Member, error) {
	key := make([]byte, 32)
	rand.Read(key)
	keys, err := orders.NewKeyring(key)
	if err != nil {
		return ledger{}, orders.Member{}, err
	}
	self := orders.Member{Incarnation: orders.Incarnation{1}, Address: netip.MustParseAddrPort("10.0.0.1:7000")}
	witness := orders.Member{Incarnation: orders.Incarnation{2}, Address: netip.MustParseAddrPort("10.0.0.2:7000")}
	return ledger{orders.NewLedger(orders.LedgerOptions{Self: self, Keys: keys, Random: rand.Reader, Outcomes: retained, Answers: 1 << 30})}, witness, nil
}

// order runs one order from its ticket to its stored answer.
func (l ledger) order(witness orders.Member) (orders.Ticket, error) {
	t, err := l.Issue(0, "team", witness)
	if err != nil {
		return t, err
	}
	l.Begin(0, t, orders.BodyHash{1})
	l.IntentAcked(0, t.ID, witness.Incarnation)
	if l.MarkSending(0, t.ID) {
		l.Finish(0, t.ID, orders.Answer{Status: 200, ContentType: "application/json", Body: make([]byte, orderAnswerBytes)})
	}
	return t, nil
}
