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

// machine drives a world with generated events. rapid generates the actions and the seed;
// the seed decides what each action applies to.
type machine struct{ *world }

// notApplicable ends an action that finds nothing to act on.
type notApplicable struct{}

func pick[T any](m machine, from []T) T {
	if len(from) == 0 {
		panic(notApplicable{})
	}
	return from[m.rng.IntN(len(from))]
}

// step turns an action into one that does nothing when it is not applicable.
func step(action func()) func(*rapid.T) {
	return func(*rapid.T) {
		defer func() {
			if r := recover(); r != nil && r != (notApplicable{}) {
				panic(r)
			}
		}()
		action()
	}
}

func (m machine) live() *process {
	return pick(m, slices.DeleteFunc(slices.Clone(m.places), func(p *process) bool { return !p.alive }))
}

func (m machine) awake() *process {
	return pick(m, slices.DeleteFunc(slices.Clone(m.places), func(p *process) bool { return !p.alive || p.frozen }))
}

// anyTicket prefers the latest tickets: they are the ones in progress.
func (m machine) anyTicket() *modelTicket {
	return pick(m, m.tickets[max(0, len(m.tickets)-1-m.rng.IntN(5)):])
}

func (m machine) issueTicket() {
	p := m.awake()
	witness := Member{}
	if m.rng.IntN(8) > 0 {
		witness = pick(m, m.places).member
	}
	m.issue(p, witness)
}

func (m machine) issueMany() {
	p := m.awake()
	for range 40 {
		_, _ = p.ledger.Issue(m.now, "team", Member{})
	}
}

func (m machine) submitOrder() {
	body := pick(m, []string{"body", "body", "body", "other"})
	m.submit(m.awake(), m.anyTicket(), body)
}

func (m machine) askState() { m.ask(m.awake(), m.anyTicket()) }

// index chooses an event that can happen and whose kind is one of the given ones.
func (m machine) index(kinds ...eventKind) int {
	var enabled []int
	for i, e := range m.events {
		if slices.Contains(kinds, e.kind) && m.enabled(e) {
			enabled = append(enabled, i)
		}
	}
	return pick(m, enabled)
}

func (m machine) progress() {
	m.happen(m.take(m.index(eventMessage, eventDial, eventWrite, eventArrive, eventExecuted, eventResume)))
}

func (m machine) timeOut() { m.happen(m.take(m.index(eventTimeout))) }
func (m machine) exit()    { m.happen(m.take(m.index(eventExit))) }
func (m machine) lose()    { m.take(m.index(eventMessage)) }

func (m machine) duplicate() {
	m.events = append(m.events, m.events[m.index(eventMessage)])
}

// failUpstream breaks an exchange with the upstream: before the bytes left, on their way
// (the owner sees the failure and the bytes may still arrive), or before the answer.
func (m machine) failUpstream() {
	i := m.index(eventDial, eventWrite, eventArrive, eventExecuted)
	e := m.events[i]
	outcome := Outcome{Kind: Unknown}
	owner := e.process
	switch e.kind {
	case eventDial, eventWrite:
		m.take(i)
		outcome.Kind = NotRun
	case eventArrive:
		owner = e.from
		if m.rng.IntN(2) == 0 {
			m.take(i)
		}
	case eventExecuted:
		m.take(i)
	}
	m.push(event{kind: eventExecuted, process: owner, ticket: e.ticket, outcome: outcome}, 0)
}

func (m machine) toggleCut() {
	link := [2]int{m.rng.IntN(len(m.places)), m.rng.IntN(len(m.places))}
	m.cut[link] = !m.cut[link]
}

func (m machine) toggleFreeze() {
	p := m.live()
	p.frozen = !p.frozen
}

func (m machine) restart() {
	p := m.live()
	m.kill(p)
	m.join(p.place)
}

func (m machine) revive() {
	for _, p := range m.places {
		if !p.alive {
			m.join(p.place)
			return
		}
	}
}

func (m machine) replaceAll() {
	for _, p := range m.places {
		m.kill(p)
		m.start(p.place)
	}
}

// plannedStop drains an instance or hands its ledger over. Most handovers arrive at once;
// the parts of the others are subject to loss and delay.
func (m machine) plannedStop() {
	p := m.awake()
	if !p.draining && m.rng.IntN(2) == 0 {
		m.drain(p)
		return
	}
	q := m.awake()
	if q == p || q.draining || !p.successor.IsZero() {
		return
	}
	m.handover(p, q)
	if m.rng.IntN(4) == 0 {
		return
	}
	for i := len(m.events) - 1; i >= 0; i-- {
		if _, part := m.events[i].message.(HandoverPart); part && m.enabled(m.events[i]) {
			m.happen(m.take(i))
		}
	}
}

func (m machine) passTime() {
	m.now += pick(m, []time.Duration{time.Second, 16 * time.Minute})
}

// actions returns the actions of one run. Each fault is present in half of the runs, so
// that runs with few kinds of fault get far.
func (m machine) actions(t *rapid.T) map[string]func(*rapid.T) {
	actions := map[string]func(*rapid.T){
		"issue": step(m.issueTicket), "submit": step(m.submitOrder), "submit again": step(m.submitOrder),
		"revive": step(m.revive),
		"":       func(t *rapid.T) { m.check(t) },
	}
	for i := range 10 {
		actions[fmt.Sprint("progress ", i)] = step(m.progress)
	}
	faults := map[string]func(){
		"issue many": m.issueMany, "ask": m.askState, "time out": m.timeOut, "lose": m.lose,
		"duplicate": m.duplicate, "fail upstream": m.failUpstream, "cut": m.toggleCut,
		"freeze": m.toggleFreeze, "restart": m.restart, "replace all": m.replaceAll,
		"planned stop": m.plannedStop, "planned stop 2": m.plannedStop, "exit": m.exit, "pass time": m.passTime,
	}
	for _, name := range slices.Sorted(maps.Keys(faults)) {
		if rapid.Bool().Draw(t, name) {
			actions[name] = step(faults[name])
		}
	}
	return actions
}

// TestOrdersRunAtMostOnce guards against every way to run an order twice, to run one
// that a caller was told did not run, and to answer with anything but the answer of the
// one execution: loss, delay, duplication and reordering of messages, one-way cuts,
// kills, freezes, restarts, planned stops, failed upstream connections, full bounds and
// callers that resend through any instance.
func TestOrdersRunAtMostOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		b := bounds{window: 1 << 10, outcomes: 1 << 10, active: 1 << 10, records: 1 << 10, owners: 1 << 10}
		if rapid.Bool().Draw(t, "small bounds") {
			b = bounds{window: 1, outcomes: 16, active: 32, records: 16, owners: 16, answers: 16 * 700}
		}
		m := machine{newWorld(rapid.Uint64().Draw(t, "seed"), rapid.IntRange(1, 4).Draw(t, "instances"), b)}
		m.issue(m.places[0], m.places[len(m.places)-1].member)
		t.Repeat(m.actions(t))
		m.settle(m.rng.IntN)
		m.check(t)
	})
}

func (m machine) check(t *rapid.T) {
	if len(m.faults) > 0 {
		t.Fatalf("violations: %q", m.faults)
	}
}
