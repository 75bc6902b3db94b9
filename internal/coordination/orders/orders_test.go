package orders

import (
	"fmt"
	"maps"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yuccabridge/yuccabridge/internal/rapidflags"
)

func init() { rapidflags.Set(rapidflags.Defaults{Seed: 20260301, Checks: 2000, Steps: 150}) }

// stateMachine drives a simulation with generated actions. rapid generates the actions and
// the seed; the seed decides what each action applies to.
type stateMachine struct{ *simulation }

// notApplicable is the panic value of an action that finds nothing to act on.
type notApplicable struct{}

func pick[T any](m stateMachine, candidates []T) T {
	if len(candidates) == 0 {
		panic(notApplicable{})
	}
	return candidates[m.rng.IntN(len(candidates))]
}

// skipIfNotApplicable turns an action into one that does nothing when it is not applicable.
func skipIfNotApplicable(action func()) func(*rapid.T) {
	return func(*rapid.T) {
		defer func() {
			if r := recover(); r != nil && r != (notApplicable{}) {
				panic(r)
			}
		}()
		action()
	}
}

func (m stateMachine) anyAlive() *process {
	return pick(m, slices.DeleteFunc(slices.Clone(m.instances), func(p *process) bool { return !p.alive }))
}

func (m stateMachine) anyRunning() *process {
	return pick(m, slices.DeleteFunc(slices.Clone(m.instances), func(p *process) bool { return !p.alive || p.frozen }))
}

// anyTicket prefers the latest tickets, because their orders are in progress.
func (m stateMachine) anyTicket() *modelTicket {
	return pick(m, m.tickets[max(0, len(m.tickets)-1-m.rng.IntN(5)):])
}

func (m stateMachine) issueTicket() {
	p := m.anyRunning()
	witness := Member{}
	if m.rng.IntN(8) > 0 {
		witness = pick(m, m.instances).member
	}
	m.issue(p, witness)
}

func (m stateMachine) issueMany() {
	p := m.anyRunning()
	for range 40 {
		_, _ = p.ledger.Issue(m.now, "team", Member{})
	}
}

func (m stateMachine) submitOrder() {
	body := pick(m, []string{"body", "body", "body", "other"})
	m.submit(m.anyRunning(), m.anyTicket(), body)
}

func (m stateMachine) queryState() { m.queryStatus(m.anyRunning(), m.anyTicket()) }

// chooseEvent returns the index of an enabled event of one of the given kinds.
func (m stateMachine) chooseEvent(kinds ...eventKind) int {
	var enabled []int
	for i, e := range m.events {
		if slices.Contains(kinds, e.kind) && m.enabled(e) {
			enabled = append(enabled, i)
		}
	}
	return pick(m, enabled)
}

func (m stateMachine) handleAnyEvent() {
	m.handleEvent(m.removeEvent(m.chooseEvent(eventMessage, eventDial, eventWrite, eventArrive, eventExecutionFinished, eventRetry)))
}

func (m stateMachine) timeOutRequest() { m.handleEvent(m.removeEvent(m.chooseEvent(eventTimeout))) }
func (m stateMachine) exitProcess()    { m.handleEvent(m.removeEvent(m.chooseEvent(eventExit))) }
func (m stateMachine) loseMessage()    { m.removeEvent(m.chooseEvent(eventMessage)) }

func (m stateMachine) duplicateMessage() {
	m.events = append(m.events, m.events[m.chooseEvent(eventMessage)])
}

// failUpstream breaks an exchange with the upstream: before the request is written, in
// transit (the owner sees the failure and the request may still arrive), or before the
// response.
func (m stateMachine) failUpstream() {
	i := m.chooseEvent(eventDial, eventWrite, eventArrive, eventExecutionFinished)
	e := m.events[i]
	outcome := Outcome{Kind: Unknown}
	owner := e.process
	switch e.kind {
	case eventDial, eventWrite:
		m.removeEvent(i)
		outcome.Kind = NotRun
	case eventArrive:
		owner = e.from
		if m.rng.IntN(2) == 0 {
			m.removeEvent(i)
		}
	case eventExecutionFinished:
		m.removeEvent(i)
	}
	m.schedule(event{kind: eventExecutionFinished, process: owner, ticket: e.ticket, outcome: outcome}, 0)
}

