package upstream

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

const (
	// shortWait is a liveness limit that is meant to run out.
	shortWait = 10 * time.Millisecond
	// longWait is a limit that must not run out.
	longWait = time.Minute
)

const wholeAnswer = "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\nok"

// accepted is a connection at the upstream's side.
type accepted struct {
	net.Conn
	r *bufio.Reader
}

// request reads one whole request; false when the client has closed.
func (c *accepted) request() bool {
	req, err := http.ReadRequest(c.r)
	if err != nil {
		return false
	}
	_, err = io.Copy(io.Discard, req.Body)
	return err == nil
}

// answer writes an answer. What the client gets is checked at its side.
func (c *accepted) answer(text string) { _, _ = io.WriteString(c, text) }

// serve answers requests until the client closes the connection.
func (c *accepted) serve(text string) {
	for c.request() {
		c.answer(text)
	}
}

// rest returns the number of bytes that arrive until the client closes.
func (c *accepted) rest() int64 {
	n, _ := io.Copy(io.Discard, c.r) // a reset ends the connection as well
	return n
}

// listen runs handle for each connection and returns the address and a channel that
// gets one value for each finished connection.
func listen(t *testing.T, handle func(number int, c *accepted)) (string, <-chan int) {
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
				handle(n, &accepted{Conn: conn, r: bufio.NewReader(conn)})
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

func call(address string) Call {
	req := &fasthttp.Request{}
	req.Header.SetMethod(fasthttp.MethodPost)
	req.SetRequestURI("http://" + address + "/x")
	req.SetBodyString("body")
	return Call{Request: req, FirstByte: longWait}
}

// exchange sends a request, reads the whole answer and releases it.
func exchange(t *testing.T, c *Client, k Call) {
	t.Helper()
	a, err := c.Do(t.Context(), k)
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(a.Body(longWait))
	if err != nil || string(body) != "ok" {
		t.Fatalf("got %q, %v", body, err)
	}
	a.Release(true)
}

func failure(t *testing.T, err error) *Failure {
	t.Helper()
	var f *Failure
	if !errors.As(err, &f) {
		t.Fatalf("got %v, want a *Failure", err)
	}
	return f
}

func (c *Client) idleCount() int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return len(c.idle)
}

// A request that must not run twice may leave only on a connection dialled for it;
// other requests must not pay for a dial each time.
func TestFreshAndPooledConnections(t *testing.T) {
	for name, text := range map[string]string{
		"whole":   wholeAnswer,
		"chunked": "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n0\r\n\r\n",
	} {
		t.Run(name, func(t *testing.T) {
			dials := 0
			address, _ := listen(t, func(_ int, c *accepted) { c.serve(text) })
			c := newClient(t, address, Options{ReuseWindow: time.Hour, Dial: func(ctx context.Context, a string) (net.Conn, error) {
				dials++
				return new(net.Dialer).DialContext(ctx, "tcp", a)
			}})
			fresh := call(address)
			fresh.Fresh = true
			for i, step := range []struct {
				call  Call
				dials int
			}{{call(address), 1}, {call(address), 1}, {fresh, 2}, {call(address), 2}} {
				exchange(t, c, step.call)
				if dials != step.dials {
					t.Errorf("step %d: %d dials, want %d", i, dials, step.dials)
				}
			}
			if n := c.idleCount(); n != 2 {
				t.Errorf("%d idle connections, want 2", n)
			}
		})
	}
}

// A connection may go silent for good while it is idle, so it must not be reused
// after the reuse window; one that has not been read to its end must not be either.
func TestConnectionsThatAreNotReused(t *testing.T) {
	address, ended := listen(t, func(_ int, c *accepted) { c.serve(wholeAnswer) })
	late := newClient(t, address, Options{ReuseWindow: -time.Second}) // every idle connection is too old
	exchange(t, late, call(address))
	exchange(t, late, call(address))
	if n := <-ended; n != 1 {
		t.Errorf("connection %d was closed, want the first", n)
	}
	c := newClient(t, address, Options{ReuseWindow: time.Hour})
	a, err := c.Do(t.Context(), call(address))
	if err != nil {
		t.Fatal(err)
	}
	a.Release(false)
	a.Release(true) // changes nothing
	if n := <-ended; n != 3 || c.idleCount() != 0 {
		t.Errorf("connection %d was closed, %d idle", n, c.idleCount())
	}
	c.Close()
	exchange(t, c, call(address))
	if c.idleCount() != 0 {
		t.Error("a closed client keeps a connection")
	}
}

// The number of idle connections must stay bounded.
func TestIdleLimit(t *testing.T) {
	address, ended := listen(t, func(_ int, c *accepted) { c.serve(wholeAnswer) })
	c := newClient(t, address, Options{ReuseWindow: time.Hour, MaxIdle: 1})
	first, err := c.Do(t.Context(), call(address))
	if err != nil {
		t.Fatal(err)
	}
	exchange(t, c, call(address))
	if _, err := io.ReadAll(first.Body(longWait)); err != nil {
		t.Fatal(err)
	}
	first.Release(true)
	if n := <-ended; n != 1 || c.idleCount() != 1 {
		t.Errorf("connection %d was closed, %d idle", n, c.idleCount())
	}
}

// An upstream that closes an idle connection has not failed: the next request must
// go out on a new connection.
func TestConnectionClosedWhileIdle(t *testing.T) {
	address, _ := listen(t, func(n int, c *accepted) {
		if n == 1 {
			c.request()
			c.answer(wholeAnswer)
			return
		}
		c.serve(wholeAnswer)
	})
	c := newClient(t, address, Options{ReuseWindow: time.Hour})
	exchange(t, c, call(address))
	for !PeerClosed(c.idle[0].Conn) {
		time.Sleep(time.Millisecond)
	}
	exchange(t, c, call(address))
	if n := c.idleCount(); n != 1 {
		t.Errorf("%d idle connections, want 1", n)
	}
}

