package scheduler

import (
	"slices"
	"testing"
	"time"
)

// With Goodput, a request past its first-token target must not take the slot of a request of its
// tier, from the same team or another, that can still meet its target. It is still dispatched
// before lower tiers. With Attainment, no request is deferred.
func TestLateRequestsAreDeferredWithinTheirTier(t *testing.T) {
	for objective, want := range map[Objective][]uint64{
		Goodput:    {3, 4, 1, 2, 5},
		Attainment: {3, 4, 5},
	} {
		o := traceOptions()
		o.Objective = objective
		s := newTestScheduler(o)
		enqueue := func(id uint64, class, team string, at time.Duration) {
			if sheds := s.Enqueue(at, Request{ID: id, Class: class, Team: team, Arrived: at}); len(sheds) > 0 {
				t.Fatalf("%s: request %d was shed: %+v", objective, id, sheds)
			}
		}
		enqueue(1, "memo", "a", 0)
		enqueue(2, "memo", "b", 0)
		enqueue(3, "memo", "a", 500*ms)
		enqueue(4, "memo", "b", 500*ms)
		enqueue(5, "draft", "a", 500*ms)
		var got []uint64
		for {
			r, ok, _ := s.Next(600 * ms)
			if !ok {
				break
			}
			got = append(got, r.ID)
		}
		if !slices.Equal(got, want) {
			t.Errorf("%s: dispatched %v, want %v", objective, got, want)
		}
	}
}
