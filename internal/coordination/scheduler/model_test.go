package scheduler

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yuccabridge/yuccabridge/internal/rapidflags"
)

// Extended run: go test ./internal/coordination/scheduler -run TestScheduler -rapid.seed=0 -rapid.checks=100000
func init() { rapidflags.Set(rapidflags.Defaults{Seed: 20261203, Checks: 800, Steps: 100}) }

const ms = time.Millisecond

// modelRequest is the model's record of a queued request.
type modelRequest struct {
	request                          Request
	tier                             int
	effectiveDeadline, agedAt, dueAt time.Duration
	due                              bool // set at the first dispatch after dueAt
	dueEarlier, dispatchesSinceDue   int  // once due: requests that are due earlier, dispatches since then
}

// runningRequest is a dispatched request that has not ended.
type runningRequest struct {
	request Request
	start   time.Duration
}

// model drives a scheduler and checks it against a reference model that is kept in plain lists.
type model struct {
	sched                 *Scheduler
	options               Options
	now                   time.Duration
	nextID                uint64
	waiting               map[uint64]*modelRequest
	running               []runningRequest
	retries               []Request
	maxFirstToken         time.Duration // upper bound of the first-token times observed
	lastShed              map[int]time.Duration
	peers                 map[string]peerPressure
	dispatchesSinceBypass int // dispatches since one bypassed a higher tier
	// bypassedIDs are the requests that waited in the tier that the last dispatch bypassed, at
	// bypassedAt.
	bypassedIDs          map[uint64]bool
	bypassedAt           time.Duration
	bypassedTier         int
	lastDispatchBypassed bool        // the last dispatch bypassed a request
	exemptByTier         map[int]int // by tier, bypassed requests that may still wait; they take no place
}

// reserve returns the places reserved for each tier below the top one.
func (m *model) reserve() int { return max(m.options.QueueLimit/m.options.AgingInterval, 1) }

func (m *model) classByName(name string) *Class {
	for i := range m.options.Classes {
		if m.options.Classes[i].Name == name {
			return &m.options.Classes[i]
		}
	}
	return nil
}

// setTimes computes the tier and the times of a request from the current options.
func (m *model) setTimes(mr *modelRequest) {
	if c := m.classByName(mr.request.Class); c != nil {
		mr.tier, mr.effectiveDeadline = c.Tier, mr.request.Deadline
		if m.options.Objective == Attainment && !mr.request.Retry {
			mr.effectiveDeadline = min(mr.effectiveDeadline, mr.request.Arrived+c.FirstTokenTarget)
		}
		mr.agedAt, mr.dueAt = mr.request.Arrived+c.MaxWait, mr.request.Arrived+2*c.MaxWait
	}
	mr.due, mr.dispatchesSinceDue = false, 0
}

// countTier returns the number of all waiting requests of a tier and the number without retries.
func (m *model) countTier(tier int) (all, nonRetries int) {
	for _, mr := range m.waiting {
		if mr.tier == tier {
			all++
			if !mr.request.Retry {
				nonRetries++
			}
		}
	}
	return all, nonRetries
}

// checkSheds removes the requests that a call shed from the model and checks each of them.
// arriving is the request passed to Enqueue, or nil.
func (m *model) checkSheds(t *rapid.T, sheds []Shed, arriving *modelRequest) {
	for _, shed := range sheds {
		mr := m.waiting[shed.ID]
		failIf(t, mr == nil, "request %d was shed, but is not queued", shed.ID)
		delete(m.waiting, shed.ID)
		m.lastShed[mr.tier] = m.now
		failIf(t, shed.RetryAfter < 100*ms || shed.RetryAfter > time.Minute, "RetryAfter %v, want 100ms to 1m", shed.RetryAfter)
		switch shed.Reason {
		case ReasonDeadline:
			m.checkDeadlineShed(t, mr, arriving)
		case ReasonQueueFull:
			m.checkQueueFullShed(t, mr)
		case ReasonExpired:
			m.checkExpiredShed(t, mr)
		default:
			t.Fatalf("request %d was shed for the unexpected reason %v", shed.ID, shed.Reason)
		}
	}
}

