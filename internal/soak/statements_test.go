package soak

import (
	"context"
	"testing"
	"time"
)

// Guards against requests to upstreams that have stated that they leave, or that they want none for a while, on
// real processes that start, end and pause meanwhile.
func TestStatementsOfUpstreamsHoldUnderFaults(t *testing.T) {
	file, err := buildDaemon()
	if err != nil {
		t.Fatal(err)
	}
	o := Options{Seed: 3600, Duration: 15 * time.Second, Instances: 4, Upstreams: 6, Faults: StatementFaults, Rate: 300, Daemon: file, Dir: t.TempDir()}
	report, err := Run(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	t.Log(report)
	if report.Statements == 0 {
		t.Error("no upstream stated anything")
	}
	for _, v := range report.Violations {
		t.Error(v)
	}
}
