package gateway

import (
	"context"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"

	"github.com/yuccabridge/yuccabridge/internal/coordination/dispatch"
	"github.com/yuccabridge/yuccabridge/internal/coordination/replica"
	"github.com/yuccabridge/yuccabridge/internal/protocol/apierror"
)

// Request is what the gateway reads from a caller's request.
type Request struct {
	// ID names the request in logs and ties answers to it. It may be empty.
	ID string
	// Key is the caller's key; empty when there is none.
	Key string
	// Patience is how long the caller waits; 0 when it does not say.
	Patience time.Duration
	// Prompt and Output are the tokens of the prompt and the most that may be generated.
	Prompt, Output int
	// Prefix lists the parts of the prompt.
	Prefix []dispatch.Part
}

// Refusal is an answer of this instance's own.
type Refusal struct {
	Error *apierror.Error
	// Status is the HTTP status.
	Status int
}

// CallerProtocol reads requests of callers and writes the instance's own answers.
// Implementations are safe for concurrent use.
type CallerProtocol interface {
	// Read reads the header of a request. Fields that cannot be read stay empty.
	Read(h *fasthttp.RequestHeader) Request
	// Refuse writes an answer of the instance's own.
	Refuse(res *fasthttp.Response, r Refusal)
}

// Call is one sending of a request to an upstream.
type Call struct {
	Upstream dispatch.Upstream
	// Team is the caller's team; empty on public routes without a key.
	Team string
	// Left is the time that the caller still waits.
	Left time.Duration
	// Priority is the request's rank; 0 is the most urgent.
	Priority int
	// ResumeAfter is the last event that the caller has received; nil unless the call
	// resumes a stream.
	ResumeAfter *int64
}

// Verdict is what an answer's header says.
type Verdict int

const (
	// Whole means that the upstream vouches for the answer.
	Whole Verdict = iota
	// NotRun means that the upstream says that it did not run the request.
	NotRun
	// WrongUpstream is NotRun because another upstream has the address.
	WrongUpstream
	// Unsigned means that the answer does not show that it is the upstream's.
	Unsigned
)

// String returns the name that is used in logs.
func (v Verdict) String() string {
	return [...]string{"whole", "not_run", "wrong_upstream", "unsigned"}[v]
}

// UpstreamProtocol builds calls and reads answers. Implementations are safe for concurrent
// use.
type UpstreamProtocol interface {
	// Build fills dst with the header of a call, made from the caller's header.
	Build(dst, src *fasthttp.RequestHeader, c Call)
	// Mine reports whether the answer belongs to the request with the id.
	Mine(h *fasthttp.ResponseHeader, id string) bool
	// Judge says what the answer's header tells about the request.
	Judge(h *fasthttp.ResponseHeader) Verdict
	// Copy passes the header of the answer on.
	Copy(dst, src *fasthttp.ResponseHeader)
}

// ErrHistoryGone is returned by a [Source] that no longer has the changes after a revision.
var ErrHistoryGone = errors.New("the platform has dropped the history")

// StoreDialTimeout bounds a dial of the platform. A dial that began behind a cut must not
// last longer than the cut.
const StoreDialTimeout = 400 * time.Millisecond

// WatchSlack is how much longer than its wait a watch may take to be answered.
const WatchSlack = 500 * time.Millisecond

// Source reads what the platform publishes. Implementations are safe for concurrent use.
type Source interface {
	// Read reads everything under a prefix.
	Read(ctx context.Context, prefix string) (replica.Snapshot, error)
	// Watch waits at most wait for changes after a revision. It returns the revision up
	// to which the changes are complete.
	Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]replica.Change, uint64, error)
}

// Decoder translates what the platform publishes. Implementations are safe for concurrent
// use.
type Decoder interface {
	// Prefix is where everything is published.
	Prefix() string
	// IsConfiguration tells the configuration's entry from those of upstreams.
	IsConfiguration(key string) bool
	// Configuration decodes the configuration.
	Configuration(i replica.Item) (*Configuration, error)
	// Upstream decodes the entry of an upstream.
	Upstream(i replica.Item) (Upstream, error)
}
