package configsync

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yuccabridge/yuccabridge/internal/rapidflags"
)

func init() { rapidflags.Set(rapidflags.Defaults{Seed: 1, Checks: 1000, Steps: 40}) }

// model drives a sim by generated events.
type model struct {
	t        *rapid.T
	s        *sim
	next     uint64
	faultyAt time.Duration // last time at which the network was faulty
	accepted map[*simNode]map[uint64]time.Duration
}

func newModel(t *rapid.T) *model {
	r := &model{t: t, s: newSim(rapid.Uint64().Draw(t, "seed")), accepted: map[*simNode]map[uint64]time.Duration{}}
	r.s.replicas = make([]uint64, 3)
	r.s.accepted, r.s.onReady = r.checkAccepted, r.checkReady
	r.publish(rapid.Bool().Draw(t, "first is valid"), 3)
	domains := rapid.IntRange(1, 3).Draw(t, "domains")
	for i := range rapid.IntRange(1, 9).Draw(t, "instances") {
		r.s.add(i, string(rune('a'+i%domains)))
	}
	r.s.members()
	return r
}

func (r *model) publish(valid bool, replicas int) {
	r.next++
	text := configText(int(r.next%50), int(r.next))
	if !valid {
		text += "invalid"
	}
	r.s.publish(r.next, text, replicas)
}

// checkAccepted is the oracle for a single change: an instance goes only upwards, to
// the exact text that was published, and never to an invalid one.
func (r *model) checkAccepted(n *simNode, a Accepted) {
	if a.Revision <= n.highest && n.highest > 0 {
		r.t.Fatalf("instance %d went from revision %d to %d", n.index, n.highest, a.Revision)
	}
	if string(a.Text) != r.s.texts[a.Revision] || validate(a.Text) != nil {
		r.t.Fatalf("instance %d accepted revision %d with a wrong text", n.index, a.Revision)
	}
	if r.accepted[n] == nil {
		r.accepted[n] = map[uint64]time.Duration{}
	}
	r.accepted[n][a.Revision] = r.s.now
}

// checkReady is the oracle for a fresh instance: while the network works, it does not
// serve before it has every revision that a live peer had when it started.
func (r *model) checkReady(n *simNode) {
	if r.faulty() || r.faultyAt >= n.start {
		return
	}
	for _, o := range r.s.nodes {
		for rev, at := range r.accepted[o] {
			if o.alive && at < n.start && rev > n.highest {
				r.t.Fatalf("instance %d serves revision %d, but a live peer had %d before it started", n.index, n.highest, rev)
			}
		}
	}
}

func (r *model) faulty() bool { return r.s.cut != nil || r.s.loss > 0 || r.s.jitter > 0 }

func (r *model) actions() map[string]func(*rapid.T) {
	pick := func(t *rapid.T, label string) *simNode {
		return r.s.nodes[rapid.IntRange(0, len(r.s.nodes)-1).Draw(t, label)]
	}
	return map[string]func(*rapid.T){
		"run": func(t *rapid.T) {
			r.s.run(time.Duration(rapid.IntRange(1, 100).Draw(t, "ticks")) * simTick)
		},
		"step": func(t *rapid.T) { r.s.run(time.Duration(rapid.IntRange(1, 20).Draw(t, "ms")) * time.Millisecond) },
		"publish": func(t *rapid.T) {
			r.publish(rapid.IntRange(0, 3).Draw(t, "valid") > 0, rapid.IntRange(0, 3).Draw(t, "replicas"))
		},
		"catch up":      func(*rapid.T) { r.s.publish(r.next, r.s.texts[r.next], 3) },
		"platform down": func(*rapid.T) { r.s.down = true },
		"platform up":   func(*rapid.T) { r.s.down = false },
		"kill":          func(t *rapid.T) { pick(t, "kill").alive = false },
		"restart": func(t *rapid.T) {
			n := pick(t, "restart")
			for _, o := range r.s.nodes {
				if o.index == n.index {
					o.alive = false
				}
			}
			r.s.add(n.index, n.peer.Domain)
			// The failure detector joins within 2 s.
			r.s.after(time.Duration(rapid.IntRange(0, 2000).Draw(t, "joined after ms"))*time.Millisecond, r.s.members)
		},
		"members": func(*rapid.T) { r.s.members() },
		"cut": func(t *rapid.T) {
			mask, oneWay := rapid.Uint64().Draw(t, "side"), rapid.Bool().Draw(t, "one way")
			side := func(n *simNode) uint64 { return mask >> n.index & 1 }
			r.s.cut = func(a, b *simNode) bool { return side(a) > side(b) || !oneWay && side(a) < side(b) }
		},
		"heal": func(*rapid.T) { r.s.cut = nil },
		"network": func(t *rapid.T) {
			r.s.loss = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "loss")
			r.s.jitter = rapid.SampledFrom([]time.Duration{0, 100 * time.Millisecond, 5 * time.Second}).Draw(t, "delay")
		},
		"": func(*rapid.T) {
			if r.faulty() {
				r.faultyAt = r.s.now
			}
		},
	}
}

// highest is the highest valid revision that a live instance or the platform holds.
func (r *model) highest() uint64 {
	best := uint64(0)
	if validate([]byte(r.s.texts[r.next])) == nil {
		best = r.next
	}
	for _, n := range r.s.nodes {
		if n.alive {
			best = max(best, n.highest)
		}
	}
	return best
}

// Guards against revisions that go back, are never reached after faults, or are
// invalid, and against restarted instances that serve an older one than their peers.
func TestRapidHighestRevisionWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newModel(t)
		t.Repeat(r.actions())
		r.s.cut, r.s.loss, r.s.jitter, r.s.down = nil, 0, 0, false
		r.s.members()
		r.s.run(8 * time.Second) // calls that wait in vain and back-off end
		r.s.publish(r.next, r.s.texts[r.next], 3)
		r.s.run(8 * time.Second)
		want := r.highest()
		for _, n := range r.s.nodes {
			if !n.alive {
				continue
			}
			if rev, _, _ := n.m.Current(); rev != want || want > 0 && !n.ready {
				t.Fatalf("after healing instance %d has revision %d (ready %v), want %d; %s", n.index, rev, n.ready, want, fmt.Sprint(n.m.Status()))
			}
		}
	})
}
