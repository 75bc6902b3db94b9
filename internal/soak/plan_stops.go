package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// meanStopInterval is the mean time between two planned stops, meanReloadInterval that between two hangups.
	meanStopInterval   = 700 * time.Millisecond
	meanReloadInterval = 250 * time.Millisecond
	// meanStallInterval is the mean time between two times at which an instance does not run for up to maxStall.
	meanStallInterval = 300 * time.Millisecond
	maxStall          = 450 * time.Millisecond
	// meanRouteChangeInterval is the mean time between two changes of the routes.
	meanRouteChangeInterval = 1500 * time.Millisecond
	// timeAfterDrain is the rest of the grace period after a drain delay for which a time is announced: requests that arrive
	// in the delay, and connections whose announced time goes on, may take most of it.
	timeAfterDrain = 1500 * time.Millisecond
	// stallAllowance is the time that a stall before such a process learns of the signal and another one at its end may add,
	// with an allowance for a busy machine.
	stallAllowance = 2*maxStall + latenessTolerance
)

// stopDrainDelays are the drain delays of the instances of the stop plan, in turn.
var stopDrainDelays = []time.Duration{drainDelay, 1600 * time.Millisecond, 2500 * time.Millisecond}

// newStopPlan generates a plan in which instances are stopped one after the other, in rounds and several at a time, while
// they get hangups and do not run for moments, and while the routes change.
func newStopPlan(seed uint64, o Options) []fault {
	rng := rand.New(rand.NewPCG(seed, 13))
	instance := func() int { return rng.IntN(o.Instances) }
	var round []int // instances that have not been stopped yet in this round
	nextInRound := func() int {
		if len(round) == 0 {
			round = rng.Perm(o.Instances)
		}
		next := round[0]
		round = round[1:]
		return next
	}
	plan := drawFaults(rng, o.Duration, meanStopInterval, func() fault { return fault{kind: stopProcess, target: nextInRound()} })
	plan = append(plan, drawFaults(rng, o.Duration, meanReloadInterval, func() fault { return fault{kind: reloadProcess, target: instance()} })...)
	plan = append(plan, drawFaults(rng, o.Duration, meanStallInterval, func() fault {
		return fault{kind: stallProcess, target: instance(), duration: time.Duration(rng.Int64N(int64(maxStall)))}
	})...)
	plan = append(plan, drawFaults(rng, o.Duration, meanRouteChangeInterval, func() fault { return fault{kind: changeRoutes} })...)
	slices.SortStableFunc(plan, func(a, b fault) int { return cmp.Compare(a.start, b.start) })
	return plan
}
