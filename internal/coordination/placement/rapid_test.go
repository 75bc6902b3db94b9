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

// model drives a sim by generated events.
type model struct {
	t       *rapid.T
	s       *sim
	plans   []Plan
	domains []string
	models  map[string]int // engines by model
	// replaced says that givers have changed, which may add a part of the store for each.
	replaced bool
}

func newModel(t *rapid.T, domains, engines int) *model {
	r := &model{t: t, s: newSim(rapid.Uint64().Draw(t, "seed")), models: map[string]int{}}
	r.domains = []string{"a", "b", "c"}[:domains]
	r.s.plan = Plan{LoadsPerMinute: rapid.SampledFrom([]int{2, 60, 600}).Draw(t, "rate"), ConcurrentLoads: rapid.IntRange(domains, 8).Draw(t, "concurrent")}
	ignoring := rapid.IntRange(0, 2).Draw(t, "ignoring")
	for i := range engines {
		e := Engine{Name: fmt.Sprintf("engine-%d", i), Model: []string{"large", "small"}[i%5/4], Domain: r.domains[i%domains]}
		r.s.plan.Engines = append(r.s.plan.Engines, e)
		r.s.engines[e.Name] = &simEngine{name: e.Name, model: e.Model, honours: i%2 >= ignoring, held: Placement{Role: Mixed}}
		r.models[e.Model]++
	}
	for _, d := range r.domains {
		for range rapid.IntRange(1, 4).Draw(t, "instances") {
			r.s.addInstance(d)
		}
	}
	r.s.given = r.checkGiven
	r.publish()
	r.s.agree()
	return r
}

func (r *model) publish() {
	version := fmt.Sprintf("v%d", rapid.IntRange(1, 3).Draw(r.t, "version"))
	adapters := [][]string{nil, {"fr"}, {"ar", "fr"}}[rapid.IntRange(0, 2).Draw(r.t, "adapters")]
	which := rapid.SampledFrom([]string{"large", "small"}).Draw(r.t, "model")
	role := rapid.SampledFrom([]Role{Mixed, Prefill, Decode}).Draw(r.t, "role")
	first := r.s.plan.Revision == 0
	r.s.publish(func(e *Engine) {
		if first || e.Model == which {
			e.Wanted = Placement{Version: version, Adapters: adapters, Role: role}
		}
	})
	r.plans = append(r.plans, r.s.plan)
}

// checkGiven is the oracle for a single command: it answers a young report of the same
// engine, given to an instance with a fresh view, that shows another placement, no load
// and no higher fence.
func (r *model) checkGiven(n *simInstance, e *simEngine, rep Report, sentAt time.Duration, c Command) {
	switch {
	case e == nil || e.name != c.Engine:
		r.t.Fatalf("command for %s without a report of it", c.Engine)
	case rep.Fence > c.Revision:
		r.t.Fatalf("command of revision %d for %s, which reported fence %d", c.Revision, e.name, rep.Fence)
	case c.Revision != n.revision:
		r.t.Fatalf("command of revision %d by an instance with revision %d", c.Revision, n.revision)
	case rep.Loading || fmt.Sprint(rep.Placement) == fmt.Sprint(c.Target):
		r.t.Fatalf("redundant command for %s: reported %v, target %v, loading %v", e.name, rep.Placement, c.Target, rep.Loading)
	case !r.s.fresh(n):
		r.t.Fatalf("command for %s by an instance with an old view", e.name)
	case r.s.now-sentAt > 2*time.Second:
		r.t.Fatalf("command for %s %v after the query", e.name, r.s.now-sentAt)
	}
}

// checkRate compares the loads of instances in any minute with the part of their domain.
func (r *model) checkRate() {
	share := max(1, r.s.plan.LoadsPerMinute/min(len(r.domains), len(r.s.engines)))
	for i, n := range r.s.instances {
		if got := busiestMinute(n.loads); got > share+2 { // one command reads up to 3 weight sets
			r.t.Fatalf("instance %d: %d loads in a minute, its domain may have %d", i, got, share)
		}
	}
}

func (r *model) settle() {
	r.s.late, r.s.loss, r.s.delay = 0, 0, 2*time.Millisecond
	r.thaw()
	for _, d := range r.domains { // an instance of the domain must be left
		r.s.addInstance(d)
	}
	for _, e := range r.s.engines {
		e.down = false
	}
	r.s.agree()
	r.s.run(time.Minute) // every late copy has arrived
	r.settleWithin(3 * time.Hour)
	r.s.run(time.Minute)
	if bad := r.s.unsettled(); bad != "" {
		r.t.Fatalf("did not stay settled: %s", bad)
	}
}

// settleWithin waits until all engines are as wanted. 16 engines with 3 weight sets
// each take 24 minutes at the lowest rate of 2 a minute. Unequal parts of the givers,
// the order, jitter and the longest backoff of 3 minutes add to that.
func (r *model) settleWithin(limit time.Duration) {
	for end := r.s.now + limit; r.s.unsettled() != ""; r.s.run(10 * time.Second) {
		if r.s.now >= end {
			r.t.Fatalf("after %v: %s", limit, r.s.unsettled())
		}
	}
}

func (r *model) thaw() {
	for _, n := range r.s.instances {
		if n.frozen {
			r.s.thaw(n)
		}
	}
}

