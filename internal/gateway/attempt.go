package gateway

import (
	"cmp"
	"context"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/yuccabridge/yuccabridge/internal/coordination/dispatch"
	"github.com/yuccabridge/yuccabridge/internal/coordination/quarantine"
	"github.com/yuccabridge/yuccabridge/internal/eventlog"
	"github.com/yuccabridge/yuccabridge/internal/protocol/sse"
	"github.com/yuccabridge/yuccabridge/internal/state/bytebudget"
	"github.com/yuccabridge/yuccabridge/internal/transport/upstream"
)

// sendState records whether bytes of a request may have been sent to an upstream.
type sendState int

const (
	notSent   sendState = iota // no byte was sent
	maybeSent                  // bytes may have been sent
)

// attempt is one sending of a request to an upstream.
type attempt struct {
	exchange     *exchange
	grant        *dispatch.Grant
	startedAt    time.Duration
	sendState    sendState
	responseKind ResponseKind
	response     *upstream.Response
	timeout      time.Duration      // for the header and the pauses in a body that is no stream; 0: none
	started      bool               // the quarantine counts the request as running at the upstream
	events       int                // of a stream, received from this upstream
	event        *bytebudget.Buffer // holds the last of them; nil unless the response is a stream
	partsCleared bool               // the answer has shown that no part of the prompt crashes the upstream
	crashed      bool               // the crash of the upstream has been recorded
	unreachable  bool               // the connection was lost, and a dial failed
	delivered    bool
	finished     bool
	warmUp       warmUp
}

const (
	// responseTimeoutFactor times the predicted time, but at least minResponseTimeout, is
	// how long an upstream may send nothing before a retryable request is retried at
	// another one that can take it.
	responseTimeoutFactor = 3
	minResponseTimeout    = 400 * time.Millisecond
	// minFirstEventTimeout replaces minResponseTimeout for streams: their first event may
	// wait for prompts of other instances that this one does not know of.
	minFirstEventTimeout = 1500 * time.Millisecond
)

var (
	errUnverifiedResponse = errors.New("response cannot be attributed to the upstream")
	errNotRun             = errors.New("upstream did not run the request")
	errNoEvent            = errors.New("stream ended before its first event")
	errResumeGap          = errors.New("resumed stream does not continue with the next event")
)

// sendAttempt sends the request to the granted upstream and forwards its response.
func (ex *exchange) sendAttempt(grant *dispatch.Grant) *attempt {
	a := ex.newAttempt(grant)
	if err := a.run(); err != nil {
		a.recordFailure(err)
	}
	return a
}

// newAttempt returns an attempt at the granted upstream.
func (ex *exchange) newAttempt(grant *dispatch.Grant) *attempt {
	a := &attempt{exchange: ex, grant: grant, startedAt: ex.gateway.now()}
	ex.lastUpstream = grant.Upstream.ID
	fields := logrus.Fields{
		"upstream": grant.Upstream.ID, "version": grant.Upstream.Version, "incarnation": grant.Upstream.Incarnation, "address": grant.Upstream.Address, "wait_ms": grant.Wait.Milliseconds(), "work_ms": grant.Work.Milliseconds(),
		"route": ex.route.Name, "rank": ex.rank, "suspicion": ex.suspicion().String(), "load": grant.Load, "slots": grant.Upstream.Slots, "cached": grant.Cached, "home": grant.Preferred, "prompt": ex.request.PromptTokens, "output": ex.request.MaxOutputTokens, "parts": formatParts(ex.request.PromptPrefix), "attempt": ex.sentAttempts + 1,
	}
	if ex.request.Resumption != nil {
		fields["resumes"] = ex.request.Resumption.FirstAttempt
	}
	if grant.Cold {
		fields["cold"] = true
		ex.gateway.metrics.coldPlacements.WithLabelValues(ex.service.name).Inc()
	}
	ex.logEntry(eventlog.RequestPlaced).WithFields(fields).Info("request placed")
	return a
}

// formatParts returns the IDs of the parts of a prompt for the log.
func formatParts(parts []dispatch.Part) string {
	ids := make([]string, len(parts))
	for i, part := range parts {
		ids[i] = strconv.FormatUint(part.ID, 16)
	}
	return strings.Join(ids, ",")
}

