package fairqueue

import (
	"cmp"
	"container/list"
	"slices"
	"time"
)

// Entry is a waiting request. The exported fields must not change while the
// entry is queued.
type Entry[T any] struct {
	// Tier is the priority; 1 is the highest.
	Tier int
	// Team receives a share of the tier's service in proportion to Weight. The weight of
	// a team in a tier is that of the entry pushed last. Weights below 1 count as 1.
	Team   string
	Weight int
	// Cost is the expected service time in seconds; it must be positive.
	Cost float64
	// Arrived orders the retries of a team.
	Arrived time.Duration
	// Retry exempts the entry from the limit on shared slots.
	Retry bool
	// Value belongs to the caller.
	Value T

	sequence     uint64
	flow         *flow[T]
	slot         slotKind
	newElem      *list.Element // in the flow's list of new entries
	deferredElem *list.Element // in the flow's list of deferred entries
	sharedElem   *list.Element // in the tier's list of entries in shared slots
	retryIndex   int
}

// slotKind is the kind of slot that an entry occupies.
type slotKind int

const (
	slotNone     slotKind = iota // not queued
	slotShared                   // counts against the limit and may be evicted
	slotReserved                 // in the tier's reserve
	slotExempt                   // takes no slot: a retry or a protected entry
)

// Queue holds the entries of all tiers. It is not safe for concurrent use.
type Queue[T any] struct {
	sharedLimit, reservePerTier, topTier int
	sharedCount, length                  int
	lastSequence                         uint64
	tiers                                []*tier[T] // ordered by number
}

// New returns an empty queue with limit shared slots for all tiers together and reserve
// additional slots for each tier below (numerically above) top.
func New[T any](limit, reserve, top int) *Queue[T] {
	return &Queue[T]{sharedLimit: limit, reservePerTier: reserve, topTier: top}
}

// Len returns the number of entries.
func (q *Queue[T]) Len() int { return q.length }

// Best returns the highest tier that has entries.
func (q *Queue[T]) Best() (number int, ok bool) {
	for _, t := range q.tiers {
		if t.length > 0 {
			return t.number, true
		}
	}
	return 0, false
}

// TeamLen returns the number of entries of a team in a tier.
func (q *Queue[T]) TeamLen(number int, team string) int {
	if t := q.findTier(number); t != nil && t.flows[team] != nil {
		return t.flows[team].length()
	}
	return 0
}

// ActiveWeight returns the sum of the weights of the teams that have entries in a tier.
func (q *Queue[T]) ActiveWeight(number int) int {
	if t := q.findTier(number); t != nil {
		return t.activeWeight
	}
	return 0
}

// Push queues e.
func (q *Queue[T]) Push(e *Entry[T]) {
	if e.slot != slotNone {
		panic("fairqueue: entry is queued twice")
	}
	t := q.findOrAddTier(e.Tier)
	q.lastSequence++
	e.sequence = q.lastSequence
	f := t.activate(e.Team, max(e.Weight, 1), q.lastSequence)
	e.flow = f
	f.add(e)
	t.length++
	q.length++
	switch {
	case e.Retry:
		e.slot = slotExempt
	case t.reserved < t.reserveLimit:
		e.slot = slotReserved
		t.reserved++
	default:
		e.slot = slotShared
		e.sharedElem = t.shared.PushBack(e)
		f.sharedCount++
		q.sharedCount++
	}
	t.updateHeaps(f)
}

// Head returns the next entry of a tier in service order, or nil.
func (q *Queue[T]) Head(number int) *Entry[T] {
	t := q.findTier(number)
	if t == nil || t.active.Len() == 0 {
		return nil
	}
	return t.active.Min().head()
}

// Defer moves e behind all entries of its tier that are not deferred. Deferred entries are
// shared between teams in the same way as others. Retries are not deferred.
func (q *Queue[T]) Defer(e *Entry[T]) {
	if e.Retry || e.deferredElem != nil {
		return
	}
	f := e.flow
	f.newEntries.Remove(e.newElem)
	e.newElem = nil
	e.deferredElem = f.deferred.PushBack(e)
	q.findTier(e.Tier).updateHeaps(f)
}

