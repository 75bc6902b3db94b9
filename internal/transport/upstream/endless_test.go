package upstream

import (
	"context"
	"io"
	"net"
	"strings"
	"testing"
	"time"

	"github.com/pkg/errors"
	"github.com/valyala/fasthttp"
)

// serveBytes accepts connections, reads a little of each request and writes the prefix and then the
// repeated text until the other end closes. It counts the bytes that it could write.
func serveBytes(t *testing.T, prefix, repeated string) (address string, written func() int64) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	done := make(chan int64, 1)
	go func() {
		c, err := l.Accept()
		if err != nil {
			return
		}
		defer c.Close()
		io.ReadAtLeast(c, make([]byte, 1), 1)
		block := strings.Repeat(repeated, 1+(8<<10)/len(repeated))
		n, err := io.WriteString(c, prefix)
		total := int64(n)
		for err == nil {
			n, err = io.WriteString(c, block)
			total += int64(n)
		}
		done <- total
	}()
	t.Cleanup(func() { l.Close() })
	return l.Addr().String(), func() int64 {
		select {
		case n := <-done:
			return n
		case <-time.After(10 * time.Second):
			t.Fatal("the connection stays open")
			return 0
		}
	}
}

// Guards against a response head without end that keeps a request until its deadline, while its
// bytes are read as fast as they come.
func TestHeadWithoutEndIsGivenUp(t *testing.T) {
	for name, tc := range map[string]struct{ prefix, repeated string }{
		"header field":      {"HTTP/1.1 200 OK\r\nX: ", "x"},
		"header fields":     {"HTTP/1.1 200 OK\r\n", "X: y\r\n"},
		"interim responses": {"", "HTTP/1.1 103 Early Hints\r\nX: y\r\n\r\n"},
		"blank lines":       {"", "\r\n"},
		"status line":       {"HTTP/1.1 200 ", "O"},
		"no response":       {"", "\x00"},
	} {
		t.Run(name, func(t *testing.T) {
			address, written := serveBytes(t, tc.prefix, tc.repeated)
			c := New(address, Options{})
			defer c.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			request := &fasthttp.Request{}
			request.SetRequestURI("http://" + address + "/")
			_, err := c.Do(ctx, Call{Request: request})
			if err == nil {
				t.Fatal("a head without end was accepted")
			}
			if ctx.Err() != nil {
				t.Errorf("given up at the deadline only: %v", err)
			}
			// The sockets hold some megabytes that nobody has read.
			if n := written(); n > 16<<20 {
				t.Errorf("%d bytes were taken", n)
			}
		})
	}
}

// Guards against a chunked body whose framing has no end.
func TestChunkFramingWithoutEndIsGivenUp(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"
	for name, tc := range map[string]struct{ prefix, repeated string }{
		"chunk extension":  {head + "5;a=", "x"},
		"chunk size":       {head, "0"},
		"blanks in a size": {head + "5", " "},
		"trailer field":    {head + "0\r\nX: ", "x"},
		"trailer fields":   {head + "0\r\n", "X: y\r\n"},
	} {
		t.Run(name, func(t *testing.T) {
			address, _ := serveBytes(t, tc.prefix, tc.repeated)
			c := New(address, Options{})
			defer c.Close()
			ctx, cancel := context.WithTimeout(context.Background(), 5*time.Second)
			defer cancel()
			request := &fasthttp.Request{}
			request.SetRequestURI("http://" + address + "/")
			response, err := c.Do(ctx, Call{Request: request})
			if err == nil {
				_, err = io.Copy(io.Discard, response.Body(0))
				response.Release(false)
			}
			if err == nil {
				t.Fatal("a body without end was accepted")
			}
			if ctx.Err() != nil {
				t.Errorf("given up at the deadline only: %v", err)
			}
		})
	}
}

// Guards against bytes that are no response and count as a lost connection, which makes the request
// a suspect of a crash, and against the reverse.
func TestMalformedIsToldFromLostConnection(t *testing.T) {
	for name, tc := range map[string]struct {
		bytes     string
		malformed bool
	}{
		"garbage":             {"\x00\x01garbage\r\n\r\n", true},
		"closed":              {"", false},
		"closed in the head":  {"HTTP/1.1 200 OK\r\nContent-", false},
		"bad status":          {"HTTP/1.1 two OK\r\n\r\n", true},
		"head of a long line": {"HTTP/1.1 200 OK\r\nX: " + strings.Repeat("x", 8<<10) + "\r\n\r\n", true},
	} {
		t.Run(name, func(t *testing.T) {
			l, err := net.Listen("tcp", "127.0.0.1:0")
			if err != nil {
				t.Fatal(err)
			}
			defer l.Close()
			go func() {
				c, err := l.Accept()
				if err != nil {
					return
				}
				defer c.Close()
				buffer := make([]byte, 4<<10)
				c.Read(buffer)
				io.WriteString(c, tc.bytes)
			}()
			c := New(l.Addr().String(), Options{})
			defer c.Close()
			request := &fasthttp.Request{}
			request.SetRequestURI("http://" + l.Addr().String() + "/")
			_, err = c.Do(t.Context(), Call{Request: request})
			var failure *Failure
			if !errors.As(err, &failure) || failure.Malformed != tc.malformed {
				t.Errorf("%v (malformed: %v), want malformed: %v", err, failure != nil && failure.Malformed, tc.malformed)
			}
		})
	}
}
