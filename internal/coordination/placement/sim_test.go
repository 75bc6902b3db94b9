package placement

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"slices"
	"time"
)

// lease is the longest pause after which a simulated instance still trusts its view.
const lease = 2 * time.Second

type scheduledEvent struct {
	at  time.Duration
	seq int
	run func()
}

type eventQueue []scheduledEvent

func (q eventQueue) Len() int { return len(q) }
func (q eventQueue) Less(i, j int) bool {
	return q[i].at < q[j].at || q[i].at == q[j].at && q[i].seq < q[j].seq
}
func (q eventQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }
func (q *eventQueue) Push(x any)   { *q = append(*q, x.(scheduledEvent)) }
func (q *eventQueue) Pop() any     { last := (*q)[len(*q)-1]; *q = (*q)[:len(*q)-1]; return last }

// simEngine simulates an engine. Each command takes it up to sim.loadTime.
type simEngine struct {
	name, model   string
	enforcesFence bool
	down          bool
	current       Placement
	target        Placement
	loading       bool
	readsWeights  bool // the load in progress reads from the weight store
	loadID        int  // changes when a load starts or is aborted
	fence         uint64
	executed      int // commands executed
}

// simInstance is a simulated instance.
type simInstance struct {
	member    Member
	machine   *Machine
	revision  uint64
	alive     bool
	frozen    bool
	lastTick  time.Duration
	freshFrom time.Duration
	inbox     []func() // messages that arrived while the instance was frozen
	loads     []loadRecord
}

// loadRecord is a command and the number of weight sets that it loads.
type loadRecord struct {
	at    time.Duration
	count int
}

// sim simulates instances and engines on one virtual clock.
type sim struct {
	rng         *rand.Rand
	now         time.Duration
	queue       eventQueue
	seq         int
	engines     map[string]*simEngine
	instances   []*simInstance
	plan        Plan
	loadTime    time.Duration
	meanDelay   time.Duration // mean one-way network delay
	lateShare   float64       // fraction of commands that are delayed by up to 30 s and may be repeated within 60 s
	lossRate    float64
	inFlight    map[int]func() // deliveries of commands that have not arrived, by event number
	onCommand   func(inst *simInstance, e *simEngine, r Report, sentAt time.Duration, c Command)
	onLoadStart func()
}

func newSim(seed uint64) *sim {
	return &sim{rng: rand.New(rand.NewPCG(seed, 7)), engines: map[string]*simEngine{}, inFlight: map[int]func(){},
		loadTime: 8 * time.Second, meanDelay: 2 * time.Millisecond, onLoadStart: func() {},
		onCommand: func(*simInstance, *simEngine, Report, time.Duration, Command) {}}
}

func (s *sim) schedule(d time.Duration, run func()) int {
	s.seq++
	heap.Push(&s.queue, scheduledEvent{s.now + d, s.seq, run})
	return s.seq
}

func (s *sim) run(d time.Duration) {
	end := s.now + d
	for len(s.queue) > 0 && s.queue[0].at <= end {
		e := heap.Pop(&s.queue).(scheduledEvent)
		s.now = e.at
		e.run()
	}
	s.now = end
}

func (s *sim) addInstance(domain string) *simInstance {
	inst := &simInstance{alive: true, lastTick: s.now, member: Member{Domain: domain}}
	inst.member.ID[0], inst.member.ID[1] = byte(len(s.instances)), byte(s.rng.IntN(256))
	inst.machine = New(inst.member, rand.New(rand.NewPCG(s.rng.Uint64(), 1)))
	s.instances = append(s.instances, inst)
	s.schedule(time.Duration(s.rng.IntN(100))*time.Millisecond, func() { s.tick(inst) })
	return inst
}

func (s *sim) fresh(inst *simInstance) bool {
	return s.now-inst.lastTick <= lease && s.now >= inst.freshFrom
}

func (s *sim) tick(inst *simInstance) {
	if !inst.alive {
		return
	}
	if !inst.frozen {
		if s.now-inst.lastTick > lease {
			inst.freshFrom = s.now + time.Second
		}
		inst.lastTick = s.now
		s.perform(inst, nil, Report{}, 0, inst.machine.Tick(s.now, s.fresh(inst)))
	}
	s.schedule(500*time.Millisecond, func() { s.tick(inst) })
}

// deliverTo delivers a message to an instance, or queues it while the instance is frozen.
func (s *sim) deliverTo(inst *simInstance, run func()) {
	if inst.frozen {
		inst.inbox = append(inst.inbox, run)
	} else if inst.alive {
		run()
	}
}

// thaw resumes a frozen instance, which processes its queued messages before its next tick.
func (s *sim) thaw(inst *simInstance) {
	inst.frozen = false
	for _, run := range inst.inbox {
		s.deliverTo(inst, run)
	}
	inst.inbox = nil
}

// perform executes actions. e and r are the engine and the report that triggered them, and
// sentAt is the time of the query that r answers.
func (s *sim) perform(inst *simInstance, e *simEngine, r Report, sentAt time.Duration, actions []Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case Query:
			s.sendQuery(inst, a)
		case Command:
			s.onCommand(inst, e, r, sentAt, a)
			inst.loads = append(inst.loads, loadRecord{s.now, a.Loads})
			s.sendCommand(inst, a)
		}
	}
}

