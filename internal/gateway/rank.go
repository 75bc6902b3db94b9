package gateway

import (
	"cmp"
	"slices"

	"github.com/yuccabridge/yuccabridge/internal/coordination/dispatch"
)

// priorities are the two priorities that determine the urgency of a request: that of its team,
// or of its route if the team has none, precedes that of its route. Negative ones count as 0.
type priorities struct{ first, route int }

func newPriorities(team *int, route int) priorities {
	p := priorities{first: max(route, 0), route: max(route, 0)}
	if team != nil {
		p.first = max(*team, 0)
	}
	return p
}

// rankTable maps the priorities in use in a configuration to ranks of the same order.
type rankTable map[priorities]int

// newRankTable computes the ranks of a configuration. A rank depends only on its own priorities
// and on the largest route priority while all ranks are below [dispatch.Ranks]: instances that
// have not yet activated a new configuration then agree with the others on the ranks of requests
// that it does not change. Otherwise the priorities in use are numbered, and the least urgent
// share the last rank.
func newRankTable(c *Configuration) rankTable {
	used, routeLevels := prioritiesInUse(c), routePriorityLevels(c)
	spaced := func(p priorities) int { return p.first*routeLevels + min(p.route, routeLevels-1) }
	allFit := len(used) == 0 || spaced(used[len(used)-1]) < dispatch.Ranks
	table := rankTable{}
	for i, p := range used {
		if allFit {
			table[p] = spaced(p)
		} else {
			table[p] = min(i, dispatch.Ranks-1)
		}
	}
	return table
}

// rank returns the rank for the priorities of a request.
func (t rankTable) rank(p priorities) int {
	if rank, ok := t[p]; ok {
		return rank
	}
	return dispatch.Ranks - 1
}

// routePriorityLevels returns the number of route priorities that are distinguished within one
// team priority. Without team priorities the two priorities of a request are equal.
func routePriorityLevels(c *Configuration) int {
	levels := 1
	if slices.ContainsFunc(c.Teams, func(t Team) bool { return t.Priority != nil }) {
		for i := range c.Routes {
			levels = max(levels, c.Routes[i].Priority+1)
		}
	}
	return levels
}

// prioritiesInUse returns the priorities of all requests that the configuration allows, without
// duplicates, the most urgent first.
func prioritiesInUse(c *Configuration) []priorities {
	var teamPriorities []*int // without duplicates
	for i := range c.Teams {
		team := c.Teams[i].Priority
		if !slices.ContainsFunc(teamPriorities, func(p *int) bool { return p == team || p != nil && team != nil && *p == *team }) {
			teamPriorities = append(teamPriorities, team)
		}
	}
	var used []priorities
	for i := range c.Routes {
		route := &c.Routes[i]
		if route.Public || len(c.Teams) == 0 {
			used = append(used, newPriorities(nil, route.Priority))
		}
		for _, team := range teamPriorities {
			used = append(used, newPriorities(team, route.Priority))
		}
	}
	slices.SortFunc(used, func(a, b priorities) int { return cmp.Or(cmp.Compare(a.first, b.first), cmp.Compare(a.route, b.route)) })
	return slices.Compact(used)
}
