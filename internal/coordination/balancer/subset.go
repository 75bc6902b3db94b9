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
	// remoteSubsetDivisor divides the size of the subset to give the part reserved for
	// other failure domains, so that spillover is possible regardless of the number of
	// upstreams in the own failure domain.
	remoteSubsetDivisor = 4
)

// rebuildSubset computes the subset from the pool and the peers.
func (b *Balancer) rebuildSubset(now time.Duration) {
	for _, u := range b.subset {
		u.inSubset = false
	}
	nLocal, nRemote := splitSubsetSize(b.opts.SubsetSize, len(b.localRing), len(b.remoteRing))
	b.subset = b.subset[:0]
	b.subset = appendArc(b.subset, b.localRing, b.rank, b.peerCount, nLocal, 0)
	b.localCount = len(b.subset)
	// The offset keeps instances of different failure domains from starting at the same
	// remote upstream.
	offset, _ := bits.Mul64(xxhash.Sum64String(b.opts.Domain), uint64(len(b.remoteRing)))
	b.subset = appendArc(b.subset, b.remoteRing, b.rank, b.peerCount, nRemote, int(offset))
	for _, u := range b.subset {
		u.inSubset = true
	}
	b.nextStragglerCheck = 0
	b.updateStragglers(now)
}

// splitSubsetSize returns the parts of the subset for the own and for the other failure
// domains.
func splitSubsetSize(size, local, remote int) (int, int) {
	reserved := min(remote, size/remoteSubsetDivisor)
	nLocal := min(local, size-reserved)
	return nLocal, min(remote, size-nLocal)
}

// appendArc appends count consecutive upstreams of the ring to dst, starting at the share
// of the ring of the instance with the given rank among peerCount instances. The starting
// positions are spread as evenly as integers allow, so the numbers of instances that use
// any two upstreams differ by at most one. When an instance joins, each starting position
// moves by at most len(ring)/peerCount+1.
func appendArc(dst, ring []*upstream, rank, peerCount, count, offset int) []*upstream {
	if len(ring) == 0 {
		return dst
	}
	start := rank*len(ring)/peerCount + offset
	for i := range min(count, len(ring)) {
		dst = append(dst, ring[(start+i)%len(ring)])
	}
	return dst
}

// setPeers sets the rank of this instance among the live instances and their number.
func (b *Balancer) setPeers(instances []string) {
	names := append(slices.Clone(instances), b.opts.Instance)
	slices.Sort(names)
	names = slices.Compact(names)
	b.peerCount = len(names)
	b.rank, _ = slices.BinarySearch(names, b.opts.Instance)
}

// rebuildRings orders the upstreams that are not leaving by hash, separately for the own
// and for the other failure domains.
func (b *Balancer) rebuildRings() {
	b.localRing, b.remoteRing = b.localRing[:0], b.remoteRing[:0]
	for _, u := range b.pool {
		switch {
		case u.Leaving:
		case u.remote:
			b.remoteRing = append(b.remoteRing, u)
		default:
			b.localRing = append(b.localRing, u)
		}
	}
	byHash := func(x, y *upstream) int {
		return cmp.Or(cmp.Compare(x.nameHash, y.nameHash), cmp.Compare(x.Name, y.Name))
	}
	slices.SortFunc(b.localRing, byHash)
	slices.SortFunc(b.remoteRing, byHash)
}