func (a *attempt) run() error {
	if err := a.send(nil); err != nil {
		return err
	}
	if a.exchange.route.Kind == Streaming && a.response.Response.StatusCode() == fasthttp.StatusOK {
		return a.startStream()
	}
	return a.forwardResponse()
}

// send sends the request and reads the response header.
func (a *attempt) send(resumeAfter *int64) error {
	ex := a.exchange
	a.timeout = a.responseTimeout()
	call := a.call(a.buildRequest(resumeAfter), a.beforeSend)
	call.HeaderTimeout, call.GiveUp = a.timeout, a.reserveNext
	response, err := ex.service.clientFor(a.grant.Upstream).Do(ex.callCtx, call)
	a.recordSend(err)
	a.recordReading(err)
	if err != nil {
		return err
	}
	ex.releaseNext()
	return a.accept(response)
}

// buildRequest returns the request as the upstream gets it.
func (a *attempt) buildRequest(resumeAfter *int64) *fasthttp.Request {
	ex := a.exchange
	req := &fasthttp.Request{}
	req.Header.DisableNormalizing()
	ex.gateway.adapter.Upstream.BuildRequestHeader(&req.Header, &ex.httpCtx.Request.Header, UpstreamRequest{
		Upstream: a.grant.Upstream, Team: ex.team, TimeLeft: ex.deadline - ex.gateway.now(), Rank: ex.rank, ResumeAfter: resumeAfter,
	})
	req.SetBodyRaw(ex.httpCtx.Request.Body())
	return req
}

// call returns the call that sends the request and waits for the response header without a time limit.
func (a *attempt) call(req *fasthttp.Request, beforeSend func() bool) upstream.Call {
	ex := a.exchange
	return upstream.Call{
		Request:    req,
		BeforeSend: beforeSend,
		Attribute: func(header *fasthttp.ResponseHeader) upstream.Attribution {
			return ex.gateway.adapter.Upstream.AttributeResponse(header, ex.request.ID)
		},
		OnForeign: func(header *fasthttp.ResponseHeader) {
			ex.logEntry(eventlog.MismatchedResponse).WithFields(logrus.Fields{"upstream": a.grant.Upstream.ID, "status": header.StatusCode()}).Warn("dropped a response to another request")
		},
	}
}

// accept records a response of the upstream. It returns an error if it must not be forwarded.
func (a *attempt) accept(response *upstream.Response) error {
	ex := a.exchange
	a.response = response
	ex.lastFraming = response.Framing()
	a.responseKind = ex.gateway.adapter.Upstream.ClassifyResponse(&response.Response.Header)
	a.recordStatement(&response.Response.Header)
	switch a.responseKind {
	case ResponseNotRun, ResponseMisdirected:
		return errNotRun
	case ResponseUnverified:
		return errUnverifiedResponse
	}
	return nil
}

// recordSend records the upstream as tried and whether bytes of the request may have been
// sent to it.
func (a *attempt) recordSend(err error) {
	a.exchange.triedUpstreams = append(a.exchange.triedUpstreams, a.grant.Upstream.ID)
	var failure *upstream.Failure
	if errors.As(err, &failure) && !failure.Sent {
		a.exchange.service.dispatcher.RecordNotSent(a.grant.Token)
		return
	}
	a.sendState = maybeSent
	a.exchange.sentAttempts++
	a.exchange.countedAttempts++
}

// beforeSend reports whether the request may be sent: while this attempt dialed the upstream, that may have stated that it wants
// no requests, and the caller may have left.
func (a *attempt) beforeSend() bool {
	now := a.exchange.gateway.now()
	if a.exchange.isAbandoned(now) || !a.exchange.service.dispatcher.MaySend(now, a.grant.Token) {
		return false
	}
	a.logLateSend()
	a.recordSending()
	return true
}

// isAbandoned reports whether the time of the request is over, or its caller has left. In a process that lacks processor time,
// timers and the watch of the caller's connection run late, and a request is read long after it has arrived: its age does not
// show that, the end of the connection behind it does.
func (ex *exchange) isAbandoned(now time.Duration) bool {
	return now >= ex.deadline || upstream.PeerClosed(ex.httpCtx.Conn())
}

// lateSend is the time from the placement of a request to its first byte from which that is logged. It is many
// round trips within a region.
const lateSend = 200 * time.Millisecond

