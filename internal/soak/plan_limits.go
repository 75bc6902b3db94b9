package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// meanLimitInterval is the mean time between the starts of two limits.
	meanLimitInterval = 2 * time.Second
	// minLimitDuration and maxLimitDuration limit how long an upstream states a limit. The bound
	// applies to windows that begin limitLearnTime after its start.
	minLimitDuration, maxLimitDuration = 8 * time.Second, 16 * time.Second
	// minPauseOfMany and maxPauseOfMany limit the pauses of upstreams beside limits.
	minPauseOfMany, maxPauseOfMany = 300 * time.Millisecond, 5 * time.Second
	// meanPauseInterval is the mean time between the starts of two such pauses.
	meanPauseInterval = 5 * time.Second
)

// statedLimits are the limits that upstreams state, in requests per second.
var statedLimits = []float64{0.5, 1, 2.2, 4, 8}

// newLimitPlan generates a plan in which upstreams state limits while they pause, and while
// instances are killed, paused, restarted, added and cut off from the store.
func newLimitPlan(seed uint64, o Options) []fault {
	rng := rand.New(rand.NewPCG(seed, 4))
	draw := func(low, high time.Duration) time.Duration { return low + time.Duration(rng.Int64N(int64(high-low))) }
	plan := drawFaults(rng, o.Duration, meanLimitInterval, func() fault {
		return fault{kind: stateLimit, target: rng.IntN(o.Upstreams), duration: draw(minLimitDuration, maxLimitDuration), limit: statedLimits[rng.IntN(len(statedLimits))]}
	})
	plan = append(plan, drawFaults(rng, o.Duration, meanPauseInterval, func() fault {
		return fault{kind: pauseMany, target: rng.IntN(o.Upstreams), duration: draw(minPauseOfMany, maxPauseOfMany), share: rng.Float64()}
	})...)
	instanceKinds := []faultKind{killProcess, pauseProcess, stopProcess, disruptStoreLink, failStore, drainUpstream}
	plan = append(plan, drawFaults(rng, o.Duration, meanInstanceFaultInterval, func() fault {
		return fault{kind: instanceKinds[rng.IntN(len(instanceKinds))], target: rng.IntN(o.Instances * o.Upstreams),
			duration: draw(minFaultDuration, maxFaultDuration), mode: modeStall + proxyMode(rng.IntN(int(modeDelay)))}
	})...)
	for i := range int(laterInstances * float64(o.Instances)) {
		plan = append(plan, fault{kind: delayInstance, target: o.Instances - 1 - i, duration: draw(0, o.Duration)})
	}
	slices.SortStableFunc(plan, func(a, b fault) int { return cmp.Compare(a.start, b.start) })
	return plan
}
