package dispatch

import (
	"slices"
	"time"
)

// medians holds the failure rate and slowness of the median upstream, with which upstreams are
// compared: if all upstreams are late or fail, the cause is the load or the service, and none
// of them is avoided.
type medians struct {
	computedAt         time.Duration
	failures, slowness float64
}

// mediansTTL is the time for which computed medians are reused.
const mediansTTL = 20 * time.Millisecond

// medians returns the medians over all upstreams. Of two middle values it uses the lower one.
func (d *Dispatcher) medians(now time.Duration) medians {
	if d.cachedMedians.computedAt > 0 && now < d.cachedMedians.computedAt+mediansTTL {
		return d.cachedMedians
	}
	d.cachedMedians = medians{
		computedAt: now,
		failures:   d.median(func(u *upstream) float64 { return u.failures.decayed(now) }),
		slowness:   d.median(func(u *upstream) float64 { return u.slowness.decayed(now) }),
	}
	return d.cachedMedians
}

func (d *Dispatcher) median(metric func(*upstream) float64) float64 {
	d.medianBuffer = d.medianBuffer[:0]
	for _, u := range d.byHash {
		d.medianBuffer = append(d.medianBuffer, metric(u))
	}
	if len(d.medianBuffer) == 0 {
		return 0
	}
	slices.Sort(d.medianBuffer)
	return d.medianBuffer[(len(d.medianBuffer)-1)/2]
}
