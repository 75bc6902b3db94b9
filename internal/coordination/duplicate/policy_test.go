package duplicate

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"
)

// Guards against duplicates before anything is known of a class, and before a request is late by what was predicted for it.
func TestDelayFollowsWhatWasLearned(t *testing.T) {
	p := New(0.1, 10*time.Second)
	for i := range minSamples - 1 {
		p.Observe(0, "c", time.Duration(100+i)*time.Millisecond)
	}
	if _, ok := p.Delay(0, "c", 0); ok {
		t.Error("a duplicate after too few samples")
	}
	p.Observe(0, "c", 100*time.Millisecond)
	if delay, ok := p.Delay(0, "c", 0); !ok || delay < 112*time.Millisecond || delay > 130*time.Millisecond {
		t.Errorf("delay %v, want about the 95th percentile", delay)
	}
	if delay, _ := p.Delay(0, "c", time.Second); delay != 1500*time.Millisecond {
		t.Errorf("delay %v of a request that is predicted to take a second", delay)
	}
	if _, ok := p.Delay(0, "other", 0); ok {
		t.Error("a duplicate in a class of which nothing is known")
	}
}

// Guards against a share of duplicates above the operator's limit.
func TestDuplicatesStayWithinTheirShare(t *testing.T) {
	p := New(0.05, 10*time.Second)
	allowed := 0
	for i := range 400 {
		now := time.Duration(i) * 10 * time.Millisecond
		p.RecordRequest(now)
		if permit := p.Allow(now); permit != nil {
			p.Sent(now, permit)
			allowed++
		}
	}
	if allowed == 0 || allowed > 20 {
		t.Errorf("%d duplicates of 400 requests, want at most 20", allowed)
	}
	if New(0, time.Second).Allow(0) != nil {
		t.Error("a duplicate without a share")
	}
}

// simulated is a service whose upstreams run one request after the other. Some of them are slow at times.
type simulated struct {
	rng      *rand.Rand // of the load, the same with and without duplicates
	second   *rand.Rand // of the duplicates
	policy   *Policy    // nil: no duplicates
	busy     []time.Duration
	slowTill []time.Duration
	events   eventQueue
	times    []time.Duration // to the first output, from the arrival
	sent     int             // attempts
}

type event struct {
	at  time.Duration
	run func(now time.Duration)
}

type eventQueue []event

func (q eventQueue) Len() int           { return len(q) }
func (q eventQueue) Less(i, j int) bool { return q[i].at < q[j].at }
func (q eventQueue) Swap(i, j int)      { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)        { *q = append(*q, x.(event)) }
func (q *eventQueue) Pop() any {
	last := (*q)[len(*q)-1]
	*q = (*q)[:len(*q)-1]
	return last
}

const (
	simUpstreams = 40
	simWork      = 100 * time.Millisecond // mean
	simSlowFor   = 600 * time.Millisecond
	simSlowness  = 2.5
	simSlowShare = 0.15
	simTime      = 60 * time.Second
)

// attempt sends an attempt to the best of two random upstreams and returns when its output comes.
func (s *simulated) attempt(rng *rand.Rand, now time.Duration, exclude int) (upstream int, wait, predicted, done time.Duration) {
	upstream = -1
	for range 2 {
		if u := rng.IntN(simUpstreams); u != exclude && (upstream < 0 || s.busy[u] < s.busy[upstream]) {
			upstream = u
		}
	}
	if upstream < 0 {
		return
	}
	wait = max(0, s.busy[upstream]-now)
	work := time.Duration(rng.ExpFloat64()*float64(simWork)/2) + simWork/2
	if now < s.slowTill[upstream] {
		work = time.Duration(simSlowness * float64(work))
	}
	return upstream, wait, wait + simWork, now + wait + work
}

func (s *simulated) take(upstream int, done time.Duration) {
	s.sent++
	s.busy[upstream] = done
}

