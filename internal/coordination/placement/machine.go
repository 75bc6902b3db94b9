package placement

import (
	"math/rand/v2"
	"slices"
	"strings"
	"sync"
	"time"
)

const (
	// QueryInterval is the minimum time between two queries of an engine.
	QueryInterval = time.Second
	// settledInterval is the time between queries of an engine that has its wanted
	// placement. It bounds the time until the effect of a delayed command or of an
	// engine restart is detected.
	settledInterval = 5 * time.Second
	// queryTimeout is the time after which an unanswered query is repeated.
	queryTimeout = 3 * time.Second
	// MaxReportAge bounds the time between a query and the command that its answer
	// triggers. It equals the lease of the membership view.
	MaxReportAge = 2 * time.Second
	// commandTimeout is the time after which a command without an outcome counts as
	// failed.
	commandTimeout = 10 * time.Second
	// unreachableAfter is the time without an answer after which an engine is skipped
	// in the change order. A shorter time would skip engines that are restarting.
	unreachableAfter = time.Minute
	// minUnansweredQueries is the number of unanswered queries that an unreachable engine
	// must exceed in that time, because the engines of other controllers are queried only
	// occasionally.
	minUnansweredQueries = 10
	// maxPeerEngineQueries bounds the queries of engines of other controllers in one
	// QueryInterval.
	maxPeerEngineQueries = 8
	// initialBackoff and maxBackoff bound the mean backoff between commands to one engine.
	initialBackoff = 2 * time.Second
	maxBackoff     = 2 * time.Minute
)

// engine is the state that the machine keeps for an engine of the plan.
type engine struct {
	Engine
	owned           bool // controlled by this instance
	report          Report
	reportValid     bool // report belongs to the current plan and view
	reportedAt      time.Duration
	unanswered      int           // queries sent since the last answer
	unansweredSince time.Duration // time of the first of these queries
	queryID         uint64        // ID of the outstanding query, or 0
	queriedAt       time.Duration
	nextQueryAt     time.Duration
	commandID       uint64 // ID of the outstanding command, or 0
	commandedAt     time.Duration
	attempts        int
	retryAt         time.Duration
	status          Status
}

// Machine decides which queries and commands one instance sends. It does no I/O: its
// methods return the actions that the caller has to carry out. It is safe for concurrent
// use.
type Machine struct {
	mu              sync.Mutex
	self            Member
	rng             *rand.Rand
	plan            Plan
	members         []Member
	engines         map[string]*engine
	engineNames     []string            // sorted
	changeOrders    map[string][]string // engines by model, in change order
	controllerCount int                 // live controllers in the failure domain of self
	isController    bool
	nextID          uint64
	nextLoadAt      time.Duration // earliest time of the next command that loads weights
	peerCursor      int           // index in engineNames at which the next scan for peer queries starts
	nextPeerQueryAt time.Duration
}

// New returns a machine for the instance self, without a plan.
func New(self Member, rng *rand.Rand) *Machine {
	return &Machine{self: self, rng: rng, engines: map[string]*engine{}, changeOrders: map[string][]string{}}
}

// SetPlan replaces the plan. A plan whose revision is not above the current one is
// ignored.
func (m *Machine) SetPlan(now time.Duration, p Plan) []Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	if p.Revision <= m.plan.Revision {
		return nil
	}
	m.plan = p
	old := m.engines
	m.engines, m.changeOrders, m.engineNames = map[string]*engine{}, map[string][]string{}, nil
	changed := changedModels(old, p)
	for _, spec := range p.Engines {
		e := &engine{Engine: spec}
		if prev := old[spec.Name]; prev != nil && !changed[spec.Model] {
			e = prev
			e.Engine = spec
		} else if prev != nil {
			e.owned, e.status, e.nextQueryAt = prev.owned, prev.status, prev.queriedAt+QueryInterval
		}
		m.engines[spec.Name] = e
		m.engineNames = append(m.engineNames, spec.Name)
		if m.changeOrders[spec.Model] == nil {
			m.changeOrders[spec.Model] = p.changeOrder(spec.Model)
		}
	}
	slices.Sort(m.engineNames)
	m.assignEngines(now)
	return m.statusChanges(now)
}

