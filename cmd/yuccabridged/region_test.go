package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"testing"
	"time"

	"github.com/yuccabridge/yuccabridge/config"
	"github.com/yuccabridge/yuccabridge/internal/emulator"
	"github.com/yuccabridge/yuccabridge/internal/entry"
	"github.com/yuccabridge/yuccabridge/internal/protocol/platformapi"
)

// testRegion is a set of daemons with stand-ins for the platform and the upstreams, each in
// a separate process.
type testRegion struct {
	t          *testing.T
	platform   *process
	engines    []*process
	services   []*process
	daemons    []*process
	keyFile    string
	deployment *config.Deployment
}

// newRegion starts daemons that alternate between the failure domains a and b, and waits
// until they are ready.
func newRegion(t *testing.T, daemons, engines int) *testRegion {
	t.Helper()
	region := &testRegion{t: t, platform: startProcess(t, "platform"), keyFile: writeTempFile(t, "keys", strings.Repeat("ab", 32)+"\n")}
	var addresses []string
	for range engines {
		e := startProcess(t, "engine")
		region.engines = append(region.engines, e)
		addresses = append(addresses, e.fields["address"])
	}
	region.services = append(region.services, startProcess(t, "service"))
	region.deployment = testDeployment(addresses, region.services[0].fields["address"])
	region.publish()
	for i := range daemons {
		region.daemons = append(region.daemons, region.startDaemon(i))
	}
	for i := range region.daemons {
		region.waitReady(i, daemons-1)
	}
	return region
}

// startDaemon starts daemon i with the other daemons as seeds.
func (region *testRegion) startDaemon(i int) *process {
	region.t.Helper()
	var seeds []string
	for j, d := range region.daemons {
		if j != i {
			seeds = append(seeds, fmt.Sprintf("%q", d.fields["gossip"]))
		}
	}
	return startProcess(region.t, "daemon", "--settings", writeTempFile(region.t, "settings.yaml", fmt.Sprintf(`instance: entry-%d
failure_domain: %c
callers: {address: "127.0.0.1:0"}
operations: {address: "127.0.0.2:0"}
peers:
  address: "127.0.0.1:0"
  gossip: "127.0.0.1:0"
  seeds: [%s]
  key_file: %s
platform: {address: "%s"}
`, i, 'a'+i%2, strings.Join(seeds, ", "), region.keyFile, region.platform.fields["address"])))
}

func (region *testRegion) sendCommand(p *process, command emulator.Command) {
	region.t.Helper()
	text, err := json.Marshal(command)
	if err != nil {
		region.t.Fatal(err)
	}
	resp, err := http.Post("http://"+p.fields["address"]+"/control", "application/json", bytes.NewReader(text))
	if err != nil {
		region.t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		region.t.Fatalf("control: status %d", resp.StatusCode)
	}
}

func (region *testRegion) publish() {
	region.t.Helper()
	text, err := region.deployment.YAML()
	if err != nil {
		region.t.Fatal(err)
	}
	region.sendCommand(region.platform, emulator.Command{Configuration: string(text)})
}

// state reads /state of daemon i.
func (region *testRegion) state(i int) (entry.State, error) {
	resp, err := http.Get("http://" + region.daemons[i].fields["operations"] + "/state")
	if err != nil {
		return entry.State{}, err
	}
	defer resp.Body.Close()
	var s entry.State
	return s, json.NewDecoder(resp.Body).Decode(&s)
}

// waitUntil polls a condition that depends on other processes.
func waitUntil(t *testing.T, condition string, met func() bool) {
	t.Helper()
	for range 1500 {
		if met() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("timed out waiting for %s", condition)
}

func (region *testRegion) waitReady(i, members int) {
	region.t.Helper()
	waitUntil(region.t, fmt.Sprintf("readiness of daemon %d", i), func() bool {
		s, err := region.state(i)
		return err == nil && s.Ready && len(s.Members) >= members
	})
}

func (region *testRegion) waitRevision(i int, revision uint64) {
	region.t.Helper()
	var last entry.State
	region.t.Cleanup(func() {
		if region.t.Failed() {
			region.t.Logf("daemon %d: revision %d, configuration %+v, members %+v", i, last.Revision, last.Configuration, last.Members)
		}
	})
	waitUntil(region.t, fmt.Sprintf("revision %d at daemon %d", revision, i), func() bool {
		s, err := region.state(i)
		last = s
		if err == nil && s.Revision > revision {
			region.t.Fatalf("daemon %d has revision %d", i, s.Revision)
		}
		return err == nil && s.Revision == revision
	})
}

// executions returns how often each order ran at the service.
func (region *testRegion) executions() emulator.Executions {
	region.t.Helper()
	resp, err := http.Get("http://" + region.services[0].fields["address"] + emulator.PathExecutions)
	if err != nil {
		region.t.Fatal(err)
	}
	defer resp.Body.Close()
	var executions emulator.Executions
	if err := json.NewDecoder(resp.Body).Decode(&executions); err != nil {
		region.t.Fatal(err)
	}
	return executions
}

// orderResponse is the response to an order.
type orderResponse struct {
	status int
	text   string
	code   string
	ticket string
}

// orderThrough sends an order through daemon i. The ticket may be empty.
func (region *testRegion) orderThrough(i int, ticket, name string) orderResponse {
	region.t.Helper()
	resp := post(region.t, region.daemons[i].fields["callers"], "/orders/runs", fmt.Sprintf(`{"order":%q}`, name), "X-Order-Ticket", ticket)
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		region.t.Fatal(err)
	}
	response := orderResponse{status: resp.StatusCode, text: string(text)}
	var failure struct{ Error struct{ Code, Ticket string } }
	if json.Unmarshal(text, &failure) == nil {
		response.code, response.ticket = failure.Error.Code, failure.Error.Ticket
	}
	return response
}

