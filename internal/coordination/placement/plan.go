package placement

import (
	"bytes"
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// downDivisor is the inverse of the share of a model's engines that may change at a
// time.
const downDivisor = 4

// Limit is the number of a model's engines that may change at a time.
func Limit(engines int) int { return max(1, engines/downDivisor) }

// domains counts the failure domains with managed engines.
func (p Plan) domains() int {
	seen := map[string]bool{}
	for _, e := range p.Engines {
		seen[e.Domain] = true
	}
	return max(1, len(seen))
}

// GiversPerDomain is the highest number of givers in a failure domain. More givers than
// concurrent loads or loads per minute would each have a part below one.
func (p Plan) GiversPerDomain() int {
	return max(1, min(p.LoadsPerMinute, p.ConcurrentLoads)/p.domains())
}

// ordered returns the engines of a model in the order of their changes. Hashing the
// names spreads neighbours in the order over the failure domains.
func (p Plan) ordered(model string) []string {
	var names []string
	for _, e := range p.Engines {
		if e.Model == model {
			names = append(names, e.Name)
		}
	}
	slices.SortFunc(names, func(a, b string) int {
		return cmp.Or(cmp.Compare(xxhash.Sum64String(a), xxhash.Sum64String(b)), cmp.Compare(a, b))
	})
	return names
}

// byRendezvous sorts members by their hash with a key, the highest first.
func byRendezvous(key string, members []Member) []Member {
	sorted := slices.Clone(members)
	hash := func(m Member) uint64 { return xxhash.Sum64(append([]byte(key+"\x00"), m.ID[:]...)) }
	slices.SortFunc(sorted, func(a, b Member) int {
		return cmp.Or(cmp.Compare(hash(b), hash(a)), bytes.Compare(a.ID[:], b.ID[:]))
	})
	return sorted
}

// Givers returns the members of a failure domain that give commands.
func Givers(p Plan, domain string, members []Member) []Member {
	own := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Domain != domain })
	sorted := slices.Compact(byRendezvous("givers\x00"+domain, own))
	return sorted[:min(p.GiversPerDomain(), len(sorted))]
}

// GiverOf returns the member that gives an engine its commands; false without a live
// member in its domain.
func GiverOf(p Plan, e Engine, members []Member) (Member, bool) {
	givers := Givers(p, e.Domain, members)
	if len(givers) == 0 {
		return Member{}, false
	}
	return byRendezvous(e.Name, givers)[0], true
}
