package upstream

import (
	"io"
	"testing"
	"time"
)

// Guards against a reuse window that begins when the response has been read: its upstream counts from when it has sent it,
// and a caller that reads slowly holds back the reading.
func TestReuseWindowBeginsWhenTheUpstreamHasSentTheResponse(t *testing.T) {
	const readAfter = 700 * time.Millisecond // less than the announced time
	sent := make(chan time.Time, 1)
	address, _ := listen(t, func(_ int, c *serverConn) {
		for c.readRequest() {
			c.respond("HTTP/1.1 200 OK\r\nKeep-Alive: timeout=1\r\nContent-Length: 2\r\n\r\nok")
			sent <- time.Now()
		}
	})
	c := newClient(t, address, Options{ReuseWindow: time.Minute})
	response, err := c.Do(t.Context(), newCall(address))
	if err != nil {
		t.Fatal(err)
	}
	endsAt := (<-sent).Add(time.Second)
	time.Sleep(readAfter)
	if _, err := io.ReadAll(response.Body(longTimeout)); err != nil {
		t.Fatal(err)
	}
	response.Release(true)
	if c.HasIdle() && time.Now().Add(c.reuseWindow(c.idle[0])).After(endsAt) {
		t.Errorf("the connection may be reused until %s after the announced time", time.Until(endsAt.Add(-c.reuseWindow(c.idle[0]))).Abs())
	}
}
