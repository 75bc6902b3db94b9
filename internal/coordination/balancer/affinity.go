package balancer

import (
	"math"
	"time"
)

const (
	// boundFactor bounds the load of an affinity candidate relative to the mean.
	boundFactor = 1.25
	// hintWeight is the rendezvous weight of an upstream whose cache is reported to
	// hold the prefix; others have 1. Events have gaps, so it is not absolute.
	hintWeight = 4
	// hintTTL is the time after which an unconfirmed hint is ignored. Cache memory is
	// limited, and the event of an eviction can be lost.
	hintTTL = time.Minute
	// hintSlots is the size of the hint table, 96 KiB.
	hintSlots = 4096
)

// hint records that a prefix is in the cache of an incarnation of an upstream.
type hint struct {
	prefix  uint64
	epoch   uint32
	expires time.Duration
}

// hints is a direct-mapped table: a collision overwrites, which only loses a hint.
type hints struct{ table []hint }

func (h *hints) at(prefix uint64, epoch uint32) *hint {
	return &h.table[mix(prefix^uint64(epoch)<<32)%hintSlots]
}

func (h *hints) set(now time.Duration, prefix uint64, epoch uint32, present bool) {
	if h.table == nil {
		if !present {
			return
		}
		h.table = make([]hint, hintSlots)
	}
	e := h.at(prefix, epoch)
	switch {
	case present:
		*e = hint{prefix: prefix, epoch: epoch, expires: now + hintTTL}
	case e.prefix == prefix && e.epoch == epoch:
		*e = hint{}
	}
}

func (h *hints) present(now time.Duration, prefix uint64, epoch uint32) bool {
	if h.table == nil {
		return false
	}
	e := h.at(prefix, epoch)
	return e.prefix == prefix && e.epoch == epoch && now < e.expires
}

// mix is the finalizer of splitmix64.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}

// rendezvousScore is the weighted rendezvous score of an upstream for a prefix; the
// highest wins.
func rendezvousScore(prefix, upstream uint64, weight float64) float64 {
	h := mix(prefix ^ mix(upstream))
	unit := (float64(h>>11) + 0.5) / (1 << 53)
	return -weight / math.Log(unit)
}

// rendezvous returns the two candidates with the highest scores; the second is nil
// when there is only one.
func (b *Balancer) rendezvous(now time.Duration, prefix uint64, ups []*upstream) (first, second *upstream) {
	var s1, s2 float64
	for _, u := range ups {
		weight := 1.0
		if b.hints.present(now, prefix, u.epoch) {
			weight = hintWeight
		}
		s := rendezvousScore(prefix, u.hash, weight)
		switch {
		case first == nil || s > s1:
			first, second, s1, s2 = u, first, s, s1
		case second == nil || s > s2:
			second, s2 = u, s
		}
	}
	return first, second
}
