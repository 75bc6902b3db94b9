package orders

import (
	"sync"
	"time"

	"github.com/yuccabridge/yuccabridge/internal/state/expiring"
)

const (
	// DefaultWitnessRecords bounds the tickets that a witness keeps a record of.
	DefaultWitnessRecords = 1 << 16
	// DefaultWitnessOwners bounds the owners of which a witness has dropped records.
	DefaultWitnessOwners = 1 << 16
)

// WitnessOptions configures a Witness. Zero bounds take the defaults.
type WitnessOptions struct {
	Self            Incarnation
	Answers         int64 // bound on the bytes of stored answers
	Records, Owners int
	Retention       time.Duration
}

// Witness records intents and outcomes of orders whose tickets name its incarnation. It
// is safe for concurrent use.
type Witness struct {
	self   Incarnation
	owners int // bound on the marks of one shard
	limit  int // bound on the records of one shard
	shards [shardCount]witnessShard
}

type witnessShard struct {
	mu      sync.Mutex
	records *expiring.Map[TicketID, witnessRecord]
	answers *expiring.Map[TicketID, Answer]
	// marks holds, for each owner of which a record was dropped, the number after the
	// highest dropped one. A ticket below the mark without a record may have been
	// dropped: its intent is refused and its outcome is unknown.
	marks map[Incarnation]uint64
}

type witnessRecord struct {
	owner  Incarnation
	number uint64
	body   BodyHash
	kind   Kind // Running for an intent without outcome
}

// NewWitness returns a witness that knows nothing.
func NewWitness(o WitnessOptions) *Witness {
	w := &Witness{
		self:   o.Self,
		limit:  perShard(orDefault(o.Records, DefaultWitnessRecords)),
		owners: perShard(orDefault(o.Owners, DefaultWitnessOwners)),
	}
	for i := range w.shards {
		s := &w.shards[i]
		s.marks = make(map[Incarnation]uint64)
		s.answers = expiring.New(expiring.Options[TicketID, Answer]{
			TTL:        orDefault(o.Retention, DefaultRetention),
			MaxCost:    perShard(orDefault(o.Answers, DefaultWitnessAnswers)),
			MaxEntries: w.limit,
		})
		s.records = expiring.New(expiring.Options[TicketID, witnessRecord]{
			MaxEntries: w.limit,
			OnEvict:    s.drop,
		})
	}
	return w
}

// drop raises the mark of the owner of a record that is evicted.
func (s *witnessShard) drop(id TicketID, r witnessRecord) {
	s.marks[r.owner] = max(s.marks[r.owner], r.number+1)
	s.answers.Delete(id)
}

// find returns the record of a ticket; dropped is true when there is none and there may
// have been one.
func (s *witnessShard) find(now time.Duration, t Ticket) (r witnessRecord, ok, dropped bool) {
	r, ok = s.records.Peek(now, t.ID)
	return r, ok, !ok && t.Number < s.marks[t.Owner.Incarnation]
}

// store keeps a record if there is room: dropping the oldest record needs a mark for its
// owner.
func (w *Witness) store(now time.Duration, s *witnessShard, t Ticket, r witnessRecord) bool {
	if _, exists := s.records.Peek(now, t.ID); !exists && s.records.Len() >= w.limit {
		_, oldest, _ := s.records.Oldest()
		if _, marked := s.marks[oldest.owner]; !marked && len(s.marks) >= w.owners {
			return false
		}
	}
	r.owner, r.number = t.Owner.Incarnation, t.Number
	s.records.Put(now, t.ID, r, 0)
	return true
}

func (w *Witness) names(t Ticket) bool { return t.Witness.Incarnation == w.self }

func (w *Witness) lock(id TicketID) *witnessShard {
	s := &w.shards[id.shard()]
	s.mu.Lock()
	return s
}

// Intent records that the owner is about to send the order and returns true as the
// acknowledgement. A repeated intent is acknowledged again. The intent is refused when
// the ticket is sealed, finished, or may have been dropped.
func (w *Witness) Intent(now time.Duration, t Ticket, body BodyHash) bool {
	if !w.names(t) {
		return false
	}
	s := w.lock(t.ID)
	defer s.mu.Unlock()
	r, ok, dropped := s.find(now, t)
	switch {
	case ok:
		return r.kind == Running && r.body == body
	case dropped:
		return false
	default:
		return w.store(now, s, t, witnessRecord{body: body, kind: Running})
	}
}

// Outcome records the outcome that the owner reports. An outcome may arrive before the
// delayed intent; the intent is then refused. The first outcome stays.
func (w *Witness) Outcome(now time.Duration, t Ticket, body BodyHash, o Outcome) {
	if !w.names(t) || o.Kind != Done && o.Kind != NotRun {
		return
	}
	s := w.lock(t.ID)
	defer s.mu.Unlock()
	r, ok, dropped := s.find(now, t)
	if dropped || ok && r.kind != Running {
		return
	}
	if !w.store(now, s, t, witnessRecord{body: body, kind: o.Kind}) || o.Kind != Done {
		return
	}
	if cost := o.Answer.cost(); cost <= MaxStoredAnswer {
		s.answers.Put(now, t.ID, o.Answer, cost+recordCost)
	}
}

// Query returns what is known about an order whose owner cannot be reached. When no
// intent is present, it seals the ticket and returns NotRun: a later intent is refused,
// and the owner does not send without an acknowledgement. It returns NotOwner when the
// ticket names another incarnation.
func (w *Witness) Query(now time.Duration, t Ticket, body BodyHash) Outcome {
	if !w.names(t) {
		return Outcome{Kind: NotOwner}
	}
	s := w.lock(t.ID)
	defer s.mu.Unlock()
	r, ok, dropped := s.find(now, t)
	if dropped || !ok && !w.store(now, s, t, witnessRecord{kind: NotRun}) {
		return Outcome{Kind: Unknown}
	}
	if !ok || r.kind == NotRun {
		return Outcome{Kind: NotRun}
	}
	if mismatch(r.body, body) {
		return Outcome{Kind: WrongBody}
	}
	if a, stored := s.answers.Peek(now, t.ID); stored {
		return Outcome{Kind: Done, Answer: a}
	}
	return Outcome{Kind: Unknown}
}
