package orders

import (
	"bytes"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"
)

// simulation is a model of several instances, their network, the upstream and the callers.
// It drives the same Coordinator as the daemon. The test decides the order of events: the
// randomized test handles them in any order, the fault measurement in the order of time.
type simulation struct {
	idSource   *rand.ChaCha8
	rng        *rand.Rand
	keys       Keyring
	now        time.Duration
	limits     instanceLimits
	instances  []*process // latest process of each instance
	events     []event
	cutLinks   map[[2]int]bool // by sending and receiving instance
	tickets    []*modelTicket
	byID       map[TicketID]*modelTicket
	callers    []modelCaller
	violations []string // failed checks of the test oracle

	networkDelay, serviceTime, answerTimeout time.Duration // used by the fault measurement only
}

// instanceLimits are the limits of the instances. They are small enough for the model to
// reach them.
type instanceLimits struct {
	window, outcomes, active, records, owners int
	responseBytes                             int64
}

type process struct {
	member      Member
	instance    int
	coordinator *Coordinator
	ledger      *Ledger
	alive       bool
	frozen      bool
	draining    bool
	successor   Member // set once the ledger is handed over
}

// modelTicket is the state of one ticket in the test oracle.
type modelTicket struct {
	ticket         Ticket
	executions     int
	executedBody   string // body of the latest execution
	reportedNotRun bool   // a caller was told "not run"
}

type modelCaller struct {
	ticket *modelTicket
	body   string
	entry  *process
	reply  *Outcome
}

type eventKind int

const (
	eventMessage           eventKind = iota // a message arrives
	eventTimeout                            // the sender times out
	eventDial                               // the connection to the upstream is established
	eventWrite                              // the request is written
	eventArrive                             // the request reaches the upstream
	eventExecutionFinished                  // the exchange ends at the owner
	eventRetry                              // the retry delay of a request ends
	eventExit                               // a stopped process exits
)

type event struct {
	kind    eventKind
	at      time.Duration
	process *process // process that handles the event; nil for messages and the upstream
	from    *process
	to      Member
	message Message
	ticket  Ticket
	body    []byte
	outcome Outcome
	request RequestID
}

func newSimulation(seed uint64, instances int, limits instanceLimits) *simulation {
	key := [32]byte{byte(seed), byte(seed >> 8), byte(seed >> 16), byte(seed >> 24)}
	s := &simulation{idSource: rand.NewChaCha8(key), rng: rand.New(rand.NewPCG(seed, 1)), limits: limits,
		cutLinks: make(map[[2]int]bool), byID: make(map[TicketID]*modelTicket),
		networkDelay: 1500 * time.Microsecond, serviceTime: 200 * time.Millisecond, answerTimeout: time.Second}
	s.keys, _ = NewKeyring([]byte("model key"))
	s.instances = make([]*process, instances)
	for i := range s.instances {
		s.start(i)
	}
	return s
}

// Read generates ticket identifiers that all belong to the same shard, so that few tickets
// suffice to reach the limits of a shard.
func (s *simulation) Read(b []byte) (int, error) {
	n, err := s.idSource.Read(b)
	b[0] = 0
	return n, err
}

func (s *simulation) start(instance int) {
	p := &process{instance: instance, alive: true}
	_, _ = s.idSource.Read(p.member.Incarnation[:])
	p.member.Address = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(instance)}), 7000)
	p.ledger = NewLedger(LedgerOptions{Self: p.member, Keys: s.keys, Random: s, MaxResponseBytes: s.limits.responseBytes,
		MaxOutcomes: s.limits.outcomes, MaxActive: s.limits.active, TicketWindow: s.limits.window})
	p.coordinator = NewCoordinator(CoordinatorOptions{Self: p.member, Ledger: p.ledger,
		Witness: NewWitness(WitnessOptions{Self: p.member.Incarnation, MaxResponseBytes: s.limits.responseBytes,
			MaxRecords: s.limits.records, MaxOwners: s.limits.owners}),
		ImportedLedgers: NewSuccessor(SuccessorOptions{MaxResponseBytes: s.limits.responseBytes})})
	s.instances[instance] = p
}

