package placement

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// QueryInterval is the shortest time between two queries of an engine.
	QueryInterval = time.Second
	// settledInterval is the time between queries of an engine that has its wanted
	// placement. It bounds how long a late command or a restart goes unnoticed.
	settledInterval = 5 * time.Second
	// queryTimeout is the time after which a query without an answer is repeated.
	queryTimeout = 3 * time.Second
	// MaxReportAge bounds the time from the query to the command that its answer
	// leads to. It equals the lease of the membership view.
	MaxReportAge = 2 * time.Second
	// commandTimeout is the time after which a command without an outcome has failed.
	commandTimeout = 10 * time.Second
	// unreachableAfter is the time without an answer after which an engine is passed
	// over in the order. A shorter one would pass over engines that restart.
	unreachableAfter = time.Minute
	// unreachableMisses is the number of queries that must have gone without an answer
	// in that time: engines of other givers are asked only now and then.
	unreachableMisses = 10
	// maxOthers bounds the queries for engines of other givers in one QueryInterval.
	maxOthers = 8
	// firstBackoff and maxBackoff bound the mean time between commands to one engine.
	firstBackoff = 2 * time.Second
	maxBackoff   = 2 * time.Minute
)

// engine is what the machine knows about an engine of the plan.
type engine struct {
	Engine
	own        bool
	report     Report
	known      bool // report is valid for this wanted placement
	reportedAt time.Duration
	misses     int           // queries since the last answer
	missedAt   time.Duration // the first of them
	query      uint64        // outstanding query; 0 without
	askedAt    time.Duration
	nextQuery  time.Duration
	command    uint64 // outstanding command; 0 without
	sentAt     time.Duration
	attempts   int
	retryAt    time.Duration
	status     Status
}

// Machine decides for one instance. It is safe for concurrent use.
type Machine struct {
	mu       sync.Mutex
	self     Member
	rng      *rand.Rand
	plan     Plan
	members  []Member
	engines  map[string]*engine
	names    []string            // sorted
	order    map[string][]string // engines of a model in the order of their changes
	givers   int                 // live givers of the own domain
	giver    bool
	nextID   uint64
	nextAt   time.Duration // earliest time of the next command that loads
	cursor   int           // where the last round of queries for others ended
	othersAt time.Duration
}

// New returns a machine without a plan for the instance self.
func New(self Member, rng *rand.Rand) *Machine {
	return &Machine{self: self, rng: rng, engines: map[string]*engine{}, order: map[string][]string{}}
}

// SetPlan puts a plan in force. A plan whose revision is not above the current one
// changes nothing.
func (m *Machine) SetPlan(now time.Duration, p Plan) []Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p.Revision <= m.plan.Revision {
		return nil
	}
	m.plan = p
	old := m.engines
	m.engines, m.order, m.names = map[string]*engine{}, map[string][]string{}, nil
	changed := changedModels(old, p)
	for _, x := range p.Engines {
		e := &engine{Engine: x}
		if prev := old[x.Name]; prev != nil && !changed[x.Model] {
			e = prev
			e.Engine = x
		} else if prev != nil {
			e.own, e.status, e.nextQuery = prev.own, prev.status, prev.askedAt+QueryInterval
		}
		m.engines[x.Name] = e
		m.names = append(m.names, x.Name)
		if m.order[x.Model] == nil {
			m.order[x.Model] = p.ordered(x.Model)
		}
	}
	slices.Sort(m.names)
	m.assign(now)
	return m.statuses(now)
}

// changedModels lists the models whose engines or wanted placements differ. What is
// known about their engines must be asked again: a load of the old plan may be running.
func changedModels(old map[string]*engine, p Plan) map[string]bool {
	changed, count := map[string]bool{}, map[string]int{}
	for _, x := range p.Engines {
		prev := old[x.Name]
		if prev == nil || prev.Model != x.Model || prev.Domain != x.Domain || !prev.Wanted.equal(x.Wanted) {
			changed[x.Model] = true
		}
		count[x.Model]++
	}
	for _, e := range old {
		count[e.Model]--
	}
	for model, n := range count {
		changed[model] = changed[model] || n != 0
	}
	return changed
}

// SetMembers replaces the live members of all failure domains. The list names the
// instance itself unless it is leaving.
func (m *Machine) SetMembers(now time.Duration, members []Member) []Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.members = slices.Clone(members)
	m.assign(now)
	return m.statuses(now)
}

