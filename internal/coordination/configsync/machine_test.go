package configsync

import (
	"bytes"
	"strings"
	"testing"
	"time"

	"math/rand/v2"

	"pgregory.net/rapid"
)

// newStartedSim returns a simulation of instances in up to four domains that has run for
// 10 s with revision 1.
func newStartedSim(seed uint64, instances int) *sim {
	s := newSim(seed)
	s.publish(1, configText(10, 1), 1)
	for i := range instances {
		s.addInstance(i, string(rune('a'+i%4)))
	}
	s.updateMembers()
	s.runFor(10 * time.Second)
	return s
}

// allHaveRevision reports whether the revision is active at all live instances.
func (s *sim) allHaveRevision(rev uint64) bool {
	for _, n := range s.nodes {
		if r, _, _ := n.machine.Current(); n.alive && r != rev {
			return false
		}
	}
	return true
}

// TestChangeReachesAllInstances guards against a revision that takes longer than 8 s to
// reach all instances, and against more than 100 calls a second to the platform.
func TestChangeReachesAllInstances(t *testing.T) {
	for _, count := range []int{8, 40, 160} {
		for _, fault := range []string{"none", "a tenth of the messages lost", "platform outage", "readers crash", "readers cut off from the platform"} {
			if strings.HasPrefix(fault, "readers cut") && count == 8 {
				continue // with two members per domain, all are readers
			}
			s := newStartedSim(1, count)
			if fault == "a tenth of the messages lost" {
				s.lossRate = 0.1
			}
			if fault == "readers cut off from the platform" {
				s.platformBlocked = func(n *simNode) bool { return n.machine.Status().Reader }
			}
			longestDelay := time.Duration(0)
			callsBefore, startedAt := s.platformCalls, s.now
			for i := range uint64(10) {
				rev := 2 + i
				if fault == "platform outage" {
					s.platformDown = true
					s.runFor(20 * time.Second)
					s.platformDown = false
				}
				if fault == "readers crash" {
					for _, n := range s.nodes {
						// With 8 instances all are readers: stop those of two domains only.
						if n.machine.Status().Reader && n.alive && i < 2 && (count > 8 || n.peer.Domain == string(rune('a'+i))) {
							n.alive = false
						}
					}
				}
				s.publish(rev, configText(10, int(rev)), 1)
				published := s.now
				for !s.allHaveRevision(rev) && s.now-published < 30*time.Second {
					s.runFor(5 * time.Millisecond)
					if fault == "readers crash" && s.now-published == 6*time.Second {
						s.updateMembers() // the failure detector removes the crashed instances
					}
				}
				longestDelay = max(longestDelay, s.now-published)
				s.runFor(2 * time.Second)
			}
			rate := float64(s.platformCalls-callsBefore) / (s.now - startedAt).Seconds()
			t.Logf("%3d instances, %s: longest delay %v, %.1f calls/s to the platform", count, fault, longestDelay, rate)
			if longestDelay > 8*time.Second || rate > 100 {
				t.Errorf("%d instances, %s: longest delay %v and %.1f calls/s, want at most 8s and 100", count, fault, longestDelay, rate)
			}
		}
	}
}

// TestPlatformCallRateAtStartup guards against more than 2,000 calls a second to the
// platform when all 3,100 instances start together. It scales the rate of 400 instances.
func TestPlatformCallRateAtStartup(t *testing.T) {
	s := newSim(2)
	s.publish(1, configText(10, 1), 1)
	for i := range 400 {
		s.addInstance(i, string(rune('a'+i%4)))
	}
	s.runFor(5 * time.Second) // no instance has found a peer yet
	s.updateMembers()
	s.runFor(5 * time.Second)
	for _, n := range s.nodes {
		if !n.ready {
			t.Fatalf("instance %d is not ready", n.index)
		}
	}
	peak := 0
	for _, n := range s.callsPerSecond {
		peak = max(peak, n)
	}
	t.Logf("peak of %d calls/s by 400 instances", peak)
	if peak*3100/400 > 2000 {
		t.Errorf("%d calls/s by 3,100 instances, want at most 2,000", peak*3100/400)
	}
}