// issueTicket requests a ticket owned by daemon i.
func (region *testRegion) issueTicket(i int) string {
	region.t.Helper()
	response := region.orderThrough(i, "", "ticket")
	if response.ticket == "" {
		region.t.Fatalf("no ticket: %d %s", response.status, response.text)
	}
	return response.ticket
}

// A published configuration must reach every instance, also one that is restarted while the
// platform is down, and must not revert when the platform returns a stale revision.
func TestConfigurationReachesAllAndNeverReverts(t *testing.T) {
	region := newRegion(t, 4, 1)
	region.deployment.Classes[0].Deadline = config.Duration(30 * time.Second)
	region.publish()
	for i := range region.daemons {
		region.waitRevision(i, 2)
	}
	region.sendCommand(region.platform, emulator.Command{Faults: json.RawMessage(`{"stale_revisions":1}`)})
	region.daemons[3].kill()
	region.daemons[3] = region.startDaemon(3)
	region.waitReady(3, 1)
	region.waitRevision(3, 2)
	region.sendCommand(region.platform, emulator.Command{Faults: json.RawMessage(`{"stale_revisions":0,"down":true}`)})
	region.daemons[2].kill()
	region.daemons[2] = region.startDaemon(2)
	region.waitReady(2, 1)
	for i := range region.daemons {
		region.waitRevision(i, 2)
	}
}

// An instance must join through the platform's instance list if none of its seeds exists
// any more.
func TestJoinThroughThePlatformsList(t *testing.T) {
	region := newRegion(t, 2, 1)
	list, err := json.Marshal([]platformapi.Instance{
		{Name: "entry-0", Address: region.daemons[0].fields["gossip"], State: platformapi.Live, Role: platformapi.RoleEntry}})
	if err != nil {
		t.Fatal(err)
	}
	region.sendCommand(region.platform, emulator.Command{Instances: list})
	started := region.daemons
	region.daemons = nil
	region.daemons = append(started, region.startDaemon(2))
	region.waitReady(2, 2)
}

// If the owner of a ticket is killed before the order is sent, the other instances must
// report "not run" and never run it. It can be sent again with the new ticket.
func TestOrderAfterItsOwnerWasKilled(t *testing.T) {
	region := newRegion(t, 4, 0)
	ticket := region.issueTicket(0)
	region.daemons[0].kill()
	response := region.orderThrough(1, ticket, "shaft-1")
	if response.code != "order_not_run" || response.ticket == "" {
		t.Fatalf("got %d %s", response.status, response.text)
	}
	if r := region.orderThrough(2, response.ticket, "shaft-1"); r.status != http.StatusOK {
		t.Fatalf("new ticket: %d %s", r.status, r.text)
	}
	if r := region.orderThrough(3, ticket, "shaft-1"); r.code != "order_not_run" {
		t.Errorf("closed ticket: %d %s", r.status, r.text)
	}
	if n := region.executions().Orders["shaft-1"]; n != 1 {
		t.Errorf("the order ran %d times", n)
	}
}

// A completed order must return the same response after its owner was killed.
func TestCompletedOrderSurvivesItsOwner(t *testing.T) {
	region := newRegion(t, 4, 0)
	ticket := region.issueTicket(0)
	first := region.orderThrough(1, ticket, "shaft-2")
	if first.status != http.StatusOK {
		t.Fatalf("got %d %s", first.status, first.text)
	}
	region.daemons[0].kill()
	if again := region.orderThrough(2, ticket, "shaft-2"); again != first {
		t.Errorf("got %+v, want %+v", again, first)
	}
	if n := region.executions().Orders["shaft-2"]; n != 1 {
		t.Errorf("the order ran %d times", n)
	}
}

