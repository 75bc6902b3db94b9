package dispatch

import (
	"slices"
	"time"
)

// usual is what the median upstream shows. Upstreams are compared with it: where all of them
// are late or fail, the cause is the load or the service, and none of them is avoided.
type usual struct {
	at                 time.Duration
	failures, slowness float64
}

// usualInterval is how long the medians are used before they are computed again.
const usualInterval = 20 * time.Millisecond

// usual returns the medians over the upstreams, the lower one of two.
func (d *Dispatcher) usual(now time.Duration) usual {
	if d.medians.at > 0 && now < d.medians.at+usualInterval {
		return d.medians
	}
	d.medians = usual{
		at:       now,
		failures: d.median(func(s *server) float64 { return s.failures.get(now) }),
		slowness: d.median(func(s *server) float64 { return s.slowness.get(now) }),
	}
	return d.medians
}

func (d *Dispatcher) median(of func(*server) float64) float64 {
	d.values = d.values[:0]
	for _, s := range d.order {
		d.values = append(d.values, of(s))
	}
	if len(d.values) == 0 {
		return 0
	}
	slices.Sort(d.values)
	return d.values[(len(d.values)-1)/2]
}
