package orders

import (
	"flag"
	"fmt"
	"math"
	"slices"
	"strings"
	"testing"
	"time"
)

var faultTrials = flag.Int("faults.trials", 100, "orders for each row and design in TestOutcomeSharesByFault")

const (
	faultSeed     = 20260303
	faultSubmit   = 100 * time.Millisecond // the caller sends the order this long after the issue
	faultWindow   = 320 * time.Millisecond // the fault comes at a uniform time between issue and answer
	faultLasts    = 3 * time.Second
	faultRestart  = time.Second
	faultPatience = 5 * time.Second // after which a caller resends through another instance
	faultAskAgain = time.Minute     // when a caller that got "unknown" asks for the state
	faultPlaces   = 6               // half of them in each of two failure domains
)

// trial is one order under one fault, with events in the order of time.
type trial struct {
	*world
	owner, witness, entry *process
	steps                 []scheduled
	submitAt              time.Duration
}

// scheduled is a scheduled action of the environment.
type scheduled struct {
	at time.Duration
	do func()
}

func (r *trial) after(delay time.Duration, do func()) {
	r.steps = append(r.steps, scheduled{r.now + delay, do})
}

// play lets events and steps happen in the order of time until the given time.
func (r *trial) play(until time.Duration) {
	for {
		at, event, step := until, -1, -1
		for i, e := range r.events {
			if e.at < at && r.enabled(e) {
				at, event = e.at, i
			}
		}
		for i, s := range r.steps {
			if s.at < at {
				at, event, step = s.at, -1, i
			}
		}
		r.now = max(r.now, at)
		switch {
		case step >= 0:
			do := r.steps[step].do
			r.steps = slices.Delete(r.steps, step, step+1)
			do()
		case event >= 0:
			r.happen(r.take(event))
		default:
			return
		}
	}
}

// domain returns the failure domain of a place.
func domain(place int) int { return place * 2 / faultPlaces }

func newTrial(seed uint64, withWitness bool) (*trial, *modelTicket) {
	b := bounds{window: 1 << 10, outcomes: 1 << 10, active: 1 << 10, records: 1 << 10, owners: 1 << 10}
	r := &trial{world: newWorld(seed, faultPlaces, b), submitAt: faultSubmit}
	r.owner = r.places[r.rng.IntN(faultPlaces)]
	r.entry = r.places[r.rng.IntN(faultPlaces)]
	r.witness = r.places[(1-domain(r.owner.place))*faultPlaces/2+r.rng.IntN(faultPlaces/2)]
	witness := Member{}
	if withWitness {
		witness = r.witness.member
	}
	return r, r.issue(r.owner, witness)
}

func (r *trial) killFor(p *process, d time.Duration) {
	r.kill(p)
	r.after(d, func() { r.join(p.place) })
}

func (r *trial) cutFor(d time.Duration, cut func(from, to int) bool) {
	for from := range faultPlaces {
		for to := range faultPlaces {
			r.cut[[2]int{from, to}] = cut(from, to)
		}
	}
	r.after(d, func() { clear(r.cut) })
}

// breakUpstream breaks the connection of the order to the upstream, if there is one now.
func (r *trial) breakUpstream() {
	for i, e := range r.events {
		o, p := Outcome{Kind: Unknown}, e.process
		switch e.kind {
		case eventDial, eventWrite:
			o.Kind = NotRun
		case eventArrive:
			p = e.from
		case eventExecuted:
		default:
			continue
		}
		if e.kind != eventArrive || r.rng.IntN(2) == 0 {
			r.take(i)
		}
		r.push(event{kind: eventExecuted, process: p, ticket: e.ticket, outcome: o}, r.latency)
		return
	}
}

// stop drains an instance, hands its ledger over once its orders and callers are served,
// and replaces it.
func (r *trial) stop(p *process) {
	r.drain(p)
	r.finishStop(p)
}

func (r *trial) finishStop(p *process) {
	busy := slices.ContainsFunc(r.callers, func(c modelCaller) bool { return c.entry == p && c.reply == nil })
	if p.ledger.Running() > 0 || busy {
		r.after(10*time.Millisecond, func() { r.finishStop(p) })
		return
	}
	r.handover(p, r.places[(p.place+1)%faultPlaces])
	r.after(faultRestart, func() { r.join(p.place) })
}

// order sends the order through an instance and resends it while there is no reply and
// the instance is gone or patience ends.
func (r *trial) order(m *modelTicket) {
	p := r.entry
	for !p.alive || p.frozen || p.draining {
		p = r.places[r.rng.IntN(faultPlaces)]
		if !slices.ContainsFunc(r.places, func(p *process) bool { return p.alive && !p.frozen && !p.draining }) {
			r.after(faultRestart, func() { r.order(m) })
			return
		}
	}
	r.submit(p, m, "body")
	caller, sent := len(r.callers)-1, r.now
	var watch func()
	watch = func() {
		switch {
		case r.callers[caller].reply != nil:
		case !p.alive || r.now-sent >= faultPatience:
			r.entry = r.places[r.rng.IntN(faultPlaces)]
			r.order(m)
		default:
			r.after(faultRestart/2, watch)
		}
	}
	r.after(faultRestart/2, watch)
}

