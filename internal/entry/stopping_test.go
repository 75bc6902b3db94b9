package entry

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccabridge/yuccabridge/config"
	"github.com/yuccabridge/yuccabridge/internal/emulator"
	"github.com/yuccabridge/yuccabridge/internal/protocol/platformapi"
	"github.com/yuccabridge/yuccabridge/internal/settings"
	"github.com/yuccabridge/yuccabridge/internal/testtime"
)

// stoppingEnv is an entry instance with one engine and one service, and the limits of its planned stop.
type stoppingEnv struct {
	*testEnv
	cancel context.CancelFunc
	done   chan error
}

func newStoppingEnv(t *testing.T, drainDelay, grace time.Duration) *stoppingEnv {
	t.Helper()
	return newStoppingEnvWith(t, drainDelay, grace, func(*settings.Settings) {})
}

// newStoppingEnvWith is like newStoppingEnv but modifies the settings.
func newStoppingEnvWith(t *testing.T, drainDelay, grace time.Duration, adjust func(*settings.Settings)) *stoppingEnv {
	t.Helper()
	env := &stoppingEnv{testEnv: &testEnv{t: t}, done: make(chan error, 1)}
	d := testDeployment()
	engine := emulator.NewEngine(emulator.EngineOptions{Seed: 1})
	env.engines, env.service = []*emulator.Engine{engine}, emulator.NewService("orders")
	for _, upstream := range []interface {
		Start(string) error
		Stop()
	}{engine, env.service} {
		if err := upstream.Start("127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
		t.Cleanup(upstream.Stop)
	}
	d.Models[0].Upstreams = []config.Upstream{{Name: "llm-0", Address: engine.Addr(), FailureDomain: "a"}}
	d.Services[0].Upstreams = []config.Upstream{{Name: "orders-1", Address: env.service.Addr(), FailureDomain: "a"}}
	s, err := settings.Parse(fmt.Appendf(nil, "instance: entry-1\nfailure_domain: a\ncallers: {address: '127.0.0.1:0'}\noperations: {address: '127.0.0.2:0'}\n"+
		"configuration_file: unused\ndrain_delay: %s\ngrace: %s\n", drainDelay, grace))
	if err != nil {
		t.Fatal(err)
	}
	s.ConfigurationFile = ""
	adjust(s)
	log := logrus.New()
	log.SetOutput(io.Discard)
	if env.instance, err = New(s, log); err != nil {
		t.Fatal(err)
	}
	env.instance.applyDeployment(1, d)
	ctx, cancel := context.WithCancel(context.Background())
	env.cancel = cancel
	go func() { env.done <- env.instance.Run(ctx) }()
	t.Cleanup(func() { cancel(); <-env.done })
	return env
}

// awaitStopped waits for the end of the stop.
func (env *stoppingEnv) awaitStopped() {
	env.t.Helper()
	err := <-env.done
	if err != nil {
		env.t.Errorf("run: %v", err)
	}
	env.done <- nil
}

// answer is the answer to a request that was written to a connection.
type answer struct {
	status int
	header http.Header
	closes bool // announces the end of the connection
	body   string
	code   string
	run    string
}

func readAnswer(t *testing.T, c net.Conn) answer {
	t.Helper()
	c.SetReadDeadline(time.Now().Add(10 * time.Second))
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		t.Errorf("no answer: %v", err)
		return answer{}
	}
	body, err := io.ReadAll(res.Body)
	if err != nil {
		t.Errorf("the answer breaks off: %v", err)
	}
	var failure struct{ Error struct{ Code, Run string } }
	_ = json.Unmarshal(body, &failure) // an answer that is no error has neither
	return answer{status: res.StatusCode, header: res.Header, closes: res.Close, body: string(body), code: failure.Error.Code, run: failure.Error.Run}
}

func (env *stoppingEnv) dial() net.Conn {
	env.t.Helper()
	c, err := net.Dial("tcp", env.instance.CallersAddress())
	if err != nil {
		env.t.Fatal(err)
	}
	env.t.Cleanup(func() { c.Close() })
	return c
}

