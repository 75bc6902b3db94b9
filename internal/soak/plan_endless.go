package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// meanEndlessInterval is the mean time between the starts of two upstreams that send bytes without
	// end; most overlap.
	meanEndlessInterval = time.Second
	// minEndlessDuration and maxEndlessDuration limit how long an upstream does so.
	minEndlessDuration, maxEndlessDuration = 2 * time.Second, 8 * time.Second
)

// newEndlessPlan generates a plan in which upstreams send bytes without end while instances are
// killed, paused, restarted and cut off from the store.
func newEndlessPlan(seed uint64, o Options) []fault {
	rng := rand.New(rand.NewPCG(seed, 5))
	draw := func(low, high time.Duration) time.Duration { return low + time.Duration(rng.Int64N(int64(high-low))) }
	plan := drawFaults(rng, o.Duration, meanEndlessInterval, func() fault {
		return fault{kind: sendEndless, target: rng.IntN(o.Upstreams), duration: draw(minEndlessDuration, maxEndlessDuration)}
	})
	instanceKinds := []faultKind{killProcess, pauseProcess, stopProcess, disruptStoreLink, failStore, drainUpstream, breakResponses}
	plan = append(plan, drawFaults(rng, o.Duration, meanInstanceFaultInterval, func() fault {
		return fault{kind: instanceKinds[rng.IntN(len(instanceKinds))], target: rng.IntN(o.Instances * o.Upstreams),
			duration: draw(minFaultDuration, maxFaultDuration), mode: modeStall + proxyMode(rng.IntN(int(modeDelay)))}
	})...)
	slices.SortStableFunc(plan, func(a, b fault) int { return cmp.Compare(a.start, b.start) })
	return plan
}

// drawFaults draws faults with exponentially distributed times between their starts.
func drawFaults(rng *rand.Rand, duration, mean time.Duration, newFault func() fault) []fault {
	var plan []fault
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() * float64(mean))
		if at >= duration {
			return plan
		}
		f := newFault()
		f.start = at
		plan = append(plan, f)
	}
}
