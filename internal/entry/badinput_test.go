package entry

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"regexp"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccabridge/yuccabridge/config"
	"github.com/yuccabridge/yuccabridge/internal/emulator"
	"github.com/yuccabridge/yuccabridge/internal/settings"
	"github.com/yuccabridge/yuccabridge/internal/testnet"
)

// rawConnTimeout is the deadline of raw test connections, so that a hanging one fails the test.
const rawConnTimeout = 30 * time.Second

// syncBuffer is a buffer for log output that is safe for concurrent use.
type syncBuffer struct {
	mu  sync.Mutex
	buf bytes.Buffer
}

func (b *syncBuffer) Write(p []byte) (int, error) {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.Write(p)
}

func (b *syncBuffer) String() string {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.buf.String()
}

// startInstanceWithLog starts an instance with a short read timeout and returns it with its
// log, which has debug level and the format of the daemon.
func startInstanceWithLog(t *testing.T, d *config.Deployment) (*Instance, *syncBuffer) {
	t.Helper()
	text := "instance: entry-1\nfailure_domain: a\ncallers: {address: '127.0.0.1:0'}\noperations: {address: '127.0.0.2:0'}\n" +
		"configuration_file: unused\nlimits: {read_timeout: 50ms}\n"
	s, err := settings.Parse([]byte(text))
	if err != nil {
		t.Fatal(err)
	}
	s.ConfigurationFile = ""
	out := new(syncBuffer)
	log := logrus.New()
	log.SetOutput(out)
	log.SetLevel(logrus.DebugLevel)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true})
	in, err := New(s, log)
	if err != nil {
		t.Fatal(err)
	}
	in.applyDeployment(1, d)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan error, 1)
	go func() { done <- in.Run(ctx) }()
	t.Cleanup(func() {
		cancel()
		if err := <-done; err != nil {
			t.Errorf("run: %v", err)
		}
	})
	return in, out
}

// serviceDeployment returns a deployment with one plain service and no model.
func serviceDeployment(address string) *config.Deployment {
	d := testDeployment()
	d.Models = nil
	d.Services[0].Upstreams = []config.Upstream{{Name: "orders-1", Address: address, FailureDomain: "a"}}
	return d
}

// sendRaw writes a request to a new connection and returns all data received until the
// instance closes the connection.
func sendRaw(t *testing.T, address, request string) string {
	t.Helper()
	conn, err := net.Dial("tcp", address)
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	if err := conn.SetDeadline(time.Now().Add(rawConnTimeout)); err != nil {
		t.Fatal(err)
	}
	if _, err := io.WriteString(conn, request); err != nil {
		t.Fatal(err)
	}
	response, err := io.ReadAll(conn)
	if err != nil {
		t.Fatalf("connection was not closed cleanly: %v", err)
	}
	return string(response)
}

