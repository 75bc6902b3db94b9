package fairqueue

import (
	"fmt"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yuccabridge/yuccabridge/internal/rapidflags"
)

// Long campaign: go test ./internal/state/fairqueue -run TestQueue -rapid.seed=0 -rapid.checks=100000
func init() { rapidflags.Set(rapidflags.Defaults{Seed: 20261203, Checks: 150, Steps: 100}) }

const maxCost = 9

var teamWeights = []int{1, 2, 3, 5}

func teamName(i int) string { return fmt.Sprint("t", i) }

// oracle keeps the waiting entries as a plain list in push order.
type oracle struct {
	q              *Queue[int]
	limit, reserve int
	waiting        []*Entry[int]
	protected      map[*Entry[int]]bool
	deferred       map[*Entry[int]]bool
	pushed         int
}

// outside returns the entries of a tier that count against the limit.
func (o *oracle) outside(tier int) (open []*Entry[int]) {
	skip := o.reserve * min(tier-1, 1) // tier 1 has none
	for _, e := range o.waiting {
		switch {
		case e.Tier != tier || e.Retry || o.protected[e]:
		case skip > 0:
			skip--
		default:
			open = append(open, e)
		}
	}
	return open
}

// victim is the expected result of Victim.
func (o *oracle) victim() *Entry[int] {
	total := 0
	var victim *Entry[int]
	for tier := 1; tier <= 3; tier++ {
		open := o.outside(tier)
		total += len(open)
		load := map[string]int{}
		for _, e := range open {
			load[e.Team] += 60 / e.Weight
		}
		for i, e := range open {
			if i == 0 || load[e.Team] >= load[victim.Team] {
				victim = e
			}
		}
	}
	if total <= o.limit {
		return nil
	}
	return victim
}

// head is the entry of a team that must run first.
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

func (o *oracle) leave(e *Entry[int]) {
	o.waiting = slices.DeleteFunc(o.waiting, func(x *Entry[int]) bool { return x == e })
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

// take guards against requests out of order within a tier and a team.
func (o *oracle) take(t *rapid.T) {
	tier, ok := o.q.Best()
	if !ok {
		t.Skip("empty") // rapid draws another action
	}
	e := o.q.Head(tier)
	if want := o.head(tier, e.Team); e != want {
		t.Fatalf("head of team %s is entry %d, want %d", e.Team, e.Value, want.Value)
	}
	if o.deferred[e] {
		for _, x := range o.waiting {
			if x.Tier == tier && !o.deferred[x] {
				t.Fatalf("entry %d is deferred, but comes before entry %d", e.Value, x.Value)
			}
		}
	}
	o.q.Take(e)
	o.leave(e)
}

// deferHead puts the head of a tier behind the others.
func (o *oracle) deferHead(t *rapid.T) {
	tier, ok := o.q.Best()
	if !ok {
		t.Skip("empty") // rapid draws another action
	}
	e := o.q.Head(tier)
	o.q.Defer(e)
	o.deferred[e] = o.deferred[e] || !e.Retry
	if e.Deferred() != o.deferred[e] {
		t.Fatalf("entry %d: deferred %v, want %v", e.Value, e.Deferred(), o.deferred[e])
	}
}

// disturb takes, protects or removes an entry out of turn.
func (o *oracle) disturb(t *rapid.T) {
	if len(o.waiting) == 0 {
		t.Skip("empty") // rapid draws another action
	}
	e := rapid.SampledFrom(o.waiting).Draw(t, "entry")
	switch rapid.IntRange(0, 2).Draw(t, "how") {
	case 0:
		o.q.Remove(e)
		o.leave(e)
	case 1:
		o.q.Take(e)
		o.leave(e)
	default:
		o.protected[e] = o.protected[e] || slices.Contains(o.outside(e.Tier), e)
		o.q.Protect(e)
	}
}

// check guards against wrong victims, tiers and counts.
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

func TestQueue(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		o := &oracle{
			limit: rapid.IntRange(1, 12).Draw(t, "limit"), reserve: rapid.IntRange(0, 3).Draw(t, "reserve"),
			protected: map[*Entry[int]]bool{}, deferred: map[*Entry[int]]bool{},
		}
		o.q = New[int](o.limit, o.reserve, 1)
		t.Repeat(map[string]func(*rapid.T){
			"push": o.push, "push again": o.push, "push more": o.push, "take": o.take, "disturb": o.disturb, "defer": o.deferHead, "": o.check,
		})
	})
}

// TestShares guards against a team that gets more than its weight: by a burst,
// by coming back after an idle time, by a queue that it lets run empty again
// and again, or by requests that cost more. Every pair of teams that wait may
// differ by at most one request of each, per weight.
func TestShares(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const tier, late, rounds = 2, 60, 180
		q := New[int](10_000, rapid.IntRange(0, 300).Draw(t, "reserve"), 1)
		weights := rapid.SliceOfN(rapid.IntRange(1, 5), 3, 8).Draw(t, "weights")
		costs := rapid.SliceOfN(rapid.IntRange(1, maxCost), 7, 7).Draw(t, "costs")
		push := func(team, n int) {
			for i := range n {
				q.Push(&Entry[int]{Tier: tier, Team: fmt.Sprint(team), Weight: weights[team], Cost: float64(costs[(i+team)%7]), Value: team})
			}
		}
		// Team 0 comes late, team 1 has one request at a time, the others send a burst.
		push(1, 1)
		for team := 2; team < len(weights); team++ {
			push(team, rounds)
		}
		served := make([]float64, len(weights))
		first := 1
		for round := range rounds {
			if round == late {
				push(0, rounds)
				clear(served)
				first = 0
			}
			e := q.Head(tier)
			q.Take(e)
			if e.Value == 1 {
				push(1, 1)
			}
			served[e.Value] += e.Cost / float64(e.Weight)
			for a := first; a < len(served); a++ {
				for b := first; b < a; b++ {
					bound := maxCost/float64(weights[a]) + maxCost/float64(weights[b]) + 1e-9
					if lag := served[a] - served[b]; max(lag, -lag) > bound {
						t.Fatalf("round %d: teams %d and %d differ by %.2f seconds per weight, bound %.2f", round, a, b, lag, bound)
					}
				}
			}
		}
	})
}
