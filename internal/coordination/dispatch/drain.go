package dispatch

import (
	"math"
	"time"
)

// drainHalfLife is the half-life of the measured drain rate.
const drainHalfLife = time.Second

// drainRate measures how much work this instance places, in seconds of prefill with nothing cached, the unit
// of the queue. In a fleet the upstreams serve the queues of all instances, so the number of upstreams
// alone says nothing about how fast one queue empties. This matters when more long prompts arrive at
// all instances than the upstreams can process for several seconds: predictions that are too short keep
// requests waiting which then expire.
type drainRate struct {
	work      float64 // decayed sum of the work placed
	updatedAt time.Duration
}

func (r *drainRate) add(now time.Duration, seconds float64) {
	r.work, r.updatedAt = r.decayed(now)+seconds, now
}

func (r *drainRate) decayed(now time.Duration) float64 {
	return r.work * math.Exp2(-float64(max(0, now-r.updatedAt))/float64(drainHalfLife))
}

// perSecond returns the work placed per second.
func (r *drainRate) perSecond(now time.Duration) float64 {
	return r.decayed(now) * math.Ln2 / drainHalfLife.Seconds()
}

// bestServiceTime is the time in which all upstreams complete work if they do nothing else. A rejection for a
// target that might be missed rests on it, as other instances may have nothing to do.
func (d *Dispatcher) bestServiceTime(workSeconds float64) time.Duration {
	return time.Duration(workSeconds / float64(max(1, len(d.byHash))) * float64(time.Second))
}

// serviceTime is the time in which the upstreams complete work of this instance's queue: at the rate at which
// they did lately, but at least at the instance's equal share of them.
func (d *Dispatcher) serviceTime(now time.Duration, workSeconds float64) time.Duration {
	upstreams := float64(max(1, len(d.byHash)))
	share := upstreams / float64(max(1, len(d.instances)))
	rate := min(max(d.drain.perSecond(now), share), upstreams)
	return time.Duration(workSeconds / rate * float64(time.Second))
}
