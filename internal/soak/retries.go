package soak

import (
	"slices"
	"strings"
	"time"

	"github.com/yuccabridge/yuccabridge/platform/standin"
)

// The published bound on retries: in any retryWindow the upstreams of a service get at most
// retryRatio * requests + retrySlack arrivals beyond the first of each request.
const (
	retryRatio  = 0.2
	retryWindow = 10 * time.Second
	retrySlack  = 56
)

const (
	// maxAttempts is the number of upstreams that may execute one request.
	maxAttempts = 2
	// toleratedExcess is the number of requests that may exceed maxAttempts.
	toleratedExcess = 3
	// deadlineTolerance is how much later than the caller's deadline an upstream may stop work.
	deadlineTolerance = 500 * time.Millisecond
	// toleratedCrashes is the number of upstreams that a request may crash, and the number of
	// sendings that are tolerated once every instance must know of these crashes.
	toleratedCrashes = 3
)

// retryUsage is the use of the slack in one window.
type retryUsage struct {
	end               time.Time
	retries, requests int
	slackUsed         float64
}

// worstRetryUsage returns the window in which the most slack is used. The number of requests is
// the largest of the window, the one before it and the one half a window before it.
func worstRetryUsage(requests, retries []time.Time) retryUsage {
	slices.SortFunc(requests, time.Time.Compare)
	slices.SortFunc(retries, time.Time.Compare)
	var worst retryUsage
	for _, end := range retries {
		usage := retryUsage{end: end, retries: countWithin(retries, end)}
		for _, shift := range []time.Duration{0, retryWindow / 2, retryWindow} {
			usage.requests = max(usage.requests, countWithin(requests, end.Add(-shift)))
		}
		usage.slackUsed = float64(usage.retries) - retryRatio*float64(usage.requests)
		if worst.end.IsZero() || usage.slackUsed > worst.slackUsed {
			worst = usage
		}
	}
	return worst
}

// countWithin returns how many of the sorted times lie in the retryWindow that ends at end.
func countWithin(times []time.Time, end time.Time) int {
	after := func(t time.Time) int {
		i, _ := slices.BinarySearchFunc(times, t, func(a, b time.Time) int {
			if a.After(b) {
				return 1
			}
			return -1
		})
		return i
	}
	return after(end) - after(end.Add(-retryWindow))
}

// arrivalsByID returns the arrivals at all upstreams in order of time, by request.
func (tb *testbed) arrivalsByID() map[string][]standin.Arrival {
	byID := map[string][]standin.Arrival{}
	for _, u := range tb.upstreams {
		for _, a := range u.Arrivals() {
			byID[a.ID] = append(byID[a.ID], a)
		}
	}
	for _, list := range byID {
		slices.SortFunc(list, func(a, b standin.Arrival) int { return a.At.Compare(b.At) })
	}
	return byID
}

// checkRetries checks the bounds on what upstreams get more than once.
func (tb *testbed) checkRetries(observations []observation) {
	arrivals := tb.arrivalsByID()
	var requests, retries []time.Time
	for _, o := range observations {
		if o.connected {
			requests = append(requests, o.sent)
		}
		for i, a := range arrivals[o.id] {
			if i > 0 {
				retries = append(retries, a.At)
			}
		}
		tb.checkDeadlines(o, arrivals[o.id])
	}
	tb.retryUsage = worstRetryUsage(requests, retries)
	if tb.retryUsage.slackUsed > retrySlack {
		tb.addViolation("%d arrivals beyond the first of each request for %d requests in %v: %.1f of the slack of %d",
			tb.retryUsage.retries, tb.retryUsage.requests, retryWindow, tb.retryUsage.slackUsed, retrySlack)
	}
	tb.checkMaxAttempts(observations)
	tb.checkCrashes(observations, arrivals)
}

// checkMaxAttempts checks how many upstreams execute one request. Upstreams that a request has
// crashed do not count.
func (tb *testbed) checkMaxAttempts(observations []observation) {
	executedAt := map[string]map[string]bool{}
	for _, u := range tb.upstreams {
		for _, e := range u.Executions() {
			if executedAt[e.ID] == nil {
				executedAt[e.ID] = map[string]bool{}
			}
			executedAt[e.ID][e.Upstream] = true
		}
	}
	excess := 0
	for _, o := range observations {
		if len(executedAt[o.id]) > maxAttempts && !crashesUpstreams(o.path) {
			excess++
		}
	}
	if excess > toleratedExcess {
		tb.addViolation("%d requests ran at more than %d upstreams", excess, maxAttempts)
	}
}

// checkDeadlines checks that an upstream is told no later end than the caller's, unless the
// request was held up on its way.
func (tb *testbed) checkDeadlines(o observation, arrivals []standin.Arrival) {
	in := tb.instances[o.instance]
	for _, a := range arrivals {
		from := o.sent.Add(-faultMargin)
		if !in.processFaults.inactiveBetween(from, a.At) || !tb.upstreamByName(a.Upstream).linkFaults.inactiveBetween(from, a.At) {
			continue
		}
		if end := a.At.Add(a.TimeLeft); a.TimeLeft == 0 || end.After(o.sent.Add(requestTimeout+deadlineTolerance)) {
			tb.addViolation("%s was told %v until the deadline, %v after the request was sent: %v", a.Upstream, a.TimeLeft, a.At.Sub(o.sent).Round(time.Millisecond), o)
		}
	}
}

func (tb *testbed) upstreamByName(name string) *upstream {
	i := slices.IndexFunc(tb.upstreams, func(u *upstream) bool { return u.Name == name })
	return tb.upstreams[i]
}

// checkCrashes checks that a request that has crashed several upstreams is not sent on by
// instances that could have learned of it.
func (tb *testbed) checkCrashes(observations []observation, arrivals map[string][]standin.Arrival) {
	late := map[string]int{}
	for _, o := range observations {
		if !crashesUpstreams(o.path) {
			continue
		}
		known, ok := tb.lastToleratedCrash(o.path)
		if !ok {
			continue
		}
		for _, a := range arrivals[o.id] {
			sent := tb.sendingTime(o, a)
			if sent.After(known.Add(stabilityPeriod)) && tb.instances[o.instance].processFaults.inactiveBetween(sent.Add(-stabilityPeriod), sent) {
				late[o.path]++
			}
		}
	}
	for path, n := range late {
		if n > toleratedCrashes {
			tb.addViolation("%s was sent to upstreams %d times later than %v after it had crashed %d", path, n, stabilityPeriod, toleratedCrashes)
		}
	}
}

// lastToleratedCrash returns the time of the last crash by requests to the path that is tolerated;
// ok is false if there are fewer crashes.
func (tb *testbed) lastToleratedCrash(path string) (at time.Time, ok bool) {
	var times []time.Time
	for _, u := range tb.upstreams {
		u.mu.Lock()
		for _, c := range u.crashes {
			if c.path == path {
				times = append(times, c.at)
			}
		}
		u.mu.Unlock()
	}
	slices.SortFunc(times, time.Time.Compare)
	if len(times) < toleratedCrashes {
		return time.Time{}, false
	}
	return times[toleratedCrashes-1], true
}

// sendingTime estimates when an instance sent an attempt. An upstream that was paused may have read
// it much later.
func (tb *testbed) sendingTime(o observation, a standin.Arrival) time.Time {
	if tb.upstreamByName(a.Upstream).linkFaults.inactiveBetween(o.sent, a.At) {
		return a.At
	}
	return o.sent
}

// crashesUpstreams reports whether a request to the path crashes the upstream that executes it.
func crashesUpstreams(path string) bool { return strings.HasPrefix(path, crashPrefix) }
