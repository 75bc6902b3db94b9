package fairqueue

import "container/list"

// flow is the state of one team in one tier.
type flow[T any] struct {
	team    string
	weight  int
	tag     float64 // start tag of the next entry, in seconds of virtual time
	since   uint64  // sequence of the activation, breaks ties between equal tags
	retries *Heap[*Entry[T]]
	fresh   list.List
	late    list.List // deferred entries, served when the tier has no others
	open    int       // entries outside the reserve

	turnPos, burstPos, idlePos int
}

func newFlow[T any](team string) *flow[T] {
	return &flow[T]{
		team: team, turnPos: -1, burstPos: -1, idlePos: -1,
		retries: NewHeap(func(a, b *Entry[T]) bool {
			if a.Arrived != b.Arrived {
				return a.Arrived < b.Arrived
			}
			return a.sequence < b.sequence
		}, func(e *Entry[T], i int) { e.retryPos = i }),
	}
}

func (f *flow[T]) length() int { return f.retries.Len() + f.fresh.Len() + f.late.Len() }

// onlyLate reports whether all entries are deferred.
func (f *flow[T]) onlyLate() bool { return f.retries.Len()+f.fresh.Len() == 0 }

func (f *flow[T]) add(e *Entry[T]) {
	if e.Retry {
		f.retries.Add(e)
	} else {
		e.fresh = f.fresh.PushBack(e)
	}
}

func (f *flow[T]) drop(e *Entry[T]) {
	switch {
	case e.Retry:
		f.retries.Remove(e.retryPos)
	case e.late != nil:
		f.late.Remove(e.late)
		e.late = nil
	default:
		f.fresh.Remove(e.fresh)
		e.fresh = nil
	}
}

func (f *flow[T]) head() *Entry[T] {
	if f.retries.Len() > 0 {
		return f.retries.Min()
	}
	if f.fresh.Len() > 0 {
		return f.fresh.Front().Value.(*Entry[T])
	}
	return f.late.Front().Value.(*Entry[T])
}

// newest returns the newest entry outside the reserve; there must be one.
func (f *flow[T]) newest() *Entry[T] {
	if e := lastOpen[T](&f.fresh); e != nil {
		return e
	}
	return lastOpen[T](&f.late)
}

// lastOpen returns the last entry of a list outside the reserve, or nil.
func lastOpen[T any](l *list.List) *Entry[T] {
	for x := l.Back(); x != nil; x = x.Prev() {
		if e := x.Value.(*Entry[T]); e.place == placeOpen {
			return e
		}
	}
	return nil
}

// tier shares its service between flows.
type tier[T any] struct {
	number            int
	reserve, reserved int
	length            int
	weight            int     // sum over the flows with entries
	now               float64 // virtual time
	flows             map[string]*flow[T]
	open              list.List       // entries outside the reserve, oldest first
	turns             *Heap[*flow[T]] // flows with entries, by tag, those with deferred ones only last
	bursts            *Heap[*flow[T]] // flows with entries outside the reserve, most per weight first
	idle              *Heap[*flow[T]] // flows without entries whose tag is ahead of now, by tag
}

func newTier[T any](number, reserve int) *tier[T] {
	byDebt := func(a, b *flow[T]) bool {
		if a.tag != b.tag {
			return a.tag < b.tag
		}
		return a.since < b.since
	}
	byTag := func(a, b *flow[T]) bool {
		if x, y := a.onlyLate(), b.onlyLate(); x != y {
			return y
		}
		return byDebt(a, b)
	}
	byBurst := func(a, b *flow[T]) bool {
		if x, y := a.open*b.weight, b.open*a.weight; x != y {
			return x > y
		}
		return a.newest().sequence > b.newest().sequence
	}
	return &tier[T]{
		number: number, reserve: reserve, flows: map[string]*flow[T]{},
		turns:  NewHeap(byTag, func(f *flow[T], i int) { f.turnPos = i }),
		bursts: NewHeap(byBurst, func(f *flow[T], i int) { f.burstPos = i }),
		idle:   NewHeap(byDebt, func(f *flow[T], i int) { f.idlePos = i }),
	}
}

// activate returns the flow of a team with the given weight, ready for an entry.
func (t *tier[T]) activate(team string, weight int, sequence uint64) *flow[T] {
	f := t.flows[team]
	if f == nil {
		f = newFlow[T](team)
		t.flows[team] = f
	}
	if f.turnPos >= 0 {
		t.weight += weight - f.weight
		f.weight = weight
		return f
	}
	if f.idlePos >= 0 {
		t.idle.Remove(f.idlePos)
	}
	f.tag = max(f.tag, t.now)
	f.weight, f.since = weight, sequence
	return f
}

// settle files a flow in the heaps that its entries call for.
func (t *tier[T]) settle(f *flow[T]) {
	waiting := f.length() > 0
	switch {
	case waiting && f.turnPos >= 0:
		t.turns.Fix(f.turnPos)
	case waiting:
		t.turns.Add(f)
		t.weight += f.weight
	case f.turnPos >= 0:
		t.turns.Remove(f.turnPos)
		t.weight -= f.weight
		t.idle.Add(f)
	}
	switch {
	case f.open > 0 && f.burstPos >= 0:
		t.bursts.Fix(f.burstPos)
	case f.open > 0:
		t.bursts.Add(f)
	case f.burstPos >= 0:
		t.bursts.Remove(f.burstPos)
	}
}

// forget deletes the idle flows without debt. When the tier is empty, nobody
// was kept waiting and all debt ends.
func (t *tier[T]) forget() {
	for t.idle.Len() > 0 && (t.length == 0 || t.idle.Min().tag <= t.now) {
		f := t.idle.Min()
		t.idle.Remove(0)
		delete(t.flows, f.team)
	}
}