// A suspended owner must not run an order after it resumes if another instance has reported
// "not run" meanwhile.
func TestSuspendedOwnerDoesNotRunALateOrder(t *testing.T) {
	region := newRegion(t, 4, 0)
	ticket := region.issueTicket(0)
	region.daemons[0].suspend()
	first := region.orderThrough(1, ticket, "shaft-3")
	region.daemons[0].signal(syscall.SIGCONT)
	if first.code != "order_not_run" && first.code != "order_unknown" {
		t.Fatalf("got %d %s", first.status, first.text)
	}
	second := region.orderThrough(0, ticket, "shaft-3")
	ran := region.executions().Orders["shaft-3"]
	if ran > 1 || ran == 1 && first.code == "order_not_run" {
		t.Errorf("first %q, then %q, the order ran %d times", first.code, second.code, ran)
	}
}

// An upstream must receive no new requests from two seconds after the platform lists it as
// leaving. The test sends requests as soon as all daemons have read the list.
func TestLeavingUpstreamGetsNothingNew(t *testing.T) {
	region := newRegion(t, 4, 2)
	list, err := json.Marshal([]platformapi.Instance{{Name: "llm-0", Address: region.engines[0].fields["address"], State: platformapi.Leaving}})
	if err != nil {
		t.Fatal(err)
	}
	region.sendCommand(region.platform, emulator.Command{Instances: list})
	for i := range region.daemons {
		waitUntil(t, fmt.Sprintf("daemon %d to see the leaving upstream", i), func() bool {
			s, err := region.state(i)
			if err != nil {
				return false
			}
			for _, p := range s.Pools {
				for _, u := range p.Upstreams {
					if u.Upstream.Name == "llm-0" && !u.Upstream.Leaving {
						return false
					}
				}
			}
			return true
		})
	}
	before := region.engineRequests(0)
	for i := range region.daemons {
		for range 5 {
			resp := post(t, region.daemons[i].fields["callers"], "/v1/chat/completions", chatBody(t, 3))
			if _, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != http.StatusOK {
				t.Errorf("status %d, %v", resp.StatusCode, err)
			}
		}
	}
	if n := region.engineRequests(0) - before; n != 0 {
		t.Errorf("the leaving upstream received %d requests", n)
	}
}

func (region *testRegion) engineRequests(i int) uint64 {
	region.t.Helper()
	return region.engineStatus(i).Counters.Requests
}

// No request may fail in a rolling restart under load: each instance is stopped with SIGTERM
// while callers keep sending. Like a load balancer, callers avoid an instance once its
// readiness probe fails.
func TestRollingRestartFailsNoRequest(t *testing.T) {
	region := newRegion(t, 4, 2)
	var stopping atomic.Int32
	stopping.Store(-1)
	var daemonsMu sync.RWMutex // protects g.daemons while a daemon is replaced
	done := make(chan struct{})
	var callers sync.WaitGroup
	var sent, failed atomic.Int32
	for c := range 8 {
		callers.Go(func() {
			for n := c; ; n++ {
				select {
				case <-done:
					return
				default:
				}
				i := n % len(region.daemons)
				if int32(i) == stopping.Load() {
					continue
				}
				daemonsMu.RLock()
				address := region.daemons[i].fields["callers"]
				daemonsMu.RUnlock()
				sent.Add(1)
				if !chatSucceeds(t, address) {
					failed.Add(1)
				}
			}
		})
	}
	for i := range region.daemons {
		// A load balancer removes the instance when its readiness probe fails.
		region.daemons[i].signal(syscall.SIGTERM)
		waitUntil(t, "the readiness probe to fail", func() bool { return !isReady(region.daemons[i].fields["operations"]) })
		stopping.Store(int32(i))
		if code := region.daemons[i].wait(); code != 0 {
			t.Errorf("daemon %d: exit code %d", i, code)
		}
		replacement := region.startDaemon(i)
		daemonsMu.Lock()
		region.daemons[i] = replacement
		daemonsMu.Unlock()
		region.waitReady(i, len(region.daemons)-1)
		stopping.Store(-1)
	}
	close(done)
	callers.Wait()
	if failed.Load() > 0 || sent.Load() < 50 {
		t.Errorf("%d of %d requests failed", failed.Load(), sent.Load())
	}
	t.Logf("%d requests, none failed", sent.Load())
}

func isReady(operationsAddress string) bool {
	resp, err := http.Get("http://" + operationsAddress + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func chatSucceeds(t *testing.T, address string) bool {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(chatBody(t, 20)))
	if err != nil {
		return false
	}
	req.Close = true
	req.Header.Set("Authorization", "Bearer "+deskBearerKey)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		t.Logf("request: %v", err)
		return false
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	ok := err == nil && resp.StatusCode == http.StatusOK && bytes.Contains(text, []byte("[DONE]"))
	if !ok {
		t.Logf("status %d, %v, %.200s", resp.StatusCode, err, text)
	}
	return ok
}