// requestText returns a request in two parts.
func requestText(method, path, body string, header ...string) (first, rest string) {
	first = fmt.Sprintf("%s %s HTTP/1.1\r\nHost: h\r\nAuthorization: Bearer %s\r\n", method, path, testKey)
	for _, field := range header {
		first += field + "\r\n"
	}
	return first, fmt.Sprintf("Content-Length: %d\r\n\r\n%s", len(body), body)
}

// Guards against requests that a stopping instance passes on after its drain delay, and that the end of the process
// cuts: they must be refused truly. An order may have run before with the same ticket.
func TestLateRequestAtAStoppingInstanceIsRefused(t *testing.T) {
	env := newStoppingEnv(t, 200*time.Millisecond, 5*time.Second)
	ticket, apiErr := env.instance.orders.issueTicket("desk")
	if apiErr != nil {
		t.Fatal(apiErr)
	}
	requests := []struct {
		name, method, path, body string
		header                   []string
		run                      string
		conn                     net.Conn
		rest                     string
	}{
		{name: "stream", method: "POST", path: chatPath, body: chatBody(true, 5, "late"), run: "not_run"},
		{name: "chat", method: "POST", path: chatPath, body: chatBody(false, 5, "late"), run: "not_run"},
		{name: "service", method: "GET", path: "/orders/status", run: "not_run"},
		{name: "order without a ticket", method: "POST", path: "/orders/runs", body: "{}", run: "not_run"},
		{name: "order", method: "POST", path: "/orders/runs", body: "{}", header: []string{headerTicket + ": " + ticket}, run: "unknown"},
	}
	for i := range requests {
		r := &requests[i]
		var first string
		first, r.rest = requestText(r.method, r.path, r.body, r.header...)
		r.conn = env.dial()
		if _, err := io.WriteString(r.conn, first); err != nil {
			t.Fatal(err)
		}
	}
	kept := env.dial()
	first, rest := requestText("GET", "/orders/status", "")
	io.WriteString(kept, first+rest)
	if got := readAnswer(t, kept); got.status != http.StatusOK {
		t.Fatalf("before the stop: %+v", got)
	}
	ran := env.service.Counters().Executed
	env.cancel()
	if _, err := kept.Read(make([]byte, 1)); err != io.EOF {
		t.Fatalf("the idle connection was not closed after the drain delay: %v", err)
	}
	for _, r := range requests {
		if _, err := io.WriteString(r.conn, r.rest); err != nil {
			t.Errorf("%s: %v", r.name, err)
			continue
		}
		got := readAnswer(t, r.conn)
		if got.status != http.StatusServiceUnavailable || got.code != "draining" || got.run != r.run || got.header.Get("Retry-After") == "" || !got.closes {
			t.Errorf("%s: %+v", r.name, got)
		}
	}
	if n := env.service.Counters().Executed - ran; n != 0 || len(env.engines[0].Executions().Keys) != 0 {
		t.Errorf("the service ran %d requests, the engine %v", n, env.engines[0].Executions().Keys)
	}
	env.awaitStopped()
}