// checkDeadlineShed checks P1, that the work of lower tiers does not count on arrival, and P2,
// that no request is shed on arrival if aged dispatches would serve it in time.
func (m *model) checkDeadlineShed(t *rapid.T, mr, arriving *modelRequest) {
	failIf(t, mr != arriving, "queued request %d was shed as if it had just arrived", mr.request.ID)
	if mr.effectiveDeadline < m.now {
		return
	}
	failIf(t, len(m.waiting)+len(m.running) == 0, "request %d was shed while nothing was queued or in flight", mr.request.ID)
	queuedAhead := 0
	for tier := 1; tier <= mr.tier; tier++ {
		all, _ := m.countTier(tier)
		queuedAhead += all
	}
	failIf(t, queuedAhead == 0 && m.now+m.maxFirstToken <= mr.effectiveDeadline, "request %d of tier %d was shed because of the work of lower tiers", mr.request.ID, mr.tier)
	dispatches := time.Duration((len(m.waiting) + 1) * m.options.AgingInterval)
	failIf(t, mr.tier > 1 && max(mr.dueAt, m.now)+dispatches*maxDispatchInterval+m.maxFirstToken <= mr.effectiveDeadline, "request %d of tier %d was shed although aged dispatches would serve it in time", mr.request.ID, mr.tier)
}

// checkQueueFullShed checks P1, that no lower tier has requests outside its reserve while a
// higher one loses a request, and P2, that no tier below the top one falls below its reserve.
func (m *model) checkQueueFullShed(t *rapid.T, mr *modelRequest) {
	nonRetryTotal := 0
	for tier := 1; tier <= 3; tier++ {
		_, nonRetries := m.countTier(tier)
		nonRetryTotal += nonRetries
		failIf(t, tier > mr.tier && nonRetries > m.reserve()+m.exemptByTier[tier], "the victim is of tier %d while tier %d has %d requests, reserve %d", mr.tier, tier, nonRetries, m.reserve())
	}
	_, remaining := m.countTier(mr.tier)
	failIf(t, mr.request.Retry || nonRetryTotal < m.options.QueueLimit || mr.tier > 1 && remaining < m.reserve(), "victim %d (retry %v): %d requests wait, queue limit %d, %d left in its tier", mr.request.ID, mr.request.Retry, nonRetryTotal, m.options.QueueLimit, remaining)
}

// checkExpiredShed checks that only requests that cannot meet their effective deadlines expire,
// and P1, that a bypassed request does not expire before the next dispatch.
func (m *model) checkExpiredShed(t *rapid.T, mr *modelRequest) {
	if slack := mr.effectiveDeadline - m.now; slack >= m.maxFirstToken || slack >= 0 && len(m.running) == 0 {
		t.Fatalf("request %d was shed %v before its effective deadline", mr.request.ID, slack)
	}
	if m.bypassedIDs == nil {
		return
	}
	delete(m.bypassedIDs, mr.request.ID)
	failIf(t, len(m.bypassedIDs) == 0 && m.now <= m.bypassedAt+baseStallTimeout, "request %d of tier %d was shed after a lower tier bypassed it", mr.request.ID, mr.tier)
}

func (m *model) enqueue(t *rapid.T) {
	className := rapid.SampledFrom([]string{"memo", "query", "lookup", "draft", "report"}).Draw(t, "class")
	m.nextID++
	r := Request{ID: m.nextID, Class: className, Team: fmt.Sprint("t", rapid.IntRange(0, 3).Draw(t, "team")), Arrived: m.now}
	r.Deadline = m.now + time.Duration(rapid.IntRange(50, 90_000).Draw(t, "deadline"))*ms
	if len(m.retries) > 0 && rapid.Bool().Draw(t, "retry") {
		r, m.retries = m.retries[0], m.retries[1:]
		r.Retry = true
	}
	sheds := m.sched.Enqueue(m.now, r)
	if m.classByName(r.Class) == nil {
		failIf(t, len(sheds) != 1 || sheds[0].Reason != ReasonUnknownClass, "request of an unknown class: sheds %+v, want one with reason unknown_class", sheds)
		return
	}
	mr := &modelRequest{request: r}
	m.setTimes(mr)
	for _, queued := range m.waiting {
		if queued.due && mr.tier > 1 && mr.dueAt <= queued.dueAt {
			queued.dueEarlier++
		}
	}
	m.waiting[r.ID] = mr
	m.checkSheds(t, sheds, mr)
}

// lowestTierAllowed returns the lowest tier that the current reports of peers allow.
func (m *model) lowestTierAllowed() int {
	lowest := 99
	for _, p := range m.peers {
		if p.highestShed > 0 && m.now < p.measuredAt+time.Second {
			lowest = min(lowest, p.highestShed)
		}
	}
	return lowest
}

