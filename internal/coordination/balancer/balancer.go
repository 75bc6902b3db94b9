package balancer

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Balancer selects upstreams of one model or service. It is safe for concurrent
// use.
type Balancer struct {
	mu  sync.Mutex
	o   Options
	rng *rand.Rand
	ups []Upstream
	seq uint64
}

// New returns a Balancer without upstreams.
func New(o Options, rng *rand.Rand) *Balancer { return &Balancer{o: o, rng: rng} }

// Update replaces the list of upstreams.
func (b *Balancer) Update(now time.Duration, ups []Upstream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ups = nil
	for _, u := range ups {
		if !u.Leaving {
			b.ups = append(b.ups, u)
		}
	}
}

// SetPeers replaces the list of live instances of the failure domain.
func (b *Balancer) SetPeers(now time.Duration, instances []string) {}

// Free returns the number of open slots in the subset.
func (b *Balancer) Free(now time.Duration) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.ups)
}

// Pick reserves a slot at an upstream.
func (b *Balancer) Pick(now time.Duration, r Request) (Pick, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if len(b.ups) == 0 {
		return Pick{}, false
	}
	b.seq++
	return Pick{Upstream: b.ups[b.rng.IntN(len(b.ups))], Token: b.seq}, true
}

// Done releases the slot of p, once.
func (b *Balancer) Done(now time.Duration, p Pick, r Result) {}

// ReportLoad records an upstream's load report.
func (b *Balancer) ReportLoad(now time.Duration, upstream string, l LoadReport) {}

// CacheEvent records that an upstream's prefix cache gained or lost a prefix.
func (b *Balancer) CacheEvent(now time.Duration, upstream string, prefix uint64, present bool) {}

// Snapshot returns the state of the upstreams.
func (b *Balancer) Snapshot(now time.Duration) []UpstreamState { return nil }
