package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/yuccabridge/yuccabridge/platform/standin"
)

const (
	// statedPause is the time for which a rejecting upstream wants no requests.
	statedPause = 1200 * time.Millisecond
	// statementMargin is the time after a rejection within which requests may still be under way, and
	// maxDuringPause the number of requests that may reach the upstream from then to the end of the pause.
	statementMargin = 500 * time.Millisecond
	maxDuringPause  = 2
	// maxLeavingDelay is the time after an answer within which callers' requests may still reach an
	// upstream that has stated in it that it leaves.
	maxLeavingDelay = 2 * time.Second
	// meanStatementInterval is the mean time between two faults that state something, and
	// meanStatementFaultInterval that between others.
	meanStatementInterval      = 800 * time.Millisecond
	meanStatementFaultInterval = 1300 * time.Millisecond
)

// newStatementPlan generates a plan in which upstreams state in their answers that they leave, or when they
// want requests again, while instances start late, are killed, stopped and paused.
func newStatementPlan(seed uint64, o Options) []fault {
	rng := rand.New(rand.NewPCG(seed, 11))
	draw := func(low, high time.Duration) time.Duration { return low + time.Duration(rng.Int64N(int64(high-low))) }
	plan := []fault{{kind: delayInstance, target: rng.IntN(o.Instances), duration: draw(o.Duration/4, o.Duration/2)}}
	stated := []faultKind{stateLeaving, statePause, statePause}
	plan = append(plan, drawFaults(rng, o.Duration, meanStatementInterval, func() fault {
		return fault{kind: stated[rng.IntN(len(stated))], target: rng.IntN(o.Upstreams), duration: draw(2*time.Second, 5*time.Second)}
	})...)
	kinds := []faultKind{killProcess, stopProcess, pauseProcess, crashUpstream, compactHistory, failStore}
	plan = append(plan, drawFaults(rng, o.Duration, meanStatementFaultInterval, func() fault {
		return fault{kind: kinds[rng.IntN(len(kinds))], target: rng.IntN(o.Instances * o.Upstreams), duration: draw(minFaultDuration, maxFaultDuration)}
	})...)
	slices.SortStableFunc(plan, func(a, b fault) int { return cmp.Compare(a.start, b.start) })
	return plan
}

// statement is what an upstream has stated in its answer to a request.
type statement struct {
	request string
	at      time.Time
	leaving bool
}

// addStatements adds what the upstream states to its behaviour and records it.
func (u *upstream) addStatements(execution standin.Execution, b *standin.Behaviour, faulty bool) {
	if u.activeLeaving.Load() > 0 {
		b.Leaving = true
		u.recordStatement(statement{request: execution.ID, leaving: true})
	}
	if faulty && u.activePausing.Load() > 0 {
		b.NotRun, b.RetryAfter = true, strconv.FormatFloat(statedPause.Seconds(), 'f', -1, 64)
		u.recordStatement(statement{request: execution.ID})
	}
}

func (u *upstream) recordStatement(s statement) {
	s.at = time.Now()
	u.mu.Lock()
	defer u.mu.Unlock()
	u.statements = append(u.statements, s)
}

// checkStatements checks that upstreams get nothing new after they have told an instance that they leave,
// and next to nothing while they want none. Instances with a fault of their process in the meantime and
// links with faults are excused.
func (tb *testbed) checkStatements(observations []observation) {
	sent := map[string]observation{}
	for _, o := range observations {
		sent[o.id] = o
	}
	for _, u := range tb.upstreams {
		arrivals := u.Arrivals()
		for _, s := range u.statements {
			told, known := sent[s.request]
			if !known {
				continue
			}
			var during []string
			for _, a := range arrivals {
				o, known := sent[a.ID]
				if !known || o.instance != told.instance || !a.At.After(s.at) ||
					!tb.instances[o.instance].processFaults.inactiveBefore(a.At, a.At.Sub(s.at)+faultMargin) {
					continue
				}
				if s.leaving && o.sent.After(s.at.Add(maxLeavingDelay)) && a.At.Before(u.restartAfter(s)) {
					tb.addViolation("%s got request %s %v after it had told front-%d that it leaves", u.Name, a.ID, a.At.Sub(s.at).Round(time.Millisecond), o.instance)
				}
				// A process that starts after a crash has stated nothing yet.
				if !s.leaving && a.At.After(s.at.Add(statementMargin)) && a.At.Before(s.at.Add(statedPause)) && a.At.Before(u.restartAfter(s)) {
					during = append(during, fmt.Sprintf("%s after %v, sent after %v", a.ID, a.At.Sub(s.at).Round(time.Millisecond), o.sent.Sub(s.at).Round(time.Millisecond)))
				}
			}
			if len(during) > maxDuringPause {
				tb.addViolation("%s got %d requests from front-%d while it wanted none, which it stated in its answer to %s: %s", u.Name, len(during), told.instance, told, strings.Join(during, "; "))
			}
			tb.statementsTold++
		}
	}
}

// restartAfter returns the time of the first crash after a statement, with which it ends; the far future if
// there is none.
func (u *upstream) restartAfter(s statement) time.Time {
	for _, c := range u.crashes {
		if c.at.After(s.at) {
			return c.at
		}
	}
	return s.at.Add(time.Hour)
}
