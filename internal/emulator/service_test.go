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

// sendOrder sends an order; the status is 0 when the connection broke.
func sendOrder(t *testing.T, s *Service, ticket, body string) (int, ServiceResponse) {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+s.Addr()+"/orders/runs", strings.NewReader(body))
	if err != nil {
		t.Fatal(err)
	}
	if ticket != "" {
		req.Header.Set(HeaderOrderTicket, ticket)
	}
	var response ServiceResponse
	res, err := noKeepAliveClient.Do(req)
	if err != nil {
		return 0, response
	}
	defer res.Body.Close()
	if res.StatusCode == http.StatusOK {
		if err := json.NewDecoder(res.Body).Decode(&response); err != nil {
			t.Fatal(err)
		}
	}
	return res.StatusCode, response
}

// Every execution must be counted even if its response is lost, and a request that fails
// before its execution must not: the experiment's check for repeated orders relies on it.
func TestServiceCountsExecutions(t *testing.T) {
	s := startService(t)
	body := `{"order":"o1"}`
	status, response := sendOrder(t, s, "t1", body)
	if status != 200 || response.Key != "t1" || response.Execution != 1 || response.BodyChecksum != Checksum(body) {
		t.Errorf("status %d, response %+v", status, response)
	}
	s.SetFaults(ServiceFaults{ErrorEvery: 1})
	if status, _ := sendOrder(t, s, "t2", `{"order":"o2"}`); status != 500 {
		t.Errorf("status %d, want 500", status)
	}
	s.SetFaults(ServiceFaults{DropResponseEvery: 1})
	if status, _ := sendOrder(t, s, "", `{"order":"o3"}`); status != 0 {
		t.Errorf("status %d, want a broken connection", status)
	}
	s.SetFaults(ServiceFaults{})
	sendOrder(t, s, "t4", body) // the same order under another ticket
	s.Crash()
	if err := s.Restart(); err != nil {
		t.Fatal(err)
	}
	res, err := noKeepAliveClient.Get("http://" + s.Addr() + PathExecutions)
	if err != nil {
		t.Fatal(err)
	}
	defer res.Body.Close()
	var executions Executions
	if err := json.NewDecoder(res.Body).Decode(&executions); err != nil {
		t.Fatal(err)
	}
	if executions.Keys["t1"] != 1 || executions.Keys["t2"] != 0 || executions.Keys["o3"] != 1 || executions.Orders["o1"] != 2 || executions.Orders["o2"] != 0 {
		t.Errorf("executions %+v", executions)
	}
	if c := s.Counters(); c.Executed != 3 || c.Failed != 1 || c.Dropped != 1 || c.Repeated != 1 {
		t.Errorf("counters %+v", c)
	}
}
