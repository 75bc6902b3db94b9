package balancer

import (
	"cmp"
	"math/bits"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	defaultSubsetSize = 20
	// remoteShare reserves this part of the subset, as a divisor, for other failure
	// domains, so that spillover is possible however many upstreams the own one has.
	remoteShare = 4
)

// rebuild computes the subset from the pool and the peers.
func (b *Balancer) rebuild(now time.Duration) {
	for _, u := range b.subset {
		u.inSubset = false
	}
	nLocal, nRemote := subsetSeats(b.o.SubsetSize, len(b.local), len(b.remote))
	b.subset = b.subset[:0]
	b.subset = arc(b.subset, b.local, b.rank, b.peers, nLocal, 0)
	b.localCount = len(b.subset)
	// The offset keeps the instances of different domains from all starting at the
	// same remote upstream.
	offset, _ := bits.Mul64(xxhash.Sum64String(b.o.Domain), uint64(len(b.remote)))
	b.subset = arc(b.subset, b.remote, b.rank, b.peers, nRemote, int(offset))
	for _, u := range b.subset {
		u.inSubset = true
	}
	b.straggleAt = 0
	b.updateStragglers(now)
}

// subsetSeats divides the subset between the own and the other failure domains.
func subsetSeats(size, local, remote int) (int, int) {
	reserved := min(remote, size/remoteShare)
	l := min(local, size-reserved)
	return l, min(remote, size-l)
}

// arc appends size consecutive upstreams of the ring, beginning at the share of the
// ring that belongs to the instance with this rank among peers instances. The starts
// are spread as evenly as integers can be, so any two upstreams are covered by
// numbers of instances that differ by at most one. When an instance joins, each
// start moves by at most len(ring)/peers+1 positions.
func arc(dst, ring []*upstream, rank, peers, size, offset int) []*upstream {
	if len(ring) == 0 {
		return dst
	}
	start := rank*len(ring)/peers + offset
	for i := range min(size, len(ring)) {
		dst = append(dst, ring[(start+i)%len(ring)])
	}
	return dst
}

// setPeers sets the rank of this instance among the live ones.
func (b *Balancer) setPeers(instances []string) {
	names := append(slices.Clone(instances), b.o.Instance)
	slices.Sort(names)
	names = slices.Compact(names)
	b.peers = len(names)
	b.rank, _ = slices.BinarySearch(names, b.o.Instance)
}

// splitPool orders the upstreams that aren't leaving into the rings of the own and of
// the other failure domains.
func (b *Balancer) splitPool() {
	b.local, b.remote = b.local[:0], b.remote[:0]
	for _, u := range b.pool {
		switch {
		case u.Leaving:
		case u.remote:
			b.remote = append(b.remote, u)
		default:
			b.local = append(b.local, u)
		}
	}
	byHash := func(x, y *upstream) int {
		return cmp.Or(cmp.Compare(x.hash, y.hash), cmp.Compare(x.Name, y.Name))
	}
	slices.SortFunc(b.local, byHash)
	slices.SortFunc(b.remote, byHash)
}
