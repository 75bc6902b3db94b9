package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// minPhase and maxPhase limit the duration of a fault of several upstreams. The longest
	// outlast the retry window.
	minPhase, maxPhase = time.Second, 13 * time.Second
	// minFaultyShare is the smallest share of the upstreams that such a fault affects.
	minFaultyShare = 0.4
	// meanInstanceFaultInterval is the mean time between the starts of the other faults.
	meanInstanceFaultInterval = 1500 * time.Millisecond
	// laterInstances is the share of the instances that start after the load.
	laterInstances = 0.25
)

// newRetryPlan generates a plan that makes instances use up the retry budget: faults of several
// upstreams follow one another, while instances are killed, paused, restarted, added and cut off
// from the store.
func newRetryPlan(seed uint64, o Options) []fault {
	rng := rand.New(rand.NewPCG(seed, 2))
	var plan []fault
	draw := func(low, high time.Duration) time.Duration { return low + time.Duration(rng.Int64N(int64(high-low))) }
	for at := time.Duration(0); at < o.Duration; {
		f := fault{start: at, duration: draw(minPhase, maxPhase), kind: breakMany + faultKind(rng.IntN(int(delayInstance-breakMany))),
			target: rng.IntN(o.Upstreams), share: minFaultyShare + (1-minFaultyShare)*rng.Float64()}
		plan = append(plan, f)
		at += time.Duration(float64(f.duration) * (0.5 + 0.7*rng.Float64())) // some overlap, some leave a pause
	}
	for i := range int(laterInstances * float64(o.Instances)) {
		plan = append(plan, fault{kind: delayInstance, target: o.Instances - 1 - i, duration: draw(0, o.Duration)})
	}
	instanceKinds := []faultKind{killProcess, pauseProcess, stopProcess, disruptStoreLink, failStore, drainUpstream}
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() * float64(meanInstanceFaultInterval))
		if at >= o.Duration {
			break
		}
		plan = append(plan, fault{start: at, duration: draw(minFaultDuration, maxFaultDuration), kind: instanceKinds[rng.IntN(len(instanceKinds))],
			target: rng.IntN(o.Instances * o.Upstreams), mode: modeStall + proxyMode(rng.IntN(int(modeDelay)))})
	}
	slices.SortStableFunc(plan, func(a, b fault) int { return cmp.Compare(a.start, b.start) })
	return plan
}
