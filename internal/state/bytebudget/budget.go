// Package bytebudget bounds the memory that concurrent transfers hold together.
//
// A transfer reserves memory as it grows. When the sum exceeds the limit, the reservation that
// holds most is ended, and others if that does not suffice: many small transfers go on, and one
// without end is ended first. Reservations that cannot be ended are refused instead, or wait for room.
package bytebudget

import (
	"context"
	"slices"
	"sync"

	"github.com/pkg/errors"
)

// ErrExceeded reports a reservation that was ended or refused because the limit was reached.
var ErrExceeded = errors.New("the memory for bodies in progress is used up")

// Budget is a limit on the sum of reservations. It is safe for concurrent use.
type Budget struct {
	limit int

	mu      sync.Mutex
	used    int
	holders map[*Reservation]struct{}
	waiting []*waiter // in the order of their arrival
}

// waiter is a call of [Budget.Acquire] for which there was no room.
type waiter struct {
	size    int
	granted chan *Reservation // has room for one
}

// New returns a budget of limit bytes.
func New(limit int) *Budget {
	return &Budget{limit: limit, holders: map[*Reservation]struct{}{}}
}

// Used returns the number of reserved bytes.
func (b *Budget) Used() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.used
}

// Reservation is the memory held by one transfer.
type Reservation struct {
	budget *Budget
	abort  func()
	held   int
	ended  bool
}

// Reserve returns an empty reservation. abort, unless it is nil, ends the transfer when the
// reservation is ended; it is called once, in a goroutine of its own. With a nil abort, the
// reservation is never ended.
func (b *Budget) Reserve(abort func()) *Reservation {
	r := &Reservation{budget: b, abort: abort}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.holders[r] = struct{}{}
	return r
}

// Grow adds n bytes. It returns ErrExceeded if the reservation has been ended, or must be, to keep
// the limit; the transfer must then release it.
func (r *Reservation) Grow(n int) error {
	b := r.budget
	b.mu.Lock()
	defer b.mu.Unlock()
	if r.ended {
		return ErrExceeded
	}
	r.held += n
	b.used += n
	for b.used > b.limit {
		victim := b.largest()
		if victim == nil {
			r.held -= n
			b.used -= n
			return ErrExceeded
		}
		b.end(victim)
		if victim == r {
			return ErrExceeded
		}
		go victim.abort() // may take the locks of its transfer
	}
	return nil
}

// TryAcquire returns a reservation of n bytes that is never ended, unless there is no room, or others wait for it.
func (b *Budget) TryAcquire(n int) (*Reservation, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.waiting) > 0 || b.used+n > b.limit {
		return nil, false
	}
	return b.grant(n), true
}

// Acquire returns a reservation of n bytes that is never ended. If there is no room, it waits until there is, behind those
// that wait already. It returns ErrExceeded if there is none before ctx is done, or if n is above the limit.
func (b *Budget) Acquire(ctx context.Context, n int) (*Reservation, error) {
	b.mu.Lock()
	if n > b.limit {
		b.mu.Unlock()
		return nil, ErrExceeded
	}
	w := &waiter{size: n, granted: make(chan *Reservation, 1)}
	b.waiting = append(b.waiting, w)
	b.grantWaiting()
	b.mu.Unlock()
	select {
	case r := <-w.granted:
		return r, nil
	case <-ctx.Done():
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	select {
	case r := <-w.granted: // at the same moment
		return r, nil
	default:
	}
	b.waiting = slices.DeleteFunc(b.waiting, func(other *waiter) bool { return other == w })
	b.grantWaiting()
	return nil, ErrExceeded
}

// grantWaiting grants the reservations that are waited for, as far as there is room. The caller must hold mu.
func (b *Budget) grantWaiting() {
	for len(b.waiting) > 0 && b.used+b.waiting[0].size <= b.limit {
		w := b.waiting[0]
		b.waiting = slices.Delete(b.waiting, 0, 1)
		w.granted <- b.grant(w.size)
	}
}

// grant returns a reservation of n bytes that is never ended. The caller must hold mu.
func (b *Budget) grant(n int) *Reservation {
	r := &Reservation{budget: b, held: n}
	b.used += n
	b.holders[r] = struct{}{}
	return r
}

// largest returns the reservation that holds most among those that can be ended.
func (b *Budget) largest() *Reservation {
	var largest *Reservation
	for r := range b.holders {
		if r.abort != nil && !r.ended && (largest == nil || r.held > largest.held) {
			largest = r
		}
	}
	return largest
}

// end takes a reservation out of the sum. Its transfer frees the memory as soon as it notices.
func (b *Budget) end(r *Reservation) {
	r.ended = true
	b.used -= r.held
	r.held = 0
	b.grantWaiting()
}

// Settle makes a reservation one that is never ended: its transfer is complete. It returns ErrExceeded
// if the reservation has been ended before.
func (r *Reservation) Settle() error {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	if r.ended {
		return ErrExceeded
	}
	r.abort = nil
	return nil
}

// Shrink returns n bytes.
func (r *Reservation) Shrink(n int) {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	n = min(n, r.held)
	r.held -= n
	r.budget.used -= n
	r.budget.grantWaiting()
}

// Held returns the number of bytes.
func (r *Reservation) Held() int {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	return r.held
}

// Ended reports whether the reservation was ended to keep the limit.
func (r *Reservation) Ended() bool {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	return r.ended
}

// Release returns all bytes. Further calls have no effect.
func (r *Reservation) Release() {
	r.budget.mu.Lock()
	defer r.budget.mu.Unlock()
	r.budget.used -= r.held
	r.held = 0
	delete(r.budget.holders, r)
	r.budget.grantWaiting()
}
