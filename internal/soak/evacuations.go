package soak

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"time"
)

const (
	// evacuatedDomain is the failure domain of every second upstream; it is evacuated and taken back.
	evacuatedDomain = "far"
	// meanEvacuationInterval is the mean time from the end of one evacuation to the next, as evacuations of one failure domain
	// do not overlap.
	meanEvacuationInterval = 4 * time.Second
	// minEvacuation and maxEvacuation limit an evacuation; it must outlast maxEvacuationDelay.
	minEvacuation, maxEvacuation = 4 * time.Second, 7 * time.Second
	// maxEvacuationDelay is the time after the publication within which requests may still reach the failure domain.
	maxEvacuationDelay = 3 * time.Second
	// coldTime and coldRate are published for the service: how long an upstream is cold after a start or an evacuation, and the
	// requests per second that it takes from all instances together.
	coldTime = 3 * time.Second
	coldRate = 6.0
	// coldFactor and coldAllowance are the published bound: in any second a cold upstream gets at most coldFactor times
	// its rate and coldAllowance requests.
	coldFactor    = 1.5
	coldAllowance = 5
	// meanColdFaultInterval is the mean time between other faults.
	meanColdFaultInterval = 1500 * time.Millisecond
)

// newEvacuationPlan generates a plan in which a failure domain is evacuated and taken back, its upstreams being cold, while
// instances lose the store for seconds, are killed, paused and restarted.
func newEvacuationPlan(seed uint64, o Options) []fault {
	rng := rand.New(rand.NewPCG(seed, 15))
	draw := func(low, high time.Duration) time.Duration { return low + time.Duration(rng.Int64N(int64(high-low))) }
	var plan []fault
	for at := draw(time.Second, 2*time.Second); at < o.Duration; {
		f := fault{kind: evacuateDomain, start: at, duration: draw(minEvacuation, maxEvacuation)}
		plan = append(plan, f)
		at += f.duration + coldTime + draw(time.Second, meanEvacuationInterval)
	}
	modes := []proxyMode{modeStall, modeStallResponses, modeReset}
	plan = append(plan, drawFaults(rng, o.Duration, meanStoreLinkInterval, func() fault {
		return fault{kind: disruptStoreLink, target: rng.IntN(o.Instances), duration: draw(time.Second, 4*time.Second), mode: modes[rng.IntN(len(modes))]}
	})...)
	kinds := []faultKind{killProcess, stopProcess, pauseProcess, failStore, compactHistory, changeRoutes}
	plan = append(plan, drawFaults(rng, o.Duration, meanColdFaultInterval, func() fault {
		return fault{kind: kinds[rng.IntN(len(kinds))], target: rng.IntN(o.Instances * o.Upstreams), duration: draw(minFaultDuration, maxFaultDuration)}
	})...)
	slices.SortStableFunc(plan, func(a, b fault) int { return cmp.Compare(a.start, b.start) })
	return plan
}

// upstreamDomain returns the failure domain of an upstream.
func (o Options) upstreamDomain(i int) string {
	if o.Faults == EvacuationFaults && i%2 == 1 {
		return evacuatedDomain
	}
	return "zone"
}

// evacuate evacuates the failure domain until waitForEnd returns.
func (tb *testbed) evacuate(waitForEnd func()) {
	tb.store.Evacuate(evacuatedDomain)
	end := tb.evacuations.begin()
	waitForEnd()
	end() // before the entry is removed: instances learn of it at once
	tb.store.TakeBack(evacuatedDomain)
}

// checkEvacuations checks that the evacuated failure domain gets nothing from instances that have had access to the store for a
// while, and that its upstreams get no more than a cold one takes when they come back.
func (tb *testbed) checkEvacuations(observations []observation) {
	sent := map[string]observation{}
	for _, o := range observations {
		sent[o.id] = o
	}
	for i, u := range tb.upstreams {
		if tb.options.upstreamDomain(i) != evacuatedDomain {
			continue
		}
		for _, e := range tb.evacuations.all() {
			if e.end.IsZero() {
				continue
			}
			var returned []time.Time
			for _, a := range u.Arrivals() {
				o, known := sent[a.ID]
				if !known {
					continue
				}
				if a.At.After(e.start.Add(maxEvacuationDelay)) && a.At.Before(e.end) && tb.hasStableStoreAccess(o.instance, a.At) {
					tb.addViolation("request %s reached %s from front-%d %v after its failure domain was evacuated", a.ID, u.Name, o.instance, a.At.Sub(e.start).Round(time.Millisecond))
				}
				// An instance that has started since does not know that the failure domain was evacuated.
				knows := tb.instances[o.instance].processFaults.inactiveBetween(e.end, a.At)
				if knows && a.At.After(e.end) && a.At.Before(e.end.Add(coldTime)) {
					returned = append(returned, a.At)
				}
			}
			factor, allowance := coldFactor*coldRate, coldAllowance
			if n, at := largestSecond(returned); float64(n) > factor+float64(allowance) {
				tb.addViolation("%s got %d requests in a second, %v after its failure domain was taken back", u.Name, n, at.Sub(e.end).Round(time.Millisecond))
			}
			tb.coldArrivals += len(returned)
		}
	}
}

// largestSecond returns the largest number of times within a second, and its start.
func largestSecond(times []time.Time) (n int, at time.Time) {
	slices.SortFunc(times, time.Time.Compare)
	for i, first := range times {
		j, _ := slices.BinarySearchFunc(times, first.Add(time.Second), time.Time.Compare)
		if j-i > n {
			n, at = j-i, first
		}
	}
	return n, at
}
