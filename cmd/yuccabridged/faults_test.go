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

func (g *region) engineStatus(i int) emulator.Status[emulator.EngineSwitches, emulator.EngineCounters] {
	g.t.Helper()
	resp, err := http.Get("http://" + g.engines[i].fields["address"] + "/control")
	if err != nil {
		g.t.Fatal(err)
	}
	defer resp.Body.Close()
	var s emulator.Status[emulator.EngineSwitches, emulator.EngineCounters]
	if err := json.NewDecoder(resp.Body).Decode(&s); err != nil {
		g.t.Fatal(err)
	}
	return s
}

func markedBody(t *testing.T, text string) string {
	t.Helper()
	return strings.Replace(chatBody(t, 5), "rack load", text, 1)
}

// A request that crashes engines, resent through one instance after the other, must
// take down at most two engines of the whole region, and others must still be served.
func TestPoisonThroughAllInstances(t *testing.T) {
	g := newRegion(t, 4, 5)
	for _, e := range g.engines {
		g.control(e, emulator.Command{Switches: json.RawMessage(`{"crash_marker":"poison","crash_restart":"300ms"}`)})
	}
	for round := range 8 {
		resp := post(t, g.daemons[round%4].fields["callers"], "/v1/chat/completions", markedBody(t, "poison"))
		if _, err := io.ReadAll(resp.Body); err != nil || resp.StatusCode == http.StatusOK {
			t.Errorf("round %d: status %d, %v", round, resp.StatusCode, err)
		}
	}
	time.Sleep(500 * time.Millisecond) // the engines restart, so that their counters can be read
	crashes := uint64(0)
	for i := range g.engines {
		crashes += g.engineStatus(i).Counters.Crashes
	}
	if crashes > 2 {
		t.Errorf("%d engines crashed, want at most 2", crashes)
	}
	for i := range g.daemons {
		if !chatOnce(t, g.daemons[i].fields["callers"]) {
			t.Errorf("daemon %d does not serve an innocent request", i)
		}
	}
}

// orderRun is what one caller knows at the end.
type orderRun struct {
	name    string
	notRun  []string // tickets that were answered with "not run"
	unknown int      // answers that left it open
	done    bool
}

// Orders must run at most once, and tickets that were answered with "not run" never,
// while instances are killed, frozen and replaced and callers resend through others.
func TestOrdersUnderKillsAndFreezes(t *testing.T) {
	g := newRegion(t, 4, 0)
	rng := rand.New(rand.NewPCG(20261203, 2))
	runs := g.underOrders(func(replace func(int)) {
		for range 4 {
			i := rng.IntN(len(g.daemons))
			g.daemons[i].signal(syscall.SIGSTOP)
			time.Sleep(time.Duration(200+rng.IntN(600)) * time.Millisecond)
			g.daemons[i].signal(syscall.SIGCONT)
			k := rng.IntN(len(g.daemons))
			g.daemons[k].kill()
			replace(k)
		}
	})
	g.checkRuns(runs)
}

// Planned stops must leave no order unknown: the ledger of a stopped owner is handed
// over, and its unused tickets are "not run".
func TestOrdersDuringARollingRestart(t *testing.T) {
	g := newRegion(t, 4, 0)
	runs := g.underOrders(func(replace func(int)) {
		for i := range g.daemons {
			g.daemons[i].signal(syscall.SIGTERM)
			if code := g.daemons[i].wait(); code != 0 {
				t.Errorf("daemon %d: exit code %d", i, code)
			}
			replace(i)
		}
	})
	g.checkRuns(runs)
	for _, run := range runs {
		if run.unknown > 0 || !run.done {
			t.Errorf("order %s: answered %v, %d times unknown", run.name, run.done, run.unknown)
		}
	}
}

// underOrders sends orders while faults runs, and returns what the callers know. The
// function that faults receives replaces a daemon that has ended.
func (g *region) underOrders(faults func(replace func(int))) []orderRun {
	stop := make(chan struct{})
	var lock sync.RWMutex
	var callers sync.WaitGroup
	var mu sync.Mutex
	var runs []orderRun
	for c := range 6 {
		callers.Go(func() {
			rng := rand.New(rand.NewPCG(uint64(c), 1))
			for n := 0; ; n++ {
				select {
				case <-stop:
					return
				default:
				}
				run := g.placeOrder(rng, &lock, fmt.Sprintf("run-%d-%d", c, n))
				mu.Lock()
				runs = append(runs, run)
				mu.Unlock()
			}
		})
	}
	faults(func(i int) {
		fresh := g.startDaemon(i)
		lock.Lock()
		g.daemons[i] = fresh
		lock.Unlock()
		g.waitReady(i, 1)
	})
	close(stop)
	callers.Wait()
	return runs
}

// placeOrder sends one order with resends through random instances until it has an
// answer or its ticket is unknown.
func (g *region) placeOrder(rng *rand.Rand, lock *sync.RWMutex, name string) orderRun {
	run := orderRun{name: name}
	ticket := ""
	for range 20 {
		lock.RLock()
		address := g.daemons[rng.IntN(len(g.daemons))].fields["callers"]
		lock.RUnlock()
		r, ok := tryOrder(address, ticket, name)
		switch {
		case !ok: // the answer is lost: the same ticket is sent again
		case r.status == http.StatusOK:
			run.done = true
			return run
		case r.code == "ticket_required":
			ticket = r.ticket
		case r.code == "order_not_run":
			run.notRun = append(run.notRun, ticket)
			ticket = r.ticket
		case r.code == "order_unknown":
			run.unknown++
		}
	}
	return run
}

// tryOrder sends an order once. The second result is false when no answer came.
func tryOrder(address, ticket, name string) (reply, bool) {
	req, err := http.NewRequest(http.MethodPost, "http://"+address+"/orders/runs", strings.NewReader(fmt.Sprintf(`{"order":%q}`, name)))
	if err != nil {
		return reply{}, false
	}
	req.Close = true
	req.Header.Set("Authorization", "Bearer "+deskKey)
	if ticket != "" {
		req.Header.Set("X-Order-Ticket", ticket)
	}
	client := http.Client{Timeout: 3 * time.Second}
	resp, err := client.Do(req)
	if err != nil {
		return reply{}, false
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return reply{}, false
	}
	r := reply{status: resp.StatusCode, text: string(text)}
	var e struct{ Error struct{ Code, Ticket string } }
	if json.Unmarshal(text, &e) == nil {
		r.code, r.ticket = e.Error.Code, e.Error.Ticket
	}
	return r, true
}

func (g *region) checkRuns(runs []orderRun) {
	g.t.Helper()
	x := g.executions()
	done, notRun := 0, 0
	for _, run := range runs {
		if n := x.Orders[run.name]; n > 1 || run.done && n != 1 {
			g.t.Errorf("order %s ran %d times, answered %v", run.name, n, run.done)
		}
		for _, ticket := range run.notRun {
			if n := x.Keys[ticket]; n != 0 {
				g.t.Errorf("order %s: a ticket that was answered with 'not run' ran %d times", run.name, n)
			}
		}
		notRun += len(run.notRun)
		if run.done {
			done++
		}
	}
	if done == 0 {
		g.t.Error("no order was answered")
	}
	g.t.Logf("%d orders, %d answered, %d tickets not run", len(runs), done, notRun)
}
