package caller

import (
	"cmp"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"
	"golang.org/x/sys/unix"

	"github.com/yuccabridge/yuccabridge/internal/lifecycle"
)

// Listener accepts connections from callers.
type Listener struct {
	net.Listener
	// Connections holds the accepted connections.
	Connections *Connections
	// writeTimeout bounds each write; 0 means no bound.
	writeTimeout time.Duration
	ended        chan struct{} // closed when Accept has failed
	endOnce      sync.Once
}

func newListener(l net.Listener, writeTimeout time.Duration) *Listener {
	return &Listener{Listener: l, Connections: newConnections(), writeTimeout: writeTimeout, ended: make(chan struct{})}
}

// Accept implements net.Listener. At the limit of connections, one whose request does not arrive gives way to the new one;
// if there is none, the new one is closed.
func (l *Listener) Accept() (net.Conn, error) {
	for {
		inner, err := l.Listener.Accept()
		if err != nil {
			l.endOnce.Do(func() { close(l.ended) })
			return nil, err
		}
		c := &Conn{Conn: inner, connections: l.Connections, writeTimeout: l.writeTimeout, use: lifecycle.Accepted(time.Now()), address: addressOf(inner)}
		if l.Connections.admit(c, time.Now()) {
			return c, nil
		}
		inner.Close()
	}
}

// addressOf returns the address of the other end without its port.
func addressOf(c net.Conn) string {
	host, _, err := net.SplitHostPort(c.RemoteAddr().String())
	if err != nil {
		return c.RemoteAddr().String()
	}
	return host
}

const (
	// backlogTimeout bounds the wait for the connections in the backlog to be accepted, if that fails.
	backlogTimeout = 500 * time.Millisecond
	// backlogPollInterval is the time between two looks at the backlog.
	backlogPollInterval = 2 * time.Millisecond
)

// CloseAfterBacklog closes the listener once the connections that callers have opened are accepted: closing
// it resets the others, with requests that may have arrived on them. When it returns, Connections holds all
// connections that were accepted.
func (l *Listener) CloseAfterBacklog() error {
	for deadline := time.Now().Add(backlogTimeout); l.hasBacklog() && time.Now().Before(deadline); {
		time.Sleep(backlogPollInterval)
	}
	err := l.Listener.Close()
	select {
	case <-l.ended:
	case <-time.After(backlogTimeout): // nobody accepts
	}
	return err
}

// hasBacklog reports whether a connection waits to be accepted; false if that can't be found out.
func (l *Listener) hasBacklog() bool {
	sc, ok := l.Listener.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	ready := 0
	err = raw.Control(func(fd uintptr) {
		ready, _ = unix.Poll([]unix.PollFd{{Fd: int32(fd), Events: unix.POLLIN}}, 0)
	})
	return err == nil && ready > 0
}

// Listeners holds the open listeners of an instance.
type Listeners struct {
	Callers    *Listener
	Operations net.Listener
}

// receiveBufferBytes bounds the bytes that a connection from a caller has received and nobody has read. They count toward the
// memory of the machine, and the kernel would let them grow to megabytes for each connection. uploadBufferBytes replaces it
// while a body is read whose memory is reserved: one of 4 MB arrives in 4 s over a round trip of 100 ms.
const (
	receiveBufferBytes = 16 << 10
	uploadBufferBytes  = 128 << 10
)

// OpenListeners opens both listeners; when one fails, neither stays open. maxConnections limits the open connections of
// callers; 0 means no limit.
func OpenListeners(callerAddress, operationsAddress string, writeTimeout time.Duration, maxConnections int) (Listeners, error) {
	config := net.ListenConfig{Control: func(_, _ string, c syscall.RawConn) error {
		var err error
		// Connections inherit the size from the listener; the window that is announced first depends on it.
		controlErr := c.Control(func(fd uintptr) {
			err = unix.SetsockoptInt(int(fd), unix.SOL_SOCKET, unix.SO_RCVBUF, receiveBufferBytes)
		})
		return cmp.Or(controlErr, err)
	}}
	callers, err := config.Listen(context.Background(), "tcp", callerAddress)
	if err != nil {
		return Listeners{}, errors.Wrap(err, "listen for callers")
	}
	operations, err := net.Listen("tcp", operationsAddress)
	if err != nil {
		callers.Close()
		return Listeners{}, errors.Wrap(err, "listen for operations")
	}
	listener := newListener(callers, writeTimeout)
	listener.Connections.max = maxConnections
	return Listeners{Callers: listener, Operations: operations}, nil
}

// Close closes both listeners.
func (l Listeners) Close() {
	l.Callers.Close()
	l.Operations.Close()
}
