package readers

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"github.com/yuccabridge/yuccabridge/internal/coordination/membership"
)

func testMember(name, domain string) membership.Member {
	m := membership.Member{Name: name, FailureDomain: domain, State: membership.Alive}
	copy(m.Incarnation.Process[:], name)
	return m
}

func testMembers(domains, perDomain int) []membership.Member {
	var members []membership.Member
	for d := range domains {
		for i := range perDomain {
			members = append(members, testMember(fmt.Sprintf("i-%d-%d", d, i), fmt.Sprint("d", d)))
		}
	}
	return members
}

// Guards against instances with the same view that choose other readers, and against a domain without one.
func TestChoiceIsTheSameForAll(t *testing.T) {
	members := testMembers(3, 5)
	first := Choose(members, "d1", 2)
	slices.Reverse(members)
	if second := Choose(members, "d1", 2); len(first) != 2 || !slices.EqualFunc(first, second, func(a, b membership.Member) bool { return a.Name == b.Name }) {
		t.Errorf("%v and %v", first, second)
	}
	for _, m := range first {
		if m.FailureDomain != "d1" {
			t.Errorf("a reader of another domain: %s", m.Name)
		}
	}
	if alone := Choose(members[:1], members[0].FailureDomain, 2); len(alone) != 1 {
		t.Errorf("a domain of one instance has %d readers", len(alone))
	}
}

// Guards against all followers that ask the same reader.
func TestFollowersSpreadOverReaders(t *testing.T) {
	members := testMembers(1, 40)
	chosen := Choose(members, "d0", 2)
	first := map[string]int{}
	for _, m := range members {
		first[PreferenceOf(m.Name, chosen)[0].Name]++
	}
	for _, r := range chosen {
		if n := first[r.Name]; n < len(members)/4 {
			t.Errorf("%d of %d instances ask %s first", n, len(members), r.Name)
		}
	}
}

const testBound = 2 * time.Second

// follower returns the schedule of a follower of two readers, confirmed at time 0.
func follower() (s *Schedule, preferred, other membership.Member) {
	members := testMembers(1, 4)
	chosen := Choose(members, "d0", 2)
	self := members[slices.IndexFunc(members, func(m membership.Member) bool {
		return !slices.ContainsFunc(chosen, func(r membership.Member) bool { return r.Name == m.Name })
	})]
	s = NewSchedule(testBound)
	s.SetReaders(self, chosen, len(members))
	s.Confirmed(0)
	preference := PreferenceOf(self.Name, chosen)
	return s, preference[0], preference[1]
}

// Guards against followers that wait for a reader beyond the age at which they ask the platform.
func TestFollowerAsksInTime(t *testing.T) {
	s, preferred, other := follower()
	asked := func(now time.Duration) string {
		q := s.Next(now, 0)
		if q.Reader == nil {
			return "platform"
		}
		if age, _ := s.Age(now); age+q.Timeout > s.fraction(StaleFraction) {
			t.Errorf("at %v an answer is awaited until the copy is %v old", now, age+q.Timeout)
		}
		return q.Reader.Name
	}
	expect := func(now time.Duration, want string) {
		t.Helper()
		if got := asked(now); got != want {
			t.Errorf("at %v %s is asked, want %s", now, got, want)
		}
	}
	expect(0, preferred.Name)
	expect(testBound/2, preferred.Name)
	expect(s.fraction(StaleFraction), "platform")
	s.Failed(testBound/4, preferred.Incarnation.Process)
	expect(testBound/4, other.Name)
	s.Failed(testBound/4, other.Incarnation.Process)
	expect(testBound/4, "platform")
	s.Confirmed(testBound)
	expect(testBound, "platform")
	expect(testBound/4+testBound, preferred.Name)
	if q := s.Next(3*testBound, 0); q.Reader != nil || q.Wait != 0 {
		t.Errorf("a stale copy waits %v for changes", q.Wait)
	}
}

// Guards against an instance that follows before it has read anything, or while it is a reader itself.
func TestWhoDoesNotFollow(t *testing.T) {
	members := testMembers(1, 4)
	chosen := Choose(members, "d0", 2)
	s := NewSchedule(testBound)
	if q := s.Next(0, 0); q.Reader != nil {
		t.Error("an instance that knows no peer follows")
	}
	if !s.SetReaders(testMember("new", "d0"), chosen, 5) || s.IsReader() {
		t.Error("the instance is still a reader")
	}
	if q := s.Next(0, 0); q.Reader != nil {
		t.Error("an instance follows before it has read the platform")
	}
	s.Confirmed(0)
	s.SetReaders(chosen[0], chosen, 4)
	if q := s.Next(0, 0); q.Reader != nil || q.Wait != s.fraction(readerWaitFraction) {
		t.Errorf("a reader: %+v", q)
	}
	s.SetReaders(chosen[0], chosen, 2)
	if q := s.Next(0, 0); q.Wait != s.fraction(WatchWaitFraction) {
		t.Errorf("a reader without followers waits %v", q.Wait)
	}
}
