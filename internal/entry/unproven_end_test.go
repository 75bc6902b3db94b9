package entry

import (
	"net/http"
	"strings"
	"testing"
)

// Guards against the answer to an order that its service broke off, and that is kept and given to the
// caller as complete because its connection ended regularly.
func TestOrderAnswerWithUnprovenEndIsUnknown(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n\r\n"
	for name, tc := range map[string]struct{ body, outcome string }{
		"broken off":      {`{"run":"shaft-1","st`, `"unknown"`},
		"no document":     {`booked shaft-1`, `"unknown"`},
		"whole document":  {`{"run":"shaft-1"}` + "\n", `{"run":"shaft-1"}`},
		"without a body":  {``, `"unknown"`},
		"a number, whole": {`12`, `"unknown"`}, // a part of a number is a number
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			in, _ := startInstanceWithLog(t, serviceDeployment(startRawUpstream(t, head+tc.body)))
			env := &testEnv{t: t, instance: in}
			_, text := env.postOrder("", `{"order":"shaft-1"}`)
			_, _, ticket := decodeError(t, text)
			for range 2 { // the second answer is the kept one
				resp, text := env.postOrder(ticket, `{"order":"shaft-1"}`)
				if !strings.Contains(text, tc.outcome) || (resp.StatusCode == http.StatusOK) != (name == "whole document") {
					t.Errorf("%d %s", resp.StatusCode, text)
				}
			}
		})
	}
}
