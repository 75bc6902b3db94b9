package membership

import (
	"net/netip"
	"testing"
	"time"
)

// converge runs until all views agree with the truth and returns how long it took.
func converge(t testing.TB, s *sim, limit time.Duration) time.Duration {
	t.Helper()
	for start := s.now; ; s.run(simTick) {
		diff := s.disagreement()
		if diff == "" {
			return s.now - start
		}
		if s.now-start >= limit {
			t.Fatalf("no agreement after %v: %s", limit, diff)
		}
	}
}

// Guards against joins that leave members out, in one domain and in several.
func TestJoin(t *testing.T) {
	for _, c := range []struct {
		count   int
		domains []string
	}{{2, []string{"a"}}, {8, []string{"a", "b", "c", "d"}}, {40, []string{"a", "b"}}, {160, []string{"a"}}} {
		s := build(1, c.count, c.domains...)
		s.run(simTick)
		t.Logf("%d in each of %v: joined after %v", c.count, c.domains, converge(t, s, 30*time.Second))
		s.run(20 * time.Second)
		if diff := s.disagreement(); diff != "" {
			t.Errorf("later: %s", diff)
		}
	}
}

// Guards against a planned stop that is known too late: the bound is 1 s, without
// loss and with one datagram in ten lost.
func TestLeaveSpreadsWithinASecond(t *testing.T) {
	for _, loss := range []float64{0, 0.1} {
		for _, count := range []int{2, 8, 40, 160} {
			s := build(2, count, "a")
			s.run(25 * time.Second)
			converge(t, s, 10*time.Second)
			s.loss = loss
			worst := time.Duration(0)
			for i := range min(count-1, 5) {
				s.leave(s.nodes[i])
				start := s.now
				for !leavingKnown(s, s.nodes[i]) && s.now-start < 5*time.Second {
					s.run(time.Millisecond)
				}
				worst = max(worst, s.now-start)
				s.run(time.Second)
			}
			t.Logf("%d members, loss %.0f%%: worst %v", count, loss*100, worst)
			if worst > time.Second {
				t.Errorf("%d members, loss %.0f%%: a stop was known after %v", count, loss*100, worst)
			}
		}
	}
}

func leavingKnown(s *sim, left *simNode) bool {
	for _, n := range s.nodes {
		if x, _ := n.m.Member(left.self.Incarnation.Process); n.alive && x.State != Leaving {
			return false
		}
	}
	return true
}

// Guards against crashes that stay unnoticed. The bound is the wait for the first
// probe (at most 4 periods in all but one case in 50), one period without an answer,
// and the suspicion time.
func TestCrashIsKnown(t *testing.T) {
	for _, count := range []int{2, 8, 40, 160} {
		s := build(3, count, "a")
		s.run(25 * time.Second)
		converge(t, s, 10*time.Second)
		worst := time.Duration(0)
		for i := range min(count-1, 5) {
			s.kill(s.nodes[i])
			worst = max(worst, converge(t, s, 15*time.Second))
		}
		t.Logf("%d members: worst %v", count, worst)
		if worst > 8500*time.Millisecond {
			t.Errorf("%d members: a crash was known after %v", count, worst)
		}
	}
}

// Guards against views that stay apart after a cut, in and between domains.
func TestPartitionHeals(t *testing.T) {
	s := build(4, 20, "a", "b", "c")
	s.run(30 * time.Second)
	converge(t, s, 10*time.Second)
	half := func(a netip.AddrPort) bool { b := a.Addr().As4(); return (int(b[2])<<8|int(b[3]))%20 < 7 }
	s.cut = func(from, to netip.AddrPort) bool { return half(from) != half(to) }
	s.run(60 * time.Second)
	s.cut = nil
	t.Logf("healed after %v", converge(t, s, 30*time.Second))
	domain := func(a netip.AddrPort) int { b := a.Addr().As4(); return (int(b[2])<<8 | int(b[3])) / 20 }
	s.cut = func(from, to netip.AddrPort) bool { return domain(from) != domain(to) }
	deaths := 0
	s.changes = func(n *simNode, c Changed) {
		if c.Member.State == Dead {
			deaths++
		}
	}
	s.run(60 * time.Second)
	if s.nodes[0].m.Reachable(s.now, "b") {
		t.Error("a domain that was cut off counts as reachable")
	}
	s.cut = nil
	t.Logf("domains healed after %v", converge(t, s, 30*time.Second))
	if deaths > 0 {
		t.Errorf("a cut between domains made %d members dead", deaths)
	}
}

// Guards against members that flap for ever behind a one-way cut: a member that
// hears only some of the others, one that hears nobody, and one that nobody hears.
func TestOneWayCutSettles(t *testing.T) {
	const count = 20
	num := func(a netip.AddrPort) int { b := a.Addr().As4(); return int(b[3]) }
	for name, cut := range map[string]func(from, to int) bool{
		"pair":             func(from, to int) bool { return from == 1 && to == 0 },
		"hears one":        func(from, to int) bool { return to == 0 && from != 1 },
		"hears half":       func(from, to int) bool { return to == 0 && from%2 == 0 },
		"deaf":             func(from, to int) bool { return to == 0 },
		"mute":             func(from, to int) bool { return from == 0 },
		"heard by one":     func(from, to int) bool { return from == 0 && to != 1 },
		"two to the rest":  func(from, to int) bool { return from < 2 && to >= 2 },
		"half to the rest": func(from, to int) bool { return from < 10 && to >= 10 },
	} {
		t.Run(name, func(t *testing.T) {
			s := build(5, count, "a")
			s.run(30 * time.Second)
			s.cut = func(from, to netip.AddrPort) bool { return cut(num(from), num(to)) }
			s.run(120 * time.Second)
			deaths, suspicions := 0, 0
			s.changes = func(n *simNode, c Changed) {
				switch c.Member.State {
				case Dead:
					deaths++
				case Suspect:
					suspicions++
				}
			}
			s.run(300 * time.Second)
			s.changes = nil
			// One suspicion of one member reaches all 20 views.
			t.Logf("in 300 s: %d deaths, %d suspicions over all views", deaths, suspicions)
			if deaths > 0 {
				t.Errorf("%d deaths in the steady state", deaths)
			}
			if perMember := float64(suspicions) / count; perMember > 30 {
				t.Errorf("%.0f suspicions in a view in 300 s, want at most 30", perMember)
			}
			s.cut = nil
			t.Logf("healed after %v", converge(t, s, 60*time.Second))
		})
	}
}
