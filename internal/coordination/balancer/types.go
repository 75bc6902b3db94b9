package balancer

import "time"

// Upstream is one upstream of the model or service. It is encoded by its field names.
type Upstream struct {
	Name    string
	Address string
	Domain  string // failure domain
	Leaving bool   // receives no new requests
}

// Options configures a Balancer. Zero values select the defaults.
type Options struct {
	Instance string // name of this instance
	Domain   string // failure domain of this instance
	// Peers lists the live instances of this instance's failure domain. It may or may
	// not contain Instance.
	Peers        []string
	SubsetSize   int
	InitialLimit float64
	MinLimit     float64 // values below 1 are raised to 1
	MaxLimit     float64
	// TokenIntervalTarget is the inter-token target: the longest acceptable mean time
	// between tokens. When it is zero, the upstream's own low-load baseline is the
	// reference.
	TokenIntervalTarget time.Duration
}

// Request holds the properties of a request that affect its selection.
type Request struct {
	PrefixHash uint64   // hash of the prompt prefix; 0 means no affinity
	Exclude    []string // upstreams already tried
	Isolated   bool     // suspected of crashing upstreams
}

// Pick is a slot that is reserved at an upstream. It must be passed to Done.
type Pick struct {
	Upstream Upstream
	Handle   uint64 // identifies the slot
}

// Status tells how a dispatched request ended.
type Status int

// Values of Result.Status.
const (
	OK        Status = iota // the complete response arrived
	Failed                  // the dial failed or the connection broke
	Cancelled               // ended by the caller or by the deadline
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
	ServiceTime   time.Duration // from dispatch to the end
	OutputTokens  int
}

// LoadReport is the load that an upstream reports about itself.
type LoadReport struct {
	Incarnation string
	Running     int
	Waiting     int
	Age         time.Duration // time since the upstream measured the load
}

// UpstreamState is the state of one upstream, as returned by Snapshot. It is encoded by
// its field names.
type UpstreamState struct {
	Upstream      Upstream
	InSubset      bool
	Spillover     bool // in another failure domain
	InFlight      int
	Isolated      bool // an isolated request is in flight
	Limit         float64
	Straggler     bool
	Ejected       bool
	Failures      int           // consecutive failures that led to the ejection
	RetryAt       time.Duration // earliest time of the next probe of an ejected upstream
	FirstToken    time.Duration // moving average
	TokenInterval time.Duration // moving average
}
