package dispatch

import (
	"time"

	"github.com/yuccabridge/yuccabridge/internal/coordination/sharedlimit"
)

// Part is one segment of a prompt. Prompts that begin with the same parts share them in an
// upstream's prefix cache.
type Part struct {
	ID     uint64
	Tokens int
}

// Upstream describes an upstream as published by the platform.
type Upstream struct {
	ID, Address string
	Incarnation string `json:",omitempty"` // changes when the upstream starts again under its ID
	// StartedAt is when its process started, by the clocks of both machines; 0 if it is not published.
	StartedAt        time.Duration `json:"-"`
	Version          string        `json:",omitempty"` // of its software; streams of one version cannot go on at another
	Domain           string        // failure domain
	Slots            int           // maximum number of concurrent requests
	KVCapacityTokens int           `json:"Memory"` // KV cache capacity; 0 for upstreams without prompts
	Leaving          bool          // receives no new requests
	Evacuated        bool          `json:",omitempty"` // the operator wants nothing new sent to its failure domain

	// ColdRate is the number of requests per second that it takes from all instances together while it is cold; 0 means
	// no bound. ColdTime is how long it stays cold after a start.
	ColdRate float64       `json:",omitempty"`
	ColdTime time.Duration `json:"-"`
	// ColdUntil is the time before which it counts as cold, as published.
	ColdUntil time.Duration `json:"-"`
}

// Ranks is the number of ranks that are distinguished, which is the number of priorities that
// model engines distinguish. Less urgent requests share the last rank.
const Ranks = 10

// rankIndex returns the rank limited to the range that is distinguished.
func rankIndex(rank int) int { return min(max(rank, 0), Ranks-1) }

// Request is a request to be placed on an upstream.
type Request struct {
	// ID is unique among the requests of the dispatcher.
	ID uint64
	// Class names the kind of request. Team is the tenant whose fair share the request uses.
	Class, Team string
	// Rank is the urgency of the request, below Ranks; 0 is the most urgent. It orders
	// requests both in the dispatcher's queue and at the upstream.
	Rank int
	// Arrived, Target and Deadline are points in time. An answer that begins after
	// Target is late; one that begins after Deadline is useless.
	Arrived, Target, Deadline time.Duration
	// Prompt and Output are token counts; Output is an upper bound.
	Prompt, Output int
	// Prefix lists the parts of the prompt in order.
	Prefix []Part
	// InterTokenTarget is the longest acceptable pause between events of the stream; 0 if
	// there is no target.
	InterTokenTarget time.Duration
	// Resubmitted marks a request that its caller sent again after a rejection.
	Resubmitted bool
	// Exclude lists upstreams to which the request has already been sent.
	Exclude []string
	// Version is the only software version at which the request may run; nil if any will do.
	Version *string

	long bool // a long prompt, as classified on arrival
}

// Reason is the cause of a rejection.
type Reason string

// Reasons for rejections.
const (
	// ReasonNoUpstream means that no upstream of the service accepts requests.
	ReasonNoUpstream Reason = "no_upstream"
	// ReasonNoVersion means that no upstream of the version that the request needs accepts requests.
	ReasonNoVersion Reason = "no_version"
	// ReasonEvacuated means that all upstreams of the service that accept requests are in evacuated failure domains.
	ReasonEvacuated Reason = "evacuated"
	// ReasonTarget means that the request has a long prompt and the least urgent rank, and
	// is predicted to miss its target because of a backlog.
	ReasonTarget Reason = "target"
	// ReasonDeadline means that the request is predicted to miss its deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonLimit means that the available upstreams have stated limits, or are cold, and that this allows no
	// further request in time.
	ReasonLimit Reason = "limit"
	// ReasonSilent means that the available upstreams have stated that they want no requests before the
	// target of the request.
	ReasonSilent Reason = "silent"
	// ReasonQueueFull means that the queue holds Options.QueueLimit requests and the request
	// was selected for removal.
	ReasonQueueFull Reason = "queue_full"
)

// Grant assigns a request to an upstream. Each grant must be ended by one call of Done.
type Grant struct {
	Upstream Upstream
	Token    uint64
	// Wait is the predicted time until the upstream starts the request. Work is the
	// predicted prefill time, or the mean response time for services without prompts.
	Wait, Work time.Duration
	// Cached is the number of prompt tokens expected in the upstream's prefix cache.
	Cached int
	// Preferred reports whether this is the upstream selected by the hash of the session.
	Preferred bool
	// Load is the number of requests of all instances at the upstream, without this one.
	Load int
	// Cold reports whether the upstream is cold.
	Cold bool
	// Limited reports whether the upstream has stated a limit on requests per second.
	Limited bool
}

