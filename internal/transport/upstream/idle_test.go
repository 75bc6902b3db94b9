package upstream

import (
	"net"
	"testing"
	"time"
)

// sendOnIdle accepts connections and sends bytes that nobody asked for on each, until it is closed.
func sendOnIdle(t *testing.T) (address string, closed <-chan struct{}) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	ended := make(chan struct{})
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			t.Cleanup(func() { c.Close() })
			go func() {
				block := make([]byte, 16<<10)
				for err := error(nil); err == nil; {
					_, err = c.Write(block)
				}
				select {
				case ended <- struct{}{}:
				case <-t.Context().Done():
				}
			}()
		}
	}()
	return l.Addr().String(), ended
}

// Guards against idle connections that are not used again and stay open, with the bytes that arrive on them: only
// the next request closed those that it found unfit.
func TestIdleConnectionsAreClosedAfterTheReuseWindow(t *testing.T) {
	const connections = 3
	address, closed := sendOnIdle(t)
	c := New(address, Options{ReuseWindow: 50 * time.Millisecond})
	defer c.Close()
	for range connections {
		if err := c.Warm(t.Context()); err != nil {
			t.Fatal(err)
		}
	}
	timeout := time.After(5 * time.Second)
	for n := range connections {
		select {
		case <-closed:
		case <-timeout:
			t.Fatalf("%d of %d idle connections are closed", n, connections)
		}
	}
}
