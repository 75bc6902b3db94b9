package upstream

import (
	"testing"
	"time"
)

// Guards against a connection that is opened for later and counts as idle for too long at once.
func TestWarmedConnectionIsUsed(t *testing.T) {
	address, _ := listen(t, func(_ int, c *serverConn) { c.respondToAll(completeResponse) })
	c := newClient(t, address, Options{ReuseWindow: time.Minute})
	if err := c.Warm(t.Context()); err != nil {
		t.Fatal(err)
	}
	if !c.HasIdle() {
		t.Error("the connection is not kept")
	}
	mustExchange(t, c, newCall(address))
}
