package balancer

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// simulatedEngine models continuous batching with a number of slots that the balancer does
// not know: requests beyond it are queued, and the token interval grows with the share of
// slots in use.
type simulatedEngine struct {
	slots   int
	running int
	queue   []*simulatedRequest

	lastLoad   LoadReport // load at the previous completion
	lastLoadAt time.Duration
}

type simulatedRequest struct {
	balancer                  *Balancer
	engine                    *simulatedEngine
	pick                      Pick
	sentAt, startedAt, endsAt time.Duration
	firstToken, tokenInterval time.Duration
	sequence                  int // order of creation; breaks ties
}

type requestHeap []*simulatedRequest

func (h requestHeap) Len() int { return len(h) }
func (h requestHeap) Less(x, y int) bool {
	return h[x].endsAt < h[y].endsAt || h[x].endsAt == h[y].endsAt && h[x].sequence < h[y].sequence
}
func (h requestHeap) Swap(x, y int) { h[x], h[y] = h[y], h[x] }
func (h *requestHeap) Push(x any)   { *h = append(*h, x.(*simulatedRequest)) }
func (h *requestHeap) Pop() any {
	requests := *h
	last := requests[len(requests)-1]
	*h = requests[:len(requests)-1]
	return last
}

// simulation drives balancers with unlimited demand against shared engines.
type simulation struct {
	rng             *rand.Rand
	now             time.Duration
	checkedUntil    time.Duration // end of the last period that was checked
	running         requestHeap
	engines         map[string]*simulatedEngine
	balancers       []*Balancer
	pickAttempts    int
	prefillTime     time.Duration
	prefillJitter   float64 // largest deviation, as a share of prefillTime
	serviceTimeOnly bool    // results contain only the service time
	reportLoads     bool    // engines report their load as of the previous completion
}

func newSimulation(seed uint64, instances, upstreamCount, slots int, opts Options) *simulation {
	s := &simulation{
		rng: rand.New(rand.NewPCG(seed, 1)), engines: map[string]*simulatedEngine{}, prefillTime: 200 * time.Millisecond,
	}
	var upstreams []Upstream
	for i := range upstreamCount {
		name := fmt.Sprintf("u%d", i)
		upstreams = append(upstreams, Upstream{Name: name, Domain: "a"})
		s.engines[name] = &simulatedEngine{slots: slots}
	}
	for i := range instances {
		s.addInstance(seed, i, opts, upstreams)
	}
	return s
}

func (s *simulation) addInstance(seed uint64, i int, opts Options, upstreams []Upstream) {
	opts.Instance, opts.Domain = fmt.Sprintf("i%d", i), "a"
	b := New(opts, rand.New(rand.NewPCG(seed, uint64(i)+2)))
	b.SetUpstreams(s.now, upstreams)
	s.balancers = append(s.balancers, b)
}

func (s *simulation) start(e *simulatedEngine, req *simulatedRequest) {
	e.running++
	req.startedAt = s.now
	tokens := 50 + s.rng.IntN(100)
	prefill := time.Duration(float64(s.prefillTime) * (1 + s.prefillJitter*(2*s.rng.Float64()-1)))
	req.firstToken = s.now - req.sentAt + prefill
	// A full batch generates at half the speed of a single request.
	req.tokenInterval = time.Duration(float64(20*time.Millisecond) * (1 + float64(e.running)/float64(e.slots)))
	req.endsAt = s.now + prefill + time.Duration(tokens)*req.tokenInterval
	heap.Push(&s.running, req)
}

func (s *simulation) dispatch() {
	for refusals := 0; refusals < len(s.balancers); {
		b := s.balancers[s.pickAttempts%len(s.balancers)]
		s.pickAttempts++
		p, ok := b.Pick(s.now, Request{})
		if !ok {
			refusals++
			continue
		}
		refusals = 0
		e := s.engines[p.Upstream.Name]
		req := &simulatedRequest{balancer: b, engine: e, pick: p, sentAt: s.now, sequence: s.pickAttempts}
		if e.running < e.slots {
			s.start(e, req)
		} else {
			e.queue = append(e.queue, req)
		}
	}
}

// run advances the simulation to until. It returns the mean number of requests in flight
// per engine and the mean share of slots in use over the last measurePeriod.
func (s *simulation) run(until, measurePeriod time.Duration) (inFlight, busyShare float64) {
	measureFrom := until - measurePeriod
	for {
		s.dispatch()
		if len(s.running) == 0 || s.running[0].endsAt > until {
			return inFlight / float64(len(s.engines)), busyShare / float64(len(s.engines))
		}
		req := heap.Pop(&s.running).(*simulatedRequest)
		if elapsed := min(req.endsAt-measureFrom, req.endsAt-s.now); elapsed > 0 {
			for _, e := range s.engines {
				inFlight += float64(e.running+len(e.queue)) * float64(elapsed) / float64(measurePeriod)
				busyShare += float64(e.running) / float64(e.slots) * float64(elapsed) / float64(measurePeriod)
			}
		}
		s.now = req.endsAt
		req.engine.running--
		r := Result{Status: OK, FirstToken: req.firstToken, TokenInterval: req.tokenInterval, ServiceTime: s.now - req.sentAt}
		if s.serviceTimeOnly {
			r.FirstToken, r.TokenInterval = 0, 0
		}
		req.balancer.Done(s.now, req.pick, r)
		if s.reportLoads {
			s.reportLoad(req)
		}
		if e := req.engine; len(e.queue) > 0 {
			next := e.queue[0]
			e.queue = e.queue[1:]
			s.start(e, next)
		}
	}
}

