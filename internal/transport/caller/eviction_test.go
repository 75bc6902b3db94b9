package caller

import (
	"errors"
	"io"
	"net"
	"testing"
	"time"
)

// acceptAll accepts connections until the listener is closed.
func acceptAll(l *Listener) <-chan *Conn {
	accepted := make(chan *Conn, 64)
	go func() {
		defer close(accepted)
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			accepted <- c.(*Conn)
		}
	}()
	return accepted
}

// receiveNext waits for the next accepted connection, on which the bytes of a request are read if there are any.
func receiveNext(t *testing.T, accepted <-chan *Conn, out net.Conn, bytes string) *Conn {
	t.Helper()
	if _, err := io.WriteString(out, bytes); err != nil {
		t.Fatal(err)
	}
	select {
	case in := <-accepted:
		if bytes != "" {
			if _, err := in.Read(make([]byte, 64)); err != nil {
				t.Fatal(err)
			}
		}
		return in
	case <-time.After(5 * time.Second):
		t.Fatal("no connection is accepted")
	}
	return nil
}

// closedByInstance reports whether the other end has closed the connection.
func closedByInstance(t *testing.T, out net.Conn) bool {
	t.Helper()
	if err := out.SetReadDeadline(time.Now().Add(100 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	_, err := out.Read(make([]byte, 1))
	var timeout net.Error
	return !errors.As(err, &timeout) || !timeout.Timeout()
}

// Guards against a limit of connections that a crowd of unfinished requests holds for itself, and against requests that have
// arrived, or arrive faster, and are closed instead.
func TestSlowestUnfinishedRequestGivesWay(t *testing.T) {
	l := openListener(t)
	l.Connections.max = 3
	var evictions []Eviction
	l.Connections.OnEvicted = func(e Eviction) { evictions = append(evictions, e) }
	accepted := acceptAll(l)
	arrivedOut, slowOut, fastOut := dial(t, l), dial(t, l), dial(t, l)
	arrived := receiveNext(t, accepted, arrivedOut, "POST / HTTP/1.1\r\n")
	slow := receiveNext(t, accepted, slowOut, "P")
	fast := receiveNext(t, accepted, fastOut, "POST / HTTP/1.1\r\nHost: h\r\n")
	for _, c := range []*Conn{arrived, slow, fast} {
		c.RequestBegan()
	}
	arrived.RequestReceived()
	time.Sleep(evictableAfter + 50*time.Millisecond)
	receiveNext(t, accepted, dial(t, l), "")
	if !closedByInstance(t, slowOut) || closedByInstance(t, arrivedOut) || closedByInstance(t, fastOut) {
		t.Error("another connection than that of the slowest request gave way")
	}
	if len(evictions) != 1 || evictions[0].Reason != EvictedSlow {
		t.Errorf("evictions %+v", evictions)
	}
}

// Guards against connections that are closed while there is room, or so early that an ordinary request is still on its way; and
// against a full instance that accepts more than its limit.
func TestYoungConnectionsDoNotGiveWay(t *testing.T) {
	l := openListener(t)
	l.Connections.max = 2
	refused := make(chan Eviction, 8)
	l.Connections.OnEvicted = func(e Eviction) { refused <- e }
	accepted := acceptAll(l)
	first, second := dial(t, l), dial(t, l)
	receiveNext(t, accepted, first, "")
	receiveNext(t, accepted, second, "")
	third := dial(t, l)
	if e := <-refused; e.Reason != NotAccepted {
		t.Errorf("eviction %+v", e)
	}
	if !closedByInstance(t, third) || closedByInstance(t, first) || closedByInstance(t, second) {
		t.Error("another connection than the new one was closed")
	}
	if n := l.Connections.Open(); n != 2 {
		t.Errorf("%d open connections", n)
	}
}

// Guards against one address that takes the connections of others although it holds half of them.
func TestAddressWithItsShareTakesNoRoomOfOthers(t *testing.T) {
	now := time.Now()
	s := newConnections()
	s.max = 4
	open := func(address string, waits time.Duration) *Conn {
		in, _ := net.Pipe()
		c := &Conn{Conn: in, connections: s, address: address}
		c.use = acceptedAt(now.Add(-waits))
		return c
	}
	for _, address := range []string{"a", "a", "b", "b"} {
		if !s.admit(open(address, time.Minute), now) {
			t.Fatal("not admitted while there is room")
		}
	}
	if !s.admit(open("a", 0), now) || s.addresses["b"] != 2 {
		t.Errorf("the addresses hold %v: one with its share replaced a connection of the other", s.addresses)
	}
	if !s.admit(open("c", 0), now) || len(s.open) != 4 {
		t.Errorf("another address was not admitted: %v", s.addresses)
	}
}
