package retry

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"
)

// simulatedRequest is a request with one retry.
type simulatedRequest struct {
	arrivals int // of its attempts
}

// simulatedUpstream reads what it is sent at once, unless it is paused.
type simulatedUpstream struct {
	name     string
	paused   bool
	pausedAt time.Duration
	unread   []*simulatedRequest
}

// arrivalModel checks the arrivals at the upstreams against the bound.
type arrivalModel struct {
	*rapid.T
	window    *Window
	slack     int
	now       time.Duration
	upstreams []*simulatedUpstream
	repeats   []time.Duration // arrivals beyond the first of each request
}

// receive is the arrival of an attempt, now or when the upstream goes on.
func (m *arrivalModel) receive(u *simulatedUpstream, r *simulatedRequest) {
	if u.paused {
		u.unread = append(u.unread, r)
		return
	}
	if r.arrivals++; r.arrivals > 1 {
		m.repeats = append(m.repeats, m.now)
	}
	inWindow := 0
	for _, at := range m.repeats {
		if at > m.now-windowLength {
			inWindow++
		}
	}
	if inWindow > m.slack {
		m.Fatalf("at %v: %d repeats in the window, want at most %d", m.now, inWindow, m.slack)
	}
}

// resume lets the upstream read all that has been sent, and answer.
func (m *arrivalModel) resume(u *simulatedUpstream) {
	u.paused = false
	for _, r := range u.unread {
		m.receive(u, r)
	}
	u.unread = nil
	m.window.Answered(m.now, u.name)
}

// Guards against repeats that arrive together: retries that wait in the dispatcher, and attempts
// that were given up at a paused upstream, which reads them long after their retry was sent.
func TestArrivalsStayWithinTheBound(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		const slack = 4
		m := &arrivalModel{T: t, window: NewWindow(0, windowLength), slack: slack}
		for i := range 3 {
			m.upstreams = append(m.upstreams, &simulatedUpstream{name: fmt.Sprint("i-", i)})
		}
		type waiting struct {
			request *simulatedRequest
			retry   *Retry
			exclude int
		}
		var queue []waiting
		for range rapid.IntRange(1, 400).Draw(t, "steps") {
			m.now += time.Duration(rapid.IntRange(0, 800).Draw(t, "ms")) * time.Millisecond
			i := rapid.IntRange(0, len(m.upstreams)-1).Draw(t, "upstream")
			u := m.upstreams[i]
			switch rapid.SampledFrom([]string{"fail", "fail", "send", "send", "withdraw", "pause", "resume"}).Draw(t, "event") {
			case "fail": // an attempt fails, at a paused upstream by a time limit
				r := &simulatedRequest{}
				m.receive(u, r)
				if retry := m.window.Allow(m.now, slack); retry != nil {
					if u.paused {
						m.window.Unread(m.now, retry, u.name)
					}
					queue = append(queue, waiting{r, retry, i})
				}
			case "send":
				if len(queue) == 0 {
					continue
				}
				next := queue[0]
				queue = queue[1:]
				u := m.upstreams[(next.exclude+1)%len(m.upstreams)]
				m.window.Sent(m.now, next.retry)
				m.receive(u, next.request)
				if u.paused {
					m.window.Unread(m.now, next.retry, u.name)
				}
			case "withdraw":
				if len(queue) > 0 {
					m.window.Withdraw(queue[0].retry)
					queue = queue[1:]
				}
			case "pause":
				if !u.paused {
					u.paused, u.pausedAt = true, m.now
				}
			case "resume":
				m.resume(u)
			}
			for _, u := range m.upstreams {
				if u.paused && m.now-u.pausedAt > maxArrivalDelay-time.Second {
					// Longer pauses are not covered.
					m.resume(u)
				}
			}
		}
	})
}

// Guards against a budget that stays used up after upstreams are gone for good.
func TestUnreadAttemptsExpire(t *testing.T) {
	w := NewWindow(0, windowLength)
	r := w.Allow(0, 1)
	w.Sent(0, r)
	w.Unread(0, r, "i-a")
	if w.Available(windowLength+windowLength/2, 1) {
		t.Error("an attempt that may still be read does not count")
	}
	if at := maxArrivalDelay + windowLength/bucketCount; !w.Available(at, 1) {
		t.Errorf("an unread attempt still counts after %v", at)
	}
}

// Guards against a budget that is used up by retries that were never sent.
func TestWithdrawnRetryDoesNotCount(t *testing.T) {
	w := NewWindow(0, windowLength)
	r := w.Allow(0, 1)
	w.Unread(0, r, "i-a")
	w.Withdraw(r)
	w.Answered(time.Second, "i-a")
	if u := w.Usage(time.Second); u.Retries != 0 || u.Pending != 0 {
		t.Errorf("%+v", u)
	}
	if w.Allow(time.Second, 1) == nil {
		t.Error("no retry is allowed after one was withdrawn")
	}
}
