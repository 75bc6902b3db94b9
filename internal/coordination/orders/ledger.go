package orders

import (
	"io"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccabridge/yuccabridge/internal/state/expiring"
)

// shardCount is the number of separately locked parts of a ledger, a witness and a flow.
const shardCount = 16

// Defaults of the bounds. The answers of a ledger, a witness and a successor together
// stay within 64 MB per instance.
const (
	DefaultRetention       = 15 * time.Minute
	DefaultLedgerAnswers   = 24 << 20
	DefaultWitnessAnswers  = 24 << 20
	DefaultHandoverAnswers = 16 << 20
	// DefaultWindow is the number of latest tickets whose use stays recorded: 1 MiB at
	// two bits each.
	DefaultWindow = 1 << 22
	// DefaultOutcomes bounds the finished orders whose outcome is kept.
	DefaultOutcomes = 1 << 17
	// DefaultActive bounds the orders that have begun and are not finished.
	DefaultActive = 1 << 14
	// MaxStoredAnswer is the size of the largest answer that is kept and copied, so
	// that it fits into a peer frame of 2 MiB.
	MaxStoredAnswer = 1 << 20

	// recordCost is added to the size of an answer for the record that holds it.
	recordCost = 256
)

// LedgerOptions configures a Ledger. Zero bounds take the defaults.
type LedgerOptions struct {
	Self    Member
	Keys    Keyring
	Random  io.Reader // source of ticket identifiers
	Answers int64     // bound on the bytes of stored answers
	// Outcomes, Active and Window bound the stored outcomes, the orders in progress and
	// the tickets whose use stays recorded.
	Outcomes, Active, Window int
	Retention                time.Duration
}

func (o LedgerOptions) withDefaults() LedgerOptions {
	o.Answers = orDefault(o.Answers, DefaultLedgerAnswers)
	o.Outcomes = orDefault(o.Outcomes, DefaultOutcomes)
	o.Active = orDefault(o.Active, DefaultActive)
	o.Window = orDefault(o.Window, DefaultWindow)
	o.Retention = orDefault(o.Retention, DefaultRetention)
	return o
}

func orDefault[T comparable](v, fallback T) T {
	var zero T
	if v == zero {
		return fallback
	}
	return v
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
	numbers  numbers
	active   map[TicketID]*attempt
	finished *expiring.Map[TicketID, finished]
}

// attempt is an order that has begun. Its issue number is recorded as used from the
// start, so that losing the attempt or its outcome can never make the order run again.
type attempt struct {
	number  uint64
	body    BodyHash
	witness Incarnation
	phase   phase
}

type phase uint8

const (
	phaseIntent  phase = iota // the witness has not acknowledged
	phaseReady                // may be sent
	phaseSending              // bytes may have left
)

// NewLedger returns an empty ledger of the incarnation o.Self.
func NewLedger(o LedgerOptions) *Ledger {
	l := &Ledger{options: o.withDefaults()}
	for i := range l.shards {
		s := &l.shards[i]
		s.numbers = newNumbers(perShard(l.options.Window))
		s.active = make(map[TicketID]*attempt)
		s.finished = expiring.New(expiring.Options[TicketID, finished]{
			TTL:        l.options.Retention,
			MaxEntries: perShard(l.options.Outcomes),
			MaxCost:    perShard(l.options.Answers),
		})
	}
	return l
}

// Issue returns a new ticket. The witness is the zero Member when the owner is alone.
func (l *Ledger) Issue(_ time.Duration, team string, witness Member) (Ticket, error) {
	if len(team) > MaxTeamSize {
		return Ticket{}, errors.WithStack(ErrTeamName)
	}
	if !l.options.Self.valid() || !witness.IsZero() && !witness.valid() || witness.Incarnation == l.options.Self.Incarnation {
		return Ticket{}, errors.WithStack(ErrMember)
	}
	t := Ticket{Owner: l.options.Self, Witness: witness, Team: team}
	if err := l.random(t.ID[:]); err != nil {
		return Ticket{}, err
	}
	s := &l.shards[t.ID.shard()]
	s.mu.Lock()
	closed := s.closed
	if !closed {
		t.Number = s.numbers.issue()
	}
	s.mu.Unlock()
	if closed {
		return Ticket{}, errors.WithStack(ErrClosed)
	}
	l.options.Keys.sign(&t)
	return t, nil
}

