package orders

import (
	"sync"
	"time"

	"github.com/yuccabridge/yuccabridge/internal/state/expiring"
)

const (
	// DefaultMaxRounds is how often an entry instance queries owner, successor and witness
	// before it answers Unknown for an order that may still be running. Four rounds of
	// 1.5 s outlast a paused process or a network partition of 3 s.
	DefaultMaxRounds = 4
	// DefaultRoundDelay is the delay between two rounds.
	DefaultRoundDelay = 500 * time.Millisecond

	// maxWaiters limits the requests that wait for the outcome of one order.
	maxWaiters = 64
	// maxKnownSuccessors limits the stopped owners whose successor is remembered.
	maxKnownSuccessors = 4096
)

// CoordinatorOptions configures a Coordinator. Zero values take the defaults.
type CoordinatorOptions struct {
	Self       Member
	Ledger     *Ledger
	Witness    *Witness
	Successor  *Successor
	MaxRounds  int
	RoundDelay time.Duration
}

// Coordinator is the state machine of one instance for non-idempotent orders. It implements
// the roles of owner, witness, successor of a stopped owner, and entry instance of a caller.
// It consumes typed events and returns typed commands. It is safe for concurrent use; the
// events of one ticket are handled one at a time.
type Coordinator struct {
	options CoordinatorOptions
	shards  [shardCount]coordinatorShard

	successorsMu sync.Mutex
	successors   *expiring.Map[Incarnation, Member]
}

type coordinatorShard struct {
	mu           sync.Mutex
	orders       map[TicketID]*ownedOrder // orders in progress that this instance owns
	requests     map[uint64]*entryRequest // requests of callers in progress, by number
	requestCount uint64                   // requests started
}

// NewCoordinator returns the coordinator of one instance.
func NewCoordinator(o CoordinatorOptions) *Coordinator {
	o.MaxRounds = valueOr(o.MaxRounds, DefaultMaxRounds)
	o.RoundDelay = valueOr(o.RoundDelay, DefaultRoundDelay)
	c := &Coordinator{options: o, successors: expiring.New(expiring.Options[Incarnation, Member]{
		TTL: handoverTTL, MaxEntries: maxKnownSuccessors,
	})}
	for i := range c.shards {
		c.shards[i].orders = make(map[TicketID]*ownedOrder)
		c.shards[i].requests = make(map[uint64]*entryRequest)
	}
	return c
}

func (c *Coordinator) lockShard(shard int) *coordinatorShard {
	s := &c.shards[shard]
	s.mu.Lock()
	return s
}

// Receive handles a message from another instance.
func (c *Coordinator) Receive(now time.Duration, from Member, m Message) []Command {
	switch m := m.(type) {
	case OrderForward:
		return c.receiveForward(now, from, m)
	case OrderAnswer:
		return c.receiveAnswer(now, m.Request, m.Outcome)
	case QueryAnswer:
		return c.receiveAnswer(now, m.Request, m.Outcome)
	case Intent:
		granted := c.options.Witness.RecordIntent(now, m.Ticket, m.Body)
		ack := IntentAck{ID: m.Ticket.ID, Witness: c.options.Self.Incarnation, Granted: granted}
		return []Command{Send{To: from, Message: ack}}
	case IntentAck:
		return c.receiveIntentAck(now, m)
	case OutcomeReport:
		c.options.Witness.RecordOutcome(now, m.Ticket, m.Body, m.Outcome)
	case Query:
		o := c.options.Witness.Query(now, m.Ticket, m.Body)
		return []Command{Send{To: from, Message: QueryAnswer{Request: m.Request, Outcome: o}}}
	case HandoverPart:
		return c.receiveHandoverPart(now, m)
	case SuccessorAnnouncement:
		c.recordSuccessor(now, m)
	}
	return nil
}

// MessageFailed handles a message that could not be delivered or was not answered in time.
// The message may still arrive later.
func (c *Coordinator) MessageFailed(now time.Duration, m Message) []Command {
	switch m := m.(type) {
	case OrderForward:
		return c.requestFailed(now, m.Request)
	case Query:
		return c.requestFailed(now, m.Request)
	case Intent:
		s := c.lockShard(m.Ticket.ID.shard())
		defer s.mu.Unlock()
		if c.options.Ledger.WitnessUnreachable(now, m.Ticket.ID) {
			return c.finishOrder(now, s, m.Ticket.ID, Outcome{Kind: NotRun})
		}
	}
	return nil
}

// Drain closes the ledger for a planned stop. Orders that are not being sent finish as
// NotRun. Orders that are being sent may finish before Handover.
func (c *Coordinator) Drain(now time.Duration) []Command {
	var commands []Command
	for _, id := range c.options.Ledger.Close(now) {
		s := c.lockShard(id.shard())
		commands = append(commands, c.finishOrder(now, s, id, Outcome{Kind: NotRun})...)
		s.mu.Unlock()
	}
	return commands
}

// Handover closes the ledger and sends it to the successor, together with the ledgers that
// this instance received in handovers from other owners.
func (c *Coordinator) Handover(now time.Duration, successor Member) []Command {
	parts := append(c.options.Ledger.Export(now), c.options.Successor.Export(now)...)
	commands := make([]Command, 0, len(parts))
	for _, p := range parts {
		commands = append(commands, Send{To: successor, Message: p})
	}
	return commands
}

func (c *Coordinator) receiveHandoverPart(now time.Duration, p HandoverPart) []Command {
	complete, err := c.options.Successor.Import(now, p)
	if err != nil || !complete {
		return nil
	}
	m := SuccessorAnnouncement{Owner: p.Owner, Successor: c.options.Self}
	c.recordSuccessor(now, m)
	return []Command{Broadcast{Message: m}}
}

func (c *Coordinator) recordSuccessor(now time.Duration, m SuccessorAnnouncement) {
	c.successorsMu.Lock()
	defer c.successorsMu.Unlock()
	c.successors.Put(now, m.Owner, m.Successor, 0)
}

// KnownSuccessors returns the known successors of stopped owners, for an instance that
// joins.
func (c *Coordinator) KnownSuccessors(now time.Duration) []SuccessorAnnouncement {
	c.successorsMu.Lock()
	defer c.successorsMu.Unlock()
	var out []SuccessorAnnouncement
	c.successors.All(now, func(owner Incarnation, m Member, _ time.Duration) bool {
		out = append(out, SuccessorAnnouncement{Owner: owner, Successor: m})
		return true
	})
	return out
}

func (c *Coordinator) successorOf(now time.Duration, owner Incarnation) Member {
	c.successorsMu.Lock()
	defer c.successorsMu.Unlock()
	m, _ := c.successors.Get(now, owner)
	return m
}
