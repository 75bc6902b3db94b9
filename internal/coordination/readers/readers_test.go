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

// follower returns the schedule of a member of a domain of six that is neither reader nor standby, confirmed at
// time 0, with those that it asks.
func follower() (s *Schedule, sources []membership.Member) {
	members := testMembers(1, 6)
	order := Choose(members, "d0", 6)
	self := order[5]
	s = NewSchedule(testBound)
	s.SetMembers(self, members, 2)
	s.Confirmed(0)
	return s, append(PreferenceOf(self.Name, order[:2]), order[2:4]...)
}

// Guards against followers that wait for a reader beyond the age at which they ask the platform.
func TestFollowerAsksInTime(t *testing.T) {
	s, sources := follower()
	preferred, other := sources[0], sources[1]
	asked := func(now time.Duration) string {
		q := s.Next(now, 0)
		if q.Source == nil {
			return "platform"
		}
		if age, _ := s.Age(now); age+q.Timeout > s.fraction(StaleFraction) {
			t.Errorf("at %v an answer is awaited until the copy is %v old", now, age+q.Timeout)
		}
		return q.Source.Name
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
	expect(testBound/4, sources[2].Name)
	s.Failed(testBound/4, sources[2].Incarnation.Process)
	expect(testBound/4, sources[3].Name)
	s.Failed(testBound/4, sources[3].Incarnation.Process)
	expect(testBound/4, "platform")
	s.Confirmed(testBound)
	expect(testBound, "platform")
	expect(testBound/4+testBound, preferred.Name)
	s.ReadNext()
	expect(testBound/4+testBound, "platform")
	expect(testBound/4+testBound, preferred.Name)
	if q := s.Next(3*testBound, 0); q.Source != nil || q.Wait != 0 {
		t.Errorf("a stale copy waits %v for changes", q.Wait)
	}
}

// Guards against an instance that follows before it has read anything, or while it is a reader itself.
func TestWhoDoesNotFollow(t *testing.T) {
	members := testMembers(1, 4)
	order := Choose(members, "d0", 4)
	s := NewSchedule(testBound)
	if q := s.Next(0, 0); q.Source != nil {
		t.Error("an instance that knows no peer follows")
	}
	if !s.SetMembers(order[3], members, 2) || s.IsReader() {
		t.Error("the instance is still a reader")
	}
	if q := s.Next(0, 0); q.Source != nil {
		t.Error("an instance follows before it has read the platform")
	}
	s.Confirmed(0)
	s.SetMembers(order[0], members, 2)
	if q := s.Next(0, 0); q.Source != nil || q.Wait != s.fraction(readerWaitFraction) {
		t.Errorf("a reader: %+v", q)
	}
	s.SetMembers(order[0], order[:2], 2)
	if q := s.Next(0, 0); q.Wait != s.fraction(WatchWaitFraction) {
		t.Errorf("a reader without followers waits %v", q.Wait)
	}
}

// Guards against two members that wait for each other, and against a reader that goes on calling a platform which
// turns it away.
func TestWhomStandbysAndRefusedReadersAsk(t *testing.T) {
	members := testMembers(1, 6)
	order := Choose(members, "d0", 6)
	asks := func(s *Schedule) map[string]bool {
		names := map[string]bool{}
		for _, m := range s.sources {
			names[m.Name] = true
		}
		return names
	}
	for position, m := range order {
		s := NewSchedule(testBound)
		s.SetMembers(m, members, 2)
		for i, other := range order {
			want := i < 4 && (i < position || position < 2 && i != position)
			if asks(s)[other.Name] != want {
				t.Errorf("member %d asks member %d: %v, want %v", position, i, !want, want)
			}
		}
	}
	s := NewSchedule(testBound)
	s.SetMembers(order[0], members, 2)
	s.Confirmed(0)
	s.PlatformFailed(0)
	if q := s.Next(0, 0); q.Source == nil || q.Wait > s.fraction(platformRetryFraction) {
		t.Errorf("a refused reader: %+v", q)
	}
	if q := s.Next(s.fraction(platformRetryFraction), 0); q.Source != nil {
		t.Error("a refused reader does not try the platform again")
	}
	s.PlatformAnswered()
	if q := s.Next(0, 0); q.Source != nil {
		t.Error("a reader asks another one although the platform answers")
	}
}