// Deferred reports whether e is deferred.
func (e *Entry[T]) Deferred() bool { return e.deferredElem != nil }

// Take removes e and charges its cost to its team. An entry other than the head may be
// taken out of turn; it does not advance the virtual time unless its team is next.
func (q *Queue[T]) Take(e *Entry[T]) {
	t, f := q.findTier(e.Tier), e.flow
	if t.active.Min() == f {
		t.virtualTime = max(t.virtualTime, f.startTag)
	}
	f.startTag += e.Cost / float64(f.weight)
	// The heap order must be restored before remove moves other teams in the heap.
	t.active.Fix(f.activeIndex)
	q.remove(t, e)
}

// Remove removes e without charging its team.
func (q *Queue[T]) Remove(e *Entry[T]) { q.remove(q.findTier(e.Tier), e) }

// Victim returns the entry to evict, or nil unless more shared slots are taken than the
// limit allows.
func (q *Queue[T]) Victim() *Entry[T] {
	if q.sharedCount <= q.sharedLimit {
		return nil
	}
	for _, t := range slices.Backward(q.tiers) {
		if t.victims.Len() > 0 {
			return t.victims.Min().newestShared()
		}
	}
	return nil
}

// Protect exempts e from the limit and from eviction until it leaves the queue.
func (q *Queue[T]) Protect(e *Entry[T]) {
	if e.slot != slotShared {
		return
	}
	t := q.findTier(e.Tier)
	q.releaseSharedSlot(t, e, slotExempt)
	t.updateHeaps(e.flow)
}

func (q *Queue[T]) remove(t *tier[T], e *Entry[T]) {
	f := e.flow
	switch e.slot {
	case slotNone:
		panic("fairqueue: entry is not queued")
	case slotShared:
		q.releaseSharedSlot(t, e, slotNone)
	case slotReserved:
		t.reserved--
		q.refillReserve(t)
	}
	f.remove(e)
	e.slot, e.flow = slotNone, nil
	t.length--
	q.length--
	t.updateHeaps(f)
	t.pruneIdle()
}

// refillReserve moves the oldest entry in a shared slot into the reserve.
func (q *Queue[T]) refillReserve(t *tier[T]) {
	oldest := t.shared.Front()
	if oldest == nil {
		return
	}
	e := oldest.Value.(*Entry[T])
	q.releaseSharedSlot(t, e, slotReserved)
	t.reserved++
	t.updateHeaps(e.flow)
}

// releaseSharedSlot frees the shared slot of e, which gets the slot kind next.
func (q *Queue[T]) releaseSharedSlot(t *tier[T], e *Entry[T], next slotKind) {
	t.shared.Remove(e.sharedElem)
	e.sharedElem = nil
	e.flow.sharedCount--
	q.sharedCount--
	e.slot = next
}

func (q *Queue[T]) searchTier(number int) (int, bool) {
	return slices.BinarySearchFunc(q.tiers, number, func(t *tier[T], n int) int { return t.number - n })
}

func (q *Queue[T]) findTier(number int) *tier[T] {
	if i, ok := q.searchTier(number); ok {
		return q.tiers[i]
	}
	return nil
}

func (q *Queue[T]) findOrAddTier(number int) *tier[T] {
	i, ok := q.searchTier(number)
	if !ok {
		reserve := q.reservePerTier
		if number <= q.topTier {
			reserve = 0
		}
		q.tiers = slices.Insert(q.tiers, i, newTier[T](number, reserve))
	}
	return q.tiers[i]
}

// Compare orders entries by the time at which they were pushed.
func (e *Entry[T]) Compare(other *Entry[T]) int { return cmp.Compare(e.sequence, other.sequence) }
