package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"syscall"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

const (
	// expiringTimeout is a time limit that is meant to expire.
	expiringTimeout = 10 * time.Millisecond
	// longTimeout is a time limit that must not expire.
	longTimeout = time.Minute
)

const completeResponse = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// serverConn is the upstream's end of a connection.
type serverConn struct {
	net.Conn
	reader *bufio.Reader
}

// readRequest reads one request to its end; it returns false when the client has closed the
// connection.
func (c *serverConn) readRequest() bool {
	req, err := http.ReadRequest(c.reader)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, req.Body)
	return err == nil
}

// respond writes a response. Write errors are ignored: the tests check what the client reads.
func (c *serverConn) respond(text string) { _, _ = io.WriteString(c, text) }

// respondToAll responds to requests until the client closes the connection.
func (c *serverConn) respondToAll(text string) {
	for c.readRequest() {
		c.respond(text)
	}
}

// discardUntilClose returns the number of bytes received until the client closes.
func (c *serverConn) discardUntilClose() int64 {
	n, _ := io.Copy(io.Discard, c.reader) // a reset also ends the connection
	return n
}

// listen runs handle for each connection. It returns the address of the listener and a channel
// that receives the number of each connection whose handler has returned.
func listen(t *testing.T, handle func(number int, c *serverConn)) (string, <-chan int) {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	ended := make(chan int, 16)
	t.Cleanup(func() { ln.Close() })
	go func() {
		for n := 1; ; n++ {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go func() {
				defer conn.Close()
				handle(n, &serverConn{Conn: conn, reader: bufio.NewReader(conn)})
				ended <- n
			}()
		}
	}()
	return ln.Addr().String(), ended
}

func newClient(t *testing.T, address string, o Options) *Client {
	t.Helper()
	c := New(address, o)
	t.Cleanup(c.Close)
	return c
}

func newCall(address string) Call {
	req := &fasthttp.Request{}
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + address + "/x")
	req.SetBodyString("body")
	return Call{Request: req, HeaderTimeout: longTimeout}
}

// mustExchange sends a request, reads the whole response and releases it.
func mustExchange(t *testing.T, c *Client, call Call) {
	t.Helper()
	response, err := c.Do(t.Context(), call)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body(longTimeout))
	if err != nil || string(body) != "ok" {
		t.Fatalf("got %q, %v", body, err)
	}
	response.Release(true)
}

func asFailure(t *testing.T, err error) *Failure {
	t.Helper()
	var f *Failure
	if !errors.As(err, &f) {
		t.Fatalf("got %v, want a *Failure", err)
	}
	return f
}

func (c *Client) idleConnCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.idle)
}

// Guards against sending a request that must not run twice on a pooled connection, and
// against dialling for each of the other requests.
func TestFreshAndPooledConnections(t *testing.T) {
	for name, text := range map[string]string{
		"whole":   completeResponse,
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			dials := 0
			address, _ := listen(t, func(_ int, c *serverConn) { c.respondToAll(text) })
			c := newClient(t, address, Options{ReuseWindow: time.Hour, Dial: func(ctx context.Context, a string) (net.Conn, error) {
				dials++
				return new(net.Dialer).DialContext(ctx, "tcp", a)
			}})
			callOnFreshConn := newCall(address)
			callOnFreshConn.FreshConnection = true
			for i, step := range []struct {
				call  Call
				dials int
			}{{newCall(address), 1}, {newCall(address), 1}, {callOnFreshConn, 2}, {newCall(address), 2}} {
				mustExchange(t, c, step.call)
				if dials != step.dials {
					t.Errorf("step %d: %d dials, want %d", i, dials, step.dials)
				}
			}
			if n := c.idleConnCount(); n != 2 {
				t.Errorf("%d idle connections, want 2", n)
			}
		})
	}
}

// Guards against reusing a connection after the reuse window, since an idle connection may
// stop delivering data, and against reusing one whose response was not read to its end.
func TestConnectionsThatAreNotReused(t *testing.T) {
	address, ended := listen(t, func(_ int, c *serverConn) { c.respondToAll(completeResponse) })
	expiring := newClient(t, address, Options{ReuseWindow: -time.Second}) // every idle connection is too old
	mustExchange(t, expiring, newCall(address))
	mustExchange(t, expiring, newCall(address))
	// Each exchange has had a connection of its own, and both are closed without a further request.
	if first, second := <-ended, <-ended; min(first, second) != 1 || max(first, second) != 2 {
		t.Errorf("connections %d and %d were closed, want the first and the second", first, second)
	}
	c := newClient(t, address, Options{ReuseWindow: time.Hour})
	response, err := c.Do(t.Context(), newCall(address))
	if err != nil {
		t.Fatal(err)
	}
	response.Release(false)
	response.Release(true) // a second Release has no effect
	if n := <-ended; n != 3 || c.idleConnCount() != 0 {
		t.Errorf("connection %d was closed, %d idle", n, c.idleConnCount())
	}
	c.Close()
	mustExchange(t, c, newCall(address))
	if c.idleConnCount() != 0 {
		t.Error("a closed client kept a connection")
	}
}

