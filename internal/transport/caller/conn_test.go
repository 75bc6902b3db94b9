package caller

import (
	"io"
	"net"
	"testing"
	"time"
)

func openListener(t *testing.T) *Listener {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { l.Close() })
	return newListener(l, time.Second)
}

func dial(t *testing.T, l *Listener) net.Conn {
	t.Helper()
	c, err := net.Dial("tcp", l.Addr().String())
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { c.Close() })
	return c
}

// connect returns the caller's and the instance's end of a connection.
func connect(t *testing.T, l *Listener) (net.Conn, *Conn) {
	t.Helper()
	out := dial(t, l)
	in, err := l.Accept()
	if err != nil {
		t.Fatal(err)
	}
	return out, in.(*Conn)
}

// write writes a request and waits until it has arrived.
func write(t *testing.T, out net.Conn, in *Conn) {
	t.Helper()
	if _, err := out.Write([]byte("request")); err != nil {
		t.Fatal(err)
	}
	for deadline := time.Now().Add(5 * time.Second); ; time.Sleep(time.Millisecond) {
		if bytes, ok := in.unanswered(); ok && bytes == BytesUnread {
			return
		}
		if time.Now().After(deadline) {
			t.Fatal("the request has not arrived")
		}
	}
}

// Guards against an idle timeout that discards a request which arrived before the timer fired.
func TestIdleTimeoutReadsWhatHasArrived(t *testing.T) {
	out, in := connect(t, openListener(t))
	write(t, out, in)
	if err := in.SetReadDeadline(time.Unix(1, 0)); err != nil {
		t.Fatal(err)
	}
	if n, err := in.Read(make([]byte, 16)); n != len("request") || err != nil {
		t.Errorf("read %d bytes, %v", n, err)
	}
}

// Guards against the loss of a request that has arrived when the waiting connections are closed, and against a
// waiting connection that stays open.
func TestCloseWaitingReadsWhatHasArrived(t *testing.T) {
	l := openListener(t)
	busyOut, busy := connect(t, l)
	_, waiting := connect(t, l)
	_, kept := connect(t, l)
	kept.RequestHandled(0)
	ended := make(chan error, 2)
	for _, c := range []*Conn{waiting, kept} {
		go func() {
			_, err := c.Read(make([]byte, 16))
			ended <- err
		}()
	}
	write(t, busyOut, busy)
	l.Connections.CloseWaiting(time.Now().Add(time.Minute))
	for range 2 {
		if err := <-ended; err != io.EOF {
			t.Errorf("a waiting connection ended with %v", err)
		}
	}
	if n, err := busy.Read(make([]byte, 16)); n != len("request") || err != nil {
		t.Errorf("read %d bytes, %v", n, err)
	}
	if got := l.Connections.Counts(); got != (Counts{Busy: 1}) {
		t.Errorf("open: %+v", got)
	}
	busy.RequestHandled(0)
	if _, err := busy.Read(make([]byte, 16)); err != io.EOF {
		t.Errorf("after its response the connection ended with %v", err)
	}
	if got := l.Connections.Counts(); got != (Counts{}) {
		t.Errorf("open at the end: %+v", got)
	}
}

// Guards against the loss of connections that callers have opened and that wait to be accepted.
func TestCloseAfterBacklogAcceptsWhatIsOpen(t *testing.T) {
	const opened = 50
	l := openListener(t)
	for range opened {
		dial(t, l)
	}
	closed := make(chan error, 1)
	go func() { closed <- l.CloseAfterBacklog() }()
	accepted := 0
	for ; ; accepted++ {
		c, err := l.Accept()
		if err != nil {
			break
		}
		defer c.Close()
	}
	if err := <-closed; err != nil || accepted != opened {
		t.Errorf("accepted %d of %d connections, %v", accepted, opened, err)
	}
}

// Guards against connections that end with an unanswered request and leave no trace.
func TestCloseReportsUnansweredRequest(t *testing.T) {
	l := openListener(t)
	var reported []RequestBytes
	l.Connections.OnUnanswered = func(bytes RequestBytes) { reported = append(reported, bytes) }
	unreadOut, unread := connect(t, l)
	write(t, unreadOut, unread)
	unread.Close()
	readOut, read := connect(t, l)
	write(t, readOut, read)
	if _, err := read.Read(make([]byte, 16)); err != nil {
		t.Fatal(err)
	}
	read.Close()
	read.Close()
	_, answered := connect(t, l)
	answered.RequestHandled(0)
	answered.Close()
	if len(reported) != 2 || reported[0] != BytesUnread || reported[1] != BytesRead {
		t.Errorf("reported %v", reported)
	}
}

// Guards against connections that end while their caller may be sending a request and leave no trace.
func TestCloseReportsTheWaitForARequest(t *testing.T) {
	l := openListener(t)
	var reported []WaitEnd
	l.Connections.OnWaitEnded = func(end WaitEnd) { reported = append(reported, end) }
	_, fresh := connect(t, l)
	fresh.Close()
	_, kept := connect(t, l)
	kept.RequestHandled(0)
	if err := kept.SetReadDeadline(time.Now().Add(20 * time.Millisecond)); err != nil {
		t.Fatal(err)
	}
	if n, err := kept.Read(make([]byte, 1)); n > 0 || err == nil {
		t.Fatalf("%d bytes, %v", n, err)
	}
	kept.Close()
	out, left := connect(t, l)
	left.RequestHandled(0)
	out.Close()
	if _, err := left.Read(make([]byte, 1)); err != io.EOF {
		t.Fatal(err)
	}
	left.Close()
	if len(reported) != 2 || !reported[0].Unused || reported[1].Unused || reported[1].Waited < 20*time.Millisecond {
		t.Errorf("reported %+v", reported)
	}
}

// noReuse announces nothing about the reuse of connections.
func noReuse() time.Duration { return 0 }