// changedModels returns the models whose engines or wanted placements differ between old
// and p. Their engines must be queried again, since a load of the old plan may be running.
func changedModels(old map[string]*engine, p Plan) map[string]bool {
	changed, count := map[string]bool{}, map[string]int{}
	for _, spec := range p.Engines {
		prev := old[spec.Name]
		if prev == nil || prev.Model != spec.Model || prev.Domain != spec.Domain || !prev.Wanted.equal(spec.Wanted) {
			changed[spec.Model] = true
		}
		count[spec.Model]++
	}
	for _, e := range old {
		count[e.Model]--
	}
	for model, n := range count {
		changed[model] = changed[model] || n != 0
	}
	return changed
}

// SetMembers replaces the live members of all failure domains. The list includes the
// instance itself unless it is leaving.
func (m *Machine) SetMembers(now time.Duration, members []Member) []Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	m.members = slices.Clone(members)
	m.assignEngines(now)
	return m.statusChanges(now)
}

// assignEngines determines the engines that this instance controls.
func (m *Machine) assignEngines(now time.Duration) {
	controllers := Controllers(m.plan, m.self.Domain, m.members)
	m.controllerCount = len(controllers)
	wasController := m.isController
	m.isController = slices.Contains(controllers, m.self) && slices.ContainsFunc(m.plan.Engines, func(e Engine) bool { return e.Domain == m.self.Domain })
	if m.isController && !wasController {
		m.nextLoadAt = max(m.nextLoadAt, now+m.addJitter(m.loadInterval()))
	}
	for _, name := range m.engineNames {
		e := m.engines[name]
		owned := false
		if m.isController && e.Domain == m.self.Domain {
			owned = rankByHash(name, controllers)[0] == m.self
		}
		if owned && !e.owned { // a report from before the instance controlled the engine may be outdated
			e.nextQueryAt = now
		}
		e.owned = owned
	}
}

// loadInterval returns the time between the loads of this controller. Its share of the
// weight store's rate is rounded down to whole loads per minute where it is at least one.
func (m *Machine) loadInterval() time.Duration {
	totalControllers := max(1, m.controllerCount) * m.plan.domainCount()
	if perMinute := m.plan.LoadsPerMinute / totalControllers; perMinute > 0 {
		return time.Minute / time.Duration(perMinute)
	}
	return time.Minute * time.Duration(totalControllers) / time.Duration(max(1, m.plan.LoadsPerMinute))
}

// maxOwnLoads returns this controller's share of the concurrent loads.
func (m *Machine) maxOwnLoads() int {
	return max(1, m.plan.ConcurrentLoads/(max(1, m.controllerCount)*m.plan.domainCount()))
}

// addJitter lengthens d by up to a quarter, so that controllers do not load in step. It
// never shortens d, so that a controller stays within its share.
func (m *Machine) addJitter(d time.Duration) time.Duration {
	return d + time.Duration(m.rng.Float64()*float64(d)/4)
}

// Tick issues the queries that are due. fresh states whether the caller's view of the
// members and of the configuration is still valid.
func (m *Machine) Tick(now time.Duration, fresh bool) []Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.requireFreshView(fresh) {
		return nil
	}
	m.expirePending(now)
	var actions []Action
	pendingModels := map[string]bool{}
	for _, name := range m.engineNames {
		e := m.engines[name]
		if !e.owned {
			continue
		}
		if m.queryDue(now, e) {
			actions = append(actions, m.issueQuery(now, e))
		}
		if e.reportValid && !e.report.Placement.Satisfies(e.Wanted) && e.report.Fence <= m.plan.Revision {
			pendingModels[e.Model] = true
		}
	}
	return append(append(actions, m.queryPeerEngines(now, pendingModels)...), m.statusChanges(now)...)
}

// requireFreshView discards all reports and outstanding queries if the view is not fresh.
// It returns fresh.
func (m *Machine) requireFreshView(fresh bool) bool {
	if !fresh {
		for _, e := range m.engines {
			e.reportValid, e.queryID, e.unanswered = false, 0, 0
		}
	}
	return fresh
}

