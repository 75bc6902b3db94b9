package caller

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/yuccabridge/yuccabridge/internal/lifecycle"
)

// serverReadTimeout bounds the time from the acceptance of a connection until its first request has been read.
const serverReadTimeout = 10 * time.Second

// serve runs an HTTP server that closes each connection after its response.
func serve(l *Listener, concurrency int) {
	server := &fasthttp.Server{ReadTimeout: serverReadTimeout, IdleTimeout: 10 * time.Second, Concurrency: concurrency,
		Handler: func(ctx *fasthttp.RequestCtx) { ctx.SetConnectionClose() }}
	Attach(server, noReuse)
	go server.Serve(l)
}

const (
	requestHead = "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 4\r\n\r\n"
	requestBody = "body"
)

// readStatus returns the status of the response; 0 if the connection ends without one.
func readStatus(c net.Conn) int {
	c.SetReadDeadline(time.Now().Add(5 * time.Second))
	return awaitStatus(c)
}

// awaitStatus returns the same as readStatus, however late the caller runs.
func awaitStatus(c net.Conn) int {
	res, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return 0
	}
	return res.StatusCode
}

// partedRequest is a request in two parts, with the times at which its caller did each step.
type partedRequest struct {
	dialAt, headSentAt, bodySentAt time.Time // the latter two: when the write had returned
	status                         int
}

// inTime reports whether the stop must leave the time for the request: its first bytes were sent before the waiting
// connections were closed, or when the connection was hardly open, and the rest before the read timeouts were over.
func (r *partedRequest) inTime(closedAt time.Time) bool {
	opened := r.headSentAt.Before(closedAt) || r.headSentAt.Sub(r.dialAt) < lifecycle.FirstRequestTimeout
	return opened && r.bodySentAt.Sub(r.headSentAt) < unreadTimeout && r.bodySentAt.Sub(r.dialAt) < serverReadTimeout
}

// Guards against a stop that cuts requests which have begun to arrive when it looks for waiting connections.
func TestStopDoesNotCutRequestsInTwoParts(t *testing.T) {
	const inTimeCount, each = 800, 200
	var inTime, late, cutInTime, cutLate int
	for inTime < inTimeCount {
		l := openListener(t)
		serve(l, each)
		var callers sync.WaitGroup
		start := make(chan struct{})
		requests := make([]partedRequest, each)
		for i := range requests {
			r := &requests[i]
			r.dialAt = time.Now()
			out := dial(t, l)
			callers.Go(func() {
				<-start
				time.Sleep(time.Duration(i) * 5 * time.Microsecond)
				io.WriteString(out, requestHead)
				r.headSentAt = time.Now()
				time.Sleep(5 * time.Millisecond)
				io.WriteString(out, requestBody)
				r.bodySentAt = time.Now()
				r.status = awaitStatus(out)
			})
		}
		time.Sleep(5 * time.Millisecond)
		close(start)
		time.Sleep(300 * time.Microsecond)
		closedAt := time.Now()
		l.Connections.CloseWaiting(time.Now().Add(time.Minute))
		callers.Wait()
		for _, r := range requests {
			cut := r.status != http.StatusOK
			switch {
			case r.inTime(closedAt):
				inTime++
				if cut {
					cutInTime++
					t.Logf("cut: the head was sent %s after the dial and %s after the close, the body %s later", r.headSentAt.Sub(r.dialAt), r.headSentAt.Sub(closedAt), r.bodySentAt.Sub(r.headSentAt))
				}
			default:
				late++
				if cut {
					cutLate++
				}
			}
		}
		l.Close()
	}
	if cutInTime > 0 {
		t.Errorf("%d of %d requests that were sent in time were cut", cutInTime, inTime)
	}
	t.Logf("%d requests in time; %d of callers that ran late, %d of them cut", inTime, late, cutLate)
}

// Guards against a stop that shortens the time which a caller has for the rest of its request.
func TestStopKeepsTheReadTimeout(t *testing.T) {
	l := openListener(t)
	l.Connections.CloseWaiting(time.Now().Add(time.Minute))
	out := dial(t, l)
	io.WriteString(out, requestHead)
	time.Sleep(20 * time.Millisecond)
	serve(l, 1)
	time.Sleep(unreadTimeout + 200*time.Millisecond)
	io.WriteString(out, requestBody)
	if status := readStatus(out); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
}

