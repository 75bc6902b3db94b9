package caller

import (
	"bufio"
	"bytes"
	"fmt"
	"io"
	"net/http"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// Guards against a response that announces both the end of its connection and its reuse.
func TestResponseDoesNotAnnounceReuseOfAConnectionThatEnds(t *testing.T) {
	l := openListener(t)
	server := &fasthttp.Server{IdleTimeout: 10 * time.Second, Handler: func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == "/stream" {
			ctx.SetBodyStreamWriter(func(w *bufio.Writer) { w.WriteString("body") })
		}
	}}
	Attach(server, func() time.Duration { return 2 * time.Second })
	go server.Serve(l)
	for _, head := range []string{
		"GET / HTTP/1.0\r\n", "GET / HTTP/1.0\r\nConnection: keep-alive\r\n", "GET /stream HTTP/1.0\r\nConnection: keep-alive\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\nConnection: close\r\n", "GET / HTTP/1.1\r\nHost: h\r\nConnection: Close\r\n",
		"GET / HTTP/1.1\r\nHost: h\r\nConnection: TE, close\r\n", "GET /stream HTTP/1.1\r\nHost: h\r\nConnection: close\r\n", "GET /stream HTTP/1.1\r\nHost: h\r\n", "HEAD / HTTP/1.1\r\nHost: h\r\n",
	} {
		c := dial(t, l)
		fmt.Fprint(c, head+"\r\n")
		c.SetReadDeadline(time.Now().Add(300 * time.Millisecond))
		b, err := io.ReadAll(c)
		ends := err == nil
		res, parseErr := http.ReadResponse(bufio.NewReader(bytes.NewReader(b)), nil)
		if parseErr != nil {
			t.Fatal(parseErr)
		}
		t.Logf("%q: ends %t, Connection %q, Keep-Alive %q", head, ends, res.Header["Connection"], res.Header["Keep-Alive"])
		if announced := res.Header.Get("Keep-Alive") != ""; announced == ends || len(res.Header["Connection"]) > 1 {
			t.Errorf("%q: the connection ends: %t; %q", head, ends, b)
		}
	}
}
