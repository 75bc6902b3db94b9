package configsync

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"math/rand/v2"

	"pgregory.net/rapid"
)

func start(seed uint64, instances int) *sim {
	s := newSim(seed)
	s.publish(1, configText(10, 1), 1)
	for i := range instances {
		s.add(i, string(rune('a'+i%4)))
	}
	s.members()
	s.run(10 * time.Second)
	return s
}

func (s *sim) allHave(rev uint64) bool {
	for _, n := range s.nodes {
		if r, _, _ := n.m.Current(); n.alive && r != rev {
			return false
		}
	}
	return true
}

// Guards against revisions that take longer than 8 s to reach all instances, and
// against readers that call the platform too often.
func TestChangeReachesAllInstances(t *testing.T) {
	for _, count := range []int{8, 40, 160} {
		for _, fault := range []string{"none", "a tenth of the messages lost", "platform returns", "readers die"} {
			s := start(1, count)
			if fault == "a tenth of the messages lost" {
				s.loss = 0.1
			}
			worst := time.Duration(0)
			calls, began := s.calls, s.now
			for i := range uint64(10) {
				rev := 2 + i
				if fault == "platform returns" {
					s.down = true
					s.run(20 * time.Second)
					s.down = false
				}
				if fault == "readers die" {
					for _, n := range s.nodes {
						// With 8 instances all are readers: two domains die.
						if n.m.Status().Reader && n.alive && i < 2 && (count > 8 || n.peer.Domain == string(rune('a'+i))) {
							n.alive = false
						}
					}
				}
				s.publish(rev, configText(10, int(rev)), 1)
				published := s.now
				for !s.allHave(rev) && s.now-published < 30*time.Second {
					s.run(5 * time.Millisecond)
					if fault == "readers die" && s.now-published == 6*time.Second {
						s.members() // the failure detector notices
					}
				}
				worst = max(worst, s.now-published)
				s.run(2 * time.Second)
			}
			rate := float64(s.calls-calls) / (s.now - began).Seconds()
			t.Logf("%3d instances, %s: worst %v, %.1f calls/s to the platform", count, fault, worst, rate)
			if worst > 8*time.Second || rate > 100 {
				t.Errorf("%d instances, %s: %v and %.1f calls/s, want at most 8s and 100", count, fault, worst, rate)
			}
		}
	}
}

// Guards against more than 2,000 calls a second when all instances start together.
func TestStartOfAllInstances(t *testing.T) {
	s := newSim(2)
	s.publish(1, configText(10, 1), 1)
	for i := range 400 {
		s.add(i, string(rune('a'+i%4)))
	}
	s.run(5 * time.Second) // nobody has found any peer yet
	s.members()
	s.run(5 * time.Second)
	for _, n := range s.nodes {
		if !n.ready {
			t.Fatalf("instance %d is not ready", n.index)
		}
	}
	peak := 0
	for _, n := range s.perSec {
		peak = max(peak, n)
	}
	t.Logf("peak of %d calls/s by 400 instances", peak)
	if peak*3100/400 > 2000 {
		t.Errorf("%d calls/s by 3,100 instances", peak*3100/400)
	}
}

// Guards against an invalid revision that comes into force, is fetched over and over,
// or hides a later valid one.
func TestInvalidRevisionIsRemembered(t *testing.T) {
	s := start(3, 8)
	calls := s.calls
	s.publish(2, "invalid", 1)
	s.run(20 * time.Second)
	// A call that waits takes 3 s: 8 readers make at most 8 calls each, and one more
	// for the refused answer.
	if n := s.calls - calls; n > 8*9 {
		t.Errorf("%d calls to the platform in 20 s", n)
	}
	if !s.allHave(1) {
		t.Fatal("an invalid revision replaced a valid one")
	}
	invalid, readers := uint64(0), 0
	for _, n := range s.nodes {
		st := n.m.Status()
		invalid += st.Stats.Invalid
		if st.Reader {
			readers++
			if st.Invalid != 2 || !strings.Contains(st.InvalidReason, "invalid") {
				t.Errorf("status names revision %d: %q", st.Invalid, st.InvalidReason)
			}
		}
	}
	if invalid != uint64(readers) {
		t.Errorf("%d readers validated an invalid revision %d times", readers, invalid)
	}
	s.publish(3, configText(10, 3), 1)
	s.run(time.Second)
	if !s.allHave(3) {
		t.Error("a valid revision after an invalid one does not arrive")
	}
}

