package balancer

import (
	"fmt"
	"math/rand/v2"
	"reflect"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yuccabridge/yuccabridge/internal/rapidflags"
)

func init() { rapidflags.Set(rapidflags.Defaults{Seed: 1, Checks: 300}) }

// outstandingPick is a pick that the model has not yet released.
type outstandingPick struct {
	pick       Pick
	generation int // how often the upstream had been added to the pool
	isolated   bool
	probe      bool // picked while the upstream was ejected
}

// stateMachine compares a Balancer with a model: lists of upstreams and outstanding picks.
// Its exported methods, other than Check, are the actions that rapid draws.
type stateMachine struct {
	balancer    *Balancer
	now         time.Duration
	upstreams   []Upstream
	generations map[string]int
	outstanding []outstandingPick
	released    []Pick // passed to Done already
}

const testMaxLimit = 16

func newStateMachine(t *rapid.T) *stateMachine {
	opts := Options{
		Instance: "i0", Domain: "a", SubsetSize: rapid.IntRange(1, 12).Draw(t, "size"), MaxLimit: testMaxLimit,
		InitialLimit: float64(rapid.IntRange(1, 8).Draw(t, "limit")),
	}
	return &stateMachine{balancer: New(opts, rand.New(rand.NewPCG(1, 2))), generations: map[string]int{}}
}

func (m *stateMachine) Update(t *rapid.T) {
	var upstreams []Upstream
	for i := range 12 {
		switch rapid.IntRange(0, 9).Draw(t, "state") {
		case 0: // absent
		case 1:
			upstreams = append(upstreams, m.upstream(i, true))
		default:
			upstreams = append(upstreams, m.upstream(i, false))
		}
	}
	for _, u := range upstreams {
		if !slices.ContainsFunc(m.upstreams, func(v Upstream) bool { return v.Name == u.Name }) {
			m.generations[u.Name]++
		}
	}
	m.upstreams = upstreams
	m.balancer.SetUpstreams(m.now, upstreams)
}

func (m *stateMachine) upstream(i int, leaving bool) Upstream {
	return Upstream{Name: fmt.Sprintf("u%d", i), Domain: string("aab"[i%3]), Leaving: leaving}
}

func (m *stateMachine) SetPeers(t *rapid.T) {
	m.balancer.SetPeers(m.now, []string{"h", "i1", "i2"}[:rapid.IntRange(0, 3).Draw(t, "peers")])
}

func (m *stateMachine) Advance(t *rapid.T) {
	m.now += time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond
}

func (m *stateMachine) Pick(t *rapid.T) {
	r := Request{
		PrefixHash: rapid.Uint64Range(0, 4).Draw(t, "affinity"),
		Isolated:   rapid.IntRange(0, 3).Draw(t, "isolated") == 0,
	}
	for i := range 12 {
		if rapid.IntRange(0, 5).Draw(t, "exclude") == 0 {
			r.Exclude = append(r.Exclude, m.upstream(i, false).Name)
		}
	}
	m.pick(t, r)
}

// pick calls Pick and checks the selection against the state before the call.
func (m *stateMachine) pick(t *rapid.T, r Request) bool {
	before := m.balancer.Snapshot(m.now)
	p, ok := m.balancer.Pick(m.now, r)
	if !ok {
		return false
	}
	name := p.Upstream.Name
	if !slices.ContainsFunc(m.upstreams, func(u Upstream) bool { return u.Name == name && !u.Leaving }) {
		t.Fatalf("picked %s, which is removed or leaving", name)
	}
	i := slices.IndexFunc(before, func(s UpstreamState) bool { return s.InSubset && s.Upstream.Name == name })
	if i < 0 {
		t.Fatalf("picked %s, which is not in the subset", name)
	}
	s := before[i]
	if slices.Contains(r.Exclude, name) {
		for _, other := range before {
			if other.InSubset && !slices.Contains(r.Exclude, other.Upstream.Name) {
				t.Fatalf("picked excluded %s while %s exists", name, other.Upstream.Name)
			}
		}
	}
	share := 1.0
	if p.Upstream.Domain != "a" {
		share = 0.25
	}
	if float64(m.count(name, func(outstandingPick) bool { return true })+1) > s.Limit*share {
		t.Fatalf("%s exceeds %.2f of its limit %.2f", name, share, s.Limit)
	}
	if r.Isolated && m.count(name, func(op outstandingPick) bool { return op.isolated }) > 0 {
		t.Fatalf("second isolated request at %s", name)
	}
	if s.Ejected && m.count(name, func(op outstandingPick) bool { return op.probe }) > 0 {
		t.Fatalf("second probe at ejected %s", name)
	}
	m.outstanding = append(m.outstanding, outstandingPick{pick: p, generation: m.generations[name], isolated: r.Isolated, probe: s.Ejected})
	return true
}

