package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"slices"
	"strings"
	"time"

	"github.com/yuccabridge/yuccabridge/platform/standin"
)

const (
	// deadlyPart is the part of a prompt that crashes each upstream that executes a request with it.
	deadlyPart = "dead0001"
	// deadlyInterval is the mean time between two requests with it. No two are alike, and between
	// them come requests without it that share their other parts.
	deadlyInterval = 400 * time.Millisecond
	// knownAfterCrashes is the number of crashes after which the part must be known, and
	// maxLaterSendings how many requests with it may still be sent later than stabilityPeriod after.
	knownAfterCrashes = 5
	maxLaterSendings  = 3
)

// hasDeadlyPart reports whether the prompt of a request holds the deadly part.
func hasDeadlyPart(execution standin.Execution) bool {
	return strings.Contains(execution.PromptPrefix(), deadlyPart)
}

// runDeadlyPartCaller sends requests with and without the deadly part to any instance until ctx is done.
func (tb *testbed) runDeadlyPartCaller(ctx context.Context, seed uint64, out chan<- observation) {
	rng := rand.New(rand.NewPCG(seed, 7))
	callers, closeCallers := tb.crashingCallers(seed)
	defer closeCallers()
	for n := 1; ctx.Err() == nil; n++ {
		sleepContext(ctx, time.Duration(rng.Int64N(int64(2*deadlyInterval))))
		c := callers[rng.IntN(len(callers))]
		parts := "a1:600,b2:300,"
		if rng.IntN(2) == 0 {
			parts += deadlyPart + ":40,"
		}
		id := c.nextID()
		out <- c.sendPrompt(context.Background(), id, streamPrefix, permanentKey, streamPrefix+id, id, fmt.Sprintf("%s%x:20", parts, n))
	}
}

// checkDeadlyPart checks that few requests with the deadly part are sent once it must be known.
func (tb *testbed) checkDeadlyPart(observations []observation) {
	instanceOf := map[string]int{}
	for _, o := range observations {
		instanceOf[o.id] = o.instance
	}
	var crashes []time.Time
	for _, u := range tb.upstreams {
		u.mu.Lock()
		for _, c := range u.crashes {
			if c.path == deadlyPart {
				crashes = append(crashes, c.at)
			}
		}
		u.mu.Unlock()
	}
	if len(crashes) < knownAfterCrashes {
		return
	}
	slices.SortFunc(crashes, time.Time.Compare)
	bound := crashes[knownAfterCrashes-1].Add(stabilityPeriod)
	deadly := map[string]bool{}
	for _, u := range tb.upstreams {
		for _, e := range u.Executions() {
			deadly[e.ID] = deadly[e.ID] || hasDeadlyPart(e)
		}
	}
	later := 0
	for _, u := range tb.upstreams {
		for _, a := range u.Arrivals() {
			if i, ok := instanceOf[a.ID]; ok && deadly[a.ID] && a.At.After(bound) && tb.hasStableStoreAccess(i, a.At) {
				later++
			}
		}
	}
	if later > maxLaterSendings {
		tb.addViolation("%d requests with the deadly part were sent after it had crashed %d upstreams, at most %d are allowed", later, knownAfterCrashes, maxLaterSendings)
	}
}
