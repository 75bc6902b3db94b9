package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// meanDrillInterval is the mean time between the starts of two drills.
	meanDrillInterval = 4 * time.Second
	// minCopyAge and maxCopyAge limit the age of the copy from which the store comes back.
	minCopyAge, maxCopyAge = 300 * time.Millisecond, 4 * time.Second
	// meanEndInterval is the mean time between the starts of two upstreams that end responses halfway or send
	// malformed heads.
	meanEndInterval = 2 * time.Second
	// meanDrillFaultInterval is the mean time between other faults.
	meanDrillFaultInterval = 900 * time.Millisecond
)

// newDrillPlan generates a plan in which the store comes back from older copies, while instances are
// killed, paused, restarted and cut off from the store, and upstreams come, go and end responses halfway.
func newDrillPlan(seed uint64, o Options) []fault {
	rng := rand.New(rand.NewPCG(seed, 6))
	draw := func(low, high time.Duration) time.Duration { return low + time.Duration(rng.Int64N(int64(high-low))) }
	plan := drawFaults(rng, o.Duration, meanDrillInterval, func() fault {
		return fault{kind: returnStore, duration: draw(minCopyAge, maxCopyAge)}
	})
	plan = append(plan, drawFaults(rng, o.Duration, meanEndInterval, func() fault {
		return fault{kind: endResponses, target: rng.IntN(o.Upstreams), duration: draw(minFaultDuration, maxFaultDuration)}
	})...)
	kinds := []faultKind{killProcess, pauseProcess, stopProcess, disruptStoreLink, failStore, compactHistory, changeRoutes, revokeKey, drainUpstream, breakResponses}
	plan = append(plan, drawFaults(rng, o.Duration, meanDrillFaultInterval, func() fault {
		return fault{kind: kinds[rng.IntN(len(kinds))], target: rng.IntN(o.Instances * o.Upstreams),
			duration: draw(minFaultDuration, maxFaultDuration), mode: modeStall + proxyMode(rng.IntN(int(modeDelay)))}
	})...)
	slices.SortStableFunc(plan, func(a, b fault) int { return cmp.Compare(a.start, b.start) })
	return plan
}
