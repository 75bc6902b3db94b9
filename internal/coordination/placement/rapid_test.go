package placement

import (
	"cmp"
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yuccabridge/yuccabridge/internal/rapidflags"
)

func init() { rapidflags.Set(rapidflags.Defaults{Seed: 1, Checks: 100, Steps: 40}) }

// harness applies generated events to a sim and checks its commands and loads.
type harness struct {
	t               *rapid.T
	sim             *sim
	plans           []Plan
	domains         []string
	enginesPerModel map[string]int
	// controllersReplaced disables the checks of the total rate and of the concurrent loads:
	// each replaced controller may add its share of the weight store's limits once more.
	controllersReplaced bool
}

func newHarness(t *rapid.T, domains, engines int) *harness {
	h := &harness{t: t, sim: newSim(rapid.Uint64().Draw(t, "seed")), enginesPerModel: map[string]int{}}
	h.domains = []string{"a", "b", "c"}[:domains]
	h.sim.plan = Plan{LoadsPerMinute: rapid.SampledFrom([]int{2, 60, 600}).Draw(t, "rate"), ConcurrentLoads: rapid.IntRange(domains, 8).Draw(t, "concurrent")}
	ignoreFence := rapid.IntRange(0, 2).Draw(t, "ignoring")
	for i := range engines {
		e := Engine{Name: fmt.Sprintf("engine-%d", i), Model: []string{"large", "small"}[i%5/4], Domain: h.domains[i%domains]}
		h.sim.plan.Engines = append(h.sim.plan.Engines, e)
		h.sim.engines[e.Name] = &simEngine{name: e.Name, model: e.Model, enforcesFence: i%2 >= ignoreFence, current: Placement{Role: Mixed}}
		h.enginesPerModel[e.Model]++
	}
	for _, d := range h.domains {
		for range rapid.IntRange(1, 4).Draw(t, "instances") {
			h.sim.addInstance(d)
		}
	}
	h.sim.onCommand = h.checkCommand
	h.publish()
	h.sim.synchronize()
	return h
}

func (h *harness) publish() {
	version := fmt.Sprintf("v%d", rapid.IntRange(1, 3).Draw(h.t, "version"))
	adapters := [][]string{nil, {"fr"}, {"ar", "fr"}}[rapid.IntRange(0, 2).Draw(h.t, "adapters")]
	changedModel := rapid.SampledFrom([]string{"large", "small"}).Draw(h.t, "model")
	role := rapid.SampledFrom([]Role{Mixed, Prefill, Decode}).Draw(h.t, "role")
	firstPlan := h.sim.plan.Revision == 0
	h.sim.publish(func(e *Engine) {
		if firstPlan || e.Model == changedModel {
			e.Wanted = Placement{Version: version, Adapters: adapters, Role: role}
		}
	})
	h.plans = append(h.plans, h.sim.plan)
}

// checkCommand is the oracle for a single command. The command must respond to a report of
// the same engine whose query is at most 2 s old, which shows another placement, no load
// and no higher fence, and the instance must have a fresh view.
func (h *harness) checkCommand(inst *simInstance, e *simEngine, report Report, sentAt time.Duration, c Command) {
	switch {
	case e == nil || e.name != c.Engine:
		h.t.Fatalf("command for %s without a report of it", c.Engine)
	case report.Fence > c.Revision:
		h.t.Fatalf("command of revision %d for %s, which reported fence %d", c.Revision, e.name, report.Fence)
	case c.Revision != inst.revision:
		h.t.Fatalf("command of revision %d by an instance with revision %d", c.Revision, inst.revision)
	case report.Loading || fmt.Sprint(report.Placement) == fmt.Sprint(c.Target):
		h.t.Fatalf("redundant command for %s: reported %v, target %v, loading %v", e.name, report.Placement, c.Target, report.Loading)
	case !h.sim.fresh(inst):
		h.t.Fatalf("command for %s by an instance whose view is not fresh", e.name)
	case h.sim.now-sentAt > 2*time.Second:
		h.t.Fatalf("command for %s %v after the query", e.name, h.sim.now-sentAt)
	}
}