// Guards against idle connections without a bound.
func TestIdleLimit(t *testing.T) {
	address, ended := listen(t, func(_ int, c *serverConn) { c.respondToAll(completeResponse) })
	c := newClient(t, address, Options{ReuseWindow: time.Hour, MaxIdle: 1})
	first, err := c.Do(t.Context(), newCall(address))
	if err != nil {
		t.Fatal(err)
	}
	mustExchange(t, c, newCall(address))
	if _, err := io.ReadAll(first.Body(longTimeout)); err != nil {
		t.Fatal(err)
	}
	first.Release(true)
	if n := <-ended; n != 1 || c.idleConnCount() != 1 {
		t.Errorf("connection %d was closed, %d idle", n, c.idleConnCount())
	}
}

// Guards against a failed request when the upstream has closed an idle connection: the
// request must be sent on a new one.
func TestConnectionClosedWhileIdle(t *testing.T) {
	address, _ := listen(t, func(n int, c *serverConn) {
		if n == 1 {
			c.readRequest()
			c.respond(completeResponse)
			return
		}
		c.respondToAll(completeResponse)
	})
	c := newClient(t, address, Options{ReuseWindow: time.Hour})
	mustExchange(t, c, newCall(address))
	for !PeerClosed(c.idle[0].Conn) {
		time.Sleep(time.Millisecond)
	}
	mustExchange(t, c, newCall(address))
	if n := c.idleConnCount(); n != 1 {
		t.Errorf("%d idle connections, want 1", n)
	}
}

// Guards against taking a pooled connection that fails during a request for a failed
// upstream, and against counting the request as not sent.
func TestPooledConnectionBreaksUnderTheRequest(t *testing.T) {
	address, _ := listen(t, func(n int, c *serverConn) {
		c.readRequest()
		c.respond(completeResponse)
		c.readRequest()
	})
	c := newClient(t, address, Options{ReuseWindow: time.Hour})
	mustExchange(t, c, newCall(address))
	_, err := c.Do(t.Context(), newCall(address))
	if f := asFailure(t, err); f.Phase != PhaseHeader || !f.Sent || !f.Reused || f.Timeout || !f.LostConnection() {
		t.Errorf("got %+v", f)
	}
	callOnFreshConn := newCall(address)
	callOnFreshConn.FreshConnection = true
	mustExchange(t, c, callOnFreshConn)
	if !c.Reachable(t.Context()) {
		t.Error("the upstream is not reachable")
	}
}

// Guards against a malformed response on a pooled connection that counts as a lost connection: the request has run, and is
// sent to the same upstream once more without a retry of the budget.
func TestMalformedResponseIsNoLostConnection(t *testing.T) {
	address, _ := listen(t, func(n int, c *serverConn) {
		c.readRequest()
		c.respond(completeResponse)
		c.readRequest()
		c.respond("HTTP/1.1 200 OK\r\nX Y: a\r\nContent-Length: 2\r\n\r\nok")
	})
	c := newClient(t, address, Options{ReuseWindow: time.Hour})
	mustExchange(t, c, newCall(address))
	_, err := c.Do(t.Context(), newCall(address))
	if f := asFailure(t, err); !f.Reused || !f.Malformed || f.LostConnection() {
		t.Errorf("got %+v", f)
	}
}

// Guards against a failed dial that counts as sent: the caller is told "not run".
func TestFailedDialHasSentNothing(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := ln.Addr().String()
	ln.Close()
	c := newClient(t, address, Options{})
	_, err = c.Do(t.Context(), newCall(address))
	if f := asFailure(t, err); f.Phase != PhaseDial || f.Sent || f.Reused || f.LostConnection() {
		t.Errorf("got %+v", f)
	}
	if c.Reachable(t.Context()) {
		t.Error("an address without a listener is reachable")
	}
}

// Guards against sending an order whose ticket was closed between the dial and the send.
func TestBeforeSendRefuses(t *testing.T) {
	received := make(chan int64, 1)
	address, _ := listen(t, func(_ int, c *serverConn) { received <- c.discardUntilClose() })
	call := newCall(address)
	call.BeforeSend = func() bool { return false }
	_, err := newClient(t, address, Options{}).Do(t.Context(), call)
	if f := asFailure(t, err); f.Phase != PhaseDial || f.Sent || !errors.Is(f, errBeforeSendRefused) {
		t.Errorf("got %+v", f)
	}
	if n := <-received; n != 0 {
		t.Errorf("%d bytes were sent", n)
	}
}

