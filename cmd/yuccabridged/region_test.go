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

// region is a set of daemons with a platform and stand-ins, each its own process.
type region struct {
	t        *testing.T
	platform *process
	engines  []*process
	services []*process
	daemons  []*process
	keys     string
	d        *config.Deployment
}

// newRegion starts daemons alternately in the failure domains a and b.
func newRegion(t *testing.T, daemons, engines int) *region {
	t.Helper()
	g := &region{t: t, platform: start(t, "platform"), keys: write(t, "keys", strings.Repeat("ab", 32)+"\n")}
	var addresses []string
	for range engines {
		e := start(t, "engine")
		g.engines = append(g.engines, e)
		addresses = append(addresses, e.fields["address"])
	}
	g.services = append(g.services, start(t, "service"))
	g.d = deployment(addresses, g.services[0].fields["address"])
	g.publish()
	for i := range daemons {
		g.daemons = append(g.daemons, g.startDaemon(i))
	}
	for i := range g.daemons {
		g.waitReady(i, daemons-1)
	}
	return g
}

// startDaemon starts daemon i, which joins through the daemons that are there.
func (g *region) startDaemon(i int) *process {
	g.t.Helper()
	var seeds []string
	for j, d := range g.daemons {
		if j != i {
			seeds = append(seeds, fmt.Sprintf("%q", d.fields["gossip"]))
		}
	}
	return start(g.t, "daemon", "--settings", write(g.t, "settings.yaml", fmt.Sprintf(`instance: entry-%d
failure_domain: %c
callers: {address: "127.0.0.1:0"}
operations: {address: "127.0.0.2:0"}
peers:
  address: "127.0.0.1:0"
  gossip: "127.0.0.1:0"
  seeds: [%s]
  key_file: %s
platform: {address: "%s"}
`, i, 'a'+i%2, strings.Join(seeds, ", "), g.keys, g.platform.fields["address"])))
}

func (g *region) control(p *process, c emulator.Command) {
	g.t.Helper()
	text, err := json.Marshal(c)
	if err != nil {
		g.t.Fatal(err)
	}
	resp, err := http.Post("http://"+p.fields["address"]+"/control", "application/json", bytes.NewReader(text))
	if err != nil {
		g.t.Fatal(err)
	}
	defer resp.Body.Close()
	if resp.StatusCode != http.StatusOK {
		g.t.Fatalf("control: status %d", resp.StatusCode)
	}
}

func (g *region) publish() {
	g.t.Helper()
	text, err := g.d.YAML()
	if err != nil {
		g.t.Fatal(err)
	}
	g.control(g.platform, emulator.Command{Publish: string(text)})
}

// state reads the state dump of daemon i.
func (g *region) state(i int) (entry.State, error) {
	resp, err := http.Get("http://" + g.daemons[i].fields["operations"] + "/state")
	if err != nil {
		return entry.State{}, err
	}
	defer resp.Body.Close()
	var s entry.State
	return s, json.NewDecoder(resp.Body).Decode(&s)
}

// eventually waits for a condition that other processes bring about.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 1500 {
		if ok() {
			return
		}
		time.Sleep(20 * time.Millisecond)
	}
	t.Fatalf("%s did not happen", what)
}

func (g *region) waitReady(i, members int) {
	g.t.Helper()
	eventually(g.t, fmt.Sprintf("readiness of daemon %d", i), func() bool {
		s, err := g.state(i)
		return err == nil && s.Ready && len(s.Members) >= members
	})
}

func (g *region) waitRevision(i int, revision uint64) {
	g.t.Helper()
	var last entry.State
	g.t.Cleanup(func() {
		if g.t.Failed() {
			g.t.Logf("daemon %d: revision %d, configuration %+v, members %+v", i, last.Revision, last.Configuration, last.Members)
		}
	})
	eventually(g.t, fmt.Sprintf("revision %d at daemon %d", revision, i), func() bool {
		s, err := g.state(i)
		last = s
		if err == nil && s.Revision > revision {
			g.t.Fatalf("daemon %d has revision %d", i, s.Revision)
		}
		return err == nil && s.Revision == revision
	})
}

