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

	"github.com/yuccabridge/yuccabridge/internal/lifecycle"
	"github.com/yuccabridge/yuccabridge/internal/testtime"
)

const (
	testDrainDelay = 300 * time.Millisecond
	// testLatency is the time that bytes and the end of a connection take through delayProxy, in each direction.
	testLatency = 20 * time.Millisecond
)

// delayProxy passes on connections to an address with testLatency in the one direction, and with another latency back. It
// returns its own address.
func delayProxy(t *testing.T, address string, back time.Duration) string {
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
			go delayCopy(client, server, testLatency)
			go delayCopy(server, client, back)
		}
	}()
	return l.Addr().String()
}

// delayCopy copies what is read from one connection, and its end, to the other one after the latency.
func delayCopy(from, to net.Conn, latency time.Duration) {
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
			parts <- part{b[:n], time.Now().Add(latency)}
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
	listener   *Listener
	address    string // of a proxy that delays
	drainDelay time.Duration
	draining   atomic.Bool
	handled    atomic.Int32  // requests for which it is decided what the response announces
	delayEnd   time.Time     // the end of the drain delay
	drained    chan struct{} // closed when Drain has returned
	ended      chan struct{} // closed when the requests in progress must end
	clock      *testtime.Clock
	waitEnds   chan time.Duration // by clock: when it closed connections that waited for a request
	endsIn     chan time.Duration // how long after the start of the stop the requests in progress are to end
}

func startStoppable(t *testing.T) *stoppableServer {
	t.Helper()
	return startStoppableWith(t, testDrainDelay, testLatency)
}

