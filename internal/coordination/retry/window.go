package retry

import (
	"sync"
	"time"
)

// slices is the number of parts into which a window is divided. The bound holds for every
// span of the window's length to within one slice.
const slices = 20

// Window bounds retries over a sliding window: within any span of its length at most
//
//	slack + ratio * (first tries in the span)
//
// retries are allowed. Unlike a [Budget] it saves what a quiet time did not use, so that
// all requests which an upstream loses in one crash can be sent again. Slack is granted
// only after one window, so that the windows of processes that start again and again add
// up to no more than those of one that keeps running. It is safe for concurrent use.
type Window struct {
	mu      sync.Mutex
	ratio   float64
	slack   int
	slice   time.Duration
	current int64 // number of the newest slice
	firsts  [slices + 1]int
	retries [slices + 1]int
}

// NewWindow returns a window of the given length.
func NewWindow(ratio float64, slack int, length time.Duration) *Window {
	return &Window{ratio: ratio, slack: max(slack, 0), slice: max(length/slices, 1)}
}

// advance clears the slices that have left the window. The array holds one slice more
// than the window, so that the oldest one, which lies in it only in part, still counts.
func (w *Window) advance(now time.Duration) int {
	n := int64(now / w.slice)
	for ; w.current < n; w.current++ {
		i := int((w.current + 1) % (slices + 1))
		w.firsts[i], w.retries[i] = 0, 0
		if n-w.current > slices+1 {
			w.current = n - slices - 2
		}
	}
	return int(w.current % (slices + 1))
}

// First records a first try.
func (w *Window) First(now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.firsts[w.advance(now)]++
}

// Allow takes one retry and reports whether there was one.
func (w *Window) Allow(now time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := w.advance(now)
	if !w.open(now) {
		return false
	}
	w.retries[i]++
	return true
}

// Available reports whether Allow would succeed now.
func (w *Window) Available(now time.Duration) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	return w.open(now)
}

func (w *Window) open(now time.Duration) bool {
	firsts, retries := 0, 0
	for i := range w.firsts {
		firsts += w.firsts[i]
		retries += w.retries[i]
	}
	// The oldest slice may lie outside the span: its first tries do not count, its
	// retries do.
	firsts -= w.firsts[(w.current+1)%(slices+1)]
	slack := w.slack
	if now < w.slice*slices {
		slack = 0
	}
	return float64(retries+1) <= w.ratio*float64(firsts)+float64(slack)
}
