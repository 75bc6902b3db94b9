package emulator

import (
	"encoding/json"
	"errors"
	"io"
	"net/http"
	"strings"
	"syscall"
	"testing"
)

// sendCommand sends a control command and decodes the response into status.
func sendCommand(t *testing.T, addr, command string, status any) int {
	t.Helper()
	res, err := noKeepAliveClient.Post("http://"+addr+PathControl, "application/json", strings.NewReader(command))
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if res.StatusCode == http.StatusOK && status != nil {
		if err := json.NewDecoder(res.Body).Decode(status); err != nil {
			t.Fatal(err)
		}
	}
	return res.StatusCode
}

// A crash must break open streams and refuse connections. After a restart, the engine must
// have a new incarnation and no streams from before.
func TestCrashAndRestart(t *testing.T) {
	e := startEngine(t, fastPerformance())
	before := e.Load().Incarnation
	res, err := postChat(t, t.Context(), e, "r", chatBody(true, 1_000_000, ""))
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	e.Crash()
	if _, err := io.ReadAll(res.Body); err == nil {
		t.Error("the stream ended without an error")
	}
	if _, err := noKeepAliveClient.Get("http://" + e.Addr() + PathLoad); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("got %v, want connection refused", err)
	}
	if err := e.Restart(); err != nil {
		t.Fatal(err)
	}
	if l := e.Load(); l.Incarnation == before || l.Running != 0 {
		t.Errorf("load %+v, before %s", l, before)
	}
	resumed, err := noKeepAliveClient.Get("http://" + e.Addr() + PathStreams + "r?from=0")
	if err != nil {
		t.Fatal(err)
	}
	resumed.Body.Close()
	if resumed.StatusCode != http.StatusNotFound {
		t.Errorf("status %d for a stream from before the crash", resumed.StatusCode)
	}
	if c := e.Counters(); c.Lost != 1 || c.TokensLost != c.TokensGenerated || c.Cancelled != 0 {
		t.Errorf("counters %+v", c)
	}
}

// A request with the crash marker must crash the engine each time it runs, and so break the
// other streams.
func TestMarkedRequestCrashes(t *testing.T) {
	e := startEngine(t, fastPerformance())
	e.SetFaults(EngineFaults{CrashMarker: "poison-pill"})
	other, err := postChat(t, t.Context(), e, "other", chatBody(true, 1_000_000, ""))
	if err != nil {
		t.Fatal(err)
	}
	defer other.Body.Close()
	if _, err := postChat(t, t.Context(), e, "bad", chatBody(true, 5, "poison-pill")); err == nil {
		t.Error("the request with the crash marker got a response")
	}
	if _, err := io.ReadAll(other.Body); err == nil {
		t.Error("the other stream ended without an error")
	}
	if c := e.Counters(); c.Crashes != 1 || c.Lost != 2 {
		t.Errorf("counters %+v", c)
	}
}

// A silenced connection must deliver nothing more, while a new connection can resume its
// stream.
func TestSilenceHitsOpenConnectionsOnly(t *testing.T) {
	m := fastPerformance()
	e := startEngine(t, m)
	res, err := postChat(t, t.Context(), e, "r", chatBody(true, 2000, ""))
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if n := e.Silence(); n != 1 {
		t.Fatalf("%d silent connections", n)
	}
	eventually(t, "the engine keeps generating", func() bool { return e.Counters().Completed == 1 })
	resumed, err := noKeepAliveClient.Get("http://" + e.Addr() + PathStreams + "r?from=0")
	if err != nil {
		t.Fatal(err)
	}
	defer resumed.Body.Close()
	events, done := readEvents(t, resumed.Body, 5000)
	if !done {
		t.Fatal("the resumed stream did not finish")
	}
	checkEvents(t, events, "r", 0, 2000)
	silenced, _ := readEvents(t, &callBeforeRead{r: res.Body, call: e.DropConnections}, 5000)
	if len(silenced) >= 2000 {
		t.Error("the silent connection delivered the whole stream")
	}
}

// callBeforeRead runs call once, before the first read. Here it resets the connection, so
// that the read cannot block forever.
type callBeforeRead struct {
	r    io.Reader
	call func()
}

func (s *callBeforeRead) Read(p []byte) (int, error) {
	if s.call != nil {
		s.call()
		s.call = nil
	}
	return s.r.Read(p)
}

