package gateway

import (
	"slices"
	"testing"
)

// rankConfiguration returns a configuration with routes and teams of these priorities. A
// negative team priority stands for a team without one.
func rankConfiguration(routePriorities, teamPriorities []int) *Configuration {
	c := &Configuration{Version: 1}
	for _, p := range routePriorities {
		c.Routes = append(c.Routes, Route{Priority: p})
	}
	for _, p := range teamPriorities {
		team := Team{}
		if p >= 0 {
			team.Priority = &p
		}
		c.Teams = append(c.Teams, team)
	}
	return c
}

// ranksOf returns the ranks of the priorities in use, from the most to the least urgent.
func ranksOf(c *Configuration) []int {
	var ranks []int
	table := newRankTable(c)
	for _, p := range prioritiesInUse(c) {
		ranks = append(ranks, table.rank(p))
	}
	return ranks
}

// Guards against ranks that merge or reverse requests of different urgency although engines
// distinguish enough priorities.
func TestRanksKeepTheOrderOfTheConfiguration(t *testing.T) {
	for _, c := range []struct {
		name           string
		routes, teams  []int
		want           []int
		allowedToMerge bool
	}{
		{"no teams", []int{0, 1, 2}, nil, []int{0, 1, 2}, false},
		{"six tiers, teams without priorities", []int{5, 4, 3, 2, 1, 0}, []int{-1, -1}, []int{0, 1, 2, 3, 4, 5}, false},
		{"teams with priorities", []int{0, 1, 2}, []int{0, 1}, []int{0, 1, 2, 3, 4, 5}, false},
		{"one of the teams has a priority", []int{0, 2}, []int{1, -1}, []int{0, 3, 5, 8}, false},
		{"priorities far apart", []int{0, 50}, []int{3, 90}, []int{0, 1, 2, 3}, false},
		{"more than engines distinguish", []int{0, 1, 2, 3, 4, 5}, []int{0, 1}, []int{0, 1, 2, 3, 4, 5, 6, 7, 8, 9, 9, 9}, true},
	} {
		got := ranksOf(rankConfiguration(c.routes, c.teams))
		if !slices.Equal(got, c.want) {
			t.Errorf("%s: ranks %v, want %v", c.name, got, c.want)
		}
		if !c.allowedToMerge && len(slices.Compact(got)) != len(got) {
			t.Errorf("%s: ranks %v are not distinct", c.name, got)
		}
	}
}

// Guards against instances that disagree on the rank of a request while a configuration that
// gives another team a new priority becomes active on one of them after the other.
func TestRankOfARequestDoesNotChangeWithThePriorityOfAnotherTeam(t *testing.T) {
	usual := 1
	before, after := newRankTable(rankConfiguration([]int{0, 1, 2}, []int{1, 1})), newRankTable(rankConfiguration([]int{0, 1, 2}, []int{1, 0}))
	for route := range 3 {
		if p := newPriorities(&usual, route); before.rank(p) != after.rank(p) {
			t.Errorf("route priority %d: rank %d before, %d after", route, before.rank(p), after.rank(p))
		}
	}
}
