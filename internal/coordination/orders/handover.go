package orders

import (
	"bytes"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccabridge/yuccabridge/internal/state/expiring"
)

const (
	// handoverPartSize limits the answers in one part so that it fits into a peer frame.
	handoverPartSize = 1 << 20
	// maxHandoverParts limits what a successor accepts from one owner.
	maxHandoverParts = 4096
	// handoverLifetime is how long a successor answers for an owner.
	handoverLifetime = 24 * time.Hour
	// maxHandoverBytes bounds the recorded uses that a successor keeps for all owners.
	maxHandoverBytes = 8 << 20
	// maxHandoverOwners bounds the owners that a successor answers for.
	maxHandoverOwners = 256
)

// HandoverPart is one message of a handover. Each shard of the ledger has one part with
// the uses of its tickets; all parts carry outcomes.
type HandoverPart struct {
	Owner        Incarnation
	Index, Count int
	Shard        int // -1 when the part carries outcomes only
	Low, Next    uint64
	Uses         []byte
	Outcomes     []HandoverOutcome
}

// HandoverOutcome is one finished order in a handover.
type HandoverOutcome struct {
	ID      TicketID
	Body    BodyHash
	Outcome Outcome
	Left    time.Duration // rest of the retention
}

func sortIDs(ids []TicketID) {
	slices.SortFunc(ids, func(a, b TicketID) int { return bytes.Compare(a[:], b[:]) })
}

// Export closes the ledger and returns its finished outcomes and the uses of all tickets.
// An order that is still being sent is exported as used: its outcome is unknown to the
// successor.
func (l *Ledger) Export(now time.Duration) []HandoverPart {
	l.Close(now)
	var parts []HandoverPart
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		first := HandoverPart{Shard: i, Low: s.numbers.low, Next: s.numbers.next, Uses: s.numbers.pack()}
		parts = appendParts(parts, first, func(add func(HandoverOutcome)) {
			s.finished.All(now, func(id TicketID, f finished, left time.Duration) bool {
				add(HandoverOutcome{ID: id, Body: f.body, Outcome: f.outcome, Left: left})
				return true
			})
		})
		s.mu.Unlock()
	}
	return numberParts(parts, l.options.Self.Incarnation)
}

// appendParts appends first, filled with the outcomes that each produces, and as many
// further parts as their size needs.
func appendParts(parts []HandoverPart, first HandoverPart, each func(add func(HandoverOutcome))) []HandoverPart {
	part, size := first, int64(len(first.Uses))
	each(func(o HandoverOutcome) {
		cost := o.Outcome.Answer.cost() + recordCost
		if size > 0 && size+cost > handoverPartSize {
			parts = append(parts, part)
			part, size = HandoverPart{Shard: -1}, 0
		}
		part.Outcomes = append(part.Outcomes, o)
		size += cost
	})
	return append(parts, part)
}

func numberParts(parts []HandoverPart, owner Incarnation) []HandoverPart {
	for i := range parts {
		parts[i].Owner, parts[i].Index, parts[i].Count = owner, i, len(parts)
	}
	return parts
}

// Successor answers for owners that stopped and handed their ledgers over. It is safe for
// concurrent use.
type Successor struct {
	mu       sync.Mutex
	owners   *expiring.Map[Incarnation, *inheritance]
	outcomes *expiring.Map[TicketID, finished]
}

// inheritance is the handover of one owner. It answers only once all parts have arrived.
type inheritance struct {
	count    int
	received map[int]bool
	uses     [shardCount]packed
	shards   int
	bytes    int64
}

func (h *inheritance) complete() bool {
	return len(h.received) == h.count && h.shards == shardCount
}

// SuccessorOptions configures a Successor. Zero values take the defaults.
type SuccessorOptions struct {
	Answers   int64 // bound on the bytes of stored answers
	Retention time.Duration
}

// NewSuccessor returns a successor of no owner.
func NewSuccessor(o SuccessorOptions) *Successor {
	return &Successor{
		owners: expiring.New(expiring.Options[Incarnation, *inheritance]{
			TTL: handoverLifetime, MaxEntries: maxHandoverOwners, MaxCost: maxHandoverBytes,
		}),
		outcomes: expiring.New(expiring.Options[TicketID, finished]{
			TTL:     orDefault(o.Retention, DefaultRetention),
			MaxCost: orDefault(o.Answers, DefaultHandoverAnswers),
		}),
	}
}

// Import takes one part of a handover. It returns true when the handover is complete;
// a repeated part changes nothing.
func (s *Successor) Import(now time.Duration, p HandoverPart) (bool, error) {
	if p.Count < shardCount || p.Count > maxHandoverParts || p.Index < 0 || p.Index >= p.Count || p.Shard < -1 || p.Shard >= shardCount {
		return false, errors.Errorf("handover part %d of %d for shard %d is invalid", p.Index, p.Count, p.Shard)
	}
	uses, err := newPacked(p.Low, p.Next, p.Uses)
	if err != nil {
		return false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.owners.Get(now, p.Owner)
	if !ok {
		h = &inheritance{count: p.Count, received: make(map[int]bool)}
	}
	if h.count != p.Count {
		return false, errors.Errorf("handover has %d parts, earlier parts said %d", p.Count, h.count)
	}
	if h.received[p.Index] {
		return h.complete(), nil
	}
	h.received[p.Index] = true
	if p.Shard >= 0 {
		h.uses[p.Shard] = uses
		h.shards++
	}
	for _, o := range p.Outcomes {
		s.outcomes.Put(now, o.ID, finished{body: o.Body, outcome: o.Outcome}, o.Outcome.Answer.cost()+recordCost)
	}
	h.bytes += int64(len(p.Uses)) + recordCost
	return s.owners.Put(now, p.Owner, h, h.bytes) && h.complete(), nil
}

// Answer returns the outcome of a ticket of an owner that handed over, and false when no
// complete handover of that owner is present. A ticket that was never begun is NotRun,
// because its owner sealed itself as a whole.
func (s *Successor) Answer(now time.Duration, t Ticket, body BodyHash) (Outcome, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	h, ok := s.owners.Get(now, t.Owner.Incarnation)
	if !ok || !h.complete() {
		return Outcome{}, false
	}
	if f, ok := s.outcomes.Peek(now, t.ID); ok {
		return f.outcomeFor(body), true
	}
	switch h.uses[t.ID.shard()].get(t.Number) {
	case unused, sealed:
		return Outcome{Kind: NotRun}, true
	default:
		return Outcome{Kind: Unknown}, true
	}
}

// Export returns the complete handovers that s holds, for its own planned stop. The
// outcomes of all owners travel with the first one.
func (s *Successor) Export(now time.Duration) []HandoverPart {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []HandoverPart
	outcomes := func(add func(HandoverOutcome)) {
		s.outcomes.All(now, func(id TicketID, f finished, left time.Duration) bool {
			add(HandoverOutcome{ID: id, Body: f.body, Outcome: f.outcome, Left: left})
			return true
		})
	}
	s.owners.All(now, func(owner Incarnation, h *inheritance, _ time.Duration) bool {
		if !h.complete() {
			return true
		}
		var parts []HandoverPart
		for i, u := range h.uses {
			first := HandoverPart{Shard: i, Low: u.low, Next: u.next, Uses: u.bytes}
			parts = appendParts(parts, first, outcomes)
			outcomes = func(func(HandoverOutcome)) {}
		}
		all = append(all, numberParts(parts, owner)...)
		return true
	})
	return all
}