// assign finds the engines that this instance gives commands to.
func (m *Machine) assign(now time.Duration) {
	givers := Givers(m.plan, m.self.Domain, m.members)
	m.givers = len(givers)
	was := m.giver
	m.giver = slices.Contains(givers, m.self) && slices.ContainsFunc(m.plan.Engines, func(e Engine) bool { return e.Domain == m.self.Domain })
	if m.giver && !was {
		m.nextAt = max(m.nextAt, now+m.jittered(m.space()))
	}
	for _, name := range m.names {
		e := m.engines[name]
		own := false
		if m.giver && e.Domain == m.self.Domain {
			own = byRendezvous(name, givers)[0] == m.self
		}
		if own && !e.own { // what was heard as a bystander may be old
			e.nextQuery = now
		}
		e.own = own
	}
}

// space is the time between the loads of this giver: its part of the weight store's
// rate, rounded down to whole loads per minute where it is at least one.
func (m *Machine) space() time.Duration {
	givers := max(1, m.givers) * m.plan.domains()
	if whole := m.plan.LoadsPerMinute / givers; whole > 0 {
		return time.Minute / time.Duration(whole)
	}
	return time.Minute * time.Duration(givers) / time.Duration(max(1, m.plan.LoadsPerMinute))
}

// concurrent is this giver's part of the concurrent loads.
func (m *Machine) concurrent() int {
	return max(1, m.plan.ConcurrentLoads/(max(1, m.givers)*m.plan.domains()))
}

// jittered lengthens d by up to a quarter, so that givers do not load in step. It never
// shortens d, so a giver keeps within its part.
func (m *Machine) jittered(d time.Duration) time.Duration {
	return d + time.Duration(m.rng.Float64()*float64(d)/4)
}

// Tick asks for reports that are due. fresh says whether the caller trusts its view of
// the members and of the configuration.
func (m *Machine) Tick(now time.Duration, fresh bool) []Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.checkFresh(fresh) {
		return nil
	}
	m.expire(now)
	var out []Action
	pending := map[string]bool{}
	for _, name := range m.names {
		e := m.engines[name]
		if !e.own {
			continue
		}
		if m.isDue(now, e) {
			out = append(out, m.ask(now, e))
		}
		if e.known && !e.report.Placement.Satisfies(e.Wanted) && e.report.Fence <= m.plan.Revision {
			pending[e.Model] = true
		}
	}
	return append(append(out, m.askOthers(now, pending)...), m.statuses(now)...)
}

// checkFresh forgets all reports when the view is not fresh.
func (m *Machine) checkFresh(fresh bool) bool {
	if !fresh {
		for _, e := range m.engines {
			e.known, e.query, e.misses = false, 0, 0
		}
	}
	return fresh
}

// expire gives up queries and commands without an answer.
func (m *Machine) expire(now time.Duration) {
	for _, e := range m.engines {
		if e.query != 0 && now-e.askedAt >= queryTimeout {
			e.query = 0
		}
		if e.command != 0 && now-e.sentAt >= commandTimeout {
			e.command = 0
		}
	}
}

func (m *Machine) isDue(now time.Duration, e *engine) bool { return e.query == 0 && now >= e.nextQuery }

func (m *Machine) ask(now time.Duration, e *engine) Query {
	m.nextID++
	e.query, e.askedAt, e.nextQuery = m.nextID, now, now+QueryInterval
	if e.misses == 0 {
		e.missedAt = now
	}
	e.misses++
	return Query{ID: m.nextID, Engine: e.Name}
}

// askOthers asks engines of other givers whose state decides whether an engine of this
// giver may change.
func (m *Machine) askOthers(now time.Duration, pending map[string]bool) []Action {
	if len(pending) == 0 || now < m.othersAt {
		return nil
	}
	m.othersAt = now + QueryInterval
	var out []Action
	start := m.cursor
	for i := range m.names {
		at := (start + i) % len(m.names)
		e := m.engines[m.names[at]]
		if e.own || !pending[e.Model] || !m.isDue(now, e) || m.isIdle(e) {
			continue
		}
		if len(out) == maxOthers {
			break
		}
		out = append(out, m.ask(now, e))
		m.cursor = at + 1
	}
	return out
}

// isIdle reports that the last report shows the wanted placement and no load.
func (m *Machine) isIdle(e *engine) bool {
	return e.known && !e.report.Loading && e.report.Placement.Satisfies(e.Wanted)
}

// Reported handles the answer to a query and may lead to a command.
func (m *Machine) Reported(now time.Duration, id uint64, r Report, fresh bool) []Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.checkFresh(fresh) {
		return nil
	}
	e := m.byQuery(id)
	if e == nil {
		return nil
	}
	e.query = 0
	r.Placement.Adapters = slices.Sorted(slices.Values(r.Placement.Adapters))
	e.report, e.known, e.reportedAt, e.misses = r, true, now, 0
	if m.isIdle(e) {
		e.attempts, e.retryAt, e.nextQuery = 0, 0, now+settledInterval
	}
	var out []Action
	if e.own && now-e.askedAt <= MaxReportAge && m.mayCommand(now, e) {
		out = append(out, m.give(now, e))
	}
	return append(out, m.statuses(now)...)
}

