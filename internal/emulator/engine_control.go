package emulator

import "time"

// EngineFaults are the fault settings of an engine. They stay in effect until they are
// changed.
type EngineFaults struct {
	// Straggle is the factor on the time of each iteration; 1 is the normal speed.
	Straggle float64 `json:"straggle"`
	// LoadLag is the age of the load reports that GET /load returns.
	LoadLag Duration `json:"load_lag"`
	// CrashMarker is a text that crashes the engine when it starts to run a request
	// whose body contains it. Empty: off.
	CrashMarker string `json:"crash_marker"`
	// CrashRestart is the time after which the engine restarts after such a crash.
	// Zero: it does not restart.
	CrashRestart Duration `json:"crash_restart"`
	// WrongIDEvery gives every n-th response the identifier, echo and text of a request
	// other than the caller's. Zero: off.
	WrongIDEvery int `json:"wrong_id_every"`
	// NoResume refuses to resume streams.
	NoResume bool `json:"no_resume"`
	// IgnoreFence executes placement commands without checking their fencing number.
	IgnoreFence bool `json:"ignore_fence"`
	// LoadTime is the time to load one weight set. Zero: loads finish at once.
	LoadTime Duration `json:"load_time"`
	// RestartEmpty makes the engine restart with nothing loaded and fence 0 after a
	// crash. Otherwise it restarts with the placement that it had.
	RestartEmpty bool `json:"restart_empty"`
}

// Faults returns the fault settings.
func (e *Engine) Faults() EngineFaults {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.faults
}

// SetFaults replaces the fault settings.
func (e *Engine) SetFaults(faults EngineFaults) {
	faults.Straggle = straggleOrDefault(faults.Straggle)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.faults = faults
}

// Crash resets all connections, discards all streams and refuses new connections until
// Restart.
func (e *Engine) Crash() {
	e.loseStreams(true)
	e.server.crash()
}

// Restart listens on the same address again, as a new incarnation.
func (e *Engine) Restart() error { return e.listen(e.server.addr()) }

// CrashFor crashes the engine and restarts it after d.
func (e *Engine) CrashFor(d time.Duration) {
	e.Crash()
	e.server.afterFunc(d, func() { _ = e.Restart() })
}

// crashOnMarker crashes the engine for a request with the crash marker, and schedules
// the restart that CrashRestart sets.
func (e *Engine) crashOnMarker() {
	restart := e.Faults().CrashRestart.Std()
	if restart > 0 {
		e.CrashFor(restart)
		return
	}
	e.Crash()
}

// Freeze stops all processing and all responses while connections stay open.
// Freeze(false) ends it.
func (e *Engine) Freeze(on bool) { e.server.frozen.set(on) }

// Silence permanently stops all traffic on the open connections without closing them,
// and returns their number. New connections work.
func (e *Engine) Silence() int { return e.server.silenceConnections() }

// DropConnections resets the open connections; their streams can be resumed.
func (e *Engine) DropConnections() { e.server.dropConnections() }

func straggleOrDefault(factor float64) float64 {
	if factor > 0 {
		return factor
	}
	return 1
}

func (e *Engine) status() any {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Status[EngineFaults, EngineCounters]{Name: e.options.Name, Incarnation: e.incarnationName(), Faults: e.faults, Counters: e.counters}
}

func (e *Engine) apply(c Command) error {
	faults, err := mergeJSON(e.Faults(), c.Faults)
	if err == nil {
		e.SetFaults(faults)
	}
	return err
}