// executions reads how often each order ran.
func (g *region) executions() emulator.Executions {
	g.t.Helper()
	resp, err := http.Get("http://" + g.services[0].fields["address"] + emulator.PathExecutions)
	if err != nil {
		g.t.Fatal(err)
	}
	defer resp.Body.Close()
	var x emulator.Executions
	if err := json.NewDecoder(resp.Body).Decode(&x); err != nil {
		g.t.Fatal(err)
	}
	return x
}

// reply is a caller's answer.
type reply struct {
	status int
	text   string
	code   string
	ticket string
}

// order sends an order through daemon i; the ticket may be empty.
func (g *region) order(i int, ticket, name string) reply {
	g.t.Helper()
	resp := post(g.t, g.daemons[i].fields["callers"], "/orders/runs", fmt.Sprintf(`{"order":%q}`, name), "X-Order-Ticket", ticket)
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		g.t.Fatal(err)
	}
	r := reply{status: resp.StatusCode, text: string(text)}
	var e struct{ Error struct{ Code, Ticket string } }
	if json.Unmarshal(text, &e) == nil {
		r.code, r.ticket = e.Error.Code, e.Error.Ticket
	}
	return r
}

// ticketOf takes a ticket whose owner is daemon i.
func (g *region) ticketOf(i int) string {
	g.t.Helper()
	r := g.order(i, "", "ticket")
	if r.ticket == "" {
		g.t.Fatalf("no ticket: %d %s", r.status, r.text)
	}
	return r.ticket
}

// A configuration must reach every instance, survive the platform and never revert.
func TestConfigurationReachesAllAndNeverReverts(t *testing.T) {
	g := newRegion(t, 4, 1)
	g.d.Classes[0].Deadline = config.Duration(30 * time.Second)
	g.publish()
	for i := range g.daemons {
		g.waitRevision(i, 2)
	}
	g.control(g.platform, emulator.Command{Switches: json.RawMessage(`{"stale_revisions":1}`)})
	g.daemons[3].kill()
	g.daemons[3] = g.startDaemon(3)
	g.waitReady(3, 1)
	g.waitRevision(3, 2)
	g.control(g.platform, emulator.Command{Switches: json.RawMessage(`{"stale_revisions":0,"down":true}`)})
	g.daemons[2].kill()
	g.daemons[2] = g.startDaemon(2)
	g.waitReady(2, 1)
	for i := range g.daemons {
		g.waitRevision(i, 2)
	}
}

// An instance whose seeds have all been replaced must join through the platform's list.
func TestJoinThroughThePlatformsList(t *testing.T) {
	g := newRegion(t, 2, 1)
	list, err := json.Marshal([]platformapi.Instance{
		{Name: "entry-0", Address: g.daemons[0].fields["gossip"], State: platformapi.Live, Role: platformapi.RoleEntry}})
	if err != nil {
		t.Fatal(err)
	}
	g.control(g.platform, emulator.Command{Instances: list})
	known := g.daemons
	g.daemons = nil
	g.daemons = append(known, g.startDaemon(2))
	g.waitReady(2, 2)
}

// An order whose owner was killed before it was sent is "not run" through any other
// instance, never runs, and can be placed again with the new ticket.
func TestOrderAfterItsOwnerWasKilled(t *testing.T) {
	g := newRegion(t, 4, 0)
	ticket := g.ticketOf(0)
	g.daemons[0].kill()
	r := g.order(1, ticket, "shaft-1")
	if r.code != "order_not_run" || r.ticket == "" {
		t.Fatalf("got %d %s", r.status, r.text)
	}
	if r := g.order(2, r.ticket, "shaft-1"); r.status != http.StatusOK {
		t.Fatalf("new ticket: %d %s", r.status, r.text)
	}
	if r := g.order(3, ticket, "shaft-1"); r.code != "order_not_run" {
		t.Errorf("closed ticket: %d %s", r.status, r.text)
	}
	if n := g.executions().Orders["shaft-1"]; n != 1 {
		t.Errorf("the order ran %d times", n)
	}
}

// A finished order must give the same answer after its owner was killed.
func TestFinishedOrderSurvivesItsOwner(t *testing.T) {
	g := newRegion(t, 4, 0)
	ticket := g.ticketOf(0)
	first := g.order(1, ticket, "shaft-2")
	if first.status != http.StatusOK {
		t.Fatalf("got %d %s", first.status, first.text)
	}
	g.daemons[0].kill()
	if again := g.order(2, ticket, "shaft-2"); again != first {
		t.Errorf("got %+v, want %+v", again, first)
	}
	if n := g.executions().Orders["shaft-2"]; n != 1 {
		t.Errorf("the order ran %d times", n)
	}
}

