package platform

import (
	"context"
	"net/http"
	"net/http/httptest"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"
)

// Guards against an instance list that is not followed any longer because one of its entries describes no instance.
func TestInvalidEntriesDoNotHideTheOthers(t *testing.T) {
	const sound = `{"name":"a","address":"10.0.0.1:80","state":"leaving"}`
	for name, odd := range map[string]string{
		"nested":           strings.Repeat("[", 9_000) + strings.Repeat("]", 9_000),
		"nested field":     `{"name":"b","address":"10.0.0.2:80","state":"live","role":` + strings.Repeat("[", 9_000) + strings.Repeat("]", 9_000) + `}`,
		"number too large": `{"name":1e999,"address":"10.0.0.2:80","state":"live"}`,
		"another type":     `{"name":"b","address":80,"state":"live"}`,
		"unknown state":    `{"name":"b","address":"10.0.0.2:80","state":"gone"}`,
		"no address":       `{"name":"b","state":"live"}`,
		"a number":         `7`,
		"nothing":          `null`,
		"a text":           `"b"`,
	} {
		t.Run(name, func(t *testing.T) {
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) {
				if _, err := w.Write([]byte("[" + odd + "," + sound + "]")); err != nil {
					t.Error(err)
				}
			}))
			defer server.Close()
			c := New(Options{Address: strings.TrimPrefix(server.URL, "http://")})
			defer c.Close()
			got := c.Instances()
			if got.Outcome != OK || len(got.Instances) != 1 || got.Instances[0].Name != "a" || got.Invalid != 1 || got.InvalidErr == nil {
				t.Errorf("%+v", got)
			}
		})
	}
}

// Guards against answers that are given up although they arrive, and against a wait for one that has stopped.
func TestAnswerThatArrivesSlowlyIsRead(t *testing.T) {
	const (
		pieces = 12
		pause  = 100 * time.Millisecond
		limit  = 300 * time.Millisecond
	)
	for name, tc := range map[string]struct {
		sent int // pieces before the answer stops
		want bool
	}{"arrives": {pieces, true}, "stops": {pieces / 2, false}, "does not begin": {0, false}} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
				w.Header().Set("Content-Length", strconv.Itoa(pieces))
				for range tc.sent {
					_, _ = w.Write([]byte("x")) // the client may have given up
					_ = http.NewResponseController(w).Flush()
					time.Sleep(pause)
				}
				if tc.sent < pieces {
					<-r.Context().Done()
				}
			}))
			defer server.CloseClientConnections()
			c := New(Options{Address: strings.TrimPrefix(server.URL, "http://")})
			defer c.Close()
			res, err := c.Get(t.Context(), "/", limit)
			if (err == nil) != tc.want || err == nil && len(res.Body) != pieces {
				t.Errorf("%v", err)
			}
		})
	}
}

// Guards against a waiting call that is sent again after its caller has ended it, so that a process which stops
// waits for the answer.
func TestEndedCallIsNotSentAgain(t *testing.T) {
	var calls atomic.Int32
	arrived, release := make(chan struct{}, maxAttempts), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {
		calls.Add(1)
		arrived <- struct{}{}
		<-release
	}))
	defer server.Close()
	defer close(release)
	c := New(Options{Address: strings.TrimPrefix(server.URL, "http://")})
	defer c.Close()
	ctx, cancel := context.WithCancel(context.Background())
	ended := make(chan error, 1)
	go func() {
		_, err := c.Get(ctx, "/watch", time.Minute)
		ended <- err
	}()
	<-arrived
	cancel()
	select {
	case err := <-ended:
		if err == nil {
			t.Error("the ended call succeeded")
		}
	case <-arrived:
	}
	if n := calls.Load(); n != 1 {
		t.Errorf("the call was sent %d times", n)
	}
}

// Guards against calls that fail because the platform has closed idle connections.
func TestCallIsSentAgainAfterItsConnectionEnded(t *testing.T) {
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, _ *http.Request) { w.WriteHeader(http.StatusOK) }))
	defer server.Close()
	c := New(Options{Address: strings.TrimPrefix(server.URL, "http://")})
	defer c.Close()
	for i := range 5 {
		if _, err := c.Get(context.Background(), "/", time.Minute); err != nil {
			t.Errorf("call %d: %v", i, err)
		}
		server.CloseClientConnections()
	}
}
