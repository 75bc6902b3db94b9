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
	// maxHandoverPartBytes limits the outcomes in one part so that it fits into a peer frame.
	maxHandoverPartBytes = 1 << 20
	// maxHandoverParts limits the parts that a successor accepts from one owner.
	maxHandoverParts = 4096
	// handoverTTL is how long a successor serves requests for a stopped owner.
	handoverTTL = 24 * time.Hour
	// maxHandoverUsageBytes limits the encoded ticket usage that a successor keeps for all
	// owners.
	maxHandoverUsageBytes = 8 << 20
	// maxHandoverOwners limits the stopped owners that a successor serves requests for.
	maxHandoverOwners = 256
)

// HandoverPart is one message of a handover, in which a stopping owner sends its ledger to its
// successor. For each shard of the ledger, one part carries
// the usage of its tickets; every part may carry outcomes.
type HandoverPart struct {
	Owner        Incarnation
	Index, Count int
	Shard        int    // -1 when the part carries outcomes only
	Low, Next    uint64 // the issue numbers in Uses are [Low, Next)
	Uses         []byte // encoded ticket usage
	Outcomes     []HandoverOutcome
}

// HandoverOutcome is one finished order in a handover. The name of BodyHash in messages between
// instances is Body.
type HandoverOutcome struct {
	ID       TicketID
	BodyHash BodyHash `msgpack:"Body"`
	Outcome  Outcome
	Left     time.Duration // remaining retention
}

func sortTicketIDs(ids []TicketID) {
	slices.SortFunc(ids, func(a, b TicketID) int { return bytes.Compare(a[:], b[:]) })
}

// Export closes the ledger and returns its stored outcomes and the usage of all tickets. An
// order that is still being sent is exported as used, so the successor reports it as
// Unknown.
func (l *Ledger) Export(now time.Duration) []HandoverPart {
	l.Close(now)
	var parts []HandoverPart
	for i := range l.shards {
		s := &l.shards[i]
		s.mu.Lock()
		first := HandoverPart{Shard: i, Low: s.window.low, Next: s.window.next, Uses: s.window.encode()}
		parts = appendParts(parts, first, func(add func(HandoverOutcome)) {
			s.outcomes.All(now, func(id TicketID, stored storedOutcome, left time.Duration) bool {
				add(HandoverOutcome{ID: id, BodyHash: stored.bodyHash, Outcome: stored.outcome, Left: left})
				return true
			})
		})
		s.mu.Unlock()
	}
	return numberParts(parts, l.options.Self.Incarnation)
}

