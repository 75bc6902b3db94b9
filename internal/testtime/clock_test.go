package testtime

import (
	"testing"
	"time"
)

// Guards against a clock that goes on while the process does not run, and one that is slow while it does.
func TestClockCountsTheTimeForWhichTheProcessRuns(t *testing.T) {
	c := &Clock{last: time.Now()}
	for _, s := range []struct{ passed, want time.Duration }{
		{step, step}, {step + step/2, 2*step + step/2}, {10 * time.Second, 2*step + step/2 + maxStep}, {0, 2*step + step/2 + maxStep},
	} {
		c.advance(c.last.Add(s.passed))
		if c.elapsed != s.want {
			t.Errorf("%s after the step of %s, want %s", c.elapsed, s.passed, s.want)
		}
	}
}

func TestClockIsNotAheadOfOthers(t *testing.T) {
	began := time.Now()
	c := Start(t)
	time.Sleep(20 * step)
	elapsed := c.Elapsed()
	if passed := time.Since(began); elapsed <= 0 || elapsed > passed {
		t.Errorf("%s in %s", elapsed, passed)
	}
}
