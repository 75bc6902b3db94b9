package soak

import (
	"sync"
	"time"
)

// faultIntervals records the intervals during which faults are active. They may overlap. The
// zero value is empty. It is safe for concurrent use.
type faultIntervals struct {
	mu       sync.Mutex
	endTimes []time.Time // zero while the fault is active
}

// begin records the start of a fault. The returned function records its end.
func (f *faultIntervals) begin() func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := len(f.endTimes)
	f.endTimes = append(f.endTimes, time.Time{})
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.endTimes[i] = time.Now()
	}
}

// inactiveBefore reports whether no fault is active now and none has ended after at minus period.
func (f *faultIntervals) inactiveBefore(at time.Time, period time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, end := range f.endTimes {
		if end.IsZero() || end.After(at.Add(-period)) {
			return false
		}
	}
	return true
}
