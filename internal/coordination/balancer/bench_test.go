package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkPickDone measures Pick and Done for one request with prefix affinity while 8
// requests are in flight.
func BenchmarkPickDone(b *testing.B) {
	for _, n := range []int{4, 60, 600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			balancer := New(Options{Instance: "i0", Domain: "d0", Peers: []string{"i1", "i2"}}, rand.New(rand.NewPCG(1, 1)))
			upstreams := make([]Upstream, n)
			for i := range upstreams {
				upstreams[i] = Upstream{Name: fmt.Sprintf("u%d", i), Domain: fmt.Sprintf("d%d", i%4)}
			}
			balancer.SetUpstreams(0, upstreams)
			balancer.RecordCacheEvent(0, "u0", 1, true)
			var inFlight [8]Pick
			now := time.Duration(0)
			result := Result{FirstToken: 100 * time.Millisecond, TokenInterval: 20 * time.Millisecond, ServiceTime: time.Second}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now += time.Millisecond
				balancer.Done(now, inFlight[i%len(inFlight)], result)
				balancer.FreeSlots(now)
				inFlight[i%len(inFlight)], _ = balancer.Pick(now, Request{PrefixHash: uint64(i % 64)})
			}
		})
	}
}
