package entry

import (
	"bufio"
	"fmt"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccabridge/yuccabridge/config"
	"github.com/yuccabridge/yuccabridge/internal/testnet"
)

// startHastyUpstream starts an upstream that answers each request with 200 and part of a body without a length before it has
// read the upload, and resets the connection after a pause.
func startHastyUpstream(t *testing.T, part string, pause time.Duration) (address string, answers *atomic.Int64) {
	t.Helper()
	answers = new(atomic.Int64)
	address = testnet.Serve(t, func(c net.Conn) {
		r, err := http.ReadRequest(bufio.NewReaderSize(c, 512))
		if err != nil {
			return
		}
		id := r.Header.Get(headerRequestID)
		if id != "" { // not of a load query
			answers.Add(1)
		}
		_, _ = fmt.Fprintf(c, "HTTP/1.1 200 OK\r\n%s: %s\r\n\r\n%s", headerRequestID, id, strings.ReplaceAll(part, "ID", id)) // the reset follows in any case
		time.Sleep(pause)
		_ = c.(*net.TCPConn).SetLinger(0)
	})
	return address, answers
}

// Guards against the part of an answer that its upstream breaks off, while it is still sent the upload, and that reaches the
// caller as a whole. The parts look whole by themselves.
func TestAnswerThatIsResetDuringTheUploadIsNotComplete(t *testing.T) {
	const events = "data: {\"id\":\"ID\"}\n\n"
	upload := strings.Repeat("x", 3<<20)
	for name, tc := range map[string]struct {
		engine           bool
		path, body, part string
	}{
		"service": {false, "/orders/status", upload, "{}"},
		"order":   {false, "/orders/runs", `{"order":"` + upload + `"}`, "{}"},
		"chat":    {true, chatPath, chatBody(false, 1, upload), "{}"},
		"stream":  {true, chatPath, chatBody(true, 1, upload), events},
	} {
		for _, pause := range []time.Duration{0, 20 * time.Millisecond, 100 * time.Millisecond} {
			t.Run(fmt.Sprint(name, "/", pause), func(t *testing.T) {
				t.Parallel()
				d := testDeployment()
				d.Classes[0].Deadline = config.Duration(2 * time.Second)
				address, answers := startHastyUpstream(t, tc.part, pause)
				upstreams := []config.Upstream{{Name: "hasty", Address: address, FailureDomain: "a"}}
				if tc.engine {
					d.Models[0].Upstreams, d.Services = upstreams, nil
				} else {
					d.Models, d.Services[0].Upstreams = nil, upstreams
				}
				env := &testEnv{t: t, maxBodyBytes: 8 << 20}
				env.start(d)
				ticket := ""
				if name == "order" {
					ticket = env.issueTicket()
				}
				resp, text := env.sendAndRead("POST", tc.path, tc.body, ticket)
				if resp.StatusCode/100 != 5 && (name != "stream" || !strings.Contains(text, `"error"`)) {
					t.Errorf("%d %q", resp.StatusCode, text)
				}
				if answers.Load() == 0 {
					t.Errorf("the request did not arrive: %d %q", resp.StatusCode, text)
				}
			})
		}
	}
}
