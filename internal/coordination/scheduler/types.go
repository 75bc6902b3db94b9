package scheduler

import "time"

// Objective selects the effective deadline of requests, which admission and expiry use.
// The values equal those of config.Objective.
type Objective string

const (
	// Attainment uses the class's first-token target, or the request's deadline if that is
	// earlier.
	Attainment Objective = "attainment"
	// Goodput uses the request's deadline.
	Goodput Objective = "goodput"
)

// Class configures a request class.
type Class struct {
	Name string
	// Tier is the priority; 1 is the highest.
	Tier int
	// FirstTokenTarget, Deadline and MaxWait are measured from the request's arrival.
	// MaxWait is the wait after which a request is aged. A MaxWait of zero, or of at least
	// half of the effective deadline, is replaced by a quarter of the effective deadline,
	// which is the Deadline or, with Attainment, the FirstTokenTarget if that is shorter.
	FirstTokenTarget, Deadline, MaxWait time.Duration
}

// Team configures a team. The teams share each tier in proportion to their weights.
type Team struct {
	Name string
	// A Weight below 1 is treated as 1.
	Weight int
}

// Options configure a Scheduler.
type Options struct {
	Classes []Class
	Teams   []Team
	// QueueLimit bounds the waiting requests; see the package comment. Zero means 10,000.
	QueueLimit int
	// AgingInterval is the number of consecutive dispatches among which at most one is
	// an aged dispatch. Zero means 32; the minimum is 2.
	AgingInterval int
	// Objective defaults to Attainment.
	Objective Objective
	// MaxPeerPressureAge is the age from which a peer's pressure is ignored. Zero means 1 s.
	MaxPeerPressureAge time.Duration
}

// Request is a request that waits for an upstream.
type Request struct {
	// ID is unique among the queued requests.
	ID          uint64
	Class, Team string
	// Arrived and Deadline are times on the clock of the now parameters. A Deadline
	// of zero means Arrived plus the class's Deadline.
	Arrived, Deadline time.Duration
	PromptTokens      int
	// Retry marks a request that was dispatched before and is queued again with its
	// original arrival time. It is never shed because the queue is full.
	Retry bool
}

// ShedReason says why a request was shed.
type ShedReason int

const (
	// ReasonDeadline means that the request was predicted on arrival to miss its effective
	// deadline or its first-token target.
	ReasonDeadline ShedReason = iota + 1
	// ReasonExpired means that a queued request can no longer meet its effective deadline.
	ReasonExpired
	// ReasonQueueFull means that the queue was full.
	ReasonQueueFull
	// ReasonUnknownClass means that the request's class is not configured.
	ReasonUnknownClass
	// ReasonDuplicate means that a request with the same ID is already queued; that request
	// stays queued.
	ReasonDuplicate
)

// String returns the reason as it appears in logs and metrics.
func (r ShedReason) String() string {
	switch r {
	case ReasonDeadline:
		return "deadline"
	case ReasonExpired:
		return "expired"
	case ReasonQueueFull:
		return "queue_full"
	case ReasonUnknownClass:
		return "unknown_class"
	case ReasonDuplicate:
		return "duplicate"
	default:
		return "unknown"
	}
}

// Shed describes a request that was rejected before it was dispatched.
type Shed struct {
	ID     uint64
	Reason ShedReason
	// RetryAfter is drawn uniformly from [t, 2t], where t is the predicted time until the
	// backlog is processed.
	RetryAfter time.Duration
}

// Sample describes a dispatched request that ended. Every dispatched request
// must be passed to Observe exactly once, regardless of its result.
type Sample struct {
	Class, Team string
	// FirstToken is the time from dispatch to the first token. Zero means that no token was
	// received.
	FirstToken time.Duration
	// Service is the time from dispatch to the end.
	Service      time.Duration
	OutputTokens int
}

// Pressure is the load that an instance reports to its peers.
type Pressure struct {
	// HighestShed is the highest tier shed in the last second; 0 if none was shed.
	HighestShed int
	Queued      int
}
