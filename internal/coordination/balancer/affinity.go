package balancer

import (
	"math"
	"time"
)

const (
	// loadBoundFactor is the largest load of an affinity candidate relative to the mean.
	loadBoundFactor = 1.25
	// cacheHintWeight is the rendezvous weight of an upstream that has reported the
	// prefix in its cache; other upstreams have weight 1. Cache events can be lost, so a
	// hint does not decide the selection alone.
	cacheHintWeight = 4
	// cacheHintTTL is the time after which a hint expires unless it is renewed. Caches
	// evict prefixes because their memory is limited, and the eviction event can be lost.
	cacheHintTTL = time.Minute
	// cacheHintTableSize is the number of entries of the hint table, which takes 96 KiB.
	cacheHintTableSize = 4096
)

// cacheHint records that one incarnation of an upstream has a prefix in its cache.
type cacheHint struct {
	prefixHash uint64
	epoch      uint32
	expiresAt  time.Duration
}

// cacheHintTable is a direct-mapped table. A collision overwrites an entry, which loses
// one hint.
type cacheHintTable struct{ entries []cacheHint }

func (t *cacheHintTable) entry(prefixHash uint64, epoch uint32) *cacheHint {
	return &t.entries[mix64(prefixHash^uint64(epoch)<<32)%cacheHintTableSize]
}

func (t *cacheHintTable) set(now time.Duration, prefixHash uint64, epoch uint32, present bool) {
	if t.entries == nil {
		if !present {
			return
		}
		t.entries = make([]cacheHint, cacheHintTableSize)
	}
	hint := t.entry(prefixHash, epoch)
	switch {
	case present:
		*hint = cacheHint{prefixHash: prefixHash, epoch: epoch, expiresAt: now + cacheHintTTL}
	case hint.prefixHash == prefixHash && hint.epoch == epoch:
		*hint = cacheHint{}
	}
}

func (t *cacheHintTable) present(now time.Duration, prefixHash uint64, epoch uint32) bool {
	if t.entries == nil {
		return false
	}
	hint := t.entry(prefixHash, epoch)
	return hint.prefixHash == prefixHash && hint.epoch == epoch && now < hint.expiresAt
}

// mix64 is the finalizer of SplitMix64.
func mix64(hash uint64) uint64 {
	hash ^= hash >> 30
	hash *= 0xbf58476d1ce4e5b9
	hash ^= hash >> 27
	hash *= 0x94d049bb133111eb
	return hash ^ hash>>31
}

// rendezvousScore returns the weighted rendezvous score of an upstream for a prefix. The
// upstream with the highest score is preferred.
func rendezvousScore(prefixHash, upstreamHash uint64, weight float64) float64 {
	hash := mix64(prefixHash ^ mix64(upstreamHash))
	uniform := (float64(hash>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(uniform)
}

// affinityCandidates returns the two upstreams with the highest rendezvous scores. second
// is nil when there is only one upstream.
func (b *Balancer) affinityCandidates(now time.Duration, prefixHash uint64, upstreams []*upstream) (first, second *upstream) {
	var firstScore, secondScore float64
	for _, u := range upstreams {
		weight := 1.0
		if b.cacheHints.present(now, prefixHash, u.epoch) {
			weight = cacheHintWeight
		}
		score := rendezvousScore(prefixHash, u.nameHash, weight)
		switch {
		case first == nil || score > firstScore:
			first, second, firstScore, secondScore = u, first, score, firstScore
		case second == nil || score > secondScore:
			second, secondScore = u, score
		}
	}
	return first, second
}
