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

// held is an outstanding pick in the oracle.
type held struct {
	pick     Pick
	life     int // of the upstream, counts additions to the pool
	isolated bool
	probe    bool // picked while ejected
}

// machine compares a Balancer with plain lists of upstreams and outstanding picks.
type machine struct {
	b    *Balancer
	now  time.Duration
	ups  []Upstream
	life map[string]int
	held []held
	used []Pick // tokens already released
}

const maxOpen = 16

func newMachine(t *rapid.T) *machine {
	o := Options{
		Instance: "i0", Domain: "a", SubsetSize: rapid.IntRange(1, 12).Draw(t, "size"), MaxLimit: maxOpen,
		InitialLimit: float64(rapid.IntRange(1, 8).Draw(t, "limit")),
	}
	return &machine{b: New(o, rand.New(rand.NewPCG(1, 2))), life: map[string]int{}}
}

func (m *machine) Update(t *rapid.T) {
	var ups []Upstream
	for i := range 12 {
		switch rapid.IntRange(0, 9).Draw(t, "state") {
		case 0: // absent
		case 1:
			ups = append(ups, m.upstream(i, true))
		default:
			ups = append(ups, m.upstream(i, false))
		}
	}
	for _, u := range ups {
		if !slices.ContainsFunc(m.ups, func(v Upstream) bool { return v.Name == u.Name }) {
			m.life[u.Name]++
		}
	}
	m.ups = ups
	m.b.Update(m.now, ups)
}

func (m *machine) upstream(i int, leaving bool) Upstream {
	return Upstream{Name: fmt.Sprintf("u%d", i), Domain: string("aab"[i%3]), Leaving: leaving}
}

func (m *machine) SetPeers(t *rapid.T) {
	m.b.SetPeers(m.now, []string{"h", "i1", "i2"}[:rapid.IntRange(0, 3).Draw(t, "peers")])
}

func (m *machine) Advance(t *rapid.T) {
	m.now += time.Duration(rapid.IntRange(1, 3000).Draw(t, "ms")) * time.Millisecond
}

func (m *machine) Pick(t *rapid.T) {
	r := Request{
		Affinity: rapid.Uint64Range(0, 4).Draw(t, "affinity"),
		Isolated: rapid.IntRange(0, 3).Draw(t, "isolated") == 0,
	}
	for i := range 12 {
		if rapid.IntRange(0, 5).Draw(t, "exclude") == 0 {
			r.Exclude = append(r.Exclude, m.upstream(i, false).Name)
		}
	}
	m.pick(t, r)
}

// pick checks one selection against the state before it.
func (m *machine) pick(t *rapid.T, r Request) bool {
	before := m.b.Snapshot(m.now)
	p, ok := m.b.Pick(m.now, r)
	if !ok {
		return false
	}
	name := p.Upstream.Name
	if !slices.ContainsFunc(m.ups, func(u Upstream) bool { return u.Name == name && !u.Leaving }) {
		t.Fatalf("picked %s, which is removed or leaving", name)
	}
	i := slices.IndexFunc(before, func(s UpstreamState) bool { return s.InSubset && s.Upstream.Name == name })
	if i < 0 {
		t.Fatalf("picked %s, which is not in the subset", name)
	}
	s := before[i]
	if slices.Contains(r.Exclude, name) {
		for _, o := range before {
			if o.InSubset && !slices.Contains(r.Exclude, o.Upstream.Name) {
				t.Fatalf("picked excluded %s while %s exists", name, o.Upstream.Name)
			}
		}
	}
	share := 1.0
	if p.Upstream.Domain != "a" {
		share = 0.25
	}
	if float64(m.count(name, func(held) bool { return true })+1) > s.Limit*share {
		t.Fatalf("%s exceeds %.2f of its limit %.2f", name, share, s.Limit)
	}
	if r.Isolated && m.count(name, func(h held) bool { return h.isolated }) > 0 {
		t.Fatalf("second isolated request at %s", name)
	}
	if s.Ejected && m.count(name, func(h held) bool { return h.probe }) > 0 {
		t.Fatalf("second probe at ejected %s", name)
	}
	m.held = append(m.held, held{pick: p, life: m.life[name], isolated: r.Isolated, probe: s.Ejected})
	return true
}

// count returns the outstanding picks of an upstream since it was last added.
func (m *machine) count(name string, match func(held) bool) int {
	n := 0
	for _, h := range m.held {
		if h.pick.Upstream.Name == name && h.life == m.life[name] && match(h) {
			n++
		}
	}
	return n
}

func (m *machine) Done(t *rapid.T) {
	if len(m.held) == 0 {
		t.Skip("nothing in flight") // rapid draws another action
	}
	i := rapid.IntRange(0, len(m.held)-1).Draw(t, "which")
	r := Result{
		Status:        Status(rapid.SampledFrom([]int{0, 0, 0, 0, 0, 1, 2, 3}).Draw(t, "status")),
		FirstToken:    time.Duration(rapid.SampledFrom([]int{0, 10, 100, 2000}).Draw(t, "first")) * time.Millisecond,
		TokenInterval: time.Duration(rapid.SampledFrom([]int{0, 10, 100}).Draw(t, "interval")) * time.Millisecond,
		Service:       time.Duration(rapid.IntRange(0, 3000).Draw(t, "service")) * time.Millisecond,
	}
	p := m.held[i].pick
	m.held = slices.Delete(m.held, i, i+1)
	m.b.Done(m.now, p, r)
	m.used = append(m.used, p)
}

