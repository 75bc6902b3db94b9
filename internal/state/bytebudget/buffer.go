package bytebudget

// SmallBufferBytes is the capacity up to which a [Buffer] takes nothing from its budget.
const SmallBufferBytes = 16 << 10

// Buffer is a byte slice that grows within a budget. The zero value has no budget. It is not safe for
// concurrent use, but abort may be called at any time.
type Buffer struct {
	budget      *Budget
	abort       func()
	data        []byte
	reservation *Reservation // nil while the buffer is small
}

// NewBuffer returns an empty buffer. abort ends the transfer that fills it; see [Budget.Reserve].
func (b *Budget) NewBuffer(abort func()) *Buffer { return &Buffer{budget: b, abort: abort} }

// Bytes returns the contents. They are valid until the next Reset.
func (b *Buffer) Bytes() []byte { return b.data }

// Append adds p. It returns ErrExceeded if the transfer has been ended, or must be, to keep the limit.
func (b *Buffer) Append(p []byte) error {
	if size := len(b.data) + len(p); size > cap(b.data) {
		if err := b.grow(max(2*cap(b.data), size)); err != nil {
			return err
		}
	}
	b.data = append(b.data, p...)
	return nil
}

func (b *Buffer) grow(capacity int) error {
	old := b.data
	if capacity > SmallBufferBytes && b.budget != nil {
		if b.reservation == nil {
			b.reservation = b.budget.Reserve(b.abort)
		}
		if err := b.reservation.Grow(capacity); err != nil {
			return err
		}
	}
	b.data = append(make([]byte, 0, capacity), old...)
	if b.reservation != nil && cap(old) > SmallBufferBytes {
		b.reservation.Shrink(cap(old))
	}
	return nil
}

// Settle makes the contents complete: their transfer is not ended for them any more. It returns
// ErrExceeded if it has been ended before.
func (b *Buffer) Settle() error {
	if b.reservation == nil {
		return nil
	}
	return b.reservation.Settle()
}

// Reset empties the buffer and returns the memory that it has taken from the budget.
func (b *Buffer) Reset() {
	b.data = b.data[:0]
	if cap(b.data) > SmallBufferBytes {
		b.data = nil
	}
	if b.reservation != nil {
		b.reservation.Release()
		b.reservation = nil
	}
}
