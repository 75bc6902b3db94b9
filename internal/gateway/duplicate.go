package gateway

import (
	"context"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/yuccabridge/yuccabridge/internal/coordination/dispatch"
	"github.com/yuccabridge/yuccabridge/internal/coordination/duplicate"
	"github.com/yuccabridge/yuccabridge/internal/coordination/quarantine"
	"github.com/yuccabridge/yuccabridge/internal/coordination/retry"
	"github.com/yuccabridge/yuccabridge/internal/eventlog"
	"github.com/yuccabridge/yuccabridge/internal/transport/upstream"
)

// duplicateRetryInterval is how often a request whose first output is late looks for an upstream for a duplicate.
const duplicateRetryInterval = 50 * time.Millisecond

// contender is an attempt that runs beside another one of the same request. Until one of them has won, it touches nothing of the
// exchange that the other one does: the exchange is brought up to date by the goroutine of the request.
type contender struct {
	attempt *attempt
	permit  *retry.Retry // of the retry budget and the share of duplicates; nil for the first
	share   *retry.Retry
	cancel  context.CancelFunc
	done    chan struct{} // closed when the fields below are set

	response *upstream.Response
	stream   *stream // with its first event; nil if the response is none
	event    []byte
	err      error

	mu     sync.Mutex
	sent   bool // bytes may have left; read by other goroutines only after done
	wanted bool // it may still be sent
}

// mayDuplicate reports whether the request may get a duplicate: it may run more than once and has not been sent yet.
func (ex *exchange) mayDuplicate() bool {
	return ex.service.duplicates != nil && ex.route.Retryable() && ex.sentAttempts == 0 && ex.progress.events == 0 && ex.route.MaxAttempts > 1 &&
		ex.suspicion() == quarantine.Clear
}

// sendContended sends the request to the granted upstream, and to a second one if the first output is late. The first whole
// output wins; the other attempt is reset. It returns the attempt that won or, if none did, the one that failed last.
func (ex *exchange) sendContended(grant *dispatch.Grant) *attempt {
	predicted := grant.Wait + grant.Work
	delay, ok := ex.service.duplicates.Delay(ex.gateway.now(), ex.route.Name, predicted)
	if !ok {
		return ex.sendAttempt(grant)
	}
	first := ex.startContender(ex.newAttempt(grant), nil, nil)
	timer := time.NewTimer(delay)
	defer timer.Stop()
	var second *contender
	for second == nil {
		select {
		case <-first.done:
			return ex.settle(first, nil)
		case <-timer.C:
			if second = ex.startDuplicate(first); second != nil {
				break
			}
			if first.givesUp() {
				return ex.settle(first, nil)
			}
			timer.Reset(duplicateRetryInterval)
		}
	}
	winner, other := first, second
	select {
	case <-first.done:
	case <-second.done:
		winner, other = second, first
	}
	if !winner.usable() {
		<-other.done
		winner, other = other, winner
	}
	ex.logContest(first, second, winner)
	return ex.settle(winner, other)
}

// startContender sends an attempt in a goroutine of its own.
func (ex *exchange) startContender(a *attempt, permit, share *retry.Retry) *contender {
	ctx, cancel := context.WithCancel(ex.callCtx)
	a.timeout = a.responseTimeout()
	c := &contender{attempt: a, permit: permit, share: share, cancel: cancel, done: make(chan struct{}), wanted: true}
	request := a.buildRequest(nil)
	go func() {
		defer close(c.done)
		c.run(ctx, request)
	}()
	return c
}

func (c *contender) run(ctx context.Context, request *fasthttp.Request) {
	a := c.attempt
	ex := a.exchange
	c.response, c.err = ex.service.clientFor(a.grant.Upstream).Do(ctx, a.call(request, c.beforeSend))
	if c.err != nil {
		return
	}
	header := &c.response.Response
	if ex.route.Kind != Streaming || header.StatusCode() != fasthttp.StatusOK || ex.gateway.adapter.Upstream.ClassifyResponse(&header.Header) != ResponseValid {
		return
	}
	a.response = c.response
	c.stream = &stream{attempt: a}
	c.stream.openBody()
	c.event, c.err = c.stream.reader.NextWithField()
	switch c.err {
	case io.EOF:
		c.err = errNoEvent
	case io.ErrUnexpectedEOF:
		c.err = errEndsInsideEvent
	}
}

