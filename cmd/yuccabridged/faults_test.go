package main

import (
	"encoding/json"
	"fmt"
	"io"
	"math/rand/v2"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/yuccabridge/yuccabridge/internal/emulator"
)

func (region *testRegion) engineStatus(i int) emulator.Status[emulator.EngineFaults, emulator.EngineCounters] {
	region.t.Helper()
	resp, err := http.Get("http://" + region.engines[i].fields["address"] + "/control")
	if err != nil {
		region.t.Fatal(err)
	}
	defer resp.Body.Close()
	var s emulator.Status[emulator.EngineFaults, emulator.EngineCounters]
	if err := json.NewDecoder(resp.Body).Decode(&s); err != nil {
		region.t.Fatal(err)
	}
	return s
}

func chatBodyWithContent(t *testing.T, content string) string {
	t.Helper()
	return strings.Replace(chatBody(t, 5), "rack load", content, 1)
}

// A poison request, which crashes every engine that runs it, is resent through one instance
// after the other. It must crash at most two engines in the region, and other requests must
// still be served.
func TestPoisonRequestThroughAllInstances(t *testing.T) {
	region := newRegion(t, 4, 5)
	for _, e := range region.engines {
		region.sendCommand(e, emulator.Command{Faults: json.RawMessage(`{"crash_marker":"poison","crash_restart":"300ms"}`)})
	}
	for round := range 8 {
		resp := post(t, region.daemons[round%4].fields["callers"], "/v1/chat/completions", chatBodyWithContent(t, "poison"))
		if _, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode == http.StatusOK {
			t.Errorf("round %d: status %d, %v", round, resp.StatusCode, err)
		}
	}
	time.Sleep(500 * time.Millisecond) // wait until the engines have restarted and their counters can be read
	crashes := uint64(0)
	for i := range region.engines {
		crashes += region.engineStatus(i).Counters.Crashes
	}
	if crashes > 2 {
		t.Errorf("%d engines crashed, want at most 2", crashes)
	}
	for i := range region.daemons {
		if !chatSucceeds(t, region.daemons[i].fields["callers"]) {
			t.Errorf("daemon %d does not serve a harmless request", i)
		}
	}
}

// orderOutcome is what a caller knows about an order after its last response.
type orderOutcome struct {
	name             string
	notRunTickets    []string // tickets reported as "not run"
	unknownResponses int      // responses that left the outcome open
	completed        bool
}

// Orders must run at most once, and tickets reported as "not run" must never run, while
// instances are killed, suspended and replaced and callers resend through other instances.
func TestOrdersUnderKillsAndSuspensions(t *testing.T) {
	region := newRegion(t, 4, 0)
	rng := rand.New(rand.NewPCG(20261203, 2))
	outcomes := region.sendOrdersDuring(func(replaceDaemon func(int)) {
		for range 4 {
			i := rng.IntN(len(region.daemons))
			region.daemons[i].signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(200+rng.IntN(600)) * time.Millisecond)
			region.daemons[i].signal(syscall.SIGCONT)
			k := rng.IntN(len(region.daemons))
			region.daemons[k].kill()
			replaceDaemon(k)
		}
	})
	region.checkOrderOutcomes(outcomes)
}

// A graceful shutdown must leave no order with an unknown outcome: the ledger of the
// stopping owner is handed over, and its unused tickets are reported as "not run".
func TestOrdersDuringARollingRestart(t *testing.T) {
	region := newRegion(t, 4, 0)
	outcomes := region.sendOrdersDuring(func(replaceDaemon func(int)) {
		for i := range region.daemons {
			region.daemons[i].signal(syscall.SIGTERM)
			if code := region.daemons[i].wait(); code != 0 {
				t.Errorf("daemon %d: exit code %d", i, code)
			}
			replaceDaemon(i)
		}
	})
	region.checkOrderOutcomes(outcomes)
	for _, outcome := range outcomes {
		if outcome.unknownResponses > 0 || !outcome.completed {
			t.Errorf("order %s: completed %v, %d times unknown", outcome.name, outcome.completed, outcome.unknownResponses)
		}
	}
}