// checkErrorResponse checks the status, error code and run state of a raw error response.
func checkErrorResponse(t *testing.T, rawResponse string, status int, code string) {
	t.Helper()
	resp, err := http.ReadResponse(bufio.NewReader(strings.NewReader(rawResponse)), nil)
	if err != nil {
		t.Fatalf("%q: %v", rawResponse, err)
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(resp.Body)
	if err != nil {
		t.Fatal(err)
	}
	wantRun := "not_run"
	if code == "ticket_invalid" {
		wantRun = "unknown" // an order may have run under the ticket
	}
	if got, run, _ := decodeError(t, string(body)); resp.StatusCode != status || got != code || run != wantRun {
		t.Errorf("got %d %s, want %d %s", resp.StatusCode, body, status, code)
	}
}

// An oversized, incomplete or malformed request must not keep a connection open. Its sender
// must receive an error response even if it is still sending.
func TestUnreadableRequests(t *testing.T) {
	in, _ := startInstanceWithLog(t, serviceDeployment("127.0.0.1:1"))
	head := "POST /orders/x HTTP/1.1\r\nHost: a\r\nAuthorization: Bearer " + testKey + "\r\n"
	cases := []struct {
		name, text, code string
		status           int
	}{
		{"one header too large", head + "X-Long: " + strings.Repeat("x", 20_000) + "\r\n\r\n", "headers_too_large", 431},
		{"too many headers", head + strings.Repeat("X-A: b\r\n", 3000) + "\r\n", "headers_too_large", 431},
		{"request line too long", "GET /orders/" + strings.Repeat("x", 20_000) + " HTTP/1.1\r\n\r\n", "headers_too_large", 431},
		{"nothing", "", "request_timeout", 408},
		{"part of the headers", head, "request_timeout", 408},
		{"part of the body", head + "Content-Length: 10\r\n\r\nhalf", "request_timeout", 408},
		{"part of a chunk", head + "Transfer-Encoding: chunked\r\n\r\n5\r\nha", "request_timeout", 408},
		{"no HTTP", "hello\r\n\r\n", "malformed_request", 400},
		{"bad length", head + "Content-Length: -5\r\n\r\n", "malformed_request", 400},
		{"bad chunk", head + "Transfer-Encoding: chunked\r\n\r\nzz\r\n", "malformed_request", 400},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			checkErrorResponse(t, sendRaw(t, in.CallersAddress(), c.text), c.status, c.code)
		})
	}
}

// A rejected request must get its stable error code and must not reach an upstream.
func TestRejectedRequests(t *testing.T) {
	env := newTestEnv(t, 1, func(d *config.Deployment) { d.Teams[0].Classes = []string{"interactive"} })
	chat := chatBody(false, 1, "")
	cases := []struct {
		name, method, path, header, value, body, code string
		status                                        int
	}{
		{"unknown class", "POST", chatPath, headerClass, "gold", chat, "unknown_class", 400},
		{"unknown class at a service", "GET", "/orders/x", headerClass, "gold", "", "unknown_class", 400},
		{"class of another team", "POST", chatPath, headerClass, "bulk", chat, "class_not_allowed", 403},
		{"class of another team at a service", "POST", "/orders/runs", headerClass, "bulk", "{}", "class_not_allowed", 403},
		{"invalid ticket", "POST", "/orders/runs", headerTicket, "abc", "{}", "ticket_invalid", 400},
		{"state of an invalid ticket", "GET", ordersPath + "abc", "", "", "", "ticket_invalid", 400},
		{"no ticket", "GET", ordersPath, "", "", "", "ticket_invalid", 400},
		{"chat by GET", "GET", chatPath, "", "", "", "method_not_allowed", 405},
		{"ticket by GET", "GET", ticketsPath, "", "", "", "method_not_allowed", 405},
		{"state by POST", "POST", ordersPath + "abc", "", "", "", "method_not_allowed", 405},
		{"method in small letters", "post", "/orders/runs", "", "", "{}", "ticket_required", 428},
		{"escaped path", "POST", "/orders/%72uns", "", "", "{}", "ticket_required", 428},
		{"absolute form", "POST", "http://b/orders/runs", "", "", "{}", "ticket_required", 428},
		{"path with dots", "POST", "/orders/x/../runs", "", "", "{}", "ticket_required", 428},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			text := fmt.Sprintf("%s %s HTTP/1.1\r\nHost: a\r\nConnection: close\r\nAuthorization: Bearer %s\r\nContent-Length: %d\r\n", c.method, c.path, testKey, len(c.body))
			if c.header != "" {
				text += c.header + ": " + c.value + "\r\n"
			}
			checkErrorResponse(t, sendRaw(t, env.instance.CallersAddress(), text+"\r\n"+c.body), c.status, c.code)
		})
	}
	if n := env.engines[0].Counters().Requests; n != 0 {
		t.Errorf("%d rejected requests reached the engine", n)
	}
	if n := env.service.Counters().Requests; n != 0 {
		t.Errorf("%d rejected requests reached the service", n)
	}
}