// givesUp gives up an attempt at a silent upstream if another upstream can take the request, as without duplicates. The attempt
// counts as one that was ended by a time limit.
func (c *contender) givesUp() bool {
	a := c.attempt
	if a.timeout == 0 || a.exchange.gateway.now()-a.startedAt < a.timeout || !a.reserveNext() {
		return false
	}
	c.cancel()
	<-c.done
	if c.err != nil {
		c.err = &upstream.Failure{Phase: upstream.PhaseHeader, Sent: c.sent, Timeout: true, Err: errSilent}
	}
	return true
}

// errSilent ends an attempt at an upstream that has sent nothing for a while.
var errSilent = errors.New("the upstream has sent nothing for a while")

// beforeSend reports whether the attempt may still be sent.
func (c *contender) beforeSend() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	a := c.attempt
	ex := a.exchange
	now := ex.gateway.now()
	if !c.wanted || ex.isAbandoned(now) || !ex.service.dispatcher.MaySend(now, a.grant.Token) {
		return false
	}
	c.sent, a.started = true, true
	ex.gateway.quarantine.Started(now, ex.fingerprint, ex.team, a.grant.Upstream.ID)
	ex.gateway.quarantine.PartsStarted(ex.sharedParts, ex.team, a.grant.Upstream.ID)
	if c.permit != nil {
		ex.service.budget.Sent(now, c.permit)
		ex.service.duplicates.Sent(now, c.share)
	}
	return true
}

// usable reports whether the attempt has brought output that can be forwarded.
func (c *contender) usable() bool {
	if c.err != nil {
		return false
	}
	ex := c.attempt.exchange
	return ex.gateway.adapter.Upstream.ClassifyResponse(&c.response.Response.Header) == ResponseValid &&
		c.response.Response.StatusCode() < fasthttp.StatusInternalServerError
}

// startDuplicate sends the request to a second upstream; nil if there is none that suits, or the budgets do not allow it.
func (ex *exchange) startDuplicate(first *contender) *contender {
	s, now := ex.service, ex.gateway.now()
	if ex.isAbandoned(now) || ex.suspicion() != quarantine.Clear {
		return nil
	}
	r := ex.newDispatchRequest()
	r.Resubmitted, r.Exclude = true, slices.Concat(r.Exclude, []string{first.attempt.grant.Upstream.ID})
	grant := s.dispatcher.TryPlace(now, r)
	if grant == nil {
		return nil
	}
	elapsed := now - first.attempt.startedAt
	candidate := duplicate.Candidate{Load: grant.Load, Slots: grant.Upstream.Slots, Predicted: grant.Wait + grant.Work, Wait: grant.Wait, Cold: grant.Cold, Limited: grant.Limited,
		Queued: s.dispatcher.Waiting()}
	release := func() {
		s.dispatcher.RecordNotSent(grant.Token)
		ex.releaseGrant(grant)
	}
	if !candidate.Suits(elapsed) {
		release()
		return nil
	}
	share := s.duplicates.Allow(now)
	if share == nil {
		release()
		ex.gateway.metrics.duplicates.WithLabelValues("share_used_up").Inc()
		return nil
	}
	permit := s.budget.Allow(now, ex.gateway.retrySlack())
	if permit == nil {
		s.duplicates.Withdraw(share)
		release()
		ex.gateway.metrics.duplicates.WithLabelValues("retries_used_up").Inc()
		return nil
	}
	usage := s.duplicates.Usage(now)
	ex.logEntry(eventlog.DuplicateSent).WithFields(logrus.Fields{"service": s.name, "upstream": grant.Upstream.ID, "first": first.attempt.grant.Upstream.ID,
		"elapsed_ms": elapsed.Milliseconds(), "first_predicted_ms": (first.attempt.grant.Wait + first.attempt.grant.Work).Milliseconds(),
		"predicted_ms": candidate.Predicted.Milliseconds(), "load": grant.Load, "requests": usage.FirstAttempts, "duplicates": usage.Retries}).Info("first output is late; sending a duplicate")
	ex.gateway.metrics.duplicates.WithLabelValues("sent").Inc()
	return ex.startContender(ex.newAttempt(grant), permit, share)
}