// sendOrdersDuring sends orders from several callers while injectFaults runs, and returns
// the outcomes known to the callers. injectFaults receives a function that replaces a daemon
// that has exited.
func (region *testRegion) sendOrdersDuring(injectFaults func(replaceDaemon func(int))) []orderOutcome {
	stop := make(chan struct{})
	var daemonsMu sync.RWMutex
	var callers sync.WaitGroup
	var outcomesMu sync.Mutex
	var outcomes []orderOutcome
	for c := range 6 {
		callers.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(c), 1))
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				outcome := region.submitOrder(rng, &daemonsMu, fmt.Sprintf("run-%d-%d", c, n))
				outcomesMu.Lock()
				outcomes = append(outcomes, outcome)
				outcomesMu.Unlock()
			}
		})
	}
	injectFaults(func(i int) {
		replacement := region.startDaemon(i)
		daemonsMu.Lock()
		region.daemons[i] = replacement
		daemonsMu.Unlock()
		region.waitReady(i, 1)
	})
	close(stop)
	callers.Wait()
	return outcomes
}

// submitOrder sends one order through random instances, up to 20 times, until it has run.
func (region *testRegion) submitOrder(rng *rand.Rand, daemonsMu *sync.RWMutex, name string) orderOutcome {
	outcome := orderOutcome{name: name}
	ticket := ""
	for range 20 {
		daemonsMu.RLock()
		address := region.daemons[rng.IntN(len(region.daemons))].fields["callers"]
		daemonsMu.RUnlock()
		response, received := sendOrder(address, ticket, name)
		switch {
		case !received: // the response was lost: resend with the same ticket
		case response.status == http.StatusOK:
			outcome.completed = true
			return outcome
		case response.code == "ticket_required":
			ticket = response.ticket
		case response.code == "order_not_run":
			outcome.notRunTickets = append(outcome.notRunTickets, ticket)
			ticket = response.ticket
		case response.code == "order_unknown":
			outcome.unknownResponses++
		}
	}
	return outcome
}

// sendOrder sends an order once. The second result is false if no response was received.
func sendOrder(address, ticket, name string) (orderResponse, bool) {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/orders/runs", strings.NewReader(fmt.Sprintf(`{"order":%q}`, name)))
	if err != nil {
		return orderResponse{}, false
	}
	req.Close = true
	req.Header.Set("Authorization", "Bearer "+deskBearerKey)
	if ticket != "" {
		req.Header.Set("X-Order-Ticket", ticket)
	}
	client := http.Client{Timeout: 3 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return orderResponse{}, false
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return orderResponse{}, false
	}
	response := orderResponse{status: resp.StatusCode, text: string(text)}
	var failure struct{ Error struct{ Code, Ticket string } }
	if json.Unmarshal(text, &failure) == nil {
		response.code, response.ticket = failure.Error.Code, failure.Error.Ticket
	}
	return response, true
}

func (region *testRegion) checkOrderOutcomes(outcomes []orderOutcome) {
	region.t.Helper()
	executions := region.executions()
	completed, notRunTickets := 0, 0
	for _, outcome := range outcomes {
		if runs := executions.Orders[outcome.name]; runs > 1 || outcome.completed && runs != 1 {
			region.t.Errorf("order %s ran %d times, completed %v", outcome.name, runs, outcome.completed)
		}
		for _, ticket := range outcome.notRunTickets {
			if runs := executions.Keys[ticket]; runs != 0 {
				region.t.Errorf("order %s: a ticket reported as 'not run' ran %d times", outcome.name, runs)
			}
		}
		notRunTickets += len(outcome.notRunTickets)
		if outcome.completed {
			completed++
		}
	}
	if completed == 0 {
		region.t.Error("no order was completed")
	}
	region.t.Logf("%d orders, %d completed, %d tickets not run", len(outcomes), completed, notRunTickets)
}
