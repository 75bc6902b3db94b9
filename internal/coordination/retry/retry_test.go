package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yuccabridge/yuccabridge/internal/rapidflags"
)

// Long campaign: go test ./internal/coordination/retry -run Test -rapid.seed=0 -rapid.checks=100000
func init() { rapidflags.Set(rapidflags.Defaults{Seed: 20261203, Checks: 500, Steps: 100}) }

// TestBudgetBound guards against retries that exceed burst + ratio * first
// tries over any window of calls, and against a budget that never refills.
func TestBudgetBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		percent := rapid.IntRange(0, 100).Draw(t, "percent")
		burst := rapid.IntRange(0, 20).Draw(t, "burst")
		b := NewBudget(float64(percent)/100, burst)
		var firsts, retries, denied int
		windowFirsts, windowRetries := 0, 0
		for i, first := range rapid.SliceOfN(rapid.Bool(), 1, 400).Draw(t, "calls") {
			now := time.Duration(i) * time.Millisecond
			if first {
				b.First(now)
				firsts++
				windowFirsts++
			} else if b.Allow(now) {
				retries++
				windowRetries++
			} else {
				denied++
			}
			if windowRetries*100 > burst*100+percent*windowFirsts {
				t.Fatalf("window: %d retries after %d first tries, burst %d, ratio %d%%", windowRetries, windowFirsts, burst, percent)
			}
			if i%37 == 0 {
				windowFirsts, windowRetries = 0, 0
			}
		}
		if got := int(b.Denied()); got != denied {
			t.Fatalf("Denied() = %d, want %d", got, denied)
		}
		for range 100 * burst {
			b.First(0)
		}
		for i := 0; percent > 0 && i < burst; i++ {
			if !b.Allow(0) {
				t.Fatalf("refused retry %d of a refilled budget with burst %d", i+1, burst)
			}
		}
	})
}
