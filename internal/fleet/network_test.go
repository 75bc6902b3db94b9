package fleet

import (
	"context"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"
)

// startEchoServer starts a TCP echo server and returns its address.
func startEchoServer(t *testing.T) string {
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
			go func() { defer c.Close(); io.Copy(c, c) }()
		}
	}()
	return l.Addr().String()
}

// echoes reports whether a byte sent on the connection comes back before the timeout. A
// severed connection is recognized only by the timeout, so callers pass a short one where
// they expect no reply.
func echoes(c net.Conn, timeout time.Duration) bool {
	b := make([]byte, 1)
	if _, err := c.Write([]byte("x")); err != nil {
		return false
	}
	_ = c.SetReadDeadline(time.Now().Add(timeout))
	_, err := c.Read(b)
	return err == nil
}

// Guards against a simulated partition that lets some connections through, or that closes
// connections instead of dropping their data. Experiments would then show partitions as
// harmless.
func TestIsolationSilencesCrossDomainConnections(t *testing.T) {
	network := newDomainNetwork()
	inA, inB, platform := startEchoServer(t), startEchoServer(t), startEchoServer(t)
	network.setDomain(inA, "a")
	network.setDomain(inB, "b")
	dial := func(from, to string) net.Conn {
		c, err := network.forDomain(from).Dial(t.Context(), "tcp", to)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	crossDomain := []net.Conn{dial("a", inB), dial("b", inA), dial("a", platform)}
	unaffected := []net.Conn{dial("a", inA), dial("b", inB), dial("b", platform)}
	network.isolate("a")
	for i := range crossDomain {
		if echoes(crossDomain[i], 10*time.Millisecond) {
			t.Errorf("connection %d still works across the partition", i)
		}
		if !echoes(unaffected[i], time.Minute) {
			t.Errorf("connection %d on one side of the partition is blocked", i)
		}
	}
	cancelled, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := network.forDomain("b").Dial(cancelled, "tcp", inA); err == nil {
		t.Error("a dial across the partition succeeded")
	}
	if drop := network.forDomain("a").Drop; !drop(netip.MustParseAddrPort(inB)) || drop(netip.MustParseAddrPort(inA)) {
		t.Error("the drop rule for datagrams does not match the partition")
	}
	network.isolate("")
	if echoes(crossDomain[0], 10*time.Millisecond) {
		t.Error("a severed connection works again after the partition has healed")
	}
	if !echoes(dial("a", inB), time.Minute) {
		t.Error("a new connection is blocked after the partition has healed")
	}
}
