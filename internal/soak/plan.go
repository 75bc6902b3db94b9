package soak

import (
	"fmt"
	"math/rand/v2"
	"time"
)

// kind is a kind of fault.
type kind int

const (
	killProcess kind = iota
	pauseProcess
	stopProcess
	reloadProcess
	harmUpstream  // the connections to one upstream
	harmStoreLink // the connections of one instance to the store
	failStore     // the store answers 503
	dropHistory
	changeRoutes
	revokeKey
	upstreamLeaves
	upstreamBreaks  // answers break off
	upstreamRefuses // requests are not run
	upstreamStray   // answers to other requests come first
	kinds           // number of kinds
)

var kindNames = [kinds]string{"kill", "pause", "stop", "reload", "harm_upstream", "harm_store_link", "fail_store", "drop_history",
	"change_routes", "revoke_key", "upstream_leaves", "upstream_breaks", "upstream_refuses", "upstream_stray"}

// fault is one entry of a plan.
type fault struct {
	at, lasts time.Duration // from the start of the load
	kind      kind
	target    int  // of the instances or the upstreams
	mode      mode // of a link
}

func (f fault) String() string {
	s := fmt.Sprintf("%6.2fs %-16s target=%d for %.2fs", f.at.Seconds(), kindNames[f.kind], f.target, f.lasts.Seconds())
	if f.kind == harmUpstream || f.kind == harmStoreLink {
		s += " " + f.mode.String()
	}
	return s
}

const (
	// meanGap is the mean time between faults; they last longer and so overlap.
	meanGap = 350 * time.Millisecond
	// shortest and longest bound how long a fault lasts: from less than a time limit of the
	// routes to more than the freshness.
	shortest, longest = 200 * time.Millisecond, 2500 * time.Millisecond
	// series is the share of faults that come again at once at the same target.
	series = 0.2
)

// makePlan draws the faults of a run.
func makePlan(seed uint64, o Options) []fault {
	rng := rand.New(rand.NewPCG(seed, 1))
	var plan []fault
	for at := time.Duration(0); ; {
		at += time.Duration(rng.ExpFloat64() * float64(meanGap))
		if at >= o.Duration {
			return plan
		}
		f := fault{at: at, kind: kind(rng.IntN(int(kinds))), mode: silent + mode(rng.IntN(int(delaying)))}
		f.lasts = shortest + time.Duration(rng.Int64N(int64(longest-shortest)))
		f.target = rng.IntN(o.Instances * o.Upstreams)
		plan = append(plan, f)
		if rng.Float64() < series {
			f.at += f.lasts + time.Duration(rng.Int64N(int64(meanGap)))
			plan = append(plan, f)
		}
	}
}
