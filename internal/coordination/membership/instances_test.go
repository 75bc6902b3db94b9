package membership

import (
	"net/netip"
	"testing"
	"time"
)

// Guards against shares that grow while the instances they belong to still run: those behind a
// partition and those that have just left must count, and those that left long ago must not.
func TestInstancesCountsThoseThatMayRun(t *testing.T) {
	const count, period = 10, 20 * time.Second
	s := newCluster(1, count, "a")
	if lone := New(Options{Self: Member{Name: "x", Domain: "a"}, Seeds: []netip.AddrPort{simAddr(99)}}, s.rng); lone.Instances(time.Second, "a", period) != 0 {
		t.Error("an instance that has not joined counts instances")
	}
	s.run(25 * time.Second)
	runUntilConverged(t, s, 10*time.Second)
	counted := func() int {
		n := s.nodes[0]
		return n.machine.Instances(s.localTime(n), "a", period)
	}
	if got := counted(); got != count {
		t.Fatalf("%d instances, want %d", got, count)
	}
	isCutOff := func(a netip.AddrPort) bool { return a == simAddr(7) || a == simAddr(8) }
	s.blocked = func(from, to netip.AddrPort) bool { return isCutOff(from) != isCutOff(to) }
	s.run(time.Minute)
	if got := counted(); got != count {
		t.Errorf("%d instances while two are cut off, want %d", got, count)
	}
	s.blocked = nil
	runUntilConverged(t, s, 30*time.Second)
	s.leave(s.nodes[9])
	s.run(time.Second)
	s.kill(s.nodes[9])
	s.run(period / 2)
	if got := counted(); got != count {
		t.Errorf("%d instances just after one has left, want %d", got, count)
	}
	s.run(2 * period)
	if got := counted(); got != count-1 {
		t.Errorf("%d instances after one has left, want %d", got, count-1)
	}
}
