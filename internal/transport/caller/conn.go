package caller

import (
	"io"
	"net"
	"sync/atomic"
	"syscall"
	"time"
)

const (
	// lingerTimeout and maxLingerBytes bound how much of a refused request is read and
	// discarded before the connection closes. Closing a connection with unread bytes resets
	// it, and the caller may then never read the error response.
	lingerTimeout  = time.Second
	maxLingerBytes = 8 << 20
)

// Listener accepts connections from callers.
type Listener struct {
	net.Listener
	// WriteTimeout bounds each write; 0 means no bound.
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

// Conn is a connection from a caller. Each write has its own time limit, and Close first
// reads the rest of a refused request.
type Conn struct {
	net.Conn
	writeTimeout  time.Duration
	lingerOnClose atomic.Bool
}

// SyscallConn gives [upstream.PeerClosed] access to the socket.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

// Write gives each write its own time limit. The limit of the server library covers the whole
// response and would cut off a longer stream although its caller is reading.
func (c *Conn) Write(b []byte) (int, error) {
	if c.writeTimeout > 0 {
		if err := c.Conn.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(b)
}

// LingerOnClose makes Close read the rest of the request, because the response was sent
// before the request was read to its end.
func (c *Conn) LingerOnClose() { c.lingerOnClose.Store(true) }

// SetResetOnClose determines whether the end of the connection resets it, also if the process is
// killed: that shows the caller that a response without length or chunks is incomplete.
func (c *Conn) SetResetOnClose(reset bool) error {
	tcp, ok := c.Conn.(*net.TCPConn)
	if !ok {
		return nil
	}
	if reset {
		return tcp.SetLinger(0)
	}
	return tcp.SetLinger(-1)
}

// Close closes the connection, after reading the rest of a refused request.
func (c *Conn) Close() error {
	if c.lingerOnClose.Load() {
		c.discardUnread()
	}
	return c.Conn.Close()
}

func (c *Conn) discardUnread() {
	if halfCloser, ok := c.Conn.(interface{ CloseWrite() error }); ok && halfCloser.CloseWrite() != nil {
		return
	}
	if c.Conn.SetReadDeadline(time.Now().Add(lingerTimeout)) != nil {
		return
	}
	// The data is discarded; an error only means that there is no more of it.
	_, _ = io.CopyN(io.Discard, c.Conn, maxLingerBytes)
}
