package soak

import (
	"context"
	"fmt"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/yuccabridge/yuccabridge/platform/standin"
)

// Guards against checks of deadly parts and of callers that have left that detect nothing.
func TestLateSendingsAreReported(t *testing.T) {
	s, err := standin.NewUpstream("i-00")
	if err != nil {
		t.Fatal(err)
	}
	defer s.Close()
	u := &upstream{Upstream: s}
	tb := &testbed{instances: []*instance{{name: "front-0"}}, upstreams: []*upstream{u}, linkFaults: make([]faultIntervals, 1)}
	for range knownAfterCrashes {
		u.crashes = append(u.crashes, upstreamCrash{deadlyPart, time.Now().Add(-time.Minute)})
	}
	var observations []observation
	for n := range maxLaterSendings + 1 {
		id := fmt.Sprint("late-", n)
		r, err := standin.Request{Address: s.Address(), Host: hostName, Method: http.MethodPost, Path: streamPrefix, ID: id,
			PromptPrefix: "a1:600," + deadlyPart + ":40,1:20"}.Build(context.Background())
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
	tb.checkDeadlyPart(observations[:maxLaterSendings])
	tb.departures = []departure{{id: "late-0", at: time.Now()}}
	tb.checkDepartures()
	if len(tb.violations) != 0 {
		t.Errorf("reported %q", tb.violations)
	}
	tb.checkDeadlyPart(observations)
	tb.departures = []departure{{id: "late-0", at: time.Now().Add(-10 * time.Second)}}
	tb.checkDepartures()
	if got := strings.Join(tb.violations, "\n"); !strings.Contains(got, "with the deadly part") || !strings.Contains(got, "after its caller had left") {
		t.Errorf("reported %q", got)
	}
}
