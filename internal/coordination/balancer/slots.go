package balancer

import "time"

// noSlot ends a list of slots.
const noSlot int32 = -1

// slot is one dispatched request. The slots in use of an upstream form a list in
// the order of dispatch; unused slots form a free list.
type slot struct {
	up         *upstream
	dispatched time.Duration
	epoch      uint32 // of the upstream's learned state at dispatch
	generation uint32 // makes a used token invalid
	next, prev int32
	isolated   bool
	probe      bool
	inUse      bool
}

// slotTable allocates slots without garbage once it has reached its largest size.
type slotTable struct {
	slots []slot
	free  int32
}

func (t *slotTable) reserve(now time.Duration, u *upstream, isolated, probe bool) uint64 {
	i := t.free
	if i == noSlot {
		t.slots = append(t.slots, slot{})
		i = int32(len(t.slots) - 1)
	} else {
		t.free = t.slots[i].next
	}
	s := &t.slots[i]
	*s = slot{
		up: u, dispatched: now, epoch: u.epoch, generation: s.generation + 1,
		next: noSlot, prev: u.newest, isolated: isolated, probe: probe, inUse: true,
	}
	if u.newest == noSlot {
		u.oldest = i
	} else {
		t.slots[u.newest].next = i
	}
	u.newest = i
	u.inFlight++
	if isolated {
		u.isolated++
	}
	return uint64(s.generation)<<32 | uint64(uint32(i))
}

// release frees the slot of a token. It returns false for a token that was already
// released or never issued.
func (t *slotTable) release(token uint64) (slot, bool) {
	i := uint32(token)
	if int64(i) >= int64(len(t.slots)) {
		return slot{}, false
	}
	s := &t.slots[i]
	if !s.inUse || s.generation != uint32(token>>32) {
		return slot{}, false
	}
	u := s.up
	if s.prev == noSlot {
		u.oldest = s.next
	} else {
		t.slots[s.prev].next = s.next
	}
	if s.next == noSlot {
		u.newest = s.prev
	} else {
		t.slots[s.next].prev = s.prev
	}
	u.inFlight--
	if s.isolated {
		u.isolated--
	}
	released := *s
	s.inUse, s.up, s.next = false, nil, t.free
	t.free = int32(i)
	return released, true
}

// since counts the requests in flight at u that were dispatched after t0.
func (t *slotTable) since(u *upstream, t0 time.Duration) int {
	n := 0
	for i := u.newest; i != noSlot && t.slots[i].dispatched > t0; i = t.slots[i].prev {
		n++
	}
	return n
}
