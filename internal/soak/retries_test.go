package soak

import (
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/yuccabridge/yuccabridge/platform/standin"
)

// Guards against a check that looks at the wrong window: retries count in each window that holds
// them, and the requests of the window before count as well.
func TestWorstRetryUsage(t *testing.T) {
	start := time.Now()
	at := func(seconds ...float64) (out []time.Time) {
		for _, s := range seconds {
			out = append(out, start.Add(time.Duration(s*float64(time.Second))))
		}
		return out
	}
	for _, tc := range []struct {
		name              string
		requests, retries []time.Time
		want              float64
	}{
		{"none", at(1), nil, 0},
		{"two windows", nil, at(1, 2, 11.5), 2},
		{"one window", nil, at(1, 2, 10.5), 3},
		{"requests of the window before", at(1, 1, 1, 1, 1), at(12), 0},
		{"requests of two windows before", at(1, 1, 1, 1, 1), at(22), 1},
	} {
		if got := worstRetryUsage(tc.requests, tc.retries).slackUsed; got != tc.want {
			t.Errorf("%s: %v, want %v", tc.name, got, tc.want)
		}
	}
}

// postAll sends requests to the upstream itself, each with the timeout.
func postAll(t *testing.T, u *standin.Upstream, path string, timeout time.Duration, ids ...string) {
	t.Helper()
	for _, id := range ids {
		r, err := standin.Request{Address: u.Address(), Method: http.MethodPost, Path: path, ID: id, Timeout: timeout, Body: "body"}.Build(t.Context())
		if err != nil {
			t.Fatal(err)
		}
		res, err := http.DefaultClient.Do(r)
		if err != nil {
			t.Fatal(err)
		}
		res.Body.Close()
	}
}

// Guards against checks of retries that detect nothing.
func TestRetryViolationsAreReported(t *testing.T) {
	numbered := func(prefix string, n int) (ids []string) {
		for i := range n {
			ids = append(ids, fmt.Sprint(prefix, i))
		}
		return ids
	}
	for _, tc := range []struct {
		name, path, want string
		post             func(a, b, c *standin.Upstream)
		ids              []string
	}{
		{"within the bound", lookupPrefix, "", func(a, b, _ *standin.Upstream) {
			postAll(t, a, lookupPrefix, requestTimeout, numbered("r", 60)...)
			postAll(t, b, lookupPrefix, requestTimeout, numbered("r", 60)...)
		}, numbered("r", 60)},
		{"too many retries", lookupPrefix, "arrivals beyond the first", func(a, b, _ *standin.Upstream) {
			postAll(t, a, lookupPrefix, requestTimeout, numbered("r", 80)...)
			postAll(t, b, lookupPrefix, requestTimeout, numbered("r", 80)...)
		}, numbered("r", 80)},
		{"too many upstreams", lookupPrefix, "more than 2 upstreams", func(a, b, c *standin.Upstream) {
			for _, u := range []*standin.Upstream{a, b, c} {
				postAll(t, u, lookupPrefix, requestTimeout, numbered("r", toleratedExcess+1)...)
			}
		}, numbered("r", toleratedExcess+1)},
		{"too late a deadline", lookupPrefix, "until the deadline", func(a, _, _ *standin.Upstream) {
			postAll(t, a, lookupPrefix, requestTimeout+2*deadlineTolerance, "r0")
		}, []string{"r0"}},
	} {
		tb := &testbed{instances: []*instance{{name: "front-0"}}}
		for i := range 3 {
			u, err := standin.NewUpstream(fmt.Sprint("i-", i))
			if err != nil {
				t.Fatal(err)
			}
			defer u.Close()
			tb.upstreams = append(tb.upstreams, &upstream{Upstream: u})
		}
		var observations []observation
		for _, id := range tc.ids {
			observations = append(observations, observation{id: id, path: tc.path, sent: time.Now(), connected: true})
		}
		tc.post(tb.upstreams[0].Upstream, tb.upstreams[1].Upstream, tb.upstreams[2].Upstream)
		tb.checkRetries(observations)
		if got := strings.Join(tb.violations, "\n"); tc.want == "" && got != "" || !strings.Contains(got, tc.want) {
			t.Errorf("%s: reported %q, want %q", tc.name, got, tc.want)
		}
	}
}

// Guards against a check of crashing requests that detects nothing, or that counts sendings of
// instances that could not know of the crashes, or sendings before them.
func TestLateCrashesAreReported(t *testing.T) {
	path := crashPrefix + "0"
	third := time.Now()
	standins, err := standin.NewUpstream("i-0")
	if err != nil {
		t.Fatal(err)
	}
	defer standins.Close()
	arrivals := map[string][]standin.Arrival{}
	var observations []observation
	u := &upstream{Upstream: standins}
	for i := range 8 {
		id := fmt.Sprint(i)
		at := third.Add(time.Duration(i-2) * 2 * time.Second)
		arrivals[id] = []standin.Arrival{{ID: id, At: at, Upstream: "i-0"}}
		observations = append(observations, observation{id: id, path: path, sent: at})
		u.crashes = append(u.crashes, upstreamCrash{path, at})
	}
	newTestbed := func() *testbed {
		return &testbed{instances: []*instance{{name: "front-0"}}, upstreams: []*upstream{u}}
	}
	tb := newTestbed()
	tb.checkCrashes(observations, arrivals)
	if len(tb.violations) != 1 || !strings.Contains(tb.violations[0], "4 times later") {
		t.Errorf("reported %q", tb.violations)
	}
	tb = newTestbed()
	tb.instances[0].processFaults.begin()
	tb.instances[0].processFaults.intervals[0].start = third
	tb.checkCrashes(observations, arrivals)
	if len(tb.violations) != 0 {
		t.Errorf("reported %q for an instance with a fault", tb.violations)
	}
	tb = newTestbed()
	u.linkFaults.begin()
	u.linkFaults.intervals[0].start = third.Add(-time.Minute)
	for i := range observations {
		observations[i].sent = third
	}
	tb.checkCrashes(observations, arrivals)
	if len(tb.violations) != 0 {
		t.Errorf("reported %q for sendings that a paused upstream read later", tb.violations)
	}
}

// Guards against retry plans that are not reproducible or leave out a kind of fault.
func TestRetryPlanIsDeterministic(t *testing.T) {
	o := Options{Duration: 2 * time.Minute, Instances: 8, Upstreams: 10, Faults: RetryFaults}
	a, b := newFaultPlan(7, o), newFaultPlan(7, o)
	kinds := map[faultKind]bool{}
	for i := range a {
		if a[i] != b[i] {
			t.Fatalf("fault %d: %v and %v", i, a[i], b[i])
		}
		kinds[a[i].kind] = true
	}
	for _, kind := range []faultKind{breakMany, rejectMany, pauseMany, delayInstance, killProcess, pauseProcess, stopProcess} {
		if !kinds[kind] {
			t.Errorf("no fault of kind %s", faultKindNames[kind])
		}
	}
}
