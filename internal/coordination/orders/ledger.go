package orders

import (
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccabridge/yuccabridge/internal/state/expiring"
)

// shardCount is the number of independently locked shards of a ledger, a witness and a
// coordinator.
const shardCount = 16

// Default limits. The stored responses of a ledger, a witness and a successor together
// stay within 64 MiB per instance.
const (
	DefaultRetention              = 15 * time.Minute
	DefaultLedgerResponseBytes    = 24 << 20
	DefaultWitnessResponseBytes   = 24 << 20
	DefaultSuccessorResponseBytes = 16 << 20
	// DefaultTicketWindow is the number of most recent tickets whose use is recorded: 1 MiB
	// at two bits each.
	DefaultTicketWindow = 1 << 22
	// DefaultMaxOutcomes limits the finished orders whose outcome is stored.
	DefaultMaxOutcomes = 1 << 17
	// DefaultMaxActive limits the orders that have begun and are not finished.
	DefaultMaxActive = 1 << 14
	// MaxStoredResponseBytes limits the size of a response that is stored and replicated,
	// so that it fits into a peer frame of 2 MiB.
	MaxStoredResponseBytes = 1 << 20

	// entryOverheadBytes is charged for each stored outcome in addition to its response.
	entryOverheadBytes = 256
)

// LedgerOptions configures a Ledger. Limits of zero take the defaults.
type LedgerOptions struct {
	Self             Member
	Keys             Keyring
	Random           io.Reader // source of ticket identifiers
	MaxResponseBytes int64     // limit on the total size of stored responses
	// MaxOutcomes, MaxActive and TicketWindow limit the stored outcomes, the orders in
	// progress and the tickets whose use is recorded.
	MaxOutcomes, MaxActive, TicketWindow int
	Retention                            time.Duration
}

func (options LedgerOptions) withDefaults() LedgerOptions {
	options.MaxResponseBytes = valueOr(options.MaxResponseBytes, DefaultLedgerResponseBytes)
	options.MaxOutcomes = valueOr(options.MaxOutcomes, DefaultMaxOutcomes)
	options.MaxActive = valueOr(options.MaxActive, DefaultMaxActive)
	options.TicketWindow = valueOr(options.TicketWindow, DefaultTicketWindow)
	options.Retention = valueOr(options.Retention, DefaultRetention)
	return options
}

func valueOr[T comparable](value, fallback T) T {
	var zero T
	if value == zero {
		return fallback
	}
	return value
}

func perShard[T int | int64](total T) T { return max(total/shardCount, 1) }

// Ledger is the owner's record of the tickets that it issued. Only the incarnation that
// issued a ticket may send its order. A Ledger is safe for concurrent use.
type Ledger struct {
	options  LedgerOptions
	randomMu sync.Mutex
	shards   [shardCount]ledgerShard
}

type ledgerShard struct {
	mu       sync.Mutex
	closed   bool
	window   usageWindow
	active   map[TicketID]*activeOrder
	outcomes *expiring.Map[TicketID, storedOutcome]
}

// activeOrder is an order that has begun. Its issue number is recorded as used from the
// start, so that losing this entry or the outcome can never make the order run again.
type activeOrder struct {
	number   uint64
	bodyHash BodyHash
	witness  Incarnation
	phase    phase
}

type phase uint8

const (
	phaseAwaitingAck phase = iota // the witness has not acknowledged the intent
	phaseReady                    // the order may be sent
	phaseSending                  // bytes may have been sent
)

// NewLedger returns an empty ledger of the incarnation o.Self.
func NewLedger(options LedgerOptions) *Ledger {
	l := &Ledger{options: options.withDefaults()}
	for i := range l.shards {
		s := &l.shards[i]
		s.window = newUsageWindow(perShard(l.options.TicketWindow))
		s.active = make(map[TicketID]*activeOrder)
		s.outcomes = expiring.New(expiring.Options[TicketID, storedOutcome]{
			TTL:        l.options.Retention,
			MaxEntries: perShard(l.options.MaxOutcomes),
			MaxCost:    perShard(l.options.MaxResponseBytes),
		})
	}
	return l
}