// A pooled connection that breaks under a request must be told apart from a failed
// upstream, and the request counts as sent.
func TestPooledConnectionBreaksUnderTheRequest(t *testing.T) {
	address, _ := listen(t, func(n int, c *accepted) {
		c.request()
		c.answer(wholeAnswer)
		c.request()
	})
	c := newClient(t, address, Options{ReuseWindow: time.Hour})
	exchange(t, c, call(address))
	_, err := c.Do(t.Context(), call(address))
	if f := failure(t, err); f.Phase != Header || !f.Sent || !f.Reused || f.Timeout || !f.LostConnection() {
		t.Errorf("got %+v", f)
	}
	fresh := call(address)
	fresh.Fresh = true
	exchange(t, c, fresh)
	if !c.Reachable(t.Context()) {
		t.Error("the upstream is not reachable")
	}
}

// A failed dial has sent nothing, so that the caller may be told "not run".
func TestFailedDialHasSentNothing(t *testing.T) {
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	address := ln.Addr().String()
	ln.Close()
	c := newClient(t, address, Options{})
	_, err = c.Do(t.Context(), call(address))
	if f := failure(t, err); f.Phase != Dial || f.Sent || f.Reused || f.LostConnection() {
		t.Errorf("got %+v", f)
	}
	if c.Reachable(t.Context()) {
		t.Error("an address without a listener is reachable")
	}
}

// An order that is sealed between dial and send must not leave a byte.
func TestBeforeSendRefuses(t *testing.T) {
	bytes := make(chan int64, 1)
	address, _ := listen(t, func(_ int, c *accepted) { bytes <- c.rest() })
	k := call(address)
	k.BeforeSend = func() bool { return false }
	_, err := newClient(t, address, Options{}).Do(t.Context(), k)
	if f := failure(t, err); f.Phase != Dial || f.Sent || !errors.Is(f, errRefused) {
		t.Errorf("got %+v", f)
	}
	if n := <-bytes; n != 0 {
		t.Errorf("%d bytes left", n)
	}
}

// A silent connection must end with a timeout that says how far the exchange came.
func TestLivenessTimeout(t *testing.T) {
	begun := []string{"", "HTTP/1.1 200 OK\r\nContent-Le", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"}
	address, ended := listen(t, func(n int, c *accepted) {
		c.request()
		c.answer(begun[n-1])
		c.rest()
	})
	c := newClient(t, address, Options{})
	k := call(address)
	k.FirstByte = shortWait
	for _, sent := range begun[:2] {
		_, err := c.Do(t.Context(), k)
		if f := failure(t, err); f.Phase != Header || !f.Sent || !f.Timeout || f.LostConnection() {
			t.Errorf("after %q: phase %d, sent %v, timeout %v: %v", sent, f.Phase, f.Sent, f.Timeout, f)
		}
		<-ended
	}
	a, err := c.Do(t.Context(), call(address))
	if err != nil {
		t.Fatal(err)
	}
	body, err := io.ReadAll(a.Body(shortWait))
	if f := failure(t, err); f.Phase != Body || !f.Sent || !f.Timeout || string(body) != "ok" {
		t.Errorf("within the answer: %+v after %q", f, body)
	}
	a.Release(false)
	<-ended
}

// A caller that has gone must free the upstream: the connection closes at once, also
// while the answer has not begun.
func TestCancelClosesTheConnection(t *testing.T) {
	arrived := make(chan struct{})
	address, ended := listen(t, func(n int, c *accepted) {
		c.request()
		if n == 2 {
			c.answer("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n")
		}
		arrived <- struct{}{}
		c.rest()
	})
	c := newClient(t, address, Options{})
	ctx, cancel := context.WithCancel(t.Context())
	go func() {
		<-arrived
		cancel()
	}()
	_, err := c.Do(ctx, call(address))
	if f := failure(t, err); f.Phase != Header || !f.Sent || f.Timeout {
		t.Errorf("before the answer: %+v", f)
	}
	<-ended
	ctx, cancel = context.WithCancel(t.Context())
	a, err := c.Do(ctx, call(address))
	if err != nil {
		t.Fatal(err)
	}
	<-arrived
	cancel()
	_, err = io.ReadAll(a.Body(longWait))
	if f := failure(t, err); f.Phase != Body || f.Timeout {
		t.Errorf("within the answer: %+v", f)
	}
	a.Release(true)
	if c.idleCount() != 0 {
		t.Error("a cancelled connection is reused")
	}
	<-ended
}

// A caller stops reading at the last event of a stream. The end of the body must be read
// before the connection is reused, or the next request takes it for its own answer.
func TestBodyEndIsReadBeforeReuse(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n2\r\nok\r\n"
	for text, idle := range map[string]int{head + "0\r\n\r\n": 1, head: 0, head + "2\r\nno\r\n0\r\n\r\n": 0} {
		address, _ := listen(t, func(_ int, c *accepted) { c.serve(text) })
		c := newClient(t, address, Options{ReuseWindow: time.Hour})
		a, err := c.Do(t.Context(), call(address))
		if err != nil {
			t.Fatal(err)
		}
		if _, err := io.ReadFull(a.Body(longWait), make([]byte, 2)); err != nil {
			t.Fatal(err)
		}
		a.Release(true)
		if n := c.idleCount(); n != idle {
			t.Errorf("%d idle connections after %q, want %d", n, text, idle)
		}
	}
}
