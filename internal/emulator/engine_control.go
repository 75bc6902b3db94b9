package emulator

import "time"

// EngineSwitches are the lasting faults of an engine.
type EngineSwitches struct {
	// Straggle multiplies the time of each iteration; 1 is the normal speed.
	Straggle float64 `json:"straggle"`
	// LoadLag delays load reports.
	LoadLag Duration `json:"load_lag"`
	// CrashMarker crashes the engine when it starts to run a request whose body
	// contains it. Empty: off.
	CrashMarker string `json:"crash_marker"`
	// CrashRestart is the time after which the engine comes back from such a crash.
	// Zero: it stays down.
	CrashRestart Duration `json:"crash_restart"`
	// WrongIDEvery makes every n-th answer another request's: identifier, echo and
	// text are not the caller's. Zero: off.
	WrongIDEvery int `json:"wrong_id_every"`
	// NoResume refuses to resume streams.
	NoResume bool `json:"no_resume"`
	// IgnoreFence executes control commands whatever their fencing number.
	IgnoreFence bool `json:"ignore_fence"`
	// LoadTime is the time to load one weight set. Zero: none.
	LoadTime Duration `json:"load_time"`
	// RestartEmpty brings the engine up with nothing loaded and fence 0 after a crash.
	// Otherwise it comes up with what it held.
	RestartEmpty bool `json:"restart_empty"`
}

// Switches returns the lasting faults.
func (e *Engine) Switches() EngineSwitches {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.switches
}

// SetSwitches replaces the lasting faults.
func (e *Engine) SetSwitches(s EngineSwitches) {
	s.Straggle = validStraggle(s.Straggle)
	e.mu.Lock()
	defer e.mu.Unlock()
	e.switches = s
}

// Crash resets all connections, forgets all state and refuses new connections
// until Restart.
func (e *Engine) Crash() {
	e.abandon(true)
	e.server.crash()
}

// Restart listens on the former address under a new incarnation.
func (e *Engine) Restart() error { return e.listen(e.server.addr()) }

// CrashFor crashes the engine and restarts it after d.
func (e *Engine) CrashFor(d time.Duration) {
	e.Crash()
	e.server.after(d, func() { _ = e.Restart() })
}

// crashByRequest is the crash that a marked request causes.
func (e *Engine) crashByRequest() {
	restart := e.Switches().CrashRestart.Std()
	if restart > 0 {
		e.CrashFor(restart)
		return
	}
	e.Crash()
}

// Freeze stops all work and answers while connections stay open; false resumes.
func (e *Engine) Freeze(on bool) { e.server.frozen.set(on) }

// Silence makes the open connections silent for good and returns their number. New
// connections work.
func (e *Engine) Silence() int { return e.server.silence() }

// DropConnections resets the open connections; the engine keeps its streams.
func (e *Engine) DropConnections() { e.server.drop() }

func validStraggle(x float64) float64 {
	if x > 0 {
		return x
	}
	return 1
}

func (e *Engine) status() any {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Status[EngineSwitches, EngineCounters]{Name: e.options.Name, Incarnation: e.incarnationName(), Switches: e.switches, Counters: e.counters}
}

func (e *Engine) apply(c Command) error {
	s, err := overlay(e.Switches(), c.Switches)
	if err == nil {
		e.SetSwitches(s)
	}
	return err
}