func (l *Ledger) random(b []byte) error {
	l.randomMu.Lock()
	defer l.randomMu.Unlock()
	_, err := io.ReadFull(l.options.Random, b)
	return errors.Wrap(err, "random number of a ticket")
}

func (l *Ledger) owns(t Ticket) bool {
	return t.Owner.Incarnation == l.options.Self.Incarnation
}

func (l *Ledger) lock(id TicketID) *ledgerShard {
	s := &l.shards[id.shard()]
	s.mu.Lock()
	return s
}

// Begin decides what to do with an order that arrived with an authentic ticket.
func (l *Ledger) Begin(now time.Duration, t Ticket, body BodyHash) Decision {
	if !l.owns(t) {
		return Decision{Action: ActionForward}
	}
	s := l.lock(t.ID)
	defer s.mu.Unlock()
	if a := s.active[t.ID]; a != nil {
		if a.body != body {
			return report(WrongBody)
		}
		return Decision{Action: ActionAttach}
	}
	if o := s.outcome(now, t, body); o.Kind != Issued {
		return Decision{Outcome: o}
	}
	if s.closed || len(s.active) >= perShard(l.options.Active) {
		s.numbers.set(t.Number, sealed)
		return report(NotRun)
	}
	s.numbers.set(t.Number, used)
	a := &attempt{number: t.Number, body: body, witness: t.Witness.Incarnation}
	s.active[t.ID] = a
	if t.Witness.IsZero() {
		a.phase = phaseReady
		return Decision{Action: ActionSend}
	}
	return Decision{Action: ActionRecordIntent}
}

// Status returns the state of a ticket without beginning it.
func (l *Ledger) Status(now time.Duration, t Ticket) Outcome {
	if !l.owns(t) {
		return Outcome{Kind: NotOwner}
	}
	s := l.lock(t.ID)
	defer s.mu.Unlock()
	return s.outcome(now, t, BodyHash{})
}

// outcome returns what is recorded about a ticket.
func (s *ledgerShard) outcome(now time.Duration, t Ticket, body BodyHash) Outcome {
	if s.active[t.ID] != nil {
		return Outcome{Kind: Running}
	}
	if f, ok := s.finished.Peek(now, t.ID); ok {
		return f.outcomeFor(body)
	}
	switch s.numbers.get(t.Number) {
	case unused:
		return Outcome{Kind: Issued}
	case sealed:
		return Outcome{Kind: NotRun}
	default:
		return Outcome{Kind: Unknown}
	}
}

// IntentAcked records the acknowledgement of the intent by the given incarnation. It
// returns true when the order may now be sent. Only the incarnation that the ticket
// names counts: a restarted witness has lost what it knew.
func (l *Ledger) IntentAcked(_ time.Duration, id TicketID, from Incarnation) bool {
	s := l.lock(id)
	defer s.mu.Unlock()
	a := s.active[id]
	if a == nil || a.phase != phaseIntent || a.witness != from {
		return false
	}
	a.phase = phaseReady
	return true
}

// IntentRefused seals an order whose intent the witness refused. It returns true when the
// order is now NotRun.
func (l *Ledger) IntentRefused(_ time.Duration, id TicketID) bool {
	return l.sealBefore(id, phaseReady)
}

// WitnessUnreachable seals an order whose intent was not acknowledged in time. It returns
// true when the order is now NotRun; a later acknowledgement changes nothing.
func (l *Ledger) WitnessUnreachable(_ time.Duration, id TicketID) bool {
	return l.sealBefore(id, phaseReady)
}

