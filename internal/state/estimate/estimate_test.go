package estimate

import (
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yuccabridge/yuccabridge/internal/rapidflags"
)

// Long campaign: go test ./internal/state/estimate -run Test -rapid.seed=0 -rapid.checks=100000
func init() { rapidflags.Set(rapidflags.Defaults{Seed: 20261203, Checks: 300, Steps: 100}) }

// TestMeanForgets guards against a mean that leaves the range of its samples,
// ignores a lasting change, or stays known for ever without new samples.
func TestMeanForgets(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m Mean
		if _, ok := m.Value(0); ok {
			t.Fatal("an empty mean is known")
		}
		now := time.Duration(0)
		xs := rapid.SliceOfN(rapid.Float64Range(0.01, 100), 1, 60).Draw(t, "samples")
		for _, x := range xs {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "gap ms")) * time.Millisecond
			m.Add(now, x)
		}
		if v, ok := m.Value(now); !ok || v < slices.Min(xs)-1e-9 || v > slices.Max(xs)+1e-9 {
			t.Fatalf("mean %v, %v outside of the samples %v", v, ok, xs)
		}
		if _, ok := m.Value(now + 7*HalfLife + time.Second); ok {
			t.Fatal("still known after 7 half-lives without a sample")
		}
		for range 150 {
			m.Add(now, 7)
		}
		if v, _ := m.Value(now); math.Abs(v-7) > 1 {
			t.Fatalf("mean %.2f after 150 samples of 7", v)
		}
	})
}

// TestCapacityLearnsSlots guards against a wrong service rate: requests run in
// an undeclared number of slots with unlike service times while others wait.
func TestCapacityLearnsSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 40).Draw(t, "slots")
		base := rapid.IntRange(20, 2000).Draw(t, "service ms")
		var c Capacity
		if _, ok := c.Value(0); ok {
			t.Fatal("known without evidence")
		}
		c.Set(0, 1, false)
		c.Set(time.Hour, slots, true)
		if v, ok := c.Value(time.Hour); ok {
			t.Fatalf("capacity %v although no request has waited", v)
		}
		if v, ok := c.Value(time.Hour + 200*time.Millisecond); !ok || math.Abs(v-float64(slots)) > 1e-6 {
			t.Fatalf("before a completion: %v, %v, want the %d in flight", v, ok, slots)
		}
		c = Capacity{}
		c.Set(0, slots, true)
		ends := make([]time.Duration, slots)
		starts := make([]time.Duration, slots)
		draw := func() time.Duration {
			return time.Duration(rapid.IntRange(base/2, base*3/2).Draw(t, "ms")) * time.Millisecond
		}
		for i := range ends {
			ends[i] = draw()
		}
		now := time.Duration(0)
		for range 300 + 4*slots {
			now = slices.Min(ends)
			i := slices.Index(ends, now)
			c.Complete(now, (now - starts[i]).Seconds())
			c.Set(now, slots, true)
			starts[i], ends[i] = now, now+draw()
		}
		if v, ok := c.Value(now); !ok || math.Abs(v-float64(slots)) > 0.25*float64(slots) {
			t.Fatalf("capacity %.2f, want %d", v, slots)
		}
		c.Set(now, 0, false)
		if v, ok := c.Value(now + 3*time.Minute); ok && math.Abs(v-float64(slots)) > 0.25*float64(slots) {
			t.Fatalf("capacity %.2f after an idle time, want unknown or %d", v, slots)
		}
	})
}

// TestSketch guards against quantiles that are off by more than the stated 6%
// of a recent window, follow a change late, or never become unknown.
func TestSketch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewSketch()
		if _, ok := s.Median(0); ok {
			t.Fatal("an empty sketch is known")
		}
		s.Add(0, 1<<60)
		for range rapid.IntRange(0, 300).Draw(t, "old samples") {
			s.Add(0, int64(rapid.IntRange(0, 100_000).Draw(t, "old")))
		}
		base := rapid.IntRange(0, 50_000).Draw(t, "base")
		const n = sketchWindows*windowSamples + refreshEvery
		for i := range n {
			s.Add(time.Second, int64(base+base*(i%100)/100))
		}
		for _, q := range []struct {
			name string
			of   func(time.Duration) (int64, bool)
			want float64
		}{{"median", s.Median, 1.5}, {"p95", s.P95, 1.95}} {
			v, ok := q.of(time.Second)
			if want := q.want * float64(base); !ok || math.Abs(float64(v)-want) > 0.1*want+1 {
				t.Fatalf("%s %d, %v, want %.0f", q.name, v, ok, want)
			}
			if _, ok := q.of(2*time.Second + staleAfter); ok {
				t.Fatalf("%s still known when stale", q.name)
			}
		}
	})
}