// Rejection describes a request that was not sent to any upstream.
type Rejection struct {
	Reason     Reason
	RetryAfter time.Duration
	// Predicted is the predicted time to first output that led to the rejection.
	Predicted time.Duration
}

// WaitReason is the cause for which a request waits in the dispatcher.
type WaitReason string

// Reasons for waiting.
const (
	// WaitSlot means that the selected upstream has as many requests as it may receive.
	WaitSlot WaitReason = "slot"
	// WaitBacklog means that the selected upstream is predicted to start the request too late.
	WaitBacklog WaitReason = "backlog"
	// WaitLimit means that the available upstreams have stated limits, or are cold, and that the next request
	// is allowed in time.
	WaitLimit WaitReason = "limit"
	// WaitSilent means that the available upstreams have stated that they want no requests yet, or come
	// back from such a time and get few at first.
	WaitSilent WaitReason = "silent"
	// WaitQueue means that other requests that are served first are waiting.
	WaitQueue WaitReason = "queue"
)

// Wait describes a request that waits in the dispatcher.
type Wait struct {
	Reason WaitReason
	// Upstream is the upstream that would receive the request.
	Upstream string
	// Load is the number of requests of all instances at that upstream.
	Load int
}

// Decision is the outcome for a request. At most one of Grant and Rejection is set; neither
// is set while the request waits, which Wait then describes.
type Decision struct {
	ID        uint64
	Grant     *Grant
	Rejection *Rejection
	Wait      Wait
}

// Status is the outcome of a request at an upstream.
type Status int

const (
	// Succeeded means that the complete answer arrived.
	Succeeded Status = iota
	// Failed means that the upstream returned an error or ended the answer early.
	Failed
	// Unreachable means that no connection could be established or that the connection was
	// lost before an answer.
	Unreachable
	// NoResponse is Unreachable without any response from the other end: the upstream or the
	// network path to it is down.
	NoResponse
	// Refused means that the upstream did not execute the request.
	Refused
	// Misdirected means that another upstream answered: the published address is outdated.
	Misdirected
	// Malformed means that the upstream sent bytes that are no response, or a response that
	// exceeds a bound.
	Malformed
	// Cancelled means that the caller disconnected, or that the request was withheld; it says nothing
	// about the upstream.
	Cancelled
)

// Tag identifies an upstream in reports: the low 32 bits of the hash of its ID. Reports are
// sent several times a second, so identifiers are kept short.
type Tag uint32

// Work is prefill work that a peer has placed on an upstream.
type Work struct {
	Upstream Tag           `msgpack:"Server"`
	Prefill  time.Duration `msgpack:"Reading"`
	Rank     int           `msgpack:"Priority"`
	Long     bool          // a long prompt
	// Session is the last shared part of the prompt with the token count of all shared
	// parts, which the upstream now has cached.
	Session Part
}

// Load is the number of requests that a peer currently has in flight at an upstream.
type Load struct {
	Upstream Tag `msgpack:"Server"`
	InFlight int
	// Streams is the number of latency-sensitive streams among them.
	Streams int
}

// Report is what an instance sends to its peers: the work placed since the last report and
// the loads that have changed since then.
type Report struct {
	Placed []Work
	Loads  []Load
	// Full marks a report that lists all loads; upstreams not listed have none.
	Full bool
	// Limits are the limits stated by upstreams that have changed; a full report also has those that
	// the reporting instance holds.
	Limits []UpstreamLimit
	// Leaving are the upstreams that have stated that they leave; a full report has all of them.
	Leaving []LeavingUpstream
}

// UpstreamLimit is the limit that an upstream has stated.
type UpstreamLimit struct {
	Upstream Tag
	// Incarnation is the low half of the hash of the upstream's incarnation: a limit ends when
	// the upstream starts again.
	Incarnation uint32
	Limit       sharedlimit.Limit
}

// Empty reports whether the report contains nothing to send.
func (r Report) Empty() bool {
	return len(r.Placed) == 0 && len(r.Loads) == 0 && len(r.Limits) == 0 && len(r.Leaving) == 0 && !r.Full
}

// Options configure a Dispatcher. Zero values take the defaults.
type Options struct {
	// Domain is the failure domain of this instance.
	Domain string
	// TokensPerMS is the initial estimate of an upstream's prefill rate. Default 40.
	TokensPerMS float64
	// QueueLimit bounds the number of waiting requests. Default 512.
	QueueLimit int
}
