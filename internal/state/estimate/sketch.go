package estimate

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// sketchWindows histograms of windowSamples samples or windowAge each form
	// the window. An estimate thus follows a change within 256 samples.
	sketchWindows = 2
	windowSamples = 128
	windowAge     = 30 * time.Second
	// sketchMax is the greatest value that is told apart: an hour in
	// milliseconds, or as many tokens.
	sketchMax = 3_600_000
	// sketchDigits of 1 gives an error of at most 6% and 3 KB per histogram.
	sketchDigits = 1
	// refreshEvery is the number of samples after which the quantiles are computed again.
	refreshEvery = 16
	// staleAfter matches the 7 half-lives of the other estimates.
	staleAfter = 7 * HalfLife
)

// Sketch estimates the median and the 95th percentile of whole numbers in
// [0, 3,600,000], such as milliseconds or tokens. Greater values count as the greatest.
type Sketch struct {
	window      *hdrhistogram.WindowedHistogram
	opened      time.Duration // of the current histogram
	last        time.Duration
	samples     int
	median, p95 int64
}

// NewSketch returns an empty sketch.
func NewSketch() *Sketch {
	return &Sketch{window: hdrhistogram.NewWindowed(sketchWindows, 1, sketchMax, sketchDigits)}
}

// Add records a sample.
func (s *Sketch) Add(now time.Duration, x int64) {
	current := s.window.Current
	if n := current.TotalCount(); n >= windowSamples || n > 0 && now-s.opened > windowAge {
		s.window.Rotate()
		s.opened = now
	} else if n == 0 {
		s.opened = now
	}
	// RecordValue fails only outside the range, which the bounds exclude.
	_ = s.window.Current.RecordValue(min(max(x, 0), sketchMax))
	s.last = now
	s.samples++
	if s.samples <= refreshEvery || s.samples%refreshEvery == 0 {
		merged := s.window.Merge()
		s.median, s.p95 = merged.ValueAtQuantile(50), merged.ValueAtQuantile(95)
	}
}

// Median returns the median, and false while it is unknown.
func (s *Sketch) Median(now time.Duration) (int64, bool) { return s.median, s.known(now) }

// P95 returns the 95th percentile, and false while it is unknown.
func (s *Sketch) P95(now time.Duration) (int64, bool) { return s.p95, s.known(now) }

func (s *Sketch) known(now time.Duration) bool { return s.samples > 0 && now-s.last <= staleAfter }