// checkInstanceRate compares the loads of each instance in any minute with the share of
// its domain.
func (h *harness) checkInstanceRate() {
	domainRate := max(1, h.sim.plan.LoadsPerMinute/min(len(h.domains), len(h.sim.engines)))
	for i, inst := range h.sim.instances {
		if got := maxLoadsPerMinute(inst.loads); got > domainRate+2 { // one command reads up to 3 weight sets
			h.t.Fatalf("instance %d: %d loads in a minute, the share of its domain is %d", i, got, domainRate)
		}
	}
}

func (h *harness) checkSettles() {
	h.sim.lateShare, h.sim.lossRate, h.sim.meanDelay = 0, 0, 2*time.Millisecond
	h.thaw()
	for _, d := range h.domains { // ensures that every domain has a live instance
		h.sim.addInstance(d)
	}
	for _, e := range h.sim.engines {
		e.down = false
	}
	h.sim.synchronize()
	h.sim.run(time.Minute) // all delayed and repeated commands have arrived
	h.waitSettled(3 * time.Hour)
	h.sim.run(time.Minute)
	if mismatch := h.sim.firstMismatch(); mismatch != "" {
		h.t.Fatalf("placement changed again after all engines had settled: %s", mismatch)
	}
}

// waitSettled runs the sim until all engines have their wanted placements. 16 engines with
// 3 weight sets each take 24 minutes at the lowest rate of 2 a minute. Unequal shares of
// the controllers, the change order, jitter and the longest backoff of 3 minutes add to
// that.
func (h *harness) waitSettled(limit time.Duration) {
	for end := h.sim.now + limit; h.sim.firstMismatch() != ""; h.sim.run(10 * time.Second) {
		if h.sim.now >= end {
			h.t.Fatalf("not settled after %v: %s", limit, h.sim.firstMismatch())
		}
	}
}

func (h *harness) thaw() {
	for _, inst := range h.sim.instances {
		if inst.frozen {
			h.sim.thaw(inst)
		}
	}
}

func (h *harness) actions() map[string]func(*rapid.T) {
	drawInstance := func(t *rapid.T) *simInstance {
		return h.sim.instances[rapid.IntRange(0, len(h.sim.instances)-1).Draw(t, "instance")]
	}
	drawEngine := func(t *rapid.T) *simEngine {
		return h.sim.engines[fmt.Sprintf("engine-%d", rapid.IntRange(0, len(h.sim.engines)-1).Draw(t, "engine"))]
	}
	return map[string]func(*rapid.T){
		"run":       func(t *rapid.T) { h.sim.run(time.Duration(rapid.IntRange(1, 60_000).Draw(t, "ms")) * time.Millisecond) },
		"publish":   func(*rapid.T) { h.publish() },
		"take plan": func(t *rapid.T) { h.sim.setPlan(drawInstance(t), rapid.SampledFrom(h.plans).Draw(t, "plan")) },
		"take members": func(t *rapid.T) {
			mask := rapid.Uint64().Draw(t, "members")
			var view []Member
			for i, inst := range h.sim.instances {
				if mask>>(i%64)&1 == 1 {
					view = append(view, inst.member)
				}
			}
			inst := drawInstance(t)
			h.sim.setMembers(inst, append(view, inst.member))
		},
		"agree": func(*rapid.T) { h.sim.synchronize() },
		"kill":  func(t *rapid.T) { drawInstance(t).alive = false },
		"start": func(t *rapid.T) {
			h.sim.setPlan(h.sim.addInstance(rapid.SampledFrom(h.domains).Draw(t, "domain")), h.sim.plan)
		},
		"freeze": func(t *rapid.T) { drawInstance(t).frozen = true },
		"pause all": func(t *rapid.T) { // also while commands of a plan are still pending
			for _, inst := range h.sim.instances {
				inst.frozen = inst.alive
			}
			h.sim.run(time.Duration(rapid.IntRange(1, 60).Draw(t, "s")) * time.Second)
			h.thaw()
			h.sim.run(time.Second)
		},
		"thaw":  func(*rapid.T) { h.thaw() },
		"crash": func(t *rapid.T) { drawEngine(t).down = true },
		"restart": func(t *rapid.T) {
			h.sim.restart(drawEngine(t))
		},
		"network": func(t *rapid.T) {
			h.sim.lateShare = rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "late")
			h.sim.lossRate = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "loss")
			h.sim.meanDelay = rapid.SampledFrom([]time.Duration{2 * time.Millisecond, time.Second}).Draw(t, "delay")
		},
		"": func(*rapid.T) { h.checkInstanceRate() },
	}
}

