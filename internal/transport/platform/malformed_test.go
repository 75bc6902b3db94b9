package platform

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"testing"
	"time"

	"github.com/yuccabridge/yuccabridge/internal/testnet"
)

// answerWith starts a platform that sends the same bytes as the answer to each call, on a connection of its own.
func answerWith(t *testing.T, answer string) string {
	t.Helper()
	return testnet.Serve(t, func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err == nil {
			_, _ = io.WriteString(c, answer) // the test checks what the client reads
		}
	})
}

// Guards against an answer that is no HTTP and is taken for one of the platform: the HTTP library reads status 000 as 200, so
// that an error counts as a list without entries.
func TestMalformedAnswerIsNoAnswer(t *testing.T) {
	const (
		length  = "Content-Length: 2\r\n\r\n{}"
		chunked = "Transfer-Encoding: chunked\r\n\r\n2\r\n{}\r\n0\r\n"
	)
	for answer, status := range map[string]int{
		"HTTP/1.1 200 OK\r\n" + length: 200, "HTTP/1.1 404 Not Found\r\n" + length: 404, "HTTP/1.1 200 OK\r\n" + chunked + "\r\n": 200,
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 200 OK\r\n" + length: 200, "HTTP/1.1 200 OK\r\n\r\n{}": 200,

		"HTTP/1.1 000 OK\r\n" + length: 0, "HTTP/1.1 099\r\n" + length: 0, "HTTP/1.1 999 X\r\n" + length: 0,
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 OK\r\n" + length: 0, "HTTP/1.1 103 Early Hints\r\nX Y: a\r\n\r\nHTTP/1.1 200 OK\r\n" + length: 0,
		"HTTP/1.1 200 OK\r\nX Y: a\r\n" + length: 0, "HTTP/1.1 200 OK\r\nX-Y : a\r\n" + length: 0, "HTTP/1.1 200 O\x01K\r\n" + length: 0,
		"HTTP/1.0 200 OK\r\n" + chunked + "\r\n": 0, "HTTP/1.1 200 OK\r\nContent-Length: 1\r\n" + chunked + "\r\n": 0,
	} {
		c := New(Options{Address: answerWith(t, answer)})
		res, err := c.Get(t.Context(), "/", time.Second)
		if valid := err == nil; valid != (status > 0) || valid && (res.Status != status || string(res.Body) != "{}") {
			t.Errorf("%q: %+v, %v", answer, res, err)
		}
		c.Close()
	}
}
