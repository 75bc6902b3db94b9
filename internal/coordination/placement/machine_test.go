package placement

import (
	"math/rand/v2"
	"testing"
	"time"
)

// Guards one by one the rules that hold a command back: a fence above the revision, a
// view that is not fresh, an old report, a load in progress, an engine as wanted, and an
// older plan that arrives late.
func TestCommandsAreHeldBack(t *testing.T) {
	v1, v2 := Placement{Version: "v1", Role: Mixed}, Placement{Version: "v2", Role: Mixed}
	cases := []struct {
		name   string
		report Report
		age    time.Duration
		stale  bool
		want   int
	}{
		{"given", Report{Placement: v1, Fence: 7}, 0, false, 1},
		{"higher fence", Report{Placement: v1, Fence: 8}, 0, false, 0},
		{"stale view", Report{Placement: v1, Fence: 6}, 0, true, 0},
		{"old report", Report{Placement: v1, Fence: 6}, MaxReportAge + 1, false, 0},
		{"loading", Report{Placement: v1, Fence: 6, Loading: true}, 0, false, 0},
		{"as wanted", Report{Placement: v2, Fence: 6}, 0, false, 0},
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
		for _, a := range m.Reported(now+c.age, id, c.report, !c.stale) {
			if x, ok := a.(Command); ok {
				got++
				if x.Revision != 7 || x.Target.Version != "v2" || x.Loads != 1 {
					t.Errorf("%s: command %+v", c.name, x)
				}
			}
		}
		if got != c.want {
			t.Errorf("%s: %d commands, want %d", c.name, got, c.want)
		}
	}
}

// Guards against commands that follow each other without a growing pause when an engine
// never takes its placement.
func TestFailedCommandsBackOff(t *testing.T) {
	s := newSim(1)
	s.loadTime = 1000 * time.Hour
	s.plan = Plan{LoadsPerMinute: 600, ConcurrentLoads: 1, Engines: []Engine{{Name: "e", Model: "m", Domain: "a"}}}
	s.engines["e"] = &simEngine{name: "e", model: "m", held: Placement{Role: Mixed}}
	s.addInstance("a")
	var given []time.Duration
	s.given = func(_ *simInstance, e *simEngine, _ Report, _ time.Duration, _ Command) {
		given = append(given, s.now)
		s.after(time.Second, func() { e.load, e.loading = e.load+1, false }) // the load fails
	}
	s.publish(func(e *Engine) { e.Wanted = Placement{Version: "v", Role: Mixed} })
	s.agree()
	s.run(time.Hour)
	// 2 s doubles up to 2 minutes: 6 commands in the first 2 minutes and one every
	// 1 to 3 minutes and a query later.
	if n := len(given); n < 20 || n > 66 {
		t.Errorf("%d commands in an hour", n)
	}
	for i := 7; i+1 < len(given); i++ {
		if pause := given[i+1] - given[i]; pause < time.Minute {
			t.Errorf("command %d followed after %v", i+1, pause)
		}
	}
}

// Guards against an older command that arrives late and stays: an engine that honours
// the number refuses it, one that ignores it or has restarted empty runs it once and is
// repaired with one command after the next query.
func TestLateCommandIsRepaired(t *testing.T) {
	for _, c := range []struct {
		name              string
		honours, restarts bool
		executed          int
	}{
		{"honours the number", true, false, 1},
		{"ignores the number", false, false, 3},
		{"restarted empty", true, true, 3},
	} {
		s := newSim(1)
		s.plan = Plan{Revision: 4, LoadsPerMinute: 600, ConcurrentLoads: 1, Engines: []Engine{{Name: "e", Model: "m", Domain: "a"}}}
		e := &simEngine{name: "e", model: "m", honours: c.honours, held: Placement{Role: Mixed}}
		s.engines["e"] = e
		s.addInstance("a")
		s.publish(func(e *Engine) { e.Wanted = Placement{Version: "new", Role: Mixed} })
		s.agree()
		s.run(time.Hour)
		if c.restarts {
			s.restart(e)
		}
		s.execute(e, Command{Engine: "e", Revision: 4, Target: Placement{Version: "old", Role: Mixed}, Loads: 1})
		// A load of up to 8 s, the query after up to 5 s, and another load.
		s.run(30 * time.Second)
		if bad := s.unsettled(); bad != "" || e.executed != c.executed {
			t.Errorf("%s: %d commands executed, want %d; %s", c.name, e.executed, c.executed, bad)
		}
	}
}

// Guards against a second load between the acceptance of a command and the first report
// that shows its load. The generated tests found it in a long campaign (rapid seed 28518).
func TestAcceptedCommandCountsAsLoad(t *testing.T) {
	for seed := range uint64(20) {
		s := newSim(seed)
		s.plan = Plan{LoadsPerMinute: 6000, ConcurrentLoads: 1}
		for _, name := range []string{"e1", "e2", "e3", "e4"} {
			s.plan.Engines = append(s.plan.Engines, Engine{Name: name, Model: name, Domain: "a"})
			s.engines[name] = &simEngine{name: name, model: name, held: Placement{Role: Mixed}}
		}
		s.loadBegan = func() {
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
		s.agree()
		s.run(10 * time.Minute)
		if bad := s.unsettled(); bad != "" {
			t.Errorf("seed %d: %s", seed, bad)
		}
	}
}
