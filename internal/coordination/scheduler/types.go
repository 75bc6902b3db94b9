package scheduler

import "time"

// Objective selects the limit that admission checks a request against.
// The values equal those of config.Objective.
type Objective string

const (
	// Attainment limits a request by its class's first-token target.
	Attainment Objective = "attainment"
	// Goodput limits a request by its deadline.
	Goodput Objective = "goodput"
)

// Class is a request class.
type Class struct {
	Name string
	// Tier is the priority; 1 is the highest.
	Tier int
	// FirstTokenTarget, Deadline and MaxWait count from the request's arrival.
	// A MaxWait of zero, or of half the limit or more, means a quarter of the
	// limit, which is the first-token target or with Goodput the deadline.
	FirstTokenTarget, Deadline, MaxWait time.Duration
}

// Team shares a tier with the other teams in proportion to its weight.
type Team struct {
	Name string
	// Weight below 1 counts as 1.
	Weight int
}

// Options configure a Scheduler.
type Options struct {
	Classes []Class
	Teams   []Team
	// QueueLimit bounds the waiting requests, see the package comment. Zero means 10,000.
	QueueLimit int
	// AgedShare is the number of dispatches of which one may go to an aged
	// request. Zero means 32; the least value is 2.
	AgedShare int
	// Objective defaults to Attainment.
	Objective Objective
	// PeerStaleness is the age at which a peer's pressure is ignored. Zero means 1 s.
	PeerStaleness time.Duration
}

// Request is a request that waits for an upstream.
type Request struct {
	// ID is unique among the queued requests.
	ID          uint64
	Class, Team string
	// Arrived and Deadline are points in time on the clock of now. A Deadline
	// of zero means Arrived plus the class's deadline.
	Arrived, Deadline time.Duration
	PromptTokens      int
	// Retry marks a request that was dispatched before and comes back with its
	// original arrival. It is never shed because the queue is full.
	Retry bool
}

// ShedReason says why a request was shed.
type ShedReason int

const (
	// ReasonDeadline means that the request was predicted on arrival to miss its limit.
	ReasonDeadline ShedReason = iota + 1
	// ReasonExpired means that a queued request can no longer meet its limit.
	ReasonExpired
	// ReasonQueueFull means that the queue was full.
	ReasonQueueFull
	// ReasonUnknownClass means that the configuration does not have the request's class.
	ReasonUnknownClass
	// ReasonDuplicate means that a request with the same ID is queued; that one stays.
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

// Shed is a request that was given up before it ran.
type Shed struct {
	ID     uint64
	Reason ShedReason
	// RetryAfter is drawn from [t, 2t], t being the predicted time until the backlog has drained.
	RetryAfter time.Duration
}

// Sample describes a dispatched request that ended. Every dispatched request
// must be observed exactly once, whatever its result.
type Sample struct {
	Class, Team string
	// FirstToken is the time from dispatch to the first token. Zero means that there was none.
	FirstToken time.Duration
	// Service is the time from dispatch to the end.
	Service      time.Duration
	OutputTokens int
}

// Pressure is what an instance tells its peers about its load.
type Pressure struct {
	// HighestShed is the highest tier shed in the last second; 0 when none.
	HighestShed int
	Queued      int
}