// count returns the outstanding picks of an upstream since it was last added.
func (m *stateMachine) count(name string, match func(outstandingPick) bool) int {
	n := 0
	for _, op := range m.outstanding {
		if op.pick.Upstream.Name == name && op.generation == m.generations[name] && match(op) {
			n++
		}
	}
	return n
}

func (m *stateMachine) Done(t *rapid.T) {
	if len(m.outstanding) == 0 {
		t.Skip("nothing in flight") // rapid draws another action
	}
	i := rapid.IntRange(0, len(m.outstanding)-1).Draw(t, "which")
	r := Result{
		Status:        Status(rapid.SampledFrom([]int{0, 0, 0, 0, 0, 1, 2, 3}).Draw(t, "status")),
		FirstToken:    time.Duration(rapid.SampledFrom([]int{0, 10, 100, 2000}).Draw(t, "first")) * time.Millisecond,
		TokenInterval: time.Duration(rapid.SampledFrom([]int{0, 10, 100}).Draw(t, "interval")) * time.Millisecond,
		ServiceTime:   time.Duration(rapid.IntRange(0, 3000).Draw(t, "service")) * time.Millisecond,
	}
	p := m.outstanding[i].pick
	m.outstanding = slices.Delete(m.outstanding, i, i+1)
	m.balancer.Done(m.now, p, r)
	m.released = append(m.released, p)
}

// Traffic runs 100 requests one after the other. Those at a random set of upstreams are slow.
func (m *stateMachine) Traffic(t *rapid.T) {
	slowUpstreams := rapid.IntRange(0, 1<<12-1).Draw(t, "slow")
	for range 100 {
		m.now += 20 * time.Millisecond
		if !m.pick(t, Request{}) {
			continue
		}
		p := m.outstanding[len(m.outstanding)-1].pick
		m.outstanding = m.outstanding[:len(m.outstanding)-1]
		r := fastResult
		for i := range 12 {
			if slowUpstreams>>i&1 == 1 && m.upstream(i, false).Name == p.Upstream.Name {
				r = slowResult(20)
			}
		}
		m.balancer.Done(m.now, p, r)
	}
}

func (m *stateMachine) DoneAgain(t *rapid.T) {
	if len(m.released) == 0 {
		t.Skip("nothing released") // rapid draws another action
	}
	before := m.balancer.Snapshot(m.now)
	m.balancer.Done(m.now, rapid.SampledFrom(m.released).Draw(t, "token"), Result{Status: Crashed})
	if after := m.balancer.Snapshot(m.now); !reflect.DeepEqual(before, after) {
		t.Fatalf("second Done changed %+v to %+v", before, after)
	}
}

func (m *stateMachine) ReportLoad(t *rapid.T) {
	name := m.upstream(rapid.IntRange(0, 11).Draw(t, "upstream"), false).Name
	m.balancer.ReportLoad(m.now, name, LoadReport{
		Incarnation: rapid.SampledFrom([]string{"x", "x", "x", "y"}).Draw(t, "incarnation"),
		Running:     rapid.IntRange(0, 9).Draw(t, "running"),
		Waiting:     rapid.IntRange(0, 9).Draw(t, "waiting"),
		Age:         time.Duration(rapid.IntRange(0, 2000).Draw(t, "age")) * time.Millisecond,
	})
	for i, op := range m.outstanding { // a new incarnation may be probed immediately
		m.outstanding[i].probe = op.probe && op.pick.Upstream.Name != name
	}
}

func (m *stateMachine) CacheEvent(t *rapid.T) {
	name := m.upstream(rapid.IntRange(0, 11).Draw(t, "upstream"), false).Name
	m.balancer.RecordCacheEvent(m.now, name, rapid.Uint64Range(0, 4).Draw(t, "prefix"), rapid.Bool().Draw(t, "present"))
}

