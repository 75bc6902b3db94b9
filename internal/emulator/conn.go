package emulator

import (
	"net"
	"sync"
	"sync/atomic"
	"time"
)

// conn is a connection of a stand-in. It can watch for the peer's close while a
// request is being handled, which fasthttp does not do by itself.
type conn struct {
	net.Conn
	owner  *server
	silent atomic.Bool

	mu     sync.Mutex
	peeked []byte
}

// Read returns a byte that the watch has read ahead before it reads on.
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
		return 0, c.drain()
	}
	return n, err
}

// Write blocks on a silent connection until the peer or the stand-in closes it.
func (c *conn) Write(p []byte) (int, error) {
	if c.silent.Load() {
		return 0, c.drain()
	}
	return c.Conn.Write(p)
}

// drain reads and drops everything until the connection ends.
func (c *conn) drain() error {
	var sink [512]byte
	for {
		if _, err := c.Conn.Read(sink[:]); err != nil {
			return err
		}
	}
}

// Close removes the connection from its server's set.
func (c *conn) Close() error {
	c.owner.mu.Lock()
	delete(c.owner.conns, c)
	c.owner.mu.Unlock()
	return c.Conn.Close()
}

// reset closes the connection with a TCP reset, as a crashed process does.
func (c *conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0)
	}
	_ = c.Close()
}

// watch calls closed once when the peer closes the connection. The returned
// function ends the watch; it must be called before the next request is read.
func (c *conn) watch(closed func()) (stop func()) {
	var stopping atomic.Bool
	done := make(chan struct{})
	go func() {
		defer close(done)
		var one [1]byte
		n, err := c.Conn.Read(one[:])
		if n > 0 {
			c.mu.Lock()
			c.peeked = append(c.peeked, one[:n]...)
			c.mu.Unlock()
			return
		}
		if err != nil && !stopping.Load() {
			closed()
		}
	}()
	return func() {
		stopping.Store(true)
		_ = c.Conn.SetReadDeadline(time.Unix(1, 0))
		<-done
		_ = c.Conn.SetReadDeadline(time.Time{})
	}
}
