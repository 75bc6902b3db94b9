package entry

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/yuccabridge/yuccabridge/config"
	"github.com/yuccabridge/yuccabridge/internal/emulator"
)

// eventually polls a condition for about 10 s and fails the test if it is never met.
func eventually(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for range 1000 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("timed out waiting for: %s", description)
}

// waitForLoads waits until the incarnation of every engine is known.
func (env *testEnv) waitForLoads() {
	env.t.Helper()
	p := env.instance.routes.Load().models["llm"]
	eventually(env.t, "load reports of all engines", func() bool {
		for i := range env.engines {
			if p.lastIncarnation(fmt.Sprintf("llm-%d", i)) == "" {
				return false
			}
		}
		return true
	})
}

func (env *testEnv) engineCrashes() (n uint64) {
	for _, e := range env.engines {
		n += e.Counters().Crashes
	}
	return n
}

// A request that crashes engines must crash at most two of them, including resends, and
// other requests must still be served.
func TestCrashingRequestCrashesAtMostTwoEngines(t *testing.T) {
	env := newTestEnv(t, 5, nil)
	env.waitForLoads()
	for _, e := range env.engines {
		e.SetFaults(emulator.EngineFaults{CrashMarker: "poison"})
	}
	for range 4 {
		resp := env.post(chatPath, testKey, chatBody(true, 5, "poison"))
		if resp.StatusCode == http.StatusOK {
			t.Fatal("the request that crashes engines was served")
		}
	}
	if n := env.engineCrashes(); n > 2 {
		t.Errorf("%d engines crashed, want at most 2", n)
	}
	resp := env.post(chatPath, testKey, chatBody(true, 5, "poison"))
	if resp.StatusCode != http.StatusUnprocessableEntity {
		t.Errorf("status %d, want 422", resp.StatusCode)
	}
	resp = env.post(chatPath, testKey, chatBody(true, 5, "innocent"))
	if n, done := readStream(t, resp, "innocent"); n != 5 || !done {
		t.Errorf("other request: %d tokens, done %v", n, done)
	}
}

// Requests that were running on a crashed engine must be served in full by other engines.
func TestOtherRequestsSurviveEngineCrash(t *testing.T) {
	env := newTestEnv(t, 4, nil)
	env.waitForLoads()
	var group sync.WaitGroup
	for i := range 12 {
		group.Go(func() {
			echo := fmt.Sprintf("innocent-%d", i)
			resp := env.post(chatPath, testKey, chatBody(false, 60, echo))
			var a emulator.ChatResponse
			if err := json.NewDecoder(resp.Body).Decode(&a); err != nil || a.Echo != echo {
				t.Errorf("request %d: status %d, %+v, %v", i, resp.StatusCode, a, err)
			}
		})
	}
	eventually(t, "request on the first engine", func() bool { return env.engines[0].Counters().Requests > 0 })
	env.engines[0].Crash()
	group.Wait()
}

// A stream whose connection stops delivering data must be resumed at the same engine
// without missing or repeated tokens.
func TestSilentStreamIsResumed(t *testing.T) {
	env := newTestEnv(t, 1, nil)
	resp := env.post(chatPath, testKey, chatBody(true, 200, "silent"))
	eventually(t, "some tokens", func() bool { return env.engines[0].Counters().TokensGenerated > 20 })
	env.engines[0].Silence()
	if n, done := readStream(t, resp, "silent"); n != 200 || !done {
		t.Errorf("got %d tokens, done %v", n, done)
	}
}

// A stream that cannot be resumed must end with an error event and must not be continued
// with tokens from another engine.
func TestBrokenStreamEndsWithAnError(t *testing.T) {
	env := newTestEnv(t, 2, nil)
	env.waitForLoads()
	resp := env.post(chatPath, testKey, chatBody(true, 2000, "broken"))
	busy := env.busyEngine()
	busy.Crash()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(text), `"code":"upstream_failed"`) || strings.Contains(string(text), "[DONE]") {
		t.Errorf("the stream ends with %q", text[max(0, len(text)-200):])
	}
}

