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
	// Team and Weight select and size the share; the weight of a team in a tier
	// is that of the entry pushed last. Weights below 1 count as 1.
	Team   string
	Weight int
	// Cost is the expected service time in seconds; it must be positive.
	Cost float64
	// Arrived orders the retries of a team.
	Arrived time.Duration
	// Retry exempts the entry from the limit.
	Retry bool
	// Value belongs to the caller.
	Value T

	sequence uint64
	flow     *flow[T]
	place    place
	fresh    *list.Element // in the flow's list of new requests
	late     *list.Element // in the flow's list of deferred requests
	open     *list.Element // in the tier's list of requests outside the reserve
	retryPos int
}

// place says how an entry counts against the limit.
type place int

const (
	placeNone     place = iota // not queued
	placeOpen                  // counts against the limit and may be a victim
	placeReserved              // in the tier's reserve
	placeExempt                // a retry or a protected request
)

// Queue holds the entries of all tiers. It is not safe for concurrent use.
type Queue[T any] struct {
	limit, reserve, top int
	open, length        int
	sequence            uint64
	tiers               []*tier[T] // ordered by number
}

// New returns an empty queue with limit places for all tiers together and
// reserve further places for each tier below (numerically above) top.
func New[T any](limit, reserve, top int) *Queue[T] {
	return &Queue[T]{limit: limit, reserve: reserve, top: top}
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

// TeamLen returns the entries of a team in a tier.
func (q *Queue[T]) TeamLen(number int, team string) int {
	if t := q.find(number); t != nil && t.flows[team] != nil {
		return t.flows[team].length()
	}
	return 0
}

// ActiveWeight returns the sum of the weights of the teams that have entries in a tier.
func (q *Queue[T]) ActiveWeight(number int) int {
	if t := q.find(number); t != nil {
		return t.weight
	}
	return 0
}

// Push queues e.
func (q *Queue[T]) Push(e *Entry[T]) {
	if e.place != placeNone {
		panic("fairqueue: entry is queued twice")
	}
	t := q.obtain(e.Tier)
	q.sequence++
	e.sequence = q.sequence
	f := t.activate(e.Team, max(e.Weight, 1), q.sequence)
	e.flow = f
	f.add(e)
	t.length++
	q.length++
	switch {
	case e.Retry:
		e.place = placeExempt
	case t.reserved < t.reserve:
		e.place = placeReserved
		t.reserved++
	default:
		e.place = placeOpen
		e.open = t.open.PushBack(e)
		f.open++
		q.open++
	}
	t.settle(f)
}

// Head returns the entry of a tier whose turn it is, or nil.
func (q *Queue[T]) Head(number int) *Entry[T] {
	t := q.find(number)
	if t == nil || t.turns.Len() == 0 {
		return nil
	}
	return t.turns.Min().head()
}

// Defer puts e behind all entries of its tier that are not deferred. Among deferred
// entries the teams take turns as before. Retries are not deferred.
func (q *Queue[T]) Defer(e *Entry[T]) {
	if e.Retry || e.late != nil {
		return
	}
	f := e.flow
	f.fresh.Remove(e.fresh)
	e.fresh = nil
	e.late = f.late.PushBack(e)
	q.find(e.Tier).settle(f)
}

// Deferred reports whether e is deferred.
func (e *Entry[T]) Deferred() bool { return e.late != nil }

// Take removes e and charges its cost to its team. An entry other than the
// head may be taken out of turn.
func (q *Queue[T]) Take(e *Entry[T]) {
	t, f := q.find(e.Tier), e.flow
	if t.turns.Min() == f {
		t.now = max(t.now, f.tag)
	}
	f.tag += e.Cost / float64(f.weight)
	// The heap must be in order before remove moves other teams in it.
	t.turns.Fix(f.turnPos)
	q.remove(t, e)
}

// Remove removes e without a charge.
func (q *Queue[T]) Remove(e *Entry[T]) { q.remove(q.find(e.Tier), e) }

// Victim returns the entry to shed when more than limit places are taken, or nil.
func (q *Queue[T]) Victim() *Entry[T] {
	if q.open <= q.limit {
		return nil
	}
	for _, t := range slices.Backward(q.tiers) {
		if t.bursts.Len() > 0 {
			return t.bursts.Min().newest()
		}
	}
	return nil
}

// Protect exempts e from the limit until it leaves.
func (q *Queue[T]) Protect(e *Entry[T]) {
	if e.place != placeOpen {
		return
	}
	t := q.find(e.Tier)
	q.closeEntry(t, e, placeExempt)
	t.settle(e.flow)
}

func (q *Queue[T]) remove(t *tier[T], e *Entry[T]) {
	f := e.flow
	switch e.place {
	case placeNone:
		panic("fairqueue: entry is not queued")
	case placeOpen:
		q.closeEntry(t, e, placeNone)
	case placeReserved:
		t.reserved--
		q.refill(t)
	}
	f.drop(e)
	e.place, e.flow = placeNone, nil
	t.length--
	q.length--
	t.settle(f)
	t.forget()
}

// refill moves the oldest entry outside the reserve into it.
func (q *Queue[T]) refill(t *tier[T]) {
	oldest := t.open.Front()
	if oldest == nil {
		return
	}
	e := oldest.Value.(*Entry[T])
	q.closeEntry(t, e, placeReserved)
	t.reserved++
	t.settle(e.flow)
}

// closeEntry takes e out of the entries that count against the limit.
func (q *Queue[T]) closeEntry(t *tier[T], e *Entry[T], next place) {
	t.open.Remove(e.open)
	e.open = nil
	e.flow.open--
	q.open--
	e.place = next
}

func (q *Queue[T]) search(number int) (int, bool) {
	return slices.BinarySearchFunc(q.tiers, number, func(t *tier[T], n int) int { return t.number - n })
}

func (q *Queue[T]) find(number int) *tier[T] {
	if i, ok := q.search(number); ok {
		return q.tiers[i]
	}
	return nil
}

func (q *Queue[T]) obtain(number int) *tier[T] {
	i, ok := q.search(number)
	if !ok {
		reserve := q.reserve
		if number <= q.top {
			reserve = 0
		}
		q.tiers = slices.Insert(q.tiers, i, newTier[T](number, reserve))
	}
	return q.tiers[i]
}

// Compare orders entries by the time at which they were pushed.
func (e *Entry[T]) Compare(other *Entry[T]) int { return cmp.Compare(e.sequence, other.sequence) }
