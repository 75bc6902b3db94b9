package balancer

import "time"

// Upstream is one back end of the model or service.
type Upstream struct {
	Name    string
	Address string
	Domain  string // failure domain
	Leaving bool   // receives no new work
}

// Options configures a Balancer. Zero values select the defaults.
type Options struct {
	Instance string // name of this instance
	Domain   string // failure domain of this instance
	// Peers lists the live instances of this instance's failure domain. Whether
	// it contains Instance makes no difference.
	Peers        []string
	SubsetSize   int
	InitialLimit float64
	MinLimit     float64 // values below 1 are raised to 1
	MaxLimit     float64
	// TokenIntervalTarget is the longest acceptable mean time between tokens.
	// When it is zero, the upstream's own low-load baseline is the reference.
	TokenIntervalTarget time.Duration
}

// Request describes what Pick needs to know about a request.
type Request struct {
	Affinity uint64   // hash of the prompt prefix; 0 means no affinity
	Exclude  []string // upstreams already tried
	Isolated bool     // suspected of crashing upstreams
}

// Pick is a reserved slot at an upstream. It must be passed to Done.
type Pick struct {
	Upstream Upstream
	Token    uint64
}

// Status is the way a dispatched request ended.
type Status int

// The statuses of a Result.
const (
	OK        Status = iota // the whole answer arrived
	Failed                  // a failed dial or a broken connection
	Cancelled               // ended by the caller or by its deadline
	Crashed                 // the upstream died while running the request
)

// String returns the name of the status.
func (s Status) String() string {
	switch s {
	case OK:
		return "ok"
	case Failed:
		return "failed"
	case Cancelled:
		return "cancelled"
	case Crashed:
		return "crashed"
	}
	return "unknown"
}

// Result is the outcome of a dispatched request. Durations are zero when they
// were not observed.
type Result struct {
	Status        Status
	FirstToken    time.Duration // from dispatch to the first token
	TokenInterval time.Duration // mean time between tokens
	Service       time.Duration // from dispatch to the end
	Tokens        int
}

// LoadReport is an upstream's own account of its load.
type LoadReport struct {
	Incarnation string
	Running     int
	Waiting     int
	Age         time.Duration // time since the upstream measured the load
}

// UpstreamState is the view of one upstream that Snapshot returns.
type UpstreamState struct {
	Upstream      Upstream
	InSubset      bool
	Spillover     bool // in another failure domain
	InFlight      int
	Isolated      bool // an isolated request is in flight
	Limit         float64
	Straggler     bool
	Ejected       bool
	Failures      int           // consecutive failures behind the ejection
	RetryAt       time.Duration // earliest probe of an ejected upstream
	FirstToken    time.Duration // moving average
	TokenInterval time.Duration // moving average
}