func (env *testEnv) busyEngine() *emulator.Engine {
	env.t.Helper()
	var busy *emulator.Engine
	eventually(env.t, "a busy engine", func() bool {
		for _, e := range env.engines {
			if e.Counters().TokensGenerated > 5 {
				busy = e
			}
		}
		return busy != nil
	})
	return busy
}

// If the caller disconnects, the request must be cancelled at the engine.
func TestCallerDisconnectCancelsEngineRequest(t *testing.T) {
	env := newTestEnv(t, 1, nil)
	for _, stream := range []bool{true, false} {
		before := env.engines[0].Counters()
		ctx, cancel := context.WithCancel(context.Background())
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+env.instance.CallersAddress()+chatPath, strings.NewReader(chatBody(stream, 5000, "gone")))
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+testKey)
		go func() {
			resp, err := http.DefaultClient.Do(req)
			if err == nil {
				resp.Body.Close()
			}
		}()
		eventually(t, "tokens from the engine", func() bool { return env.engines[0].Counters().TokensGenerated > before.TokensGenerated })
		cancel()
		eventually(t, "cancellation at the engine", func() bool { return env.engines[0].Counters().Cancelled > before.Cancelled })
	}
}

// A response that belongs to another request must never reach the caller.
func TestMismatchedResponsesAreDropped(t *testing.T) {
	env := newTestEnv(t, 2, nil)
	for _, e := range env.engines {
		e.SetFaults(emulator.EngineFaults{WrongIDEvery: 2})
	}
	served := 0
	for i := range 10 {
		echo := fmt.Sprintf("mine-%d", i)
		resp := env.post(chatPath, testKey, chatBody(true, 5, echo))
		if resp.StatusCode != http.StatusOK {
			continue
		}
		if n, done := readStream(t, resp, echo); n == 5 && done {
			served++
		}
	}
	if served == 0 {
		t.Error("no request was served")
	}
}

func (env *testEnv) postOrder(ticket, body string) (*http.Response, string) {
	env.t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+env.instance.CallersAddress()+"/orders/runs", strings.NewReader(body))
	if err != nil {
		env.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	req.Header.Set(headerTicket, ticket)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		env.t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		env.t.Fatal(err)
	}
	return resp, string(text)
}

func decodeError(t *testing.T, text string) (code, run, ticket string) {
	t.Helper()
	var e struct {
		Error struct{ Code, Run, Ticket string }
	}
	if err := json.Unmarshal([]byte(text), &e); err != nil {
		t.Fatalf("%q: %v", text, err)
	}
	return e.Error.Code, e.Error.Run, e.Error.Ticket
}

// An order must run once however often it is sent, and every resend must get the same
// response.
func TestOrderRunsOnce(t *testing.T) {
	env := newTestEnv(t, 0, func(d *config.Deployment) { d.Models = nil })
	resp, text := env.postOrder("", `{"order":"shaft-1"}`)
	code, run, ticket := decodeError(t, text)
	if resp.StatusCode != 428 || code != "ticket_required" || run != "not_run" || ticket == "" {
		t.Fatalf("without a ticket: %d %s", resp.StatusCode, text)
	}
	var responses []string
	var mu sync.Mutex
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			resp, text := env.postOrder(ticket, `{"order":"shaft-1"}`)
			if resp.StatusCode != http.StatusOK {
				t.Errorf("status %d: %s", resp.StatusCode, text)
			}
			mu.Lock()
			responses = append(responses, text)
			mu.Unlock()
		})
	}
	group.Wait()
	for _, a := range responses {
		if a != responses[0] {
			t.Errorf("responses differ: %q and %q", a, responses[0])
		}
	}
	if n := env.service.Executions().Orders["shaft-1"]; n != 1 {
		t.Errorf("the order ran %d times", n)
	}
	if resp, text := env.postOrder(ticket, `{"order":"shaft-2"}`); resp.StatusCode != 422 {
		t.Errorf("another body: status %d: %s", resp.StatusCode, text)
	}
	if resp, text := env.postOrder(ticket+"x", `{"order":"shaft-1"}`); resp.StatusCode != 400 {
		t.Errorf("forged ticket: status %d: %s", resp.StatusCode, text)
	}
}

