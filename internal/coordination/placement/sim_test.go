package placement

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// lease is the longest pause after which a simulated instance trusts its view.
const lease = 2 * time.Second

type event struct {
	at  time.Duration
	seq int
	run func()
}

type events []event

func (q events) Len() int { return len(q) }
func (q events) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q events) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *events) Push(x any)   { *q = append(*q, x.(event)) }
func (q *events) Pop() any     { x := (*q)[len(*q)-1]; *q = (*q)[:len(*q)-1]; return x }

// simEngine is an engine that needs loadTime for every command that loads.
type simEngine struct {
	name, model string
	honours     bool
	down        bool
	held        Placement
	next        Placement
	loading     bool
	reads       bool // the load in progress reads weights
	load        int  // number of the load in progress
	fence       uint64
	executed    int
}

// simInstance is an instance with its machine.
type simInstance struct {
	member   Member
	m        *Machine
	revision uint64
	alive    bool
	frozen   bool
	lastTick time.Duration
	freshAt  time.Duration
	inbox    []func() // arrived while the instance was frozen
	loads    []loadAt
}

type loadAt struct {
	at    time.Duration
	loads int
}

// sim runs instances and engines on one simulated clock.
type sim struct {
	rng       *rand.Rand
	now       time.Duration
	queue     events
	seq       int
	engines   map[string]*simEngine
	instances []*simInstance
	plan      Plan
	loadTime  time.Duration
	delay     time.Duration // mean one-way delay
	late      float64       // share of commands that arrive again, or only, much later
	loss      float64
	inFlight  map[int]func() // commands that have not arrived
	given     func(n *simInstance, e *simEngine, r Report, sentAt time.Duration, c Command)
	loadBegan func()
}

func newSim(seed uint64) *sim {
	return &sim{rng: rand.New(rand.NewPCG(seed, 7)), engines: map[string]*simEngine{}, inFlight: map[int]func(){},
		loadTime: 8 * time.Second, delay: 2 * time.Millisecond, loadBegan: func() {},
		given: func(*simInstance, *simEngine, Report, time.Duration, Command) {}}
}

func (s *sim) after(d time.Duration, run func()) int {
	s.seq++
	heap.Push(&s.queue, event{s.now + d, s.seq, run})
	return s.seq
}

func (s *sim) run(d time.Duration) {
	end := s.now + d
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(event)
		s.now = e.at
		e.run()
	}
	s.now = end
}

func (s *sim) addInstance(domain string) *simInstance {
	n := &simInstance{alive: true, lastTick: s.now, member: Member{Domain: domain}}
	n.member.ID[0], n.member.ID[1] = byte(len(s.instances)), byte(s.rng.IntN(256))
	n.m = New(n.member, rand.New(rand.NewPCG(s.rng.Uint64(), 1)))
	s.instances = append(s.instances, n)
	s.after(time.Duration(s.rng.IntN(100))*time.Millisecond, func() { s.tick(n) })
	return n
}

func (s *sim) fresh(n *simInstance) bool { return s.now-n.lastTick <= lease && s.now >= n.freshAt }

func (s *sim) tick(n *simInstance) {
	if !n.alive {
		return
	}
	if !n.frozen {
		if s.now-n.lastTick > lease {
			n.freshAt = s.now + time.Second
		}
		n.lastTick = s.now
		s.perform(n, nil, Report{}, 0, n.m.Tick(s.now, s.fresh(n)))
	}
	s.after(500*time.Millisecond, func() { s.tick(n) })
}

// at delivers a message to an instance, or keeps it until the instance wakes up.
func (s *sim) at(n *simInstance, run func()) {
	if n.frozen {
		n.inbox = append(n.inbox, run)
	} else if n.alive {
		run()
	}
}

// thaw wakes an instance: it handles what has arrived before its next tick.
func (s *sim) thaw(n *simInstance) {
	n.frozen = false
	for _, run := range n.inbox {
		s.at(n, run)
	}
	n.inbox = nil
}

// perform carries out actions; e and r are the engine and the report that led to them.
func (s *sim) perform(n *simInstance, e *simEngine, r Report, sentAt time.Duration, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Query:
			s.query(n, a)
		case Command:
			s.given(n, e, r, sentAt, a)
			n.loads = append(n.loads, loadAt{s.now, a.Loads})
			s.command(n, a)
		}
	}
}

func (s *sim) hop() time.Duration {
	return time.Duration(s.rng.ExpFloat64() * float64(s.delay))
}

