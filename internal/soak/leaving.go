package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"time"
)

const (
	// leavingInterval is the mean time between two requests whose caller leaves.
	leavingInterval = 150 * time.Millisecond
	// maxPatience limits how long such a caller stays.
	maxPatience = 150 * time.Millisecond
	// maxSendingAfterLeaving is how long after its caller has left a request may still reach upstreams.
	maxSendingAfterLeaving = 500 * time.Millisecond
	// crashingStreamPrefix is the path prefix of streams that crash each upstream that they reach, after
	// their first events. Their callers do not send them again.
	crashingStreamPrefix = streamPrefix + "crashing-"
	// crashingStreamShare is the share of such streams.
	crashingStreamShare = 0.03
)

// departure is a request whose caller has left.
type departure struct {
	id       string
	instance int
	at       time.Time
}

// runLeavingCaller sends requests to any instance and leaves soon, until ctx is done. Some of the requests are
// streams that crash upstreams.
func (tb *testbed) runLeavingCaller(ctx context.Context, seed uint64) {
	rng := rand.New(rand.NewPCG(seed, 8))
	for n := 0; ctx.Err() == nil; n++ {
		sleepContext(ctx, time.Duration(rng.Int64N(int64(2*leavingInterval))))
		i := rng.IntN(len(tb.instances))
		path := []string{lookupPrefix, streamPrefix}[rng.IntN(2)]
		if rng.Float64() < crashingStreamShare {
			path = fmt.Sprintf("%s%d", crashingStreamPrefix, n)
		}
		c := newCaller(tb, i, leavingCallerNumber, seed)
		c.sequence = n
		callCtx, leave := context.WithTimeout(ctx, time.Duration(rng.Int64N(int64(maxPatience))))
		id := c.nextID()
		c.sendPrompt(callCtx, id, path, permanentKey, path+"/"+id, id, "")
		leave()
		c.transport.CloseIdleConnections()
		tb.mu.Lock()
		tb.departures = append(tb.departures, departure{id: id, instance: i, at: time.Now()})
		tb.mu.Unlock()
	}
}

// leavingCallerNumber is the caller number of the caller that leaves.
const leavingCallerNumber = maxCallers + 2

// checkDepartures checks that nothing is sent on for long after its caller has left, by instances and
// over links that are in order.
func (tb *testbed) checkDepartures() {
	left := map[string]departure{}
	for _, d := range tb.departures {
		left[d.id] = d
	}
	for _, u := range tb.upstreams {
		for _, a := range u.Arrivals() {
			d, ok := left[a.ID]
			if !ok || a.At.Sub(d.at) <= maxSendingAfterLeaving {
				continue
			}
			since := a.At.Sub(d.at) + faultMargin
			if tb.instances[d.instance].processFaults.inactiveBefore(a.At, since) && u.linkFaults.inactiveBefore(a.At, since) {
				tb.addViolation("request %s reached %s %v after its caller had left", a.ID, u.Name, a.At.Sub(d.at).Round(time.Millisecond))
			}
		}
	}
}