// Traffic runs single requests, of which those at some upstreams are slow.
func (m *machine) Traffic(t *rapid.T) {
	slow := rapid.IntRange(0, 1<<12-1).Draw(t, "slow")
	for range 100 {
		m.now += 20 * time.Millisecond
		if !m.pick(t, Request{}) {
			continue
		}
		p := m.held[len(m.held)-1].pick
		m.held = m.held[:len(m.held)-1]
		r := fast
		for i := range 12 {
			if slow>>i&1 == 1 && m.upstream(i, false).Name == p.Upstream.Name {
				r = slowResult(20)
			}
		}
		m.b.Done(m.now, p, r)
	}
}

func (m *machine) DoneAgain(t *rapid.T) {
	if len(m.used) == 0 {
		t.Skip("nothing released") // rapid draws another action
	}
	before := m.b.Snapshot(m.now)
	m.b.Done(m.now, rapid.SampledFrom(m.used).Draw(t, "token"), Result{Status: Crashed})
	if after := m.b.Snapshot(m.now); !reflect.DeepEqual(before, after) {
		t.Fatalf("second Done changed %+v to %+v", before, after)
	}
}

func (m *machine) ReportLoad(t *rapid.T) {
	name := m.upstream(rapid.IntRange(0, 11).Draw(t, "upstream"), false).Name
	m.b.ReportLoad(m.now, name, LoadReport{
		Incarnation: rapid.SampledFrom([]string{"x", "x", "x", "y"}).Draw(t, "incarnation"),
		Running:     rapid.IntRange(0, 9).Draw(t, "running"),
		Waiting:     rapid.IntRange(0, 9).Draw(t, "waiting"),
		Age:         time.Duration(rapid.IntRange(0, 2000).Draw(t, "age")) * time.Millisecond,
	})
	for i, h := range m.held { // a new incarnation may be probed at once
		m.held[i].probe = h.probe && h.pick.Upstream.Name != name
	}
}

func (m *machine) CacheEvent(t *rapid.T) {
	name := m.upstream(rapid.IntRange(0, 11).Draw(t, "upstream"), false).Name
	m.b.CacheEvent(m.now, name, rapid.Uint64Range(0, 4).Draw(t, "prefix"), rapid.Bool().Draw(t, "present"))
}

// Free must be the number of picks that succeed.
func (m *machine) Free(t *rapid.T) {
	free, n := m.b.Free(m.now), 0
	for m.pick(t, Request{}) {
		n++
	}
	if n != free {
		t.Fatalf("Free returned %d, %d picks succeeded", free, n)
	}
}

// Check compares the state after each step.
func (m *machine) Check(t *rapid.T) {
	seen, cut, subset := 0, 0, 0
	for _, s := range m.b.Snapshot(m.now) {
		name := s.Upstream.Name
		if want := m.count(name, func(held) bool { return true }); s.InFlight != want {
			t.Fatalf("%s has %d in flight, want %d", name, s.InFlight, want)
		}
		if want := m.count(name, func(h held) bool { return h.isolated }) > 0; s.Isolated != want {
			t.Fatalf("%s isolated is %v, want %v", name, s.Isolated, want)
		}
		if s.Limit < 1 || s.Limit > maxOpen {
			t.Fatalf("%s has limit %v", name, s.Limit)
		}
		seen += s.InFlight
		if s.InSubset {
			subset++
			if s.Straggler {
				cut++
			}
		}
	}
	if cut*3 > subset {
		t.Fatalf("%d of %d upstreams cut", cut, subset)
	}
	listed := 0
	for _, u := range m.ups {
		listed += m.count(u.Name, func(held) bool { return true })
	}
	if seen != listed {
		t.Fatalf("snapshot shows %d in flight, want %d", seen, listed)
	}
}

// Guards the bookkeeping of slots and the selection rules in any order of events.
func TestStateMachine(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := newMachine(t)
		m.Update(t)
		t.Repeat(rapid.StateMachineActions(m))
	})
}

// Guards the even cover of upstreams by instances, and that few upstreams change when
// an instance joins.
func TestSubsets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		nLocal, nRemote := rapid.IntRange(1, 60).Draw(t, "local"), rapid.IntRange(0, 60).Draw(t, "remote")
		n := rapid.IntRange(1, 30).Draw(t, "instances")
		var ups []Upstream
		for i := range nLocal + nRemote {
			u := Upstream{Name: fmt.Sprintf("u%d", i), Domain: "a"}
			if i >= nLocal {
				u.Domain = "b"
			}
			ups = append(ups, u)
		}
		names := make([]string, n+1)
		for i := range names {
			names[i] = fmt.Sprintf("i%02d", i)
		}
		joined := rapid.IntRange(0, n).Draw(t, "joined")
		before := slices.Delete(slices.Clone(names), joined, joined+1)
		cover := map[string]int{}
		for _, instance := range before {
			b := New(Options{Instance: instance, Domain: "a", Peers: before}, rand.New(rand.NewPCG(1, 1)))
			b.Update(0, ups)
			old := subsetNames(b)
			if want := min(20, len(ups)); len(old) != want {
				t.Fatalf("subset of %d, want %d", len(old), want)
			}
			b.SetPeers(0, names)
			changed := 0
			for name := range subsetNames(b) {
				if !old[name] {
					changed++
				}
			}
			// One place for each ring beyond its share for one instance.
			if limit := nLocal/n + nRemote/n + 2; changed > limit {
				t.Fatalf("%d upstreams of %s changed, want at most %d", changed, instance, limit)
			}
			for name := range old {
				cover[name]++
			}
		}
		checkEven(t, cover, ups[:nLocal])
		checkEven(t, cover, ups[nLocal:])
	})
}

func checkEven(t *rapid.T, cover map[string]int, ups []Upstream) {
	if len(ups) == 0 {
		return
	}
	low, high := 1<<30, 0
	for _, u := range ups {
		low, high = min(low, cover[u.Name]), max(high, cover[u.Name])
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
