package gateway

import (
	"context"
	"io"
	"strconv"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/yuccabridge/yuccabridge/internal/coordination/dispatch"
	"github.com/yuccabridge/yuccabridge/internal/coordination/quarantine"
	"github.com/yuccabridge/yuccabridge/internal/eventlog"
	"github.com/yuccabridge/yuccabridge/internal/transport/upstream"
)

// sentState says how far a request went at an upstream.
type sentState int

const (
	sentNothing sentState = iota // no byte has left
	sentBytes                    // bytes may have left
)

// attempt is one sending of a request to one upstream.
type attempt struct {
	x         *exchange
	grant     *dispatch.Grant
	began     time.Duration
	sent      sentState
	verdict   Verdict
	answer    *upstream.Response
	delivered bool
	ended     bool
}

const (
	// maxAnswerBytes bounds an answer that is not a stream.
	maxAnswerBytes = 16 << 20
	// silenceFactor times the predicted time, but at least minSilence, is how long an
	// upstream may stay silent before a request that may run again is sent elsewhere.
	silenceFactor = 3
	minSilence    = 400 * time.Millisecond
	// minStreamSilence is minSilence for streams, whose first event waits for prompts of
	// other instances that this one does not know of.
	minStreamSilence = 1500 * time.Millisecond
)

var (
	errUnsigned   = errors.New("the answer does not show that it is the upstream's")
	errTruncated  = errors.New("the answer is larger than allowed")
	errNotRun     = errors.New("the upstream did not run the request")
	errNoEvent    = errors.New("the stream ended before its first event")
	errWrongEvent = errors.New("the resumed stream does not go on behind the last event")
)

// attempt sends the request to the granted upstream and delivers its answer.
func (x *exchange) attempt(grant *dispatch.Grant) *attempt {
	a := &attempt{x: x, grant: grant, began: x.g.now()}
	x.upstream = grant.Upstream.ID
	x.log(eventlog.RequestPlaced).WithFields(logrus.Fields{
		"upstream": grant.Upstream.ID, "address": grant.Upstream.Address, "wait_ms": grant.Wait.Milliseconds(), "work_ms": grant.Work.Milliseconds(),
		"priority": x.priority, "cached": grant.Cached, "home": grant.Preferred, "prompt": x.request.Prompt, "output": x.request.Output, "attempt": x.arrivals + 1,
	}).Info("request placed")
	x.g.quarantine.Started(a.began, x.fingerprint, x.team, grant.Upstream.ID)
	if err := a.run(); err != nil {
		a.fail(err)
	}
	return a
}

func (a *attempt) run() error {
	if err := a.send(nil); err != nil {
		return err
	}
	if a.x.route.Kind == Streaming && a.answer.Response.StatusCode() == fasthttp.StatusOK {
		return a.startStream()
	}
	return a.deliverWhole()
}

// send sends the request and reads the header of its answer.
func (a *attempt) send(resumeAfter *int64) error {
	x := a.x
	req := &fasthttp.Request{}
	req.Header.DisableNormalizing()
	x.g.protocols.Upstream.Build(&req.Header, &x.ctx.Request.Header, Call{
		Upstream: a.grant.Upstream, Team: x.team, Left: x.giveUp - x.g.now(), Priority: x.priority, ResumeAfter: resumeAfter,
	})
	req.SetBodyRaw(x.ctx.Request.Body())
	answer, err := x.service.client(a.grant.Upstream).Do(x.life, upstream.Call{
		Request:       req,
		HeaderTimeout: a.silence(),
		IsForeign: func(h *fasthttp.ResponseHeader) bool {
			mine := x.g.protocols.Upstream.Mine(h, x.request.ID)
			if !mine {
				x.log(eventlog.MismatchedResponse).WithField("upstream", a.grant.Upstream.ID).Warn("an answer to another request was dropped")
			}
			return !mine
		},
	})
	a.noteSent(err)
	if err != nil {
		return err
	}
	a.answer = answer
	a.verdict = x.g.protocols.Upstream.Judge(&answer.Response.Header)
	switch a.verdict {
	case NotRun, WrongUpstream:
		return errNotRun
	case Unsigned:
		return errUnsigned
	}
	return nil
}

// noteSent records how far the request went.
func (a *attempt) noteSent(err error) {
	a.x.tried = append(a.x.tried, a.grant.Upstream.ID)
	var f *upstream.Failure
	if errors.As(err, &f) && !f.Sent {
		return
	}
	a.sent = sentBytes
	a.x.arrivals++
	a.x.counted++
}

// silence is how long the upstream may stay silent before the request is tried elsewhere;
// 0 when it may not be tried elsewhere.
func (a *attempt) silence() time.Duration {
	x := a.x
	if !x.route.Repeatable() || x.counted+1 >= x.route.MaxAttempts {
		return 0
	}
	least := minSilence
	if x.route.Kind == Streaming {
		least = minStreamSilence
	}
	return max(silenceFactor*(a.grant.Wait+a.grant.Work), least)
}

