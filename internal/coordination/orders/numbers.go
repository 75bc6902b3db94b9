package orders

import "github.com/pkg/errors"

// usage is what remains recorded about a ticket for as long as its issue number is in
// the window.
type usage uint8

const (
	unused    usage = iota // issued and not begun
	used                   // begun; may have run
	sealed                 // did not run and never will
	forgotten              // outside the window; may have been used
)

const (
	usageBits    = 2
	usageMask    = 1<<usageBits - 1
	usagePerWord = 64 / usageBits
)

// numbers records the usage of the issue numbers in [low, next) in two bits each. When
// the window is full, issuing a number moves low up: the numbers below low are forgotten
// and are never begun.
type numbers struct {
	low, next uint64
	window    uint64
	words     []uint64
}

// newNumbers returns an empty set with a window that is rounded up to whole words.
func newNumbers(window int) numbers {
	words := max((window+usagePerWord-1)/usagePerWord, 1)
	return numbers{window: uint64(words) * usagePerWord, words: make([]uint64, words)}
}

func (n *numbers) issue() uint64 {
	number := n.next
	n.next++
	n.low = max(n.low, n.next-min(n.next, n.window))
	n.set(number, unused)
	return number
}

func (n *numbers) get(number uint64) usage {
	if number < n.low || number >= n.next {
		return forgotten
	}
	word, shift := n.position(number)
	return usage(n.words[word] >> shift & usageMask)
}

// set records the usage of a number. A forgotten number stays forgotten.
func (n *numbers) set(number uint64, u usage) {
	if number < n.low || number >= n.next {
		return
	}
	word, shift := n.position(number)
	n.words[word] = n.words[word]&^(usageMask<<shift) | uint64(u)<<shift
}

func (n *numbers) position(number uint64) (word, shift uint64) {
	slot := number % n.window
	return slot / usagePerWord, slot % usagePerWord * usageBits
}

// pack returns the usages in [low, next), four in a byte.
func (n *numbers) pack() []byte {
	b := make([]byte, packedSize(n.next-n.low))
	for number := n.low; number < n.next; number++ {
		i := number - n.low
		b[i/4] |= byte(n.get(number)) << (i % 4 * usageBits)
	}
	return b
}

// packed is a read-only copy of numbers as it is handed over.
type packed struct {
	low, next uint64
	bytes     []byte
}

func newPacked(low, next uint64, b []byte) (packed, error) {
	if next < low || uint64(len(b)) != packedSize(next-low) {
		return packed{}, errors.Errorf("usage of tickets %d to %d does not fit in %d bytes", low, next, len(b))
	}
	return packed{low: low, next: next, bytes: b}, nil
}

func (p packed) get(number uint64) usage {
	if number < p.low || number >= p.next {
		return forgotten
	}
	i := number - p.low
	return usage(p.bytes[i/4] >> (i % 4 * usageBits) & usageMask)
}

// packedSize divides first: the count comes from a peer and may be near the limit.
func packedSize(count uint64) uint64 { return count/4 + (count%4+3)/4 }
