// Package testnet starts servers of tests on the loopback interface.
package testnet

import (
	"net"
	"testing"
)

// Serve runs handle for each connection to the returned address and closes the connection after it. It accepts connections
// until the test ends.
func Serve(t *testing.T, handle func(net.Conn)) (address string) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				handle(c)
			}()
		}
	}()
	return l.Addr().String()
}
