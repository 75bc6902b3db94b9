package entry

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"strconv"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/yuccabridge/yuccabridge/config"
	"github.com/yuccabridge/yuccabridge/internal/coordination/balancer"
	"github.com/yuccabridge/yuccabridge/internal/coordination/quarantine"
	"github.com/yuccabridge/yuccabridge/internal/coordination/scheduler"
	"github.com/yuccabridge/yuccabridge/internal/protocol/apierror"
	"github.com/yuccabridge/yuccabridge/internal/settings"
)

// Headers exchanged with callers and upstreams.
const (
	headerRequestID  = "X-Request-Id"
	headerClass      = "X-Class"
	headerPriority   = "X-Priority"
	headerDeadlineMS = "X-Deadline-Ms"
	headerTeam       = "X-Team"
)

// errCallerDisconnected aborts a request whose caller closed the connection. It is never
// written as a response.
var errCallerDisconnected = apierror.New(apierror.RequestTimeout, "the caller closed the connection")

// request is a caller's request in progress.
type request struct {
	id          string // sent to the upstream, which must echo it
	queueID     uint64 // identifies the request in the scheduler queue
	team        *team
	class       *config.Class
	pool        *pool
	arrived     time.Duration // monotonic, since the process start
	ctx         context.Context
	cancel      context.CancelFunc
	fingerprint quarantine.Fingerprint

	stream       bool
	promptTokens int
	prefixHash   uint64

	failedUpstreams []string // names of upstreams on which an attempt failed
	isolated        bool     // the request is suspected of crashing upstreams
	retried         bool
}

// newRequestID returns 128 random bits in hex, which makes IDs unique across instances.
func newRequestID() string {
	var b [16]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// deadline returns the latest useful time for the first token.
func (r *request) deadline() time.Duration { return r.arrived + r.class.Deadline.Std() }

// acquireSlot queues the request and waits for a slot at an upstream.
func (r *request) acquireSlot() (balancer.Pick, *apierror.Error) {
	queuedRequest := scheduler.Request{
		ID:           r.queueID,
		Class:        r.class.Name,
		Team:         r.team.name,
		Arrived:      r.arrived,
		Deadline:     r.deadline(),
		PromptTokens: r.promptTokens,
		Retry:        r.retried,
	}
	selection := balancer.Request{PrefixHash: r.prefixHash, Exclude: r.failedUpstreams, Isolated: r.isolated}
	return r.pool.acquire(r.ctx, queuedRequest, selection)
}

// takeRetry takes one retry from the class's budget and reports whether it was available.
func (r *request) takeRetry() bool {
	if r.pool.instance.settings.Policy == settings.Baseline {
		return len(r.failedUpstreams) < baselineMaxAttempts
	}
	b := r.pool.retryBudget(r.class)
	return b != nil && b.Allow(r.pool.instance.now())
}

// baselineMaxAttempts is the number of attempts under the baseline policy, which has no
// retry budget.
const baselineMaxAttempts = 3

// setUpstreamHeaders sets the request ID, deadline and, under the standard policy, priority.
func (r *request) setUpstreamHeaders(h *fasthttp.RequestHeader, now time.Duration) {
	h.Set(headerRequestID, r.id)
	if r.pool.instance.settings.Policy == settings.Standard {
		h.Set(headerPriority, strconv.Itoa(r.class.Tier))
	}
	remaining := max(r.deadline()-now, 0)
	h.Set(headerDeadlineMS, strconv.FormatInt(remaining.Milliseconds(), 10))
}

// shedError converts a shed decision of the scheduler to an error response.
func shedError(s scheduler.Shed) *apierror.Error {
	e := apierror.New(apierror.Overloaded, "the queue is full; the request did not run")
	if s.Reason != scheduler.ReasonQueueFull {
		e = apierror.New(apierror.Deadline, "the request cannot be served before its deadline; it did not run")
	}
	e.RetryAfter = s.RetryAfter
	return e
}

// writeError writes an error response.
func writeError(ctx *fasthttp.RequestCtx, e *apierror.Error) {
	ctx.Response.Reset()
	ctx.SetStatusCode(e.Status())
	ctx.SetContentType("application/json")
	if e.RetryAfter > 0 {
		seconds := int64((e.RetryAfter + time.Second - 1) / time.Second)
		ctx.Response.Header.Set("Retry-After", strconv.FormatInt(seconds, 10))
	}
	ctx.SetBody(e.JSON())
}
