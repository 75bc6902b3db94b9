package upstream

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"

	"github.com/valyala/fasthttp"

	"github.com/yuccabridge/yuccabridge/internal/testnet"
)

// respond starts an upstream that answers the first request of each connection with text, byte by byte or at once.
func respond(t *testing.T, text string, byteByByte bool) string {
	t.Helper()
	return testnet.Serve(t, func(c net.Conn) {
		if _, err := http.ReadRequest(bufio.NewReader(c)); err != nil {
			return
		}
		if !byteByByte {
			io.WriteString(c, text)
			return
		}
		for i := range text {
			io.WriteString(c, text[i:i+1])
		}
	})
}

// Guards against a response with an invalid status code that counts as a success: the HTTP library reads 000 as 200.
func TestInvalidStatusIsNoResponse(t *testing.T) {
	for line, want := range map[string]int{
		"HTTP/1.1 000 OK": 0, "HTTP/1.1 000": 0, "HTTP/1.1 099 X": 0, "HTTP/1.1 0 OK": 0, "HTTP/1.1 ": 0, "HTTP/1.1 2": 0,
		"HTTP/1.1 103 Early Hints\r\n\r\nHTTP/1.1 000 OK": 0, "\r\nHTTP/1.1 000 OK": 0, "HTTP/1.1 101 Switching Protocols": 0,
		"HTTP/1.1 200 OK": 200, "HTTP/1.1 200": 200, "HTTP/1.1 599 X": 599, "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\nHTTP/1.1 404 Not Found": 404,
	} {
		for _, byteByByte := range []bool{false, true} {
			client := New(respond(t, line+"\r\nContent-Length: 4\r\n\r\nbody", byteByByte), Options{})
			request := fasthttp.AcquireRequest()
			request.SetRequestURI("http://upstream/")
			response, err := client.Do(t.Context(), Call{Request: request})
			if want == 0 {
				if failure, ok := err.(*Failure); !ok || failure.Phase != PhaseHeader || !failure.Malformed {
					t.Errorf("%q: %+v", line, err)
				}
				client.Close()
				continue
			}
			if err != nil || response.Response.StatusCode() != want {
				t.Errorf("%q: %v", line, err)
			}
			client.Close()
		}
	}
}

func BenchmarkReadResponse(b *testing.B) {
	const head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nDate: Mon, 07 Dec 2026 02:33:33 GMT\r\nKeep-Alive: timeout=30\r\n" +
		"X-Request-Id: 5d41402abc4b2a76b9719d911017c592\r\nX-Signature: 3e1b.07.5a2.600.0.c9f2a4d1\r\n"
	for name, text := range map[string]string{
		"length": head + "Content-Length: 800\r\n\r\n" + strings.Repeat("x", 800),
		"chunks": head + "Transfer-Encoding: chunked\r\n\r\n" + strings.Repeat("50\r\n"+strings.Repeat("x", 80)+"\r\n", 10) + "0\r\n\r\n",
	} {
		b.Run(name, func(b *testing.B) {
			input := strings.NewReader(text)
			reader := bufio.NewReaderSize(input, 4<<10)
			body := make([]byte, 1<<10)
			b.ReportAllocs()
			for b.Loop() {
				input.Reset(text)
				reader.Reset(input)
				response := fasthttp.Response{StreamBody: true}
				if err := readResponse(reader, &response); err != nil {
					b.Fatal(err)
				}
				for err := error(nil); err == nil; {
					_, err = response.BodyStream().Read(body)
				}
			}
		})
	}
}
