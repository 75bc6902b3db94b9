package balancer

import "time"

// noSlot terminates a list of slots.
const noSlot int32 = -1

// slot holds one dispatched request. The slots in use of an upstream form a linked list in
// the order of dispatch; unused slots form a free list.
type slot struct {
	upstream     *upstream
	dispatchedAt time.Duration
	epoch        uint32 // epoch of the upstream at dispatch
	generation   uint32 // invalidates handles of released slots
	next, prev   int32
	isolated     bool
	probe        bool
	inUse        bool
}

// slotTable reuses slots, so that it allocates only when it grows.
type slotTable struct {
	slots    []slot
	freeHead int32
}

// reserve allocates a slot for a request to u and returns its handle: the generation in
// the upper 32 bits, the index in the lower ones.
func (t *slotTable) reserve(now time.Duration, u *upstream, isolated, probe bool) uint64 {
	i := t.freeHead
	if i == noSlot {
		t.slots = append(t.slots, slot{})
		i = int32(len(t.slots) - 1)
	} else {
		t.freeHead = t.slots[i].next
	}
	s := &t.slots[i]
	*s = slot{
		upstream: u, dispatchedAt: now, epoch: u.epoch, generation: s.generation + 1,
		next: noSlot, prev: u.newestSlot, isolated: isolated, probe: probe, inUse: true,
	}
	if u.newestSlot == noSlot {
		u.oldestSlot = i
	} else {
		t.slots[u.newestSlot].next = i
	}
	u.newestSlot = i
	u.inFlight++
	if isolated {
		u.isolatedInFlight++
	}
	return uint64(s.generation)<<32 | uint64(uint32(i))
}

// release frees the slot of a handle. It returns false for a handle that was already
// released or never issued.
func (t *slotTable) release(handle uint64) (slot, bool) {
	i := uint32(handle)
	if int64(i) >= int64(len(t.slots)) {
		return slot{}, false
	}
	s := &t.slots[i]
	if !s.inUse || s.generation != uint32(handle>>32) {
		return slot{}, false
	}
	u := s.upstream
	if s.prev == noSlot {
		u.oldestSlot = s.next
	} else {
		t.slots[s.prev].next = s.next
	}
	if s.next == noSlot {
		u.newestSlot = s.prev
	} else {
		t.slots[s.next].prev = s.prev
	}
	u.inFlight--
	if s.isolated {
		u.isolatedInFlight--
	}
	released := *s
	s.inUse, s.upstream, s.next = false, nil, t.freeHead
	t.freeHead = int32(i)
	return released, true
}

// countDispatchedAfter returns the number of requests in flight at u that were dispatched
// after the given time.
func (t *slotTable) countDispatchedAfter(u *upstream, after time.Duration) int {
	n := 0
	for i := u.newestSlot; i != noSlot && t.slots[i].dispatchedAt > after; i = t.slots[i].prev {
		n++
	}
	return n
}
