package emulator

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// conn is a connection accepted by a stand-in. It can detect that the peer closes it
// while a request is being handled, which fasthttp does not do.
type conn struct {
	net.Conn
	server *server
	silent atomic.Bool

	mu     sync.Mutex
	peeked []byte
}

// Read returns the bytes that watchClose has read ahead before it reads from the
// connection. On a silent connection it blocks until the connection ends.
func (c *conn) Read(p []byte) (int, error) {
	c.mu.Lock()
	if len(c.peeked) > 0 {
		n := copy(p, c.peeked)
		c.peeked = c.peeked[n:]
		c.mu.Unlock()
		return n, nil
	}
	c.mu.Unlock()
	n, err := c.Conn.Read(p)
	if err == nil && c.silent.Load() {
		return 0, c.discardInput()
	}
	return n, err
}

// Write sends p. On a silent connection it blocks until the peer or the stand-in closes
// the connection.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return 0, c.discardInput()
	}
	return c.Conn.Write(p)
}

// discardInput reads and discards everything until the connection ends.
func (c *conn) discardInput() error {
	var buf [512]byte
	for {
		if _, err := c.Conn.Read(buf[:]); err != nil {
			return err
		}
	}
}

// Close closes the connection and removes it from its server's set.
func (c *conn) Close() error {
	c.server.mu.Lock()
	delete(c.server.conns, c)
	c.server.mu.Unlock()
	return c.Conn.Close()
}

// reset closes the connection with a TCP reset, as a crashed process does.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// watchClose calls onClose once when the peer closes the connection. The returned
// function stops the watch. It must be called before the next request is read, because
// the watch reads from the connection.
func (c *conn) watchClose(onClose func()) (stop func()) {
	var stopping atomic.Bool
	done := make(chan struct{})
	go func() {
		defer close(done)
		var buf [1]byte
		n, err := c.Conn.Read(buf[:])
		if n > 0 {
			c.mu.Lock()
			c.peeked = append(c.peeked, buf[:n]...)
			c.mu.Unlock()
			return
		}
		if err != nil && !stopping.Load() {
			onClose()
		}
	}()
	return func() {
		stopping.Store(true)
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
		<-done
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
}
