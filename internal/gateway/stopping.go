package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccabridge/yuccabridge/internal/protocol/apierror"
)

// stoppingRetryAfter is when the caller of a request that a stopping instance refuses may come back:
// another instance takes the request.
const stoppingRetryAfter = 50 * time.Millisecond

// mayOutlastInstance reports whether the instance may end before the request does.
func (ex *exchange) mayOutlastInstance() bool {
	return !ex.gateway.life.Takes(ex.gateway.startedAt.Add(ex.deadline))
}

// stoppingError rejects a request that may not end before the instance does.
func stoppingError() *apierror.Error {
	e := apierror.New(apierror.NotReady, "the instance stops; the request did not run")
	e.RetryAfter = stoppingRetryAfter
	return e
}

// errInstanceStops ends the requests that are in progress when the grace period is over.
var errInstanceStops = errors.New("the instance stops")

// endedByStop reports whether the request was ended because the grace period is over.
func (ex *exchange) endedByStop() bool {
	return ex.callCtx != nil && context.Cause(ex.callCtx) == errInstanceStops
}
