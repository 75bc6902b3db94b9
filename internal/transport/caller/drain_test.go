package caller

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"sync"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	testDrainDelay = 300 * time.Millisecond
	// testLatency is the time that bytes and the end of a connection take through delayProxy, in each direction.
	testLatency = 20 * time.Millisecond
)

// delayProxy passes on connections to an address with testLatency in each direction. It returns its own address.
func delayProxy(t *testing.T, address string) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			client, err := l.Accept()
			if err != nil {
				return
			}
			server, err := net.Dial("tcp", address)
			if err != nil {
				client.Close()
				continue
			}
			go delayCopy(client, server)
			go delayCopy(server, client)
		}
	}()
	return l.Addr().String()
}

// delayCopy copies what is read from one connection, and its end, to the other one after testLatency.
func delayCopy(from, to net.Conn) {
	type part struct {
		bytes []byte
		due   time.Time
	}
	parts := make(chan part, 1024)
	go func() {
		defer close(parts)
		for {
			b := make([]byte, 4096)
			n, err := from.Read(b)
			parts <- part{b[:n], time.Now().Add(testLatency)}
			if err != nil {
				return
			}
		}
	}()
	for p := range parts {
		time.Sleep(time.Until(p.due))
		// A failed write shows the caller the end of the connection.
		_, _ = to.Write(p.bytes)
	}
	to.Close()
}

// stoppableServer answers requests until it has drained, with a head that is sent at once and a body that lasts as long
// as the query says, at most until the grace period is over.
type stoppableServer struct {
	listener *Listener
	address  string // of a proxy that delays
	draining atomic.Bool
	delayEnd time.Time     // the end of the drain delay
	drained  chan struct{} // closed when Drain has returned
	ended    chan struct{} // closed when the requests in progress must end
}

func startStoppable(t *testing.T) *stoppableServer {
	t.Helper()
	s := &stoppableServer{listener: openListener(t), drained: make(chan struct{}), ended: make(chan struct{})}
	server := &fasthttp.Server{ReadTimeout: 10 * time.Second, IdleTimeout: 10 * time.Second, Handler: func(ctx *fasthttp.RequestCtx) {
		if s.draining.Load() {
			ctx.SetConnectionClose()
		}
		if lasts, err := time.ParseDuration(string(ctx.QueryArgs().Peek("lasts"))); err == nil {
			ctx.SetBodyStreamWriter(func(w *bufio.Writer) {
				w.WriteString("begin")
				w.Flush()
				select {
				case <-time.After(lasts):
				case <-s.ended:
				}
			})
		}
	}}
	Attach(server)
	go server.Serve(s.listener)
	s.address = delayProxy(t, s.listener.Addr().String())
	return s
}

func (s *stoppableServer) stop(t *testing.T, grace time.Duration) {
	t.Helper()
	s.draining.Store(true)
	startedAt := time.Now()
	s.delayEnd = startedAt.Add(testDrainDelay)
	go func() {
		defer close(s.drained)
		err := s.listener.Drain(Drain{StartedAt: startedAt, Delay: testDrainDelay, Grace: grace, DelayOver: func(time.Time) {}, EndRequests: func() { close(s.ended) }})
		if err != nil {
			t.Error(err)
		}
	}()
	t.Cleanup(func() { <-s.drained })
}

// outcome tells what became of a request.
type outcome string

const (
	answeredLast outcome = "answered, the end of the connection announced"
	answeredKept outcome = "answered"
	notSent      outcome = "not sent: the connection had ended"
	cut          outcome = "cut without an answer"
)

// keptConn is a caller's connection that is used again.
type keptConn struct {
	net.Conn
	answers chan outcome // closed at the end of the connection
}

func (s *stoppableServer) dial(t *testing.T) *keptConn {
	t.Helper()
	c, err := net.Dial("tcp", s.address)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	k := &keptConn{Conn: c, answers: make(chan outcome, 1)}
	go func() {
		defer close(k.answers)
		for r := bufio.NewReader(c); ; {
			res, err := http.ReadResponse(r, nil)
			if err != nil {
				return
			}
			if _, err := io.Copy(io.Discard, res.Body); err != nil {
				return
			}
			if res.Close {
				k.answers <- answeredLast
				return
			}
			k.answers <- answeredKept
		}
	}()
	return k
}