// Guards against a wrong phase in the timeout of a connection that stops delivering data.
func TestLivenessTimeout(t *testing.T) {
	partialResponses := []string{"", "HTTP/1.1 200 OK\r\nContent-Le", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"}
	address, ended := listen(t, func(n int, c *serverConn) {
		c.readRequest()
		c.respond(partialResponses[n-1])
		c.discardUntilClose()
	})
	c := newClient(t, address, Options{})
	call := newCall(address)
	call.HeaderTimeout = expiringTimeout
	for _, partial := range partialResponses[:2] {
		_, err := c.Do(t.Context(), call)
		if f := asFailure(t, err); f.Phase != PhaseHeader || !f.Sent || !f.Timeout || f.LostConnection() {
			t.Errorf("after %q: phase %d, sent %v, timeout %v: %v", partial, f.Phase, f.Sent, f.Timeout, f)
		}
		<-ended
	}
	response, err := c.Do(t.Context(), newCall(address))
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(response.Body(expiringTimeout))
	if f := asFailure(t, err); f.Phase != PhaseBody || !f.Sent || !f.Timeout || string(body) != "ok" {
		t.Errorf("while reading the body: %+v after %q", f, body)
	}
	response.Release(false)
	<-ended
}

// Guards against an upstream that keeps working for a caller that is gone: cancelling must
// close the connection at once, also before the response has begun.
func TestCancelClosesTheConnection(t *testing.T) {
	requestRead := make(chan struct{})
	address, ended := listen(t, func(n int, c *serverConn) {
		c.readRequest()
		if n == 2 {
			c.respond("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n")
		}
		requestRead <- struct{}{}
		c.discardUntilClose()
	})
	c := newClient(t, address, Options{})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-requestRead
		cancel()
	}()
	_, err := c.Do(ctx, newCall(address))
	if f := asFailure(t, err); f.Phase != PhaseHeader || !f.Sent || f.Timeout {
		t.Errorf("before the response: %+v", f)
	}
	<-ended
	ctx, cancel = context.WithCancel(t.Context())
	response, err := c.Do(ctx, newCall(address))
	if err != nil {
		t.Fatal(err)
	}
	<-requestRead
	cancel()
	_, err = io.ReadAll(response.Body(longTimeout))
	if f := asFailure(t, err); f.Phase != PhaseBody || f.Timeout {
		t.Errorf("while reading the body: %+v", f)
	}
	response.Release(true)
	if c.idleConnCount() != 0 {
		t.Error("a connection was pooled after a cancelled exchange")
	}
	<-ended
}

// Guards against a request that the network holds back and delivers after it was given up: a regular close
// delivers what was sent before, a reset drops it.
func TestGivenUpExchangesResetTheConnection(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"
	for name, step := range map[string]struct {
		response  string
		giveUp    func(t *testing.T, c *Client, call Call, readRequest <-chan struct{})
		wantReset bool
	}{
		"cancelled before the response": {"", func(t *testing.T, c *Client, call Call, readRequest <-chan struct{}) {
			ctx, cancel := context.WithCancel(t.Context())
			go func() { <-readRequest; cancel() }()
			if _, err := c.Do(ctx, call); err == nil {
				t.Error("no error")
			}
		}, true},
		"no response in time": {"", func(t *testing.T, c *Client, call Call, _ <-chan struct{}) {
			call.HeaderTimeout = expiringTimeout
			if _, err := c.Do(t.Context(), call); err == nil {
				t.Error("no error")
			}
		}, true},
		"released inside the body": {head, func(t *testing.T, c *Client, call Call, _ <-chan struct{}) {
			response, err := c.Do(t.Context(), call)
			if err != nil {
				t.Fatal(err)
			}
			response.Release(false)
		}, true},
		"complete": {"HTTP/1.1 200 OK\r\nConnection: close\r\nContent-Length: 2\r\n\r\nok", func(t *testing.T, c *Client, call Call, _ <-chan struct{}) {
			mustExchange(t, c, call)
		}, false},
	} {
		t.Run(name, func(t *testing.T) {
			readRequest, ended := make(chan struct{}, 1), make(chan error, 1)
			address, _ := listen(t, func(_ int, c *serverConn) {
				c.readRequest()
				c.respond(step.response)
				readRequest <- struct{}{}
				_, err := c.reader.ReadByte()
				ended <- err
			})
			step.giveUp(t, newClient(t, address, Options{}), newCall(address), readRequest)
			if err := <-ended; errors.Is(err, syscall.ECONNRESET) != step.wantReset {
				t.Errorf("the connection ended with %v; want a reset: %v", err, step.wantReset)
			}
		})
	}
}

// Guards against reusing a connection before the end of the body was read: the next request
// would parse it as its own response. The reader of an event stream stops at the last event.
func TestBodyEndIsReadBeforeReuse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"
	for text, wantIdle := range map[string]int{head + "0\r\n\r\n": 1, head: 0, head + "2\r\nno\r\n0\r\n\r\n": 0} {
		address, _ := listen(t, func(_ int, c *serverConn) { c.respondToAll(text) })
		c := newClient(t, address, Options{ReuseWindow: time.Hour})
		response, err := c.Do(t.Context(), newCall(address))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(response.Body(longTimeout), make([]byte, 2)); err != nil {
			t.Fatal(err)
		}
		response.Release(true)
		if n := c.idleConnCount(); n != wantIdle {
			t.Errorf("%d idle connections after %q, want %d", n, text, wantIdle)
		}
	}
}
