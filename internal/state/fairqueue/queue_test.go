package fairqueue

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yuccabridge/yuccabridge/internal/rapidflags"
)

// Long run: go test ./internal/state/fairqueue -run TestQueue -rapid.seed=0 -rapid.checks=100000
func init() { rapidflags.Set(rapidflags.Defaults{Seed: 20261203, Checks: 150, Steps: 100}) }

const maxCost = 9

var teamWeights = []int{1, 2, 3, 5}

func teamName(i int) string { return fmt.Sprint("t", i) }

// oracle is the reference model of a queue: a plain list of the entries in push order.
type oracle struct {
	q              *Queue[int]
	limit, reserve int
	waiting        []*Entry[int]
	protected      map[*Entry[int]]bool
	deferred       map[*Entry[int]]bool
	pushed         int
}

// sharedEntries returns the entries of a tier that have shared slots.
func (o *oracle) sharedEntries(tier int) (shared []*Entry[int]) {
	reserveLeft := o.reserve * min(tier-1, 1) // tier 1 has no reserve
	for _, e := range o.waiting {
		switch {
		case e.Tier != tier || e.Retry || o.protected[e]:
		case reserveLeft > 0:
			reserveLeft--
		default:
			shared = append(shared, e)
		}
	}
	return shared
}

// victim returns the expected result of Victim.
func (o *oracle) victim() *Entry[int] {
	total := 0
	var victim *Entry[int]
	for tier := 1; tier <= 3; tier++ {
		shared := o.sharedEntries(tier)
		total += len(shared)
		sharedPerWeight := map[string]int{}
		for _, e := range shared {
			sharedPerWeight[e.Team] += 60 / e.Weight
		}
		for i, e := range shared {
			if i == 0 || sharedPerWeight[e.Team] >= sharedPerWeight[victim.Team] {
				victim = e
			}
		}
	}
	if total <= o.limit {
		return nil
	}
	return victim
}

// head returns the entry of a team in a tier that must be served first.
func (o *oracle) head(tier int, team string) (best *Entry[int]) {
	for _, e := range o.waiting {
		switch {
		case e.Tier != tier || e.Team != team:
		case best == nil, e.Retry && (!best.Retry || e.Arrived < best.Arrived), !e.Retry && !best.Retry && o.deferred[best] && !o.deferred[e]:
			best = e
		}
	}
	return best
}

func (o *oracle) removeWaiting(e *Entry[int]) {
	o.waiting = slices.DeleteFunc(o.waiting, func(other *Entry[int]) bool { return other == e })
}

func (o *oracle) push(t *rapid.T) {
	team := rapid.IntRange(0, 3).Draw(t, "team")
	e := &Entry[int]{
		Tier: rapid.IntRange(1, 3).Draw(t, "tier"), Team: teamName(team), Weight: teamWeights[team],
		Cost: float64(rapid.IntRange(1, maxCost).Draw(t, "cost")), Retry: rapid.IntRange(0, 7).Draw(t, "retry") == 0,
		Arrived: time.Duration(rapid.IntRange(0, 99).Draw(t, "arrived")),
	}
	o.pushed++
	e.Value = o.pushed
	o.q.Push(e)
	o.waiting = append(o.waiting, e)
}

// take guards against entries that are served out of order within a tier or a team.
func (o *oracle) take(t *rapid.T) {
	tier, ok := o.q.Best()
	if !ok {
		t.Skip("the queue is empty") // makes rapid draw another action
	}
	e := o.q.Head(tier)
	if want := o.head(tier, e.Team); e != want {
		t.Fatalf("head of team %s is entry %d, want %d", e.Team, e.Value, want.Value)
	}
	if o.deferred[e] {
		for _, other := range o.waiting {
			if other.Tier == tier && !o.deferred[other] {
				t.Fatalf("entry %d is deferred but precedes entry %d", e.Value, other.Value)
			}
		}
	}
	o.q.Take(e)
	o.removeWaiting(e)
}

// deferHead defers the head of the highest tier with entries.
func (o *oracle) deferHead(t *rapid.T) {
	tier, ok := o.q.Best()
	if !ok {
		t.Skip("the queue is empty") // makes rapid draw another action
	}
	e := o.q.Head(tier)
	o.q.Defer(e)
	o.deferred[e] = o.deferred[e] || !e.Retry
	if e.Deferred() != o.deferred[e] {
		t.Fatalf("entry %d: deferred %v, want %v", e.Value, e.Deferred(), o.deferred[e])
	}
}

