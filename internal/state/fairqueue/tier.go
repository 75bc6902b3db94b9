package fairqueue

import "container/list"

// flow is the state of one team in one tier.
type flow[T any] struct {
	team          string
	weight        int
	startTag      float64 // start tag of the next entry, in seconds of virtual time
	activationSeq uint64  // sequence of the entry that activated the flow; breaks ties between equal tags
	retries       *Heap[*Entry[T]]
	newEntries    list.List
	deferred      list.List // deferred entries, served when the tier has no others
	sharedCount   int       // entries in shared slots

	activeIndex, victimIndex, idleIndex int
}

func newFlow[T any](team string) *flow[T] {
	return &flow[T]{
		team: team, activeIndex: -1, victimIndex: -1, idleIndex: -1,
		retries: NewHeap(func(a, b *Entry[T]) bool {
			if a.Arrived != b.Arrived {
				return a.Arrived < b.Arrived
			}
			return a.sequence < b.sequence
		}, func(e *Entry[T], i int) { e.retryIndex = i }),
	}
}

func (f *flow[T]) length() int { return f.retries.Len() + f.newEntries.Len() + f.deferred.Len() }

// onlyDeferred reports whether all entries are deferred.
func (f *flow[T]) onlyDeferred() bool { return f.retries.Len()+f.newEntries.Len() == 0 }

func (f *flow[T]) add(e *Entry[T]) {
	if e.Retry {
		f.retries.Add(e)
	} else {
		e.newElem = f.newEntries.PushBack(e)
	}
}

func (f *flow[T]) remove(e *Entry[T]) {
	switch {
	case e.Retry:
		f.retries.Remove(e.retryIndex)
	case e.deferredElem != nil:
		f.deferred.Remove(e.deferredElem)
		e.deferredElem = nil
	default:
		f.newEntries.Remove(e.newElem)
		e.newElem = nil
	}
}

func (f *flow[T]) head() *Entry[T] {
	if f.retries.Len() > 0 {
		return f.retries.Min()
	}
	if f.newEntries.Len() > 0 {
		return f.newEntries.Front().Value.(*Entry[T])
	}
	return f.deferred.Front().Value.(*Entry[T])
}

// newestShared returns the newest entry in a shared slot, or, if only deferred entries
// have shared slots, the one deferred last. There must be an entry in a shared slot.
func (f *flow[T]) newestShared() *Entry[T] {
	if e := lastShared[T](&f.newEntries); e != nil {
		return e
	}
	return lastShared[T](&f.deferred)
}

// lastShared returns the last entry of a list that has a shared slot, or nil.
func lastShared[T any](l *list.List) *Entry[T] {
	for elem := l.Back(); elem != nil; elem = elem.Prev() {
		if e := elem.Value.(*Entry[T]); e.slot == slotShared {
			return e
		}
	}
	return nil
}

// tier is the state of one tier, which shares its service between flows.
type tier[T any] struct {
	number                 int
	reserveLimit, reserved int
	length                 int
	activeWeight           int     // sum of the weights of the flows with entries
	virtualTime            float64 // greatest start tag served in turn
	flows                  map[string]*flow[T]
	shared                 list.List       // entries in shared slots, oldest first
	active                 *Heap[*flow[T]] // flows with entries, by start tag; flows with only deferred entries last
	victims                *Heap[*flow[T]] // flows with entries in shared slots, most per weight first
	idle                   *Heap[*flow[T]] // flows without entries whose start tag is ahead of the virtual time, by start tag
}

func newTier[T any](number, reserve int) *tier[T] {
	byStartTag := func(a, b *flow[T]) bool {
		if a.startTag != b.startTag {
			return a.startTag < b.startTag
		}
		return a.activationSeq < b.activationSeq
	}
	byServiceOrder := func(a, b *flow[T]) bool {
		if x, y := a.onlyDeferred(), b.onlyDeferred(); x != y {
			return y
		}
		return byStartTag(a, b)
	}
	byVictimOrder := func(a, b *flow[T]) bool {
		if x, y := a.sharedCount*b.weight, b.sharedCount*a.weight; x != y {
			return x > y
		}
		return a.newestShared().sequence > b.newestShared().sequence
	}
	return &tier[T]{
		number: number, reserveLimit: reserve, flows: map[string]*flow[T]{},
		active:  NewHeap(byServiceOrder, func(f *flow[T], i int) { f.activeIndex = i }),
		victims: NewHeap(byVictimOrder, func(f *flow[T], i int) { f.victimIndex = i }),
		idle:    NewHeap(byStartTag, func(f *flow[T], i int) { f.idleIndex = i }),
	}
}

// activate returns the flow of a team, to which an entry is about to be added, and sets its
// weight. An idle flow becomes active at the virtual time or at its last start tag,
// whichever is later.
func (t *tier[T]) activate(team string, weight int, sequence uint64) *flow[T] {
	f := t.flows[team]
	if f == nil {
		f = newFlow[T](team)
		t.flows[team] = f
	}
	if f.activeIndex >= 0 {
		t.activeWeight += weight - f.weight
		f.weight = weight
		return f
	}
	if f.idleIndex >= 0 {
		t.idle.Remove(f.idleIndex)
	}
	f.startTag = max(f.startTag, t.virtualTime)
	f.weight, f.activationSeq = weight, sequence
	return f
}

// updateHeaps moves a flow to the heaps that match its entries and restores their order.
func (t *tier[T]) updateHeaps(f *flow[T]) {
	waiting := f.length() > 0
	switch {
	case waiting && f.activeIndex >= 0:
		t.active.Fix(f.activeIndex)
	case waiting:
		t.active.Add(f)
		t.activeWeight += f.weight
	case f.activeIndex >= 0:
		t.active.Remove(f.activeIndex)
		t.activeWeight -= f.weight
		t.idle.Add(f)
	}
	switch {
	case f.sharedCount > 0 && f.victimIndex >= 0:
		t.victims.Fix(f.victimIndex)
	case f.sharedCount > 0:
		t.victims.Add(f)
	case f.victimIndex >= 0:
		t.victims.Remove(f.victimIndex)
	}
}

// pruneIdle deletes the idle flows without debt. When the tier is empty, no team is
// waiting, so all debt is cancelled.
func (t *tier[T]) pruneIdle() {
	for t.idle.Len() > 0 && (t.length == 0 || t.idle.Min().startTag <= t.virtualTime) {
		f := t.idle.Min()
		t.idle.Remove(0)
		delete(t.flows, f.team)
	}
}
