package retry

import (
	"math"
	"sync"
	"time"
)

// unitsPerToken makes the bucket an integer, so that repeated additions of a
// ratio such as 0.1 do not accumulate rounding errors.
const unitsPerToken = 1_000_000

// Budget is the retry budget of one class. It is safe for concurrent use.
type Budget struct {
	mu     sync.Mutex
	units  int64
	gain   int64
	burst  int64
	denied uint64
}

// NewBudget returns a full budget. Each first try adds ratio retries, and at
// most burst retries are saved. The ratio is limited to [0, 1] and the burst to
// at least 0; with a burst of 0 no retry is ever allowed.
func NewBudget(ratio float64, burst int) *Budget {
	if math.IsNaN(ratio) {
		ratio = 0
	}
	gain := int64(math.Round(min(max(ratio, 0), 1) * unitsPerToken))
	limit := int64(max(burst, 0)) * unitsPerToken
	return &Budget{units: limit, gain: gain, burst: limit}
}

// First records a first try.
func (b *Budget) First(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.units = min(b.units+b.gain, b.burst)
}

// Allow takes one retry from the budget and reports whether there was one.
func (b *Budget) Allow(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.units < unitsPerToken {
		b.denied++
		return false
	}
	b.units -= unitsPerToken
	return true
}

// Denied returns the number of retries that were refused.
func (b *Budget) Denied() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.denied
}
