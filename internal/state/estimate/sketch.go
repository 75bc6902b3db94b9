package estimate

import (
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"
)

const (
	// The window consists of histogramCount histograms, each of at most
	// histogramSamples samples or maxHistogramAge. An estimate thus follows a change
	// within 256 samples.
	histogramCount   = 2
	histogramSamples = 128
	maxHistogramAge  = 30 * time.Second
	// maxSketchValue is the greatest value that is distinguished: one hour in
	// milliseconds, or as many tokens.
	maxSketchValue = 3_600_000
	// With significantDigits of 1 the error is at most 6% and a histogram takes 3 KB.
	significantDigits = 1
	// refreshInterval is the number of samples between two computations of the quantiles.
	refreshInterval = 16
	// staleAfter is the time without a sample after which the quantiles are unknown. It
	// matches the 7 half-lives of the other estimates.
	staleAfter = 7 * HalfLife
)

// Sketch estimates the median and the 95th percentile of whole numbers in
// [0, 3,600,000], such as milliseconds or tokens. Greater values count as 3,600,000.
type Sketch struct {
	window       *hdrhistogram.WindowedHistogram
	currentSince time.Duration // time of the first sample in the current histogram
	last         time.Duration
	sampleCount  int
	median, p95  int64
}

// NewSketch returns an empty sketch.
func NewSketch() *Sketch {
	return &Sketch{window: hdrhistogram.NewWindowed(histogramCount, 1, maxSketchValue, significantDigits)}
}

// Add records a sample.
func (s *Sketch) Add(now time.Duration, value int64) {
	current := s.window.Current
	if n := current.TotalCount(); n >= histogramSamples || n > 0 && now-s.currentSince > maxHistogramAge {
		s.window.Rotate()
		s.currentSince = now
	} else if n == 0 {
		s.currentSince = now
	}
	// RecordValue fails only for values outside the range, which min and max exclude.
	_ = s.window.Current.RecordValue(min(max(value, 0), maxSketchValue))
	s.last = now
	s.sampleCount++
	if s.sampleCount <= refreshInterval || s.sampleCount%refreshInterval == 0 {
		merged := s.window.Merge()
		s.median, s.p95 = merged.ValueAtQuantile(50), merged.ValueAtQuantile(95)
	}
}

// Median returns the median, and false while it is unknown.
func (s *Sketch) Median(now time.Duration) (int64, bool) { return s.median, s.known(now) }

// P95 returns the 95th percentile, and false while it is unknown.
func (s *Sketch) P95(now time.Duration) (int64, bool) { return s.p95, s.known(now) }

func (s *Sketch) known(now time.Duration) bool { return s.sampleCount > 0 && now-s.last <= staleAfter }
