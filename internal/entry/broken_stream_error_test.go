package entry

import (
	"fmt"
	"io"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"testing"

	"github.com/yuccabridge/yuccabridge/config"
)

// breakingWriter breaks off the response after some bytes of its body.
type breakingWriter struct {
	http.ResponseWriter
	left int
}

func (w *breakingWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }

func (w *breakingWriter) Write(p []byte) (int, error) {
	if w.left -= len(p); w.left < 0 {
		panic(http.ErrAbortHandler)
	}
	return w.ResponseWriter.Write(p)
}

// Guards against the text of an engine's error in the middle of a stream that broke off, and against a stream that then
// ends as if it were complete.
func TestErrorOnResumingStaysOutOfABrokenStream(t *testing.T) {
	const engineText = "text of the engine"
	for _, answer := range []struct {
		status            int
		contentType, body string
	}{
		{http.StatusInternalServerError, "text/plain", engineText},
		{http.StatusNotFound, "application/json", `{"error":"` + engineText + `"}`},
		{http.StatusServiceUnavailable, "text/event-stream", "data: " + engineText + "\n\ndata: [DONE]\n\n"},
		{http.StatusOK, "text/plain", engineText},
		{http.StatusOK, "text/event-stream", "data: {\"id\":\"another\",\"echo\":\"" + engineText + "\"}\n\ndata: [DONE]\n\n"},
		{http.StatusNoContent, "", ""},
	} {
		t.Run(fmt.Sprint(answer.status, " ", answer.contentType), func(t *testing.T) {
			t.Parallel()
			resumes := make(chan struct{}, 100)
			env := newTestEnv(t, 1, func(d *config.Deployment) {
				engine := &d.Models[0].Upstreams[0]
				target, err := url.Parse("http://" + engine.Address)
				if err != nil {
					t.Fatal(err)
				}
				proxy := httputil.NewSingleHostReverseProxy(target)
				server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
					switch {
					case strings.HasPrefix(r.URL.Path, "/v1/streams/"):
						resumes <- struct{}{}
						w.Header().Set("Content-Type", answer.contentType)
						w.Header().Set(headerRequestID, r.Header.Get(headerRequestID))
						w.WriteHeader(answer.status)
						_, _ = io.WriteString(w, answer.body) // the instance may have closed the connection
					case strings.HasPrefix(r.URL.Path, "/v1/chat/"):
						proxy.ServeHTTP(&breakingWriter{ResponseWriter: w, left: 2000}, r)
					default:
						proxy.ServeHTTP(w, r)
					}
				}))
				t.Cleanup(server.Close)
				engine.Address = server.Listener.Addr().String()
			})
			env.waitForLoads()
			resp := env.post(chatPath, testKey, chatBody(true, 200, "broken"))
			text, err := io.ReadAll(resp.Body)
			if resp.StatusCode != http.StatusOK || !strings.Contains(string(text), `"token"`) {
				t.Fatalf("no stream began: %d %q", resp.StatusCode, text)
			}
			if len(resumes) == 0 {
				t.Error("the engine was not asked to resume the stream")
			}
			if strings.Contains(string(text), engineText) || strings.Contains(string(text), "HTTP/1.") {
				t.Errorf("the engine's error is in the stream: %q", text)
			}
			if err == nil && !strings.Contains(string(text), `"code":"upstream_failed"`) || strings.Contains(string(text), "[DONE]") {
				t.Errorf("the stream looks complete: %q", text[max(0, len(text)-200):])
			}
		})
	}
}
