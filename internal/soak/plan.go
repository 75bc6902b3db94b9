package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// faultKind identifies the kind of a fault. The constants are indices of faultKindNames.
type faultKind int

const (
	killProcess faultKind = iota
	pauseProcess
	stopProcess
	reloadProcess
	disruptUpstreamLink // connections to one upstream
	disruptStoreLink    // connections of one instance to the store
	failStore           // the store responds with 503
	compactHistory
	changeRoutes
	revokeKey
	drainUpstream
	breakResponses     // responses are interrupted
	rejectRequests     // requests are rejected as not run
	sendStaleResponses // responses to other requests are sent first
	// The kinds from here on are drawn only by the other plans.
	breakMany          // most responses are interrupted
	rejectMany         // most requests are rejected as not run
	pauseMany          // upstreams read nothing and then go on with all that has arrived
	delayInstance      // an instance starts only after the load
	stateLimit         // an upstream states a limit in its answers
	sendEndless        // responses are replaced by bytes without end
	endResponses       // responses end halfway with their connection, without length or chunks, or have malformed heads
	returnStore        // the store comes back from an older copy
	releaseUpstream    // another version takes the place of an upstream
	crashUpstream      // an upstream crashes and starts again
	partitionInstances // instances lose their links to all upstreams
	stateLeaving       // an upstream states that it leaves, and then starts again
	statePause         // an upstream rejects requests and states when to come back
	removeUpstream     // the entry of an upstream is removed although it still serves
	stallProcess       // an instance does not run for a moment, also while it is stopped
	evacuateDomain     // a failure domain of upstreams is evacuated and taken back
	faultKindCount

	// mixedKindCount is the number of kinds that mixed plans draw.
	mixedKindCount = breakMany
)

var faultKindNames = [faultKindCount]string{"kill", "pause", "stop", "reload", "harm_upstream", "harm_store_link", "fail_store", "drop_history",
	"change_routes", "revoke_key", "upstream_leaves", "upstream_breaks", "upstream_refuses", "upstream_stray",
	"upstreams_break", "upstreams_refuse", "upstreams_pause", "start_later", "upstream_limit", "upstream_endless", "upstream_ends", "store_returns",
	"release", "upstream_crashes", "partition", "states_leaving", "states_pause", "entry_removed", "stall", "evacuate"}

// fault is one entry of a fault plan.
type fault struct {
	start, duration time.Duration // start is relative to the start of the load
	kind            faultKind
	target          int       // index of an instance or upstream, modulo their number
	mode            proxyMode // of the proxy, for link faults
	share           float64   // of the upstreams, for faults of several
	limit           float64   // requests per second, for limits
	domain          bool      // all instances of the failure domain of the target, for partitions
	keepOpen        bool      // open connections live on, for partitions
}

func (f fault) String() string {
	s := fmt.Sprintf("%6.2fs %-16s target=%d for %.2fs", f.start.Seconds(), faultKindNames[f.kind], f.target, f.duration.Seconds())
	if f.share > 0 {
		s += fmt.Sprintf(" share=%.2f", f.share)
	}
	if f.limit > 0 {
		s += fmt.Sprintf(" limit=%g/s", f.limit)
	}
	if f.kind == disruptUpstreamLink || f.kind == disruptStoreLink {
		s += " " + f.mode.String()
	}
	return s
}

const (
	// meanFaultInterval is the mean time between the starts of faults. Most faults last longer
	// and therefore overlap.
	meanFaultInterval = 350 * time.Millisecond
	// minFaultDuration and maxFaultDuration limit the duration of a fault: from less than a
	// route timeout to more than the freshness.
	minFaultDuration, maxFaultDuration = 200 * time.Millisecond, 2500 * time.Millisecond
	// repeatProbability is the probability that a fault is repeated on the same target shortly
	// after it ends.
	repeatProbability = 0.2
)

// newFaultPlan generates the faults of a run from the seed.
func newFaultPlan(seed uint64, o Options) []fault {
	switch o.Faults {
	case RetryFaults:
		return newRetryPlan(seed, o)
	case LimitFaults:
		return newLimitPlan(seed, o)
	case EndlessFaults:
		return newEndlessPlan(seed, o)
	case DrillFaults:
		return newDrillPlan(seed, o)
	case ReleaseFaults:
		return newReleasePlan(seed, o)
	case StatementFaults:
		return newStatementPlan(seed, o)
	case PartitionFaults:
		return newPartitionPlan(seed, o)
	case RemovalFaults:
		return newRemovalPlan(seed, o)
	case StopFaults:
		return newStopPlan(seed, o)
	case EvacuationFaults:
		return newEvacuationPlan(seed, o)
	}
	return newMixedPlan(seed, o)
}

func newMixedPlan(seed uint64, o Options) []fault {
	rng := rand.New(rand.NewPCG(seed, 1))
	var plan []fault
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() * float64(meanFaultInterval))
		if at >= o.Duration {
			return plan
		}
		f := fault{start: at, kind: faultKind(rng.IntN(int(mixedKindCount))), mode: modeStall + proxyMode(rng.IntN(int(modeDelay)))}
		f.duration = minFaultDuration + time.Duration(rng.Int64N(int64(maxFaultDuration-minFaultDuration)))
		f.target = rng.IntN(o.Instances * o.Upstreams)
		plan = append(plan, f)
		if rng.Float64() < repeatProbability {
			f.start += f.duration + time.Duration(rng.Int64N(int64(meanFaultInterval)))
			plan = append(plan, f)
		}
	}
}
