package soak

import (
	"context"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/yuccabridge/yuccabridge/platform/standin"
)

// Guards against requests that reach an evacuated failure domain, and against upstreams that get more than a cold one takes when
// they come back, from real processes that start, end, pause and lose the store meanwhile.
func TestEvacuationsHoldUnderFaults(t *testing.T) {
	file, err := buildDaemon()
	if err != nil {
		t.Fatal(err)
	}
	o := Options{Seed: 6602, Duration: 22 * time.Second, Instances: 6, Upstreams: 6, Faults: EvacuationFaults, Rate: 150, Daemon: file, Dir: t.TempDir()}
	report, err := Run(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	t.Log(report)
	for _, v := range report.Violations {
		t.Error(v)
	}
	if report.Faults[faultKindNames[evacuateDomain]] == 0 {
		t.Error("nothing was evacuated")
	}
}

// Guards against a check of evacuations that detects nothing.
func TestViolationsOfEvacuationsAreReported(t *testing.T) {
	s, err := standin.NewUpstream("i-01")
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	tb := &testbed{options: Options{Faults: EvacuationFaults}, instances: []*instance{{name: "front-0"}}, linkFaults: make([]faultIntervals, 1),
		upstreams: []*upstream{{Upstream: s}, {Upstream: s}}}
	var observations []observation
	ask := func(id string) {
		r, err := standin.Request{Address: s.Address(), Host: hostName, Method: http.MethodGet, Path: lookupPrefix, ID: id}.Build(context.Background())
		if err != nil {
			t.Fatal(err)
		}
		res, err := http.DefaultTransport.RoundTrip(r)
		if err != nil {
			t.Fatal(err)
		}
		res.Body.Close()
		observations = append(observations, observation{id: id})
	}
	ask("evacuated")
	now := time.Now()
	tb.evacuations.intervals = []interval{{start: now.Add(-2 * maxEvacuationDelay), end: now.Add(time.Millisecond)}}
	time.Sleep(2 * time.Millisecond)
	for i := range int(coldFactor*coldRate) + coldAllowance + 1 {
		ask("returned-" + string(rune('a'+i)))
	}
	tb.checkEvacuations(observations)
	if got := strings.Join(tb.violations, "\n"); !strings.Contains(got, "evacuated") || !strings.Contains(got, "taken back") || len(tb.violations) != 2 {
		t.Errorf("reported %q", got)
	}
}
