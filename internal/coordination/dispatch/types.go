package dispatch

import "time"

// Part is one part of a prompt. Prompts that begin with the same parts share them.
type Part struct {
	ID     uint64
	Tokens int
}

// Server is an upstream as it is published.
type Server struct {
	ID, Address string
	Domain      string // failure domain
	Slots       int    // requests that it runs at once
	Memory      int    // tokens that it keeps; 0 for upstreams without prompts
	Leaving     bool   // receives no new requests
}

// Request is a request that needs an upstream.
type Request struct {
	// ID is unique among the requests of the dispatcher.
	ID uint64
	// Class groups requests with like answers: learned figures are kept by class.
	Class, Team string
	// Priority orders requests at the upstream; 0 is the most urgent.
	Priority int
	// Rank orders the requests that wait here; 0 is the most urgent. It tells requests of
	// one priority apart, so that the shorter target of one does not let the other begin
	// first.
	Rank int
	// Arrived, Target and Deadline are points in time. An answer that begins after
	// Target is late; one after Deadline is of no use.
	Arrived, Target, Deadline time.Duration
	// Prompt and Output are the numbers of tokens; Output is an upper bound.
	Prompt, Output int
	// Prefix lists the parts of the prompt in order.
	Prefix []Part
	// PauseTarget is the longest pause of the stream that is still on time; 0: none.
	PauseTarget time.Duration
	// Returning marks a request that comes back after a rejection.
	Returning bool
	// Exclude lists upstreams that the request has been sent to.
	Exclude []string
}

// Reason says why a request was rejected.
type Reason string

// Reasons of rejections.
const (
	// ReasonNoServer means that the service has no upstream that takes requests.
	ReasonNoServer Reason = "no_upstream"
	// ReasonTarget means that the request has a long prompt and the least urgent rank, and
	// is predicted to miss its target behind a backlog.
	ReasonTarget Reason = "target"
	// ReasonDeadline means that the request is predicted to miss its deadline.
	ReasonDeadline Reason = "deadline"
	// ReasonQueueFull means that more requests wait than Options.QueueLimit.
	ReasonQueueFull Reason = "queue_full"
)

// Grant is a place at an upstream. Every grant is ended once with Done.
type Grant struct {
	Server Server
	Token  uint64
	// Wait is the predicted time until the upstream begins with the request, and Work
	// the predicted time that it reads the prompt.
	Wait, Work time.Duration
	// Cached is the number of prompt tokens that the upstream is thought to keep.
	Cached int
	// Home tells that the prompt's session belongs to the upstream.
	Home bool
}

// Rejection is the refusal of a request that was not sent anywhere.
type Rejection struct {
	Reason     Reason
	RetryAfter time.Duration
	// Predicted is the predicted time to the first output that led to the rejection.
	Predicted time.Duration
}

// Decision is what became of a request: exactly one of Grant and Rejection is set, or
// neither while it waits.
type Decision struct {
	ID        uint64
	Grant     *Grant
	Rejection *Rejection
}

// Status is how a request at an upstream ended.
type Status int

const (
	// Succeeded means that the whole answer arrived.
	Succeeded Status = iota
	// Failed means that the upstream answered with a failure or broke off.
	Failed
	// Unreachable means that no connection could be made or that the connection was lost
	// before an answer.
	Unreachable
	// Silent is Unreachable without any answer of the other end: the upstream or the path
	// to it is gone.
	Silent
	// Refused means that the upstream did not run the request.
	Refused
	// Cancelled means that the caller left; it says nothing about the upstream.
	Cancelled
)

// Tag names an upstream in reports, which are sent several times a second: the low half of
// the hash of its name.
type Tag uint32

// Work is prompt work that a peer has sent to an upstream.
type Work struct {
	Server   Tag
	Reading  time.Duration
	Priority int
	Long     bool // the prompt is a long one
	// Session is the last shared part of the prompt, with the tokens of all shared parts,
	// which the upstream now keeps.
	Session Part
}

// Load is the number of requests that a peer has at an upstream now.
type Load struct {
	Server   Tag
	InFlight int
	// Streams is how many of them are streams with short pauses.
	Streams int
}

// Report is what an instance tells its peers: the work placed since the last report, and
// the loads that have changed since.
type Report struct {
	Placed []Work
	Loads  []Load
	// Full marks a report whose loads are all that there are: what is not in it is zero.
	Full bool
}

// Empty reports whether there is nothing to tell.
func (r Report) Empty() bool { return len(r.Placed) == 0 && len(r.Loads) == 0 && !r.Full }

// Options configure a Dispatcher. Zero values take the defaults.
type Options struct {
	// Domain is the failure domain of this instance.
	Domain string
	// TokensPerMS is the rate at which an upstream reads prompts until it is learned.
	// Default 40.
	TokensPerMS float64
	// QueueLimit bounds the waiting requests. Default 512.
	QueueLimit int
}
