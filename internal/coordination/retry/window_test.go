package retry

import (
	"testing"
	"time"

	"pgregory.net/rapid"
)

const windowLength = 10 * time.Second

// Guards against more retries in some span of the window's length than were promised. The
// oracle counts every span that ends at an allowed retry.
func TestWindowHoldsInEverySpan(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const ratio, slack = 0.2, 3
		w := NewWindow(ratio, slack, windowLength)
		var now time.Duration
		var firsts, retries []time.Duration
		within := func(list []time.Duration) int {
			n := 0
			for _, at := range list {
				if at > now-windowLength {
					n++
				}
			}
			return n
		}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			now += time.Duration(rapid.IntRange(0, 900).Draw(t, "ms")) * time.Millisecond
			if rapid.Bool().Draw(t, "first") {
				w.First(now)
				firsts = append(firsts, now)
				continue
			}
			if w.Allow(now) {
				retries = append(retries, now)
				if float64(within(retries)) > ratio*float64(within(firsts))+slack {
					t.Fatalf("at %v: %d retries, %d first tries", now, within(retries), within(firsts))
				}
			}
		}
	})
}

// Guards against streams that are lost when an upstream crashes with many of them although
// few retries were needed before. Load pattern: a quarter of the upstreams crash at once.
func TestWindowSavesWhatAQuietTimeDidNotUse(t *testing.T) {
	w := NewWindow(0.2, 0, windowLength)
	for i := range 100 {
		w.First(time.Duration(i) * 50 * time.Millisecond)
	}
	allowed := 0
	for range 50 {
		if w.Allow(5 * time.Second) {
			allowed++
		}
	}
	if allowed != 20 {
		t.Errorf("%d retries for 100 first tries, want 20", allowed)
	}
}

// Guards against slack that is granted anew at every start.
func TestWindowGrantsNoSlackAfterAStart(t *testing.T) {
	w := NewWindow(0, 5, windowLength)
	if w.Allow(time.Second) {
		t.Error("slack was granted in the first window")
	}
	if !w.Allow(windowLength) {
		t.Error("slack was not granted after the first window")
	}
}
