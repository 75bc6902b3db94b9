package retry

import (
	"math"
	"sync"
	"time"
)

// unitsPerToken is the number of integer units of one token. Integers keep repeated additions of a
// ratio such as 0.1 from accumulating rounding errors.
const unitsPerToken = 1_000_000

// Budget is the retry budget of one request class. It is safe for concurrent use.
type Budget struct {
	mu                   sync.Mutex
	balanceUnits         int64
	unitsPerFirstAttempt int64
	maxUnits             int64
	denied               uint64
}

// NewBudget returns a full budget. Each first attempt adds ratio tokens, and the budget
// holds at most burst tokens. The ratio is clamped to [0, 1], a NaN to 0, and a negative burst
// to 0; with a burst of 0 no retry is ever allowed.
func NewBudget(ratio float64, burst int) *Budget {
	if math.IsNaN(ratio) {
		ratio = 0
	}
	unitsPerFirstAttempt := int64(math.Round(min(max(ratio, 0), 1) * unitsPerToken))
	maxUnits := int64(max(burst, 0)) * unitsPerToken
	return &Budget{balanceUnits: maxUnits, unitsPerFirstAttempt: unitsPerFirstAttempt, maxUnits: maxUnits}
}

// RecordFirstAttempt records the first attempt of a request, which refills the budget by ratio
// tokens.
func (b *Budget) RecordFirstAttempt(now time.Duration) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.balanceUnits = min(b.balanceUnits+b.unitsPerFirstAttempt, b.maxUnits)
}

// Allow reports whether a retry is permitted. If so, it takes one token.
func (b *Budget) Allow(now time.Duration) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	if b.balanceUnits < unitsPerToken {
		b.denied++
		return false
	}
	b.balanceUnits -= unitsPerToken
	return true
}

// Denied returns the number of retries that Allow refused.
func (b *Budget) Denied() uint64 {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.denied
}
