package gateway

import (
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/yuccabridge/yuccabridge/internal/coordination/retry"
	"github.com/yuccabridge/yuccabridge/internal/eventlog"
	"github.com/yuccabridge/yuccabridge/internal/transport/upstream"
)

// retryState is what the retry budget of the service knows of one request.
type retryState struct {
	allowed *retry.Retry // not sent yet; nil if there is none
	sent    *retry.Retry // the last attempt; nil if that is the first of the request
	// unreadAt is the upstream of the last attempt if that may read it later; empty if it has
	// read it or never will.
	unreadAt string
}

// maxFailedDials bounds the number of upstreams that are dialed without success for one
// request.
const maxFailedDials = 4

// allowRetry takes a retry from the budget, unless no byte of the request has been sent
// since the last one: failed dials cost no retry.
func (ex *exchange) allowRetry() bool {
	if len(ex.triedUpstreams)-ex.sentAttempts >= maxFailedDials {
		return false
	}
	if ex.sentAttempts == 0 || ex.retries.allowed != nil {
		return true
	}
	now, slack := ex.gateway.now(), ex.gateway.retrySlack()
	ex.retries.allowed = ex.service.budget.Allow(now, slack)
	ex.logRetryDecision(slack)
	if ex.retries.allowed == nil {
		return false
	}
	if ex.retries.unreadAt != "" {
		ex.service.budget.Unread(now, ex.retries.allowed, ex.retries.unreadAt)
	}
	return true
}

// logRetryDecision logs and counts a decision of the retry budget, with its inputs.
func (ex *exchange) logRetryDecision(slack int) {
	usage := ex.service.budget.Usage(ex.gateway.now())
	fields := logrus.Fields{"service": ex.service.name, "first_attempts": usage.FirstAttempts, "retries": usage.Retries,
		"pending": usage.Pending, "slack": slack, "instances": ex.gateway.retryingInstances()}
	if ex.retries.allowed != nil {
		ex.gateway.metrics.retries.WithLabelValues("allowed").Inc()
		ex.logEntry(eventlog.RetryAllowed).WithFields(fields).Info("retry allowed")
		return
	}
	ex.gateway.metrics.retries.WithLabelValues("denied").Inc()
	ex.logEntry(eventlog.RetryDenied).WithFields(fields).Warn("retry budget exhausted")
}

// recordSending records that the first byte of the attempt is about to be sent.
func (a *attempt) recordSending() {
	ex := a.exchange
	a.started = true
	ex.gateway.quarantine.Started(ex.gateway.now(), ex.fingerprint, ex.team, a.grant.Upstream.ID)
	ex.gateway.quarantine.PartsStarted(ex.sharedParts, ex.team, a.grant.Upstream.ID)
	if ex.retries.allowed != nil {
		ex.service.budget.Sent(ex.gateway.now(), ex.retries.allowed)
	}
	ex.retries = retryState{sent: ex.retries.allowed}
}

// recordReading records whether the upstream has read the attempt. err is the error of the
// exchange, nil if the upstream has answered.
func (a *attempt) recordReading(err error) {
	ex := a.exchange
	if err == nil {
		ex.service.budget.Answered(ex.gateway.now(), a.grant.Upstream.ID)
		return
	}
	var failure *upstream.Failure
	givenUp := ex.callCtx.Err() != nil || errors.As(err, &failure) && failure.TimedOut()
	if givenUp && a.sendState == maybeSent {
		ex.retries.unreadAt = a.grant.Upstream.ID
	}
}

// settleRetries ends the accounting of the request's retries.
func (ex *exchange) settleRetries() {
	if ex.retries.allowed != nil {
		ex.service.budget.Withdraw(ex.retries.allowed)
	}
	if ex.retries.sent != nil && ex.retries.unreadAt != "" {
		ex.service.budget.Unread(ex.gateway.now(), ex.retries.sent, ex.retries.unreadAt)
	}
}
