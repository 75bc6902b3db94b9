package experiment

import (
	"io"
	"net/http"
	"net/http/httptest"
	"testing"
	"time"
)

// Guards against a client that sends on a connection after the announced time, when the instance may be closing it, and
// one that opens a connection for each request.
func TestClientKeepsToTheAnnouncedTime(t *testing.T) {
	const pause = 1100 * time.Millisecond
	for name, c := range map[string]struct {
		keepAlive string
		pause     time.Duration
		reused    bool
	}{
		"after the time":    {"timeout=1", pause, false},
		"within the time":   {"timeout=25, max=100", 0, true},
		"nothing announced": {"", 0, true},
		"no time":           {"timeout=0", 0, false},
	} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				if c.keepAlive != "" {
					w.Header().Set("Keep-Alive", c.keepAlive)
				}
				io.WriteString(w, r.RemoteAddr)
			}))
			defer server.Close()
			client := newHTTPClient()
			defer client.CloseIdleConnections()
			var connections [3]string // that of the first request is kept as if nothing were announced, and not used again
			for i := range connections {
				res, err := client.Get(server.URL)
				if err != nil {
					t.Fatal(err)
				}
				body, err := io.ReadAll(res.Body)
				res.Body.Close()
				if err != nil {
					t.Fatal(err)
				}
				connections[i] = string(body)
				time.Sleep(c.pause)
			}
			if reused := connections[1] == connections[2]; reused != c.reused {
				t.Errorf("connections %v; the second one was used again: %t", connections, reused)
			}
			if c.keepAlive != "" && connections[0] == connections[1] {
				t.Errorf("the first connection was used again although its time is not known to the transport")
			}
		})
	}
}