// logLateSend logs how old the copy of the published upstreams is when a request is sent that was held up.
func (a *attempt) logLateSend() {
	ex := a.exchange
	now := ex.gateway.now()
	if now-a.startedAt < lateSend {
		return
	}
	fields := logrus.Fields{"upstream": a.grant.Upstream.ID, "after_ms": (now - a.startedAt).Milliseconds()}
	if age, ok := ex.gateway.platformWatcher.schedule.Age(now); ok {
		fields["copy_age_ms"] = age.Milliseconds()
	}
	ex.logEntry(eventlog.RequestSentLate).WithFields(fields).Info("request sent long after it was placed")
}

// recordStatement records what the upstream states about itself in its answer. One that may come from
// another upstream states nothing.
func (a *attempt) recordStatement(h *fasthttp.ResponseHeader) {
	if a.responseKind != ResponseValid && a.responseKind != ResponseNotRun {
		return
	}
	ex := a.exchange
	now, statement := ex.gateway.now(), ex.gateway.adapter.Upstream.ReadStatement(h)
	a.recordLimit(now, statement)
	if ex.service.dispatcher.RecordStatement(now, a.grant.Token, statement) {
		ex.logEntry(eventlog.UpstreamStated).WithFields(logrus.Fields{"service": ex.service.name, "upstream": a.grant.Upstream.ID,
			"leaving": statement.Leaving, "retry_after_ms": statement.RetryAfter.Milliseconds()}).Info("upstream states that it wants no requests")
	}
}

// recordLimit records a stated limit. An answer that states none ends a limit only if the upstream has run
// the request.
func (a *attempt) recordLimit(now time.Duration, s dispatch.Statement) {
	ex := a.exchange
	valid := a.responseKind == ResponseValid || s.Limit > 0
	if !s.LimitReadable() || !valid || !ex.service.dispatcher.RecordLimit(now, a.grant.Token, s.Limit) {
		return
	}
	ex.logEntry(eventlog.UpstreamLimitChanged).WithFields(logrus.Fields{"service": ex.service.name, "upstream": a.grant.Upstream.ID,
		"limit": s.Limit}).Info("upstream states another limit")
}

// responseTimeout returns how long the upstream may send nothing before the request is
// retried; 0 if the request cannot be retried.
func (a *attempt) responseTimeout() time.Duration {
	ex := a.exchange
	if !ex.route.Retryable() || ex.countedAttempts+1 >= ex.route.MaxAttempts {
		return 0
	}
	minTimeout := minResponseTimeout
	if ex.route.Kind == Streaming {
		minTimeout = minFirstEventTimeout
	}
	return max(responseTimeoutFactor*(a.grant.Wait+a.grant.Work), minTimeout)
}

// notRun reports whether the upstream stated that it did not run the request.
func (a *attempt) notRun() bool {
	return a.responseKind == ResponseNotRun || a.responseKind == ResponseMisdirected
}

// forwardResponse reads the complete response and forwards it to the caller.
func (a *attempt) forwardResponse() error {
	body, err := a.readBody()
	if err != nil {
		return err
	}
	ex := a.exchange
	ex.releaseNext()
	status := a.response.Response.StatusCode()
	if status >= fasthttp.StatusInternalServerError && ex.canRetryServerError() {
		body.reservation.Release()
		return errors.Errorf("upstream responded with status %d", status)
	}
	ex.gateway.adapter.Upstream.CopyResponseHeader(&ex.httpCtx.Response.Header, &a.response.Response.Header)
	ex.httpCtx.SetStatusCode(status)
	ex.setBody(body)
	ex.outcome = outcomeServed
	a.recordFirstOutput()
	dispatchStatus := dispatch.Succeeded
	if status >= fasthttp.StatusInternalServerError {
		dispatchStatus = dispatch.Failed
	}
	a.finish(dispatchStatus, true)
	a.delivered = true
	return nil
}

// canRetryServerError reports whether a 5xx response may be discarded in favor of a retry.
// It does not take a retry from the budget; that happens when the request is sent again.
func (ex *exchange) canRetryServerError() bool {
	return ex.route.Retryable() && ex.countedAttempts < ex.route.MaxAttempts && ex.service.retryAvailable(ex.gateway) && ex.gateway.now() < ex.deadline
}

// recordFirstOutput records the time of the first output of the upstream.
func (a *attempt) recordFirstOutput() {
	ex := a.exchange
	now := ex.gateway.now()
	ex.service.dispatcher.FirstOutput(now, a.grant.Token)
	if ex.service.duplicates != nil {
		ex.service.duplicates.Observe(now, ex.route.Name, now-a.startedAt)
	}
	ex.gateway.metrics.firstOutputSeconds.WithLabelValues(ex.route.Kind.String(), strconv.Itoa(ex.rank)).Observe((now - ex.arrived).Seconds())
}