func (l *Ledger) sealBefore(id TicketID, limit phase) bool {
	s := l.lock(id)
	defer s.mu.Unlock()
	a := s.active[id]
	if a == nil || a.phase >= limit {
		return false
	}
	s.sealAttempt(id, a)
	return true
}

func (s *ledgerShard) sealAttempt(id TicketID, a *attempt) {
	delete(s.active, id)
	s.numbers.set(a.number, sealed)
}

// MarkSending is the last step before bytes leave. It returns true exactly once for an
// order, and only when the order may be sent. When it returns false no byte may leave.
func (l *Ledger) MarkSending(_ time.Duration, id TicketID) bool {
	s := l.lock(id)
	defer s.mu.Unlock()
	a := s.active[id]
	if a == nil || a.phase != phaseReady {
		return false
	}
	a.phase = phaseSending
	return true
}

// Finish records the answer of the upstream. It returns false when the order was not
// being sent.
func (l *Ledger) Finish(now time.Duration, id TicketID, answer Answer) bool {
	return l.finish(now, id, Outcome{Kind: Done, Answer: answer})
}

// FinishUnknown records that bytes of the order may have left and no answer came. It
// returns false when the order was not being sent.
func (l *Ledger) FinishUnknown(now time.Duration, id TicketID) bool {
	return l.finish(now, id, Outcome{Kind: Unknown})
}

func (l *Ledger) finish(now time.Duration, id TicketID, o Outcome) bool {
	s := l.lock(id)
	defer s.mu.Unlock()
	a := s.active[id]
	if a == nil || a.phase != phaseSending {
		return false
	}
	delete(s.active, id)
	if o.Answer.cost() > MaxStoredAnswer {
		o = Outcome{Kind: Unknown}
	}
	s.finished.Put(now, id, finished{body: a.body, outcome: o}, o.Answer.cost()+recordCost)
	return true
}

// FinishNotRun seals an order of which provably no byte has left, for example because
// the connection was refused. It returns false when the order was not ready or being sent.
func (l *Ledger) FinishNotRun(_ time.Duration, id TicketID) bool {
	s := l.lock(id)
	defer s.mu.Unlock()
	a := s.active[id]
	if a == nil || a.phase == phaseIntent {
		return false
	}
	s.sealAttempt(id, a)
	return true
}

// Seal ends a ticket whose order has not been sent and returns its state: NotRun, or
// Running when bytes may already have left, or the stored outcome.
func (l *Ledger) Seal(now time.Duration, t Ticket) Outcome {
	if !l.owns(t) {
		return Outcome{Kind: NotOwner}
	}
	s := l.lock(t.ID)
	defer s.mu.Unlock()
	if a := s.active[t.ID]; a != nil && a.phase < phaseSending {
		s.sealAttempt(t.ID, a)
		return Outcome{Kind: NotRun}
	}
	o := s.outcome(now, t, BodyHash{})
	if o.Kind == Issued {
		s.numbers.set(t.Number, sealed)
		o.Kind = NotRun
	}
	return o
}

// Close seals the ledger as a whole for a planned stop: no ticket is issued and no order
// begins any more. Orders that are being sent may still finish. It returns the orders
// that had begun and are now NotRun.
func (l *Ledger) Close(time.Duration) []TicketID {
	var ids []TicketID
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		s.closed = true
		for id, a := range s.active {
			if a.phase < phaseSending {
				s.sealAttempt(id, a)
				ids = append(ids, id)
			}
		}
		s.mu.Unlock()
	}
	sortIDs(ids)
	return ids
}

// Running returns the number of orders that have begun and are not finished.
func (l *Ledger) Running() int {
	n := 0
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		n += len(s.active)
		s.mu.Unlock()
	}
	return n
}
