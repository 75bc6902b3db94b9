package placement

import (
	"slices"
	"time"
)

// Role is the part of the work that an engine does.
type Role string

// The roles of an engine.
const (
	Prefill Role = "prefill"
	Decode  Role = "decode"
	Mixed   Role = "mixed"
)

// Placement is what an engine holds or is to hold.
type Placement struct {
	// Version is the model's version. Empty in a wanted placement: any.
	Version string `json:"version"`
	// Adapters are sorted by name.
	Adapters []string `json:"adapters"`
	Role     Role     `json:"role"`
}

// Satisfies reports whether an engine that holds p needs no command to hold wanted.
func (p Placement) Satisfies(wanted Placement) bool {
	return (wanted.Version == "" || p.Version == wanted.Version) && p.Role == wanted.Role && slices.Equal(p.Adapters, wanted.Adapters)
}

// Loads is the number of weight sets that an engine that holds p reads from the weight
// store to hold wanted. Adapters belong to a version and are read again with it.
func (p Placement) Loads(wanted Placement) int {
	if wanted.Version != "" && p.Version != wanted.Version {
		return 1 + len(wanted.Adapters)
	}
	n := 0
	for _, a := range wanted.Adapters {
		if !slices.Contains(p.Adapters, a) {
			n++
		}
	}
	return n
}

func (p Placement) equal(o Placement) bool {
	return p.Version == o.Version && p.Role == o.Role && slices.Equal(p.Adapters, o.Adapters)
}

// Engine is a managed engine of a plan.
type Engine struct {
	// Name is unique in the plan.
	Name   string
	Model  string
	Domain string
	Wanted Placement
}

// Plan is the wanted placement of one configuration revision.
type Plan struct {
	// Revision is the fencing number of the commands.
	Revision uint64
	Engines  []Engine
	// LoadsPerMinute is the weight store's rate.
	LoadsPerMinute int
	// ConcurrentLoads is the number of engines that may load at the same time.
	ConcurrentLoads int
}

// Member is a live instance.
type Member struct {
	ID     [16]byte
	Domain string
}

// Report is an engine's answer to a query.
type Report struct {
	Placement Placement
	Loading   bool
	// Fence is the fencing number that the engine has recorded.
	Fence       uint64
	Incarnation string
}

// Outcome is the result of a command.
type Outcome int

const (
	// Accepted: the engine has begun to carry out the command.
	Accepted Outcome = iota
	// Refused: the engine knows a higher fencing number.
	Refused
	// Failed: no answer, or an error.
	Failed
)

// String names the outcome.
func (o Outcome) String() string { return [...]string{"accepted", "refused", "failed"}[o] }

// Status is what the giver of an engine knows about it.
type Status int

const (
	// Unknown: no report yet.
	Unknown Status = iota
	// Settled: the engine has its wanted placement.
	Settled
	// Waiting: the engine needs a command that the limits or a backoff hold back.
	Waiting
	// Commanded: a command is on its way.
	Commanded
	// Loading: the engine is carrying out a command.
	Loading
	// Superseded: the engine reports a fence above this instance's revision.
	Superseded
	// Unreachable: the engine has not answered for a while.
	Unreachable
)

// String names the status.
func (s Status) String() string {
	return [...]string{"unknown", "settled", "waiting", "commanded", "loading", "superseded", "unreachable"}[s]
}

// MarshalText writes the status by its name.
func (s Status) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Action is what the caller has to do.
type Action interface{ action() }

// Query asks the engine for its report; the answer goes to [Machine.Reported] or
// [Machine.QueryFailed].
type Query struct {
	ID     uint64
	Engine string
}

// Command tells the engine to take a placement; the outcome goes to
// [Machine.CommandDone].
type Command struct {
	ID       uint64
	Engine   string
	Revision uint64
	Target   Placement
	// Loads is the number of weight sets that the engine will read.
	Loads int
}

// Changed reports a new status of an engine that this instance gives commands to.
type Changed struct {
	Engine   string
	Status   Status
	Previous Status
}

func (Query) action()   {}
func (Command) action() {}
func (Changed) action() {}

// EngineState is a row of [Machine.Snapshot].
type EngineState struct {
	Engine   string    `json:"engine"`
	Model    string    `json:"model"`
	Status   Status    `json:"status"`
	Wanted   Placement `json:"wanted"`
	Reported Placement `json:"reported"`
	Fence    uint64    `json:"fence"`
	// Attempts is the number of commands since the engine last had its wanted placement.
	Attempts int `json:"attempts"`
	// Age is the age of the report.
	Age time.Duration `json:"age_ns"`
}