// harmlessEvents is the number of events after which the parts of a prompt are cleared. An upstream that
// crashes when it begins to answer may send its first event before.
const harmlessEvents = 3

// recordEvent records an event of the stream.
func (a *attempt) recordEvent() {
	if a.events++; a.events == harmlessEvents {
		a.clearParts(a.exchange.gateway.now())
	}
}

// clearParts records that no part of the prompt crashes the upstream.
func (a *attempt) clearParts(now time.Duration) {
	ex := a.exchange
	a.partsCleared = true
	ex.gateway.broadcastSuspicions(ex.gateway.quarantine.PartsAnswered(now, ex.sharedParts, a.grant.Upstream.ID))
}

// recordFailure ends a failed attempt and records what the failure reveals about the
// upstream.
func (a *attempt) recordFailure(err error) {
	ex := a.exchange
	status := a.failureStatus(err)
	switch {
	case a.notRun():
		if a.responseKind == ResponseMisdirected {
			ex.countedAttempts--
		}
	case a.sendState == maybeSent:
		ex.mayHaveRun = true
	}
	a.finish(a.examineFailure(err, status), false)
}

// examineFailure finds out whether the upstream has crashed, logs the failure and returns the status to be reported.
func (a *attempt) examineFailure(err error, status dispatch.Status) dispatch.Status {
	ex := a.exchange
	switch {
	case a.sendState == notSent && refusedConnection(err):
		a.recordCrash()
	case status != dispatch.Cancelled && a.sendState == maybeSent && lostConnection(err):
		a.confirmCrash()
	}
	if a.unreachable && status == dispatch.Failed {
		status = dispatch.Unreachable
	}
	ex.logEntry(eventlog.AttemptFailed).WithFields(logrus.Fields{
		"upstream": a.grant.Upstream.ID, "verdict": a.responseKind.String(), "sent": a.sendState == maybeSent,
		"connection_lost": lostConnection(err), "crashed": a.crashed, "fingerprint": ex.fingerprint.String(), "framing": a.framing().String(),
		"after_ms": (ex.gateway.now() - a.startedAt).Milliseconds(), "error": err.Error(),
	}).Warn("attempt failed")
	return status
}

// framing returns the framing of the response; FramingNone if no header was read.
func (a *attempt) framing() upstream.Framing {
	if a.response == nil {
		return upstream.FramingNone
	}
	return a.response.Framing()
}

// failureStatus maps a failure to the status reported to the dispatcher.
func (a *attempt) failureStatus(err error) dispatch.Status {
	if a.exchange.callerClosed() {
		return dispatch.Cancelled
	}
	switch a.responseKind {
	case ResponseMisdirected:
		return dispatch.Misdirected
	case ResponseNotRun:
		return dispatch.Refused
	}
	var failure *upstream.Failure
	switch {
	case isMalformed(err):
		return dispatch.Malformed
	case !errors.As(err, &failure):
		return dispatch.Failed
	case a.exchange.callCtx.Err() != nil:
		// This instance has closed the connection, or ended the dial.
		if failure.Phase == upstream.PhaseDial {
			return dispatch.Cancelled
		}
		return dispatch.Failed
	case failure.Withheld():
		return dispatch.Cancelled
	case failure.Phase == upstream.PhaseDial && failure.TimedOut(), failure.ConnectionTimedOut():
		return dispatch.NoResponse
	case failure.Phase == upstream.PhaseDial, !failure.Timeout && !failure.Reused:
		return dispatch.Unreachable
	}
	return dispatch.Failed
}

// isMalformed reports whether the upstream sent what is no response, or exceeds a bound.
func isMalformed(err error) bool {
	var failure *upstream.Failure
	if errors.As(err, &failure) {
		return failure.Malformed
	}
	switch errors.Cause(err) {
	case errResponseTooLarge, errBodyStalled, bytebudget.ErrExceeded, sse.ErrTooLarge:
		return true
	}
	return false
}

// lostConnection reports whether the connection to the upstream ended, pooled or not, rather
// than a time limit of this instance.
func lostConnection(err error) bool {
	if err == errEndsInsideEvent {
		return true
	}
	var failure *upstream.Failure
	return errors.As(err, &failure) && !failure.Malformed && (!failure.Timeout || failure.ConnectionTimedOut())
}

