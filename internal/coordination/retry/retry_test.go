package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yuccabridge/yuccabridge/internal/rapidflags"
)

// Extended run: go test ./internal/coordination/retry -run Test -rapid.seed=0 -rapid.checks=100000
func init() { rapidflags.Set(rapidflags.Defaults{Seed: 20261203, Checks: 500, Steps: 100}) }

// TestBudgetBoundsRetries guards against more retries than burst + ratio * (first
// attempts) in any window of calls, and against a budget that never refills.
func TestBudgetBoundsRetries(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		ratioPercent := rapid.IntRange(0, 100).Draw(t, "percent")
		burst := rapid.IntRange(0, 20).Draw(t, "burst")
		b := NewBudget(float64(ratioPercent)/100, burst)
		var firstAttempts, retries, denied int
		windowFirstAttempts, windowRetries := 0, 0
		for i, isFirstAttempt := range rapid.SliceOfN(rapid.Bool(), 1, 400).Draw(t, "calls") {
			now := time.Duration(i) * time.Millisecond
			if isFirstAttempt {
				b.RecordFirstAttempt(now)
				firstAttempts++
				windowFirstAttempts++
			} else if b.Allow(now) {
				retries++
				windowRetries++
			} else {
				denied++
			}
			if windowRetries*100 > burst*100+ratioPercent*windowFirstAttempts {
				t.Fatalf("window: %d retries after %d first attempts, burst %d, ratio %d%%", windowRetries, windowFirstAttempts, burst, ratioPercent)
			}
			if i%37 == 0 {
				windowFirstAttempts, windowRetries = 0, 0
			}
		}
		if got := int(b.Denied()); got != denied {
			t.Fatalf("Denied() = %d, want %d", got, denied)
		}
		for range 100 * burst {
			b.RecordFirstAttempt(0)
		}
		for i := 0; ratioPercent > 0 && i < burst; i++ {
			if !b.Allow(0) {
				t.Fatalf("retry %d of a refilled budget with burst %d was refused", i+1, burst)
			}
		}
	})
}