// An order whose response is lost may have run: it must be reported as "unknown", and a
// resend must not run it again.
func TestOrderWithLostResponseIsUnknown(t *testing.T) {
	env := newTestEnv(t, 0, func(d *config.Deployment) { d.Models = nil })
	env.service.SetFaults(emulator.ServiceFaults{DropResponseEvery: 1})
	_, text := env.postOrder("", `{"order":"shaft-3"}`)
	_, _, ticket := decodeError(t, text)
	for range 3 {
		_, text := env.postOrder(ticket, `{"order":"shaft-3"}`)
		if code, run, _ := decodeError(t, text); code != "order_unknown" || run != "unknown" {
			t.Errorf("got %s", text)
		}
	}
	if n := env.service.Executions().Orders["shaft-3"]; n != 1 {
		t.Errorf("the order ran %d times", n)
	}
}

// An order that was never sent must be reported as not run, and it must run under a new
// ticket.
func TestUnsentOrderIsNotRun(t *testing.T) {
	env := newTestEnv(t, 0, func(d *config.Deployment) { d.Models = nil })
	env.service.Crash()
	_, text := env.postOrder("", `{"order":"shaft-4"}`)
	_, _, ticket := decodeError(t, text)
	_, text = env.postOrder(ticket, `{"order":"shaft-4"}`)
	code, run, newTicket := decodeError(t, text)
	if code != "order_not_run" || run != "not_run" || newTicket == "" {
		t.Fatalf("got %s", text)
	}
	if err := env.service.Restart(); err != nil {
		t.Fatal(err)
	}
	if _, text := env.postOrder(ticket, `{"order":"shaft-4"}`); !strings.Contains(text, "order_not_run") {
		t.Errorf("a closed ticket: %s", text)
	}
	eventually(t, "the order with a new ticket", func() bool {
		resp, text := env.postOrder(newTicket, `{"order":"shaft-4"}`)
		if resp.StatusCode != http.StatusOK {
			_, _, newTicket = decodeError(t, text)
		}
		return resp.StatusCode == http.StatusOK
	})
	if n := env.service.Executions().Orders["shaft-4"]; n != 1 {
		t.Errorf("the order ran %d times", n)
	}
}

// The write timeout must not cut off a stream whose caller keeps reading. This response
// takes one and a half times the timeout.
func TestLongStreamOutlivesWriteTimeout(t *testing.T) {
	env := newTestEnv(t, 1, nil)
	defer env.stop()
	resp := env.post(chatPath, testKey, `{"model":"llm","stream":true,"messages":[{"role":"user","content":"x"}],"emulate":{"output_tokens":60}}`)
	body, err := io.ReadAll(resp.Body)
	if err != nil || !strings.HasSuffix(string(body), "data: [DONE]\n\n") || strings.Count(string(body), "data: ") != 62 {
		t.Errorf("%d events, %v", strings.Count(string(body), "data: "), err)
	}
}

// A request that is rejected after crashing two engines has run, so the error must not
// report it as "not run".
func TestRejectionAfterCrashesReportsUnknown(t *testing.T) {
	env := newTestEnv(t, 5, nil)
	defer env.stop()
	env.waitForLoads()
	for _, e := range env.engines {
		e.SetFaults(emulator.EngineFaults{CrashMarker: "poison"})
	}
	resp := env.post(chatPath, testKey, chatBody(true, 5, "poison"))
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	if code, run, _ := decodeError(t, string(body)); code != "request_crashes_upstreams" || run != "unknown" {
		t.Errorf("code %s, run %s", code, run)
	}
}
