package platform

import (
	"io"
	"net"
	"runtime"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// Guards against an answer of the platform without end, in its head or in its body, that is kept whole or read
// as long as it comes.
func TestAnswerWithoutEndIsGivenUp(t *testing.T) {
	const chunked = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	const maxAllocatedBytes = 8 * maxResponseBytes // in all, while the body grows
	// The HTTP library tries again within the time limit, and the sockets hold some megabytes that nobody has read.
	const maxSentBytes = fasthttp.DefaultMaxIdemponentCallAttempts * (maxReadBytes + 8<<20)
	for name, tc := range map[string]struct{ prefix, repeated string }{
		"header field":      {"HTTP/1.1 200 OK\r\nX: ", "x"},
		"interim responses": {"", "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"},
		"blank lines":       {"", "\r\n"},
		"no response":       {"", "\x00"},
		"body":              {"HTTP/1.1 200 OK\r\n\r\n", "x"},
		"chunks":            {chunked, "1000\r\n" + strings.Repeat("x", 0x1000) + "\r\n"},
		"small chunks":      {chunked, "1\r\nx\r\n"},
		"chunk extension":   {chunked + "1;a=", "x"},
		"trailer":           {chunked + "0\r\nX: ", "x"},
		"trailers":          {chunked + "0\r\n", "X: y\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			var sent atomic.Int64
			go func() {
				for {
					c, err := l.Accept()
					if err != nil {
						return
					}
					go func() {
						defer c.Close()
						io.ReadAtLeast(c, make([]byte, 1), 1)
						io.WriteString(c, tc.prefix)
						block := []byte(strings.Repeat(tc.repeated, 1+(8<<10)/len(tc.repeated)))
						for err := error(nil); err == nil; {
							var n int
							n, err = c.Write(block)
							sent.Add(int64(n))
						}
					}()
				}
			}()
			c := New(Options{Address: l.Addr().String()})
			defer c.Close()
			var before, after runtime.MemStats
			runtime.ReadMemStats(&before)
			if _, err := c.Get(t.Context(), "/", 300*time.Millisecond); err == nil {
				t.Error("an answer without end was accepted")
			}
			runtime.ReadMemStats(&after)
			if allocated := after.TotalAlloc - before.TotalAlloc; allocated > maxAllocatedBytes {
				t.Errorf("%d KiB were allocated, want at most %d", allocated>>10, maxAllocatedBytes>>10)
			}
			if n := sent.Load(); n > maxSentBytes {
				t.Errorf("%d MiB were taken, want at most %d", n>>20, maxSentBytes>>20)
			}
		})
	}
}
