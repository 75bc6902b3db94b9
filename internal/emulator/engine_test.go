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

// fastModel keeps the tests quick; no test depends on its times.
func fastModel() Model {
	return Model{Slots: 2, TokenBudget: 1 << 30, PrefillPerToken: time.Microsecond, DecodeInterval: 200 * time.Microsecond}
}

func startEngine(t *testing.T, m Model) *Engine {
	t.Helper()
	e := NewEngine(EngineOptions{Name: "e", Model: m, Seed: 1})
	if err := e.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(e.Stop)
	return e
}

// freshClient opens a connection for each request, so that no test meets a
// connection that an earlier fault has broken.
var freshClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

func chatBody(streaming bool, tokens int, echo string) []byte {
	body, _ := json.Marshal(ChatRequest{Model: "m", Stream: streaming, Messages: []ChatMessage{{Role: "user", Content: "hello"}},
		Emulate: &Emulate{OutputTokens: tokens, Echo: echo}})
	return body
}

func post(t *testing.T, ctx context.Context, e *Engine, id string, body []byte) (*http.Response, error) {
	t.Helper()
	req, err := http.NewRequestWithContext(ctx, http.MethodPost, "http://"+e.Addr()+PathChat, bytes.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(HeaderRequestID, id)
	return freshClient.Do(req)
}

// readEvents reads events until the stream ends or limit token events have arrived.
func readEvents(t *testing.T, body io.Reader, limit int) (events []ChatAnswer, done bool) {
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
		var a ChatAnswer
		if err := json.Unmarshal([]byte(data), &a); err != nil {
			t.Fatalf("event %q: %v", data, err)
		}
		events = append(events, a)
	}
	return events, false
}

// checkEvents verifies the text and the identity of token events that begin at from.
func checkEvents(t *testing.T, events []ChatAnswer, id string, from, to int) {
	t.Helper()
	if len(events) < to-from {
		t.Fatalf("%d events, want the tokens %d to %d", len(events), from, to)
	}
	for i, a := range events[:to-from] {
		if a.ID != id || a.Token == nil || *a.Token != from+i || a.Choices[0].Delta.Content != TokenText(id, from+i) {
			t.Fatalf("event %d is %+v", i, a)
		}
	}
}

func eventually(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 5000 {
		if ok() {
			return
		}
		time.Sleep(time.Millisecond)
	}
	t.Fatalf("not reached: %s", what)
}

// A checker recognizes answers by identifier, echo and checksum; all must be exact.
func TestStreamCarriesIdentityAndChecksum(t *testing.T) {
	e := startEngine(t, fastModel())
	res, err := post(t, t.Context(), e, "r1", chatBody(true, 5, "tag"))
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
	if last.Checksum != Checksum(AnswerText("r1", 5)) || last.Echo != "tag" || last.Usage.CompletionTokens != 5 {
		t.Errorf("last event %+v", last)
	}
}

// The JSON form must carry the same text as the stream, and max_tokens must cut it.
func TestJSONAnswer(t *testing.T) {
	e := startEngine(t, fastModel())
	body, _ := json.Marshal(ChatRequest{Model: "m", MaxTokens: 3, Emulate: &Emulate{OutputTokens: 9}})
	res, err := post(t, t.Context(), e, "r2", body)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	var a ChatAnswer
	if err := json.NewDecoder(res.Body).Decode(&a); err != nil {
		t.Fatal(err)
	}
	if want := AnswerText("r2", 3); a.ID != "r2" || a.Choices[0].Message.Content != want || a.Checksum != Checksum(want) {
		t.Errorf("answer %+v", a)
	}
}

// A closed connection must free the slot, while the request runs and while it waits.
func TestCloseCancels(t *testing.T) {
	m := fastModel()
	m.Slots = 1
	e := startEngine(t, m)
	ctx, cancel := context.WithCancel(t.Context())
	res, err := post(t, ctx, e, "running", chatBody(true, 1_000_000, ""))
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	waiting, stopWaiting := context.WithCancel(t.Context())
	gone := make(chan error, 1)
	go func() {
		_, err := post(t, waiting, e, "waiting", chatBody(true, 1_000_000, ""))
		gone <- err
	}()
	eventually(t, "one waits", func() bool { l := e.Load(); return l.Running == 1 && l.Waiting == 1 })
	stopWaiting()
	if err := <-gone; err == nil {
		t.Error("the waiting request was answered")
	}
	eventually(t, "none waits", func() bool { return e.Load().Waiting == 0 })
	cancel()
	eventually(t, "none runs", func() bool { return e.Load().Running == 0 })
	if c := e.Counters(); c.Cancelled != 2 || c.TokensCancelled == 0 || c.TokensCancelled != c.TokensGenerated {
		t.Errorf("counters %+v", c)
	}
}

// A broken stream must continue at the token asked for, with the same text.
func TestResume(t *testing.T) {
	e := startEngine(t, fastModel())
	ctx, cancel := context.WithCancel(t.Context())
	res, err := post(t, ctx, e, "r3", chatBody(true, 200, ""))
	if err != nil {
		t.Fatal(err)
	}
	events, _ := readEvents(t, res.Body, 4)
	checkEvents(t, events, "r3", 0, 4)
	cancel()
	res.Body.Close()
	eventually(t, "the stream has ended", func() bool { return e.Load().Running == 0 })
	again, err := freshClient.Get(fmt.Sprintf("http://%s%sr3?from=4", e.Addr(), PathStreams))
	if err != nil {
		t.Fatal(err)
	}
	defer again.Body.Close()
	events, done := readEvents(t, again.Body, 1000)
	if !done {
		t.Fatal("the resumed stream did not finish")
	}
	checkEvents(t, events, "r3", 4, 200)
	if c := e.Counters(); c.TokensCancelled != 0 || c.TokensGenerated != 200 {
		t.Errorf("a resumed stream is no waste: %+v", c)
	}
	for _, path := range []string{"unknown?from=0", "r3?from=201", "r3?from=x"} {
		res, err := freshClient.Get("http://" + e.Addr() + PathStreams + path)
		if err != nil {
			t.Fatal(err)
		}
		res.Body.Close()
		if res.StatusCode/100 != 4 {
			t.Errorf("%s: status %d", path, res.StatusCode)
		}
	}
}