// refusedConnection reports whether err means that a dial found no listener at the address: the process of the
// upstream has ended.
func refusedConnection(err error) bool {
	return errors.Is(err, syscall.ECONNREFUSED)
}

// confirmCrash dials the upstream and records a crash if that shows one; if the dial succeeds, the connection is
// kept for the next request.
func (a *attempt) confirmCrash() {
	dialCtx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	err := a.exchange.service.clientFor(a.grant.Upstream).Warm(dialCtx)
	a.unreachable = err != nil
	if err != nil && showsCrash(err) {
		a.recordCrash()
	}
}

// showsCrash reports whether a failed dial after a lost connection shows that the upstream has crashed. A dial that
// times out does not, unless a peer finds no listener: the link may hang, or this instance may be slow.
func showsCrash(err error) bool {
	failure := upstream.Failure{Phase: upstream.PhaseDial, Err: err}
	return !failure.TimedOut() || errors.Is(err, errUpstreamRefuses)
}

// recordCrash records the crash against the requests that were running at the upstream.
func (a *attempt) recordCrash() {
	a.crashed, a.unreachable = true, true
	a.exchange.service.dispatcher.RecordProcessEnd(a.grant.Upstream.ID)
	a.exchange.gateway.recordCrash(a.grant.Upstream, a.exchange.logEntry(eventlog.CrashRecorded).WithField("fingerprint", a.exchange.fingerprint.String()))
}

// recordCrash records the crash of an upstream against the requests that were running there and
// tells the other instances.
func (g *Gateway) recordCrash(crashed dispatch.Upstream, entry *logrus.Entry) {
	id := quarantine.CrashID{Upstream: crashed.ID, Incarnation: cmp.Or(crashed.Incarnation, crashed.ID)}
	suspicions := g.quarantine.UpstreamCrashed(g.now(), id)
	if len(suspicions) == 0 {
		return
	}
	entry.WithFields(logrus.Fields{"upstream": id.Upstream, "incarnation": id.Incarnation, "suspects": len(suspicions)}).Warn("crash of an upstream recorded")
	g.broadcastSuspicions(suspicions)
}

// finish releases the connection and the slot at the upstream; only the first call has an
// effect.
func (a *attempt) finish(status dispatch.Status, complete bool) {
	if a.finished {
		return
	}
	a.finished = true
	if a.response != nil {
		a.response.Release(complete)
	}
	if a.event != nil {
		a.event.Reset()
	}
	ex := a.exchange
	now := ex.gateway.now()
	if a.started {
		a.endRun(now, status, complete)
	}
	ex.service.dispatcher.Done(now, a.grant.Token, status)
	ex.gateway.metrics.attempts.WithLabelValues(outcomeLabels[status]).Inc()
}

// endRun tells the quarantine whether the request completed, or the upstream may still work on it. The
// end of the connection alone shows neither.
func (a *attempt) endRun(now time.Duration, status dispatch.Status, complete bool) {
	ex := a.exchange
	q, upstreamID := ex.gateway.quarantine, a.grant.Upstream.ID
	proven := ex.lastFraming != upstream.FramingClose
	completed := status == dispatch.Succeeded && proven
	ended := a.sendState == notSent || a.notRun() || complete && proven
	switch {
	case completed:
		ex.gateway.broadcastSuspicions(q.Completed(now, ex.fingerprint, upstreamID))
	case ended || a.crashed:
		q.Aborted(now, ex.fingerprint, upstreamID)
	default:
		q.Abandoned(now, ex.fingerprint, upstreamID)
	}
	switch {
	case a.partsCleared, a.crashed: // the parts no longer count as running
	case completed:
		a.clearParts(now)
	case ended:
		q.PartsAborted(ex.sharedParts, upstreamID)
	default:
		q.PartsAbandoned(now, ex.sharedParts, upstreamID)
	}
}

var outcomeLabels = map[dispatch.Status]string{
	dispatch.Succeeded: "succeeded", dispatch.Failed: "failed", dispatch.Unreachable: "unreachable", dispatch.NoResponse: "silent",
	dispatch.Refused: "refused", dispatch.Misdirected: "misdirected", dispatch.Malformed: "malformed", dispatch.Cancelled: "cancelled",
}