func (s *sim) query(n *simInstance, q Query) {
	sentAt, e := s.now, s.engines[q.Engine]
	s.after(s.hop(), func() {
		if e.down || s.rng.Float64() < s.loss {
			s.at(n, func() { s.perform(n, nil, Report{}, 0, n.m.QueryFailed(s.now, q.ID)) })
			return
		}
		r := Report{Placement: e.held, Loading: e.loading, Fence: e.fence}
		s.after(s.hop(), func() {
			s.at(n, func() { s.perform(n, e, r, sentAt, n.m.Reported(s.now, q.ID, r, s.fresh(n))) })
		})
	})
}

func (s *sim) command(n *simInstance, c Command) {
	copies := []time.Duration{s.hop()}
	if s.rng.Float64() < s.late {
		copies[0] = time.Duration(s.rng.IntN(30_000)) * time.Millisecond
		if s.rng.IntN(2) == 0 {
			copies = append(copies, time.Duration(s.rng.IntN(60_000))*time.Millisecond)
		}
	}
	for _, d := range copies {
		done := false
		var id int
		deliver := func() {
			delete(s.inFlight, id)
			if done {
				return
			}
			done = true
			outcome := s.execute(s.engines[c.Engine], c)
			s.after(s.hop(), func() {
				s.at(n, func() { s.perform(n, nil, Report{}, 0, n.m.CommandDone(s.now, c.ID, outcome)) })
			})
		}
		id = s.after(d, deliver)
		s.inFlight[id] = deliver
	}
}

// execute is the engine's side of a command.
func (s *sim) execute(e *simEngine, c Command) Outcome {
	if e.down || s.rng.Float64() < s.loss {
		return Failed
	}
	if e.honours && c.Revision < e.fence {
		return Refused
	}
	// An engine that ignores the number reports the one of its last command.
	e.fence = c.Revision
	e.executed++
	e.load++
	e.next, e.loading, e.reads = c.Target, true, c.Loads > 0
	if c.Target.Version == "" {
		e.next.Version = e.held.Version
	}
	s.loadBegan()
	load := e.load
	s.after(time.Duration(s.rng.Float64()*float64(s.loadTime)), func() {
		if e.load == load {
			e.held, e.loading = e.next, false
		}
	})
	return Accepted
}

// restart brings an engine up again with nothing loaded.
func (s *sim) restart(e *simEngine) {
	*e = simEngine{name: e.name, model: e.model, honours: e.honours, load: e.load + 1, executed: e.executed, held: Placement{Role: Mixed}}
}

// publish makes the next plan; instances take it when the caller says so.
func (s *sim) publish(change func(e *Engine)) {
	s.plan.Engines = slices.Clone(s.plan.Engines)
	for i := range s.plan.Engines {
		change(&s.plan.Engines[i])
	}
	s.plan.Revision++
}

func (s *sim) takePlan(n *simInstance, p Plan) {
	if n.alive && !n.frozen {
		n.revision = max(n.revision, p.Revision)
		s.perform(n, nil, Report{}, 0, n.m.SetPlan(s.now, p))
	}
}

func (s *sim) takeMembers(n *simInstance, members []Member) {
	if n.alive && !n.frozen {
		s.perform(n, nil, Report{}, 0, n.m.SetMembers(s.now, members))
	}
}

// agree gives all instances the newest plan and the same view.
func (s *sim) agree() {
	var live []Member
	for _, n := range s.instances {
		if n.alive && !n.frozen {
			live = append(live, n.member)
		}
	}
	for _, n := range s.instances {
		s.takePlan(n, s.plan)
		s.takeMembers(n, live)
	}
}

// unsettled names an engine that does not hold its wanted placement, written without
// the machine's own comparison.
func (s *sim) unsettled() string {
	for _, x := range s.plan.Engines {
		e := s.engines[x.Name]
		if e.loading || e.held.Version != x.Wanted.Version || e.held.Role != x.Wanted.Role || fmt.Sprint(e.held.Adapters) != fmt.Sprint(x.Wanted.Adapters) {
			return fmt.Sprintf("%s holds %v (fence %d, loading %v, honours %v), wanted %v of revision %d", e.name, e.held, e.fence, e.loading, e.honours, x.Wanted, s.plan.Revision)
		}
	}
	return ""
}

// busiestMinute is the highest number of loads in any minute.
func busiestMinute(loads []loadAt) int {
	best := 0
	for i, first := range loads {
		n := 0
		for _, l := range loads[i:] {
			if l.at < first.at+time.Minute {
				n += l.loads
			}
		}
		best = max(best, n)
	}
	return best
}
