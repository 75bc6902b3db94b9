package membership

import (
	"net/netip"
	"testing"
	"time"
)

// runUntilConverged runs until all views match the running processes and returns how
// long it took.
func runUntilConverged(t testing.TB, s *sim, limit time.Duration) time.Duration {
	t.Helper()
	for start := s.now; ; s.run(simTick) {
		diff := s.firstDisagreement()
		if diff == "" {
			return s.now - start
		}
		if s.now-start >= limit {
			t.Fatalf("no agreement after %v: %s", limit, diff)
		}
	}
}

// Guards against joins after which some members do not know all others, in one domain
// and in several.
func TestJoin(t *testing.T) {
	for _, test := range []struct {
		count   int
		domains []string
	}{{2, []string{"a"}}, {8, []string{"a", "b", "c", "d"}}, {40, []string{"a", "b"}}, {160, []string{"a"}}} {
		s := newCluster(1, test.count, test.domains...)
		s.run(simTick)
		t.Logf("%d in each of %v: joined after %v", test.count, test.domains, runUntilConverged(t, s, 30*time.Second))
		s.run(20 * time.Second)
		if diff := s.firstDisagreement(); diff != "" {
			t.Errorf("later: %s", diff)
		}
	}
}

// Guards against a planned stop that spreads too slowly: all members must know it within
// 1 s, without loss and with 10 % of the datagrams lost.
func TestLeaveSpreadsWithinASecond(t *testing.T) {
	for _, loss := range []float64{0, 0.1} {
		for _, count := range []int{2, 8, 40, 160} {
			s := newCluster(2, count, "a")
			s.run(25 * time.Second)
			runUntilConverged(t, s, 10*time.Second)
			s.loss = loss
			worst := time.Duration(0)
			for i := range min(count-1, 5) {
				s.leave(s.nodes[i])
				start := s.now
				for !allKnowLeaving(s, s.nodes[i]) && s.now-start < 5*time.Second {
					s.run(time.Millisecond)
				}
				worst = max(worst, s.now-start)
				s.run(time.Second)
			}
			t.Logf("%d members, loss %.0f%%: worst %v", count, loss*100, worst)
			if worst > time.Second {
				t.Errorf("%d members, loss %.0f%%: all members knew a stop after %v, want at most 1 s", count, loss*100, worst)
			}
		}
	}
}

func allKnowLeaving(s *sim, leaver *simNode) bool {
	for _, n := range s.nodes {
		if known, _ := n.machine.Member(leaver.self.Incarnation.Process); n.alive && known.State != Leaving {
			return false
		}
	}
	return true
}

// Guards against crashes that are detected late or not at all. The bound is the sum of
// the wait for the first probe (at most 4 periods in all but one case in 50), one period
// without an answer, and the suspicion timeout.
func TestCrashIsDetectedInTime(t *testing.T) {
	for _, count := range []int{2, 8, 40, 160} {
		s := newCluster(3, count, "a")
		s.run(25 * time.Second)
		runUntilConverged(t, s, 10*time.Second)
		worst := time.Duration(0)
		for i := range min(count-1, 5) {
			s.kill(s.nodes[i])
			worst = max(worst, runUntilConverged(t, s, 15*time.Second))
		}
		t.Logf("%d members: worst %v", count, worst)
		if worst > 8500*time.Millisecond {
			t.Errorf("%d members: all members knew a crash after %v, want at most 8.5 s", count, worst)
		}
	}
}

// Guards against views that still differ after a partition within domains or between
// them has healed.
func TestPartitionHeals(t *testing.T) {
	s := newCluster(4, 20, "a", "b", "c")
	s.run(30 * time.Second)
	runUntilConverged(t, s, 10*time.Second)
	inSmallerSide := func(a netip.AddrPort) bool { b := a.Addr().As4(); return (int(b[2])<<8|int(b[3]))%20 < 7 }
	s.blocked = func(from, to netip.AddrPort) bool { return inSmallerSide(from) != inSmallerSide(to) }
	s.run(60 * time.Second)
	s.blocked = nil
	t.Logf("healed after %v", runUntilConverged(t, s, 30*time.Second))
	domainIndex := func(a netip.AddrPort) int { b := a.Addr().As4(); return (int(b[2])<<8 | int(b[3])) / 20 }
	s.blocked = func(from, to netip.AddrPort) bool { return domainIndex(from) != domainIndex(to) }
	deaths := 0
	s.onChange = func(n *simNode, change StateChanged) {
		if change.Member.State == Dead {
			deaths++
		}
	}
	s.run(60 * time.Second)
	if s.nodes[0].machine.Reachable(s.now, "b") {
		t.Error("a partitioned domain is reported as reachable")
	}
	s.blocked = nil
	t.Logf("domains healed after %v", runUntilConverged(t, s, 30*time.Second))
	if deaths > 0 {
		t.Errorf("%d members were declared dead during a partition between domains", deaths)
	}
}

// Guards against members that keep flapping in a one-way partition: a member that
// receives from only some or none of the others, or is received by only some or none.
func TestOneWayPartitionSettles(t *testing.T) {
	const count = 20
	nodeIndex := func(a netip.AddrPort) int { b := a.Addr().As4(); return int(b[3]) }
	for name, blocked := range map[string]func(from, to int) bool{
		"one pair":                      func(from, to int) bool { return from == 1 && to == 0 },
		"receives from one":             func(from, to int) bool { return to == 0 && from != 1 },
		"receives from half":            func(from, to int) bool { return to == 0 && from%2 == 0 },
		"receives nothing":              func(from, to int) bool { return to == 0 },
		"reaches nobody":                func(from, to int) bool { return from == 0 },
		"reaches one":                   func(from, to int) bool { return from == 0 && to != 1 },
		"two not received by the rest":  func(from, to int) bool { return from < 2 && to >= 2 },
		"half not received by the rest": func(from, to int) bool { return from < 10 && to >= 10 },
	} {
		t.Run(name, func(t *testing.T) {
			s := newCluster(5, count, "a")
			s.run(30 * time.Second)
			s.blocked = func(from, to netip.AddrPort) bool { return blocked(nodeIndex(from), nodeIndex(to)) }
			s.run(120 * time.Second)
			deaths, suspicions := 0, 0
			s.onChange = func(n *simNode, change StateChanged) {
				switch change.Member.State {
				case Dead:
					deaths++
				case Suspect:
					suspicions++
				}
			}
			s.run(300 * time.Second)
			s.onChange = nil
			// One suspicion of a member is counted in all 20 views.
			t.Logf("in 300 s: %d deaths, %d suspicions over all views", deaths, suspicions)
			if deaths > 0 {
				t.Errorf("%d deaths in steady state, want none", deaths)
			}
			if perMember := float64(suspicions) / count; perMember > 30 {
				t.Errorf("%.0f suspicions per view in 300 s, want at most 30", perMember)
			}
			s.blocked = nil
			t.Logf("healed after %v", runUntilConverged(t, s, 60*time.Second))
		})
	}
}