// expirePending abandons the queries and commands whose timeout has passed.
func (m *Machine) expirePending(now time.Duration) {
	for _, e := range m.engines {
		if e.queryID != 0 && now-e.queriedAt >= queryTimeout {
			e.queryID = 0
		}
		if e.commandID != 0 && now-e.commandedAt >= commandTimeout {
			e.commandID = 0
		}
	}
}

func (m *Machine) queryDue(now time.Duration, e *engine) bool {
	return e.queryID == 0 && now >= e.nextQueryAt
}

func (m *Machine) issueQuery(now time.Duration, e *engine) Query {
	m.nextID++
	e.queryID, e.queriedAt, e.nextQueryAt = m.nextID, now, now+QueryInterval
	if e.unanswered == 0 {
		e.unansweredSince = now
	}
	e.unanswered++
	return Query{ID: m.nextID, Engine: e.Name}
}

// queryPeerEngines queries the engines of other controllers whose state decides whether
// an engine of this controller may change.
func (m *Machine) queryPeerEngines(now time.Duration, pendingModels map[string]bool) []Action {
	if len(pendingModels) == 0 || now < m.nextPeerQueryAt {
		return nil
	}
	m.nextPeerQueryAt = now + QueryInterval
	var actions []Action
	start := m.peerCursor
	for i := range m.engineNames {
		index := (start + i) % len(m.engineNames)
		e := m.engines[m.engineNames[index]]
		if e.owned || !pendingModels[e.Model] || !m.queryDue(now, e) || m.holdsWanted(e) {
			continue
		}
		if len(actions) == maxPeerEngineQueries {
			break
		}
		actions = append(actions, m.issueQuery(now, e))
		m.peerCursor = index + 1
	}
	return actions
}

// holdsWanted reports whether the last report shows the wanted placement and no load.
func (m *Machine) holdsWanted(e *engine) bool {
	return e.reportValid && !e.report.Loading && e.report.Placement.Satisfies(e.Wanted)
}

// HandleReport processes the answer to a query, which may trigger a command.
func (m *Machine) HandleReport(now time.Duration, id uint64, r Report, fresh bool) []Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	if !m.requireFreshView(fresh) {
		return nil
	}
	e := m.engineByQuery(id)
	if e == nil {
		return nil
	}
	e.queryID = 0
	r.Placement.Adapters = slices.Sorted(slices.Values(r.Placement.Adapters))
	e.report, e.reportValid, e.reportedAt, e.unanswered = r, true, now, 0
	if m.holdsWanted(e) {
		e.attempts, e.retryAt, e.nextQueryAt = 0, 0, now+settledInterval
	}
	var actions []Action
	if e.owned && now-e.queriedAt <= MaxReportAge && m.mayCommand(now, e) {
		actions = append(actions, m.issueCommand(now, e))
	}
	return append(actions, m.statusChanges(now)...)
}

func (m *Machine) engineByQuery(id uint64) *engine {
	for _, name := range m.engineNames {
		if e := m.engines[name]; e.queryID == id {
			return e
		}
	}
	return nil
}

// HandleQueryFailure processes the failure of a query.
func (m *Machine) HandleQueryFailure(now time.Duration, id uint64) []Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	if e := m.engineByQuery(id); e != nil {
		e.queryID = 0
	}
	return m.statusChanges(now)
}

// HandleOutcome processes the outcome of a command. Any outcome leads to a new query, whose
// report shows what the command has done.
func (m *Machine) HandleOutcome(now time.Duration, id uint64, _ Outcome) []Action {
	m.mu.Lock()
	defer m.mu.Unlock()
	for _, name := range m.engineNames {
		if e := m.engines[name]; e.commandID == id {
			e.commandID = 0
			e.nextQueryAt = min(e.nextQueryAt, now+QueryInterval)
		}
	}
	return m.statusChanges(now)
}