func (m stateMachine) toggleLink() {
	link := [2]int{m.rng.IntN(len(m.instances)), m.rng.IntN(len(m.instances))}
	m.cutLinks[link] = !m.cutLinks[link]
}

func (m stateMachine) toggleFreeze() {
	p := m.anyAlive()
	p.frozen = !p.frozen
}

func (m stateMachine) restart() {
	p := m.anyAlive()
	m.kill(p)
	m.join(p.instance)
}

func (m stateMachine) restartKilled() {
	for _, p := range m.instances {
		if !p.alive {
			m.join(p.instance)
			return
		}
	}
}

func (m stateMachine) replaceAll() {
	for _, p := range m.instances {
		m.kill(p)
		m.start(p.instance)
	}
}

// gracefulShutdown closes the ledger of an instance or hands it over. Most handovers are
// delivered immediately; the parts of the others are subject to loss and delay.
func (m stateMachine) gracefulShutdown() {
	p := m.anyRunning()
	if !p.draining && m.rng.IntN(2) == 0 {
		m.drain(p)
		return
	}
	q := m.anyRunning()
	if q == p || q.draining || !p.successor.IsZero() {
		return
	}
	m.handover(p, q)
	if m.rng.IntN(4) == 0 {
		return
	}
	for i := len(m.events) - 1; i >= 0; i-- {
		if _, isPart := m.events[i].message.(HandoverPart); isPart && m.enabled(m.events[i]) {
			m.handleEvent(m.removeEvent(i))
		}
	}
}

func (m stateMachine) advanceTime() {
	m.now += pick(m, []time.Duration{time.Second, 16 * time.Minute})
}

// actions returns the actions of one run. Each fault is enabled in half of the runs, so that
// orders make progress in runs with few kinds of fault. rapid selects actions in the order
// of their names, so a renamed action changes the cases that a seed generates.
func (m stateMachine) actions(t *rapid.T) map[string]func(*rapid.T) {
	actions := map[string]func(*rapid.T){
		"issue":        skipIfNotApplicable(m.issueTicket),
		"submit":       skipIfNotApplicable(m.submitOrder),
		"submit again": skipIfNotApplicable(m.submitOrder),
		"revive":       skipIfNotApplicable(m.restartKilled),
		"":             func(t *rapid.T) { m.check(t) },
	}
	for i := range 10 {
		actions[fmt.Sprint("progress ", i)] = skipIfNotApplicable(m.handleAnyEvent)
	}
	faults := map[string]func(){
		"issue many": m.issueMany, "ask": m.queryState, "time out": m.timeOutRequest, "lose": m.loseMessage,
		"duplicate": m.duplicateMessage, "fail upstream": m.failUpstream, "cut": m.toggleLink,
		"freeze": m.toggleFreeze, "restart": m.restart, "replace all": m.replaceAll,
		"planned stop": m.gracefulShutdown, "planned stop 2": m.gracefulShutdown, "exit": m.exitProcess, "pass time": m.advanceTime,
	}
	for _, name := range slices.Sorted(maps.Keys(faults)) {
		if rapid.Bool().Draw(t, name) {
			actions[name] = skipIfNotApplicable(faults[name])
		}
	}
	return actions
}

// TestOrdersRunAtMostOnce guards against an order that runs twice, an order that runs after
// a caller was told not_run, and a reply with any response other than that of the single
// execution. The faults are loss, delay, duplication and reordering of messages, one-way
// partitions, killed, frozen and restarted processes, graceful shutdowns, failed upstream
// connections, exhausted limits, and callers that resend through any instance.
func TestOrdersRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		limits := instanceLimits{window: 1 << 10, outcomes: 1 << 10, active: 1 << 10, records: 1 << 10, owners: 1 << 10}
		if rapid.Bool().Draw(t, "small bounds") {
			limits = instanceLimits{window: 1, outcomes: 16, active: 32, records: 16, owners: 16, responseBytes: 16 * 700}
		}
		m := stateMachine{newSimulation(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 4).Draw(t, "instances"), limits)}
		m.issue(m.instances[0], m.instances[len(m.instances)-1].member)
		t.Repeat(m.actions(t))
		m.healAndDrain(m.rng.IntN)
		m.check(t)
	})
}

func (m stateMachine) check(t *rapid.T) {
	if len(m.violations) > 0 {
		t.Fatalf("violations: %q", m.violations)
	}
}