// The path sent to the upstream must be the same normalized path that was matched against
// the service prefixes and the non-idempotent operations.
func TestUpstreamReceivesCheckedPath(t *testing.T) {
	paths := make(chan string, 1)
	service := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) { paths <- r.RequestURI }))
	t.Cleanup(service.Close)
	in, _ := startInstanceWithLog(t, serviceDeployment(strings.TrimPrefix(service.URL, "http://")))
	for sent, want := range map[string]string{
		"/orders/x?a=%20b&c":      "/orders/x?a=%20b&c",
		"http://b/orders/x?c":     "/orders/x?c",
		"/other/../orders/x":      "/orders/x",
		"/orders/a%2572":          "/orders/a%2572",
		"/orders//x":              "/orders/x",
		"/orders/x%0d%0aX:%20bad": "/orders/x%0D%0AX:%20bad",
	} {
		sendRaw(t, in.CallersAddress(), "GET "+sent+" HTTP/1.1\r\nHost: a\r\nConnection: close\r\nAuthorization: Bearer "+testKey+"\r\n\r\n")
		if got := <-paths; got != want {
			t.Errorf("%s: upstream received %s, want %s", sent, got, want)
		}
	}
}

// logLine matches a well-formed log line: key-value pairs with bare or quoted values.
var logLine = regexp.MustCompile(`^time="[^"]+" level=\w+ msg=(\w+|"([^"\\]|\\.)*")( \w+=([^ "=]*|"([^"\\]|\\.)*"))*$`)

// Text from callers and upstreams must not be able to end a log line or to add a
// key-value pair, and callers' keys must not be logged.
func TestUntrustedTextCannotForgeLogLines(t *testing.T) {
	const forged = "x\nlevel=error event=forged y=\"z\r\nevent=forged "
	upstream := startRawUpstream(t, "HTTP/1.1 200 OK\r\nevent=forged a=\"b\nlevel=error event=forged\r\n\r\n")
	d := serviceDeployment(upstream)
	d.Classes[0].Deadline = d.Classes[0].FirstTokenTarget // leaves no time for retries
	in, log := startInstanceWithLog(t, d)
	auth := "Authorization: Bearer " + testKey + "\r\n"
	for _, text := range []string{
		"GET /orders/" + forged + " HTTP/1.1\r\n\r\n",
		"POST /orders/x HTTP/1.1\r\n" + auth + "Broken " + forged + "\r\n\r\n",
		"POST /orders/x HTTP/1.1\r\n" + auth + "Content-Length: " + forged + "\r\n\r\n",
		"POST /orders/x HTTP/1.1\r\n" + auth + strings.Repeat("X-A: event=forged\r\n", 2000),
		"POST /orders/x HTTP/1.1\r\n" + auth,
		"POST /orders/%0aevent=forged HTTP/1.1\r\nHost: a\r\nConnection: close\r\n" + auth + "X-Request-Id: event=forged\r\nContent-Length: 0\r\n\r\n",
	} {
		sendRaw(t, in.CallersAddress(), text)
	}
	eventually(t, "log line about the upstream", func() bool { return strings.Contains(log.String(), "event=attempt_failed") })
	for line := range strings.Lines(log.String()) {
		line = strings.TrimSuffix(line, "\n")
		if !logLine.MatchString(line) {
			t.Errorf("malformed line: %s", line)
		}
		if unquoted := regexp.MustCompile(`"([^"\\]|\\.)*"`).ReplaceAllString(line, ""); strings.Contains(unquoted, "forged") {
			t.Errorf("forged key-value pair: %s", line)
		}
		if strings.Contains(line, testKey) {
			t.Errorf("line contains a caller's key: %s", line)
		}
	}
}

