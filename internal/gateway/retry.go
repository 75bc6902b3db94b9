package gateway

import (
	"context"
	"slices"
	"sync"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/yuccabridge/yuccabridge/internal/coordination/quarantine"
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
	return ex.takeRetry()
}

// takeRetry takes a retry from the budget.
func (ex *exchange) takeRetry() bool {
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
		if ex.retries.allowed != nil {
			ex.service.budget.Unread(ex.gateway.now(), ex.retries.allowed, ex.retries.unreadAt)
		}
	}
}

// warmUp is what an attempt at a silent upstream knows of dials of other upstreams.
type warmUp struct {
	mu      sync.Mutex
	dialing bool
	failed  []string // upstreams
}

// reserveNext reserves what a further attempt needs: a place at another upstream to which there is a connection, and a
// retry of the budget. It reports whether it has both, so that a silent upstream can be given up. It runs in another
// goroutine while the exchange waits for the upstream.
func (a *attempt) reserveNext() bool {
	ex := a.exchange
	if ex.next != nil {
		return true
	}
	now := ex.gateway.now()
	if ex.callCtx.Err() != nil || now >= ex.deadline || !ex.service.retryAvailable(ex.gateway) || ex.suspicion() == quarantine.Refuse {
		return false
	}
	if ex.progress.events > 0 && ex.originSuperseded() {
		return false
	}
	a.warmUp.mu.Lock()
	defer a.warmUp.mu.Unlock()
	if a.warmUp.dialing {
		return false
	}
	r := ex.newDispatchRequest()
	r.Resubmitted, r.Exclude = true, slices.Concat(r.Exclude, []string{a.grant.Upstream.ID}, a.warmUp.failed)
	if ex.next = ex.service.dispatcher.TryPlace(now, r); ex.next == nil {
		return false
	}
	next := ex.next.Upstream
	if !ex.service.clientFor(next).HasIdle() {
		ex.releaseNext()
		a.warmUp.dialing = true
		go a.warmUp.dial(ex.service.clientFor(next), next.ID)
		return false
	}
	if !ex.takeRetry() {
		ex.releaseNext()
	}
	return ex.next != nil
}

// dial opens a connection to an upstream for a further attempt.
func (w *warmUp) dial(client *upstream.Client, upstreamID string) {
	ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
	defer cancel()
	err := client.Warm(ctx)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.dialing = false
	if err != nil {
		w.failed = append(w.failed, upstreamID)
	}
}

// releaseNext returns what reserveNext has reserved and no attempt has used.
func (ex *exchange) releaseNext() {
	if ex.next == nil {
		return
	}
	ex.service.dispatcher.RecordNotSent(ex.next.Token)
	ex.releaseGrant(ex.next)
	ex.next = nil
	if ex.retries.allowed != nil {
		ex.service.budget.Withdraw(ex.retries.allowed)
		ex.retries.allowed = nil
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
