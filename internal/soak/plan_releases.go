package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// meanReleaseInterval is the mean time between the starts of two replacements of an upstream.
	meanReleaseInterval = 600 * time.Millisecond
	// minLeaveTime and maxLeaveTime limit how long a replaced upstream says that it leaves, and then how
	// long it serves on without an entry.
	minLeaveTime, maxLeaveTime = 300 * time.Millisecond, 1500 * time.Millisecond
	// meanUpstreamCrashInterval is the mean time between two crashes of upstreams, meanProcessFaultInterval
	// that between faults of instances.
	meanUpstreamCrashInterval = 700 * time.Millisecond
	meanProcessFaultInterval  = 1100 * time.Millisecond
	// meanBreakInterval is the mean time between two times at which breakShare of the upstreams break
	// most responses.
	meanBreakInterval = 1500 * time.Millisecond
	breakShare        = 0.5
)

// newReleasePlan generates a plan in which upstreams are replaced by others of other versions, forwards and
// back, while upstreams crash and break responses and instances are killed, stopped and paused.
func newReleasePlan(seed uint64, o Options) []fault {
	rng := rand.New(rand.NewPCG(seed, 9))
	draw := func(low, high time.Duration) time.Duration { return low + time.Duration(rng.Int64N(int64(high-low))) }
	plan := drawFaults(rng, o.Duration, meanReleaseInterval, func() fault {
		return fault{kind: releaseUpstream, target: rng.IntN(o.Upstreams), duration: draw(minLeaveTime, maxLeaveTime)}
	})
	plan = append(plan, drawFaults(rng, o.Duration, meanUpstreamCrashInterval, func() fault {
		return fault{kind: crashUpstream, target: rng.IntN(o.Upstreams)}
	})...)
	plan = append(plan, drawFaults(rng, o.Duration, meanBreakInterval, func() fault {
		return fault{kind: breakMany, target: rng.IntN(o.Upstreams), share: breakShare, duration: draw(minFaultDuration, maxFaultDuration)}
	})...)
	kinds := []faultKind{killProcess, killProcess, stopProcess, pauseProcess, breakResponses, disruptStoreLink, compactHistory}
	plan = append(plan, drawFaults(rng, o.Duration, meanProcessFaultInterval, func() fault {
		return fault{kind: kinds[rng.IntN(len(kinds))], target: rng.IntN(o.Instances * o.Upstreams),
			duration: draw(minFaultDuration, maxFaultDuration), mode: modeStall + proxyMode(rng.IntN(int(modeDelay)))}
	})...)
	slices.SortStableFunc(plan, func(a, b fault) int { return cmp.Compare(a.start, b.start) })
	return plan
}
