package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const windowLength = 10 * time.Second

// Guards against more retries than the bound in any span of the window's length. The
// test checks every span that ends at an allowed retry.
func TestWindowBoundsEverySpan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ratio, slack = 0.2, 3
		w := NewWindow(ratio, windowLength)
		var now time.Duration
		var firstAttempts, retries []time.Duration
		countInWindow := func(times []time.Duration) int {
			n := 0
			for _, at := range times {
				if at > now-windowLength {
					n++
				}
			}
			return n
		}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond
			if rapid.Bool().Draw(t, "first") {
				w.RecordFirstAttempt(now)
				firstAttempts = append(firstAttempts, now)
				continue
			}
			if r := w.Allow(now, slack); r != nil {
				w.Sent(now, r)
				retries = append(retries, now)
				if float64(countInWindow(retries)) > ratio*float64(countInWindow(firstAttempts))+slack {
					t.Fatalf("at %v: %d retries for %d first attempts in the window", now, countInWindow(retries), countInWindow(firstAttempts))
				}
			}
		}
	})
}

// Guards against streams that are lost when upstreams with many streams crash, although
// few retries were needed before. The load pattern is a quarter of the upstreams crashing at once.
func TestWindowAccumulatesUnusedBudget(t *testing.T) {
	w := NewWindow(0.2, windowLength)
	for i := range 100 {
		w.RecordFirstAttempt(time.Duration(i) * 50 * time.Millisecond)
	}
	allowed := 0
	for range 50 {
		if r := w.Allow(5*time.Second, 0); r != nil {
			w.Sent(5*time.Second, r)
			allowed++
		}
	}
	if allowed != 20 {
		t.Errorf("%d retries for 100 first attempts, want 20", allowed)
	}
}
