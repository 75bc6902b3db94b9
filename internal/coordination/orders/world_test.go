package orders

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// world is a model of several instances, their network, the upstream and the callers.
// It drives the same Flow as the daemon. The schedule of its events is left to the test:
// the fuzz test picks them in any order, the fault measurement by time.
type world struct {
	random  *rand.ChaCha8
	rng     *rand.Rand
	keys    Keyring
	now     time.Duration
	bounds  bounds
	places  []*process // latest process at each address
	events  []event
	cut     map[[2]int]bool // one-way, by place
	tickets []*modelTicket
	byID    map[TicketID]*modelTicket
	callers []modelCaller
	faults  []string // violations of the oracle

	latency, service, timeout time.Duration // used by the fault measurement only
}

// bounds are the limits of the instances, small enough that the model reaches them.
type bounds struct {
	window, outcomes, active, records, owners int
	answers                                   int64
}

type process struct {
	member    Member
	place     int
	flow      *Flow
	ledger    *Ledger
	alive     bool
	frozen    bool
	draining  bool
	successor Member // set once the ledger is handed over
}

// modelTicket is what the oracle knows about one ticket.
type modelTicket struct {
	ticket     Ticket
	executions int
	body       string // body of the execution
	notRun     bool   // a caller was told "not run"
}

type modelCaller struct {
	ticket *modelTicket
	body   string
	entry  *process
	reply  *Outcome
}

type eventKind int

const (
	eventMessage  eventKind = iota // a message arrives
	eventTimeout                   // the sender stops waiting
	eventDial                      // the connection to the upstream is made
	eventWrite                     // the bytes leave
	eventArrive                    // the bytes reach the upstream
	eventExecuted                  // the owner sees the end of the exchange
	eventResume                    // the pause of a call ends
	eventExit                      // a stopped process exits
)

type event struct {
	kind    eventKind
	at      time.Duration
	process *process // where the event happens; nil for messages and the upstream
	from    *process
	to      Member
	message Message
	ticket  Ticket
	body    []byte
	outcome Outcome
	call    Call
}

func newWorld(seed uint64, places int, b bounds) *world {
	key := [32]byte{byte(seed), byte(seed >> 8), byte(seed >> 16), byte(seed >> 24)}
	w := &world{random: rand.NewChaCha8(key), rng: rand.New(rand.NewPCG(seed, 1)), bounds: b,
		cut: make(map[[2]int]bool), byID: make(map[TicketID]*modelTicket),
		latency: 1500 * time.Microsecond, service: 200 * time.Millisecond, timeout: time.Second}
	w.keys, _ = NewKeyring([]byte("model key"))
	w.places = make([]*process, places)
	for i := range w.places {
		w.start(i)
	}
	return w
}

// Read yields ticket identifiers that all fall into the same shard, so that the bounds of
// one shard are reached with few tickets.
func (w *world) Read(b []byte) (int, error) {
	n, err := w.random.Read(b)
	b[0] = 0
	return n, err
}

func (w *world) start(place int) {
	p := &process{place: place, alive: true}
	_, _ = w.random.Read(p.member.Incarnation[:])
	p.member.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(place)}), 7000)
	p.ledger = NewLedger(LedgerOptions{Self: p.member, Keys: w.keys, Random: w, Answers: w.bounds.answers,
		Outcomes: w.bounds.outcomes, Active: w.bounds.active, Window: w.bounds.window})
	p.flow = NewFlow(FlowOptions{Self: p.member, Ledger: p.ledger,
		Witness: NewWitness(WitnessOptions{Self: p.member.Incarnation, Answers: w.bounds.answers,
			Records: w.bounds.records, Owners: w.bounds.owners}),
		Successor: NewSuccessor(SuccessorOptions{Answers: w.bounds.answers})})
	w.places[place] = p
}

// join starts a process that learns the known successions from a live instance.
func (w *world) join(place int) {
	w.start(place)
	for _, q := range w.places {
		if q.alive && q.place != place {
			for _, s := range q.flow.Successions(w.now) {
				w.send(q, w.places[place].member, s)
			}
			return
		}
	}
}

func (w *world) kill(p *process) { p.alive = false }

func (w *world) fault(format string, args ...any) {
	w.faults = append(w.faults, fmt.Sprintf(format, args...))
}

func (w *world) issue(p *process, witness Member) *modelTicket {
	if witness == p.member {
		witness = Member{}
	}
	t, err := p.ledger.Issue(w.now, "team", witness)
	if err != nil {
		return nil
	}
	m := &modelTicket{ticket: t}
	w.tickets = append(w.tickets, m)
	w.byID[t.ID] = m
	return m
}

func (w *world) submit(p *process, m *modelTicket, body string) {
	w.callers = append(w.callers, modelCaller{ticket: m, body: body, entry: p})
	w.run(p, p.flow.Submit(w.now, uint64(len(w.callers)-1), m.ticket, []byte(body)))
}

func (w *world) ask(p *process, m *modelTicket) {
	w.callers = append(w.callers, modelCaller{ticket: m, entry: p})
	w.run(p, p.flow.Ask(w.now, uint64(len(w.callers)-1), m.ticket))
}

func (w *world) drain(p *process) {
	p.draining = true
	w.run(p, p.flow.Drain(w.now))
}

