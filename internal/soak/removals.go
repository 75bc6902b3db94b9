package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// meanRemovalInterval is the mean time between two upstreams that leave without notice, and
	// meanStoreLinkInterval that between two instances that lose the store.
	meanRemovalInterval   = 1500 * time.Millisecond
	meanStoreLinkInterval = 1200 * time.Millisecond
	// meanRemovalFaultInterval is the mean time between other faults.
	meanRemovalFaultInterval = 2500 * time.Millisecond
	// maxRemovalDelay is the time after the removal of an entry within which its upstream may still get
	// requests.
	maxRemovalDelay = 2 * time.Second
)

// newRemovalPlan generates a plan in which the entries of upstreams are removed, although they still serve, while
// instances lose the store for seconds, most of them without an error, and are killed, paused and restarted.
func newRemovalPlan(seed uint64, o Options) []fault {
	rng := rand.New(rand.NewPCG(seed, 12))
	draw := func(low, high time.Duration) time.Duration { return low + time.Duration(rng.Int64N(int64(high-low))) }
	plan := drawFaults(rng, o.Duration, meanRemovalInterval, func() fault {
		return fault{kind: removeUpstream, target: rng.IntN(o.Upstreams), duration: draw(4*time.Second, 9*time.Second)}
	})
	modes := []proxyMode{modeStall, modeStall, modeStallResponses, modeReset}
	plan = append(plan, drawFaults(rng, o.Duration, meanStoreLinkInterval, func() fault {
		return fault{kind: disruptStoreLink, target: rng.IntN(o.Instances), duration: draw(time.Second, 5*time.Second), mode: modes[rng.IntN(len(modes))]}
	})...)
	kinds := []faultKind{killProcess, stopProcess, pauseProcess, failStore, compactHistory, changeRoutes}
	plan = append(plan, drawFaults(rng, o.Duration, meanRemovalFaultInterval, func() fault {
		return fault{kind: kinds[rng.IntN(len(kinds))], target: rng.IntN(o.Instances * o.Upstreams), duration: draw(minFaultDuration, maxFaultDuration)}
	})...)
	slices.SortStableFunc(plan, func(a, b fault) int { return cmp.Compare(a.start, b.start) })
	return plan
}

// removeEntry removes the entry of the upstream, which still serves, and publishes it again after waitForEnd.
func (u *upstream) removeEntry(tb *testbed, waitForEnd func()) {
	u.removalMu.Lock()
	defer u.removalMu.Unlock()
	u.register(tb.store, removed)
	end := u.removals.begin()
	waitForEnd()
	end()
	u.register(tb.store, serving)
}

// checkRemovals checks that an upstream without an entry gets nothing from instances that have had access to the store
// for a while.
func (tb *testbed) checkRemovals(observations []observation) {
	sent := map[string]observation{}
	for _, o := range observations {
		sent[o.id] = o
	}
	for _, u := range tb.upstreams {
		removals := u.removals.all()
		for _, a := range u.Arrivals() {
			o, known := sent[a.ID]
			if !known || !tb.hasStableStoreAccess(o.instance, o.sent) {
				continue
			}
			for _, r := range removals {
				if o.sent.After(r.start.Add(maxRemovalDelay)) && (r.end.IsZero() || a.At.Before(r.end)) {
					tb.addViolation("request %s reached %s from front-%d %v after its entry was removed", a.ID, u.Name, o.instance, a.At.Sub(r.start).Round(time.Millisecond))
				}
			}
		}
		tb.removals += len(removals)
	}
}