// Guards against content that changes under an accepted revision.
func TestConflictIsRefused(t *testing.T) {
	m := New(Options{Self: Peer{Domain: "a"}, Validate: validate}, rand.New(rand.NewPCG(1, 1)))
	m.Tick(0)
	m.PlatformAnswer(0, 0, Result{Status: Changed, Revision: 5, Text: []byte("one")})
	m.PlatformAnswer(0, 0, Result{Status: Changed, Revision: 5, Text: []byte("two")})
	m.ReceivePush(0, [16]byte{1}, Push{Revision: 5, Sum: Sum{1}})
	m.PlatformAnswer(0, 0, Result{Status: Changed, Revision: 4, Text: []byte("old")})
	rev, text, _ := m.Current()
	if st := m.Status().Stats; rev != 5 || string(text) != "one" || st.Conflicts != 2 || st.Stale != 1 {
		t.Errorf("revision %d, text %q, stats %+v", rev, text, st)
	}
}

// Guards against sections that do not add up to the text, and against sections of
// unchanged models that are sent again.
func TestSplitJoins(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lines := rapid.SliceOf(rapid.SampledFrom([]string{"models:", "services:", "teams:", "  - name: a", "- name: b", "    - x", "", "# c", " ", "-", "\t", "x: y\r"})).Draw(t, "lines")
		text := []byte(strings.Join(lines, "\n"))
		if joined, _ := join(Split(text)); !bytes.Equal(joined, text) {
			t.Fatalf("%q became %q", text, joined)
		}
	})
	old, changed := Split([]byte(configText(600, 1))), Split([]byte(configText(600, 2)))
	different := 0
	for i := range old {
		if old[i].Sum != changed[i].Sum {
			different++
		}
	}
	if len(old) != 31 || different != 1 {
		t.Errorf("%d sections, %d differ", len(old), different)
	}
}

// Guards against damaged answers: sections that do not match the manifest.
func TestCorruptedPushChangesNothing(t *testing.T) {
	self, other := Peer{Domain: "a"}, [16]byte{1}
	source := New(Options{Self: Peer{ID: other, Domain: "a"}, Validate: validate}, rand.New(rand.NewPCG(1, 1)))
	source.Tick(0)
	source.PlatformAnswer(0, 0, Result{Status: Changed, Revision: 7, Text: []byte(configText(40, 1))})
	for i, damage := range []func(*Push){
		func(p *Push) { p.Sections[1].Data = append([]byte("x"), p.Sections[1].Data...) },
		func(p *Push) { p.Manifest[0], p.Manifest[1] = p.Manifest[1], p.Manifest[0] },
		func(p *Push) { p.Sections = p.Sections[:1] },
		func(p *Push) { p.Sum[0]++ },
		func(p *Push) { p.Manifest = nil },
		func(p *Push) { p.Manifest = append(p.Manifest, p.Manifest...) },
	} {
		m := New(Options{Self: self, Validate: validate}, rand.New(rand.NewPCG(1, 1)))
		m.SetMembers(0, []Peer{{ID: other, Domain: "a"}})
		m.Observe(0, other, 7)
		p := source.ReceivePull(0, self.ID, Pull{})
		damage(&p)
		for _, a := range m.ReceivePush(0, other, p) {
			if _, ok := a.(Accepted); ok {
				t.Errorf("damage %d: accepted", i)
			}
		}
		if _, _, ok := m.Current(); ok {
			t.Errorf("damage %d: in force", i)
		}
	}
}
