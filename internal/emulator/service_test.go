package emulator

import (
	"encoding/json"
	"net/http"
	"strings"
	"testing"
)

func startService(t *testing.T) *Service {
	t.Helper()
	s := NewService("s")
	if err := s.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(s.Stop)
	return s
}

// order sends an order; the status is 0 when the connection broke.
func order(t *testing.T, s *Service, ticket, body string) (int, ServiceAnswer) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+s.Addr()+"/orders/runs", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if ticket != "" {
		req.Header.Set(HeaderOrderTicket, ticket)
	}
	var a ServiceAnswer
	res, err := freshClient.Do(req)
	if err != nil {
		return 0, a
	}
	defer res.Body.Close()
	if res.StatusCode == http.StatusOK {
		if err := json.NewDecoder(res.Body).Decode(&a); err != nil {
			t.Fatal(err)
		}
	}
	return res.StatusCode, a
}

// Every execution must be counted, also when its answer is lost, and a refused one
// must not: the experiment's judgement about repeated orders rests on this.
func TestServiceCountsExecutions(t *testing.T) {
	s := startService(t)
	body := `{"order":"o1"}`
	code, a := order(t, s, "t1", body)
	if code != 200 || a.Key != "t1" || a.Execution != 1 || a.BodyChecksum != Checksum(body) {
		t.Errorf("status %d, answer %+v", code, a)
	}
	s.SetSwitches(ServiceSwitches{ErrorEvery: 1})
	if code, _ := order(t, s, "t2", `{"order":"o2"}`); code != 500 {
		t.Errorf("status %d, want 500", code)
	}
	s.SetSwitches(ServiceSwitches{DropAnswerEvery: 1})
	if code, _ := order(t, s, "", `{"order":"o3"}`); code != 0 {
		t.Errorf("status %d, want a broken connection", code)
	}
	s.SetSwitches(ServiceSwitches{})
	order(t, s, "t4", body) // the same order under another ticket
	s.Crash()
	if err := s.Restart(); err != nil {
		t.Fatal(err)
	}
	res, err := freshClient.Get("http://" + s.Addr() + PathExecutions)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	var x Executions
	if err := json.NewDecoder(res.Body).Decode(&x); err != nil {
		t.Fatal(err)
	}
	if x.Keys["t1"] != 1 || x.Keys["t2"] != 0 || x.Keys["o3"] != 1 || x.Orders["o1"] != 2 || x.Orders["o2"] != 0 {
		t.Errorf("executions %+v", x)
	}
	if c := s.Counters(); c.Executed != 3 || c.Failed != 1 || c.Dropped != 1 || c.Repeated != 1 {
		t.Errorf("counters %+v", c)
	}
}