// A frozen owner must not run an order after another instance said "not run".
func TestFrozenOwnerDoesNotRunALateOrder(t *testing.T) {
	g := newRegion(t, 4, 0)
	ticket := g.ticketOf(0)
	g.daemons[0].signal(syscall.SIGSTOP)
	r := g.order(1, ticket, "shaft-3")
	g.daemons[0].signal(syscall.SIGCONT)
	if r.code != "order_not_run" && r.code != "order_unknown" {
		t.Fatalf("got %d %s", r.status, r.text)
	}
	again := g.order(0, ticket, "shaft-3")
	ran := g.executions().Orders["shaft-3"]
	if ran > 1 || ran == 1 && r.code == "order_not_run" {
		t.Errorf("first %q, then %q, the order ran %d times", r.code, again.code, ran)
	}
}

// An upstream that leaves must get no new request within two seconds of the list.
func TestLeavingUpstreamGetsNothingNew(t *testing.T) {
	g := newRegion(t, 4, 2)
	list, err := json.Marshal([]platformapi.Instance{{Name: "llm-0", Address: g.engines[0].fields["address"], State: platformapi.Leaving}})
	if err != nil {
		t.Fatal(err)
	}
	g.control(g.platform, emulator.Command{Instances: list})
	for i := range g.daemons {
		eventually(t, fmt.Sprintf("news at daemon %d", i), func() bool {
			s, err := g.state(i)
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
	before := g.engineRequests(0)
	for i := range g.daemons {
		for range 5 {
			resp := post(t, g.daemons[i].fields["callers"], "/v1/chat/completions", chatBody(t, 3))
			if _, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode != http.StatusOK {
				t.Errorf("status %d, %v", resp.StatusCode, err)
			}
		}
	}
	if n := g.engineRequests(0) - before; n != 0 {
		t.Errorf("the leaving upstream got %d requests", n)
	}
}

func (g *region) engineRequests(i int) uint64 {
	g.t.Helper()
	return g.engineStatus(i).Counters.Requests
}

// A rolling restart under load must fail no request: each instance is told to stop
// while callers keep sending, and callers follow the readiness as a balancer does.
func TestRollingRestartFailsNoRequest(t *testing.T) {
	g := newRegion(t, 4, 2)
	var stopping atomic.Int32
	stopping.Store(-1)
	var lock sync.RWMutex // guards daemons against the replacement of one
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
				i := n % len(g.daemons)
				if int32(i) == stopping.Load() {
					continue
				}
				lock.RLock()
				address := g.daemons[i].fields["callers"]
				lock.RUnlock()
				sent.Add(1)
				if !chatOnce(t, address) {
					failed.Add(1)
				}
			}
		})
	}
	for i := range g.daemons {
		// The balancer takes the instance out after it has seen the failed readiness.
		g.daemons[i].signal(syscall.SIGTERM)
		eventually(t, "the failed readiness", func() bool { return !ready(g.daemons[i].fields["operations"]) })
		stopping.Store(int32(i))
		if code := g.daemons[i].wait(); code != 0 {
			t.Errorf("daemon %d: exit code %d", i, code)
		}
		fresh := g.startDaemon(i)
		lock.Lock()
		g.daemons[i] = fresh
		lock.Unlock()
		g.waitReady(i, len(g.daemons)-1)
		stopping.Store(-1)
	}
	close(done)
	callers.Wait()
	if failed.Load() > 0 || sent.Load() < 50 {
		t.Errorf("%d of %d requests failed", failed.Load(), sent.Load())
	}
	t.Logf("%d requests, none failed", sent.Load())
}

func ready(operations string) bool {
	resp, err := http.Get("http://" + operations + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

func chatOnce(t *testing.T, address string) bool {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/v1/chat/completions", strings.NewReader(chatBody(t, 20)))
	if err != nil {
		return false
	}
	req.Close = true
	req.Header.Set("Authorization", "Bearer "+deskKey)
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
