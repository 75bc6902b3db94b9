// Package testtime lets tests bound what a process takes by the time for which it could run, so that a bound does not
// depend on how busy the machine is.
package testtime

import (
	"sync"
	"testing"
	"time"
)

const (
	// step is the time between two readings of a clock.
	step = 5 * time.Millisecond
	// maxStep bounds what one step counts for: in the rest of a longer one, the process did not run.
	maxStep = 2 * step
)

// Clock measures the time for which the process could run. On a machine that is not busy it is the same as other clocks.
type Clock struct {
	mu      sync.Mutex
	last    time.Time
	elapsed time.Duration
}

// Start starts a clock that runs until the test ends.
func Start(tb testing.TB) *Clock {
	c := &Clock{last: time.Now()}
	done := make(chan struct{})
	var group sync.WaitGroup
	group.Go(func() {
		for {
			select {
			case <-time.After(step):
				c.Elapsed()
			case <-done:
				return
			}
		}
	})
	tb.Cleanup(func() { close(done); group.Wait() })
	return c
}

// Elapsed returns the time since the start.
func (c *Clock) Elapsed() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.advance(time.Now())
	return c.elapsed
}

func (c *Clock) advance(now time.Time) {
	c.elapsed += min(now.Sub(c.last), maxStep)
	c.last = now
}