// Guards against a stop that lasts as long as its longest answer, so that the platform kills the process: what is left
// at the end of the grace period gets an answer that is true, and a stream does not look complete.
func TestStopAnswersWhatIsLeftAtTheEndOfTheGracePeriod(t *testing.T) {
	const lookups = 60
	env := newStoppingEnv(t, 100*time.Millisecond, 2*time.Second)
	env.service.SetFaults(emulator.ServiceFaults{Delay: emulator.Duration(time.Minute)})
	ticket, apiErr := env.instance.orders.issueTicket("desk")
	if apiErr != nil {
		t.Fatal(apiErr)
	}
	write := func(method, path, body string, header ...string) net.Conn {
		c := env.dial()
		first, rest := requestText(method, path, body, header...)
		if _, err := io.WriteString(c, first+rest); err != nil {
			t.Fatal(err)
		}
		return c
	}
	stream := write("POST", chatPath, chatBody(true, 100000, "long"))
	order := write("POST", "/orders/runs", "{}", headerTicket+": "+ticket)
	eventually(t, "the order is at the service", func() bool { return env.service.Counters().Requests == 1 })
	var running []net.Conn
	for range lookups {
		running = append(running, write("GET", "/orders/status", ""))
	}
	time.Sleep(200 * time.Millisecond)
	clock := testtime.Start(t)
	env.cancel()
	answers := map[string]int{}
	for _, c := range running {
		got := readAnswer(t, c)
		answers[fmt.Sprint(got.status, " ", got.run)]++
	}
	if mayHaveRun := answers["504 unknown"]; mayHaveRun == 0 || mayHaveRun+answers["503 not_run"] != lookups {
		t.Errorf("answers: %v", answers)
	}
	if got := readAnswer(t, order); got.code != "order_unknown" || got.run != "unknown" {
		t.Errorf("order: %+v", got)
	}
	if got := readAnswer(t, stream); got.status != http.StatusOK || strings.Contains(got.body, "[DONE]") || !strings.Contains(got.body, "broke off") {
		t.Errorf("stream: status %d, end %q", got.status, got.body[max(0, len(got.body)-200):])
	}
	env.awaitStopped()
	if took := clock.Elapsed(); took > 2*time.Second {
		t.Errorf("the stop took %s, the grace period is 2 s", took)
	}
}

// Guards against a process that stays after its stop until a call of a silent platform times out.
func TestStopDoesNotWaitForCallsOfThePlatform(t *testing.T) {
	const (
		drainDelay  = 50 * time.Millisecond
		maxStopTime = 500 * time.Millisecond // the grace period is many seconds
	)
	called, release := make(chan struct{}), make(chan struct{})
	var once sync.Once
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		if r.URL.Path == platformapi.PathInstances {
			once.Do(func() { close(called) })
		}
		<-release
	}))
	defer server.Close()
	defer close(release)
	env := newStoppingEnvWith(t, drainDelay, 10*time.Second, func(s *settings.Settings) {
		s.Platform = &settings.Platform{Address: strings.TrimPrefix(server.URL, "http://")}
	})
	<-called
	startedAt := time.Now()
	env.cancel()
	env.awaitStopped()
	if took := time.Since(startedAt); took > maxStopTime {
		t.Errorf("the stop took %s", took)
	}
}

// Guards against connections that a stop closes while their callers may send on them: answers say for how long a
// connection may be used again, shorter than the drain delay.
func TestAnswersTellHowLongAConnectionMayBeUsedAgain(t *testing.T) {
	env := newStoppingEnv(t, 2*time.Second, 10*time.Second)
	c, err := net.Dial("tcp", env.instance.CallersAddress())
	if err != nil {
		t.Fatal(err)
	}
	defer c.Close()
	for _, path := range []string{"/v1/unknown", "/v1/unknown"} {
		fmt.Fprintf(c, "GET %s HTTP/1.1\r\nHost: h\r\n\r\n", path)
		if got := readAnswer(t, c); got.header.Get("Keep-Alive") != "timeout=1" || got.closes {
			t.Errorf("Keep-Alive: %q; the end is announced: %t", got.header.Get("Keep-Alive"), got.closes)
		}
	}
	env.cancel()
	for !env.instance.life.Stops() {
		time.Sleep(time.Millisecond)
	}
	time.Sleep(900 * time.Millisecond)
	fmt.Fprint(c, "GET /v1/unknown HTTP/1.1\r\nHost: h\r\n\r\n")
	if got := readAnswer(t, c); got.header.Get("Keep-Alive") != "" || !got.closes {
		t.Errorf("in the stop: Keep-Alive %q; the end is announced: %t", got.header.Get("Keep-Alive"), got.closes)
	}
}