// refused reports that the upstream said that it did not run the request.
func (a *attempt) refused() bool { return a.verdict == NotRun || a.verdict == WrongUpstream }

// deliverWhole reads the whole answer and passes it on.
func (a *attempt) deliverWhole() error {
	body, err := a.readBody()
	if err != nil {
		return err
	}
	x := a.x
	status := a.answer.Response.StatusCode()
	if status >= fasthttp.StatusInternalServerError && x.mayTryElsewhere() {
		return errors.Errorf("the upstream answered %d", status)
	}
	x.g.protocols.Upstream.Copy(&x.ctx.Response.Header, &a.answer.Response.Header)
	x.ctx.SetStatusCode(status)
	x.ctx.Response.SetBodyRaw(body)
	x.outcome = outcomeServed
	a.first()
	ended := dispatch.Succeeded
	if status >= fasthttp.StatusInternalServerError {
		ended = dispatch.Failed
	}
	a.end(ended, true)
	a.delivered = true
	return nil
}

// mayTryElsewhere reports whether a failure of the upstream itself is better answered by
// another one. The budget is asked only when the request is in fact sent again.
func (x *exchange) mayTryElsewhere() bool {
	return x.route.Repeatable() && x.counted < x.route.MaxAttempts && x.service.budget.Available(x.g.now()) && x.g.now() < x.giveUp
}

func (a *attempt) readBody() ([]byte, error) {
	reader := a.answer.Body(a.silence())
	body, err := io.ReadAll(io.LimitReader(reader, maxAnswerBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxAnswerBytes {
		return nil, errTruncated
	}
	return body, nil
}

// first records the first output of the upstream.
func (a *attempt) first() {
	x := a.x
	now := x.g.now()
	x.service.dispatcher.FirstOutput(now, a.grant.Token)
	x.g.metrics.latency.WithLabelValues(x.route.Kind.String(), strconv.Itoa(x.priority)).Observe((now - x.arrived).Seconds())
}

// fail ends a failed attempt and records what it says about the upstream.
func (a *attempt) fail(err error) {
	x := a.x
	status := a.statusOf(err)
	switch {
	case a.refused():
		if a.verdict == WrongUpstream {
			x.counted--
		}
	case a.sent == sentBytes:
		x.mayHaveRun = true
	}
	crashed := (status == dispatch.Unreachable || status == dispatch.NoResponse) && a.sent == sentBytes && a.crashed()
	x.log(eventlog.AttemptFailed).WithFields(logrus.Fields{
		"upstream": a.grant.Upstream.ID, "verdict": a.verdict.String(), "sent": a.sent == sentBytes, "crashed": crashed,
		"after_ms": (x.g.now() - a.began).Milliseconds(), "error": err.Error(),
	}).Warn("attempt failed")
	a.end(status, false)
}

// statusOf says what the failure tells about the upstream.
func (a *attempt) statusOf(err error) dispatch.Status {
	if a.x.callerGone() {
		return dispatch.Cancelled
	}
	if a.refused() {
		return dispatch.Refused
	}
	var f *upstream.Failure
	switch {
	case !errors.As(err, &f):
		return dispatch.Failed
	case f.Phase == upstream.PhaseDial && f.TimedOut(), f.ConnectionTimedOut():
		return dispatch.NoResponse
	case f.Phase == upstream.PhaseDial, !f.Timeout && !f.Reused:
		return dispatch.Unreachable
	}
	return dispatch.Failed
}

// crashed reports whether the upstream is down, and records it against the requests that
// were running there.
func (a *attempt) crashed() bool {
	dial, cancel := context.WithTimeout(context.Background(), dialTimeout)
	defer cancel()
	if a.x.service.client(a.grant.Upstream).Reachable(dial) {
		return false
	}
	id := quarantine.CrashID{Upstream: a.grant.Upstream.ID, Incarnation: a.grant.Upstream.ID}
	a.x.g.spread(a.x.g.quarantine.UpstreamCrashed(a.x.g.now(), id))
	return true
}

// end gives the place at the upstream back, once.
func (a *attempt) end(status dispatch.Status, complete bool) {
	if a.ended {
		return
	}
	a.ended = true
	if a.answer != nil {
		a.answer.Release(complete)
	}
	x := a.x
	now := x.g.now()
	if status == dispatch.Succeeded {
		x.g.spread(x.g.quarantine.Completed(now, x.fingerprint, a.grant.Upstream.ID))
	} else {
		x.g.quarantine.Aborted(now, x.fingerprint, a.grant.Upstream.ID)
	}
	x.service.dispatcher.Done(now, a.grant.Token, status)
	x.g.metrics.attempts.WithLabelValues(statusNames[status]).Inc()
}

var statusNames = map[dispatch.Status]string{
	dispatch.Succeeded: "succeeded", dispatch.Failed: "failed", dispatch.Unreachable: "unreachable", dispatch.NoResponse: "silent",
	dispatch.Refused: "refused", dispatch.Cancelled: "cancelled",
}
