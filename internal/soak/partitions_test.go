package soak

import (
	"context"
	"strings"
	"testing"
	"time"
)

// Guards against callers that are not served because their instances have lost their links to all upstreams,
// on real processes while others are killed, stopped and paused and upstreams crash.
func TestPartitionedInstancesServeUnderFaults(t *testing.T) {
	file, err := buildDaemon()
	if err != nil {
		t.Fatal(err)
	}
	o := Options{Seed: 3500, Duration: 20 * time.Second, Instances: 6, Upstreams: 6, Faults: PartitionFaults, Rate: 300, Daemon: file, Dir: t.TempDir()}
	report, err := Run(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	t.Log(report)
	if report.AtPartitioned.sent == 0 {
		t.Error("no request was sent to a partitioned instance")
	}
	for _, v := range report.Violations {
		t.Error(v)
	}
}

// Guards against a check of partitions that detects nothing.
func TestViolationsOfPartitionsAreReported(t *testing.T) {
	begin := time.Now().Add(-time.Minute)
	during := begin.Add(stabilityPeriod + time.Second)
	for name, tc := range map[string]struct {
		failed int // of 60 requests at the partitioned instance
		want   string
	}{"all served": {0, ""}, "few fail": {10, ""}, "most fail": {40, "partitioned instances served 20 of 60"}} {
		tb := &testbed{instances: []*instance{{name: "front-0"}, {name: "front-1"}}, partitions: []partition{{instance: 0, begin: begin, end: during.Add(time.Second)}}}
		var observations []observation
		for i := range 60 {
			o := observation{instance: 0, sent: during, status: 200}
			if i < tc.failed {
				o.status = 503
			}
			observations = append(observations, o, observation{instance: 1, sent: during, status: 200}, observation{instance: 0, sent: begin, status: 503})
		}
		tb.checkPartitions(observations)
		if got := strings.Join(tb.violations, "\n"); tc.want == "" && got != "" || !strings.Contains(got, tc.want) {
			t.Errorf("%s: reported %q, want %q", name, got, tc.want)
		}
	}
}