// logContest logs which attempt has won.
func (ex *exchange) logContest(first, second, winner *contender) {
	result := "lost"
	switch {
	case !winner.usable():
		result = "failed"
	case winner == second:
		result = "won"
	}
	ex.gateway.metrics.duplicates.WithLabelValues(result).Inc()
	ex.logEntry(eventlog.DuplicateEnded).WithFields(logrus.Fields{"service": ex.service.name, "result": result, "upstream": second.attempt.grant.Upstream.ID,
		"first": first.attempt.grant.Upstream.ID, "after_ms": (ex.gateway.now() - second.attempt.startedAt).Milliseconds()}).Info("request with a duplicate has output")
}

// settle brings the exchange up to date and goes on with the winner. The other attempt, if there is one, has failed or is
// given up.
func (ex *exchange) settle(winner, other *contender) *attempt {
	if other != nil {
		select {
		case <-other.done:
			other.attempt.adopt(other)
			other.attempt.endBeside(other)
		default:
			ex.giveUpContender(other)
		}
	}
	a := winner.attempt
	a.adopt(winner)
	err := winner.err
	if err == nil {
		err = a.accept(winner.response)
	}
	switch {
	case err != nil:
	case winner.stream != nil:
		err = a.beginStream(winner.stream, winner.event)
	default:
		err = a.forwardResponse()
	}
	if err != nil {
		a.recordFailure(err)
	}
	return a
}

// adopt records the sending of an attempt in the exchange.
func (a *attempt) adopt(c *contender) {
	ex := a.exchange
	ex.triedUpstreams = append(ex.triedUpstreams, a.grant.Upstream.ID)
	if !c.sent {
		ex.service.dispatcher.RecordNotSent(a.grant.Token)
		ex.withdrawPermits(c)
	} else {
		a.sendState = maybeSent
		ex.sentAttempts++
		ex.countedAttempts++
		if c.permit != nil {
			ex.retries.sent = c.permit
		}
	}
	a.recordReading(c.err)
	ex.lastUpstream = a.grant.Upstream.ID
}

func (ex *exchange) withdrawPermits(c *contender) {
	if c.permit != nil {
		ex.service.budget.Withdraw(c.permit)
		ex.service.duplicates.Withdraw(c.share)
	}
}

// endBeside ends an attempt that has failed, or whose output came second, without delaying the one that has won: it may take a
// dial to find out whether the upstream has crashed.
func (a *attempt) endBeside(c *contender) {
	a.response = c.response
	if c.err == nil {
		a.end(dispatch.Cancelled)
		return
	}
	if a.sendState == maybeSent {
		a.exchange.mayHaveRun = true
	}
	status := a.failureStatus(c.err)
	go func() { a.end(a.examineFailure(c.err, status)) }()
}

// giveUpContender resets the connection of an attempt that is not needed any more. What the upstream has not read does not
// reach it; if it may have read the request, that counts as an arrival of its own.
func (ex *exchange) giveUpContender(c *contender) {
	c.mu.Lock()
	c.wanted = false
	sent := c.sent
	c.mu.Unlock()
	ex.triedUpstreams = append(ex.triedUpstreams, c.attempt.grant.Upstream.ID)
	if sent {
		ex.sentAttempts++
		ex.countedAttempts++
		ex.retries.unreadAt = c.attempt.grant.Upstream.ID
		if c.permit != nil {
			ex.retries.sent = c.permit
		}
	} else {
		ex.service.dispatcher.RecordNotSent(c.attempt.grant.Token)
		ex.withdrawPermits(c)
	}
	c.cancel()
	go func() {
		<-c.done
		if c.response != nil {
			c.attempt.response = c.response
		}
		c.attempt.end(dispatch.Cancelled)
	}()
}

// end ends an attempt that is given up without an outcome. It uses nothing of the exchange that changes.
func (a *attempt) end(status dispatch.Status) {
	if a.finished {
		return
	}
	a.finished = true
	if a.response != nil {
		a.response.Release(false)
	}
	if a.event != nil {
		a.event.Reset()
	}
	ex := a.exchange
	now := ex.gateway.now()
	if a.started {
		q, upstreamID := ex.gateway.quarantine, a.grant.Upstream.ID
		q.Abandoned(now, ex.fingerprint, upstreamID)
		q.PartsAbandoned(now, ex.sharedParts, upstreamID)
	}
	ex.service.dispatcher.Done(now, a.grant.Token, status)
	ex.gateway.metrics.attempts.WithLabelValues(outcomeLabels[status]).Inc()
}
