package estimate

import (
	"math"
	"slices"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/yuccabridge/yuccabridge/internal/rapidflags"
)

// Long run: go test ./internal/state/estimate -run Test -rapid.seed=0 -rapid.checks=100000
func init() { rapidflags.Set(rapidflags.Defaults{Seed: 20261203, Checks: 300, Steps: 100}) }

// TestMeanDecays guards against a mean that is outside the range of its samples,
// ignores a lasting change, or never becomes unknown without new samples.
func TestMeanDecays(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var m Mean
		if _, ok := m.Value(0); ok {
			t.Fatal("an empty mean has a known value")
		}
		now := time.Duration(0)
		samples := rapid.SliceOfN(rapid.Float64Range(0.01, 100), 1, 60).Draw(t, "samples")
		for _, sample := range samples {
			now += time.Duration(rapid.IntRange(0, 3000).Draw(t, "gap ms")) * time.Millisecond
			m.Add(now, sample)
		}
		if v, ok := m.Value(now); !ok || v < slices.Min(samples)-1e-9 || v > slices.Max(samples)+1e-9 {
			t.Fatalf("mean %v (known: %v) is outside the range of the samples %v", v, ok, samples)
		}
		if _, ok := m.Value(now + 7*HalfLife + time.Second); ok {
			t.Fatal("mean is still known after 7 half-lives without a sample")
		}
		for range 150 {
			m.Add(now, 7)
		}
		if v, _ := m.Value(now); math.Abs(v-7) > 1 {
			t.Fatalf("mean %.2f after 150 samples of 7", v)
		}
	})
}

// TestCapacityLearnsSlots guards against a wrong service rate: requests with different
// service times run in an undeclared number of slots while others wait.
func TestCapacityLearnsSlots(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		slots := rapid.IntRange(1, 40).Draw(t, "slots")
		meanServiceMS := rapid.IntRange(20, 2000).Draw(t, "service ms")
		var c Capacity
		if _, ok := c.Value(0); ok {
			t.Fatal("capacity is known without evidence")
		}
		c.Set(0, 1, false)
		c.Set(time.Hour, slots, true)
		if v, ok := c.Value(time.Hour); ok {
			t.Fatalf("capacity %v although no request has waited", v)
		}
		if v, ok := c.Value(time.Hour + 200*time.Millisecond); !ok || math.Abs(v-float64(slots)) > 1e-6 {
			t.Fatalf("capacity before a completion is %v (known: %v), want the %d in flight", v, ok, slots)
		}
		c = Capacity{}
		c.Set(0, slots, true)
		ends := make([]time.Duration, slots)
		starts := make([]time.Duration, slots)
		drawService := func() time.Duration {
			return time.Duration(rapid.IntRange(meanServiceMS/2, meanServiceMS*3/2).Draw(t, "ms")) * time.Millisecond
		}
		for i := range ends {
			ends[i] = drawService()
		}
		now := time.Duration(0)
		for range 300 + 4*slots {
			now = slices.Min(ends)
			i := slices.Index(ends, now)
			c.Complete(now, (now - starts[i]).Seconds())
			c.Set(now, slots, true)
			starts[i], ends[i] = now, now+drawService()
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

// TestSketch guards against quantiles of a recent window whose error exceeds the stated
// bound of 6%, that follow a change too late, or that never become unknown.
func TestSketch(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s := NewSketch()
		if _, ok := s.Median(0); ok {
			t.Fatal("an empty sketch has a known median")
		}
		s.Add(0, 1<<60)
		for range rapid.IntRange(0, 300).Draw(t, "old samples") {
			s.Add(0, int64(rapid.IntRange(0, 100_000).Draw(t, "old")))
		}
		minSample := rapid.IntRange(0, 50_000).Draw(t, "base")
		const sampleCount = histogramCount*histogramSamples + refreshInterval
		for i := range sampleCount {
			s.Add(time.Second, int64(minSample+minSample*(i%100)/100))
		}
		for _, q := range []struct {
			name     string
			quantile func(time.Duration) (int64, bool)
			want     float64
		}{{"median", s.Median, 1.5}, {"p95", s.P95, 1.95}} {
			v, ok := q.quantile(time.Second)
			if want := q.want * float64(minSample); !ok || math.Abs(float64(v)-want) > 0.1*want+1 {
				t.Fatalf("%s is %d (known: %v), want %.0f", q.name, v, ok, want)
			}
			if _, ok := q.quantile(2*time.Second + staleAfter); ok {
				t.Fatalf("%s is still known after staleAfter without a sample", q.name)
			}
		}
	})
}