// Guards against commands that are based on an outdated report or on none, engines that
// keep an older placement after late or repeated commands, and engines without a controller.
func TestRapidEnginesReachHighestRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		h := newHarness(t, rapid.IntRange(1, 3).Draw(t, "domains"), rapid.IntRange(1, 12).Draw(t, "engines"))
		t.Repeat(h.actions())
		h.checkSettles()
		h.checkInstanceRate()
	})
}

// Guards against loads or engines out of service above the limits, and against redundant
// commands, while all instances have the same plan and view and controllers are killed,
// added and replaced.
func TestRapidLimitsWhileViewsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.IntRange(1, 3).Draw(t, "domains")
		h := newHarness(t, domains, rapid.IntRange(4, 16).Draw(t, "engines"))
		h.sim.meanDelay = rapid.SampledFrom([]time.Duration{2 * time.Millisecond, 100 * time.Millisecond}).Draw(t, "delay")
		h.sim.onLoadStart = h.checkConcurrentLoads
		plans := 1
		t.Repeat(map[string]func(*rapid.T){
			"run": func(t *rapid.T) { h.sim.run(time.Duration(rapid.IntRange(1, 90).Draw(t, "s")) * time.Second) },
			"publish": func(*rapid.T) {
				for _, id := range sortedKeys(h.sim.inFlight) {
					h.sim.inFlight[id]()
				}
				h.publish()
				h.sim.synchronize()
				plans++
			},
			"replace": func(t *rapid.T) {
				inst := h.sim.instances[rapid.IntRange(0, len(h.sim.instances)-1).Draw(t, "instance")]
				inst.alive = false
				h.sim.addInstance(inst.member.Domain)
				h.sim.synchronize()
				h.controllersReplaced = true
			},
		})
		if !h.controllersReplaced {
			h.checkTotalRate()
		}
		h.waitSettled(6 * time.Hour)
		for _, e := range h.sim.engines {
			if e.executed > plans {
				t.Fatalf("%s executed %d commands for %d plans", e.name, e.executed, plans)
			}
		}
	})
}

// checkConcurrentLoads checks the engines that load at the same time against the weight
// store's limit and against the limit for each model.
func (h *harness) checkConcurrentLoads() {
	loading, reading := map[string]int{}, 0
	for _, e := range h.sim.engines {
		if e.loading {
			loading[e.model]++
		}
		if e.loading && e.readsWeights {
			reading++
		}
	}
	if reading > h.sim.plan.ConcurrentLoads && !h.controllersReplaced {
		h.t.Fatalf("%d engines load at the same time, the weight store allows %d", reading, h.sim.plan.ConcurrentLoads)
	}
	for name, n := range loading {
		if n > 1 && 4*n > h.enginesPerModel[name] {
			h.t.Fatalf("%d of %d engines of %s load at the same time", n, h.enginesPerModel[name], name)
		}
	}
}

// checkTotalRate compares the loads of all instances with the weight store's rate.
func (h *harness) checkTotalRate() {
	var records []loadRecord
	controllers := map[*simInstance]bool{}
	for _, inst := range h.sim.instances {
		records = append(records, inst.loads...)
		if len(inst.loads) > 0 {
			controllers[inst] = true
		}
	}
	slices.SortFunc(records, func(a, b loadRecord) int { return cmp.Compare(a.at, b.at) })
	// Up to 3 domains have at least one load a minute each, and the last command of each
	// controller may read two more weight sets.
	limit := max(h.sim.plan.LoadsPerMinute, len(h.domains)) + 2*len(controllers)
	if got := maxLoadsPerMinute(records); got > limit {
		h.t.Fatalf("%d loads in a minute, at most %d expected", got, limit)
	}
}

func sortedKeys(m map[int]func()) []int {
	var keys []int
	for k := range m {
		keys = append(keys, k)
	}
	slices.Sort(keys)
	return keys
}
