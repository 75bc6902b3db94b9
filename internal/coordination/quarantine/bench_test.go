package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

func fill(n int) (*Quarantine, []Fingerprint) {
	q := New(Options{})
	rng := rand.New(rand.NewPCG(5, 6))
	fs := make([]Fingerprint, n)
	for i := range fs {
		fs[i] = Fingerprint(rng.Uint64())
		q.Merge(0, []Suspicion{{Fingerprint: fs[i], Team: fmt.Sprint("team", i%100), Crashes: []CrashID{{"u1", "1"}}}})
	}
	return q, fs
}

// BenchmarkRequest measures Check, Started and Finished of a request that is no suspect.
func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{0, DefaultEntries} {
		b.Run(fmt.Sprint("suspects=", n), func(b *testing.B) {
			q, _ := fill(n)
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				f := Fingerprint(rand.Uint64())
				for pb.Next() {
					f += 7
					_ = q.Check(0, f)
					q.Started(0, f, "team", "u1")
					q.Finished(0, f, "u1")
				}
			})
		})
	}
}

// BenchmarkCrash measures a crash beside which 64 requests ran, in a full quarantine.
func BenchmarkCrash(b *testing.B) {
	q, _ := fill(DefaultEntries)
	b.ReportAllocs()
	f := Fingerprint(0)
	for i := 0; b.Loop(); i++ {
		for range 64 {
			f++
			q.Started(0, f, "team", "u")
		}
		q.Crashed(0, CrashID{"u", fmt.Sprint(i)})
	}
}

// BenchmarkMergeFull measures a suspicion from a peer that evicts an entry.
func BenchmarkMergeFull(b *testing.B) {
	q, _ := fill(2 * DefaultEntries)
	b.ReportAllocs()
	f := Fingerprint(0)
	for b.Loop() {
		f++
		q.Merge(0, []Suspicion{{Fingerprint: f, Team: "team", Crashes: []CrashID{{"u1", "1"}}}})
	}
}