// startRawUpstream starts an upstream that reads one request per connection, writes the
// given response and closes the connection.
func startRawUpstream(t *testing.T, response string) string {
	t.Helper()
	return testnet.Serve(t, func(conn net.Conn) {
		// Errors are ignored: this test checks the instance, not the connection.
		if _, err := http.ReadRequest(bufio.NewReader(conn)); err == nil {
			_, _ = io.WriteString(conn, response)
		}
	})
}

// The state of an order must be readable only by the team that owns the ticket.
func TestOrderStateOfOtherTeam(t *testing.T) {
	env := newTestEnv(t, 0, func(d *config.Deployment) {
		d.Models = nil
		d.Teams = append(d.Teams, config.Team{Name: "other", KeySHA256: []string{strings.Repeat("ab", 32)}})
	})
	otherTeamTicket, apiErr := env.instance.orders.issueTicket("other")
	if apiErr != nil {
		t.Fatal(apiErr)
	}
	ownTicket, apiErr := env.instance.orders.issueTicket("desk")
	if apiErr != nil {
		t.Fatal(apiErr)
	}
	for ticket, want := range map[string]string{otherTeamTicket: "ticket_invalid", ownTicket: "issued"} {
		req, err := http.NewRequest(http.MethodGet, "http://"+env.instance.CallersAddress()+ordersPath+ticket, nil)
		if err != nil {
			t.Fatal(err)
		}
		req.Header.Set("Authorization", "Bearer "+testKey)
		resp, err := http.DefaultClient.Do(req)
		if err != nil {
			t.Fatal(err)
		}
		defer resp.Body.Close()
		var a struct {
			State string
			Error struct{ Code string }
		}
		if err := json.NewDecoder(resp.Body).Decode(&a); err != nil || a.State+a.Error.Code != want {
			t.Errorf("got %+v, %v, want %s", a, err, want)
		}
	}
}

// An order that ran under a ticket of an earlier process must not be reported as "not
// run", because the caller would place it again.
func TestTicketOfEarlierProcess(t *testing.T) {
	service := emulator.NewService("orders")
	if err := service.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(service.Stop)
	earlier, _ := startInstanceWithLog(t, serviceDeployment(service.Addr()))
	ticket, apiErr := earlier.orders.issueTicket("desk")
	if apiErr != nil {
		t.Fatal(apiErr)
	}
	later, _ := startInstanceWithLog(t, serviceDeployment(service.Addr()))
	order := "POST /orders/runs HTTP/1.1\r\nHost: a\r\nConnection: close\r\nAuthorization: Bearer " + testKey + "\r\n" +
		headerTicket + ": " + ticket + "\r\nContent-Length: 2\r\n\r\n{}"
	if response := sendRaw(t, earlier.CallersAddress(), order); !strings.HasPrefix(response, "HTTP/1.1 200 ") {
		t.Fatalf("order did not run: %s", response)
	}
	checkErrorResponse(t, sendRaw(t, later.CallersAddress(), order), 400, "ticket_invalid")
}

// An order resent after the class rules have changed is still the same order: it must get
// the first response and not the error "this one did not run".
func TestOrderResentAfterConfigurationChange(t *testing.T) {
	service := emulator.NewService("orders")
	if err := service.Start("127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(service.Stop)
	in, _ := startInstanceWithLog(t, serviceDeployment(service.Addr()))
	env := &testEnv{t: t, instance: in, service: service}
	_, text := env.postOrder("", `{"order":"shaft-5"}`)
	_, _, ticket := decodeError(t, text)
	_, first := env.postOrder(ticket, `{"order":"shaft-5"}`)
	updated := serviceDeployment(service.Addr())
	updated.ClassRules = []config.ClassRule{{PathPrefix: "/orders/", Class: "bulk"}}
	in.applyDeployment(2, updated)
	if resp, repeated := env.postOrder(ticket, `{"order":"shaft-5"}`); resp.StatusCode != http.StatusOK || repeated != first {
		t.Errorf("got %d %s, want %s", resp.StatusCode, repeated, first)
	}
}
