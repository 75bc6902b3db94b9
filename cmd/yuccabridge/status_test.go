package main

import (
	"encoding/json"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"

	"github.com/yuccabridge/yuccabridge/internal/coordination/balancer"
	"github.com/yuccabridge/yuccabridge/internal/coordination/scheduler"
	"github.com/yuccabridge/yuccabridge/internal/entry"
	"github.com/yuccabridge/yuccabridge/internal/gateway"
)

// sampleState returns the state of an instance with a leaving, an ejected and a straggling
// upstream.
func sampleState() entry.State {
	return entry.State{
		Instance: "entry-1", FailureDomain: "keroman", Ready: true, Revision: 41, InProgress: 7,
		Members: []entry.MemberState{
			{Name: "entry-3", FailureDomain: "lanester", State: "alive", Revision: 41},
			{Name: "entry-4", FailureDomain: "keroman", State: "suspect", Revision: 40},
			{Name: "entry-2", FailureDomain: "keroman", State: "alive", Revision: 41},
		},
		Pools: []entry.PoolState{
			{Name: "atelier-llm", Pressure: scheduler.Pressure{HighestShed: 5, Queued: 12}, Upstreams: []balancer.UpstreamState{
				{Upstream: balancer.Upstream{Name: "atelier-01", Leaving: true}, Limit: 4},
				{Upstream: balancer.Upstream{Name: "atelier-02"}, Limit: 8.6, InFlight: 5, Straggler: true},
				{Upstream: balancer.Upstream{Name: "atelier-03"}, Limit: 1, Ejected: true},
			}},
			{Name: "ordres-ligne", Upstreams: []balancer.UpstreamState{{Upstream: balancer.Upstream{Name: "ordres-01"}, Limit: 4, InFlight: 2}}},
		},
	}
}

// serveState starts a server that returns body for /state, and returns its address.
func serveState(t *testing.T, status int, body string) string {
	t.Helper()
	s := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if r.URL.Path != "/state" {
			status = http.StatusNotFound
		}
		w.WriteHeader(status)
		_, _ = w.Write([]byte(body)) // if the client has disconnected, its own test fails
	}))
	t.Cleanup(s.Close)
	return strings.TrimPrefix(s.URL, "http://")
}

func stateJSON(t *testing.T, s entry.State) string {
	t.Helper()
	text, err := json.Marshal(s)
	if err != nil {
		t.Fatal(err)
	}
	return string(text)
}

// Guards against missing columns and wrong sums in the tables.
func TestStatusTable(t *testing.T) {
	first := sampleState()
	second := entry.State{Instance: "entry-2", FailureDomain: "keroman", Draining: true, Revision: 41}
	evacuated := []gateway.EvacuationState{{FailureDomain: "hennebont", Since: time.Date(2026, 12, 7, 8, 0, 0, 0, time.UTC), Revision: 412}}
	statuses := []instanceStatus{{Address: "10.1.0.1:8081", State: &first, Evacuations: evacuated}, {Address: "10.1.0.2:8081", State: &second},
		{Address: "10.1.0.3:8081", Error: "connection refused"}}
	for name, f := range map[string]statusFlags{"status": {}, "status-domain": {domain: true}, "status-all": {all: true}} {
		var out strings.Builder
		if err := writeStatus(&out, statuses, f); err != nil {
			t.Fatal(err)
		}
		goldie.New(t).Assert(t, name, []byte(out.String()))
	}
}

// Scripts depend on the exit code; each failure must be one line that contains the address.
func TestStatusExitCodes(t *testing.T) {
	notReadyState := sampleState()
	notReadyState.Ready = false
	ready, notReady := serveState(t, 200, stateJSON(t, sampleState())), serveState(t, 200, stateJSON(t, notReadyState))
	notAState, notFound, closed := serveState(t, 200, `{}`), serveState(t, 404, ""), freeAddress(t)
	cases := []struct {
		args []string
		code int
		want string
	}{
		{[]string{"--instance", ready}, 0, ""},
		{[]string{"--instance", ready, "--json"}, 0, ""},
		{[]string{"--instance", ready, "--instance", notReady}, 1, notReady + ": not ready\n"},
		{[]string{"--instance", closed}, 1, closed + ": connection refused\n"},
		{[]string{"--instance", notAState}, 1, notAState + ": /state is not the state of an instance\n"},
		{[]string{"--instance", notFound}, 1, notFound + ": /state answers with status 404\n"},
		{[]string{"--instance", "localhost:1"}, 2, "--instance localhost:1: not an IP address with port\n"},
		{[]string{"--instance", ready, "--timeout", "0s"}, 2, "--timeout 0s: must be positive\n"},
		{[]string{"--domain", "--all"}, 2, "if any flags in the group"},
		{[]string{"--colour"}, 2, "unknown flag: --colour\n"},
		{[]string{"entry-1"}, 2, "unknown command"},
	}
	for _, c := range cases {
		code, _, stderr := execute(t.Context(), append([]string{"status"}, c.args...)...)
		if code != c.code || !strings.HasPrefix(stderr, c.want) || strings.Count(stderr, "\n") > 1 {
			t.Errorf("%v: code %d, %q; want %d, %q", c.args, code, stderr, c.code, c.want)
		}
	}
}

// The JSON output must contain the complete state and the cause of a failure.
func TestStatusJSON(t *testing.T) {
	reachable, closed := serveState(t, 200, stateJSON(t, sampleState())), freeAddress(t)
	_, stdout, _ := execute(t.Context(), "status", "--json", "--instance", reachable, "--instance", closed)
	var statuses []instanceStatus
	if err := json.Unmarshal([]byte(stdout), &statuses); err != nil {
		t.Fatal(err)
	}
	if len(statuses) != 2 || statuses[0].State == nil || stateJSON(t, *statuses[0].State) != stateJSON(t, sampleState()) ||
		statuses[1].Address != closed || statuses[1].Error != "connection refused" {
		t.Errorf("got %s", stdout)
	}
}
