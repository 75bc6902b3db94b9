package soak

import (
	"context"
	"strings"
	"testing"
	"time"

	"github.com/yuccabridge/yuccabridge/platform/standin"
)

// Guards against streams that hold events of two software versions, and against streams that nobody can go on
// with, on real processes while upstreams of other versions take the places of others and processes end.
func TestStreamsStayAtTheirVersionUnderReleases(t *testing.T) {
	file, err := buildDaemon()
	if err != nil {
		t.Fatal(err)
	}
	o := Options{Seed: 3401, Duration: 15 * time.Second, Instances: 6, Upstreams: 6, Faults: ReleaseFaults, Daemon: file, Dir: t.TempDir()}
	report, err := Run(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	t.Log(report)
	if report.TakenUp["status 200"] == 0 {
		t.Error("no caller went on with a stream")
	}
	for _, v := range report.Violations {
		t.Error(v)
	}
}

// Guards against checks of streams that detect nothing.
func TestViolationsOfStreamVersionsAreReported(t *testing.T) {
	events := func(versions ...string) string {
		var b strings.Builder
		for id, v := range versions {
			b.WriteString(standin.VersionedEventText(id, v))
		}
		return b.String()
	}
	whole := make([]string, eventsPerVersionedStream)
	for i := range whole {
		whole[i] = "v1"
	}
	for name, tc := range map[string]struct {
		body     string
		complete bool
		want     string
	}{
		"whole":        {events(whole...), true, ""},
		"broken off":   {events("v1", "v1") + "id: 2", false, ""},
		"two versions": {events("v1", "v2"), false, "holds events of versions"},
		"short":        {events("v1"), true, "looks complete"},
		"gap":          {events("v1") + standin.VersionedEventText(2, "v1"), false, "after 1 events"},
	} {
		s := versionedStream{complete: tc.complete, tries: []versionedTry{{id: "x"}}}
		s.record(tc.body)
		tb := &testbed{versionedStreams: []versionedStream{s}}
		tb.checkStreamVersions()
		if got := strings.Join(tb.violations, "\n"); tc.want == "" && got != "" || !strings.Contains(got, tc.want) {
			t.Errorf("%s: reported %q, want %q", name, got, tc.want)
		}
	}
	tb := &testbed{}
	for range minTakesCounted {
		tb.versionedStreams = append(tb.versionedStreams, versionedStream{events: 1, versions: []string{"v1"},
			tries: []versionedTry{{id: "x", status: 200, events: 1, counted: true}, {id: "y", status: 503, counted: true}}})
	}
	tb.checkStreamVersions()
	if got := strings.Join(tb.violations, "\n"); !strings.Contains(got, "of 12 streams taken up 0 went on") {
		t.Errorf("streams that do not go on: reported %q", got)
	}
}