func (r *model) actions() map[string]func(*rapid.T) {
	pick := func(t *rapid.T) *simInstance {
		return r.s.instances[rapid.IntRange(0, len(r.s.instances)-1).Draw(t, "instance")]
	}
	engine := func(t *rapid.T) *simEngine {
		return r.s.engines[fmt.Sprintf("engine-%d", rapid.IntRange(0, len(r.s.engines)-1).Draw(t, "engine"))]
	}
	return map[string]func(*rapid.T){
		"run":       func(t *rapid.T) { r.s.run(time.Duration(rapid.IntRange(1, 60_000).Draw(t, "ms")) * time.Millisecond) },
		"publish":   func(*rapid.T) { r.publish() },
		"take plan": func(t *rapid.T) { r.s.takePlan(pick(t), rapid.SampledFrom(r.plans).Draw(t, "plan")) },
		"take members": func(t *rapid.T) {
			mask := rapid.Uint64().Draw(t, "members")
			var view []Member
			for i, n := range r.s.instances {
				if mask>>(i%64)&1 == 1 {
					view = append(view, n.member)
				}
			}
			n := pick(t)
			r.s.takeMembers(n, append(view, n.member))
		},
		"agree": func(*rapid.T) { r.s.agree() },
		"kill":  func(t *rapid.T) { pick(t).alive = false },
		"start": func(t *rapid.T) {
			r.s.takePlan(r.s.addInstance(rapid.SampledFrom(r.domains).Draw(t, "domain")), r.s.plan)
		},
		"freeze": func(t *rapid.T) { pick(t).frozen = true },
		"pause all": func(t *rapid.T) { // while some plan waits for its commands
			for _, n := range r.s.instances {
				n.frozen = n.alive
			}
			r.s.run(time.Duration(rapid.IntRange(1, 60).Draw(t, "s")) * time.Second)
			r.thaw()
			r.s.run(time.Second)
		},
		"thaw":  func(*rapid.T) { r.thaw() },
		"crash": func(t *rapid.T) { engine(t).down = true },
		"restart": func(t *rapid.T) {
			r.s.restart(engine(t))
		},
		"network": func(t *rapid.T) {
			r.s.late = rapid.SampledFrom([]float64{0, 0.5, 1}).Draw(t, "late")
			r.s.loss = rapid.SampledFrom([]float64{0, 0.2}).Draw(t, "loss")
			r.s.delay = rapid.SampledFrom([]time.Duration{2 * time.Millisecond, time.Second}).Draw(t, "delay")
		},
		"": func(*rapid.T) { r.checkRate() },
	}
}

// Guards against commands on old or missing knowledge, engines that stay in an older
// placement after late or repeated commands, and engines that nobody commands.
func TestRapidEnginesReachHighestRevision(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newModel(t, rapid.IntRange(1, 3).Draw(t, "domains"), rapid.IntRange(1, 12).Draw(t, "engines"))
		t.Repeat(r.actions())
		r.settle()
		r.checkRate()
	})
}

// Guards against more loads or more engines out of service than allowed, and against
// redundant commands, while all instances hold the same plan and view and givers are
// killed, added and replaced.
func TestRapidLimitsWhileViewsAgree(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		domains := rapid.IntRange(1, 3).Draw(t, "domains")
		r := newModel(t, domains, rapid.IntRange(4, 16).Draw(t, "engines"))
		r.s.delay = rapid.SampledFrom([]time.Duration{2 * time.Millisecond, 100 * time.Millisecond}).Draw(t, "delay")
		r.s.loadBegan = r.checkLoading
		changes := 1
		t.Repeat(map[string]func(*rapid.T){
			"run": func(t *rapid.T) { r.s.run(time.Duration(rapid.IntRange(1, 90).Draw(t, "s")) * time.Second) },
			"publish": func(*rapid.T) {
				for _, id := range sortedKeys(r.s.inFlight) {
					r.s.inFlight[id]()
				}
				r.publish()
				r.s.agree()
				changes++
			},
			"replace": func(t *rapid.T) {
				n := r.s.instances[rapid.IntRange(0, len(r.s.instances)-1).Draw(t, "instance")]
				n.alive = false
				r.s.addInstance(n.member.Domain)
				r.s.agree()
				r.replaced = true
			},
		})
		if !r.replaced {
			r.checkTotalRate()
		}
		r.settleWithin(6 * time.Hour)
		for _, e := range r.s.engines {
			if e.executed > changes {
				t.Fatalf("%s executed %d commands for %d plans", e.name, e.executed, changes)
			}
		}
	})
}

// checkLoading is the oracle for the engines of a model that load at the same time.
func (r *model) checkLoading() {
	loading, reading := map[string]int{}, 0
	for _, e := range r.s.engines {
		if e.loading {
			loading[e.model]++
		}
		if e.loading && e.reads {
			reading++
		}
	}
	if reading > r.s.plan.ConcurrentLoads && !r.replaced {
		r.t.Fatalf("%d engines load at the same time, the weight store allows %d", reading, r.s.plan.ConcurrentLoads)
	}
	for name, n := range loading {
		if n > 1 && 4*n > r.models[name] {
			r.t.Fatalf("%d of %d engines of %s load at the same time", n, r.models[name], name)
		}
	}
}

// checkTotalRate compares the loads of all instances with the weight store's rate.
func (r *model) checkTotalRate() {
	var all []loadAt
	givers := map[*simInstance]bool{}
	for _, n := range r.s.instances {
		all = append(all, n.loads...)
		if len(n.loads) > 0 {
			givers[n] = true
		}
	}
	slices.SortFunc(all, func(a, b loadAt) int { return cmp.Compare(a.at, b.at) })
	// Up to 3 domains with at least one load a minute each, and two more weight sets
	// in the last command of each giver.
	limit := max(r.s.plan.LoadsPerMinute, len(r.domains)) + 2*len(givers)
	if got := busiestMinute(all); got > limit {
		r.t.Fatalf("%d loads in a minute, at most %d expected", got, limit)
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
