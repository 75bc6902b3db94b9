package soak

import (
	"testing"
	"time"
)

// Guards against a check of announced times that overlooks a connection which ended early, or blames an instance for a
// caller that ran late, for the end of the grace period or for a request beyond the announced time.
func TestConnectionsThatEndEarlyAreReported(t *testing.T) {
	const grace, announced = 3 * time.Second, time.Second
	stop := time.Now()
	at := func(d time.Duration) time.Time { return stop.Add(d) }
	stops := []interval{{start: stop, end: at(grace - closingPart + 100*time.Millisecond)}}
	for name, c := range map[string]struct {
		use                  reuse
		received, late, sent time.Duration // received: after the stop signal; sent: after received
		ended                time.Duration // after sent
		result               reuseResult
		ran                  bool
		state                reuseState
		want                 string
	}{
		"answered":                     {use: keepsTime, received: -500 * time.Millisecond, sent: announced, result: reuseAnswered, state: reuseStopping},
		"cut before a stop":            {use: keepsTime, received: -2 * time.Second, sent: announced, result: reuseCut, state: reuseServing, want: "in_time"},
		"cut in a stop":                {use: keepsTime, received: -500 * time.Millisecond, sent: announced, result: reuseCut, state: reuseStopping, want: "in_time"},
		"cut after a stream":           {use: keepsTimeStream, received: 500 * time.Millisecond, sent: announced, result: reuseCut, state: reuseAfterSignal, want: "in_time"},
		"closed before the request":    {use: keepsTime, received: -500 * time.Millisecond, sent: announced / 2, result: reuseClosed, state: reuseStopping, want: "early"},
		"cut by the end":               {use: keepsTimeStream, received: grace - closingPart - announced, sent: announced, result: reuseCut, state: reuseClosing},
		"closed by the end":            {use: keepsTimeStream, received: grace - closingPart - announced, sent: announced, result: reuseClosed, state: reuseClosing},
		"lost by the end":              {use: keepsTimeStream, received: grace - closingPart - announced, sent: announced, result: reuseCut, ran: true, state: reuseClosing, want: "lost"},
		"a caller that ran late":       {use: keepsTime, received: -500 * time.Millisecond, late: 2 * reuseTransit, sent: announced, result: reuseCut, state: reuseStopping},
		"a caller that ignores it":     {use: ignoresTime, received: -500 * time.Millisecond, sent: announced, result: reuseCut, state: reuseStopping},
		"the same, lost":               {use: ignoresTime, received: -500 * time.Millisecond, sent: announced, ended: 2 * maxLossTime, result: reuseCut, state: reuseStopping, want: "lost"},
		"the same, passed on":          {use: ignoresTime, received: -500 * time.Millisecond, sent: announced, ran: true, result: reuseCut, state: reuseStopping, want: "lost"},
		"a stream broken off":          {use: keepsTimeStream, received: 500 * time.Millisecond, sent: announced, ended: time.Second, ran: true, result: reuseBrokenOff, state: reuseAfterSignal, want: "early"},
		"the same, by the end":         {use: keepsTimeStream, received: 500 * time.Millisecond, sent: announced, ended: grace - closingPart - 1500*time.Millisecond, ran: true, result: reuseBrokenOff, state: reuseAfterSignal},
		"the same, without a stop":     {use: ignoresTime, received: -2 * time.Second, sent: announced, ended: time.Second / 2, ran: true, result: reuseBrokenOff, state: reuseServing, want: "early"},
		"the same, by the time limit":  {use: ignoresTime, received: -3 * time.Second, sent: announced, ended: routeTimeout, ran: true, result: reuseBrokenOff, state: reuseServing},
		"by a process started again":   {use: keepsTime, received: grace, sent: announced, result: reuseCut, state: reuseServing, want: "in_time"},
		"nothing announced, at a stop": {use: keepsTime, received: -500 * time.Millisecond, result: reuseUnannounced, state: reuseServing},
	} {
		t.Run(name, func(t *testing.T) {
			r := reusedRequest{use: c.use, result: c.result, announced: announced, receivedAt: at(c.received), notBefore: at(c.received - c.late), sentAt: at(c.received + c.sent)}
			r.beganAt, r.endedAt = r.sentAt, r.sentAt.Add(c.ended)
			state, closingAt := r.state(stops, grace)
			if got := r.violation(state, closingAt, c.ran); state != c.state || got != c.want {
				t.Errorf("state %s, violation %q; want %s, %q", state, got, c.state, c.want)
			}
		})
	}
}
