package balancer

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"
)

// BenchmarkPickDone measures one request with prefix affinity against a pool with 8
// requests in flight.
func BenchmarkPickDone(b *testing.B) {
	for _, n := range []int{4, 60, 600} {
		b.Run(fmt.Sprint(n), func(b *testing.B) {
			bal := New(Options{Instance: "i0", Domain: "d0", Peers: []string{"i1", "i2"}}, rand.New(rand.NewPCG(1, 1)))
			ups := make([]Upstream, n)
			for i := range ups {
				ups[i] = Upstream{Name: fmt.Sprintf("u%d", i), Domain: fmt.Sprintf("d%d", i%4)}
			}
			bal.Update(0, ups)
			bal.CacheEvent(0, "u0", 1, true)
			var inFlight [8]Pick
			now := time.Duration(0)
			result := Result{FirstToken: 100 * time.Millisecond, TokenInterval: 20 * time.Millisecond, Service: time.Second}
			b.ReportAllocs()
			for i := 0; b.Loop(); i++ {
				now += time.Millisecond
				bal.Done(now, inFlight[i%len(inFlight)], result)
				bal.Free(now)
				inFlight[i%len(inFlight)], _ = bal.Pick(now, Request{Affinity: uint64(i % 64)})
			}
		})
	}
}
