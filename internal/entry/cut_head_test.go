package entry

import (
	"bufio"
	"cmp"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"

	"github.com/yuccabridge/yuccabridge/config"
	"github.com/yuccabridge/yuccabridge/internal/testnet"
)

// cuttingUpstream stands for upstreams. It answers each request on a connection of its own, and ends the answer after some bytes if it is told
// to.
type cuttingUpstream struct {
	status   string                   // the status line; empty: 200
	framing  func(body string) string // the end of the head and the body
	body     func(id string) string
	cutAfter atomic.Int64 // bytes of the next answer; 0: all
	noLoad   bool         // load queries are not answered
}

func (u *cuttingUpstream) start(t *testing.T) string {
	t.Helper()
	return testnet.Serve(t, u.serve)
}

// serve ignores errors: the test checks the instance, not the connection.
func (u *cuttingUpstream) serve(conn net.Conn) {
	r, err := http.ReadRequest(bufio.NewReader(conn))
	if err != nil {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	if r.URL.Path == "/load" && u.noLoad {
		return
	}
	if r.URL.Path == "/load" {
		const load = `{"incarnation":"e-1"}`
		_, _ = fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(load), load)
		return
	}
	id := r.Header.Get(headerRequestID)
	answer := fmt.Sprintf("%s\r\n%s: %s\r\n%s", cmp.Or(u.status, "HTTP/1.1 200 OK"), headerRequestID, id, u.framing(u.body(id)))
	if after := int(u.cutAfter.Swap(0)); after > 0 {
		answer = answer[:min(after, len(answer))]
	}
	_, _ = io.WriteString(conn, answer)
}

func framedByLength(body string) string {
	return fmt.Sprintf("Content-Type: application/json\r\nContent-Length: %d\r\n\r\n%s", len(body), body)
}

func framedInChunks(body string) string {
	return fmt.Sprintf("Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n\r\n%x\r\n%s\r\n0\r\n\r\n", len(body), body)
}

func framedByClose(body string) string {
	return "Content-Type: text/event-stream\r\n\r\n" + body
}

func documentBody(id string) string { return fmt.Sprintf(`{"id":%q,"answer":"whole"}`, id) }

func eventsBody(id string) string {
	return fmt.Sprintf("data: {\"id\":%q,\"answer\":\"whole\"}\n\ndata: [DONE]\n\n", id)
}

const (
	// maxCutHeadBytes is no less than the length of the head of an answer.
	maxCutHeadBytes = 160
	// cuttingUpstreams is the number of upstreams, so that a request can be sent again.
	cuttingUpstreams = 3
	// cutHeadStep is the number of bytes between two cuts.
	cutHeadStep = 7
)

// cutHeadCase is a kind of request with a framing of its answers.
type cutHeadCase struct {
	name    string
	engine  bool
	framing func(string) string
	body    func(string) string
	send    func(env *testEnv) (*http.Response, string)
	end     string // of a whole answer
}

var cutHeadCases = []cutHeadCase{
	{"service, length", false, framedByLength, documentBody, sendLookup, `"whole"}`},
	{"service, chunks", false, framedInChunks, documentBody, sendLookup, `"whole"}`},
	{"service, until close", false, framedByClose, documentBody, sendLookup, `"whole"}`},
	{"order, length", false, framedByLength, documentBody, sendTicketedOrder, `"whole"}`},
	{"order, chunks", false, framedInChunks, documentBody, sendTicketedOrder, `"whole"}`},
	{"order, until close", false, framedByClose, documentBody, sendTicketedOrder, `"whole"}`},
	{"chat, length", true, framedByLength, documentBody, sendChat, `"whole"}`},
	{"chat, chunks", true, framedInChunks, documentBody, sendChat, `"whole"}`},
	{"chat, until close", true, framedByClose, documentBody, sendChat, `"whole"}`},
	{"stream, chunks", true, framedInChunks, eventsBody, sendStream, "[DONE]\n\n"},
	{"stream, until close", true, framedByClose, eventsBody, sendStream, "[DONE]\n\n"},
}

// Guards against an upstream that stops in the middle of the head of its answer, and whose caller gets a 200 with an
// empty or short body that looks complete.
func TestCutHeadIsNoCompleteAnswer(t *testing.T) {
	for i, tc := range cutHeadCases {
		for after := 1 + i%cutHeadStep; after <= maxCutHeadBytes; after += cutHeadStep {
			t.Run(fmt.Sprintf("%s, after %d bytes", tc.name, after), func(t *testing.T) {
				t.Parallel()
				checkCutHead(t, tc, after)
			})
		}
	}
}

// checkCutHead sends one request, whose first answer is cut after some bytes, to an instance of its own: after failures,
// further requests may wait.
func checkCutHead(t *testing.T, tc cutHeadCase, after int) {
	u := &cuttingUpstream{framing: tc.framing, body: tc.body}
	u.cutAfter.Store(int64(after))
	var cutting []config.Upstream
	for i := range cuttingUpstreams {
		cutting = append(cutting, config.Upstream{Name: fmt.Sprint("cutting-", i), Address: u.start(t), FailureDomain: "a"})
	}
	env := newTestEnv(t, 0, func(d *config.Deployment) {
		if tc.engine {
			d.Models[0].Upstreams = cutting
		} else {
			d.Models, d.Services[0].Upstreams = nil, cutting
		}
	})
	resp, text := tc.send(env)
	if resp.StatusCode == http.StatusOK && !strings.HasSuffix(text, tc.end) {
		t.Errorf("200 %q", text)
	}
	if u.cutAfter.Load() != 0 {
		t.Errorf("no answer was cut: %d %q", resp.StatusCode, text)
	}
}

// sendAndRead sends a request; the text is empty if the body breaks off.
func (env *testEnv) sendAndRead(method, path, body, ticket string) (*http.Response, string) {
	env.t.Helper()
	req, err := http.NewRequest(method, "http://"+env.instance.CallersAddress()+path, strings.NewReader(body))
	if err != nil {
		env.t.Fatal(err)
	}
	req.Header.Set("Authorization", "Bearer "+testKey)
	if ticket != "" {
		req.Header.Set(headerTicket, ticket)
	}
	resp, err := http.DefaultClient.Do(req)
	if err != nil {
		env.t.Fatal(err)
	}
	defer resp.Body.Close()
	text, err := io.ReadAll(resp.Body)
	if err != nil {
		return resp, "broken off"
	}
	return resp, string(text)
}

func sendLookup(env *testEnv) (*http.Response, string) {
	return env.sendAndRead("GET", "/orders/status", "", "")
}

func sendChat(env *testEnv) (*http.Response, string) {
	return env.sendAndRead("POST", chatPath, chatBody(false, 1, ""), "")
}

func sendStream(env *testEnv) (*http.Response, string) {
	return env.sendAndRead("POST", chatPath, chatBody(true, 1, ""), "")
}

func sendTicketedOrder(env *testEnv) (*http.Response, string) {
	return env.sendAndRead("POST", "/orders/runs", "{}", env.issueTicket())
}

func (env *testEnv) issueTicket() string {
	env.t.Helper()
	ticket, apiErr := env.instance.orders.issueTicket("desk")
	if apiErr != nil {
		env.t.Fatal(apiErr)
	}
	return ticket
}
