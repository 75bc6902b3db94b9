package caller

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/valyala/fasthttp"

	"github.com/yuccabridge/yuccabridge/internal/lifecycle"
	"github.com/yuccabridge/yuccabridge/internal/state/bytebudget"
)

// fuzzLimit is the largest body that the fuzzed server takes.
const fuzzLimit = 100_000

// FuzzBytesOfACaller guards against bytes of a caller that end the process, pass on more than the limit, or leave memory or a
// connection behind.
//
//	go test ./internal/transport/caller -fuzz BytesOfACaller -fuzztime 30s
func FuzzBytesOfACaller(f *testing.F) {
	chunked := "POST / HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n\r\n"
	for _, seed := range []string{
		"", "\r\n\r\n", "GET / HTTP/1.1\r\nHost: h\r\n\r\n", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 70000\r\n\r\nshort", "POST / HTTP/1.1\r\nHost: h\r\nContent-Length: 99999999\r\n\r\nx",
		"POST / HTTP/1.1\r\nHost: h\r\nContent-Length: -1\r\n\r\nx", chunked + "5\r\nhello\r\n0\r\n\r\n", chunked + "5\r\nhel", chunked + "fffffffffffffff\r\nx",
		chunked + "1;a=" + strings.Repeat("x", 30_000), chunked + "0\r\n" + strings.Repeat("X: y\r\n", 5_000), chunked + strings.Repeat("1\r\nx\r\n", 20_000),
		chunked + "11170\r\n" + strings.Repeat("x", 70_000) + "\r\n11170\r\n" + strings.Repeat("x", 70_000), chunked + "5\r\nhello\r\n0\r\n\r\nGET / HTTP/1.1\r\nHost: h\r\n\r\n",
		"POST / HTTP/1.1\r\nHost: h\r\nExpect: 100-continue\r\nContent-Length: 5\r\n\r\nhello",
	} {
		f.Add([]byte(seed))
	}
	small, uploads := bytebudget.New(1<<20), bytebudget.New(1<<20)
	intake := NewIntake(small, uploads)
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		f.Fatal(err)
	}
	l := newListener(inner, time.Second)
	server := &fasthttp.Server{StreamRequestBody: true, MaxRequestBodySize: fuzzLimit, ReadTimeout: time.Second, DisablePreParseMultipartForm: true, Logger: discardLogger{},
		Handler: func(ctx *fasthttp.RequestCtx) {
			body, err := intake.Receive(context.Background(), Upload{Request: &ctx.Request, Conn: ctx.Conn().(*Conn), Limit: fuzzLimit, MaxWait: time.Second})
			if err != nil {
				ctx.SetConnectionClose()
				return
			}
			if body != nil && len(body.Bytes) > fuzzLimit {
				panic("a body above the limit was passed on")
			}
			body.Release()
		}}
	Attach(server, func() time.Duration { return 0 })
	go server.Serve(l)
	f.Cleanup(func() { inner.Close() })
	f.Fuzz(func(t *testing.T, bytes []byte) {
		c, err := net.Dial("tcp", inner.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		_, _ = c.Write(bytes) // the server may have closed the connection
		if c.(*net.TCPConn).CloseWrite() == nil {
			_ = c.SetReadDeadline(time.Now().Add(5 * time.Second))
			_, _ = io.Copy(io.Discard, c)
		}
		c.Close()
		for deadline := time.Now().Add(5 * time.Second); small.Used()+uploads.Used() > 0 || l.Connections.Open() > 0; time.Sleep(time.Millisecond) {
			if time.Now().After(deadline) {
				t.Fatalf("%d bytes and %d connections are left", small.Used()+uploads.Used(), l.Connections.Open())
			}
		}
	})
}

type discardLogger struct{}

func (discardLogger) Printf(string, ...any) {}

// acceptedAt returns the use of a connection that was accepted at a time.
func acceptedAt(t time.Time) lifecycle.Connection { return lifecycle.Accepted(t) }
