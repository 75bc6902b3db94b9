package readers

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccabridge/yuccabridge/internal/coordination/membership"
)

// Choose returns the first live members of a failure domain, at most count, in an order that all instances
// with the same view compute alike.
func Choose(members []membership.Member, domain string, count int) []membership.Member {
	type candidate struct {
		member membership.Member
		hash   uint64
	}
	var candidates []candidate
	for _, m := range members {
		if m.FailureDomain == domain {
			candidates = append(candidates, candidate{m, xxhash.Sum64String(m.Name)})
		}
	}
	slices.SortFunc(candidates, func(a, b candidate) int {
		// Two processes may have one name for a moment.
		return cmp.Or(cmp.Compare(a.hash, b.hash), a.member.Incarnation.Process.Compare(b.member.Incarnation.Process))
	})
	chosen := make([]membership.Member, min(count, len(candidates)))
	for i := range chosen {
		chosen[i] = candidates[i].member
	}
	return chosen
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
