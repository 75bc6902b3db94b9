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

// lingerListener accepts connections that can be closed without a reset.
type lingerListener struct {
	net.Listener
	writeTimeout time.Duration
}

// Accept implements net.Listener.
func (l lingerListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return &lingerConn{Conn: c, writeTimeout: l.writeTimeout}, nil
}

// lingerConn reads the rest of a refused request before it closes.
type lingerConn struct {
	net.Conn
	writeTimeout time.Duration
	refused      atomic.Bool
}

// SyscallConn gives access to the socket for [upstream.PeerClosed].
func (c *lingerConn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

// Write bounds each write on its own. The server library's time limit covers the whole
// answer, and would cut a stream that takes longer although its caller reads.
func (c *lingerConn) Write(b []byte) (int, error) {
	if c.writeTimeout > 0 {
		if err := c.Conn.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(b)
}

// Close implements net.Conn.
func (c *lingerConn) Close() error {
	if c.refused.Load() {
		c.drain()
	}
	return c.Conn.Close()
}

func (c *lingerConn) drain() {
	if half, ok := c.Conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() != nil {
		return
	}
	if c.Conn.SetReadDeadline(time.Now().Add(lingerTime)) != nil {
		return
	}
	// The bytes are dropped; an error only means that there are no more.
	_, _ = io.CopyN(io.Discard, c.Conn, lingerBytes)
}
