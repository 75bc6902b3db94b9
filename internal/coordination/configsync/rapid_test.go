package configsync

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yuccabridge/yuccabridge/internal/rapidflags"
)

func init() { rapidflags.Set(rapidflags.Defaults{Seed: 1, Checks: 1000, Steps: 40}) }

// simModel drives a simulation by generated events and checks each accepted revision and
// each instance that becomes ready.
type simModel struct {
	t             *rapid.T
	sim           *sim
	lastPublished uint64
	lastFaultAt   time.Duration // last time at which a network fault was active
	acceptedAt    map[*simNode]map[uint64]time.Duration
}

func newSimModel(t *rapid.T) *simModel {
	r := &simModel{t: t, sim: newSim(rapid.Uint64().Draw(t, "seed")), acceptedAt: map[*simNode]map[uint64]time.Duration{}}
	r.sim.replicas = make([]uint64, 3)
	r.sim.onAccepted, r.sim.onReady = r.checkAccepted, r.checkReady
	r.publish(rapid.Bool().Draw(t, "first is valid"), 3)
	domains := rapid.IntRange(1, 3).Draw(t, "domains")
	for i := range rapid.IntRange(1, 9).Draw(t, "instances") {
		r.sim.addInstance(i, string(rune('a'+i%domains)))
	}
	r.sim.updateMembers()
	return r
}

func (r *simModel) publish(valid bool, replicas int) {
	r.lastPublished++
	text := configText(int(r.lastPublished%50), int(r.lastPublished))
	if !valid {
		text += "invalid"
	}
	r.sim.publish(r.lastPublished, text, replicas)
}

// checkAccepted checks that an instance accepts only higher revisions, with the exact text
// that was published, and no invalid text.
func (r *simModel) checkAccepted(n *simNode, a Accepted) {
	if a.Revision <= n.highestAccepted && n.highestAccepted > 0 {
		r.t.Fatalf("instance %d went from revision %d to %d", n.index, n.highestAccepted, a.Revision)
	}
	if string(a.Text) != r.sim.texts[a.Revision] || validate(a.Text) != nil {
		r.t.Fatalf("instance %d accepted revision %d with a wrong text", n.index, a.Revision)
	}
	if r.acceptedAt[n] == nil {
		r.acceptedAt[n] = map[uint64]time.Duration{}
	}
	r.acceptedAt[n][a.Revision] = r.sim.now
}

// checkReady checks that, without network faults since its start, an instance becomes
// ready only with a revision at least as high as any that a live peer had accepted before
// the instance started.
func (r *simModel) checkReady(n *simNode) {
	if r.networkFaulty() || r.lastFaultAt >= n.startedAt {
		return
	}
	for _, other := range r.sim.nodes {
		for rev, at := range r.acceptedAt[other] {
			if other.alive && at < n.startedAt && rev > n.highestAccepted {
				r.t.Fatalf("instance %d serves revision %d, but a live peer had %d before it started", n.index, n.highestAccepted, rev)
			}
		}
	}
}

func (r *simModel) networkFaulty() bool {
	return r.sim.partitioned != nil || r.sim.lossRate > 0 || r.sim.maxJitter > 0
}

func (r *simModel) actions() map[string]func(*rapid.T) {
	pickNode := func(t *rapid.T, label string) *simNode {
		return r.sim.nodes[rapid.IntRange(0, len(r.sim.nodes)-1).Draw(t, label)]
	}
	return map[string]func(*rapid.T){
		"run": func(t *rapid.T) {
			r.sim.runFor(time.Duration(rapid.IntRange(1, 100).Draw(t, "ticks")) * simTickInterval)
		},
		"step": func(t *rapid.T) { r.sim.runFor(time.Duration(rapid.IntRange(1, 20).Draw(t, "ms")) * time.Millisecond) },
		"publish": func(t *rapid.T) {
			r.publish(rapid.IntRange(0, 3).Draw(t, "valid") > 0, rapid.IntRange(0, 3).Draw(t, "replicas"))
		},
		"catch up replicas": func(*rapid.T) { r.sim.publish(r.lastPublished, r.sim.texts[r.lastPublished], 3) },
		"platform down":     func(*rapid.T) { r.sim.platformDown = true },
		"platform up":       func(*rapid.T) { r.sim.platformDown = false },
		"kill":              func(t *rapid.T) { pickNode(t, "kill").alive = false },
		"restart": func(t *rapid.T) {
			n := pickNode(t, "restart")
			for _, other := range r.sim.nodes {
				if other.index == n.index {
					other.alive = false
				}
			}
			r.sim.addInstance(n.index, n.peer.Domain)
			// The failure detector adds the new process within 2 s.
			r.sim.schedule(time.Duration(rapid.IntRange(0, 2000).Draw(t, "joined after ms"))*time.Millisecond, r.sim.updateMembers)
		},
		"members": func(*rapid.T) { r.sim.updateMembers() },
		"cut": func(t *rapid.T) {
			mask, oneWay := rapid.Uint64().Draw(t, "side"), rapid.Bool().Draw(t, "one way")
			side := func(n *simNode) uint64 { return mask >> n.index & 1 }
			r.sim.partitioned = func(a, b *simNode) bool { return side(a) > side(b) || !oneWay && side(a) < side(b) }
		},
		"heal": func(*rapid.T) { r.sim.partitioned = nil },
		"network": func(t *rapid.T) {
			r.sim.lossRate = rapid.SampledFrom([]float64{0, 0.1, 0.5}).Draw(t, "loss")
			r.sim.maxJitter = rapid.SampledFrom([]time.Duration{0, 100 * time.Millisecond, 5 * time.Second}).Draw(t, "delay")
		},
		"": func(*rapid.T) {
			if r.networkFaulty() {
				r.lastFaultAt = r.sim.now
			}
		},
	}
}

// expectedRevision returns the highest revision that a live instance has accepted or, if it
// is valid, that was published last.
func (r *simModel) expectedRevision() uint64 {
	expected := uint64(0)
	if validate([]byte(r.sim.texts[r.lastPublished])) == nil {
		expected = r.lastPublished
	}
	for _, n := range r.sim.nodes {
		if n.alive {
			expected = max(expected, n.highestAccepted)
		}
	}
	return expected
}

// TestRapidHighestRevisionWins guards against instances that return to a lower revision,
// accept an invalid one or do not reach the highest one after faults, and against
// restarted instances that become ready with a lower revision than their peers.
func TestRapidHighestRevisionWins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		r := newSimModel(t)
		t.Repeat(r.actions())
		r.sim.partitioned, r.sim.lossRate, r.sim.maxJitter, r.sim.platformDown = nil, 0, 0, false
		r.sim.updateMembers()
		r.sim.runFor(8 * time.Second) // until pending calls time out and backoff delays end
		r.sim.publish(r.lastPublished, r.sim.texts[r.lastPublished], 3)
		r.sim.runFor(8 * time.Second)
		want := r.expectedRevision()
		for _, n := range r.sim.nodes {
			if !n.alive {
				continue
			}
			if rev, _, _ := n.machine.Current(); rev != want || want > 0 && !n.ready {
				t.Fatalf("after recovery instance %d has revision %d (ready %v), want %d; %s", n.index, rev, n.ready, want, fmt.Sprint(n.machine.Status()))
			}
		}
	})
}
