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

// eventually waits for a condition that another goroutine brings about.
func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 1000 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	t.Fatalf("%s did not happen", what)
}

// waitForLoads waits until the incarnation of every engine is known.
func (b *bench) waitForLoads() {
	b.t.Helper()
	p := b.in.routes.Load().models["llm"]
	eventually(b.t, "load reports of all engines", func() bool {
		for i := range b.engines {
			if p.incarnation(fmt.Sprintf("llm-%d", i)) == "" {
				return false
			}
		}
		return true
	})
}

func (b *bench) crashes() (n uint64) {
	for _, e := range b.engines {
		n += e.Counters().Crashes
	}
	return n
}

// A request that crashes engines must take down at most two, resends included, and a
// request beside it must still be served.
func TestPoisonRequestTakesDownTwoEnginesAtMost(t *testing.T) {
	b := newBench(t, 5, nil)
	b.waitForLoads()
	for _, e := range b.engines {
		e.SetFaults(emulator.EngineFaults{CrashMarker: "poison"})
	}
	for range 4 {
		resp := b.post(chatPath, testKey, chatBody(true, 5, "poison"))
		if resp.StatusCode == http.StatusOK {
			t.Fatal("the request that crashes engines was answered")
		}
	}
	if n := b.crashes(); n > 2 {
		t.Errorf("%d engines crashed, want at most 2", n)
	}
	resp := b.post(chatPath, testKey, chatBody(true, 5, "poison"))
	if resp.StatusCode != http.StatusUnprocessableEntity {
		t.Errorf("status %d, want 422", resp.StatusCode)
	}
	resp = b.post(chatPath, testKey, chatBody(true, 5, "innocent"))
	if n, done := readStream(t, resp, "innocent"); n != 5 || !done {
		t.Errorf("innocent request: %d tokens, done %v", n, done)
	}
}

// Requests that ran beside a crashing one must be served by other engines, whole.
func TestInnocentRequestsSurviveACrash(t *testing.T) {
	b := newBench(t, 4, nil)
	b.waitForLoads()
	var group sync.WaitGroup
	for i := range 12 {
		group.Go(func() {
			echo := fmt.Sprintf("innocent-%d", i)
			resp := b.post(chatPath, testKey, chatBody(false, 60, echo))
			var a emulator.ChatResponse
			if err := json.NewDecoder(resp.Body).Decode(&a); err != nil || a.Echo != echo {
				t.Errorf("request %d: status %d, %+v, %v", i, resp.StatusCode, a, err)
			}
		})
	}
	eventually(t, "work on the first engine", func() bool { return b.engines[0].Counters().Requests > 0 })
	b.engines[0].Crash()
	group.Wait()
}

// A stream whose connection goes silent must continue at the same engine without a
// missing or repeated token.
func TestSilentStreamIsResumed(t *testing.T) {
	b := newBench(t, 1, nil)
	resp := b.post(chatPath, testKey, chatBody(true, 200, "silent"))
	eventually(t, "some tokens", func() bool { return b.engines[0].Counters().TokensGenerated > 20 })
	b.engines[0].Silence()
	if n, done := readStream(t, resp, "silent"); n != 200 || !done {
		t.Errorf("got %d tokens, done %v", n, done)
	}
}

// A stream that cannot be resumed must end with an error event, never with tokens of
// another generation.
func TestBrokenStreamEndsWithAnError(t *testing.T) {
	b := newBench(t, 2, nil)
	b.waitForLoads()
	resp := b.post(chatPath, testKey, chatBody(true, 2000, "broken"))
	busy := b.busyEngine()
	busy.Crash()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(text), `"code":"upstream_failed"`) || strings.Contains(string(text), "[DONE]") {
		t.Errorf("the stream ends with %q", text[max(0, len(text)-200):])
	}
}

func (b *bench) busyEngine() *emulator.Engine {
	b.t.Helper()
	var busy *emulator.Engine
	eventually(b.t, "a busy engine", func() bool {
		for _, e := range b.engines {
			if e.Counters().TokensGenerated > 5 {
				busy = e
			}
		}
		return busy != nil
	})
	return busy
}

// A caller that goes away must not keep an engine working.
func TestCallerGoneCancelsTheWork(t *testing.T) {
	b := newBench(t, 1, nil)
	for _, stream := range []bool{true, false} {
		before := b.engines[0].Counters()
		ctx, cancel := context.WithCancel(context.Background())
		req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+b.in.CallersAddress()+chatPath, strings.NewReader(chatBody(stream, 5000, "gone")))
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
		eventually(t, "work at the engine", func() bool { return b.engines[0].Counters().TokensGenerated > before.TokensGenerated })
		cancel()
		eventually(t, "the cancel at the engine", func() bool { return b.engines[0].Counters().Cancelled > before.Cancelled })
	}
}

