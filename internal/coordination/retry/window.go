package retry

import (
	"sync"
	"time"
)

// bucketCount is the number of time buckets into which a window is divided. The bound is
// enforced for every span of the window's length, to a resolution of one bucket.
const bucketCount = 20

// Window bounds retries over a sliding window: within any span of its length at most
//
//	slack + ratio * (first attempts in the span)
//
// retries are allowed. Unlike a [Budget], it keeps the unused retries of the whole window, without
// a burst limit, so that all requests that an upstream loses in one crash can be sent again.
// It is safe for concurrent use.
type Window struct {
	mu            sync.Mutex
	ratio         float64
	bucketLength  time.Duration
	newestBucket  int64 // number of the newest bucket since time zero
	firstAttempts [bucketCount + 1]int
	retries       [bucketCount + 1]int
}

// NewWindow returns a window of the given length.
func NewWindow(ratio float64, length time.Duration) *Window {
	return &Window{ratio: ratio, bucketLength: max(length/bucketCount, 1)}
}

// advance clears the buckets that have left the window and returns the index of the newest one.
// The arrays hold one bucket more than the window, so that the oldest bucket, which lies only
// partly in the window, is kept.
func (w *Window) advance(now time.Duration) int {
	bucket := int64(now / w.bucketLength)
	for ; w.newestBucket < bucket; w.newestBucket++ {
		i := int((w.newestBucket + 1) % (bucketCount + 1))
		w.firstAttempts[i], w.retries[i] = 0, 0
		if bucket-w.newestBucket > bucketCount+1 {
			w.newestBucket = bucket - bucketCount - 2
		}
	}
	return int(w.newestBucket % (bucketCount + 1))
}

// RecordFirstAttempt records the first attempt of a request.
func (w *Window) RecordFirstAttempt(now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.firstAttempts[w.advance(now)]++
}

// Allow reports whether a retry is permitted with the slack. If so, it counts the retry.
func (w *Window) Allow(now time.Duration, slack int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := w.advance(now)
	if !w.hasBudget(slack) {
		return false
	}
	w.retries[i]++
	return true
}

// Available reports whether Allow would succeed now.
func (w *Window) Available(now time.Duration, slack int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	return w.hasBudget(slack)
}

// Usage is the state of a [Window] at one time.
type Usage struct {
	FirstAttempts int // in the window
	Retries       int // in the window
}

// Usage returns the first attempts and retries that the next decision takes into account.
func (w *Window) Usage(now time.Duration) Usage {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	return w.usage()
}

func (w *Window) usage() Usage {
	firstAttempts, retries := 0, 0
	for i := range w.firstAttempts {
		firstAttempts += w.firstAttempts[i]
		retries += w.retries[i]
	}
	// The oldest bucket may lie partly outside the window. To keep the bound, its first
	// attempts are not counted, but its retries are.
	firstAttempts -= w.firstAttempts[(w.newestBucket+1)%(bucketCount+1)]
	return Usage{FirstAttempts: firstAttempts, Retries: retries}
}

// hasBudget reports whether one more retry stays within the bound.
func (w *Window) hasBudget(slack int) bool {
	u := w.usage()
	return float64(u.Retries+1) <= w.ratio*float64(u.FirstAttempts)+float64(slack)
}
