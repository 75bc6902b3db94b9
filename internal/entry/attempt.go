package entry

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/yuccabridge/yuccabridge/internal/coordination/balancer"
	"github.com/yuccabridge/yuccabridge/internal/coordination/quarantine"
	"github.com/yuccabridge/yuccabridge/internal/coordination/scheduler"
	"github.com/yuccabridge/yuccabridge/internal/protocol/apierror"
	"github.com/yuccabridge/yuccabridge/internal/transport/upstream"
)

// attempt is one sending of a request to an upstream. It holds a slot at the upstream
// until finish is called.
type attempt struct {
	request  *request
	pick     balancer.Pick
	client   *upstream.Client
	response *upstream.Response

	incarnation string // of the upstream when the attempt started; empty if unknown

	startTime        time.Duration
	timeToFirstToken time.Duration // since startTime; 0 until the first token or complete response
	timeToLastToken  time.Duration
	tokenCount       int
	finished         bool
}

// errRequestIDMismatch reports a response that belongs to another request.
var errRequestIDMismatch = errors.New("request ID of the response does not match")

func (r *request) newAttempt(pick balancer.Pick) *attempt {
	now := r.pool.instance.now()
	r.pool.instance.quarantine.Started(now, r.fingerprint, r.team.name, pick.Upstream.Name)
	return &attempt{
		request:     r,
		pick:        pick,
		client:      r.pool.clientFor(pick.Upstream.Address),
		incarnation: r.pool.lastIncarnation(pick.Upstream.Name),
		startTime:   now,
	}
}

// send sends the request and checks that the response belongs to it.
func (a *attempt) send(call upstream.Call) error {
	if a.request.pool.kind == servicePool {
		call.Attribute, call.OnForeign = a.attributeServiceResponse, a.countMismatch
	}
	response, err := a.client.Do(a.request.ctx, call)
	var f *upstream.Failure
	if errors.As(err, &f) && f.LostConnection() && !call.FreshConnection && a.upstreamRuns() {
		// The upstream is running and has only closed a pooled connection.
		call.FreshConnection = true
		var resendErr error
		if response, resendErr = a.client.Do(a.request.ctx, call); !dialFailed(resendErr) {
			err = resendErr
		}
	}
	if err != nil {
		return err // the first failure if the resend was not sent: it is needed to detect a crash
	}
	if !a.matchesRequestID(string(response.Response.Header.Peek(headerRequestID))) {
		response.Release(false)
		a.countMismatch(&response.Response.Header)
		return errRequestIDMismatch
	}
	a.response = response
	return nil
}

// matchesRequestID checks the echoed request ID. Engines must echo it. A plain service may
// not know the header; its response is then matched by a connection that carried no other request.
func (a *attempt) matchesRequestID(echo string) bool {
	return echo == a.request.id || echo == "" && a.request.pool.kind == servicePool
}

func (a *attempt) attributeServiceResponse(h *fasthttp.ResponseHeader) upstream.Attribution {
	switch string(h.Peek(headerRequestID)) {
	case a.request.id:
		return upstream.OwnResponse
	case "":
		return upstream.UnnamedResponse
	}
	return upstream.ForeignResponse
}

// countMismatch counts a response that belongs to another request.
func (a *attempt) countMismatch(*fasthttp.ResponseHeader) {
	a.request.pool.instance.metrics.mismatchedResponses.WithLabelValues(a.request.pool.name).Inc()
}

// recordToken records the arrival of a token or of a complete response.
func (a *attempt) recordToken() {
	elapsed := a.request.pool.instance.now() - a.startTime
	if a.tokenCount == 0 {
		a.timeToFirstToken = elapsed
	}
	a.timeToLastToken = elapsed
	a.tokenCount++
}

// meanTokenInterval returns the mean time between the tokens received so far.
func (a *attempt) meanTokenInterval() time.Duration {
	if a.tokenCount < 2 {
		return 0
	}
	return (a.timeToLastToken - a.timeToFirstToken) / time.Duration(a.tokenCount-1)
}

// finish releases the slot and reports the result. Calls after the first have no effect.
func (a *attempt) finish(status balancer.Status) {
	if a.finished {
		return
	}
	a.finished = true
	if a.response != nil {
		a.response.Release(status == balancer.OK)
	}
	in, now := a.request.pool.instance, a.request.pool.instance.now()
	if status == balancer.OK {
		a.request.pool.recordServiceTime(a.request.class.Name, now-a.startTime)
		in.broadcastSuspicions(in.quarantine.Completed(now, a.request.fingerprint, a.pick.Upstream.Name))
	} else {
		in.quarantine.Aborted(now, a.request.fingerprint, a.pick.Upstream.Name)
	}
	result := balancer.Result{
		Status:        status,
		FirstToken:    a.timeToFirstToken,
		TokenInterval: a.meanTokenInterval(),
		ServiceTime:   now - a.startTime,
		OutputTokens:  a.tokenCount,
	}
	a.request.pool.releaseSlot(a.pick, result, scheduler.Sample{
		Class:        a.request.class.Name,
		Team:         a.request.team.name,
		FirstToken:   a.timeToFirstToken,
		Service:      now - a.startTime,
		OutputTokens: a.tokenCount,
	})
}

