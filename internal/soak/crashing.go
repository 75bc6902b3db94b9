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
	// crashingRequests is the number of such requests in a run; they follow one another.
	crashingRequests = 3
	// crashingInterval is the mean time between two sendings of such a request by its caller.
	crashingInterval = 400 * time.Millisecond
	// minRestart and maxRestart limit the time until a crashed upstream runs again.
	minRestart, maxRestart = 500 * time.Millisecond, 2 * time.Second
)

// startCrashingCaller sends requests that crash upstreams, each again and again to any instance,
// until ctx is done.
func (tb *testbed) startCrashingCaller(ctx context.Context, seed uint64, out chan<- observation) {
	rng := rand.New(rand.NewPCG(seed, 3))
	callers := make([]*caller, len(tb.instances))
	for i := range callers {
		callers[i] = newCaller(tb, i, crashingCallerNumber, seed)
		defer callers[i].transport.CloseIdleConnections()
	}
	perRequest := tb.options.Duration / crashingRequests
	for start := time.Now(); ctx.Err() == nil; {
		sleepContext(ctx, time.Duration(rng.Int64N(int64(2*crashingInterval))))
		number := min(time.Since(start)/perRequest, crashingRequests-1)
		c := callers[rng.IntN(len(callers))]
		out <- c.sendUnchanged(fmt.Sprintf("%s%d", crashPrefix, number), permanentKey)
	}
}

// crashingCallerNumber is the caller number of the caller of crashing requests.
const crashingCallerNumber = 98

// crash ends the connections of the upstream and refuses new ones until it runs again, under the
// same name.
func (u *upstream) crash() {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.down {
		return
	}
	u.down = true
	downTime := minRestart + time.Duration(u.rng.Int64N(int64(maxRestart-minRestart)))
	u.proxy.refuse()
	time.AfterFunc(downTime, func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		if u.closed {
			return
		}
		if err := u.proxy.resume(); err != nil {
			u.reportError(err)
			return
		}
		u.down = false
		u.bornMS.Store(time.Now().UnixMilli())
		u.publish()
	})
}
