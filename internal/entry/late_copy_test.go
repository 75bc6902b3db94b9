package entry

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
)

// startRepeatingService starts a plain service that writes each response once more before it answers the next
// request of a connection. With echo it names the request of a response.
func startRepeatingService(t *testing.T, echo bool) string {
	t.Helper()
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { ln.Close() })
	serve := func(conn net.Conn) {
		defer conn.Close()
		requests := bufio.NewReader(conn)
		for previous := ""; ; {
			r, err := http.ReadRequest(requests)
			if err != nil {
				return
			}
			body, err := io.ReadAll(r.Body)
			if err != nil {
				return
			}
			header := ""
			if echo {
				header = headerRequestID + ": " + r.Header.Get(headerRequestID) + "\r\n"
			}
			response := fmt.Sprintf("HTTP/1.1 200 OK\r\n%sContent-Length: %d\r\n\r\n%s", header, len(body), body)
			if _, err := io.WriteString(conn, previous+response); err != nil {
				return
			}
			previous = response
		}
	}
	go func() {
		for {
			conn, err := ln.Accept()
			if err != nil {
				return
			}
			go serve(conn)
		}
	}()
	return ln.Addr().String()
}

// Guards against a caller that receives the response to another request: the service has written it once more on a
// connection that is in use again, whether it names the requests of its responses or not.
func TestLateCopyOfAResponseReachesNoOtherCaller(t *testing.T) {
	for _, echo := range []bool{false, true} {
		t.Run(fmt.Sprintf("echo=%v", echo), func(t *testing.T) {
			in, _ := startInstanceWithLog(t, serviceDeployment(startRepeatingService(t, echo)))
			env := &testEnv{t: t, instance: in}
			for i := range 10 {
				want := fmt.Sprint("order ", i)
				resp := env.post("/orders/status", testKey, want)
				text, err := io.ReadAll(resp.Body)
				if err != nil || resp.StatusCode != http.StatusOK || !strings.HasSuffix(string(text), want) {
					t.Errorf("%s: %d %q %v", want, resp.StatusCode, text, err)
				}
			}
		})
	}
}