// An answer of another request must never reach the caller.
func TestForeignAnswersAreDropped(t *testing.T) {
	b := newBench(t, 2, nil)
	for _, e := range b.engines {
		e.SetFaults(emulator.EngineFaults{WrongIDEvery: 2})
	}
	served := 0
	for i := range 10 {
		echo := fmt.Sprintf("mine-%d", i)
		resp := b.post(chatPath, testKey, chatBody(true, 5, echo))
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

func (b *bench) order(ticket, body string) (*http.Response, string) {
	b.t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+b.in.CallersAddress()+"/orders/runs", strings.NewReader(body))
	if err != nil {
		b.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	req.Header.Set(headerTicket, ticket)
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		b.t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		b.t.Fatal(err)
	}
	return resp, string(text)
}

func errorOf(t *testing.T, text string) (code, run, ticket string) {
	t.Helper()
	var e struct {
		Error struct{ Code, Run, Ticket string }
	}
	if err := json.Unmarshal([]byte(text), &e); err != nil {
		t.Fatalf("%q: %v", text, err)
	}
	return e.Error.Code, e.Error.Run, e.Error.Ticket
}

// An order must run once however often it is sent, and a resend must get the same answer.
func TestOrderRunsOnce(t *testing.T) {
	b := newBench(t, 0, func(d *config.Deployment) { d.Models = nil })
	resp, text := b.order("", `{"order":"shaft-1"}`)
	code, run, ticket := errorOf(t, text)
	if resp.StatusCode != 428 || code != "ticket_required" || run != "not_run" || ticket == "" {
		t.Fatalf("without a ticket: %d %s", resp.StatusCode, text)
	}
	var answers []string
	var mu sync.Mutex
	var group sync.WaitGroup
	for range 8 {
		group.Go(func() {
			resp, text := b.order(ticket, `{"order":"shaft-1"}`)
			if resp.StatusCode != http.StatusOK {
				t.Errorf("status %d: %s", resp.StatusCode, text)
			}
			mu.Lock()
			answers = append(answers, text)
			mu.Unlock()
		})
	}
	group.Wait()
	for _, a := range answers {
		if a != answers[0] {
			t.Errorf("answers differ: %q and %q", a, answers[0])
		}
	}
	if n := b.service.Executions().Orders["shaft-1"]; n != 1 {
		t.Errorf("the order ran %d times", n)
	}
	if resp, text := b.order(ticket, `{"order":"shaft-2"}`); resp.StatusCode != 422 {
		t.Errorf("another body: status %d: %s", resp.StatusCode, text)
	}
	if resp, text := b.order(ticket+"x", `{"order":"shaft-1"}`); resp.StatusCode != 400 {
		t.Errorf("forged ticket: status %d: %s", resp.StatusCode, text)
	}
}

// An order whose answer is lost may have run: the caller must hear "unknown", and a
// resend must not run it again.
func TestOrderWithALostAnswerIsUnknown(t *testing.T) {
	b := newBench(t, 0, func(d *config.Deployment) { d.Models = nil })
	b.service.SetFaults(emulator.ServiceFaults{DropResponseEvery: 1})
	_, text := b.order("", `{"order":"shaft-3"}`)
	_, _, ticket := errorOf(t, text)
	for range 3 {
		_, text := b.order(ticket, `{"order":"shaft-3"}`)
		if code, run, _ := errorOf(t, text); code != "order_unknown" || run != "unknown" {
			t.Errorf("got %s", text)
		}
	}
	if n := b.service.Executions().Orders["shaft-3"]; n != 1 {
		t.Errorf("the order ran %d times", n)
	}
}

// An order that never left may be reported as not run, and a new ticket must work.
func TestOrderThatNeverLeftIsNotRun(t *testing.T) {
	b := newBench(t, 0, func(d *config.Deployment) { d.Models = nil })
	b.service.Crash()
	_, text := b.order("", `{"order":"shaft-4"}`)
	_, _, ticket := errorOf(t, text)
	_, text = b.order(ticket, `{"order":"shaft-4"}`)
	code, run, fresh := errorOf(t, text)
	if code != "order_not_run" || run != "not_run" || fresh == "" {
		t.Fatalf("got %s", text)
	}
	if err := b.service.Restart(); err != nil {
		t.Fatal(err)
	}
	if _, text := b.order(ticket, `{"order":"shaft-4"}`); !strings.Contains(text, "order_not_run") {
		t.Errorf("a closed ticket: %s", text)
	}
	eventually(t, "the order with a new ticket", func() bool {
		resp, text := b.order(fresh, `{"order":"shaft-4"}`)
		if resp.StatusCode != http.StatusOK {
			_, _, fresh = errorOf(t, text)
		}
		return resp.StatusCode == http.StatusOK
	})
	if n := b.service.Executions().Orders["shaft-4"]; n != 1 {
		t.Errorf("the order ran %d times", n)
	}
}

// The time limit of a write must not cut a stream whose caller reads: this answer takes
// one and a half times the limit.
func TestLongStreamOutlivesTheWriteTimeout(t *testing.T) {
	b := newBench(t, 1, nil)
	defer b.stop()
	resp := b.post(chatPath, testKey, `{"model":"llm","stream":true,"messages":[{"role":"user","content":"x"}],"emulate":{"output_tokens":60}}`)
	body, err := io.ReadAll(resp.Body)
	if err != nil || !strings.HasSuffix(string(body), "data: [DONE]\n\n") || strings.Count(string(body), "data: ") != 62 {
		t.Errorf("%d events, %v", strings.Count(string(body), "data: "), err)
	}
}

// A request that was refused after it had crashed two engines has run, so its caller
// must not be told that it did not.
func TestRefusalAfterCrashesIsNotNotRun(t *testing.T) {
	b := newBench(t, 5, nil)
	defer b.stop()
	b.waitForLoads()
	for _, e := range b.engines {
		e.SetFaults(emulator.EngineFaults{CrashMarker: "poison"})
	}
	resp := b.post(chatPath, testKey, chatBody(true, 5, "poison"))
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	if code, run, _ := errorOf(t, string(body)); code != "request_crashes_upstreams" || run != "unknown" {
		t.Errorf("code %s, run %s", code, run)
	}
}