func (s *simulated) arrive(now time.Duration) {
	first, _, predicted, done := s.attempt(s.rng, now, -1)
	for first < 0 {
		first, _, predicted, done = s.attempt(s.rng, now, -1)
	}
	s.take(first, done)
	answered := done
	finish := func(end time.Duration) {
		s.times = append(s.times, end-now)
		if s.policy != nil {
			s.policy.Observe(end, "c", end-now)
		}
	}
	if s.policy == nil {
		finish(answered)
		return
	}
	s.policy.RecordRequest(now)
	delay, ok := s.policy.Delay(now, "c", predicted)
	if !ok || now+delay >= done {
		heap.Push(&s.events, event{done, finish})
		return
	}
	heap.Push(&s.events, event{now + delay, func(at time.Duration) {
		second, wait, predicted, other := s.attempt(s.second, at, first)
		candidate := Candidate{Load: int(wait / simWork), Slots: 2, Wait: wait, Predicted: predicted}
		if second >= 0 && candidate.Suits(delay) {
			if permit := s.policy.Allow(at); permit != nil {
				s.policy.Sent(at, permit)
				s.take(second, other)
				answered = min(answered, other)
			}
		}
		heap.Push(&s.events, event{answered, finish})
	}})
}

// simulate returns the 99th percentile of the times and the attempts for each request.
func simulate(load float64, policy *Policy) (p99 time.Duration, attempts float64) {
	s := &simulated{rng: rand.New(rand.NewPCG(5, 7)), second: rand.New(rand.NewPCG(6, 8)), policy: policy, busy: make([]time.Duration, simUpstreams), slowTill: make([]time.Duration, simUpstreams)}
	for at := time.Duration(0); at < simTime; at += simSlowFor {
		heap.Push(&s.events, event{at, func(now time.Duration) {
			for u := range s.slowTill {
				if s.rng.Float64() < simSlowShare {
					s.slowTill[u] = now + simSlowFor
				}
			}
		}})
	}
	interval, arrivals := float64(simWork)/simUpstreams/load, rand.New(rand.NewPCG(9, 10))
	for at := time.Duration(0); at < simTime; at += time.Duration(arrivals.ExpFloat64() * interval) {
		heap.Push(&s.events, event{at, s.arrive})
	}
	for s.events.Len() > 0 {
		next := heap.Pop(&s.events).(event)
		next.run(next.at)
	}
	slices.Sort(s.times)
	return s.times[len(s.times)*99/100], float64(s.sent) / float64(len(s.times))
}

// Guards against duplicates that do not cut the slowest answers while 15 in 100 upstreams work 2.5 times slower for 600 ms at
// a time, that exceed their share, or that make anything worse under overload.
func TestDuplicatesCutTheSlowestAnswersAndHarmNothing(t *testing.T) {
	const share = 0.05
	for load, factor := range map[float64]float64{0.3: 0.95, 0.7: 1.02, 1.2: 1.02} {
		t.Run(fmt.Sprint("load ", load), func(t *testing.T) {
			without, _ := simulate(load, nil)
			with, attempts := simulate(load, New(share, 10*time.Second))
			t.Logf("p99 %v without, %v with %.4f attempts a request", without, with, attempts)
			if float64(with) > factor*float64(without) {
				t.Errorf("p99 %v, want at most %.2f of %v", with, factor, without)
			}
			if attempts > 1+share {
				t.Errorf("%.4f attempts a request, want at most %.2f", attempts, 1+share)
			}
		})
	}
}

// Guards against duplicates at upstreams that take few requests, or where they would delay others.
func TestDuplicatesGoOnlyToUpstreamsWithRoom(t *testing.T) {
	free := Candidate{Load: 1, Slots: 4, Wait: 10 * time.Millisecond, Predicted: 200 * time.Millisecond}
	const elapsed = 300 * time.Millisecond
	if !free.Suits(elapsed) {
		t.Error("an upstream with room does not suit")
	}
	for name, change := range map[string]func(*Candidate){
		"cold":                    func(c *Candidate) { c.Cold = true },
		"limited":                 func(c *Candidate) { c.Limited = true },
		"half of its slots taken": func(c *Candidate) { c.Load = 2 },
		"others wait for it":      func(c *Candidate) { c.Wait = maxWait },
		"requests are queued":     func(c *Candidate) { c.Queued = 1 },
		"not sooner":              func(c *Candidate) { c.Predicted = elapsed },
	} {
		c := free
		change(&c)
		if c.Suits(elapsed) {
			t.Errorf("%s: suits", name)
		}
	}
}
