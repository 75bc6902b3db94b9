package caller

import (
	"sync"
	"testing"
	"time"

	"github.com/yuccabridge/yuccabridge/internal/lifecycle"
)

// Guards against the crossing at the end of the grace period: connections whose announced time is longer are closed there
// together, while their callers may send on them.
func TestNoRequestCrossesTheEndOfTheGracePeriod(t *testing.T) {
	const (
		drainDelay, grace = 1500 * time.Millisecond, 4 * time.Second
		streamEnds        = grace - lifecycle.ExitMargin - 400*time.Millisecond // after the stop: the announced time is cut
		callers           = 40
		around            = 20 * time.Millisecond
	)
	s := startStoppableWith(t, drainDelay, 204*time.Millisecond)
	var group sync.WaitGroup
	stopped := make(chan time.Time)
	counts := map[outcome]int{}
	var mu sync.Mutex
	for i := range callers {
		c := s.dial(t)
		group.Go(func() {
			if got := c.ask(streamEnds); got != answeredKept {
				t.Errorf("the stream: %s", got)
			}
			endsAt := (<-stopped).Add(grace - lifecycle.ExitMargin)
			time.Sleep(time.Until(endsAt.Add(time.Duration(i)*2*around/callers - around)))
			sentAt := time.Now()
			got := c.askIfAllowed()
			if got == cut {
				t.Errorf("a request sent %s after the end met the close, %s after it was sent", sentAt.Sub(endsAt).Round(time.Millisecond), time.Since(sentAt).Round(time.Millisecond))
			}
			mu.Lock()
			counts[got]++
			mu.Unlock()
		})
	}
	for s.handled.Load() < callers {
		time.Sleep(time.Millisecond)
	}
	startedAt := time.Now()
	s.stop(t, grace)
	for range callers {
		stopped <- startedAt
	}
	group.Wait()
	t.Log(counts)
}