// A frozen engine must not respond, and must continue after the freeze.
func TestFreeze(t *testing.T) {
	e := startEngine(t, fastPerformance())
	res, err := postChat(t, t.Context(), e, "r", chatBody(true, 100, ""))
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if code := sendCommand(t, e.Addr(), `{"do":"freeze"}`, nil); code != http.StatusOK {
		t.Fatal(code)
	}
	statuses := make(chan int, 1)
	go func() {
		res, err := noKeepAliveClient.Get("http://" + e.Addr() + PathLoad)
		if err != nil {
			statuses <- 0
			return
		}
		res.Body.Close()
		statuses <- res.StatusCode
	}()
	var status Status[EngineFaults, EngineCounters]
	sendCommand(t, e.Addr(), `{}`, &status)
	select {
	case <-statuses:
		t.Error("a frozen engine responded")
	default:
	}
	e.Freeze(false)
	if code := <-statuses; code != http.StatusOK {
		t.Errorf("status %d after the freeze", code)
	}
	if events, done := readEvents(t, res.Body, 1000); !done {
		t.Errorf("the stream ended after %d events", len(events))
	}
}

// Fault settings must be settable one by one over HTTP, and invalid commands must be refused.
func TestControlEndpoint(t *testing.T) {
	e := startEngine(t, fastPerformance())
	var status Status[EngineFaults, EngineCounters]
	sendCommand(t, e.Addr(), `{"switches":{"straggle":2.5,"wrong_id_every":2}}`, nil)
	sendCommand(t, e.Addr(), `{"switches":{"load_lag":"1h","no_resume":true}}`, &status)
	want := EngineFaults{Straggle: 2.5, WrongIDEvery: 2, NoResume: true, LoadLag: status.Faults.LoadLag}
	if status.Faults != want || status.Faults.LoadLag.Std().Hours() != 1 {
		t.Errorf("faults %+v", status.Faults)
	}
	for _, invalid := range []string{`{`, `{"do":"dance"}`, `{"switches":{"load_lag":5}}`} {
		if code := sendCommand(t, e.Addr(), invalid, nil); code != http.StatusBadRequest {
			t.Errorf("%s: status %d", invalid, code)
		}
	}
	for i, want := range []string{"a", "wrong-a"} {
		res, err := postChat(t, t.Context(), e, "a", chatBody(true, 2, ""))
		if err != nil {
			t.Fatal(err)
		}
		events, _ := readEvents(t, res.Body, 10)
		res.Body.Close()
		if got := res.Header.Get(HeaderRequestID); got != want || events[0].ID != want {
			t.Errorf("response %d has the identifier %s, want %s", i, got, want)
		}
	}
	if l := e.Load(); l.Running != 0 || e.Counters().Requests != 2 {
		t.Errorf("a report an hour late must be the oldest one: %+v", l)
	}
	if code := sendCommand(t, e.Addr(), `{"do":"crash","for":"1ms"}`, nil); code != http.StatusOK {
		t.Errorf("the crash command got status %d", code)
	}
	eventually(t, "the engine has restarted", func() bool { return e.Load().Incarnation == "e-1" && reachable(e.Addr()) })
}

func reachable(addr string) bool {
	res, err := noKeepAliveClient.Get("http://" + addr + PathLoad)
	if err != nil {
		return false
	}
	res.Body.Close()
	return true
}

// A request that cannot start by its deadline must be refused and must not run later.
func TestDeadlineInTheQueue(t *testing.T) {
	m := fastPerformance()
	m.Slots = 1
	e := startEngine(t, m)
	res, err := postChat(t, t.Context(), e, "running", chatBody(true, 1_000_000, ""))
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	req, err := http.NewRequest(http.MethodPost, "http://"+e.Addr()+PathChat, strings.NewReader(string(chatBody(true, 5, "late"))))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(HeaderDeadline, "1")
	late, err := noKeepAliveClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	late.Body.Close()
	if late.StatusCode != http.StatusGatewayTimeout || e.Counters().Expired != 1 || e.Executions().Keys["late"] != 0 {
		t.Errorf("status %d, counters %+v", late.StatusCode, e.Counters())
	}
}

// With NoResume set, a recent stream must not be resumable.
func TestNoResume(t *testing.T) {
	e := startEngine(t, fastPerformance())
	res, err := postChat(t, t.Context(), e, "r", chatBody(true, 3, ""))
	if err != nil {
		t.Fatal(err)
	}
	readEvents(t, res.Body, 100)
	res.Body.Close()
	for _, want := range []int{http.StatusOK, http.StatusNotFound} {
		res, err := noKeepAliveClient.Get("http://" + e.Addr() + PathStreams + "r?from=1")
		if err != nil {
			t.Fatal(err)
		}
		events, _ := readEvents(t, res.Body, 100)
		res.Body.Close()
		if res.StatusCode != want || want == http.StatusOK && len(events) != 3 {
			t.Errorf("status %d with %d events, want %d", res.StatusCode, len(events), want)
		}
		e.SetFaults(EngineFaults{NoResume: true})
	}
}
