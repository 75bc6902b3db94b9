package orders

import "github.com/pkg/errors"

// usage is the recorded use of a ticket. It is kept as long as the issue number of the
// ticket is in the window.
type usage uint8

const (
	unused        usage = iota // issued; its order has not begun
	used                       // its order has begun and may have run
	sealed                     // its order did not run and never will
	outsideWindow              // no longer recorded; may have been used
)

const (
	usageBits    = 2
	usageMask    = 1<<usageBits - 1
	usagePerWord = 64 / usageBits
)

// usageWindow records the usage of the issue numbers in [low, next) in two bits each. When
// the window is full, issuing a number advances low. Tickets below low are no longer
// recorded and never begin.
type usageWindow struct {
	low, next uint64
	size      uint64
	words     []uint64
}

// newUsageWindow returns an empty window of at least minSize numbers, rounded up to whole
// words.
func newUsageWindow(minSize int) usageWindow {
	words := max((minSize+usagePerWord-1)/usagePerWord, 1)
	return usageWindow{size: uint64(words) * usagePerWord, words: make([]uint64, words)}
}

func (w *usageWindow) issue() uint64 {
	number := w.next
	w.next++
	w.low = max(w.low, w.next-min(w.next, w.size))
	w.set(number, unused)
	return number
}

func (w *usageWindow) get(number uint64) usage {
	if number < w.low || number >= w.next {
		return outsideWindow
	}
	word, shift := w.position(number)
	return usage(w.words[word] >> shift & usageMask)
}

// set records the usage of a number. It ignores numbers outside the window.
func (w *usageWindow) set(number uint64, u usage) {
	if number < w.low || number >= w.next {
		return
	}
	word, shift := w.position(number)
	w.words[word] = w.words[word]&^(usageMask<<shift) | uint64(u)<<shift
}

func (w *usageWindow) position(number uint64) (word, shift uint64) {
	slot := number % w.size
	return slot / usagePerWord, slot % usagePerWord * usageBits
}

// encode returns the usages of [low, next), four in each byte.
func (w *usageWindow) encode() []byte {
	b := make([]byte, encodedUsageSize(w.next-w.low))
	for number := w.low; number < w.next; number++ {
		i := number - w.low
		b[i/4] |= byte(w.get(number)) << (i % 4 * usageBits)
	}
	return b
}

// usageSnapshot is a read-only copy of a usageWindow, received in a handover.
type usageSnapshot struct {
	low, next uint64
	encoded   []byte
}

func newUsageSnapshot(low, next uint64, encoded []byte) (usageSnapshot, error) {
	if next < low || uint64(len(encoded)) != encodedUsageSize(next-low) {
		return usageSnapshot{}, errors.Errorf("encoded usage of issue numbers [%d, %d) has the wrong size of %d bytes", low, next, len(encoded))
	}
	return usageSnapshot{low: low, next: next, encoded: encoded}, nil
}

func (s usageSnapshot) get(number uint64) usage {
	if number < s.low || number >= s.next {
		return outsideWindow
	}
	i := number - s.low
	return usage(s.encoded[i/4] >> (i % 4 * usageBits) & usageMask)
}

// encodedUsageSize returns the bytes needed for count usages. It divides before it adds,
// because the count comes from a peer and the sum could overflow.
func encodedUsageSize(count uint64) uint64 { return count/4 + (count%4+3)/4 }
