package streamorigin

import (
	"cmp"
	"encoding/binary"
	"slices"
	"sync"

	"github.com/cespare/xxhash/v2"

	"github.com/yuccabridge/yuccabridge/internal/coordination/membership"
)

const (
	// homeHolders is the number of holders in the failure domain in which a stream began.
	homeHolders = 2
	// farHolders is the number of other failure domains that have a holder: the caller may return to any
	// domain, and one of them may be lost.
	farHolders = 2
	// domainsAsked is the number of domains, first in the order of the key, that include the farHolders
	// others whichever the domain of origin is.
	domainsAsked = farHolders + 1
	// maxFullCopyInstances is the number of instances up to which each record is copied to all of them, so
	// that any one knows all streams. The number of messages grows with the square of the instances.
	maxFullCopyInstances = 16
	// slotCount is the number of groups of keys that share their holders, so that the choice is made
	// once for each group and set of instances. It is a power of two.
	slotCount = 1024
)

// Placement chooses the holders of records among a set of instances. It is safe for concurrent use.
type Placement struct {
	byDomain map[string][]hashedMember
	domains  []string
	names    int

	mu         sync.Mutex
	holders    map[slotDomain][]membership.Member
	candidates map[slotDomain][]membership.Member
}

type hashedMember struct {
	member   membership.Member
	nameHash uint64
}

type slotDomain struct {
	slot   uint64
	domain string
}

// NewPlacement returns a placement among the instances, which all live.
func NewPlacement(instances []membership.Member) *Placement {
	p := &Placement{byDomain: map[string][]hashedMember{}, holders: map[slotDomain][]membership.Member{}, candidates: map[slotDomain][]membership.Member{}}
	names := map[string]bool{}
	for _, m := range instances {
		names[m.Name] = true
		p.byDomain[m.FailureDomain] = append(p.byDomain[m.FailureDomain], hashedMember{m, xxhash.Sum64String(m.Name)})
	}
	p.names = len(names)
	for domain, instances := range p.byDomain {
		// Two processes may have one name for a moment; all instances must order them alike.
		slices.SortFunc(instances, func(a, b hashedMember) int {
			return a.member.Incarnation.Process.Compare(b.member.Incarnation.Process)
		})
		p.domains = append(p.domains, domain)
	}
	return p
}

// Instances returns the number of instances. One that has started again counts once while its last process is
// still taken for live.
func (p *Placement) Instances() int { return p.names }

// FullCopies reports whether the fleet is so small that all instances have copies of all records.
func (p *Placement) FullCopies() bool { return p.names <= maxFullCopyInstances }

func slotOf(k Key) uint64 { return binary.BigEndian.Uint64(k[:]) % slotCount }

// Holders returns the holders of the record of a stream that began in a failure domain.
func (p *Placement) Holders(k Key, domain string) []membership.Member {
	return p.cached(p.holders, slotDomain{slotOf(k), domain}, p.chooseHolders)
}

// Candidates returns the instances that may hold the record of a stream, wherever it began, for an
// instance of a failure domain: those of its own domain come first. In a small fleet these are all.
func (p *Placement) Candidates(k Key, domain string) []membership.Member {
	return p.cached(p.candidates, slotDomain{slotOf(k), domain}, p.chooseCandidates)
}

func (p *Placement) cached(cache map[slotDomain][]membership.Member, key slotDomain, choose func(slotDomain) []membership.Member) []membership.Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	chosen, ok := cache[key]
	if !ok {
		chosen = choose(key)
		cache[key] = chosen
	}
	return chosen
}

func (p *Placement) chooseHolders(key slotDomain) []membership.Member {
	holders := p.first(key.slot, key.domain, homeHolders)
	others := slices.DeleteFunc(p.domainOrder(key.slot), func(domain string) bool { return domain == key.domain })
	for _, other := range others[:min(farHolders, len(others))] {
		holders = append(holders, p.first(key.slot, other, 1)...)
	}
	return holders
}

func (p *Placement) chooseCandidates(key slotDomain) []membership.Member {
	order := p.domainOrder(key.slot)
	if p.FullCopies() {
		candidates := p.first(key.slot, key.domain, len(p.byDomain[key.domain]))
		for _, other := range order {
			if other != key.domain {
				candidates = append(candidates, p.first(key.slot, other, len(p.byDomain[other]))...)
			}
		}
		return candidates
	}
	candidates := p.first(key.slot, key.domain, homeHolders)
	for _, other := range order[:min(domainsAsked, len(order))] {
		if other != key.domain {
			candidates = append(candidates, p.first(key.slot, other, 1)...)
		}
	}
	return candidates
}

// first returns the first n instances of a domain in the rendezvous order of the slot.
func (p *Placement) first(slot uint64, domain string, n int) []membership.Member {
	instances := p.byDomain[domain]
	best := make([]membership.Member, 0, n+1)
	weights := make([]uint64, 0, n+1)
	for _, instance := range instances {
		w := weight(slot, instance.nameHash)
		i, _ := slices.BinarySearchFunc(weights, w, func(held, w uint64) int { return cmp.Compare(w, held) })
		if i == n {
			continue
		}
		weights, best = slices.Insert(weights, i, w), slices.Insert(best, i, instance.member)
		weights, best = weights[:min(n, len(weights))], best[:min(n, len(best))]
	}
	return best
}

// domainOrder returns the failure domains in the rendezvous order of the slot.
func (p *Placement) domainOrder(slot uint64) []string {
	return slices.SortedFunc(slices.Values(p.domains), func(a, b string) int {
		return cmp.Or(cmp.Compare(weight(slot, xxhash.Sum64String(b)), weight(slot, xxhash.Sum64String(a))), cmp.Compare(a, b))
	})
}

// weight is the weight of a name for a slot in rendezvous hashing.
func weight(slot, nameHash uint64) uint64 {
	h := (slot+1)*0x9e3779b97f4a7c15 ^ nameHash
	h ^= h >> 32
	h *= 0xd6e8feb86659fd93
	return h ^ h>>32
}
