package sharedlimit

import (
	"slices"
	"time"
)

const (
	// minRate replaces lower limits, in requests per second: only the answer to a request shows
	// that a limit has ended.
	minRate = 0.25
	// ratePerHolder is the rate for which there is one holder, in requests per second.
	ratePerHolder = 4
	// imposedRatePerHolder replaces it for an imposed limit. The published bound is one and a half times the rate and
	// some more in any second. A holder may send one request more in a second than its share, so that half as many
	// holders as the rate says keep the bound. More of them have more requests that they can send.
	imposedRatePerHolder = 2
	// unansweredTime times the rate, plus unansweredAllowance, is the number of requests that all
	// holders together may leave unanswered. After a change of holders, two sets of them may
	// have left as many, and a paused upstream reads all of these at once.
	unansweredTime      = 0.75 // seconds
	unansweredAllowance = 1.5
	// unreadLifetime is how long a request that was given up may still be read by the upstream.
	unreadLifetime = 10 * time.Second
)

// Limit is a limit as exchanged between instances.
type Limit struct {
	// Rate is the number of requests per second that all instances together may send; 0 means
	// that there is no limit.
	Rate float64
	// Version increases with each change; 0 means that no limit was ever stated.
	Version uint32
}

// stricter reports whether rate a allows less than rate b.
func stricter(a, b float64) bool { return a > 0 && (b == 0 || a < b) }

// Limiter keeps the limit of one upstream at one instance. The zero value has no limit. It is not
// safe for concurrent use. All times are monotonic.
type Limiter struct {
	limit     Limit
	imposed   bool
	currentAt time.Duration // when the limit was last stated in an answer, or learned
	instances int           // live instances
	position  int           // of this instance in the order of holders
	nextAt    time.Duration // when the next request may be sent
	pending   map[uint64]time.Duration
	unread    []time.Duration // send times of requests that were given up
}

// Limit returns the current limit.
func (l *Limiter) Limit() Limit { return l.limit }

// Limited reports whether the upstream has a limit.
func (l *Limiter) Limited() bool { return l.limit.Rate > 0 }

// Holder reports whether this instance may send to the upstream while it has a limit.
func (l *Limiter) Holder() bool { return l.position < l.holders() }

func (l *Limiter) holders() int {
	perHolder := float64(ratePerHolder)
	if l.imposed {
		perHolder = imposedRatePerHolder
	}
	return min(max(int(l.limit.Rate/perHolder), 1), max(l.instances, 1))
}

// Interval returns the time between two requests of one holder.
func (l *Limiter) Interval() time.Duration {
	return time.Duration(float64(l.holders()) / l.limit.Rate * float64(time.Second))
}

func (l *Limiter) maxUnanswered() int {
	return max(1, int((unansweredTime*l.limit.Rate+unansweredAllowance)/float64(l.holders())))
}

// Observe records the limit in the answer to a request that was sent at sentAt; 0 if it states
// none. It reports whether the limit has changed.
func (l *Limiter) Observe(now, sentAt time.Duration, rate float64) bool {
	if rate == l.limit.Rate {
		l.currentAt = now
		return false
	}
	if !stricter(rate, l.limit.Rate) && sentAt < l.currentAt {
		return false
	}
	l.set(now, Limit{Rate: rate, Version: l.limit.Version + 1})
	return true
}

// StatedRate returns the rate to be observed for a limit as an upstream states it.
func StatedRate(stated float64) float64 { return max(stated, minRate) }

// Merge takes over the limit known by another instance if it is newer. It reports whether the
// limit has changed.
func (l *Limiter) Merge(now time.Duration, other Limit) bool {
	newer := other.Version > l.limit.Version || other.Version == l.limit.Version && stricter(other.Rate, l.limit.Rate)
	if !newer || !(other.Rate >= 0) {
		return false
	}
	changed := other.Rate != l.limit.Rate
	l.set(now, other)
	return changed
}

func (l *Limiter) set(now time.Duration, limit Limit) {
	l.limit, l.currentAt = limit, now
	if limit.Rate == 0 {
		l.pending, l.unread = nil, nil
		return
	}
	l.nextAt = max(l.nextAt, now+l.Interval())
}

// Impose sets a limit that is published rather than stated in answers; 0 lifts it. All instances learn of it from what is
// published, so it is not exchanged between them.
func (l *Limiter) Impose(now time.Duration, rate float64) {
	if rate != l.limit.Rate {
		l.imposed = true
		l.set(now, Limit{Rate: rate, Version: l.limit.Version + 1})
	}
}

// SetPosition sets the number of live instances and the position of this one in the order of
// holders, which begins with 0.
func (l *Limiter) SetPosition(now time.Duration, position, instances int) {
	wasHolder := l.Limited() && l.Holder()
	l.position, l.instances = position, instances
	if l.Limited() && !wasHolder {
		// The previous holder may have sent a request just now.
		l.nextAt = now + l.Interval()
	}
}

// Permitted reports whether this instance may send a request now.
func (l *Limiter) Permitted(now time.Duration) bool {
	return !l.Limited() || l.Holder() && now >= l.nextAt && l.unanswered(now) < l.maxUnanswered()
}

// NextAt returns the earliest time of the next request; ok is false if this instance is no
// holder.
func (l *Limiter) NextAt(now time.Duration) (at time.Duration, ok bool) {
	return max(now, l.nextAt), l.Holder()
}

func (l *Limiter) unanswered(now time.Duration) int {
	l.unread = slices.DeleteFunc(l.unread, func(sentAt time.Duration) bool { return now-sentAt >= unreadLifetime })
	return len(l.pending) + len(l.unread)
}

// Sent records that the request with the token is sent.
func (l *Limiter) Sent(now time.Duration, token uint64) {
	if !l.Limited() {
		return
	}
	if l.pending == nil {
		l.pending = map[uint64]time.Duration{}
	}
	l.pending[token] = now
	l.nextAt = max(now, l.nextAt) + l.Interval()
}

// NotSent records that no byte of the request has left this instance.
func (l *Limiter) NotSent(token uint64) { delete(l.pending, token) }

// Answered records that the upstream has answered the request, and so has read those that were
// sent before it.
func (l *Limiter) Answered(token uint64) {
	sentAt, ok := l.pending[token]
	if !ok {
		return
	}
	delete(l.pending, token)
	l.unread = slices.DeleteFunc(l.unread, func(earlier time.Duration) bool { return earlier <= sentAt })
}

// GivenUp records that the request was given up without an answer.
func (l *Limiter) GivenUp(token uint64) {
	if sentAt, ok := l.pending[token]; ok {
		delete(l.pending, token)
		l.unread = append(l.unread, sentAt)
	}
}