// mayCommand reports whether the engine's report, the plan and the limits call for a
// command now.
func (m *Machine) mayCommand(now time.Duration, e *engine) bool {
	if e.report.Loading || e.report.Placement.Satisfies(e.Wanted) || e.report.Fence > m.plan.Revision {
		return false
	}
	if e.commandID != 0 || now < e.retryAt || m.busyEngines(now, e) >= MaxConcurrentChanges(len(m.changeOrders[e.Model])) {
		return false
	}
	return e.report.Placement.LoadsNeeded(e.Wanted) == 0 || now >= m.nextLoadAt && m.ownLoads(now) < m.maxOwnLoads()
}

// busyEngines counts the other engines of e's model that may be out of service or that
// change before e.
func (m *Machine) busyEngines(now time.Duration, e *engine) int {
	busy, earlier := 0, true
	for _, name := range m.changeOrders[e.Model] {
		other := m.engines[name]
		if other == e {
			earlier = false
			continue
		}
		if m.isUnreachable(now, other) {
			continue
		}
		if !other.reportValid || other.report.Loading || earlier && !other.report.Placement.Satisfies(other.Wanted) {
			busy++
		}
	}
	return busy
}

// ownLoads counts the engines of this controller that are or may be loading. A command
// that no later report has followed counts as a load.
func (m *Machine) ownLoads(now time.Duration) int {
	n := 0
	for _, e := range m.engines {
		if e.owned && !m.isUnreachable(now, e) && (!e.reportValid || e.report.Loading || e.commandID != 0 || e.attempts > 0 && e.commandedAt >= e.reportedAt) {
			n++
		}
	}
	return n
}

func (m *Machine) isUnreachable(now time.Duration, e *engine) bool {
	return e.unanswered > minUnansweredQueries && now-e.unansweredSince >= unreachableAfter
}

// issueCommand returns the command for e. The next command waits for a backoff that grows
// with every command, whatever its outcome, until the engine has its wanted placement.
func (m *Machine) issueCommand(now time.Duration, e *engine) Command {
	m.nextID++
	e.commandID, e.commandedAt = m.nextID, now
	meanBackoff := min(maxBackoff, initialBackoff<<min(e.attempts, 10))
	e.retryAt = now + meanBackoff/2 + time.Duration(m.rng.Float64()*float64(meanBackoff))
	e.attempts++
	loads := e.report.Placement.LoadsNeeded(e.Wanted)
	if loads > 0 {
		m.nextLoadAt = now + time.Duration(loads)*m.addJitter(m.loadInterval())
	}
	return Command{ID: m.nextID, Engine: e.Name, Revision: m.plan.Revision, Target: e.Wanted, Loads: loads}
}

// statusChanges returns the changes of status of this instance's engines, ordered by
// engine name.
func (m *Machine) statusChanges(now time.Duration) []Action {
	var actions []Action
	for _, name := range m.engineNames {
		e := m.engines[name]
		s := m.statusOf(now, e)
		if e.owned && s != e.status {
			actions = append(actions, StatusChange{Engine: name, Status: s, Previous: e.status})
		}
		e.status = s
	}
	return actions
}

func (m *Machine) statusOf(now time.Duration, e *engine) Status {
	switch {
	case m.isUnreachable(now, e):
		return Unreachable
	case !e.reportValid:
		return Unknown
	case e.report.Fence > m.plan.Revision:
		return Superseded
	case e.commandID != 0:
		return Commanded
	case e.report.Loading:
		return Loading
	case e.report.Placement.Satisfies(e.Wanted):
		return Settled
	}
	return Waiting
}

// Snapshot returns the engines that this instance controls, ordered by name.
func (m *Machine) Snapshot(now time.Duration) []EngineState {
	m.mu.Lock()
	defer m.mu.Unlock()
	list := []EngineState{}
	for _, e := range m.engines {
		if e.owned {
			list = append(list, EngineState{Engine: e.Name, Model: e.Model, Status: m.statusOf(now, e), Wanted: e.Wanted,
				Reported: e.report.Placement, Fence: e.report.Fence, Attempts: e.attempts, Age: now - e.reportedAt})
		}
	}
	slices.SortFunc(list, func(a, b EngineState) int { return strings.Compare(a.Engine, b.Engine) })
	return list
}