// Guards against a stop that closes a connection which has just been opened, before its request arrives, and against
// one that leaves it open for long.
func TestStopWaitsForTheRequestOfANewConnection(t *testing.T) {
	l := openListener(t)
	asks, silent := dial(t, l), dial(t, l)
	serve(l, 2)
	if err := l.CloseAfterBacklog(); err != nil {
		t.Fatal(err)
	}
	l.Connections.CloseWaiting(time.Now().Add(time.Minute))
	time.Sleep(20 * time.Millisecond)
	io.WriteString(asks, requestHead+requestBody)
	if status := readStatus(asks); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
	if _, err := silent.Read(make([]byte, 1)); err != io.EOF {
		t.Errorf("the unused connection ended with %v", err)
	}
}

// slowListener returns connections some time after the kernel has handed them out.
type slowListener struct {
	*net.TCPListener
	taken chan struct{}
}

func (l slowListener) Accept() (net.Conn, error) {
	c, err := l.TCPListener.Accept()
	if err == nil {
		l.taken <- struct{}{}
		time.Sleep(100 * time.Millisecond)
	}
	return c, err
}

// Guards against a stop that overlooks a connection which is being accepted.
func TestStopCountsAConnectionThatIsBeingAccepted(t *testing.T) {
	l := openListener(t)
	slow := slowListener{l.Listener.(*net.TCPListener), make(chan struct{}, 1)}
	l.Listener = slow
	serve(l, 1)
	dial(t, l)
	<-slow.taken
	if err := l.CloseAfterBacklog(); err != nil {
		t.Fatal(err)
	}
	if got := l.Connections.Counts().Total(); got != 1 {
		t.Errorf("%d connections are open", got)
	}
}

// Guards against a warning about a connection that was refused for the limit of connections.
func TestRefusedConnectionIsNotReported(t *testing.T) {
	l := openListener(t)
	reported := make(chan RequestBytes, 1)
	l.Connections.OnUnanswered = func(bytes RequestBytes) { reported <- bytes }
	dial(t, l)
	refused := dial(t, l)
	io.WriteString(refused, requestHead+requestBody)
	time.Sleep(20 * time.Millisecond)
	serve(l, 1)
	refused.SetReadDeadline(time.Now().Add(5 * time.Second))
	io.Copy(io.Discard, refused)
	select {
	case bytes := <-reported:
		t.Errorf("reported: %s", bytes)
	case <-time.After(50 * time.Millisecond):
	}
}

// Guards against the loss of a response that the HTTP server holds back while it reads the rest of a pipelined request,
// and of that request: both have arrived, at least in part, when the waiting connections are closed.
func TestStopKeepsTheResponseBeforeAPipelinedRequest(t *testing.T) {
	for name, begun := range map[string]string{"a part of the head": requestHead[:20], "the head": requestHead, "a part of the body": requestHead + requestBody[:2]} {
		t.Run(name, func(t *testing.T) {
			l := openListener(t)
			handled := make(chan struct{}, 2)
			server := &fasthttp.Server{Handler: func(*fasthttp.RequestCtx) { handled <- struct{}{} }}
			Attach(server, noReuse)
			go server.Serve(l)
			out := dial(t, l)
			io.WriteString(out, requestHead+requestBody+begun)
			<-handled
			time.Sleep(20 * time.Millisecond)
			l.Connections.CloseWaiting(time.Now().Add(time.Minute))
			time.Sleep(20 * time.Millisecond)
			io.WriteString(out, (requestHead + requestBody)[len(begun):])
			out.SetReadDeadline(time.Now().Add(5 * time.Second))
			responses := bufio.NewReader(out)
			for i := range 2 {
				if res, err := http.ReadResponse(responses, nil); err != nil || res.StatusCode != http.StatusOK {
					t.Fatalf("response %d: %v, %v", i+1, res, err)
				}
			}
			if _, err := responses.ReadByte(); err != io.EOF {
				t.Errorf("the connection was not closed after the last response: %v", err)
			}
		})
	}
}

// Guards against a caller that waits for its response until it has sent the rest of its next request.
func TestResponseDoesNotWaitForAPipelinedRequest(t *testing.T) {
	l := openListener(t)
	server := &fasthttp.Server{Handler: func(*fasthttp.RequestCtx) {}}
	Attach(server, noReuse)
	go server.Serve(l)
	out := dial(t, l)
	io.WriteString(out, requestHead+requestBody+requestHead+requestBody[:2])
	if status := readStatus(out); status != http.StatusOK {
		t.Errorf("status %d", status)
	}
}