// modifyAnyEntry removes, takes or protects an entry at any position.
func (o *oracle) modifyAnyEntry(t *rapid.T) {
	if len(o.waiting) == 0 {
		t.Skip("the queue is empty") // makes rapid draw another action
	}
	e := rapid.SampledFrom(o.waiting).Draw(t, "entry")
	switch rapid.IntRange(0, 2).Draw(t, "how") {
	case 0:
		o.q.Remove(e)
		o.removeWaiting(e)
	case 1:
		o.q.Take(e)
		o.removeWaiting(e)
	default:
		o.protected[e] = o.protected[e] || slices.Contains(o.sharedEntries(e.Tier), e)
		o.q.Protect(e)
	}
}

// check guards against wrong victims, tiers, counts and weights.
func (o *oracle) check(t *rapid.T) {
	best := 0
	for tier := 3; tier >= 1; tier-- {
		weight := 0
		for team := range 4 {
			count := 0
			for _, e := range o.waiting {
				if e.Tier == tier && e.Team == teamName(team) {
					count++
				}
			}
			if count > 0 {
				best, weight = tier, weight+teamWeights[team]
			}
			if got := o.q.TeamLen(tier, teamName(team)); got != count {
				t.Fatalf("TeamLen(%d, %d) = %d, want %d", tier, team, got, count)
			}
		}
		if got := o.q.ActiveWeight(tier); got != weight {
			t.Fatalf("ActiveWeight(%d) = %d, want %d", tier, got, weight)
		}
	}
	if got, _ := o.q.Best(); got != best || o.q.Len() != len(o.waiting) {
		t.Fatalf("Best() = %d, Len() = %d, want %d, %d", got, o.q.Len(), best, len(o.waiting))
	}
	if got, want := o.q.Victim(), o.victim(); got != want {
		t.Fatalf("Victim() = %+v, want %+v", got, want)
	}
}

// TestQueue compares the results of random operations with those of the oracle.
func TestQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := &oracle{
			limit: rapid.IntRange(1, 12).Draw(t, "limit"), reserve: rapid.IntRange(0, 3).Draw(t, "reserve"),
			protected: map[*Entry[int]]bool{}, deferred: map[*Entry[int]]bool{},
		}
		o.q = New[int](o.limit, o.reserve, 1)
		t.Repeat(map[string]func(*rapid.T){
			"push": o.push, "push again": o.push, "push more": o.push, "take": o.take, "disturb": o.modifyAnyEntry, "defer": o.deferHead, "": o.check,
		})
	})
}

// TestShares guards against a team that gets more service than its weight allows: by a
// burst, by a return after an idle time, by a queue that repeatedly runs empty, or by
// requests of higher cost. The service per weight of two waiting teams may differ by at
// most one request of each.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const tier, joinRound, rounds = 2, 60, 180
		q := New[int](10_000, rapid.IntRange(0, 300).Draw(t, "reserve"), 1)
		weights := rapid.SliceOfN(rapid.IntRange(1, 5), 3, 8).Draw(t, "weights")
		costs := rapid.SliceOfN(rapid.IntRange(1, maxCost), 7, 7).Draw(t, "costs")
		push := func(team, n int) {
			for i := range n {
				q.Push(&Entry[int]{Tier: tier, Team: fmt.Sprint(team), Weight: weights[team], Cost: float64(costs[(i+team)%7]), Value: team})
			}
		}
		// Team 0 joins in round joinRound, team 1 has one request at a time, and each of the
		// others sends a burst.
		push(1, 1)
		for team := 2; team < len(weights); team++ {
			push(team, rounds)
		}
		served := make([]float64, len(weights))
		firstTeam := 1
		for round := range rounds {
			if round == joinRound {
				push(0, rounds)
				clear(served)
				firstTeam = 0
			}
			e := q.Head(tier)
			q.Take(e)
			if e.Value == 1 {
				push(1, 1)
			}
			served[e.Value] += e.Cost / float64(e.Weight)
			for a := firstTeam; a < len(served); a++ {
				for b := firstTeam; b < a; b++ {
					bound := maxCost/float64(weights[a]) + maxCost/float64(weights[b]) + 1e-9
					if difference := served[a] - served[b]; max(difference, -difference) > bound {
						t.Fatalf("round %d: teams %d and %d differ by %.2f seconds per weight, bound %.2f", round, a, b, difference, bound)
					}
				}
			}
		}
	})
}