func (m *model) dispatchNext(t *rapid.T) {
	r, ok, sheds := m.sched.Next(m.now)
	m.checkSheds(t, sheds, nil)
	highestTier := 99
	for _, candidate := range m.waiting {
		highestTier = min(highestTier, candidate.tier)
	}
	if !ok {
		failIf(t, len(m.waiting) > 0 && highestTier <= m.lowestTierAllowed(), "no request was dispatched while %d wait", len(m.waiting))
		return
	}
	mr := m.waiting[r.ID]
	failIf(t, mr == nil || mr.request != r, "request %+v was dispatched, but is not queued", r)
	m.checkAgingBound(t)
	m.checkTierOrder(t, mr, highestTier)
	delete(m.waiting, r.ID)
	m.running = append(m.running, runningRequest{r, m.now})
}

// checkTierOrder checks P1: a lower tier bypasses a higher one at most once in AgingInterval
// dispatches, only with an aged request, and the next dispatch goes to a bypassed request.
func (m *model) checkTierOrder(t *rapid.T, mr *modelRequest, highestTier int) {
	if mr.tier > highestTier || highestTier > m.lowestTierAllowed() {
		failIf(t, m.now < mr.agedAt, "request %d of tier %d was dispatched before tier %d although it was not aged", mr.request.ID, mr.tier, highestTier)
	}
	lastDispatchBypassed := m.lastDispatchBypassed
	m.lastDispatchBypassed = false
	if highestTier > m.lowestTierAllowed() {
		m.bypassedIDs = nil
		return
	}
	if lastDispatchBypassed && highestTier == m.bypassedTier {
		m.exemptByTier[highestTier]--
	}
	failIf(t, m.bypassedIDs != nil && highestTier == m.bypassedTier && len(m.bypassedIDs) > 0 && !m.bypassedIDs[mr.request.ID] && m.now <= m.bypassedAt+baseStallTimeout, "request %d was dispatched before the bypassed request", mr.request.ID)
	m.bypassedIDs = nil
	if mr.tier == highestTier {
		m.dispatchesSinceBypass++
		return
	}
	failIf(t, m.dispatchesSinceBypass < m.options.AgingInterval-1, "a lower tier bypassed a higher one after %d other dispatches, aging interval %d", m.dispatchesSinceBypass, m.options.AgingInterval)
	m.dispatchesSinceBypass, m.bypassedAt, m.bypassedTier, m.lastDispatchBypassed, m.bypassedIDs = 0, m.now, highestTier, true, map[uint64]bool{}
	m.exemptByTier[highestTier]++
	for id, candidate := range m.waiting {
		if candidate.tier == highestTier {
			m.bypassedIDs[id] = true
		}
	}
}

// checkAgingBound checks P2: once twice its class's MaxWait has passed, a request is dispatched
// within (number of requests due earlier + 1) * AgingInterval dispatches.
func (m *model) checkAgingBound(t *rapid.T) {
	for id, mr := range m.waiting {
		if mr.tier == 1 || m.now < mr.dueAt {
			continue
		}
		if !mr.due {
			mr.due, mr.dueEarlier = true, 0
			for otherID, other := range m.waiting {
				if otherID != id && other.tier > 1 && other.dueAt <= mr.dueAt {
					mr.dueEarlier++
				}
			}
		}
		mr.dispatchesSinceDue++
		if bound := (mr.dueEarlier + 1) * m.options.AgingInterval; mr.dispatchesSinceDue > bound {
			t.Fatalf("request %d of tier %d starves: %d dispatches since it was due, bound %d", id, mr.tier, mr.dispatchesSinceDue, bound)
		}
	}
}

func (m *model) finish(t *rapid.T) {
	if len(m.running) == 0 {
		t.Skip("no request is running") // rapid draws another action
	}
	i := rapid.IntRange(0, len(m.running)-1).Draw(t, "finished")
	finished := m.running[i]
	m.running = append(m.running[:i], m.running[i+1:]...)
	service := m.now - finished.start
	firstToken := min(service/2, 300*ms).Truncate(ms)
	m.sched.Observe(m.now, Sample{Class: finished.request.Class, Team: finished.request.Team, FirstToken: firstToken, Service: service, OutputTokens: 5})
	m.maxFirstToken = max(m.maxFirstToken, firstToken+firstToken/8+ms) // allows for the resolution of the sketch
	if rapid.IntRange(0, 3).Draw(t, "failed") == 0 {
		m.retries = append(m.retries, finished.request)
	}
}

