package upstream

import (
	"testing"
	"time"

	"github.com/valyala/fasthttp"
)

// Guards against a connection that is used beyond the time which its upstream announces, as the name of the header is
// written in another case.
func TestKeepAliveTimeoutInAnyHeaderCase(t *testing.T) {
	for _, name := range []string{"Keep-Alive", "keep-alive", "Keep-alive"} {
		t.Run(name, func(t *testing.T) {
			address, _ := listen(t, func(_ int, c *serverConn) {
				c.respondToAll("HTTP/1.1 200 OK\r\n" + name + ": timeout=1\r\nContent-Length: 2\r\n\r\nok")
			})
			c := newClient(t, address, Options{ReuseWindow: time.Minute, PreserveHeaderCase: true})
			mustExchange(t, c, newCall(address))
			c.mu.Lock()
			defer c.mu.Unlock()
			if got, want := c.reuseWindow(c.idle[0]), time.Second-reuseMargin; got != want {
				t.Errorf("the connection may be reused for %s, want %s", got, want)
			}
		})
	}
}

func TestParseKeepAliveTimeout(t *testing.T) {
	for value, want := range map[string]time.Duration{
		"timeout=5": 5 * time.Second, "max=100, timeout=2": 2 * time.Second, "Timeout=3": 3 * time.Second, `timeout="4"`: 4 * time.Second, "timeout=0": 0,
		"": -1, "timeout": -1, "timeout=": -1, "timeout=-1": -1, "timeout=1.5": -1, "timeout=99999999999999999999": -1, "timeout=9999999999": -1, "max=5": -1,
	} {
		var h fasthttp.ResponseHeader
		h.Set("Keep-Alive", value)
		got, stated := parseKeepAliveTimeout(&h)
		if stated != (want >= 0) || stated && got != want {
			t.Errorf("%q: %s, stated: %t", value, got, stated)
		}
	}
}

// Guards against a connection that is used again although its upstream keeps it open for less than a second.
func TestConnectionOfAnUpstreamThatKeepsNoneOpenIsNotReused(t *testing.T) {
	address, _ := listen(t, func(_ int, c *serverConn) {
		c.respondToAll("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=0\r\nContent-Length: 2\r\n\r\nok")
	})
	c := newClient(t, address, Options{ReuseWindow: time.Minute})
	mustExchange(t, c, newCall(address))
	if c.HasIdle() {
		t.Error("the connection may be used again")
	}
}
