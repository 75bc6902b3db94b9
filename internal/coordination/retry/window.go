package retry

import (
	"slices"
	"sync"
	"time"
)

const (
	// bucketCount is the number of time buckets into which a window is divided. The bound is
	// enforced for every span of the window's length, to a resolution of one bucket.
	bucketCount = 20
	// maxArrivalDelay is how long an upstream that gives no sign of life is assumed to be paused
	// rather than gone.
	maxArrivalDelay = 30 * time.Second
)

// Window bounds retries over a sliding window: within any span of its length at most
//
//	slack + ratio * (first attempts in the span)
//
// retries arrive at the upstreams. Unlike a [Budget], it keeps the unused retries of the whole
// window, without a burst limit, so that all requests that an upstream loses in one crash can be
// sent again. It is safe for concurrent use.
//
// A retry counts in the span in which it arrives. As long as that is not known, it counts in
// every span: while it waits to be sent, and while an attempt of its request may still be unread
// at an upstream that is paused or cut off.
type Window struct {
	mu            sync.Mutex
	ratio         float64
	bucketLength  time.Duration
	newestBucket  int64 // number of the newest bucket since time zero
	firstAttempts [bucketCount + 1]int
	arrived       [bucketCount + 1]int       // retries
	pending       int                        // retries that have not arrived
	unread        map[string][]unreadAttempt // by upstream, oldest first
}

// unreadAttempt is an attempt that its upstream may read later.
type unreadAttempt struct {
	retry *Retry
	since time.Duration
}

// Retry is a retry that a [Window] has allowed.
type Retry struct {
	// waitsFor counts what must happen before the arrival is known: the sending, and the
	// reading of each unread attempt.
	waitsFor  int
	arrivedIn int64 // number of the bucket in which it has arrived, if waitsFor is 0
	withdrawn bool
}

// NewWindow returns a window of the given length.
func NewWindow(ratio float64, length time.Duration) *Window {
	return &Window{ratio: ratio, bucketLength: max(length/bucketCount, 1), unread: map[string][]unreadAttempt{}}
}

// advance clears the buckets that have left the window. The arrays hold one bucket more than the
// window, so that the oldest bucket, which lies only partly in the window, is kept.
func (w *Window) advance(now time.Duration) {
	bucket := int64(now / w.bucketLength)
	for ; w.newestBucket < bucket; w.newestBucket++ {
		i := index(w.newestBucket + 1)
		w.firstAttempts[i], w.arrived[i] = 0, 0
		if bucket-w.newestBucket > bucketCount+1 {
			w.newestBucket = bucket - bucketCount - 2
		}
	}
	w.expireUnread(now)
}

// index returns the position of a bucket in the arrays.
func index(bucket int64) int { return int(bucket % (bucketCount + 1)) }

// RecordFirstAttempt records the first attempt of a request.
func (w *Window) RecordFirstAttempt(now time.Duration) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.firstAttempts[index(w.newestBucket)]++
}

// Allow returns a retry if one is permitted with the slack, nil otherwise. The caller reports with
// Sent or Withdraw what becomes of it.
func (w *Window) Allow(now time.Duration, slack int) *Retry {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	if !w.hasBudget(slack) {
		return nil
	}
	w.pending++
	return &Retry{waitsFor: 1}
}

// Available reports whether Allow would permit a retry now.
func (w *Window) Available(now time.Duration, slack int) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	return w.hasBudget(slack)
}

// Sent records that the retry has been sent.
func (w *Window) Sent(now time.Duration, r *Retry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	w.stopWaiting(r)
}

// Withdraw records that the retry will not be sent.
func (w *Window) Withdraw(r *Retry) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if r.waitsFor > 0 && !r.withdrawn {
		r.withdrawn = true
		w.pending--
	}
}

// Unread records that an attempt of the retry's request was given up without a sign that the
// upstream has read it. If the upstream reads it later, that is the arrival that counts.
func (w *Window) Unread(now time.Duration, r *Retry, upstream string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	if r.withdrawn {
		return
	}
	if r.waitsFor == 0 {
		w.pending++
		if w.newestBucket-r.arrivedIn <= bucketCount {
			w.arrived[index(r.arrivedIn)]--
		}
	}
	r.waitsFor++
	w.unread[upstream] = append(w.unread[upstream], unreadAttempt{retry: r, since: now})
}

// Answered records output of the upstream: it is running and has read what was sent before.
func (w *Window) Answered(now time.Duration, upstream string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.unread[upstream]) == 0 {
		return
	}
	w.advance(now)
	for _, attempt := range w.unread[upstream] {
		w.stopWaiting(attempt.retry)
	}
	delete(w.unread, upstream)
}

// stopWaiting records one of the events that the retry waits for. After the last one the retry has
// arrived.
func (w *Window) stopWaiting(r *Retry) {
	if r.withdrawn {
		return
	}
	if r.waitsFor--; r.waitsFor == 0 {
		w.pending--
		r.arrivedIn = w.newestBucket
		w.arrived[index(r.arrivedIn)]++
	}
}

// forget drops an attempt that will not be read. A retry that waits for nothing else never arrives.
func (w *Window) forget(r *Retry) {
	switch {
	case r.withdrawn:
	case r.waitsFor > 1:
		r.waitsFor--
	default:
		r.withdrawn = true
		w.pending--
	}
}

// expireUnread drops attempts whose upstream has given no sign of life for maxArrivalDelay.
func (w *Window) expireUnread(now time.Duration) {
	for upstream, attempts := range w.unread {
		expired := 0
		for expired < len(attempts) && now-attempts[expired].since > maxArrivalDelay {
			w.forget(attempts[expired].retry)
			expired++
		}
		if w.unread[upstream] = slices.Delete(attempts, 0, expired); len(w.unread[upstream]) == 0 {
			delete(w.unread, upstream)
		}
	}
}

// Usage is the state of a [Window] at one time.
type Usage struct {
	FirstAttempts int // in the window
	Retries       int // in the window, including pending ones
	Pending       int // retries that have not arrived
}

// Usage returns the first attempts and retries that the next decision takes into account.
func (w *Window) Usage(now time.Duration) Usage {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.advance(now)
	return w.usage()
}

func (w *Window) usage() Usage {
	u := Usage{Retries: w.pending, Pending: w.pending}
	for i := range w.firstAttempts {
		u.FirstAttempts += w.firstAttempts[i]
		u.Retries += w.arrived[i]
	}
	// The oldest bucket may lie partly outside the window. To keep the bound, its first
	// attempts are not counted, but its retries are.
	u.FirstAttempts -= w.firstAttempts[index(w.newestBucket+1)]
	return u
}

// hasBudget reports whether one more retry stays within the bound.
func (w *Window) hasBudget(slack int) bool {
	u := w.usage()
	return float64(u.Retries+1) <= w.ratio*float64(u.FirstAttempts)+float64(slack)
}
