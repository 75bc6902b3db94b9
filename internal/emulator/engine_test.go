package emulator

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"
)

// fastPerformance makes the tests fast. No test depends on its times.
func fastPerformance() Performance {
	return Performance{Slots: 2, TokenBudget: 1 << 30, PrefillPerToken: time.Microsecond, DecodeInterval: 200 * time.Microsecond}
}

func startEngine(t *testing.T, m Performance) *Engine {
	t.Helper()
	e := NewEngine(EngineOptions{Name: "e", Performance: m, Seed: 1})
	if err := e.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Stop)
	return e
}

// noKeepAliveClient opens a new connection for each request, so that a connection broken by
// an earlier fault is never reused.
var noKeepAliveClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func chatBody(streaming bool, tokens int, echo string) []byte {
	body, _ := json.Marshal(ChatRequest{Model: "m", Stream: streaming, Messages: []ChatMessage{{Role: "user", Content: "hello"}},
		Emulate: &EmulateOptions{OutputTokens: tokens, Echo: echo}})
	return body
}

func postChat(t *testing.T, ctx context.Context, e *Engine, id string, body []byte) (*http.Response, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Addr()+PathChat, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(HeaderRequestID, id)
	return noKeepAliveClient.Do(req)
}

// readEvents reads events until the stream ends or limit token events have arrived.
func readEvents(t *testing.T, body io.Reader, limit int) (events []ChatResponse, done bool) {
	t.Helper()
	lines := bufio.NewScanner(body)
	for len(events) < limit && lines.Scan() {
		data, ok := strings.CutPrefix(lines.Text(), "data: ")
		if !ok {
			continue
		}
		if data == "[DONE]" {
			return events, true
		}
		var event ChatResponse
		if err := json.Unmarshal([]byte(data), &event); err != nil {
			t.Fatalf("event %q: %v", data, err)
		}
		events = append(events, event)
	}
	return events, false
}

// checkEvents checks the identifier, index and text of the events of the tokens [from, to).
func checkEvents(t *testing.T, events []ChatResponse, id string, from, to int) {
	t.Helper()
	if len(events) < to-from {
		t.Fatalf("%d events, want the tokens %d to %d", len(events), from, to)
	}
	for i, event := range events[:to-from] {
		if event.ID != id || event.Token == nil || *event.Token != from+i || event.Choices[0].Delta.Content != TokenText(id, from+i) {
			t.Fatalf("event %d is %+v", i, event)
		}
	}
}

func eventually(t *testing.T, condition string, holds func() bool) {
	t.Helper()
	for range 5000 {
		if holds() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("condition not met in time: %s", condition)
}

// Checkers recognize responses by identifier, echo and checksum, so all must be exact.
func TestStreamCarriesIdentityAndChecksum(t *testing.T) {
	e := startEngine(t, fastPerformance())
	res, err := postChat(t, t.Context(), e, "r1", chatBody(true, 5, "tag"))
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	events, done := readEvents(t, res.Body, 100)
	if !done || len(events) != 6 || res.Header.Get(HeaderRequestID) != "r1" {
		t.Fatalf("done %v, %d events, header %v", done, len(events), res.Header)
	}
	checkEvents(t, events, "r1", 0, 5)
	last := events[5]
	if last.Checksum != Checksum(ResponseText("r1", 5)) || last.Echo != "tag" || last.Usage.CompletionTokens != 5 {
		t.Errorf("last event %+v", last)
	}
}

// A JSON response must carry the same text as a stream, and max_tokens must limit it.
func TestJSONResponse(t *testing.T) {
	e := startEngine(t, fastPerformance())
	body, _ := json.Marshal(ChatRequest{Model: "m", MaxTokens: 3, Emulate: &EmulateOptions{OutputTokens: 9}})
	res, err := postChat(t, t.Context(), e, "r2", body)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	var response ChatResponse
	if err := json.NewDecoder(res.Body).Decode(&response); err != nil {
		t.Fatal(err)
	}
	if want := ResponseText("r2", 3); response.ID != "r2" || response.Choices[0].Message.Content != want || response.Checksum != Checksum(want) {
		t.Errorf("response %+v", response)
	}
}

// Closing the connection must cancel a running and a waiting request and free the slot.
func TestCloseCancels(t *testing.T) {
	m := fastPerformance()
	m.Slots = 1
	e := startEngine(t, m)
	ctx, cancel := context.WithCancel(t.Context())
	res, err := postChat(t, ctx, e, "running", chatBody(true, 1_000_000, ""))
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	waitingCtx, cancelWaiting := context.WithCancel(t.Context())
	waitingErr := make(chan error, 1)
	go func() {
		_, err := postChat(t, waitingCtx, e, "waiting", chatBody(true, 1_000_000, ""))
		waitingErr <- err
	}()
	eventually(t, "one request runs and one waits", func() bool { l := e.Load(); return l.Running == 1 && l.Waiting == 1 })
	cancelWaiting()
	if err := <-waitingErr; err == nil {
		t.Error("the waiting request got a response")
	}
	eventually(t, "no request waits", func() bool { return e.Load().Waiting == 0 })
	cancel()
	eventually(t, "no request runs", func() bool { return e.Load().Running == 0 })
	if c := e.Counters(); c.Cancelled != 2 || c.TokensCancelled == 0 || c.TokensCancelled != c.TokensGenerated {
		t.Errorf("counters %+v", c)
	}
}

// A broken stream must resume at the requested token with the same text.
func TestResume(t *testing.T) {
	e := startEngine(t, fastPerformance())
	ctx, cancel := context.WithCancel(t.Context())
	res, err := postChat(t, ctx, e, "r3", chatBody(true, 200, ""))
	if err != nil {
		t.Fatal(err)
	}
	events, _ := readEvents(t, res.Body, 4)
	checkEvents(t, events, "r3", 0, 4)
	cancel()
	res.Body.Close()
	eventually(t, "the stream has ended", func() bool { return e.Load().Running == 0 })
	resumed, err := noKeepAliveClient.Get(fmt.Sprintf("http://%s%sr3?from=4", e.Addr(), PathStreams))
	if err != nil {
		t.Fatal(err)
	}
	defer resumed.Body.Close()
	events, done := readEvents(t, resumed.Body, 1000)
	if !done {
		t.Fatal("the resumed stream did not finish")
	}
	checkEvents(t, events, "r3", 4, 200)
	if c := e.Counters(); c.TokensCancelled != 0 || c.TokensGenerated != 200 {
		t.Errorf("tokens of a resumed stream count as cancelled or twice: %+v", c)
	}
	for _, path := range []string{"unknown?from=0", "r3?from=201", "r3?from=x"} {
		res, err := noKeepAliveClient.Get("http://" + e.Addr() + PathStreams + path)
		if err != nil {
			t.Fatal(err)
		}
		res.Body.Close()
		if res.StatusCode/100 != 4 {
			t.Errorf("%s: status %d", path, res.StatusCode)
		}
	}
}