// TestInvalidRevisionIsRemembered guards against an invalid revision that becomes active,
// is fetched repeatedly, or prevents a later valid one from being accepted.
func TestInvalidRevisionIsRemembered(t *testing.T) {
	s := newStartedSim(3, 8)
	callsBefore := s.platformCalls
	s.publish(2, "invalid", 1)
	s.runFor(20 * time.Second)
	// A long-poll call takes 3 s: 8 readers make at most 8 calls each, and one more for
	// the response that is rejected.
	if n := s.platformCalls - callsBefore; n > 8*9 {
		t.Errorf("%d calls to the platform in 20 s", n)
	}
	if !s.allHaveRevision(1) {
		t.Fatal("an invalid revision replaced a valid one")
	}
	invalid, readers := uint64(0), 0
	for _, n := range s.nodes {
		st := n.machine.Status()
		invalid += st.Stats.Invalid
		if st.Reader {
			readers++
			if st.Invalid != 2 || !strings.Contains(st.InvalidReason, "invalid") {
				t.Errorf("status shows invalid revision %d, reason %q", st.Invalid, st.InvalidReason)
			}
		}
	}
	if invalid != uint64(readers) {
		t.Errorf("%d readers validated an invalid revision %d times", readers, invalid)
	}
	s.publish(3, configText(10, 3), 1)
	s.runFor(time.Second)
	if !s.allHaveRevision(3) {
		t.Error("a valid revision after an invalid one did not reach all instances")
	}
}

// TestConflictIsRejected guards against an active text that is replaced by a different text
// with the same revision number, or by a lower revision.
func TestConflictIsRejected(t *testing.T) {
	m := New(Options{Self: Peer{Domain: "a"}, Validate: validate}, rand.New(rand.NewPCG(1, 1)))
	m.Tick(0)
	m.ReceivePlatformResult(0, 0, Result{Status: Changed, Revision: 5, Text: []byte("one")})
	m.ReceivePlatformResult(0, 0, Result{Status: Changed, Revision: 5, Text: []byte("two")})
	m.ReceivePush(0, [16]byte{1}, Push{Revision: 5, Hash: Hash{1}})
	m.ReceivePlatformResult(0, 0, Result{Status: Changed, Revision: 4, Text: []byte("old")})
	rev, text, _ := m.Current()
	if st := m.Status().Stats; rev != 5 || string(text) != "one" || st.Conflicts != 2 || st.Stale != 1 {
		t.Errorf("revision %d, text %q, stats %+v", rev, text, st)
	}
}

// TestSplitIsLossless guards against sections that do not join to the exact text, and
// against a change of one model that alters the sections of other models, which would be
// transferred again.
func TestSplitIsLossless(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		lines := rapid.SliceOf(rapid.SampledFrom([]string{"models:", "services:", "teams:", "  - name: a", "- name: b", "    - x", "", "# c", " ", "-", "\t", "x: y\r"})).Draw(t, "lines")
		text := []byte(strings.Join(lines, "\n"))
		if joined, _ := joinSections(Split(text)); !bytes.Equal(joined, text) {
			t.Fatalf("%q became %q", text, joined)
		}
	})
	old, changed := Split([]byte(configText(600, 1))), Split([]byte(configText(600, 2)))
	different := 0
	for i := range old {
		if old[i].Hash != changed[i].Hash {
			different++
		}
	}
	if len(old) != 31 || different != 1 {
		t.Errorf("%d sections, %d differ", len(old), different)
	}
}

// TestCorruptedPushChangesNothing guards against accepting a corrupted push: sections,
// manifest and hash that do not match.
func TestCorruptedPushChangesNothing(t *testing.T) {
	self, other := Peer{Domain: "a"}, [16]byte{1}
	source := New(Options{Self: Peer{ID: other, Domain: "a"}, Validate: validate}, rand.New(rand.NewPCG(1, 1)))
	source.Tick(0)
	source.ReceivePlatformResult(0, 0, Result{Status: Changed, Revision: 7, Text: []byte(configText(40, 1))})
	for i, corrupt := range []func(*Push){
		func(p *Push) { p.Sections[1].Data = append([]byte("x"), p.Sections[1].Data...) },
		func(p *Push) { p.Manifest[0], p.Manifest[1] = p.Manifest[1], p.Manifest[0] },
		func(p *Push) { p.Sections = p.Sections[:1] },
		func(p *Push) { p.Hash[0]++ },
		func(p *Push) { p.Manifest = nil },
		func(p *Push) { p.Manifest = append(p.Manifest, p.Manifest...) },
	} {
		m := New(Options{Self: self, Validate: validate}, rand.New(rand.NewPCG(1, 1)))
		m.SetMembers(0, []Peer{{ID: other, Domain: "a"}})
		m.ObserveRevision(0, other, 7)
		p := source.ReceivePull(0, self.ID, Pull{})
		corrupt(&p)
		for _, a := range m.ReceivePush(0, other, p) {
			if _, ok := a.(Accepted); ok {
				t.Errorf("corruption %d: accepted", i)
			}
		}
		if _, _, ok := m.Current(); ok {
			t.Errorf("corruption %d: a revision is active", i)
		}
	}
}