func (m *Machine) byQuery(id uint64) *engine {
	for _, name := range m.names {
		if e := m.engines[name]; e.query == id {
			return e
		}
	}
	return nil
}

// QueryFailed handles a query without an answer.
func (m *Machine) QueryFailed(now time.Duration, id uint64) []Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e := m.byQuery(id); e != nil {
		e.query = 0
	}
	return m.statuses(now)
}

// CommandDone handles the outcome of a command.
func (m *Machine) CommandDone(now time.Duration, id uint64, _ Outcome) []Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, name := range m.names {
		if e := m.engines[name]; e.command == id {
			e.command = 0
			e.nextQuery = min(e.nextQuery, now+QueryInterval)
		}
	}
	return m.statuses(now)
}

// mayCommand compares the engine's report with the plan and the limits.
func (m *Machine) mayCommand(now time.Duration, e *engine) bool {
	if e.report.Loading || e.report.Placement.Satisfies(e.Wanted) || e.report.Fence > m.plan.Revision {
		return false
	}
	if e.command != 0 || now < e.retryAt || m.busyOfModel(now, e) >= Limit(len(m.order[e.Model])) {
		return false
	}
	return e.report.Placement.Loads(e.Wanted) == 0 || now >= m.nextAt && m.ownLoads(now) < m.concurrent()
}

// busyOfModel counts the engines of the model, other than e, that may be out of service
// or change before e.
func (m *Machine) busyOfModel(now time.Duration, e *engine) int {
	busy, before := 0, true
	for _, name := range m.order[e.Model] {
		x := m.engines[name]
		if x == e {
			before = false
			continue
		}
		if m.isUnreachable(now, x) {
			continue
		}
		if !x.known || x.report.Loading || before && !x.report.Placement.Satisfies(x.Wanted) {
			busy++
		}
	}
	return busy
}

// ownLoads counts the engines of this giver that are loading or may be: a command without
// a later report counts as a load.
func (m *Machine) ownLoads(now time.Duration) int {
	n := 0
	for _, e := range m.engines {
		if e.own && !m.isUnreachable(now, e) && (!e.known || e.report.Loading || e.command != 0 || e.attempts > 0 && e.sentAt >= e.reportedAt) {
			n++
		}
	}
	return n
}

func (m *Machine) isUnreachable(now time.Duration, e *engine) bool {
	return e.misses > unreachableMisses && now-e.missedAt >= unreachableAfter
}

// give issues the command. Its repetition waits for a backoff that grows with every
// command until the engine has its wanted placement, whatever the outcomes.
func (m *Machine) give(now time.Duration, e *engine) Command {
	m.nextID++
	e.command, e.sentAt = m.nextID, now
	mean := min(maxBackoff, firstBackoff<<min(e.attempts, 10))
	e.retryAt = now + mean/2 + time.Duration(m.rng.Float64()*float64(mean))
	e.attempts++
	loads := e.report.Placement.Loads(e.Wanted)
	if loads > 0 {
		m.nextAt = now + time.Duration(loads)*m.jittered(m.space())
	}
	return Command{ID: m.nextID, Engine: e.Name, Revision: m.plan.Revision, Target: e.Wanted, Loads: loads}
}

// statuses reports the statuses that have changed, in the order of the names.
func (m *Machine) statuses(now time.Duration) []Action {
	var out []Action
	for _, name := range m.names {
		e := m.engines[name]
		s := m.statusOf(now, e)
		if e.own && s != e.status {
			out = append(out, Changed{Engine: name, Status: s, Previous: e.status})
		}
		e.status = s
	}
	return out
}

func (m *Machine) statusOf(now time.Duration, e *engine) Status {
	switch {
	case m.isUnreachable(now, e):
		return Unreachable
	case !e.known:
		return Unknown
	case e.report.Fence > m.plan.Revision:
		return Superseded
	case e.command != 0:
		return Commanded
	case e.report.Loading:
		return Loading
	case e.report.Placement.Satisfies(e.Wanted):
		return Settled
	}
	return Waiting
}

// Snapshot lists the engines that this instance gives commands to, by name.
func (m *Machine) Snapshot(now time.Duration) []EngineState {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := []EngineState{}
	for _, e := range m.engines {
		if e.own {
			list = append(list, EngineState{Engine: e.Name, Model: e.Model, Status: m.statusOf(now, e), Wanted: e.Wanted,
				Reported: e.report.Placement, Fence: e.report.Fence, Attempts: e.attempts, Age: now - e.reportedAt})
		}
	}
	slices.SortFunc(list, func(a, b EngineState) int { return strings.Compare(a.Engine, b.Engine) })
	return list
}
