package quarantine

import (
	"fmt"
	"math/rand/v2"
	"testing"
)

// newFilledQuarantine returns a quarantine after n suspicions of 100 teams, and their
// fingerprints.
func newFilledQuarantine(n int) (*Quarantine, []Fingerprint) {
	q := New(Options{})
	rng := rand.New(rand.NewPCG(5, 6))
	fingerprints := make([]Fingerprint, n)
	for i := range fingerprints {
		fingerprints[i] = Fingerprint(rng.Uint64())
		q.Merge(0, []Suspicion{{Fingerprint: fingerprints[i], Team: fmt.Sprint("team", i%100), Crashes: []CrashID{{"u1", "1"}}}})
	}
	return q, fingerprints
}

// BenchmarkRequest measures Check, Started and Completed for a request that is not a suspect.
func BenchmarkRequest(b *testing.B) {
	for _, n := range []int{0, DefaultMaxEntries} {
		b.Run(fmt.Sprint("suspects=", n), func(b *testing.B) {
			q, _ := newFilledQuarantine(n)
			b.ReportAllocs()
			b.RunParallel(func(pb *testing.PB) {
				f := Fingerprint(rand.Uint64())
				for pb.Next() {
					f += 7
					_ = q.Check(0, f)
					q.Started(0, f, "team", "u1")
					q.Completed(0, f, "u1")
				}
			})
		})
	}
}

// BenchmarkCrash measures the crash of an upstream that runs 64 requests, in a full quarantine.
func BenchmarkCrash(b *testing.B) {
	q, _ := newFilledQuarantine(DefaultMaxEntries)
	b.ReportAllocs()
	f := Fingerprint(0)
	for i := 0; b.Loop(); i++ {
		for range 64 {
			f++
			q.Started(0, f, "team", "u")
		}
		q.UpstreamCrashed(0, CrashID{"u", fmt.Sprint(i)})
	}
}

// BenchmarkMergeFull measures merging a suspicion that evicts an entry.
func BenchmarkMergeFull(b *testing.B) {
	q, _ := newFilledQuarantine(2 * DefaultMaxEntries)
	b.ReportAllocs()
	f := Fingerprint(0)
	for b.Loop() {
		f++
		q.Merge(0, []Suspicion{{Fingerprint: f, Team: "team", Crashes: []CrashID{{"u1", "1"}}}})
	}
}
