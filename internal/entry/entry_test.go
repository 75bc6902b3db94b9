package entry

import (
	"bufio"
	"bytes"
	"cmp"
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

// testEnv is an entry instance with emulated engines and an emulated service as upstreams.
type testEnv struct {
	t        *testing.T
	instance *Instance
	engines  []*emulator.Engine
	service  *emulator.Service
	stop     func()

	maxBodyBytes int // 0: 65536
}

func newTestEnv(t *testing.T, engines int, adjust func(*config.Deployment)) *testEnv {
	t.Helper()
	env := &testEnv{t: t}
	d := testDeployment()
	for i := range engines {
		e := emulator.NewEngine(emulator.EngineOptions{Seed: uint64(i + 1)})
		if err := e.Start("127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(e.Stop)
		env.engines = append(env.engines, e)
		d.Models[0].Upstreams = append(d.Models[0].Upstreams, config.Upstream{Name: fmt.Sprintf("llm-%d", i), Address: e.Addr(), FailureDomain: "a"})
	}
	env.service = emulator.NewService("orders")
	if err := env.service.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(env.service.Stop)
	d.Services[0].Upstreams = []config.Upstream{{Name: "orders-1", Address: env.service.Addr(), FailureDomain: "a"}}
	if adjust != nil {
		adjust(d)
	}
	env.start(d)
	return env
}

func (env *testEnv) start(d *config.Deployment) {
	env.t.Helper()
	log := logrus.New()
	log.SetOutput(io.Discard)
	s, err := settings.Parse(fmt.Appendf(nil, "instance: entry-1\nfailure_domain: a\ncallers:\n  address: 127.0.0.1:0\noperations:\n  address: 127.0.0.2:0\nconfiguration_file: unused\nlimits:\n  max_body_bytes: %d\n  read_timeout: 1s\n  write_timeout: 1s\n", cmp.Or(env.maxBodyBytes, 65536)))
	if err != nil {
		env.t.Fatal(err)
	}
	s.ConfigurationFile = ""
	if env.instance, err = New(s, log); err != nil {
		env.t.Fatal(err)
	}
	if err := d.Validate(); err != nil {
		env.t.Fatal(err)
	}
	env.instance.applyDeployment(1, d)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- env.instance.Run(ctx) }()
	env.stop = func() {
		cancel()
		if err := <-done; err != nil {
			env.t.Errorf("run: %v", err)
		}
	}
	env.t.Cleanup(func() { cancel() })
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

func (env *testEnv) post(path, key, body string) *http.Response {
	env.t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+env.instance.CallersAddress()+path, strings.NewReader(body))
	if err != nil {
		env.t.Fatal(err)
	}
	if key != "" {
		req.Header.Set("Authorization", "Bearer "+key)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		env.t.Fatal(err)
	}
	env.t.Cleanup(func() { resp.Body.Close() })
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

// readStream checks every event of a stream. It returns the number of tokens and whether
// the stream ended with "[DONE]".
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
			t.Fatalf("malformed event or event of another request: %s (request %s)", data, id)
		}
		if a.Token != nil {
			if *a.Token != tokens {
				t.Fatalf("got token %d at position %d", *a.Token, tokens)
			}
			tokens++
		}
	}
	return tokens, false
}

// A caller's request must reach an engine and the response must be relayed, with and
// without streaming.
func TestChatEndToEnd(t *testing.T) {
	env := newTestEnv(t, 2, nil)
	resp := env.post(chatPath, testKey, chatBody(true, 20, "one"))
	if resp.StatusCode != http.StatusOK {
		t.Fatalf("status %d", resp.StatusCode)
	}
	if tokens, done := readStream(t, resp, "one"); tokens != 20 || !done {
		t.Errorf("got %d tokens, done %v", tokens, done)
	}
	resp = env.post(chatPath, testKey, chatBody(false, 7, "two"))
	var a emulator.ChatResponse
	if err := json.NewDecoder(resp.Body).Decode(&a); err != nil || a.Echo != "two" || a.Usage.CompletionTokens != 7 {
		t.Errorf("got %+v, %v", a, err)
	}
}

// Invalid requests must get a stable error code and must not reach an upstream.
func TestBadInput(t *testing.T) {
	env := newTestEnv(t, 1, nil)
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
			resp := env.post(c.path, c.key, c.body)
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
	if n := env.engines[0].Counters().Requests; n != 0 {
		t.Errorf("%d invalid requests reached the engine", n)
	}
}

// The write timeout applies to a single write, not to a whole stream. Streams longer than
// the timeout used to be cut off without an error event.
func TestStreamOutlivesWriteTimeout(t *testing.T) {
	env := newTestEnv(t, 1, nil)
	const tokens = 100 // takes 2.5 s; the write timeout of testEnv is 1 s
	resp := env.post("/v1/chat/completions", testKey, chatBody(true, tokens, "long"))
	if got, done := readStream(t, resp, "long"); got != tokens || !done {
		t.Errorf("got %d of %d tokens, done %t", got, tokens, done)
	}
}