// reportLoad passes the engine's load as of the previous completion to the balancer.
func (s *simulation) reportLoad(req *simulatedRequest) {
	e := req.engine
	if e.lastLoadAt > 0 {
		report := e.lastLoad
		report.Age = s.now - e.lastLoadAt
		req.balancer.ReportLoad(s.now, req.pick.Upstream.Name, report)
	}
	e.lastLoad = LoadReport{Incarnation: "1", Running: e.running, Waiting: len(e.queue)}
	e.lastLoadAt = s.now
}

// checkLoadBand runs six successive periods and fails when in one of them the load,
// relative to the slots of the engines, is outside the given band.
func (s *simulation) checkLoadBand(t *testing.T, slots int, minLoad, maxLoad, minBusyShare float64) {
	t.Helper()
	for range 6 {
		s.checkedUntil += 10 * time.Minute
		inFlight, busyShare := s.run(s.checkedUntil, 5*time.Minute)
		load := inFlight / float64(slots)
		t.Logf("%v: in flight %.2f of the slots, busy %.2f", s.checkedUntil, load, busyShare)
		if load < minLoad || load > maxLoad || busyShare < minBusyShare {
			t.Errorf("%v: in flight %.2f of the slots, want %.2f to %.2f; busy %.2f, want %.2f",
				s.checkedUntil, load, minLoad, maxLoad, busyShare, minBusyShare)
		}
	}
}

// upperBandFewSlots returns the upper end of the band when there are fewer than two slots
// per instance. Each instance adds two requests to the usual band: the one that MinLimit
// always allows, and one by which it tests whether the limit can increase.
func upperBandFewSlots(instances, slots int) float64 {
	return 1.3 + 2*float64(instances)/float64(slots)
}

// The limits must converge to the unknown number of slots. They must neither grow with the
// latency that they cause nor remain at the minimum.
func TestLimitConvergence(t *testing.T) {
	for _, c := range []struct {
		instances, slots int
		maxLoad          float64
	}{
		{1, 4, 1.3}, {1, 16, 1.3}, {1, 64, 1.3},
		{6, 16, 1.3}, {6, 32, 1.3}, {6, 64, 1.3}, {6, 8, upperBandFewSlots(6, 8)}, {6, 4, upperBandFewSlots(6, 4)},
	} {
		for _, v := range []struct {
			target      time.Duration
			jitter      float64
			reportLoads bool
		}{{0, 0, false}, {53 * time.Millisecond, 0.8, false}, {53 * time.Millisecond, 0.8, true}} {
			t.Run(fmt.Sprintf("%dx%d/%v", c.instances, c.slots, v), func(t *testing.T) {
				s := newSimulation(1, c.instances, 1, c.slots, Options{TokenIntervalTarget: v.target})
				s.prefillJitter, s.reportLoads = v.jitter, v.reportLoads
				s.checkLoadBand(t, c.slots, 0.65, c.maxLoad, 0.65)
			})
		}
	}
}

// For a service without tokens only the service time is observed. Its variation must not
// reduce the limit to the minimum, and the limit must not grow without bound.
func TestLimitWithServiceTimesOnly(t *testing.T) {
	for _, c := range [][2]int{{1, 4}, {1, 16}, {6, 32}, {6, 64}} {
		s := newSimulation(1, c[0], 1, c[1], Options{})
		s.serviceTimeOnly, s.prefillJitter = true, 0.8
		s.checkLoadBand(t, c[1], 0.65, 1.5, 0.65)
	}
}

// Longer prompts increase the time to first token of every request. If the baseline did
// not follow, the limits would remain at the minimum. They have 15 minutes to recover.
func TestLimitFollowsLongerPrompts(t *testing.T) {
	for _, n := range []int{1, 6} {
		s := newSimulation(1, n, 1, 32, Options{})
		s.run(10*time.Minute, time.Minute)
		s.prefillTime *= 10
		s.checkedUntil = 20 * time.Minute
		s.checkLoadBand(t, 32, 0.65, 1.7, 0.65)
	}
}

// An instance that joins at a saturated upstream learns its baseline under load. The total
// load must still stay within the band.
func TestLimitJoiningInstance(t *testing.T) {
	s := newSimulation(1, 5, 1, 32, Options{})
	s.run(10*time.Minute, time.Minute)
	s.addInstance(1, 5, Options{}, []Upstream{{Name: "u0", Domain: "a"}})
	s.checkedUntil = 10 * time.Minute
	s.checkLoadBand(t, 32, 0.65, 1.3, 0.65)
}