// Issue returns a new ticket. The witness is the zero Member when the owner has no peers.
func (l *Ledger) Issue(_ time.Duration, team string, witness Member) (Ticket, error) {
	if len(team) > MaxTeamSize {
		return Ticket{}, errors.WithStack(ErrTeamNameTooLong)
	}
	if !l.options.Self.valid() || !witness.IsZero() && !witness.valid() || witness.Incarnation == l.options.Self.Incarnation {
		return Ticket{}, errors.WithStack(ErrInvalidMember)
	}
	t := Ticket{Owner: l.options.Self, Witness: witness, Team: team}
	if err := l.fillRandom(t.ID[:]); err != nil {
		return Ticket{}, err
	}
	s := &l.shards[t.ID.shard()]
	s.mu.Lock()
	closed := s.closed
	if !closed {
		t.Number = s.window.issue()
	}
	s.mu.Unlock()
	if closed {
		return Ticket{}, errors.WithStack(ErrLedgerClosed)
	}
	l.options.Keys.sign(&t)
	return t, nil
}

func (l *Ledger) fillRandom(b []byte) error {
	l.randomMu.Lock()
	defer l.randomMu.Unlock()
	_, err := io.ReadFull(l.options.Random, b)
	return errors.Wrap(err, "random number of a ticket")
}

func (l *Ledger) isOwner(t Ticket) bool {
	return t.Owner.Incarnation == l.options.Self.Incarnation
}

func (l *Ledger) lockShard(id TicketID) *ledgerShard {
	s := &l.shards[id.shard()]
	s.mu.Lock()
	return s
}

// Begin decides the next step for an order that arrived with an authentic ticket.
func (l *Ledger) Begin(now time.Duration, t Ticket, bodyHash BodyHash) Decision {
	if !l.isOwner(t) {
		return Decision{Action: ActionForward}
	}
	s := l.lockShard(t.ID)
	defer s.mu.Unlock()
	if a := s.active[t.ID]; a != nil {
		if a.bodyHash != bodyHash {
			return reportDecision(WrongBody)
		}
		return Decision{Action: ActionAttach}
	}
	if o := s.lookup(now, t, bodyHash); o.Kind != Issued {
		return Decision{Outcome: o}
	}
	if s.closed || len(s.active) >= perShard(l.options.MaxActive) {
		s.window.set(t.Number, sealed)
		return reportDecision(NotRun)
	}
	s.window.set(t.Number, used)
	a := &activeOrder{number: t.Number, bodyHash: bodyHash, witness: t.Witness.Incarnation}
	s.active[t.ID] = a
	if t.Witness.IsZero() {
		a.phase = phaseReady
		return Decision{Action: ActionSend}
	}
	return Decision{Action: ActionRecordIntent}
}

// Status returns the state of a ticket without beginning its order.
func (l *Ledger) Status(now time.Duration, t Ticket) Outcome {
	if !l.isOwner(t) {
		return Outcome{Kind: NotOwner}
	}
	s := l.lockShard(t.ID)
	defer s.mu.Unlock()
	return s.lookup(now, t, BodyHash{})
}

// lookup returns the recorded outcome of a ticket.
func (s *ledgerShard) lookup(now time.Duration, t Ticket, bodyHash BodyHash) Outcome {
	if s.active[t.ID] != nil {
		return Outcome{Kind: Running}
	}
	if stored, ok := s.outcomes.Peek(now, t.ID); ok {
		return stored.outcomeFor(bodyHash)
	}
	switch s.window.get(t.Number) {
	case unused:
		return Outcome{Kind: Issued}
	case sealed:
		return Outcome{Kind: NotRun}
	default:
		return Outcome{Kind: Unknown}
	}
}

// IntentAcked records the acknowledgement of the intent by the given incarnation. It
// returns true when the order may now be sent. Only the incarnation named in the ticket
// is accepted: a restarted witness has lost its records.
func (l *Ledger) IntentAcked(_ time.Duration, id TicketID, from Incarnation) bool {
	s := l.lockShard(id)
	defer s.mu.Unlock()
	a := s.active[id]
	if a == nil || a.phase != phaseAwaitingAck || a.witness != from {
		return false
	}
	a.phase = phaseReady
	return true
}

// IntentRefused seals an order whose intent the witness refused. It returns true when the
// order is now NotRun.
func (l *Ledger) IntentRefused(_ time.Duration, id TicketID) bool {
	return l.sealBeforePhase(id, phaseReady)
}

