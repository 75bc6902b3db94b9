package gateway

import (
	"math/rand/v2"
	"time"

	"github.com/yuccabridge/yuccabridge/internal/coordination/joining"
	"github.com/yuccabridge/yuccabridge/internal/protocol/apierror"
	"github.com/yuccabridge/yuccabridge/internal/transport/upstream"
)

const (
	// startHoldLimit is how long after the start of the instance a request is held. Joining takes
	// joining.Timeout at most; the rest is for the first read of the platform.
	startHoldLimit = joining.Timeout + 200*time.Millisecond
	// startHoldRatio is the share of the caller's timeout for which a request may be held, so that the rest
	// suffices for an attempt or a retry at another instance.
	startHoldRatio = 0.5
	// minNotReadyRetryAfter and notReadySpread bound the time after which callers of an instance that is not
	// ready should come back; they are spread so that not all return at once.
	minNotReadyRetryAfter = 300 * time.Millisecond
	notReadySpread        = 700 * time.Millisecond
)

// mayServe reports whether the instance knows what it needs to serve a request: the configuration and the
// upstreams, and what its peers refuse.
func (g *Gateway) mayServe() bool {
	return g.routing.Load() != nil && g.platformWatcher.hasSnapshot() && g.peers.settled()
}

// signalServing releases the held requests when the instance may serve.
func (g *Gateway) signalServing() {
	if !g.life.MayServe() && g.mayServe() {
		g.life.Serve()
	}
}

// awaitStart holds a request that has arrived while the instance starts. It returns an error if its caller
// leaves meanwhile.
func (ex *exchange) awaitStart() *apierror.Error {
	g := ex.gateway
	if g.life.MayServe() {
		return nil
	}
	limit := startHoldLimit - ex.arrived
	if ex.request.Timeout > 0 {
		limit = min(limit, time.Duration(startHoldRatio*float64(ex.request.Timeout)))
	}
	if limit <= 0 {
		return nil
	}
	timer := time.NewTimer(limit)
	defer timer.Stop()
	callerCtx, unwatch := g.callerWatcher.Watch(ex.httpCtx.Conn())
	defer unwatch()
	g.metrics.heldAtStart.Inc()
	select {
	case <-g.life.Serving():
	case <-timer.C:
	case <-callerCtx.Done():
	}
	if ex.conn != nil {
		ex.conn.extendRequest(g.now() - ex.arrived)
	}
	if callerCtx.Err() != nil || upstream.PeerClosed(ex.httpCtx.Conn()) {
		return errCallerClosed
	}
	return nil
}

// notReadyError rejects a request of an instance that does not know enough to serve it.
func notReadyError(message string) *apierror.Error {
	e := apierror.New(apierror.NotReady, message)
	e.RetryAfter = minNotReadyRetryAfter + rand.N(notReadySpread)
	return e
}
