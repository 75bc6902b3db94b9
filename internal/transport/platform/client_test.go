package platform

import (
	"bufio"
	"context"
	"io"
	"net"
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

// stalledServer accepts connections and begins answers that it never completes; arrived counts the requests.
func stalledServer(t *testing.T, begin string) (address string, arrived <-chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	requests := make(chan struct{}, maxAttempts)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			go func() {
				if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
					_, _ = io.WriteString(c, begin) // the client may have ended the call
					requests <- struct{}{}
				}
			}()
		}
	}()
	return l.Addr().String(), requests
}

// maxEndTime bounds the end of a call whose context has ended. The call would last for a minute.
const maxEndTime = 2 * time.Second

// Guards against calls that go on after their context has ended, since they were dialling or began just then, so
// that a process which stops waits for their answers.
func TestCallEndsWithItsContext(t *testing.T) {
	const incomplete = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nx"
	begin := func(t *testing.T, o Options) (ended chan error, cancel context.CancelFunc) {
		c := New(o)
		t.Cleanup(c.Close)
		ctx, cancel := context.WithCancel(context.Background())
		t.Cleanup(cancel)
		ended = make(chan error, 1)
		go func() {
			_, err := c.Get(ctx, "/", time.Minute)
			ended <- err
		}()
		return ended, cancel
	}
	expectEnd := func(t *testing.T, ended chan error) {
		t.Helper()
		select {
		case err := <-ended:
			if err == nil {
				t.Error("the ended call succeeded")
			}
		case <-time.After(maxEndTime):
			t.Error("the call goes on")
		}
	}
	t.Run("dialling", func(t *testing.T) {
		dialling := make(chan struct{})
		ended, cancel := begin(t, Options{Address: "127.0.0.1:1", Timeout: time.Minute, Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
			close(dialling)
			<-ctx.Done()
			return nil, ctx.Err()
		}})
		<-dialling
		cancel()
		expectEnd(t, ended)
	})
	t.Run("connected just after the end", func(t *testing.T) {
		address, _ := stalledServer(t, "")
		dialling, connect := make(chan struct{}), make(chan struct{})
		ended, cancel := begin(t, Options{Address: address, Dial: func(context.Context, string, string) (net.Conn, error) {
			close(dialling)
			<-connect
			return net.Dial("tcp", address)
		}})
		<-dialling
		cancel()
		time.Sleep(10 * time.Millisecond) // what watches the context has run
		close(connect)
		expectEnd(t, ended)
	})
	t.Run("begun after the end", func(t *testing.T) {
		address, _ := stalledServer(t, "")
		c := New(Options{Address: address, Dial: func(context.Context, string, string) (net.Conn, error) {
			time.Sleep(10 * time.Millisecond) // what watches the context has run
			return net.Dial("tcp", address)
		}})
		defer c.Close()
		ctx, cancel := context.WithCancel(context.Background())
		cancel()
		ended := make(chan error, 1)
		go func() {
			_, err := c.Get(ctx, "/", time.Minute)
			ended <- err
		}()
		expectEnd(t, ended)
	})
	for name, answer := range map[string]string{"waiting": "", "reading": incomplete} {
		t.Run(name, func(t *testing.T) {
			address, arrived := stalledServer(t, answer)
			ended, cancel := begin(t, Options{Address: address})
			<-arrived
			cancel()
			expectEnd(t, ended)
		})
	}
	t.Run("dialling when the client is closed", func(t *testing.T) {
		dialling := make(chan struct{})
		c := New(Options{Address: "127.0.0.1:1", Timeout: time.Minute, Dial: func(ctx context.Context, _, _ string) (net.Conn, error) {
			close(dialling)
			<-ctx.Done()
			return nil, ctx.Err()
		}})
		ended := make(chan error, 1)
		go func() { ended <- c.Instances().Err }()
		<-dialling
		c.Close()
		expectEnd(t, ended)
	})
}

// Guards against a call whose end breaks off the others of its client, such as a watch.
func TestEndedCallLeavesOthersAlone(t *testing.T) {
	arrived, release := make(chan string, maxAttempts), make(chan struct{})
	server := httptest.NewServer(http.HandlerFunc(func(_ http.ResponseWriter, r *http.Request) {
		arrived <- r.URL.Path
		<-release
	}))
	defer server.Close()
	c := New(Options{Address: strings.TrimPrefix(server.URL, "http://")})
	defer c.Close()
	watched := make(chan error, 1)
	go func() {
		_, err := c.Get(context.Background(), "/watch", time.Minute)
		watched <- err
	}()
	<-arrived
	ctx, cancel := context.WithCancel(context.Background())
	read := make(chan error, 1)
	go func() {
		_, err := c.Get(ctx, "/read", time.Minute)
		read <- err
	}()
	<-arrived
	cancel()
	if err := <-read; err == nil {
		t.Error("the ended call succeeded")
	}
	select {
	case path := <-arrived:
		t.Errorf("%s was sent again", path)
	case <-time.After(100 * time.Millisecond):
	}
	close(release)
	if err := <-watched; err != nil {
		t.Errorf("the other call failed: %v", err)
	}
}
