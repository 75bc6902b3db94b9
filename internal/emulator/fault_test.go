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

// control sends a command and decodes the answer into status.
func control(t *testing.T, addr, command string, status any) int {
	t.Helper()
	res, err := freshClient.Post("http://"+addr+PathControl, "application/json", strings.NewReader(command))
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

// A crash must break open streams, refuse connections and come back under a new
// incarnation without the old streams.
func TestCrashAndRestart(t *testing.T) {
	e := startEngine(t, fastModel())
	before := e.Load().Incarnation
	res, err := post(t, t.Context(), e, "r", chatBody(true, 1_000_000, ""))
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	e.Crash()
	if _, err := io.ReadAll(res.Body); err == nil {
		t.Error("the stream ended cleanly")
	}
	if _, err := freshClient.Get("http://" + e.Addr() + PathLoad); !errors.Is(err, syscall.ECONNREFUSED) {
		t.Errorf("got %v, want connection refused", err)
	}
	if err := e.Restart(); err != nil {
		t.Fatal(err)
	}
	if l := e.Load(); l.Incarnation == before || l.Running != 0 {
		t.Errorf("load %+v, before %s", l, before)
	}
	again, err := freshClient.Get("http://" + e.Addr() + PathStreams + "r?from=0")
	if err != nil {
		t.Fatal(err)
	}
	again.Body.Close()
	if again.StatusCode != http.StatusNotFound {
		t.Errorf("status %d for a stream from before the crash", again.StatusCode)
	}
	if c := e.Counters(); c.Lost != 1 || c.TokensLost != c.TokensGenerated || c.Cancelled != 0 {
		t.Errorf("counters %+v", c)
	}
}

// A marked request must take the engine and its other streams down each time it runs.
func TestMarkedRequestCrashes(t *testing.T) {
	e := startEngine(t, fastModel())
	e.SetSwitches(EngineSwitches{CrashMarker: "poison-pill"})
	other, err := post(t, t.Context(), e, "other", chatBody(true, 1_000_000, ""))
	if err != nil {
		t.Fatal(err)
	}
	defer other.Body.Close()
	if _, err := post(t, t.Context(), e, "bad", chatBody(true, 5, "poison-pill")); err == nil {
		t.Error("the marked request was answered")
	}
	if _, err := io.ReadAll(other.Body); err == nil {
		t.Error("the other stream ended cleanly")
	}
	if c := e.Counters(); c.Crashes != 1 || c.Lost != 2 {
		t.Errorf("counters %+v", c)
	}
}

// After silence the open connection must give nothing more, while a new one can
// take the stream over.
func TestSilenceHitsOpenConnectionsOnly(t *testing.T) {
	m := fastModel()
	e := startEngine(t, m)
	res, err := post(t, t.Context(), e, "r", chatBody(true, 2000, ""))
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if n := e.Silence(); n != 1 {
		t.Fatalf("%d silent connections", n)
	}
	eventually(t, "the engine keeps generating", func() bool { return e.Counters().Completed == 1 })
	again, err := freshClient.Get("http://" + e.Addr() + PathStreams + "r?from=0")
	if err != nil {
		t.Fatal(err)
	}
	defer again.Body.Close()
	events, done := readEvents(t, again.Body, 5000)
	if !done {
		t.Fatal("the resumed stream did not finish")
	}
	checkEvents(t, events, "r", 0, 2000)
	old, _ := readEvents(t, &stopAt{r: res.Body, stop: e.DropConnections}, 5000)
	if len(old) >= 2000 {
		t.Error("the silent connection delivered the whole stream")
	}
}

// stopAt calls stop once, before the first read, so that a read cannot block for good.
type stopAt struct {
	r    io.Reader
	stop func()
}

func (s *stopAt) Read(p []byte) (int, error) {
	if s.stop != nil {
		s.stop()
		s.stop = nil
	}
	return s.r.Read(p)
}

// A frozen engine must make no progress and go on afterwards.
func TestFreeze(t *testing.T) {
	e := startEngine(t, fastModel())
	res, err := post(t, t.Context(), e, "r", chatBody(true, 100, ""))
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	if code := control(t, e.Addr(), `{"do":"freeze"}`, nil); code != http.StatusOK {
		t.Fatal(code)
	}
	answered := make(chan int, 1)
	go func() {
		res, err := freshClient.Get("http://" + e.Addr() + PathLoad)
		if err != nil {
			answered <- 0
			return
		}
		res.Body.Close()
		answered <- res.StatusCode
	}()
	var status Status[EngineSwitches, EngineCounters]
	control(t, e.Addr(), `{}`, &status)
	select {
	case <-answered:
		t.Error("a frozen engine answered")
	default:
	}
	e.Freeze(false)
	if code := <-answered; code != http.StatusOK {
		t.Errorf("status %d after the freeze", code)
	}
	if events, done := readEvents(t, res.Body, 1000); !done {
		t.Errorf("the stream ended after %d events", len(events))
	}
}

// The switches must be settable one by one over HTTP, and wrong commands refused.
func TestControlEndpoint(t *testing.T) {
	e := startEngine(t, fastModel())
	var status Status[EngineSwitches, EngineCounters]
	control(t, e.Addr(), `{"switches":{"straggle":2.5,"wrong_id_every":2}}`, nil)
	control(t, e.Addr(), `{"switches":{"load_lag":"1h","no_resume":true}}`, &status)
	want := EngineSwitches{Straggle: 2.5, WrongIDEvery: 2, NoResume: true, LoadLag: status.Switches.LoadLag}
	if status.Switches != want || status.Switches.LoadLag.Std().Hours() != 1 {
		t.Errorf("switches %+v", status.Switches)
	}
	for _, bad := range []string{`{`, `{"do":"dance"}`, `{"switches":{"load_lag":5}}`} {
		if code := control(t, e.Addr(), bad, nil); code != http.StatusBadRequest {
			t.Errorf("%s: status %d", bad, code)
		}
	}
	for i, want := range []string{"a", "wrong-a"} {
		res, err := post(t, t.Context(), e, "a", chatBody(true, 2, ""))
		if err != nil {
			t.Fatal(err)
		}
		events, _ := readEvents(t, res.Body, 10)
		res.Body.Close()
		if got := res.Header.Get(HeaderRequestID); got != want || events[0].ID != want {
			t.Errorf("answer %d has the identifier %s, want %s", i, got, want)
		}
	}
	if l := e.Load(); l.Running != 0 || e.Counters().Requests != 2 {
		t.Errorf("a report an hour late must be the oldest one: %+v", l)
	}
	if code := control(t, e.Addr(), `{"do":"crash","for":"1ms"}`, nil); code != http.StatusOK {
		t.Errorf("the crash command was not answered: %d", code)
	}
	eventually(t, "the engine is back", func() bool { return e.Load().Incarnation == "e-1" && reachable(e.Addr()) })
}

func reachable(addr string) bool {
	res, err := freshClient.Get("http://" + addr + PathLoad)
	if err != nil {
		return false
	}
	res.Body.Close()
	return true
}

// A request that cannot start by its deadline must be refused, not run later.
func TestDeadlineInTheQueue(t *testing.T) {
	m := fastModel()
	m.Slots = 1
	e := startEngine(t, m)
	res, err := post(t, t.Context(), e, "running", chatBody(true, 1_000_000, ""))
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	req, err := http.NewRequest(http.MethodPost, "http://"+e.Addr()+PathChat, strings.NewReader(string(chatBody(true, 5, "late"))))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set(HeaderDeadline, "1")
	late, err := freshClient.Do(req)
	if err != nil {
		t.Fatal(err)
	}
	late.Body.Close()
	if late.StatusCode != http.StatusGatewayTimeout || e.Counters().Expired != 1 || e.Executions().Keys["late"] != 0 {
		t.Errorf("status %d, counters %+v", late.StatusCode, e.Counters())
	}
}

// With the switch set, a stream must not be resumable although it is known.
func TestNoResume(t *testing.T) {
	e := startEngine(t, fastModel())
	res, err := post(t, t.Context(), e, "r", chatBody(true, 3, ""))
	if err != nil {
		t.Fatal(err)
	}
	readEvents(t, res.Body, 100)
	res.Body.Close()
	for _, want := range []int{http.StatusOK, http.StatusNotFound} {
		res, err := freshClient.Get("http://" + e.Addr() + PathStreams + "r?from=1")
		if err != nil {
			t.Fatal(err)
		}
		events, _ := readEvents(t, res.Body, 100)
		res.Body.Close()
		if res.StatusCode != want || want == http.StatusOK && len(events) != 3 {
			t.Errorf("status %d with %d events, want %d", res.StatusCode, len(events), want)
		}
		e.SetSwitches(EngineSwitches{NoResume: true})
	}
}
