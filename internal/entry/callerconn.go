package entry

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

// callerListener accepts callers' connections.
type callerListener struct {
	net.Listener
	writeTimeout time.Duration
}

// Accept implements net.Listener.
func (l callerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &callerConn{Conn: c, writeTimeout: l.writeTimeout}, nil
}

// callerConn bounds each write on its own, and reads the rest of a refused request before
// it closes.
type callerConn struct {
	net.Conn
	writeTimeout time.Duration
	refused      atomic.Bool
}

// SyscallConn gives access to the socket for [upstream.PeerClosed].
func (c *callerConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

// Write bounds each write on its own. The server library's time limit covers the whole
// answer, and would cut a stream that takes longer although its caller reads.
func (c *callerConn) Write(b []byte) (int, error) {
	if c.writeTimeout > 0 {
		if err := c.Conn.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *callerConn) Close() error {
	if c.refused.Load() {
		c.drain()
	}
	return c.Conn.Close()
}

func (c *callerConn) drain() {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() != nil {
		return
	}
	if c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	// The bytes are dropped; an error only means that there are no more.
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
}
