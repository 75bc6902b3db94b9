package orders

import (
	"sync"
	"time"

	"github.com/yuccabridge/yuccabridge/internal/state/expiring"
)

const (
	// DefaultRounds is how often an entry instance asks owner and witness before it
	// answers "unknown" for an order that may still be running. Four rounds of 1.5 s
	// outlast a freeze or a cut of 3 s.
	DefaultRounds = 4
	// DefaultRoundDelay is the pause between two rounds.
	DefaultRoundDelay = 500 * time.Millisecond

	// maxWaiters bounds the callers that wait for the outcome of one order.
	maxWaiters = 64
	// maxSuccessions bounds the stopped owners whose successor is known.
	maxSuccessions = 4096
)

// FlowOptions configures a Flow. Zero values take the defaults.
type FlowOptions struct {
	Self       Member
	Ledger     *Ledger
	Witness    *Witness
	Successor  *Successor
	Rounds     int
	RoundDelay time.Duration
}

// Flow decides the steps of one instance for non-idempotent orders: as the owner, as the
// witness, as the successor of a stopped owner, and as the entry instance that a caller
// uses. It takes typed events and returns typed commands. It is safe for concurrent use;
// the events of one ticket are handled one at a time.
type Flow struct {
	options FlowOptions
	shards  [shardCount]flowShard

	successionMu sync.Mutex
	successions  *expiring.Map[Incarnation, Member]
}

type flowShard struct {
	mu     sync.Mutex
	orders map[TicketID]*order // owned orders in progress
	calls  map[uint64]*call    // entry calls in progress
	issued uint64              // calls started
}

// NewFlow returns the flow of one instance.
func NewFlow(o FlowOptions) *Flow {
	o.Rounds = orDefault(o.Rounds, DefaultRounds)
	o.RoundDelay = orDefault(o.RoundDelay, DefaultRoundDelay)
	f := &Flow{options: o, successions: expiring.New(expiring.Options[Incarnation, Member]{
		TTL: handoverLifetime, MaxEntries: maxSuccessions,
	})}
	for i := range f.shards {
		f.shards[i].orders = make(map[TicketID]*order)
		f.shards[i].calls = make(map[uint64]*call)
	}
	return f
}

func (f *Flow) lock(shard int) *flowShard {
	s := &f.shards[shard]
	s.mu.Lock()
	return s
}

// Receive handles a message from another instance.
func (f *Flow) Receive(now time.Duration, from Member, m Message) []Command {
	switch m := m.(type) {
	case OrderForward:
		return f.receiveForward(now, from, m)
	case OrderAnswer:
		return f.receiveAnswer(now, m.Call, m.Outcome)
	case QueryAnswer:
		return f.receiveAnswer(now, m.Call, m.Outcome)
	case Intent:
		granted := f.options.Witness.Intent(now, m.Ticket, m.Body)
		ack := IntentAck{ID: m.Ticket.ID, Witness: f.options.Self.Incarnation, Granted: granted}
		return []Command{Send{To: from, Message: ack}}
	case IntentAck:
		return f.receiveAck(now, m)
	case OutcomeReport:
		f.options.Witness.Outcome(now, m.Ticket, m.Body, m.Outcome)
	case Query:
		o := f.options.Witness.Query(now, m.Ticket, m.Body)
		return []Command{Send{To: from, Message: QueryAnswer{Call: m.Call, Outcome: o}}}
	case HandoverPart:
		return f.receiveHandover(now, m)
	case Succession:
		f.learnSuccession(now, m)
	}
	return nil
}

// Failed handles a message that could not be delivered, or whose answer did not come in
// time. The message may still arrive later.
func (f *Flow) Failed(now time.Duration, m Message) []Command {
	switch m := m.(type) {
	case OrderForward:
		return f.failedStep(now, m.Call)
	case Query:
		return f.failedStep(now, m.Call)
	case Intent:
		s := f.lock(m.Ticket.ID.shard())
		defer s.mu.Unlock()
		if f.options.Ledger.WitnessUnreachable(now, m.Ticket.ID) {
			return f.conclude(now, s, m.Ticket.ID, Outcome{Kind: NotRun})
		}
	}
	return nil
}

// Drain closes the ledger for a planned stop: orders that are not being sent end as
// NotRun. Orders that are being sent may finish before Handover.
func (f *Flow) Drain(now time.Duration) []Command {
	var commands []Command
	for _, id := range f.options.Ledger.Close(now) {
		s := f.lock(id.shard())
		commands = append(commands, f.conclude(now, s, id, Outcome{Kind: NotRun})...)
		s.mu.Unlock()
	}
	return commands
}

// Handover sends the ledger, and the handovers that this instance holds for others, to
// the successor. It closes the ledger.
func (f *Flow) Handover(now time.Duration, successor Member) []Command {
	parts := append(f.options.Ledger.Export(now), f.options.Successor.Export(now)...)
	commands := make([]Command, 0, len(parts))
	for _, p := range parts {
		commands = append(commands, Send{To: successor, Message: p})
	}
	return commands
}

func (f *Flow) receiveHandover(now time.Duration, p HandoverPart) []Command {
	complete, err := f.options.Successor.Import(now, p)
	if err != nil || !complete {
		return nil
	}
	m := Succession{Owner: p.Owner, Successor: f.options.Self}
	f.learnSuccession(now, m)
	return []Command{Broadcast{Message: m}}
}

func (f *Flow) learnSuccession(now time.Duration, m Succession) {
	f.successionMu.Lock()
	defer f.successionMu.Unlock()
	f.successions.Put(now, m.Owner, m.Successor, 0)
}

// Successions returns the stopped owners whose successor is known, for an instance that
// joins.
func (f *Flow) Successions(now time.Duration) []Succession {
	f.successionMu.Lock()
	defer f.successionMu.Unlock()
	var out []Succession
	f.successions.All(now, func(owner Incarnation, m Member, _ time.Duration) bool {
		out = append(out, Succession{Owner: owner, Successor: m})
		return true
	})
	return out
}

func (f *Flow) successorOf(now time.Duration, owner Incarnation) Member {
	f.successionMu.Lock()
	defer f.successionMu.Unlock()
	m, _ := f.successions.Get(now, owner)
	return m
}
