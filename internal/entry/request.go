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

// Headers between the parties.
const (
	headerRequestID  = "X-Request-Id"
	headerClass      = "X-Class"
	headerPriority   = "X-Priority"
	headerDeadlineMS = "X-Deadline-Ms"
	headerTeam       = "X-Team"
)

// errCallerGone ends the work for a caller that closed its connection. It is never
// sent, since nobody is left to read it.
var errCallerGone = apierror.New(apierror.RequestTimeout, "the caller closed the connection")

// request is one request of a caller on its way.
type request struct {
	id          string // sent to the upstream, which must echo it
	seq         uint64 // the scheduler's identifier
	team        *team
	class       *config.Class
	pool        *pool
	arrived     time.Duration // monotonic, since the process start
	ctx         context.Context
	cancel      context.CancelFunc
	fingerprint quarantine.Fingerprint

	stream       bool
	promptTokens int
	affinity     uint64

	tried   []string // upstreams that failed the request
	isolate bool     // the request is suspected of crashing upstreams
	retried bool
}

// newRequestID returns 128 random bits in hex, so that no two requests of any
// instances share an identifier.
func newRequestID() string {
	var b [16]byte
	rand.Read(b[:])
	return hex.EncodeToString(b[:])
}

// deadline is the moment after which a first token is of no use.
func (r *request) deadline() time.Duration { return r.arrived + r.class.Deadline.Std() }

// admit queues the request and returns the slot it was given.
func (r *request) admit() (balancer.Pick, *apierror.Error) {
	queued := scheduler.Request{
		ID:           r.seq,
		Class:        r.class.Name,
		Team:         r.team.name,
		Arrived:      r.arrived,
		Deadline:     r.deadline(),
		PromptTokens: r.promptTokens,
		Retry:        r.retried,
	}
	pick := balancer.Request{PrefixHash: r.affinity, Exclude: r.tried, Isolated: r.isolate}
	return r.pool.acquire(r.ctx, queued, pick)
}

// mayRetry takes one retry from the class's budget.
func (r *request) mayRetry() bool {
	if r.pool.in.settings.Policy == settings.Baseline {
		return len(r.tried) < baselineTries
	}
	b := r.pool.budget(r.class)
	return b != nil && b.Allow(r.pool.in.now())
}

// baselineTries is how many upstreams the baseline policy tries, without a budget.
const baselineTries = 3

// upstreamHeaders sets the headers that every upstream receives.
func (r *request) upstreamHeaders(h *fasthttp.RequestHeader, now time.Duration) {
	h.Set(headerRequestID, r.id)
	if r.pool.in.settings.Policy == settings.Standard {
		h.Set(headerPriority, strconv.Itoa(r.class.Tier))
	}
	left := max(r.deadline()-now, 0)
	h.Set(headerDeadlineMS, strconv.FormatInt(left.Milliseconds(), 10))
}

// shedError turns the scheduler's refusal into the caller's final answer.
func shedError(s scheduler.Shed) *apierror.Error {
	e := apierror.New(apierror.Overloaded, "the queue is full; the request did not run")
	if s.Reason != scheduler.ReasonQueueFull {
		e = apierror.New(apierror.Deadline, "the request cannot be served before its deadline; it did not run")
	}
	e.RetryAfter = s.RetryAfter
	return e
}

// writeError answers the caller with an error.
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
