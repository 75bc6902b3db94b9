package entry

import (
	"bufio"
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccabridge/yuccabridge/config"
	"github.com/yuccabridge/yuccabridge/internal/emulator"
	"github.com/yuccabridge/yuccabridge/internal/settings"
)

const testKey = "key-desk"

// bench is one entry instance with stand-ins behind it.
type bench struct {
	t       *testing.T
	in      *Instance
	engines []*emulator.Engine
	service *emulator.Service
	stop    func()
}

func newBench(t *testing.T, engines int, change func(*config.Deployment)) *bench {
	t.Helper()
	b := &bench{t: t}
	d := testDeployment()
	for i := range engines {
		e := emulator.NewEngine(emulator.EngineOptions{Seed: uint64(i + 1)})
		if err := e.Start("127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(e.Stop)
		b.engines = append(b.engines, e)
		d.Models[0].Upstreams = append(d.Models[0].Upstreams, config.Upstream{Name: fmt.Sprintf("llm-%d", i), Address: e.Addr(), FailureDomain: "a"})
	}
	b.service = emulator.NewService("orders")
	if err := b.service.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(b.service.Stop)
	d.Services[0].Upstreams = []config.Upstream{{Name: "orders-1", Address: b.service.Addr(), FailureDomain: "a"}}
	if change != nil {
		change(d)
	}
	b.start(d)
	return b
}

func (b *bench) start(d *config.Deployment) {
	b.t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	s, err := settings.Parse([]byte("instance: entry-1\nfailure_domain: a\ncallers:\n  address: 127.0.0.1:0\noperations:\n  address: 127.0.0.2:0\nconfiguration_file: unused\nlimits:\n  max_body_bytes: 65536\n  read_timeout: 1s\n  write_timeout: 1s\n"))
	if err != nil {
		b.t.Fatal(err)
	}
	s.ConfigurationFile = ""
	if b.in, err = New(s, log); err != nil {
		b.t.Fatal(err)
	}
	if err := d.Validate(); err != nil {
		b.t.Fatal(err)
	}
	b.in.apply(1, d)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- b.in.Run(ctx) }()
	b.stop = func() {
		cancel()
		if err := <-done; err != nil {
			b.t.Errorf("run: %v", err)
		}
	}
	b.t.Cleanup(func() { cancel() })
}

func testDeployment() *config.Deployment {
	digest := sha256.Sum256([]byte(testKey))
	return &config.Deployment{
		Version: 1, Name: "test", Region: "north", Objective: config.Goodput, FailureDomains: []string{"a"},
		Classes: []config.Class{
			{Name: "interactive", Tier: 1, FirstTokenTarget: config.Duration(time.Second), Deadline: config.Duration(20 * time.Second)},
			{Name: "bulk", Tier: 3, FirstTokenTarget: config.Duration(10 * time.Second), Deadline: config.Duration(time.Minute)},
		},
		Teams:  []config.Team{{Name: "desk", KeySHA256: []string{hex.EncodeToString(digest[:])}}},
		Models: []config.Model{{Name: "llm", Class: "interactive"}},
		Services: []config.Service{{Name: "orders", PathPrefix: "/orders/", Class: "interactive",
			NonIdempotent: []config.Operation{{Method: "POST", Path: "/orders/runs"}}}},
	}
}

func (b *bench) post(path, key, body string) *http.Response {
	b.t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+b.in.CallersAddress()+path, strings.NewReader(body))
	if err != nil {
		b.t.Fatal(err)
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		b.t.Fatal(err)
	}
	b.t.Cleanup(func() { resp.Body.Close() })
	return resp
}

func chatBody(stream bool, tokens int, echo string) string {
	text, err := json.Marshal(emulator.ChatRequest{
		Model:    "llm",
		Messages: []emulator.ChatMessage{{Role: "user", Content: "rack load for tank 4, " + echo}},
		Stream:   stream,
		Emulate:  &emulator.EmulateOptions{OutputTokens: tokens, Echo: echo},
	})
	if err != nil {
		panic(err)
	}
	return string(text)
}

// readStream checks every event of a stream and returns the number of tokens.
func readStream(t *testing.T, resp *http.Response, echo string) (tokens int, done bool) {
	t.Helper()
	id := resp.Header.Get("X-Request-Id")
	lines := bufio.NewScanner(resp.Body)
	for lines.Scan() {
		data, ok := bytes.CutPrefix(lines.Bytes(), []byte("data: "))
		if !ok {
			continue
		}
		if string(data) == "[DONE]" {
			return tokens, true
		}
		var a emulator.ChatResponse
		if err := json.Unmarshal(data, &a); err != nil || a.ID != id || a.Echo != echo {
			t.Fatalf("foreign or broken event %s (request %s)", data, id)
		}
		if a.Token != nil {
			if *a.Token != tokens {
				t.Fatalf("token %d arrives as number %d", *a.Token, tokens)
			}
			tokens++
		}
	}
	return tokens, false
}

// The whole path: a caller's request reaches an engine and the answer comes back,
// streamed and whole.
func TestChatEndToEnd(t *testing.T) {
	b := newBench(t, 2, nil)
	resp := b.post(chatPath, testKey, chatBody(true, 20, "one"))
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("status %d", resp.StatusCode)
	}
	if tokens, done := readStream(t, resp, "one"); tokens != 20 || !done {
		t.Errorf("got %d tokens, done %v", tokens, done)
	}
	resp = b.post(chatPath, testKey, chatBody(false, 7, "two"))
	var a emulator.ChatResponse
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil || a.Echo != "two" || a.Usage.CompletionTokens != 7 {
		t.Errorf("got %+v, %v", a, err)
	}
}

// Bad input must get a stable code and must not reach an upstream.
func TestBadInput(t *testing.T) {
	b := newBench(t, 1, nil)
	cases := []struct {
		name, path, key, body, code string
		status                      int
	}{
		{"no key", chatPath, "", chatBody(false, 1, ""), "missing_key", 401},
		{"unknown key", chatPath, "x", chatBody(false, 1, ""), "unknown_key", 401},
		{"malformed JSON", chatPath, testKey, "{", "malformed_json", 400},
		{"unknown model", chatPath, testKey, `{"model":"x","messages":[]}`, "unknown_model", 404},
		{"no such path", "/nothing", testKey, "{}", "not_found", 404},
		{"body too large", chatPath, testKey, strings.Repeat("x", 70000), "body_too_large", 413},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			resp := b.post(c.path, c.key, c.body)
			var e struct {
				Error struct{ Code, Run string }
			}
			if err := json.NewDecoder(resp.Body).Decode(&e); err != nil {
				t.Fatal(err)
			}
			if resp.StatusCode != c.status || e.Error.Code != c.code || e.Error.Run != "not_run" {
				t.Errorf("got %d %+v, want %d %s", resp.StatusCode, e.Error, c.status, c.code)
			}
		})
	}
	if n := b.engines[0].Counters().Requests; n != 0 {
		t.Errorf("%d bad requests reached the engine", n)
	}
}

// The write timeout bounds one write, not a whole stream: streams that lasted longer than
// it used to be cut off without an error event.
func TestStreamOutlivesTheWriteTimeout(t *testing.T) {
	b := newBench(t, 1, nil)
	const tokens = 100 // 2.5 s; the write timeout of the bench is 1 s
	resp := b.post("/v1/chat/completions", testKey, chatBody(true, tokens, "long"))
	if got, done := readStream(t, resp, "long"); got != tokens || !done {
		t.Errorf("got %d of %d tokens, end %t", got, tokens, done)
	}
}
