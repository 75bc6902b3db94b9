package readers

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccabridge/yuccabridge/internal/coordination/membership"
)

// Choose returns the readers of a failure domain among its live members: at most count of them, in an order
// that all instances with the same view compute alike.
func Choose(members []membership.Member, domain string, count int) []membership.Member {
	var candidates []membership.Member
	for _, m := range members {
		if m.FailureDomain == domain {
			candidates = append(candidates, m)
		}
	}
	slices.SortFunc(candidates, func(a, b membership.Member) int {
		// Two processes may have one name for a moment.
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a.Name), xxhash.Sum64String(b.Name)), a.Incarnation.Process.Compare(b.Incarnation.Process))
	})
	return candidates[:min(count, len(candidates))]
}

// PreferenceOf returns the readers in the order in which the instance of a name asks them, so that followers
// spread over the readers.
func PreferenceOf(name string, readers []membership.Member) []membership.Member {
	preference := slices.Clone(readers)
	slices.SortFunc(preference, func(a, b membership.Member) int {
		return cmp.Compare(xxhash.Sum64String(name+"/"+a.Name), xxhash.Sum64String(name+"/"+b.Name))
	})
	return preference
}