// appendParts appends first, filled with the outcomes that forEach passes to add, and as
// many further parts as the size of the outcomes requires.
func appendParts(parts []HandoverPart, first HandoverPart, forEach func(add func(HandoverOutcome))) []HandoverPart {
	part, size := first, int64(len(first.Uses))
	forEach(func(o HandoverOutcome) {
		cost := o.Outcome.Response.size() + entryOverheadBytes
		if size > 0 && size+cost > maxHandoverPartBytes {
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

// Successor is the component of an instance that holds the ledgers handed over to it and
// serves requests for their stopped owners. It is safe for concurrent use.
type Successor struct {
	mu       sync.Mutex
	owners   *expiring.Map[Incarnation, *importedLedger]
	outcomes *expiring.Map[TicketID, storedOutcome]
}

// importedLedger is the handed-over ledger of one owner. It is used only after all parts
// have been received.
type importedLedger struct {
	partCount      int
	received       map[int]bool
	usage          [shardCount]usageSnapshot
	shardsReceived int
	size           int64
}

func (l *importedLedger) complete() bool {
	return len(l.received) == l.partCount && l.shardsReceived == shardCount
}

// SuccessorOptions configures a Successor. Zero values take the defaults.
type SuccessorOptions struct {
	MaxResponseBytes int64 // limit on the total size of stored responses
	Retention        time.Duration
}

// NewSuccessor returns a successor without imported ledgers.
func NewSuccessor(options SuccessorOptions) *Successor {
	return &Successor{
		owners: expiring.New(expiring.Options[Incarnation, *importedLedger]{
			TTL: handoverTTL, MaxEntries: maxHandoverOwners, MaxCost: maxHandoverUsageBytes,
		}),
		outcomes: expiring.New(expiring.Options[TicketID, storedOutcome]{
			TTL:     valueOr(options.Retention, DefaultRetention),
			MaxCost: valueOr(options.MaxResponseBytes, DefaultSuccessorResponseBytes),
		}),
	}
}

// Import stores one part of a handover and returns true when the handover is complete. A
// repeated part is ignored.
func (s *Successor) Import(now time.Duration, p HandoverPart) (bool, error) {
	if p.Count < shardCount || p.Count > maxHandoverParts || p.Index < 0 || p.Index >= p.Count || p.Shard < -1 || p.Shard >= shardCount {
		return false, errors.Errorf("handover part %d of %d for shard %d is invalid", p.Index, p.Count, p.Shard)
	}
	usage, err := newUsageSnapshot(p.Low, p.Next, p.Uses)
	if err != nil {
		return false, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	imported, ok := s.owners.Get(now, p.Owner)
	if !ok {
		imported = &importedLedger{partCount: p.Count, received: make(map[int]bool)}
	}
	if imported.partCount != p.Count {
		return false, errors.Errorf("handover part announces %d parts, earlier parts announced %d", p.Count, imported.partCount)
	}
	if imported.received[p.Index] {
		return imported.complete(), nil
	}
	imported.received[p.Index] = true
	if p.Shard >= 0 {
		imported.usage[p.Shard] = usage
		imported.shardsReceived++
	}
	for _, o := range p.Outcomes {
		s.outcomes.Put(now, o.ID, storedOutcome{bodyHash: o.BodyHash, outcome: o.Outcome}, o.Outcome.Response.size()+entryOverheadBytes)
	}
	imported.size += int64(len(p.Uses)) + entryOverheadBytes
	return s.owners.Put(now, p.Owner, imported, imported.size) && imported.complete(), nil
}

// Lookup returns the outcome of a ticket of an owner that handed over its ledger, and false
// when no complete handover of that owner is present. A ticket that was never begun is
// NotRun, because the owner closed its whole ledger before it exported it.
func (s *Successor) Lookup(now time.Duration, t Ticket, bodyHash BodyHash) (Outcome, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	imported, ok := s.owners.Get(now, t.Owner.Incarnation)
	if !ok || !imported.complete() {
		return Outcome{}, false
	}
	if stored, ok := s.outcomes.Peek(now, t.ID); ok {
		return stored.outcomeFor(bodyHash), true
	}
	switch imported.usage[t.ID.shard()].get(t.Number) {
	case unused, sealed:
		return Outcome{Kind: NotRun}, true
	default:
		return Outcome{Kind: Unknown}, true
	}
}

// Export returns the complete handovers that s holds, for the graceful shutdown of
// its own instance. The handover of the first owner carries the outcomes of all owners.
func (s *Successor) Export(now time.Duration) []HandoverPart {
	s.mu.Lock()
	defer s.mu.Unlock()
	var all []HandoverPart
	forEachOutcome := func(add func(HandoverOutcome)) {
		s.outcomes.All(now, func(id TicketID, stored storedOutcome, left time.Duration) bool {
			add(HandoverOutcome{ID: id, BodyHash: stored.bodyHash, Outcome: stored.outcome, Left: left})
			return true
		})
	}
	s.owners.All(now, func(owner Incarnation, imported *importedLedger, _ time.Duration) bool {
		if !imported.complete() {
			return true
		}
		var parts []HandoverPart
		for i, usage := range imported.usage {
			first := HandoverPart{Shard: i, Low: usage.low, Next: usage.next, Uses: usage.encoded}
			parts = appendParts(parts, first, forEachOutcome)
			forEachOutcome = func(func(HandoverOutcome)) {}
		}
		all = append(all, numberParts(parts, owner)...)
		return true
	})
	return all
}
