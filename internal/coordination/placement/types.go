package placement

import (
	"slices"
	"time"
)

// Role is the phase of inference that an engine serves.
type Role string

const (
	Prefill Role = "prefill"
	Decode  Role = "decode"
	Mixed   Role = "mixed"
)

// Placement is the model version, adapters and role that an engine has or should have.
type Placement struct {
	// Version is the version of the model. In a wanted placement, the empty string
	// stands for any version.
	Version string `json:"version"`
	// Adapters are sorted by name.
	Adapters []string `json:"adapters"`
	Role     Role     `json:"role"`
}

// Satisfies reports whether an engine with placement p needs no command to match wanted.
func (p Placement) Satisfies(wanted Placement) bool {
	return (wanted.Version == "" || p.Version == wanted.Version) && p.Role == wanted.Role && slices.Equal(p.Adapters, wanted.Adapters)
}

// LoadsNeeded returns the number of weight sets that an engine with placement p reads from
// the weight store to change to wanted. Adapters belong to a version and are read again
// with it.
func (p Placement) LoadsNeeded(wanted Placement) int {
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

// Engine is a managed engine and its wanted placement.
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
	// LoadsPerMinute limits the rate of loads from the weight store.
	LoadsPerMinute int
	// ConcurrentLoads limits the number of engines that load at the same time.
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
	// Accepted: the engine has started to execute the command.
	Accepted Outcome = iota
	// Refused: the engine has recorded a higher fencing number.
	Refused
	// Failed: the engine did not answer or answered with an error.
	Failed
)

// String returns the name of the outcome in logs and metrics.
func (o Outcome) String() string { return [...]string{"accepted", "refused", "failed"}[o] }

// Status is the state of an engine as its controller knows it.
type Status int

const (
	// Unknown: there is no valid report.
	Unknown Status = iota
	// Settled: the engine has its wanted placement.
	Settled
	// Waiting: the engine needs a command that a limit or a backoff delays.
	Waiting
	// Commanded: a command has been sent and has no outcome yet.
	Commanded
	// Loading: the engine is executing a command.
	Loading
	// Superseded: the engine reports a fence above this instance's revision.
	Superseded
	// Unreachable: the engine has not answered for at least a minute.
	Unreachable
)

// String returns the name of the status in logs and JSON.
func (s Status) String() string {
	return [...]string{"unknown", "settled", "waiting", "commanded", "loading", "superseded", "unreachable"}[s]
}

// MarshalText encodes the status as its name.
func (s Status) MarshalText() ([]byte, error) { return []byte(s.String()), nil }

// Action is an instruction to the caller: a [Query], [Command] or [StatusChange].
type Action interface{ action() }

// Query requests the report of an engine. The caller passes the result to
// [Machine.HandleReport] or [Machine.HandleQueryFailure].
type Query struct {
	ID     uint64
	Engine string
}

// Command instructs an engine to change to a placement. The caller passes the outcome to
// [Machine.HandleOutcome].
type Command struct {
	ID       uint64
	Engine   string
	Revision uint64
	Target   Placement
	// Loads is the number of weight sets that the engine will read.
	Loads int
}

// StatusChange reports the new status of an engine that this instance controls.
type StatusChange struct {
	Engine   string
	Status   Status
	Previous Status
}

func (Query) action()        {}
func (Command) action()      {}
func (StatusChange) action() {}

// EngineState is the state of one engine in a [Machine.Snapshot].
type EngineState struct {
	Engine   string    `json:"engine"`
	Model    string    `json:"model"`
	Status   Status    `json:"status"`
	Wanted   Placement `json:"wanted"`
	Reported Placement `json:"reported"`
	Fence    uint64    `json:"fence"`
	// Attempts is the number of commands sent since the engine last had its wanted
	// placement.
	Attempts int `json:"attempts"`
	// Age is the age of the report.
	Age time.Duration `json:"age_ns"`
}