// firstReply returns the first answer that any try of the caller got.
func (r *trial) firstReply() Kind {
	for _, c := range r.callers {
		if c.reply != nil {
			return c.reply.Kind
		}
	}
	return Unknown
}

// shares counts the answers to the callers and how many were still "unknown" when asked
// again later.
type shares struct{ done, notRun, unknown, later, total int }

func (s shares) String() string {
	percent := func(n int) string { return fmt.Sprintf("%.1f%%", 100*float64(n)/float64(s.total)) }
	return strings.Join([]string{percent(s.done), percent(s.notRun), percent(s.unknown), percent(s.later)}, " | ")
}

type faultRow struct {
	name  string
	apply func(r *trial)
}

func faultRows() []faultRow {
	return []faultRow{
		{"none", func(*trial) {}},
		{"kill of the owner", func(r *trial) { r.killFor(r.owner, faultRestart) }},
		{"kill of the witness", func(r *trial) { r.killFor(r.witness, faultRestart) }},
		{"freeze of the owner for 3 s", func(r *trial) {
			r.owner.frozen = true
			r.after(faultLasts, func() { r.owner.frozen = false })
		}},
		{"cut between owner and witness for 3 s", func(r *trial) {
			a, b := r.owner.place, r.witness.place
			r.cutFor(faultLasts, func(from, to int) bool { return from == a && to == b || from == b && to == a })
		}},
		{"cut of the owner's domain for 30 s", func(r *trial) {
			r.cutFor(10*faultLasts, func(from, to int) bool { return domain(from) != domain(to) })
		}},
		{"planned stop of the owner", func(r *trial) { r.stop(r.owner) }},
		{"planned stop of all, one each second, caller sends at any time", func(r *trial) {
			r.submitAt = time.Duration(r.rng.Int64N(int64(faultPlaces+4) * int64(time.Second)))
			for i := range faultPlaces {
				r.after(time.Duration(i)*time.Second, func() { r.stop(r.places[i]) })
			}
		}},
		{"kill of all at once", func(r *trial) {
			for _, p := range r.places {
				r.killFor(p, faultRestart)
			}
		}},
		{"connection to the upstream broken in flight", func(r *trial) {
			r.after(time.Duration(r.rng.Int64N(int64(200*time.Millisecond)))+faultSubmit+10*time.Millisecond-r.now, r.breakUpstream)
		}},
	}
}

func measureFault(t *testing.T, row faultRow, withWitness bool) shares {
	s := shares{total: *faultTrials}
	for i := range uint64(*faultTrials) {
		r, m := newTrial(faultSeed+i, withWitness)
		at := time.Duration(r.rng.Int64N(int64(faultWindow)))
		if strings.HasPrefix(row.name, "planned stop of all") || strings.HasPrefix(row.name, "connection") {
			at = 0
		}
		r.after(at, func() { row.apply(r) })
		r.after(1, func() { r.after(r.submitAt, func() { r.order(m) }) })
		r.play(faultAskAgain)
		kind := r.firstReply()
		switch kind {
		case Done:
			s.done++
		case NotRun:
			s.notRun++
		default:
			s.unknown++
			r.ask(r.places[r.rng.IntN(faultPlaces)], m)
			r.play(2 * faultAskAgain)
			if o := r.callers[len(r.callers)-1].reply; o == nil || o.Kind == Unknown {
				s.later++
			}
		}
		r.play(math.MaxInt64)
		if len(r.faults) > 0 {
			t.Fatalf("%s, seed %d: %q", row.name, faultSeed+i, r.faults)
		}
	}
	return s
}

// TestOutcomeSharesByFault guards against a change that leaves more orders unresolved
// under a single fault. It prints the table of docs/decisions/non-idempotent-orders.md.
func TestOutcomeSharesByFault(t *testing.T) {
	// The bounds are percentages of "unknown" that the design stays below.
	bound := map[string]int{
		"none": 0, "kill of the witness": 0, "freeze of the owner for 3 s": 0,
		"cut between owner and witness for 3 s": 0, "planned stop of the owner": 0,
	}
	t.Log("| fault | done | not run | unknown | unknown later | without witness: done | not run | unknown | unknown later |")
	for _, row := range faultRows() {
		with, without := measureFault(t, row, true), measureFault(t, row, false)
		t.Logf("| %s | %s | %s |", row.name, with, without)
		if row.name == "none" && (with.done != with.total || without.done != without.total) {
			t.Errorf("without a fault, %d and %d of %d orders are done", with.done, without.done, with.total)
		}
		if limit, ok := bound[row.name]; ok && with.unknown*100 > limit*with.total {
			t.Errorf("%s: %d of %d unknown, want at most %d%%", row.name, with.unknown, with.total, limit)
		}
	}
}
