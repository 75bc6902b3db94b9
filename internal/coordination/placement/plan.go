package placement

import (
	"bytes"
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// changeDivisor is the inverse of the fraction of a model's engines that may change at
// the same time.
const changeDivisor = 4

// MaxConcurrentChanges returns how many of a model's engines may change at the same time.
func MaxConcurrentChanges(engines int) int { return max(1, engines/changeDivisor) }

// domainCount returns the number of failure domains with managed engines, at least 1.
func (p Plan) domainCount() int {
	seen := map[string]bool{}
	for _, e := range p.Engines {
		seen[e.Domain] = true
	}
	return max(1, len(seen))
}

// ControllersPerDomain returns the maximum number of controllers in a failure domain.
// With more controllers than concurrent loads or loads per minute, each would have a
// share below one.
func (p Plan) ControllersPerDomain() int {
	return max(1, min(p.LoadsPerMinute, p.ConcurrentLoads)/p.domainCount())
}

// changeOrder returns the engines of a model in the order in which they change. Ordering
// by the hash of the name spreads neighbours in the order over the failure domains.
func (p Plan) changeOrder(model string) []string {
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

// rankByHash orders members by their rendezvous hash with key, highest first.
func rankByHash(key string, members []Member) []Member {
	ranked := slices.Clone(members)
	hash := func(m Member) uint64 { return xxhash.Sum64(append([]byte(key+"\x00"), m.ID[:]...)) }
	slices.SortFunc(ranked, func(a, b Member) int {
		return cmp.Or(cmp.Compare(hash(b), hash(a)), bytes.Compare(a.ID[:], b.ID[:]))
	})
	return ranked
}

// Controllers returns the members that send commands to the engines of a failure domain.
func Controllers(p Plan, domain string, members []Member) []Member {
	inDomain := slices.DeleteFunc(slices.Clone(members), func(m Member) bool { return m.Domain != domain })
	// The prefix is an input of the hash: instances with different prefixes would choose
	// different controllers.
	ranked := slices.Compact(rankByHash("givers\x00"+domain, inDomain))
	return ranked[:min(p.ControllersPerDomain(), len(ranked))]
}

// ControllerOf returns the member that sends an engine its commands, and false if the
// engine's domain has no live member.
func ControllerOf(p Plan, e Engine, members []Member) (Member, bool) {
	controllers := Controllers(p, e.Domain, members)
	if len(controllers) == 0 {
		return Member{}, false
	}
	return rankByHash(e.Name, controllers)[0], true
}
