package soak

import (
	"slices"
	"time"

	"github.com/yuccabridge/yuccabridge/platform/standin"
)

// The published bound on requests to an upstream that states a limit: from limitLearnTime after it
// first stated it, it gets in any limitWindow at most limitFactor times what the limit allows, plus
// limitAllowance requests, from instances that passed on such an answer toldTime before or earlier.
const (
	limitLearnTime = 3 * time.Second
	limitWindow    = 4 * time.Second
	limitFactor    = 1.5
	limitAllowance = 5
	toldTime       = 500 * time.Millisecond
	// answerMargin is the time within which an upstream without faults answers.
	answerMargin = 200 * time.Millisecond
)

// limitInterval is a time in which an upstream states a limit; end is zero while it does.
type limitInterval struct {
	start, end time.Time
	limit      float64
}

// beginLimit makes the upstream state a limit. The returned function ends it. Of overlapping
// limits, only the first is stated.
func (u *upstream) beginLimit(limit float64) func() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.limit > 0 {
		return func() {}
	}
	u.limit = limit
	i := len(u.limitIntervals)
	u.limitIntervals = append(u.limitIntervals, limitInterval{start: time.Now(), limit: limit})
	return func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		u.limit, u.limitIntervals[i].end = 0, time.Now()
	}
}

// checkLimits checks the bound for all limits that were stated.
func (tb *testbed) checkLimits(observations []observation) {
	instanceOf := map[string]int{}
	for _, o := range observations {
		instanceOf[o.id] = o.instance
	}
	for _, u := range tb.upstreams {
		u.mu.Lock()
		intervals := slices.Clone(u.limitIntervals)
		u.mu.Unlock()
		arrivals := u.Arrivals()
		for _, i := range intervals {
			counted := tb.countedArrivals(u, i, arrivals, instanceOf)
			bound := int(limitFactor*i.limit*limitWindow.Seconds() + limitAllowance)
			if n, at := largestWindow(counted); n > bound {
				tb.addViolation("%s had stated a limit of %g a second for %v and got %d requests in %v, allowed are %d",
					u.Name, i.limit, at.Sub(i.start).Round(time.Millisecond), n, limitWindow, bound)
			}
			tb.limitedArrivals += len(counted)
		}
	}
}

// countedArrivals returns the times of the arrivals to which the bound applies, in order. Instances
// with a fault of their process are excused.
func (tb *testbed) countedArrivals(u *upstream, limit limitInterval, arrivals []standin.Arrival, instanceOf map[string]int) []time.Time {
	toldAt := map[int]time.Time{}
	var counted []time.Time
	for _, a := range arrivals {
		instance, known := instanceOf[a.ID]
		if !known || a.At.Before(limit.start) || !limit.end.IsZero() && a.At.After(limit.end) {
			continue
		}
		told, ok := toldAt[instance]
		if !ok && u.linkFaults.inactiveBetween(a.At, a.At.Add(answerMargin)) {
			toldAt[instance] = a.At.Add(answerMargin)
			continue
		}
		applies := ok && a.At.After(told.Add(toldTime)) && a.At.After(limit.start.Add(limitLearnTime))
		if applies && tb.instances[instance].processFaults.inactiveBetween(a.At.Add(-stabilityPeriod), a.At) {
			counted = append(counted, a.At)
		}
	}
	slices.SortFunc(counted, time.Time.Compare)
	return counted
}

// largestWindow returns the largest number of times in a limitWindow, and its start.
func largestWindow(times []time.Time) (n int, at time.Time) {
	for i, first := range times {
		count := 0
		for _, t := range times[i:] {
			if t.Sub(first) < limitWindow {
				count++
			}
		}
		if count > n {
			n, at = count, first
		}
	}
	return n, at
}
