package soak

import (
	"slices"
	"sync"
	"time"
)

// faultIntervals records the intervals during which faults are active. They may overlap. The
// zero value is empty. It is safe for concurrent use.
type faultIntervals struct {
	mu        sync.Mutex
	intervals []interval
}

// interval is the time of one fault. end is zero while the fault is active.
type interval struct{ start, end time.Time }

// begin records the start of a fault. The returned function records its end.
func (f *faultIntervals) begin() func() {
	f.mu.Lock()
	defer f.mu.Unlock()
	i := len(f.intervals)
	f.intervals = append(f.intervals, interval{start: time.Now()})
	return func() {
		f.mu.Lock()
		defer f.mu.Unlock()
		f.intervals[i].end = time.Now()
	}
}

// all returns the intervals.
func (f *faultIntervals) all() []interval {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.intervals)
}

// inactiveBefore reports whether no fault is active now and none has ended after at minus period.
func (f *faultIntervals) inactiveBefore(at time.Time, period time.Duration) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, i := range f.intervals {
		if i.end.IsZero() || i.end.After(at.Add(-period)) {
			return false
		}
	}
	return true
}

// inactiveBetween reports whether no fault has been active between two times.
func (f *faultIntervals) inactiveBetween(from, to time.Time) bool {
	f.mu.Lock()
	defer f.mu.Unlock()
	for _, i := range f.intervals {
		if i.start.Before(to) && (i.end.IsZero() || i.end.After(from)) {
			return false
		}
	}
	return true
}