// Free checks that FreeSlots returns the number of picks that succeed.
func (m *stateMachine) Free(t *rapid.T) {
	free, n := m.balancer.FreeSlots(m.now), 0
	for m.pick(t, Request{}) {
		n++
	}
	if n != free {
		t.Fatalf("FreeSlots returned %d, %d picks succeeded", free, n)
	}
}

// Check compares the state with the model after each action.
func (m *stateMachine) Check(t *rapid.T) {
	snapshotInFlight, stragglers, subset := 0, 0, 0
	for _, s := range m.balancer.Snapshot(m.now) {
		name := s.Upstream.Name
		if want := m.count(name, func(outstandingPick) bool { return true }); s.InFlight != want {
			t.Fatalf("%s has %d in flight, want %d", name, s.InFlight, want)
		}
		if want := m.count(name, func(op outstandingPick) bool { return op.isolated }) > 0; s.Isolated != want {
			t.Fatalf("%s isolated is %v, want %v", name, s.Isolated, want)
		}
		if s.Limit < 1 || s.Limit > testMaxLimit {
			t.Fatalf("%s has limit %v", name, s.Limit)
		}
		snapshotInFlight += s.InFlight
		if s.InSubset {
			subset++
			if s.Straggler {
				stragglers++
			}
		}
	}
	if stragglers*3 > subset {
		t.Fatalf("%d of %d upstreams are stragglers", stragglers, subset)
	}
	expectedInFlight := 0
	for _, u := range m.upstreams {
		expectedInFlight += m.count(u.Name, func(outstandingPick) bool { return true })
	}
	if snapshotInFlight != expectedInFlight {
		t.Fatalf("snapshot shows %d in flight, want %d", snapshotInFlight, expectedInFlight)
	}
}

// The slot counts and the selection rules must hold for any order of events.
func TestStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newStateMachine(t)
		m.Update(t)
		t.Repeat(rapid.StateMachineActions(m))
	})
}

// The subsets must cover the upstreams evenly, and few upstreams of a subset may change
// when an instance joins.
func TestSubsets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nLocal, nRemote := rapid.IntRange(1, 60).Draw(t, "local"), rapid.IntRange(0, 60).Draw(t, "remote")
		n := rapid.IntRange(1, 30).Draw(t, "instances")
		var upstreams []Upstream
		for i := range nLocal + nRemote {
			u := Upstream{Name: fmt.Sprintf("u%d", i), Domain: "a"}
			if i >= nLocal {
				u.Domain = "b"
			}
			upstreams = append(upstreams, u)
		}
		names := make([]string, n+1)
		for i := range names {
			names[i] = fmt.Sprintf("i%02d", i)
		}
		joined := rapid.IntRange(0, n).Draw(t, "joined")
		before := slices.Delete(slices.Clone(names), joined, joined+1)
		coverage := map[string]int{}
		for _, instance := range before {
			b := New(Options{Instance: instance, Domain: "a", Peers: before}, rand.New(rand.NewPCG(1, 1)))
			b.SetUpstreams(0, upstreams)
			oldSubset := subsetNames(b)
			if want := min(20, len(upstreams)); len(oldSubset) != want {
				t.Fatalf("subset of %d, want %d", len(oldSubset), want)
			}
			b.SetPeers(0, names)
			changed := 0
			for name := range subsetNames(b) {
				if !oldSubset[name] {
					changed++
				}
			}
			// For each ring: the share of one instance and one more position.
			if limit := nLocal/n + nRemote/n + 2; changed > limit {
				t.Fatalf("%d upstreams of %s changed, want at most %d", changed, instance, limit)
			}
			for name := range oldSubset {
				coverage[name]++
			}
		}
		checkEvenCoverage(t, coverage, upstreams[:nLocal])
		checkEvenCoverage(t, coverage, upstreams[nLocal:])
	})
}

func checkEvenCoverage(t *rapid.T, coverage map[string]int, upstreams []Upstream) {
	if len(upstreams) == 0 {
		return
	}
	low, high := 1<<30, 0
	for _, u := range upstreams {
		low, high = min(low, coverage[u.Name]), max(high, coverage[u.Name])
	}
	if high-low > 1 {
		t.Fatalf("upstreams are covered by %d to %d instances", low, high)
	}
}

func subsetNames(b *Balancer) map[string]bool {
	names := map[string]bool{}
	for _, s := range b.Snapshot(0) {
		names[s.Upstream.Name] = s.InSubset
	}
	return names
}
