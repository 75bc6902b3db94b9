package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// crashPrefix is the path prefix of requests that crash the upstream that executes them.
	crashPrefix = lookupPrefix + "crashing-"
	// crashingRequests is the number of such requests in a run. Each comes again until the end.
	crashingRequests = 2
	// crashingInterval is the mean time between two sendings of such a request by its caller.
	crashingInterval = 400 * time.Millisecond
)

// runCrashingCaller sends requests that crash upstreams, each again and again to any instance,
// until ctx is done.
func (tb *testbed) runCrashingCaller(ctx context.Context, seed uint64, out chan<- observation) {
	rng := rand.New(rand.NewPCG(seed, 3))
	callers, closeCallers := tb.crashingCallers(seed)
	defer closeCallers()
	for ctx.Err() == nil {
		sleepContext(ctx, time.Duration(rng.Int64N(int64(2*crashingInterval))))
		c := callers[rng.IntN(len(callers))]
		out <- c.sendUnchanged(fmt.Sprintf("%s%d", crashPrefix, rng.IntN(crashingRequests)), permanentKey)
	}
}

// crashingCallerNumber is the caller number of the caller of crashing requests.
const crashingCallerNumber = maxCallers

// crashingCallers returns a caller of each instance for requests that crash upstreams.
func (tb *testbed) crashingCallers(seed uint64) (callers []*caller, closeAll func()) {
	for i := range tb.instances {
		callers = append(callers, newCaller(tb, i, crashingCallerNumber, seed))
	}
	return callers, func() {
		for _, c := range callers {
			c.transport.CloseIdleConnections()
		}
	}
}
