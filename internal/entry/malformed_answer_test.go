package entry

import (
	"fmt"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/yuccabridge/yuccabridge/config"
)

// malformedAnswers change a valid answer into one that is no HTTP: its status line, or the rest from the second field on.
var malformedAnswers = map[string]struct {
	status string
	change func(rest string) string
	kinds  []string // of requests; nil: all
}{
	"blank in a name":    {change: func(rest string) string { return "X Y: a\r\n" + rest }},
	"blank after a name": {change: func(rest string) string { return "X-Y : a\r\n" + rest }},
	"other protocol":     {status: "HTTP/1.1 101 Switching Protocols", change: func(rest string) string { return rest }},
	"HTTP/1.0, encoded":  {status: "HTTP/1.0 200 OK", change: func(rest string) string { return "Transfer-Encoding: chunked\r\n" + rest }},
	"blank in a trailer": { // the last event of a stream shows that it is whole, before the trailer
		change: func(rest string) string { return strings.Replace(rest, "\r\n0\r\n", "\r\n0\r\nX Y: a\r\n", 1) },
		kinds:  []string{"service, chunks", "order, chunks", "chat, chunks"},
	},
	"status 999": {status: "HTTP/1.1 999 X", change: func(rest string) string { return rest }},
}

// Guards against an answer that is no HTTP and that its caller gets as the answer.
func TestMalformedAnswerIsNotForwarded(t *testing.T) {
	for name, malformed := range malformedAnswers {
		for _, tc := range cutHeadCases {
			if malformed.kinds != nil && !slices.Contains(malformed.kinds, tc.name) {
				continue
			}
			t.Run(name+"/"+tc.name, func(t *testing.T) {
				t.Parallel()
				framing := func(body string) string { return malformed.change(tc.framing(body)) }
				u := &cuttingUpstream{status: malformed.status, framing: framing, body: tc.body}
				upstreams := []config.Upstream{{Name: "malformed", Address: u.start(t), FailureDomain: "a"}}
				env := newTestEnv(t, 0, func(d *config.Deployment) {
					d.Classes[0].Deadline = config.Duration(2 * time.Second)
					if tc.engine {
						d.Models[0].Upstreams = upstreams
					} else {
						d.Models, d.Services[0].Upstreams = nil, upstreams
					}
				})
				if resp, text := tc.send(env); resp.StatusCode/100 != 5 {
					t.Errorf("%d %q", resp.StatusCode, text)
				}
			})
		}
	}
}

// Guards against a request that is refused as one that crashes upstreams, with those like it, since several of them sent
// answers that are no HTTP.
func TestMalformedAnswerIsNoCrash(t *testing.T) {
	for _, noLoad := range []bool{false, true} {
		for _, tc := range cutHeadCases {
			if tc.engine {
				t.Run(fmt.Sprintf("%s/load unknown=%t", tc.name, noLoad), func(t *testing.T) {
					t.Parallel()
					u := &cuttingUpstream{status: "HTTP/1.1 999 X", framing: tc.framing, body: tc.body, noLoad: noLoad}
					env := newTestEnv(t, 0, func(d *config.Deployment) {
						d.Classes[0].Deadline = config.Duration(2 * time.Second)
						for i := range 3 {
							d.Models[0].Upstreams = append(d.Models[0].Upstreams, config.Upstream{Name: fmt.Sprint("malformed-", i), Address: u.start(t), FailureDomain: "a"})
						}
					})
					if resp, text := tc.send(env); resp.StatusCode/100 != 5 {
						t.Errorf("%d %q", resp.StatusCode, text)
					}
				})
			}
		}
	}
}

// Guards against the error of an engine that is read as a load report: it would look idle, and its incarnation unknown.
func TestErrorIsNoLoadReport(t *testing.T) {
	for answer, valid := range map[string]bool{
		"HTTP/1.1 200 OK\r\nContent-Length: 21\r\n\r\n{\"incarnation\":\"e-1\"}": true,
		"HTTP/1.1 500 X\r\nContent-Length: 16\r\n\r\n{\"error\":\"busy\"}":       false, "HTTP/1.1 503 X\r\nContent-Length: 2\r\n\r\n{}": false,
		"HTTP/1.1 200 OK\r\nX Y: a\r\nContent-Length: 2\r\n\r\n{}": false, "HTTP/1.1 000 X\r\nContent-Length: 2\r\n\r\n{}": false,
	} {
		address := startRawUpstream(t, answer)
		env := newTestEnv(t, 1, nil)
		if report, ok := env.instance.routes.Load().models["llm"].queryLoad(t.Context(), address, true); ok != valid {
			t.Errorf("%q: %+v", answer, report)
		}
	}
}
