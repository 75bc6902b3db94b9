package placement

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards against commands that a rule forbids, one case for each rule: a fence above the
// revision, a view that is not fresh, an old report, a load in progress, and an engine that
// already has its wanted placement. An older plan that arrives late must have no effect.
func TestCommandsAreHeldBack(t *testing.T) {
	v1, v2 := Placement{Version: "v1", Role: Mixed}, Placement{Version: "v2", Role: Mixed}
	cases := []struct {
		name   string
		report Report
		age    time.Duration
		stale  bool
		want   int // commands
	}{
		{"command due", Report{Placement: v1, Fence: 7}, 0, false, 1},
		{"higher fence", Report{Placement: v1, Fence: 8}, 0, false, 0},
		{"stale view", Report{Placement: v1, Fence: 6}, 0, true, 0},
		{"old report", Report{Placement: v1, Fence: 6}, MaxReportAge + 1, false, 0},
		{"loading", Report{Placement: v1, Fence: 6, Loading: true}, 0, false, 0},
		{"wanted placement", Report{Placement: v2, Fence: 6}, 0, false, 0},
	}
	for _, c := range cases {
		self := Member{Domain: "a"}
		m := New(self, rand.New(rand.NewPCG(1, 1)))
		m.SetMembers(0, []Member{self})
		plan := Plan{Revision: 7, LoadsPerMinute: 60, ConcurrentLoads: 4, Engines: []Engine{{Name: "e", Model: "m", Domain: "a", Wanted: v2}}}
		m.SetPlan(0, plan)
		plan.Revision, plan.Engines = 6, []Engine{{Name: "e", Model: "m", Domain: "a", Wanted: v1}}
		m.SetPlan(0, plan)
		now := time.Minute
		var id uint64
		for _, a := range m.Tick(now, true) {
			if q, ok := a.(Query); ok {
				id = q.ID
			}
		}
		got := 0
		for _, a := range m.HandleReport(now+c.age, id, c.report, !c.stale) {
			if command, ok := a.(Command); ok {
				got++
				if command.Revision != 7 || command.Target.Version != "v2" || command.Loads != 1 {
					t.Errorf("%s: command %+v", c.name, command)
				}
			}
		}
		if got != c.want {
			t.Errorf("%s: %d commands, want %d", c.name, got, c.want)
		}
	}
}

// Guards against repeated commands without a growing backoff when an engine never reaches
// its wanted placement.
func TestFailedCommandsBackOff(t *testing.T) {
	s := newSim(1)
	s.loadTime = 1000 * time.Hour
	s.plan = Plan{LoadsPerMinute: 600, ConcurrentLoads: 1, Engines: []Engine{{Name: "e", Model: "m", Domain: "a"}}}
	s.engines["e"] = &simEngine{name: "e", model: "m", current: Placement{Role: Mixed}}
	s.addInstance("a")
	var commandTimes []time.Duration
	s.onCommand = func(_ *simInstance, e *simEngine, _ Report, _ time.Duration, _ Command) {
		commandTimes = append(commandTimes, s.now)
		s.schedule(time.Second, func() { e.loadID, e.loading = e.loadID+1, false }) // the load fails
	}
	s.publish(func(e *Engine) { e.Wanted = Placement{Version: "v", Role: Mixed} })
	s.synchronize()
	s.run(time.Hour)
	// The mean backoff doubles from 2 s to 2 minutes: 6 commands in the first 2 minutes,
	// then one every 1 to 3 minutes plus the time until the next query.
	if n := len(commandTimes); n < 20 || n > 66 {
		t.Errorf("%d commands in an hour", n)
	}
	for i := 7; i+1 < len(commandTimes); i++ {
		if pause := commandTimes[i+1] - commandTimes[i]; pause < time.Minute {
			t.Errorf("command %d followed after %v", i+1, pause)
		}
	}
}

// Guards against a late command of an older revision that stays in effect. An engine that
// enforces the fence refuses it. An engine that ignores the fence, or has restarted without
// its state, executes it once and is corrected with one command after the next query.
func TestLateCommandIsRepaired(t *testing.T) {
	for _, c := range []struct {
		name                    string
		enforcesFence, restarts bool
		executed                int
	}{
		{"enforces the fence", true, false, 1},
		{"ignores the fence", false, false, 3},
		{"restarted empty", true, true, 3},
	} {
		s := newSim(1)
		s.plan = Plan{Revision: 4, LoadsPerMinute: 600, ConcurrentLoads: 1, Engines: []Engine{{Name: "e", Model: "m", Domain: "a"}}}
		e := &simEngine{name: "e", model: "m", enforcesFence: c.enforcesFence, current: Placement{Role: Mixed}}
		s.engines["e"] = e
		s.addInstance("a")
		s.publish(func(e *Engine) { e.Wanted = Placement{Version: "new", Role: Mixed} })
		s.synchronize()
		s.run(time.Hour)
		if c.restarts {
			s.restart(e)
		}
		s.execute(e, Command{Engine: "e", Revision: 4, Target: Placement{Version: "old", Role: Mixed}, Loads: 1})
		// The late load takes up to 8 s, the next query comes after up to 5 s, and the
		// correcting load takes up to 8 s.
		s.run(30 * time.Second)
		if mismatch := s.firstMismatch(); mismatch != "" || e.executed != c.executed {
			t.Errorf("%s: %d commands executed, want %d; %s", c.name, e.executed, c.executed, mismatch)
		}
	}
}

// Guards against a second load that starts between the acceptance of a command and the
// first report that shows its load. The property tests found this fault in a long run
// (rapid seed 28518).
func TestAcceptedCommandCountsAsLoad(t *testing.T) {
	for seed := range uint64(20) {
		s := newSim(seed)
		s.plan = Plan{LoadsPerMinute: 6000, ConcurrentLoads: 1}
		for _, name := range []string{"e1", "e2", "e3", "e4"} {
			s.plan.Engines = append(s.plan.Engines, Engine{Name: name, Model: name, Domain: "a"})
			s.engines[name] = &simEngine{name: name, model: name, current: Placement{Role: Mixed}}
		}
		s.onLoadStart = func() {
			loading := 0
			for _, e := range s.engines {
				if e.loading {
					loading++
				}
			}
			if loading > 1 {
				t.Fatalf("seed %d: %d engines load at the same time, want 1", seed, loading)
			}
		}
		s.addInstance("a")
		s.publish(func(e *Engine) { e.Wanted = Placement{Version: "v", Role: Mixed} })
		s.synchronize()
		s.run(10 * time.Minute)
		if mismatch := s.firstMismatch(); mismatch != "" {
			t.Errorf("seed %d: %s", seed, mismatch)
		}
	}
}
