package httphead

import (
	"strings"
	"testing"
)

// Guards against a head that is accepted although its bytes are no valid response, and against a valid one that is refused;
// at once and byte by byte.
func TestChecker(t *testing.T) {
	const ok = "HTTP/1.1 200 OK\r\n"
	for head, status := range map[string]int{
		ok + "\r\n": 200, "HTTP/1.1 204\r\n\r\n": 204, "HTTP/1.0 599 X\r\n\r\n": 599, "\r\n" + ok + "\r\n": 200, "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n": 103,
		ok + "X-Y: a\r\nZ:\r\n\r\n": 200, ok + "X: a\tb \xe9\r\n\r\n": 200, ok + "X: a\r\n b\r\n\tc\r\n\r\n": 200, "HTTP/1.1 200 OK\nX: a\n\n": 200,

		ok + "X Y: a\r\n\r\n": 0, ok + "X-Y : a\r\n\r\n": 0, ok + "X\tY: a\r\n\r\n": 0, ok + "X\x00: a\r\n\r\n": 0, ok + "X\x7f: a\r\n\r\n": 0, ok + "X\xe9: a\r\n\r\n": 0,
		ok + "X(Y): a\r\n\r\n": 0, ok + ": a\r\n\r\n": 0, ok + "X\r\n\r\n": 0, ok + " X: a\r\n\r\n": 0, ok + "X\rY: a\r\n\r\n": 0,
		ok + "X: a\x00\r\n\r\n": 0, ok + "X: a\x01\r\n\r\n": 0, ok + "X: a\x7f\r\n\r\n": 0, ok + "X: a\rb\r\n\r\n": 0, ok + "X: a\r\n b\x01\r\n\r\n": 0,
		"HTTP/1.1 200 O\x01K\r\n\r\n": 0, "HTTP/1.1 2000 OK\r\n\r\n": 0, "HTTP/1.1 20 OK\r\n\r\n": 0, "HTTP/1.1 +20 OK\r\n\r\n": 0, "HTTP/1.1  200 OK\r\n\r\n": 0,
		"HTTP/1.1\r\n\r\n": 0, "HTTP/1.1 \r\n\r\n": 0, "HTTP/1.1 000 OK\r\n\r\n": 0, "HTTP/1.1 099\r\n\r\n": 0, "HTTP/1.1 600 X\r\n\r\n": 0, "HTTP/1.1 999\r\n\r\n": 0, "garbage\r\n\r\n": 0,
		"HTTP/1.2 200 OK\r\n\r\n": 0, "HTTP/2.0 200 OK\r\n\r\n": 0, "http/1.1 200 OK\r\n\r\n": 0, "HTTP/1.0 200 OK\r\nContent-Length: 1\r\n\r\n": 200,
		"HTTP/1.0 200 OK\r\ntransfer-encoding: chunked\r\n\r\n": 0, ok + "Transfer-Encoding: chunked\r\nContent-Length: 1\r\n\r\n": 0, ok + "Transfer-Encoding: chunked\r\n\r\n": 200,
	} {
		for _, step := range []int{len(head), 1} {
			var c Checker
			var ended bool
			var err error
			for checked, end := 0, step; end <= len(head) && !ended && err == nil; end += step {
				var n int
				n, ended, err = c.Check([]byte(head[checked:end]))
				checked += n
			}
			if valid := ended && err == nil; valid != (status > 0) || valid && c.Status() != status {
				t.Errorf("%q in steps of %d: status %d, ended %v, %v", head, step, c.Status(), ended, err)
			}
		}
	}
}

// Guards against bytes of the body that are checked as part of the head, and against a wrong line that is noticed only at
// the end of the head, which may never come.
func TestCheckerStops(t *testing.T) {
	const head = "HTTP/1.1 200 OK\r\nX: a\r\n\r\n"
	var c Checker
	if n, ended, err := c.Check([]byte(head + "X Y: a\r\n")); n != len(head) || !ended || err != nil {
		t.Errorf("%d of %d bytes, ended %v, %v", n, len(head), ended, err)
	}
	var open Checker
	if _, _, err := open.Check([]byte("HTTP/1.1 200 OK\r\nX Y: " + strings.Repeat("a", 1000) + "\n")); err == nil || len(err.Error()) > 200 {
		t.Errorf("%v", err)
	}
}