func (m *model) tick(t *rapid.T) {
	m.now += time.Duration(rapid.IntRange(0, 400).Draw(t, "ms")) * ms
	m.checkSheds(t, m.sched.Tick(m.now), nil)
	pastDeadline := 0
	for _, mr := range m.waiting {
		if mr.effectiveDeadline < m.now {
			pastDeadline++
		}
	}
	failIf(t, pastDeadline > 1 || pastDeadline == 1 && !m.lastDispatchBypassed, "%d requests past their effective deadline are still queued", pastDeadline)
}

func (m *model) cancel(t *rapid.T) {
	id := uint64(rapid.IntRange(1, int(m.nextID)+1).Draw(t, "id"))
	if got, want := m.sched.Cancel(m.now, id), m.waiting[id] != nil; got != want {
		t.Fatalf("Cancel(%d) = %v, want %v", id, got, want)
	}
	delete(m.waiting, id)
	m.bypassedIDs = nil // the cancelled request may be the bypassed one
}

func (m *model) mergePeerPressure(t *rapid.T) {
	name := rapid.SampledFrom([]string{"a", "b"}).Draw(t, "peer")
	p := peerPressure{m.now - time.Duration(rapid.IntRange(0, 1500).Draw(t, "age"))*ms, rapid.IntRange(0, 3).Draw(t, "highest_shed")}
	m.sched.MergePressure(m.now, name, Pressure{HighestShed: p.highestShed}, m.now-p.measuredAt)
	if old, ok := m.peers[name]; !ok || p.measuredAt >= old.measuredAt {
		m.peers[name] = p
	}
}

// reconfigure changes the options; the other checks then detect queued requests that are lost or
// never dispatched.
func (m *model) reconfigure(t *rapid.T) {
	m.options = drawOptions(t, m.options.Objective)
	m.sched.Reconfigure(m.now, m.options)
	for _, mr := range m.waiting {
		m.setTimes(mr)
	}
	m.bypassedIDs, m.exemptByTier = nil, map[int]int{}
	if m.lastDispatchBypassed {
		m.exemptByTier[m.bypassedTier] = 1
	}
}

// checkPressure compares Pressure with the model after every action.
func (m *model) checkPressure(t *rapid.T) {
	want := Pressure{Queued: len(m.waiting)}
	for tier := 3; tier >= 1; tier-- {
		if all, _ := m.countTier(tier); all == 0 {
			m.exemptByTier[tier] = 0
		}
		if at, ok := m.lastShed[tier]; ok && m.now-at <= time.Second {
			want.HighestShed = tier
		}
	}
	if got := m.sched.Pressure(m.now); got != want {
		t.Fatalf("Pressure() = %+v, want %+v", got, want)
	}
}

func drawOptions(t *rapid.T, objective Objective) Options {
	o := Options{
		QueueLimit: rapid.IntRange(1, 12).Draw(t, "limit"), AgingInterval: rapid.IntRange(2, 5).Draw(t, "aging_interval"), Objective: objective,
		Classes: []Class{
			{"memo", 1, 600 * ms, time.Second, 200 * ms}, {"query", 2, 2 * time.Second, 4 * time.Second, 300 * ms},
			{"lookup", 2, time.Second, 3 * time.Second, 400 * ms}, {"draft", 3, time.Minute, 80 * time.Second, 500 * ms},
		},
	}
	if rapid.Bool().Draw(t, "report") {
		o.Classes = append(o.Classes, Class{"report", 3, 20 * time.Second, time.Minute, time.Second})
	}
	for i := range rapid.IntRange(1, 4).Draw(t, "teams") {
		o.Teams = append(o.Teams, Team{fmt.Sprint("t", i), i})
	}
	return o
}

// TestScheduler checks P1, P2 and the pressure reports over random sequences of calls.
func TestScheduler(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{waiting: map[uint64]*modelRequest{}, lastShed: map[int]time.Duration{}, peers: map[string]peerPressure{}, exemptByTier: map[int]int{}}
		m.options = drawOptions(t, rapid.SampledFrom([]Objective{Attainment, Goodput}).Draw(t, "objective"))
		m.sched = New(m.options, rand.New(rand.NewPCG(1, 2)))
		t.Repeat(map[string]func(*rapid.T){
			"enqueue": m.enqueue, "enqueue 2": m.enqueue, "enqueue 3": m.enqueue, "next": m.dispatchNext, "next 2": m.dispatchNext,
			"finish": m.finish, "tick": m.tick, "cancel": m.cancel, "peer": m.mergePeerPressure, "reconfigure": m.reconfigure, "": m.checkPressure,
		})
	})
}

// failIf stops the test with a message if failed is true.
func failIf(t rapid.TB, failed bool, format string, args ...any) {
	t.Helper()
	if failed {
		t.Fatalf(format, args...)
	}
}
