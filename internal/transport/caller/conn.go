package caller

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// lingerTime and lingerBytes bound how much of a refused request is read and
	// dropped. Closing a connection with unread bytes resets it, and the caller may
	// then never see the error.
	lingerTime  = time.Second
	lingerBytes = 8 << 20
)

// Listener accepts callers' connections.
type Listener struct {
	net.Listener
	// WriteTimeout bounds each write; 0: no bound.
	WriteTimeout time.Duration
}

// Accept implements net.Listener.
func (l Listener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &Conn{Conn: c, writeTimeout: l.WriteTimeout}, nil
}

// Conn is a connection of a caller. It bounds each write on its own, and reads the rest of a refused request before
// it closes.
type Conn struct {
	net.Conn
	writeTimeout time.Duration
	refused      atomic.Bool
}

// SyscallConn gives access to the socket for [upstream.PeerClosed].
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

// Write bounds each write on its own. The server library's time limit covers the whole
// answer, and would cut a stream that takes longer although its caller reads.
func (c *Conn) Write(b []byte) (int, error) {
	if c.writeTimeout > 0 {
		if err := c.Conn.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(b)
}

// Refuse marks the connection as one whose request was answered before it was read to the
// end.
func (c *Conn) Refuse() { c.refused.Store(true) }

// Close implements net.Conn.
func (c *Conn) Close() error {
	if c.refused.Load() {
		c.drain()
	}
	return c.Conn.Close()
}

func (c *Conn) drain() {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() != nil {
		return
	}
	if c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	// The bytes are dropped; an error only means that there are no more.
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
}