// ask sends a request unless the connection is known to have ended; a response lasts as long as stated.
func (k *keptConn) ask(lasts time.Duration) outcome {
	select {
	case <-k.answers:
		return notSent
	default:
	}
	if _, err := fmt.Fprintf(k, "GET /?lasts=%s HTTP/1.1\r\nHost: h\r\n\r\n", lasts); err != nil {
		return notSent
	}
	if got, open := <-k.answers; open {
		return got
	}
	return cut
}

// Guards against a stop that closes a connection as soon as a response on it has ended that began before the stop, and
// with it the next request of a caller that was not told of the end.
func TestStopAnswersTheRequestAfterAStream(t *testing.T) {
	s := startStoppable(t)
	const callers = 20
	var got [callers]outcome
	var group sync.WaitGroup
	for i := range callers {
		c := s.dial(t)
		group.Go(func() {
			if first := c.ask(testDrainDelay + 300*time.Millisecond); first != answeredKept {
				t.Errorf("the stream: %s", first)
			}
			got[i] = c.ask(0)
		})
	}
	time.Sleep(4 * testLatency)
	s.stop(t, 5*time.Second)
	group.Wait()
	for _, o := range got {
		if o != answeredLast {
			t.Errorf("the next request: %s", o)
		}
	}
}

// Guards against a stop that ends the process while a request that has arrived waits to be read.
func TestStopAwaitsTheAnswerToAnUnreadRequest(t *testing.T) {
	l := openListener(t)
	out, in := connect(t, l)
	write(t, out, in)
	go l.Accept() // until the listener is closed
	var answered atomic.Bool
	err := l.Drain(Drain{StartedAt: time.Now(), Grace: exitMargin + 50*time.Millisecond, DelayOver: func(time.Time) {}, EndRequests: func() {
		go func() {
			time.Sleep(lastAnswersTime / 4)
			in.Read(make([]byte, 16))
			in.RequestHandled()
			answered.Store(true)
			in.Close()
		}()
	}})
	if err != nil || !answered.Load() {
		t.Errorf("the stop has ended: %v; the request was answered: %t", err, answered.Load())
	}
}

// endingConn calls a function before a read deadline is set.
type endingConn struct {
	*net.TCPConn
	before func()
}

func (c *endingConn) SetReadDeadline(at time.Time) error {
	if before := c.before; before != nil {
		c.before = nil
		before()
	}
	return c.TCPConn.SetReadDeadline(at)
}

// Guards against a read deadline that is set while the waiting connections are closed and keeps one of them open.
func TestIdleTimeoutDoesNotUndoCloseWaiting(t *testing.T) {
	l := openListener(t)
	_, in := connect(t, l)
	in.RequestHandled()
	closing := make(chan struct{})
	in.Conn = &endingConn{TCPConn: in.Conn.(*net.TCPConn), before: func() {
		go func() { l.Connections.CloseWaiting(); close(closing) }()
		for !l.Connections.ending.Load() {
			time.Sleep(time.Millisecond)
		}
	}}
	if err := in.SetReadDeadline(time.Now().Add(time.Minute)); err != nil {
		t.Fatal(err)
	}
	<-closing
	if _, err := in.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the connection ended with %v", err)
	}
}

// Guards against idle connections that stay until the end of the grace period, so that a request that crosses
// their end gets no answer because the process ends.
func TestStopClosesIdleConnectionsBeforeTheGracePeriodEnds(t *testing.T) {
	const grace = 2 * time.Second
	s := startStoppable(t)
	kept, stream := s.dial(t), s.dial(t)
	if got := kept.ask(0); got != answeredKept {
		t.Fatal(got)
	}
	go stream.ask(10 * time.Second)
	time.Sleep(4 * testLatency)
	startedAt := time.Now()
	s.stop(t, grace)
	<-kept.answers
	if after := time.Since(startedAt); after > grace-exitMargin {
		t.Errorf("the idle connection was closed after %s", after)
	}
	<-s.drained
	if after := time.Since(startedAt); after > grace {
		t.Errorf("the stop took %s", after)
	}
}

// Guards against a stop that waits for idle connections although nothing is in progress.
func TestStopWithoutWorkEndsSoonAfterTheDrainDelay(t *testing.T) {
	const bound = 500 * time.Millisecond
	s := startStoppable(t)
	idle := s.dial(t)
	if got := idle.ask(0); got != answeredKept {
		t.Fatal(got)
	}
	s.stop(t, 10*time.Second)
	<-s.drained
	if late := time.Since(s.delayEnd); late > bound {
		t.Errorf("the stop ended %s after the drain delay", late)
	}
}
