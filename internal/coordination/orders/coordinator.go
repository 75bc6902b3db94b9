package orders

import (
	"sync"
	"time"

	"github.com/yuccabridge/yuccabridge/internal/state/expiring"
)

const (
	// DefaultMaxRounds is the number of rounds after which an entry instance (the instance
	// that received the caller's request) returns Unknown for an order that may still be
	// running. In each round it queries the owner, the successor and the witness in turn.
	// A round in which the witness does not answer takes at least 1.5 s: the timeout of 1 s
	// that the driver (package entry) sets for a query to the witness, and DefaultRoundDelay.
	// Four rounds outlast a paused process or a network partition of 3 s.
	DefaultMaxRounds = 4
	// DefaultRoundDelay is the delay from the end of one round to the start of the next.
	DefaultRoundDelay = 500 * time.Millisecond

	// maxWaiters limits the requests that wait for the outcome of one order.
	maxWaiters = 64
	// maxKnownSuccessors limits the stopped owners whose successor is recorded.
	maxKnownSuccessors = 4096
)

// CoordinatorOptions configures a Coordinator. MaxRounds and RoundDelay default to
// DefaultMaxRounds and DefaultRoundDelay when they are zero. All other fields are required.
type CoordinatorOptions struct {
	Self Member
	// Ledger holds the tickets that this instance issued and the state of their orders.
	Ledger *Ledger
	// Witness is the witness component of this instance. It records orders of other owners
	// whose tickets name this instance in Ticket.Witness.
	Witness *Witness
	// ImportedLedgers holds the ledgers that stopped owners handed over to this instance.
	ImportedLedgers *Successor
	MaxRounds       int
	RoundDelay      time.Duration
}

// Coordinator is the state machine of one instance for non-idempotent orders. It implements
// the roles of owner, witness, successor of a stopped owner, and entry instance of a caller;
// the package comment defines them. Its methods take requests of callers, messages of other
// instances and results of earlier commands, and return the commands that the driver carries
// out next. It is safe for concurrent use; the events of one ticket are handled one at a time.
type Coordinator struct {
	options CoordinatorOptions
	shards  [shardCount]coordinatorShard

	successorByOwnerMu sync.Mutex
	// successorByOwner holds, for each stopped owner, the instance that took over its ledger.
	successorByOwner *expiring.Map[Incarnation, Member]
}

type coordinatorShard struct {
	mu       sync.Mutex
	orders   map[TicketID]*ownedOrder // orders in progress that this instance owns
	requests map[uint64]*entryRequest // requests of callers in progress, by RequestID.Number
	// nextSequence is the sequence number of the next request in this shard. With the shard
	// index it forms RequestID.Number, so that the number leads back to the shard.
	nextSequence uint64
}

// NewCoordinator returns the coordinator of one instance.
func NewCoordinator(options CoordinatorOptions) *Coordinator {
	options.MaxRounds = valueOr(options.MaxRounds, DefaultMaxRounds)
	options.RoundDelay = valueOr(options.RoundDelay, DefaultRoundDelay)
	c := &Coordinator{options: options, successorByOwner: expiring.New(expiring.Options[Incarnation, Member]{
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
		granted := c.options.Witness.RecordIntent(now, m.Ticket, m.BodyHash)
		ack := IntentAck{ID: m.Ticket.ID, Witness: c.options.Self.Incarnation, Granted: granted}
		return []Command{Send{To: from, Message: ack}}
	case IntentAck:
		return c.receiveIntentAck(now, m)
	case OutcomeReport:
		c.options.Witness.RecordOutcome(now, m.Ticket, m.BodyHash, m.Outcome)
	case Query:
		outcome := c.options.Witness.Query(now, m.Ticket, m.BodyHash)
		return []Command{Send{To: from, Message: QueryAnswer{Request: m.Request, Outcome: outcome}}}
	case HandoverPart:
		return c.receiveHandoverPart(now, m)
	case SuccessorAnnouncement:
		c.recordSuccessor(now, m)
	}
	return nil
}

// MessageFailed handles a message that could not be delivered or was not answered in time.
// The message may still arrive later. A failed OrderForward or Query ends only the current
// stage of its request; a failed Intent seals the order unless it has been acknowledged.
func (c *Coordinator) MessageFailed(now time.Duration, m Message) []Command {
	switch m := m.(type) {
	case OrderForward:
		return c.stageFailed(now, m.Request)
	case Query:
		return c.stageFailed(now, m.Request)
	case Intent:
		s := c.lockShard(m.Ticket.ID.shard())
		defer s.mu.Unlock()
		if c.options.Ledger.SealUnacknowledged(now, m.Ticket.ID) {
			return c.finishOrder(now, s, m.Ticket.ID, Outcome{Kind: NotRun})
		}
	}
	return nil
}

// CloseLedger closes the ledger for a graceful shutdown and returns at once. Orders that are
// not yet being sent finish as NotRun. Orders that are being sent may finish until Handover
// is called; Handover exports the others as used, and the successor reports them as Unknown.
func (c *Coordinator) CloseLedger(now time.Duration) []Command {
	var commands []Command
	for _, id := range c.options.Ledger.Close(now) {
		s := c.lockShard(id.shard())
		commands = append(commands, c.finishOrder(now, s, id, Outcome{Kind: NotRun})...)
		s.mu.Unlock()
	}
	return commands
}

// Handover closes the ledger and sends it to the successor, together with the ledgers that
// other owners handed over to this instance.
func (c *Coordinator) Handover(now time.Duration, successor Member) []Command {
	parts := append(c.options.Ledger.Export(now), c.options.ImportedLedgers.Export(now)...)
	commands := make([]Command, 0, len(parts))
	for _, p := range parts {
		commands = append(commands, Send{To: successor, Message: p})
	}
	return commands
}

func (c *Coordinator) receiveHandoverPart(now time.Duration, p HandoverPart) []Command {
	complete, err := c.options.ImportedLedgers.Import(now, p)
	if err != nil || !complete {
		// An invalid part is ignored: the handover then stays incomplete and is never used,
		// and requests for tickets of the owner go on to the witness.
		return nil
	}
	m := SuccessorAnnouncement{Owner: p.Owner, Successor: c.options.Self}
	c.recordSuccessor(now, m)
	return []Command{Broadcast{Message: m}}
}

func (c *Coordinator) recordSuccessor(now time.Duration, m SuccessorAnnouncement) {
	c.successorByOwnerMu.Lock()
	defer c.successorByOwnerMu.Unlock()
	// The cost is 0 because only the number of entries is limited.
	c.successorByOwner.Put(now, m.Owner, m.Successor, 0)
}

// KnownSuccessors returns the known successors of stopped owners as announcements that the
// driver sends to an instance that joins.
func (c *Coordinator) KnownSuccessors(now time.Duration) []SuccessorAnnouncement {
	c.successorByOwnerMu.Lock()
	defer c.successorByOwnerMu.Unlock()
	var out []SuccessorAnnouncement
	c.successorByOwner.All(now, func(owner Incarnation, m Member, _ time.Duration) bool {
		out = append(out, SuccessorAnnouncement{Owner: owner, Successor: m})
		return true
	})
	return out
}

// successorOf returns the successor of a stopped owner, or the zero Member if none is known.
func (c *Coordinator) successorOf(now time.Duration, owner Incarnation) Member {
	c.successorByOwnerMu.Lock()
	defer c.successorByOwnerMu.Unlock()
	m, _ := c.successorByOwner.Get(now, owner)
	return m
}