// join starts a process that receives the known successors from an instance that is alive.
func (s *simulation) join(instance int) {
	s.start(instance)
	for _, q := range s.instances {
		if q.alive && q.instance != instance {
			for _, announcement := range q.coordinator.KnownSuccessors(s.now) {
				s.send(q, s.instances[instance].member, announcement)
			}
			return
		}
	}
}

func (s *simulation) kill(p *process) { p.alive = false }

func (s *simulation) addViolation(format string, args ...any) {
	s.violations = append(s.violations, fmt.Sprintf(format, args...))
}

func (s *simulation) issue(p *process, witness Member) *modelTicket {
	if witness == p.member {
		witness = Member{}
	}
	t, err := p.ledger.Issue(s.now, "team", witness)
	if err != nil {
		return nil
	}
	m := &modelTicket{ticket: t}
	s.tickets = append(s.tickets, m)
	s.byID[t.ID] = m
	return m
}

func (s *simulation) submit(p *process, m *modelTicket, body string) {
	s.callers = append(s.callers, modelCaller{ticket: m, body: body, entry: p})
	s.runCommands(p, p.coordinator.Submit(s.now, uint64(len(s.callers)-1), m.ticket, []byte(body)))
}

func (s *simulation) queryStatus(p *process, m *modelTicket) {
	s.callers = append(s.callers, modelCaller{ticket: m, entry: p})
	s.runCommands(p, p.coordinator.QueryStatus(s.now, uint64(len(s.callers)-1), m.ticket))
}

func (s *simulation) drain(p *process) {
	p.draining = true
	s.runCommands(p, p.coordinator.CloseLedger(s.now))
}

// handover completes a graceful shutdown. A separate event makes the process exit.
func (s *simulation) handover(p, successor *process) {
	p.draining, p.successor = true, successor.member
	s.runCommands(p, p.coordinator.Handover(s.now, successor.member))
	s.schedule(event{kind: eventExit, process: p}, s.networkDelay*2)
}

func (s *simulation) schedule(e event, delay time.Duration) {
	e.at = s.now + delay
	s.events = append(s.events, e)
}

func (s *simulation) messageDelay() time.Duration {
	return s.networkDelay + time.Duration(s.rng.Int64N(int64(s.networkDelay)/2+1))
}

// runCommands carries out the commands of a coordinator.
func (s *simulation) runCommands(p *process, commands []Command) {
	for _, c := range commands {
		switch c := c.(type) {
		case Send:
			s.send(p, c.To, c.Message)
		case Broadcast:
			for _, q := range s.instances {
				if q != p {
					s.send(p, q.member, c.Message)
				}
			}
		case Execute:
			s.schedule(event{kind: eventDial, process: p, ticket: c.Ticket, body: c.Body}, s.networkDelay)
		case Reply:
			s.reply(c)
		case ScheduleRetry:
			s.schedule(event{kind: eventRetry, process: p, request: c.Request}, c.Delay)
		}
	}
}

func (s *simulation) send(p *process, to Member, m Message) {
	s.schedule(event{kind: eventMessage, from: p, to: to, message: m}, s.messageDelay())
	switch m.(type) {
	case OrderForward, Intent, Query:
		s.schedule(event{kind: eventTimeout, process: p, to: to, message: m}, s.answerTimeout)
	}
}

// enabled reports whether an event can be handled now.
func (s *simulation) enabled(e event) bool {
	if e.kind == eventMessage {
		return !s.receiver(e).frozen
	}
	return e.process == nil || !e.process.frozen
}

// receiver returns the process that currently listens at the destination address of a
// message. After a restart it is not the incarnation that the sender addressed.
func (s *simulation) receiver(e event) *process {
	return s.instances[e.to.Address.Addr().As4()[3]]
}

