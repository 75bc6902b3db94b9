package fleet

import (
	"context"
	"io"
	"net"
	"net/netip"
	"testing"
	"time"
)

// echo starts a server that returns what it receives.
func echo(t *testing.T) string {
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

// answers reports whether a connection still carries bytes both ways. Silence shows only
// as the read deadline, so the deadline is short where silence is expected.
func answers(c net.Conn, wait time.Duration) bool {
	b := make([]byte, 1)
	if _, err := c.Write([]byte("x")); err != nil {
		return false
	}
	_ = c.SetReadDeadline(time.Now().Add(wait))
	_, err := c.Read(b)
	return err == nil
}

// A cut that lets a link through, or that closes connections instead of silencing them,
// would show a partition as harmless.
func TestCutSilencesLinksOfOneDomain(t *testing.T) {
	l := newLinks()
	inside, outside, platform := echo(t), echo(t), echo(t)
	l.place(inside, "a")
	l.place(outside, "b")
	dial := func(from, to string) net.Conn {
		c, err := l.from(from).Dial(t.Context(), "tcp", to)
		if err != nil {
			t.Fatal(err)
		}
		t.Cleanup(func() { c.Close() })
		return c
	}
	crossing := []net.Conn{dial("a", outside), dial("b", inside), dial("a", platform)}
	staying := []net.Conn{dial("a", inside), dial("b", outside), dial("b", platform)}
	l.setCut("a")
	for i := range crossing {
		if answers(crossing[i], 10*time.Millisecond) {
			t.Errorf("link %d passes the cut", i)
		}
		if !answers(staying[i], time.Minute) {
			t.Errorf("link %d within a side of the cut is silent", i)
		}
	}
	ended, cancel := context.WithCancel(t.Context())
	cancel()
	if _, err := l.from("b").Dial(ended, "tcp", inside); err == nil {
		t.Error("a dial passes the cut")
	}
	if drop := l.from("a").Drop; !drop(netip.MustParseAddrPort(outside)) || drop(netip.MustParseAddrPort(inside)) {
		t.Error("datagrams do not follow the cut")
	}
	l.setCut("")
	if answers(crossing[0], 10*time.Millisecond) {
		t.Error("a lost connection came back")
	}
	if !answers(dial("a", outside), time.Minute) {
		t.Error("a fresh connection is silent after the cut has healed")
	}
}