// handover ends a planned stop. The process exits with a separate event.
func (w *world) handover(p, successor *process) {
	p.draining, p.successor = true, successor.member
	w.run(p, p.flow.Handover(w.now, successor.member))
	w.push(event{kind: eventExit, process: p}, w.latency*2)
}

func (w *world) push(e event, delay time.Duration) {
	e.at = w.now + delay
	w.events = append(w.events, e)
}

func (w *world) jitter() time.Duration {
	return w.latency + time.Duration(w.rng.Int64N(int64(w.latency)/2+1))
}

// run carries out the commands of a flow.
func (w *world) run(p *process, commands []Command) {
	for _, c := range commands {
		switch c := c.(type) {
		case Send:
			w.send(p, c.To, c.Message)
		case Broadcast:
			for _, q := range w.places {
				if q != p {
					w.send(p, q.member, c.Message)
				}
			}
		case Execute:
			w.push(event{kind: eventDial, process: p, ticket: c.Ticket, body: c.Body}, w.latency)
		case Reply:
			w.reply(c)
		case Wait:
			w.push(event{kind: eventResume, process: p, call: c.Call}, c.Delay)
		}
	}
}

func (w *world) send(p *process, to Member, m Message) {
	w.push(event{kind: eventMessage, from: p, to: to, message: m}, w.jitter())
	switch m.(type) {
	case OrderForward, Intent, Query:
		w.push(event{kind: eventTimeout, process: p, to: to, message: m}, w.timeout)
	}
}

// enabled reports whether an event can happen now.
func (w *world) enabled(e event) bool {
	if e.kind == eventMessage {
		return !w.receiver(e).frozen
	}
	return e.process == nil || !e.process.frozen
}

// receiver is the process that now listens at the address of a message: after a restart
// it is another incarnation than the one the sender meant.
func (w *world) receiver(e event) *process {
	return w.places[e.to.Address.Addr().As4()[3]]
}

// take removes the event with the given index.
func (w *world) take(i int) event {
	e := w.events[i]
	w.events = slices.Delete(w.events, i, i+1)
	return e
}

// happen carries out an event.
func (w *world) happen(e event) {
	p := e.process
	if p != nil && !p.alive {
		return
	}
	switch e.kind {
	case eventMessage:
		q := w.receiver(e)
		if q.alive && !w.cut[[2]int{e.from.place, q.place}] {
			w.run(q, q.flow.Receive(w.now, e.from.member, e.message))
		}
	case eventTimeout:
		w.run(p, p.flow.Failed(w.now, e.message))
	case eventDial:
		if p.flow.MarkSending(w.now, e.ticket.ID) {
			w.push(event{kind: eventWrite, process: p, ticket: e.ticket, body: e.body}, 0)
		}
	case eventWrite:
		w.push(event{kind: eventArrive, from: p, ticket: e.ticket, body: e.body}, w.latency)
	case eventArrive:
		w.execute(e)
	case eventExecuted:
		w.run(p, p.flow.Executed(w.now, e.ticket.ID, e.outcome))
	case eventResume:
		w.run(p, p.flow.Resume(w.now, e.call))
	case eventExit:
		w.kill(p)
	}
}

// answerTo is the answer of the upstream: it names the ticket and the body.
func answerTo(id TicketID, body string) Answer {
	return Answer{Status: 200, Body: []byte(id.String() + " ran " + body)}
}

// execute counts an execution at the upstream.
func (w *world) execute(e event) {
	m := w.byID[e.ticket.ID]
	m.executions++
	m.body = string(e.body)
	if m.executions > 1 {
		w.fault("ticket %s ran %d times", e.ticket.ID, m.executions)
	}
	if m.notRun {
		w.fault("ticket %s ran after a caller was told not_run", e.ticket.ID)
	}
	o := Outcome{Kind: Done, Answer: answerTo(e.ticket.ID, m.body)}
	w.push(event{kind: eventExecuted, process: e.from, ticket: e.ticket, outcome: o}, w.service)
}

// reply checks an answer to a caller.
func (w *world) reply(r Reply) {
	c := &w.callers[r.Caller]
	id := c.ticket.ticket.ID
	if c.reply != nil {
		w.fault("caller %d got two replies", r.Caller)
	}
	o := r.Outcome
	c.reply = &o
	switch o.Kind {
	case NotRun:
		c.ticket.notRun = true
		if c.ticket.executions > 0 {
			w.fault("caller was told not_run for ticket %s, which ran", id)
		}
	case Done:
		if c.ticket.executions == 0 || !bytes.Equal(o.Answer.Body, answerTo(id, c.ticket.body).Body) {
			w.fault("ticket %s: answer %q is not that of the execution", id, o.Answer.Body)
		}
		if c.body != "" && c.body != c.ticket.body {
			w.fault("caller with body %q got the answer for body %q", c.body, c.ticket.body)
		}
	case NotOwner:
		w.fault("caller got %s", o.Kind)
	}
}

// settle heals everything and lets all delayed events happen, in the order that pick
// chooses.
func (w *world) settle(pick func(n int) int) {
	clear(w.cut)
	for _, p := range w.places {
		p.frozen = false
	}
	for _, e := range w.events {
		for _, p := range []*process{e.process, e.from} {
			if p != nil {
				p.frozen = false
			}
		}
	}
	for len(w.events) > 0 {
		w.happen(w.take(pick(len(w.events))))
	}
}