// removeEvent removes and returns the event with the given index.
func (s *simulation) removeEvent(i int) event {
	e := s.events[i]
	s.events = slices.Delete(s.events, i, i+1)
	return e
}

// handleEvent handles an event. Events of a killed process have no effect.
func (s *simulation) handleEvent(e event) {
	p := e.process
	if p != nil && !p.alive {
		return
	}
	switch e.kind {
	case eventMessage:
		q := s.receiver(e)
		if q.alive && !s.cutLinks[[2]int{e.from.instance, q.instance}] {
			s.runCommands(q, q.coordinator.Receive(s.now, e.from.member, e.message))
		}
	case eventTimeout:
		s.runCommands(p, p.coordinator.MessageFailed(s.now, e.message))
	case eventDial:
		if p.coordinator.MarkSending(s.now, e.ticket.ID) {
			s.schedule(event{kind: eventWrite, process: p, ticket: e.ticket, body: e.body}, 0)
		}
	case eventWrite:
		s.schedule(event{kind: eventArrive, from: p, ticket: e.ticket, body: e.body}, s.networkDelay)
	case eventArrive:
		s.execute(e)
	case eventExecutionFinished:
		s.runCommands(p, p.coordinator.ExecutionFinished(s.now, e.ticket.ID, e.outcome))
	case eventRetry:
		s.runCommands(p, p.coordinator.Retry(s.now, e.request))
	case eventExit:
		s.kill(p)
	}
}

// upstreamResponse returns the response of the upstream. It contains the ticket and the body.
func upstreamResponse(id TicketID, body string) Response {
	return Response{Status: 200, Body: []byte(id.String() + " ran " + body)}
}

// execute executes an order at the upstream and checks that this is permitted.
func (s *simulation) execute(e event) {
	m := s.byID[e.ticket.ID]
	m.executions++
	m.executedBody = string(e.body)
	if m.executions > 1 {
		s.addViolation("ticket %s ran %d times", e.ticket.ID, m.executions)
	}
	if m.reportedNotRun {
		s.addViolation("ticket %s ran after a caller was told not_run", e.ticket.ID)
	}
	o := Outcome{Kind: Done, Response: upstreamResponse(e.ticket.ID, m.executedBody)}
	s.schedule(event{kind: eventExecutionFinished, process: e.from, ticket: e.ticket, outcome: o}, s.serviceTime)
}

// reply checks a reply to a caller.
func (s *simulation) reply(r Reply) {
	c := &s.callers[r.CallerID]
	id := c.ticket.ticket.ID
	if c.reply != nil {
		s.addViolation("caller %d got two replies", r.CallerID)
	}
	o := r.Outcome
	c.reply = &o
	switch o.Kind {
	case NotRun:
		c.ticket.reportedNotRun = true
		if c.ticket.executions > 0 {
			s.addViolation("caller was told not_run for ticket %s, which ran", id)
		}
	case Done:
		if c.ticket.executions == 0 || !bytes.Equal(o.Response.Body, upstreamResponse(id, c.ticket.executedBody).Body) {
			s.addViolation("ticket %s: response %q is not the response of its execution", id, o.Response.Body)
		}
		if c.body != "" && c.body != c.ticket.executedBody {
			s.addViolation("caller with body %q got the response to body %q", c.body, c.ticket.executedBody)
		}
	case NotOwner:
		s.addViolation("caller got %s", o.Kind)
	}
}

// healAndDrain removes all link cuts and freezes and handles all pending events in the order
// that choose selects.
func (s *simulation) healAndDrain(choose func(n int) int) {
	clear(s.cutLinks)
	for _, p := range s.instances {
		p.frozen = false
	}
	for _, e := range s.events {
		for _, p := range []*process{e.process, e.from} {
			if p != nil {
				p.frozen = false
			}
		}
	}
	for len(s.events) > 0 {
		s.handleEvent(s.removeEvent(choose(len(s.events))))
	}
}
