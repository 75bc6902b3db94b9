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

// Guards against violations that do not occur within a single process: runs the instances as
// processes under kills, pauses, stops, disrupted connections and store failures.
func TestGuaranteesHoldUnderFaults(t *testing.T) {
	file, err := buildDaemon()
	if err != nil {
		t.Fatal(err)
	}
	for _, seed := range regressionSeeds {
		o := Options{Seed: seed.seed, Duration: 4 * time.Second, Instances: 3, Upstreams: 5, Daemon: file, Dir: t.TempDir()}
		report, err := Run(context.Background(), o)
		if err != nil {
			t.Fatal(err)
		}
		t.Log(report)
		for _, v := range report.Violations {
			t.Errorf("seed %d (%s): %s", seed.seed, seed.cause, v)
		}
		if report.Requests == 0 {
			t.Error("no request was sent")
		}
	}
}

// Guards against more retries than the published bound, and against requests that go on crashing
// upstreams, with many instances that start, restart and are cut off while few requests arrive.
func TestRetryBoundsHoldUnderFaults(t *testing.T) {
	file, err := buildDaemon()
	if err != nil {
		t.Fatal(err)
	}
	o := Options{Seed: 31, Duration: 25 * time.Second, Instances: 28, Upstreams: 10, Faults: RetryFaults, Rate: 50, Daemon: file, Dir: t.TempDir()}
	report, err := Run(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	t.Log(report)
	for _, v := range report.Violations {
		t.Error(v)
	}
	if report.RetrySlackUsed == 0 {
		t.Error("no request was retried")
	}
}

// Guards against upstreams that get more than the limit that they state, in sum over instances that
// start, restart and pause, while upstreams pause and go on with all that has arrived.
func TestStatedLimitsHoldUnderFaults(t *testing.T) {
	file, err := buildDaemon()
	if err != nil {
		t.Fatal(err)
	}
	for _, seed := range []uint64{
		51,
		9315, // a limit was forgotten while the upstream had no entry
	} {
		o := Options{Seed: seed, Duration: 25 * time.Second, Instances: 8, Upstreams: 8, Faults: LimitFaults, Rate: 80, Daemon: file, Dir: t.TempDir()}
		report, err := Run(context.Background(), o)
		if err != nil {
			t.Fatal(err)
		}
		t.Log(report)
		for _, v := range report.Violations {
			t.Errorf("seed %d: %s", seed, v)
		}
		if report.LimitedArrivals == 0 {
			t.Errorf("seed %d: no instance that knew of a limit sent a request", seed)
		}
	}
}

// Guards against instances that are ended for their memory, and against bytes that are no response in
// the responses to callers, while upstreams send bytes without end.
func TestMemoryIsBoundedUnderBytesWithoutEnd(t *testing.T) {
	file, err := buildDaemon()
	if err != nil {
		t.Fatal(err)
	}
	o := Options{Seed: 71, Duration: 12 * time.Second, Instances: 4, Upstreams: 6, Faults: EndlessFaults, Rate: 300, Callers: 32, Daemon: file, Dir: t.TempDir()}
	report, err := Run(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	t.Log(report)
	for _, v := range report.Violations {
		t.Error(v)
	}
}

// Guards against instances that do not follow a store that comes back from older copies, against responses
// that end halfway and look complete, and against requests that share a deadly part, on real processes.
func TestGuaranteesHoldThroughDrills(t *testing.T) {
	file, err := buildDaemon()
	if err != nil {
		t.Fatal(err)
	}
	o := Options{Seed: 9703, Duration: 12 * time.Second, Instances: 3, Upstreams: 8, Faults: DrillFaults, Daemon: file, Dir: t.TempDir()}
	report, err := Run(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	t.Log(report)
	if report.Faults[faultKindNames[returnStore]] == 0 {
		t.Error("the store did not come back from an older copy")
	}
	for _, v := range report.Violations {
		t.Error(v)
	}
}

// regressionSeeds are the seeds that once violated a guarantee, with the cause. Every test run
// repeats them.
var regressionSeeds = []struct {
	seed  uint64
	cause string
}{
	{1, "a process that was paused after its start rejected every request for good"},
}

// Guards against checks that detect nothing: each kind of violation must be reported.
func TestViolationsAreReported(t *testing.T) {
	upstreamStandin, err := standin.NewUpstream("i-00")
	if err != nil {
		t.Fatal(err)
	}
	defer upstreamStandin.Close()
	postAll(t, upstreamStandin, orderPrefix, requestTimeout, "twice", "twice", "refused")
	past := time.Now().Add(-time.Minute)
	tb := &testbed{instances: []*instance{{name: "front-0"}}, upstreams: []*upstream{{Upstream: upstreamStandin}}, linkFaults: make([]faultIntervals, 1),
		routes: []publication{{name: "gone", publishedAt: past, removedAt: past.Add(time.Second)}, {name: "there", publishedAt: past}}}
	complete := completeStream()
	for _, tc := range []struct {
		o    observation
		want string
	}{
		{observation{id: "a", path: lookupPrefix, status: 200, signed: true, body: "answer of i-00 to a"}, ""},
		{observation{id: "a", path: lookupPrefix, status: 200, signed: true, body: "answer of i-00 to b"}, "another answer"},
		{observation{id: "a", path: lookupPrefix, status: 200, signed: true, framed: true, body: "answer of i-00 to a"}, ""},
		{observation{id: "a", path: lookupPrefix, status: 200, signed: true, framed: true, body: "answer of"}, "another answer"},
		{observation{id: "a", path: lookupPrefix, status: 200, signed: true, body: "answer of"}, ""},
		{observation{id: "a", path: lookupPrefix, status: 200, body: "answer of i-00 to a"}, "without a signature"},
		{observation{id: "a", path: lookupPrefix, status: 200, signed: true, malformedHead: true, body: "answer of i-00 to a"}, "malformed head"},
		{observation{id: "a", path: streamPrefix, status: 200, signed: true, body: complete}, ""},
		{observation{id: "a", path: streamPrefix, status: 200, signed: true, body: complete[:len(complete)/2]}, "looks whole"},
		{observation{id: "a", path: streamPrefix, status: 200, signed: true, body: "id: 5", err: http.ErrBodyNotAllowed}, "other events"},
		{observation{id: "a", path: lookupPrefix, status: 504, duration: time.Minute}, "answered late"},
		{observation{id: "a", path: lookupPrefix, err: http.ErrServerClosed}, "without an answer"},
		{observation{id: "a", path: "/gone/", status: 503}, "was removed"},
		{observation{id: "a", path: "/gone/", status: 404}, ""},
		{observation{id: "a", path: "/there/", status: 404}, "was added"},
	} {
		tb.violations = nil
		tc.o.sent = time.Now()
		tb.checkObservation(tc.o)
		if got := strings.Join(tb.violations, "\n"); tc.want == "" && got != "" || !strings.Contains(got, tc.want) {
			t.Errorf("%+v: reported %q, want %q", tc.o, got, tc.want)
		}
	}
	tb.violations = nil
	tb.checkExecutions([]observation{{id: "twice", path: orderPrefix, status: 200}, {id: "refused", path: orderPrefix, status: 503}})
	if got := strings.Join(tb.violations, "\n"); !strings.Contains(got, "ran 2 times") || !strings.Contains(got, "said not to have run") {
		t.Errorf("reported %q", got)
	}
}

// Guards against fault plans that are not reproducible from their seed.
func TestPlanIsDeterministic(t *testing.T) {
	o := Options{Duration: time.Minute, Instances: 3, Upstreams: 5}
	a, b, c := newFaultPlan(7, o), newFaultPlan(7, o), newFaultPlan(8, o)
	if len(a) != len(b) || len(a) < 50 {
		t.Fatalf("%d and %d faults", len(a), len(b))
	}
	for i := range a {
		if a[i] != b[i] {
			t.Fatalf("fault %d: %v and %v", i, a[i], b[i])
		}
	}
	if len(a) == len(c) && a[0] == c[0] {
		t.Error("two seeds give the same plan")
	}
}

// Guards against runs at the same time that choose the same ports, so that an instance cannot start
// and its callers speak to another run.
func TestRunsAtTheSameTimeUseDistinctPorts(t *testing.T) {
	seen := map[string]bool{}
	for range 8 {
		claim, err := claimPorts()
		if err != nil {
			t.Fatal(err)
		}
		defer claim.close()
		ports, err := claim.free(100)
		if err != nil {
			t.Fatal(err)
		}
		for _, p := range ports {
			if seen[p] {
				t.Fatalf("%s belongs to two runs", p)
			}
			seen[p] = true
		}
	}
}

// Guards against requests that go on reaching upstreams whose entries are gone, from instances that have the store
// again, or had it all the time.
func TestRemovedUpstreamsGetNothingUnderFaults(t *testing.T) {
	file, err := buildDaemon()
	if err != nil {
		t.Fatal(err)
	}
	o := Options{Seed: 6112, Duration: 25 * time.Second, Instances: 6, Upstreams: 6, Faults: RemovalFaults, Rate: 120, Daemon: file, Dir: t.TempDir()}
	report, err := Run(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	t.Log(report)
	for _, v := range report.Violations {
		t.Error(v)
	}
	if report.Removals == 0 {
		t.Error("no entry was removed")
	}
}

// Guards against planned stops that leave requests without an answer: on connections that callers hold before they use
// them, with hangups and moments in which the process does not run, in series and several at a time.
func TestPlannedStopsLoseNoRequest(t *testing.T) {
	file, err := buildDaemon()
	if err != nil {
		t.Fatal(err)
	}
	o := Options{Seed: 8101, Duration: 12 * time.Second, Instances: 4, Upstreams: 4, Faults: StopFaults, Rate: 100, Daemon: file, Dir: t.TempDir()}
	report, err := Run(context.Background(), o)
	if err != nil {
		t.Fatal(err)
	}
	t.Log(report)
	for _, v := range report.Violations {
		t.Error(v)
	}
	for _, use := range connUseNames {
		if report.Held[use+"/stopping/answered"] == 0 {
			t.Errorf("no request on a connection of the kind %s was answered by a stopping instance", use)
		}
	}
	for _, use := range reuseNames {
		if report.Reused[fmt.Sprintf("%s/%s/%s", use, reuseStopping, reuseAnswered)] == 0 {
			t.Errorf("no request on a connection used again (%s) was answered by a stopping instance", use)
		}
	}
	if report.Reused[fmt.Sprintf("%s/%s/%s", reuseNames[keepsTimeStream], reuseAfterSignal, reuseAnswered)] == 0 {
		t.Error("no request was answered after a stream that ended in a stop")
	}
}
