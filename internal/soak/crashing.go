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
	for ctx.Err() == nil {
		sleepContext(ctx, time.Duration(rng.Int64N(int64(2*crashingInterval))))
		c := callers[rng.IntN(len(callers))]
		out <- c.sendUnchanged(fmt.Sprintf("%s%d", crashPrefix, rng.IntN(crashingRequests)), permanentKey)
	}
}

// crashingCallerNumber is the caller number of the caller of crashing requests.
const crashingCallerNumber = 98

// upstreamCrash is a crash of an upstream by a request to the path.
type upstreamCrash struct {
	path string
	at   time.Time
}

// crash ends the connections of the upstream and refuses new ones until it runs again, under the
// same name. The path is that of the request that causes it.
func (u *upstream) crash(path string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.down {
		return
	}
	u.down = true
	u.crashes = append(u.crashes, upstreamCrash{path, time.Now()})
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