func startStoppableWith(t *testing.T, drainDelay, latencyBack time.Duration) *stoppableServer {
	t.Helper()
	const idleTimeout = 10 * time.Second
	s := &stoppableServer{listener: openListener(t), drainDelay: drainDelay, drained: make(chan struct{}), ended: make(chan struct{}),
		clock: testtime.Start(t), waitEnds: make(chan time.Duration, 64), endsIn: make(chan time.Duration, 1)}
	s.listener.Connections.OnWaitEnded = func(WaitEnd) { s.waitEnds <- s.clock.Elapsed() }
	server := &fasthttp.Server{ReadTimeout: 10 * time.Second, IdleTimeout: idleTimeout, Handler: func(ctx *fasthttp.RequestCtx) {
		if s.draining.Load() {
			ctx.SetConnectionClose()
		}
		s.handled.Add(1)
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
	Attach(server, func() time.Duration { return lifecycle.ReuseTimeout(drainDelay, idleTimeout) })
	go server.Serve(s.listener)
	s.address = delayProxy(t, s.listener.Addr().String(), latencyBack)
	return s
}

// stoppingLife returns the life of an instance that has been told to stop.
func stoppingLife(since time.Time, drainDelay, grace time.Duration) *lifecycle.Life {
	life := lifecycle.New(lifecycle.Options{DrainDelay: drainDelay, Grace: grace})
	life.Serve()
	life.Stop(since)
	return life
}

func (s *stoppableServer) stop(t *testing.T, grace time.Duration) {
	t.Helper()
	s.draining.Store(true)
	startedAt := time.Now()
	s.delayEnd = startedAt.Add(s.drainDelay)
	go func() {
		defer close(s.drained)
		life := stoppingLife(startedAt, s.drainDelay, grace)
		s.endsIn <- life.EndsAt().Sub(startedAt)
		err := s.listener.Drain(Drain{Life: life, DelayOver: func() {}, EndRequests: func() { close(s.ended) }})
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
	notAllowed   outcome = "not sent: the time announced for further requests is over"
	cut          outcome = "cut without an answer"
)

// keptConn is a caller's connection that is used again.
type keptConn struct {
	net.Conn
	answers chan outcome // closed at the end of the connection

	mu        sync.Mutex
	reusable  bool // the last response has announced a time for further requests
	reuseNext time.Time
}

// reuseBy returns until when the connection may be used again, if the last response has said so.
func (k *keptConn) reuseBy() (time.Time, bool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	return k.reuseNext, k.reusable
}

// readReuseTimeout notes until when the connection may be used again.
func (k *keptConn) readReuseTimeout(t *testing.T, h http.Header) {
	k.mu.Lock()
	defer k.mu.Unlock()
	value := h.Get("Keep-Alive")
	if k.reusable = value != ""; !k.reusable {
		return
	}
	var seconds int
	if _, err := fmt.Sscanf(value, "timeout=%d", &seconds); err != nil {
		t.Errorf("Keep-Alive: %s: %v", value, err)
	}
	k.reuseNext = time.Now().Add(time.Duration(seconds) * time.Second)
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
			k.readReuseTimeout(t, res.Header)
			if res.Close {
				k.answers <- answeredLast
				return
			}
			k.answers <- answeredKept
		}
	}()
	return k
}

// askIfAllowed sends a request unless the time announced for it is over.
func (k *keptConn) askIfAllowed() outcome {
	if by, announced := k.reuseBy(); announced && time.Now().After(by) {
		return notAllowed
	}
	return k.ask(0)
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
	err := l.Drain(Drain{Life: stoppingLife(time.Now(), 0, lifecycle.ExitMargin+50*time.Millisecond), DelayOver: func() {}, EndRequests: func() {
		go func() {
			time.Sleep(lifecycle.LastAnswersTime / 4)
			in.Read(make([]byte, 16))
			in.RequestHandled(0)
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
	in.RequestHandled(0)
	closing := make(chan struct{})
	in.Conn = &endingConn{TCPConn: in.Conn.(*net.TCPConn), before: func() {
		go func() { l.Connections.CloseWaiting(time.Now().Add(time.Minute)); close(closing) }()
		for !l.Connections.ending() {
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
	startedAt := s.clock.Elapsed()
	s.stop(t, grace)
	<-kept.answers
	if after := <-s.waitEnds - startedAt; after > grace-lifecycle.ExitMargin {
		t.Errorf("the idle connection was closed after %s", after)
	}
	if endsIn := <-s.endsIn; endsIn > grace-lifecycle.ExitMargin {
		t.Errorf("the requests in progress end after %s", endsIn)
	}
	<-s.ended
	endedAt := s.clock.Elapsed()
	<-s.drained
	drainedAt := s.clock.Elapsed()
	if after := drainedAt - endedAt; after > lifecycle.ExitMargin {
		t.Errorf("the stop ended %s after the requests in progress", after)
	}
	if after := drainedAt - startedAt; after > grace {
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

// Guards against idle connections that a stop closes while their callers may still use them: a request that crosses the
// close gets neither an answer nor a refusal, and its caller sees that late if the close is queued on a full link.
func TestNoRequestCrossesTheEndOfTheDrainDelay(t *testing.T) {
	for name, latencyBack := range map[string]time.Duration{"free link": testLatency, "full link": 204 * time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			const callers, around = 40, 20 * time.Millisecond
			s := startStoppableWith(t, 1500*time.Millisecond, latencyBack)
			counts := map[outcome]int{}
			var mu sync.Mutex
			var group, first sync.WaitGroup
			stopped := make(chan struct{})
			for i := range callers {
				c := s.dial(t)
				first.Add(1)
				group.Go(func() {
					got := c.ask(0)
					first.Done()
					if got != answeredKept {
						t.Errorf("before the stop: %s", got)
					}
					<-stopped
					time.Sleep(time.Until(s.delayEnd.Add(time.Duration(i)*2*around/callers - around)))
					sentAt := time.Now()
					got = c.askIfAllowed()
					if got == cut {
						t.Errorf("a request sent %s after the drain delay met the close, %s after it was sent", sentAt.Sub(s.delayEnd).Round(time.Millisecond), time.Since(sentAt).Round(time.Millisecond))
					}
					mu.Lock()
					counts[got]++
					mu.Unlock()
				})
			}
			first.Wait()
			s.stop(t, 5*time.Second)
			close(stopped)
			group.Wait()
			t.Log(counts)
		})
	}
}

// Guards against a connection that ends before the time is over for which it was said to be open: when it is idle in a
// stop, and when a response on it has begun before the stop and ends later.
func TestConnectionStaysOpenForTheAnnouncedTime(t *testing.T) {
	const (
		drainDelay = 1500 * time.Millisecond
		early      = 20 * time.Millisecond // before the end of the announced time
	)
	for name, lasts := range map[string]time.Duration{"idle": 0, "until the drain delay": drainDelay, "beyond the drain delay": drainDelay + 500*time.Millisecond} {
		t.Run(name, func(t *testing.T) {
			t.Parallel()
			const callers = 20
			s := startStoppableWith(t, drainDelay, testLatency)
			var group sync.WaitGroup
			var late atomic.Int32 // callers that did not run in time
			for range callers {
				c := s.dial(t)
				group.Go(func() {
					if got := c.ask(lasts); got != answeredKept {
						t.Errorf("before the stop: %s", got)
					}
					by, announced := c.reuseBy()
					if !announced {
						t.Error("no time is announced")
					}
					time.Sleep(time.Until(by.Add(-early)))
					switch got := c.askIfAllowed(); got {
					case answeredLast:
					case notAllowed:
						late.Add(1)
					default:
						t.Errorf("the next request: %s", got)
					}
				})
			}
			for s.handled.Load() < callers {
				time.Sleep(time.Millisecond)
			}
			s.stop(t, 8*time.Second)
			group.Wait()
			if n := late.Load(); n == callers {
				t.Errorf("no caller ran in time")
			}
		})
	}
}

// Guards against a stop that keeps connections open beyond the grace period, as responses have announced that they may be
// used again.
func TestStopClosesReusableConnectionsBeforeTheGracePeriodEnds(t *testing.T) {
	const drainDelay, grace = 1500 * time.Millisecond, 2500 * time.Millisecond
	s := startStoppableWith(t, drainDelay, testLatency)
	c := s.dial(t)
	go c.ask(grace - lifecycle.ExitMargin - 100*time.Millisecond)
	time.Sleep(4 * testLatency)
	startedAt := s.clock.Elapsed()
	s.stop(t, grace)
	<-s.drained
	if after := s.clock.Elapsed() - startedAt; after > grace {
		t.Errorf("the stop took %s", after)
	}
	if after := <-s.waitEnds - startedAt; after > grace {
		t.Errorf("the connection was closed after %s", after)
	}
}