// fail finishes a failed attempt. It checks whether the upstream crashed and returns the
// error to send to the caller if the request is not retried.
func (a *attempt) fail(err error) *apierror.Error {
	if a.request.ctx.Err() != nil {
		a.finish(balancer.Cancelled)
		return abortError(a.request.ctx, maybeSent(err))
	}
	status := balancer.Failed
	if a.detectCrash(err) {
		status = balancer.Crashed
	}
	a.request.failedUpstreams = append(a.request.failedUpstreams, a.pick.Upstream.Name)
	a.request.pool.instance.log.WithFields(map[string]any{
		"event": "attempt_failed", "request": a.request.id, "pool": a.request.pool.name,
		"upstream": a.pick.Upstream.Name, "crashed": status == balancer.Crashed, "error": err.Error(),
	}).Info("attempt failed")
	a.finish(status)
	e := apierror.New(apierror.UpstreamFailed, "the upstream failed")
	if maybeSent(err) {
		e.Run = apierror.Unknown
	}
	return e
}

// detectCrash reports whether the upstream crashed during the attempt. It records a crash
// in the quarantine for the requests that were running there. An upstream that has sent what is
// no response has not crashed.
func (a *attempt) detectCrash(err error) bool {
	var f *upstream.Failure
	if !errors.As(err, &f) || f.Malformed || dialFailed(err) || a.upstreamRuns() {
		return false
	}
	a.recordCrash()
	return true
}

// upstreamRuns reports whether the upstream still runs in the incarnation in which the attempt
// started. A connection that it accepts does not show this, because an engine that goes down
// may still accept some; it must answer a load query. A caller that leaves meanwhile does not
// make it look down. If the incarnation was not known, an answer does not show that it is still the
// same process.
func (a *attempt) upstreamRuns() bool {
	ctx := context.WithoutCancel(a.request.ctx)
	if a.request.pool.kind != modelPool {
		return a.client.Reachable(ctx)
	}
	current := a.request.pool.refreshLoad(ctx, a.pick.Upstream, true)
	return current != "" && current == a.incarnation
}

// dialFailed reports whether the upstream could not be reached, so that nothing was sent.
func dialFailed(err error) bool {
	var f *upstream.Failure
	return errors.As(err, &f) && f.Phase == upstream.PhaseDial
}

// recordCrash reports the crash, identified by the incarnation at the start of the
// attempt. Every request that was running there reports the same ID, so the crash counts once.
func (a *attempt) recordCrash() {
	in := a.request.pool.instance
	id := quarantine.CrashID{Upstream: a.pick.Upstream.Name, Incarnation: a.incarnation}
	in.reportCrash(in.quarantine.UpstreamCrashed(in.now(), id))
	in.metrics.crashes.WithLabelValues(a.request.pool.name).Inc()
}

// maybeSent reports whether any byte of the request may have been sent.
func maybeSent(err error) bool {
	var f *upstream.Failure
	return !errors.As(err, &f) || f.Sent
}

// retryableStatus reports whether a response with this status is retried at another upstream.
func retryableStatus(status int) bool {
	return status == fasthttp.StatusTooManyRequests || status >= 500 && status != fasthttp.StatusNotImplemented
}

// errRetryableStatus reports an error status that another upstream may not return.
var errRetryableStatus = errors.New("upstream returned a retryable error status")

// errUnprovenEnd reports a body that ended with the connection and may have been broken off.
var errUnprovenEnd = errors.New("the response has neither a length nor chunks and may be incomplete")

// readBody reads the complete response body. A body over the limit is an error. A body that ends with
// the connection counts as complete only if it is a JSON document, which no part of it would be.
func (a *attempt) readBody(limit int, timeout time.Duration) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(a.response.Body(timeout), int64(limit)+1))
	if err != nil {
		return nil, err
	}
	if len(body) > limit {
		return nil, errors.Errorf("response body exceeds %d bytes", limit)
	}
	if a.response.Framing() == upstream.FramingClose && !isJSONDocument(body) {
		return nil, errUnprovenEnd
	}
	return body, nil
}

// isJSONDocument reports whether body is a JSON object or array.
func isJSONDocument(body []byte) bool {
	text := bytes.TrimSpace(body)
	return len(text) > 0 && (text[0] == '{' || text[0] == '[') && json.Valid(text)
}
