package entry

import (
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

// attempt is one exchange of a request with one upstream. It holds a slot until
// end is called.
type attempt struct {
	r      *request
	pick   balancer.Pick
	client *upstream.Client
	answer *upstream.Answer

	incarnation string // of the upstream when the attempt began; empty when not known

	started    time.Duration
	firstToken time.Duration // since started; 0 until the first byte of the answer
	lastToken  time.Duration
	tokens     int
	ended      bool
}

// errForeign reports an answer that belongs to another request.
var errForeign = errors.New("the answer's request id does not match")

func (r *request) newAttempt(pick balancer.Pick) *attempt {
	now := r.pool.in.now()
	r.pool.in.quarantine.Started(now, r.fingerprint, r.team.name, pick.Upstream.Name)
	return &attempt{
		r:           r,
		pick:        pick,
		client:      r.pool.client(pick.Upstream.Address),
		incarnation: r.pool.incarnation(pick.Upstream.Name),
		started:     now,
	}
}

// send sends the request and checks that the answer belongs to it.
func (a *attempt) send(call upstream.Call) error {
	answer, err := a.client.Do(a.r.ctx, call)
	var f *upstream.Failure
	if errors.As(err, &f) && f.LostConnection() && !call.Fresh && a.client.Reachable(a.r.ctx) && !a.restarted() {
		// The upstream closed a pooled connection; it did not fail.
		call.Fresh = true
		answer, err = a.client.Do(a.r.ctx, call)
	}
	if err != nil {
		return err
	}
	if !a.matches(string(answer.Response.Header.Peek(headerRequestID))) {
		answer.Release(false)
		a.r.pool.in.metrics.foreignAnswers.WithLabelValues(a.r.pool.name).Inc()
		return errForeign
	}
	a.answer = answer
	return nil
}

// matches checks the echoed request id. Engines must echo it; plain services that
// do not know the header are tied to their request by the connection alone.
func (a *attempt) matches(echo string) bool {
	return echo == a.r.id || echo == "" && a.r.pool.kind == servicePool
}

// token notes that a token or the whole answer has arrived.
func (a *attempt) token() {
	now := a.r.pool.in.now() - a.started
	if a.tokens == 0 {
		a.firstToken = now
	}
	a.lastToken = now
	a.tokens++
}

// interval is the mean time between tokens so far.
func (a *attempt) interval() time.Duration {
	if a.tokens < 2 {
		return 0
	}
	return (a.lastToken - a.firstToken) / time.Duration(a.tokens-1)
}

// end gives the slot back. It is called once for each attempt; later calls change nothing.
func (a *attempt) end(status balancer.Status) {
	if a.ended {
		return
	}
	a.ended = true
	if a.answer != nil {
		a.answer.Release(status == balancer.OK)
	}
	in, now := a.r.pool.in, a.r.pool.in.now()
	if status == balancer.OK {
		a.r.pool.learnService(a.r.class.Name, now-a.started)
		in.spread(in.quarantine.Finished(now, a.r.fingerprint, a.pick.Upstream.Name))
	} else {
		in.quarantine.Abandoned(now, a.r.fingerprint, a.pick.Upstream.Name)
	}
	result := balancer.Result{
		Status:        status,
		FirstToken:    a.firstToken,
		TokenInterval: a.interval(),
		ServiceTime:   now - a.started,
		OutputTokens:  a.tokens,
	}
	a.r.pool.done(a.pick, result, scheduler.Sample{
		Class:        a.r.class.Name,
		Team:         a.r.team.name,
		FirstToken:   a.firstToken,
		Service:      now - a.started,
		OutputTokens: a.tokens,
	})
}

// fail ends a failed attempt: it finds out whether the upstream crashed and
// returns the error that the caller receives when there is no retry.
func (a *attempt) fail(err error) *apierror.Error {
	if a.r.ctx.Err() != nil {
		a.end(balancer.Cancelled)
		return errCallerGone
	}
	status := balancer.Failed
	if a.crashed(err) {
		status = balancer.Crashed
	}
	a.r.tried = append(a.r.tried, a.pick.Upstream.Name)
	a.r.pool.in.log.WithFields(map[string]any{
		"event": "attempt_failed", "request": a.r.id, "pool": a.r.pool.name,
		"upstream": a.pick.Upstream.Name, "crashed": status == balancer.Crashed, "error": err.Error(),
	}).Info("attempt failed")
	a.end(status)
	e := apierror.New(apierror.UpstreamFailed, "the upstream failed")
	if sent(err) {
		e.Run = apierror.Unknown
	}
	return e
}

// crashed reports whether the upstream itself went down while the request ran, and
// records it against the requests that were running there.
func (a *attempt) crashed(err error) bool {
	var f *upstream.Failure
	if !errors.As(err, &f) || f.Phase == upstream.Dial {
		return false
	}
	if a.client.Reachable(a.r.ctx) && !a.restarted() {
		return false
	}
	a.recordCrash()
	return true
}

// restarted reports whether the upstream runs under another incarnation than when
// the attempt began.
func (a *attempt) restarted() bool {
	if a.r.pool.kind != modelPool {
		return false
	}
	now := a.r.pool.checkIncarnation(a.r.ctx, a.pick.Upstream, true)
	return a.incarnation != "" && now != "" && now != a.incarnation
}

// recordCrash names the crash by the incarnation under which the attempt began. Every
// request that was running there records it, each with the same name, so it counts once.
func (a *attempt) recordCrash() {
	in := a.r.pool.in
	id := quarantine.CrashID{Upstream: a.pick.Upstream.Name, Incarnation: a.incarnation}
	in.spread(in.quarantine.Crashed(in.now(), id))
	in.metrics.crashes.WithLabelValues(a.r.pool.name).Inc()
}

// sent reports whether any byte of the request may have left.
func sent(err error) bool {
	var f *upstream.Failure
	return !errors.As(err, &f) || f.Sent
}

// retryable reports whether another upstream may serve the request after this answer.
func retryable(status int) bool {
	return status == fasthttp.StatusTooManyRequests || status >= 500 && status != fasthttp.StatusNotImplemented
}

// errStatus is an upstream's error status that another upstream may not give.
var errStatus = errors.New("the upstream answered with an error status")

// readAll reads a whole answer within the limit.
func (a *attempt) readAll(limit int, wait time.Duration) ([]byte, error) {
	body, err := io.ReadAll(io.LimitReader(a.answer.Body(wait), int64(limit)+1))
	if err != nil {
		return nil, err
	}
	if len(body) > limit {
		return nil, errors.Errorf("the answer exceeds %d bytes", limit)
	}
	return body, nil
}
