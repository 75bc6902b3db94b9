package caller

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/yuccabridge/yuccabridge/internal/lifecycle"
)

// Guards against an announced time that begins when the response is in the socket: its bytes may wait there for a link
// that is full or a caller that reads slowly, and the caller counts from when it has the response.
func TestAnnouncedTimeBeginsWhenTheResponseHasArrived(t *testing.T) {
	const (
		drainDelay = 1500 * time.Millisecond
		held       = 700 * time.Millisecond // how long the caller takes no bytes
		early      = 50 * time.Millisecond  // before the end of the announced time
		bodyBytes  = 512 << 10              // more than the receive buffer takes, less than the send buffer
	)
	l := openListener(t)
	handled := make(chan struct{}, 2)
	server := &fasthttp.Server{IdleTimeout: 10 * time.Second, Handler: func(ctx *fasthttp.RequestCtx) {
		ctx.Response.SetBody(make([]byte, bodyBytes))
		handled <- struct{}{}
	}}
	Attach(server, func() time.Duration { return lifecycle.ReuseTimeout(drainDelay, 10*time.Second) })
	go server.Serve(l)
	c := dial(t, l)
	if err := c.(*net.TCPConn).SetReadBuffer(64 << 10); err != nil {
		t.Fatal(err)
	}
	r := bufio.NewReader(c)
	read := func() (string, error) {
		res, err := http.ReadResponse(r, nil)
		if err != nil {
			return "", err
		}
		_, err = io.Copy(io.Discard, res.Body)
		return res.Header.Get("Keep-Alive"), err
	}
	const request = "GET / HTTP/1.1\r\nHost: h\r\n\r\n"
	io.WriteString(c, request)
	<-handled
	startedAt := time.Now()
	drained := make(chan error, 1)
	go func() {
		drained <- l.Drain(Drain{Life: stoppingLife(startedAt, drainDelay, 8*time.Second), DelayOver: func() {}, EndRequests: func() {}})
	}()
	time.Sleep(held)
	keepAlive, err := read()
	if err != nil || keepAlive != "timeout=1" {
		t.Fatalf("Keep-Alive: %q, %v", keepAlive, err)
	}
	received := time.Now()
	time.Sleep(time.Until(received.Add(time.Second - early)))
	io.WriteString(c, request)
	if _, err := read(); err != nil {
		t.Errorf("the response had arrived %s after it was made; a request sent %s before the end of the announced time: %v", received.Sub(startedAt).Round(time.Millisecond), early, err)
	}
	c.Close()
	if err := <-drained; err != nil {
		t.Error(err)
	}
}