// SealUnacknowledged seals an order whose intent the witness did not acknowledge in time. It returns
// true when the order is now NotRun; a later acknowledgement changes nothing.
func (l *Ledger) SealUnacknowledged(_ time.Duration, id TicketID) bool {
	return l.sealBeforePhase(id, phaseReady)
}

func (l *Ledger) sealBeforePhase(id TicketID, limit phase) bool {
	s := l.lockShard(id)
	defer s.mu.Unlock()
	a := s.active[id]
	if a == nil || a.phase >= limit {
		return false
	}
	s.sealOrder(id, a)
	return true
}

func (s *ledgerShard) sealOrder(id TicketID, a *activeOrder) {
	delete(s.active, id)
	s.window.set(a.number, sealed)
}

// MarkSending is called directly before the first byte of an order is written. It returns
// true exactly once for an order, and only when the order may be sent. When it returns
// false, nothing may be written.
func (l *Ledger) MarkSending(_ time.Duration, id TicketID) bool {
	s := l.lockShard(id)
	defer s.mu.Unlock()
	a := s.active[id]
	if a == nil || a.phase != phaseReady {
		return false
	}
	a.phase = phaseSending
	return true
}

// Finish records the response of the upstream. It returns false when the order was not
// being sent.
func (l *Ledger) Finish(now time.Duration, id TicketID, response Response) bool {
	return l.finish(now, id, Outcome{Kind: Done, Response: response})
}

// FinishUnknown records that bytes of the order may have been sent and no response was
// received. It returns false when the order was not being sent.
func (l *Ledger) FinishUnknown(now time.Duration, id TicketID) bool {
	return l.finish(now, id, Outcome{Kind: Unknown})
}

func (l *Ledger) finish(now time.Duration, id TicketID, o Outcome) bool {
	s := l.lockShard(id)
	defer s.mu.Unlock()
	a := s.active[id]
	if a == nil || a.phase != phaseSending {
		return false
	}
	delete(s.active, id)
	if o.Response.size() > MaxStoredResponseBytes {
		o = Outcome{Kind: Unknown}
	}
	s.outcomes.Put(now, id, storedOutcome{bodyHash: a.bodyHash, outcome: o}, o.Response.size()+entryOverheadBytes)
	return true
}

// FinishNotRun seals an order of which provably no byte was sent, for example because the
// connection was refused. It returns false when the order was neither ready nor being
// sent.
func (l *Ledger) FinishNotRun(_ time.Duration, id TicketID) bool {
	s := l.lockShard(id)
	defer s.mu.Unlock()
	a := s.active[id]
	if a == nil || a.phase == phaseAwaitingAck {
		return false
	}
	s.sealOrder(id, a)
	return true
}

// Seal seals a ticket whose order has not been sent and returns its state: NotRun, or
// Running when bytes may already have been sent, or the stored outcome.
func (l *Ledger) Seal(now time.Duration, t Ticket) Outcome {
	if !l.isOwner(t) {
		return Outcome{Kind: NotOwner}
	}
	s := l.lockShard(t.ID)
	defer s.mu.Unlock()
	if a := s.active[t.ID]; a != nil && a.phase < phaseSending {
		s.sealOrder(t.ID, a)
		return Outcome{Kind: NotRun}
	}
	o := s.lookup(now, t, BodyHash{})
	if o.Kind == Issued {
		s.window.set(t.Number, sealed)
		o.Kind = NotRun
	}
	return o
}

// StopBeginning makes the ledger issue no more tickets and begin no more orders. Those that have begun go on.
func (l *Ledger) StopBeginning() {
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		s.closed = true
		s.mu.Unlock()
	}
}

// Close closes the ledger for a graceful shutdown: it issues no more tickets, begins no more
// orders and seals the orders that have begun but are not being sent. Orders that are
// being sent may still finish. It returns the orders that it sealed and that are now
// NotRun.
func (l *Ledger) Close(time.Duration) []TicketID {
	var ids []TicketID
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		s.closed = true
		for id, a := range s.active {
			if a.phase < phaseSending {
				s.sealOrder(id, a)
				ids = append(ids, id)
			}
		}
		s.mu.Unlock()
	}
	sortTicketIDs(ids)
	return ids
}

// ActiveOrders returns the number of orders that have begun and are not finished.
func (l *Ledger) ActiveOrders() int {
	n := 0
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		n += len(s.active)
		s.mu.Unlock()
	}
	return n
}