func (s *sim) oneWayDelay() time.Duration {
	return time.Duration(s.rng.ExpFloat64() * float64(s.meanDelay))
}

func (s *sim) sendQuery(inst *simInstance, q Query) {
	sentAt, e := s.now, s.engines[q.Engine]
	s.schedule(s.oneWayDelay(), func() {
		if e.down || s.rng.Float64() < s.lossRate {
			s.deliverTo(inst, func() { s.perform(inst, nil, Report{}, 0, inst.machine.HandleQueryFailure(s.now, q.ID)) })
			return
		}
		r := Report{Placement: e.current, Loading: e.loading, Fence: e.fence}
		s.schedule(s.oneWayDelay(), func() {
			s.deliverTo(inst, func() { s.perform(inst, e, r, sentAt, inst.machine.HandleReport(s.now, q.ID, r, s.fresh(inst))) })
		})
	})
}

func (s *sim) sendCommand(inst *simInstance, c Command) {
	copies := []time.Duration{s.oneWayDelay()}
	if s.rng.Float64() < s.lateShare {
		copies[0] = time.Duration(s.rng.IntN(30_000)) * time.Millisecond
		if s.rng.IntN(2) == 0 {
			copies = append(copies, time.Duration(s.rng.IntN(60_000))*time.Millisecond)
		}
	}
	for _, d := range copies {
		delivered := false
		var id int
		deliver := func() {
			delete(s.inFlight, id)
			if delivered {
				return
			}
			delivered = true
			outcome := s.execute(s.engines[c.Engine], c)
			s.schedule(s.oneWayDelay(), func() {
				s.deliverTo(inst, func() { s.perform(inst, nil, Report{}, 0, inst.machine.HandleOutcome(s.now, c.ID, outcome)) })
			})
		}
		id = s.schedule(d, deliver)
		s.inFlight[id] = deliver
	}
}

// execute runs a command on an engine.
func (s *sim) execute(e *simEngine, c Command) Outcome {
	if e.down || s.rng.Float64() < s.lossRate {
		return Failed
	}
	if e.enforcesFence && c.Revision < e.fence {
		return Refused
	}
	// An engine that ignores the fence reports that of its last command.
	e.fence = c.Revision
	e.executed++
	e.loadID++
	e.target, e.loading, e.readsWeights = c.Target, true, c.Loads > 0
	if c.Target.Version == "" {
		e.target.Version = e.current.Version
	}
	s.onLoadStart()
	id := e.loadID
	s.schedule(time.Duration(s.rng.Float64()*float64(s.loadTime)), func() {
		if e.loadID == id {
			e.current, e.loading = e.target, false
		}
	})
	return Accepted
}

// restart restarts an engine without any loaded weights and aborts its load.
func (s *sim) restart(e *simEngine) {
	*e = simEngine{name: e.name, model: e.model, enforcesFence: e.enforcesFence, loadID: e.loadID + 1, executed: e.executed, current: Placement{Role: Mixed}}
}

// publish creates the next plan. Instances receive it through setPlan or synchronize.
func (s *sim) publish(change func(e *Engine)) {
	s.plan.Engines = slices.Clone(s.plan.Engines)
	for i := range s.plan.Engines {
		change(&s.plan.Engines[i])
	}
	s.plan.Revision++
}

func (s *sim) setPlan(inst *simInstance, p Plan) {
	if inst.alive && !inst.frozen {
		inst.revision = max(inst.revision, p.Revision)
		s.perform(inst, nil, Report{}, 0, inst.machine.SetPlan(s.now, p))
	}
}

func (s *sim) setMembers(inst *simInstance, members []Member) {
	if inst.alive && !inst.frozen {
		s.perform(inst, nil, Report{}, 0, inst.machine.SetMembers(s.now, members))
	}
}

// synchronize gives all instances the newest plan and the same view of the members.
func (s *sim) synchronize() {
	var live []Member
	for _, inst := range s.instances {
		if inst.alive && !inst.frozen {
			live = append(live, inst.member)
		}
	}
	for _, inst := range s.instances {
		s.setPlan(inst, s.plan)
		s.setMembers(inst, live)
	}
}

// firstMismatch describes the first engine that does not have its wanted placement, or
// returns "". It compares independently of Placement.Satisfies.
func (s *sim) firstMismatch() string {
	for _, spec := range s.plan.Engines {
		e := s.engines[spec.Name]
		if e.loading || e.current.Version != spec.Wanted.Version || e.current.Role != spec.Wanted.Role || fmt.Sprint(e.current.Adapters) != fmt.Sprint(spec.Wanted.Adapters) {
			return fmt.Sprintf("%s has %v (fence %d, loading %v, enforces the fence %v), want %v of revision %d", e.name, e.current, e.fence, e.loading, e.enforcesFence, spec.Wanted, s.plan.Revision)
		}
	}
	return ""
}

// maxLoadsPerMinute returns the highest number of loads in any minute. The records are
// ordered by time.
func maxLoadsPerMinute(loads []loadRecord) int {
	highest := 0
	for i, first := range loads {
		n := 0
		for _, l := range loads[i:] {
			if l.at < first.at+time.Minute {
				n += l.count
			}
		}
		highest = max(highest, n)
	}
	return highest
}
