package orders

import (
	"sync"
	"time"

	"github.com/yuccabridge/yuccabridge/internal/state/expiring"
)

const (
	// DefaultMaxWitnessRecords limits the tickets of which a witness keeps a record.
	DefaultMaxWitnessRecords = 1 << 16
	// DefaultMaxWitnessOwners limits the owners for which a witness keeps an eviction mark.
	DefaultMaxWitnessOwners = 1 << 16
)

// WitnessOptions configures a Witness. Limits of zero take the defaults.
type WitnessOptions struct {
	Self                  Incarnation
	MaxResponseBytes      int64 // limit on the total size of stored responses
	MaxRecords, MaxOwners int
	Retention             time.Duration
}

// Witness is the component of an instance that records intents and outcomes of orders whose
// tickets name this instance in Ticket.Witness. The owners of these orders are other instances.
// It is safe for concurrent use.
type Witness struct {
	self       Incarnation
	maxMarks   int // limit on the eviction marks of one shard
	maxRecords int // limit on the records of one shard
	shards     [shardCount]witnessShard
}

type witnessShard struct {
	mu        sync.Mutex
	records   *expiring.Map[TicketID, witnessRecord]
	responses *expiring.Map[TicketID, Response]
	// evictionMarks holds, for each owner of which a record was evicted, the number after
	// the highest evicted issue number. The record of a ticket below the mark may have
	// been evicted: without a record, its intent is refused and its outcome is Unknown.
	evictionMarks map[Incarnation]uint64
}

type witnessRecord struct {
	owner    Incarnation
	number   uint64
	bodyHash BodyHash
	kind     OutcomeKind // Running for an intent without an outcome
}

// NewWitness returns a witness without records.
func NewWitness(options WitnessOptions) *Witness {
	w := &Witness{
		self:       options.Self,
		maxRecords: perShard(valueOr(options.MaxRecords, DefaultMaxWitnessRecords)),
		maxMarks:   perShard(valueOr(options.MaxOwners, DefaultMaxWitnessOwners)),
	}
	for i := range w.shards {
		s := &w.shards[i]
		s.evictionMarks = make(map[Incarnation]uint64)
		s.responses = expiring.New(expiring.Options[TicketID, Response]{
			TTL:        valueOr(options.Retention, DefaultRetention),
			MaxCost:    perShard(valueOr(options.MaxResponseBytes, DefaultWitnessResponseBytes)),
			MaxEntries: w.maxRecords,
		})
		s.records = expiring.New(expiring.Options[TicketID, witnessRecord]{
			MaxEntries: w.maxRecords,
			OnEvict:    s.onEvict,
		})
	}
	return w
}

// onEvict raises the eviction mark of the owner of an evicted record and deletes the
// response stored for it.
func (s *witnessShard) onEvict(id TicketID, r witnessRecord) {
	s.evictionMarks[r.owner] = max(s.evictionMarks[r.owner], r.number+1)
	s.responses.Delete(id)
}

// lookup returns the record of a ticket. evicted is true when there is no record but one may
// have been evicted.
func (s *witnessShard) lookup(now time.Duration, t Ticket) (r witnessRecord, found, evicted bool) {
	r, found = s.records.Peek(now, t.ID)
	return r, found, !found && t.Number < s.evictionMarks[t.Owner.Incarnation]
}

// store stores a record and reports whether there was room. Evicting the oldest record
// requires an eviction mark for its owner.
func (w *Witness) store(now time.Duration, s *witnessShard, t Ticket, r witnessRecord) bool {
	if _, exists := s.records.Peek(now, t.ID); !exists && s.records.Len() >= w.maxRecords {
		_, oldest, _ := s.records.Oldest()
		if _, marked := s.evictionMarks[oldest.owner]; !marked && len(s.evictionMarks) >= w.maxMarks {
			return false
		}
	}
	r.owner, r.number = t.Owner.Incarnation, t.Number
	s.records.Put(now, t.ID, r, 0) // cost 0: only the number of records is limited
	return true
}

func (w *Witness) isWitnessOf(t Ticket) bool { return t.Witness.Incarnation == w.self }

func (w *Witness) lockShard(id TicketID) *witnessShard {
	s := &w.shards[id.shard()]
	s.mu.Lock()
	return s
}

// RecordIntent records that the owner is about to send the order and returns true as the
// acknowledgement. A repeated intent is acknowledged again. The intent is refused when
// the ticket is sealed or finished, or when its record may have been evicted.
func (w *Witness) RecordIntent(now time.Duration, t Ticket, bodyHash BodyHash) bool {
	if !w.isWitnessOf(t) {
		return false
	}
	s := w.lockShard(t.ID)
	defer s.mu.Unlock()
	r, found, evicted := s.lookup(now, t)
	switch {
	case found:
		return r.kind == Running && r.bodyHash == bodyHash
	case evicted:
		return false
	default:
		return w.store(now, s, t, witnessRecord{bodyHash: bodyHash, kind: Running})
	}
}

// RecordOutcome records the outcome that the owner reports. An outcome may arrive before a
// delayed intent; the intent is then refused. Later outcomes do not replace the first one.
func (w *Witness) RecordOutcome(now time.Duration, t Ticket, bodyHash BodyHash, o Outcome) {
	if !w.isWitnessOf(t) || o.Kind != Done && o.Kind != NotRun {
		return
	}
	s := w.lockShard(t.ID)
	defer s.mu.Unlock()
	r, found, evicted := s.lookup(now, t)
	if evicted || found && r.kind != Running {
		return
	}
	if !w.store(now, s, t, witnessRecord{bodyHash: bodyHash, kind: o.Kind}) || o.Kind != Done {
		return
	}
	if cost := o.Response.size(); cost <= MaxStoredResponseBytes {
		s.responses.Put(now, t.ID, o.Response, cost+entryOverheadBytes)
	}
}

// Query returns the outcome of an order whose owner cannot be reached. When no intent is
// recorded, it seals the ticket and returns NotRun: a later intent is refused, and the
// owner does not send without an acknowledgement. It returns NotOwner when the ticket
// names another incarnation as its witness.
func (w *Witness) Query(now time.Duration, t Ticket, bodyHash BodyHash) Outcome {
	if !w.isWitnessOf(t) {
		return Outcome{Kind: NotOwner}
	}
	s := w.lockShard(t.ID)
	defer s.mu.Unlock()
	r, found, evicted := s.lookup(now, t)
	if evicted || !found && !w.store(now, s, t, witnessRecord{kind: NotRun}) {
		return Outcome{Kind: Unknown}
	}
	if !found || r.kind == NotRun {
		return Outcome{Kind: NotRun}
	}
	if bodyMismatch(r.bodyHash, bodyHash) {
		return Outcome{Kind: WrongBody}
	}
	if response, stored := s.responses.Peek(now, t.ID); stored {
		return Outcome{Kind: Done, Response: response}
	}
	return Outcome{Kind: Unknown}
}
