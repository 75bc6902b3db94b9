package streamorigin

import (
	"fmt"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/yuccabridge/yuccabridge/internal/coordination/membership"
	"github.com/yuccabridge/yuccabridge/internal/rapidflags"
)

func init() { rapidflags.Set(rapidflags.Defaults{Seed: 34, Checks: 2000}) }

func testInstances(domains, perDomain int) []membership.Member {
	var instances []membership.Member
	for d := range domains {
		for i := range perDomain {
			instances = append(instances, membership.Member{Name: fmt.Sprintf("front-%d-%d", d, i), FailureDomain: fmt.Sprint("domain-", d),
				Incarnation: membership.Incarnation{Process: membership.Process{byte(d), byte(i)}}})
		}
	}
	return instances
}

func names(members []membership.Member) []string {
	var out []string
	for _, m := range members {
		out = append(out, m.Name)
	}
	return out
}

// Guards against a record that an instance cannot find: whatever instance or failure domain is lost, and
// wherever a caller goes on with its stream, one of those that are asked must have been given the record.
func TestRecordIsFoundAfterTheLossOfADomainOrAnInstance(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances := testInstances(rapid.IntRange(1, 5).Draw(t, "domains"), rapid.IntRange(1, 6).Draw(t, "instances of each"))
		key := KeyOf("team", rapid.String().Draw(t, "request"))
		began := rapid.SampledFrom(instances).Draw(t, "began at")
		holders := NewPlacement(instances).Holders(key, began.FailureDomain)
		if len(instances) > 1 && len(holders) < 2 {
			t.Fatalf("%d holders of %d instances", len(holders), len(instances))
		}
		lost := rapid.SampledFrom(instances).Draw(t, "lost")
		wholeDomain := rapid.Bool().Draw(t, "with its domain")
		isLost := func(m membership.Member) bool {
			return m.Name == lost.Name || wholeDomain && m.FailureDomain == lost.FailureDomain
		}
		left := slices.DeleteFunc(slices.Clone(instances), isLost)
		stillHeld := slices.DeleteFunc(slices.Clone(holders), isLost)
		if len(left) == 0 || len(stillHeld) == 0 {
			if len(holders) > 1 && !wholeDomain {
				t.Fatalf("one instance held all copies: %v", names(holders))
			}
			return
		}
		taker := rapid.SampledFrom(left).Draw(t, "taken up at")
		for name, view := range map[string][]membership.Member{"before": instances, "after": left} {
			asked := names(NewPlacement(view).Candidates(key, taker.FailureDomain))
			if !slices.ContainsFunc(names(stillHeld), func(holder string) bool { return slices.Contains(asked, holder) }) {
				t.Fatalf("%s the loss is known: held at %v, asked %v", name, names(stillHeld), asked)
			}
		}
	})
}

// Guards against streams that nobody knows after all holders have ended at once: any instance of a small fleet
// has been given their records, and any that has not, since it starts later, asks every other one.
func TestAnyInstanceOfASmallFleetIsAsked(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		instances := testInstances(rapid.IntRange(1, 4).Draw(t, "domains"), rapid.IntRange(1, 4).Draw(t, "instances of each"))
		p := NewPlacement(instances)
		if !p.FullCopies() {
			t.Fatalf("no copies among %d instances", len(instances))
		}
		key := KeyOf("team", rapid.String().Draw(t, "request"))
		taker := rapid.SampledFrom(instances).Draw(t, "taken up at")
		asked := names(p.Candidates(key, taker.FailureDomain))
		for _, last := range instances {
			if !slices.Contains(asked, last.Name) {
				t.Fatalf("%s is not asked, only %v", last.Name, asked)
			}
		}
		if len(asked) != len(instances) {
			t.Fatalf("%d instances, asked %v", len(instances), asked)
		}
	})
}

// Guards against messages and memory that grow with the square of a large fleet, and against a small one that
// counts as large while its instances start again and their last processes are not yet known to be dead.
func TestOnlySmallFleetsHaveCopiesEverywhere(t *testing.T) {
	small := testInstances(4, 4)
	for _, m := range testInstances(4, 4)[1:] {
		m.Incarnation.Process[2] = 1
		small = append(small, m)
	}
	if p := NewPlacement(small); !p.FullCopies() || p.Instances() != 16 {
		t.Errorf("%d instances that have started again, full copies: %v", p.Instances(), p.FullCopies())
	}
	for _, size := range []struct{ domains, perDomain int }{{17, 1}, {4, 15}, {19, 163}} {
		p := NewPlacement(testInstances(size.domains, size.perDomain))
		if p.FullCopies() {
			t.Errorf("%d instances have full copies", p.Instances())
		}
		for i := range 20 {
			if asked := p.Candidates(KeyOf("team", fmt.Sprint(i)), "domain-1"); len(asked) > homeHolders+domainsAsked {
				t.Errorf("%d of %d instances are asked", len(asked), p.Instances())
			}
		}
	}
}

// Guards against a choice that depends on the order in which instances are known, so that two instances
// make different ones.
func TestPlacementDoesNotDependOnTheOrder(t *testing.T) {
	instances := testInstances(4, 15)
	reversed := slices.Clone(instances)
	slices.Reverse(reversed)
	a, b := NewPlacement(instances), NewPlacement(reversed)
	for i := range 200 {
		key := KeyOf("team", fmt.Sprint(i))
		if !slices.Equal(names(a.Holders(key, "domain-1")), names(b.Holders(key, "domain-1"))) || !slices.Equal(names(a.Candidates(key, "domain-2")), names(b.Candidates(key, "domain-2"))) {
			t.Fatalf("key %d: another choice", i)
		}
	}
}

// Guards against instances that hold many times their share of the records.
func TestRecordsAreSpreadOverTheInstances(t *testing.T) {
	const records = 20000
	instances := testInstances(4, 15)
	p, held := NewPlacement(instances), map[string]int{}
	total := 0
	for i := range records {
		for _, m := range p.Holders(KeyOf("team", fmt.Sprint(i)), fmt.Sprint("domain-", i%4)) {
			held[m.Name]++
			total++
		}
	}
	for _, m := range instances {
		if share := total / len(instances); held[m.Name] > 2*share {
			t.Errorf("%s holds %d records, the mean is %d", m.Name, held[m.Name], share)
		}
	}
}

// BenchmarkPlacementAfterAChange measures the choice of the holders of 5,000 records after the set of
// instances has changed.
func BenchmarkPlacementAfterAChange(b *testing.B) {
	for _, size := range []struct{ domains, perDomain int }{{4, 2}, {4, 15}, {19, 163}} {
		b.Run(fmt.Sprint(size.domains*size.perDomain), func(b *testing.B) {
			instances := testInstances(size.domains, size.perDomain)
			for b.Loop() {
				p := NewPlacement(instances)
				for i := range uint64(5000) {
					p.Holders(KeyOf("team", fmt.Sprint(i)), "domain-1")
				}
			}
		})
	}
}
