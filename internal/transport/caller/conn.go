package caller

import (
	"io"
	"net"
	"os"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccabridge/yuccabridge/internal/lifecycle"
	"github.com/yuccabridge/yuccabridge/internal/transport/upstream"
)

const (
	// lingerTimeout and maxLingerBytes bound how much of a refused request is read and
	// discarded before the connection closes. Closing a connection with unread bytes resets
	// it, and the caller may then never read the error response.
	lingerTimeout  = time.Second
	maxLingerBytes = 8 << 20
)

// Conn is a connection from a caller. Each write has its own time limit, and Close first
// reads the rest of a refused request.
type Conn struct {
	net.Conn
	connections   *Connections
	address       string // of the caller, without a port
	writeTimeout  time.Duration
	lingerOnClose atomic.Bool
	received      atomic.Int64 // bytes of the request that is being received

	mu       sync.Mutex
	use      lifecycle.Connection
	arrival  arrival
	readBy   time.Time // the read deadline that the server has set; zero: none
	replaced bool      // another read deadline is in effect, until a request begins
}

func (c *Conn) currentPhase() lifecycle.Phase {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.use.Phase()
}

// Waiting reports whether the next read waits for a request.
func (c *Conn) Waiting() bool { return c.currentPhase() != lifecycle.Reading }

// RequestBegan marks the connection as carrying a request of which bytes have been read.
func (c *Conn) RequestBegan() {
	// It fails only if the connection is closed; the read of the rest fails, too.
	_ = c.beginRequest()
}

// RequestHandled marks the request on the connection as handled: the next read waits for another one. The response
// announces for how long the caller may use the connection again; 0: it doesn't.
func (c *Conn) RequestHandled(reuseTimeout time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.use.RequestHandled(reuseTimeout)
}

// LeastWait returns how long the connection must wait for the next request, by what the last response has announced.
func (c *Conn) LeastWait() time.Duration {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.use.LeastWait()
}

// SetReadDeadline implements net.Conn.
func (c *Conn) SetReadDeadline(t time.Time) error {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.readBy, c.replaced = t, false
	return c.Conn.SetReadDeadline(t)
}

// SetDeadline implements net.Conn.
func (c *Conn) SetDeadline(t time.Time) error {
	if err := c.SetReadDeadline(t); err != nil {
		return err
	}
	return c.SetWriteDeadline(t)
}

// unreadTimeout is the least time in which the rest of a request may arrive whose first bytes arrived before a
// read deadline.
const unreadTimeout = time.Second

// Read implements io.Reader. The wait for a request ends, by a timeout or because the instance stops, only if
// nothing has arrived: a timer may fire before the goroutine that reads gets to run.
func (c *Conn) Read(b []byte) (int, error) {
	if !c.beginWait() {
		n, err := c.Conn.Read(b)
		c.received.Add(int64(n))
		return n, err
	}
	for !c.connections.ending() || c.mayWaitLonger() {
		n, err := c.Conn.Read(b)
		if n > 0 {
			if deadlineErr := c.beginRequest(); err == nil {
				err = deadlineErr
			}
			c.received.Add(int64(n))
			return n, err
		}
		timedOut := errors.Is(err, os.ErrDeadlineExceeded)
		if !timedOut || !c.connections.ending() && !c.expectUnread() {
			return n, err
		}
	}
	c.Close()
	return 0, io.EOF
}

// beginWait reports whether the next bytes belong to a new request.
func (c *Conn) beginWait() bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.use.Await(time.Now())
}

// beginRequest records that a request has begun, and restores the deadline for the rest of it.
func (c *Conn) beginRequest() error {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.use.Phase() != lifecycle.Reading {
		c.arrival = arrival{began: time.Now()}
		c.received.Store(0)
	}
	c.use.RequestBegan()
	if !c.replaced {
		return nil
	}
	c.replaced = false
	readBy := c.readBy
	if least := time.Now().Add(unreadTimeout); !readBy.IsZero() && readBy.Before(least) {
		readBy = least
	}
	return c.Conn.SetReadDeadline(readBy)
}

// mayWaitLonger reports whether a connection stays open although the waiting connections are closed.
func (c *Conn) mayWaitLonger() bool {
	if c.expectUnread() {
		return true
	}
	until := c.mayWaitUntil()
	return time.Now().Before(until) && !upstream.PeerClosed(c) && c.replaceReadDeadline(until)
}

// mayWaitUntil returns until when a connection that has begun to wait a moment ago stays open for its next request.
func (c *Conn) mayWaitUntil() time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.use.WaitInStopUntil(*c.connections.endsAt.Load())
}

// expectUnread reports whether bytes have arrived that have not been read, and allows time to read them.
func (c *Conn) expectUnread() bool {
	return upstream.HasUnread(c) && c.replaceReadDeadline(time.Now().Add(unreadTimeout))
}

// replaceReadDeadline replaces the read deadline while the connection waits for a request. It returns false if the
// connection is closed or carries a request.
func (c *Conn) replaceReadDeadline(t time.Time) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.use.Waiting() {
		return false
	}
	c.replaced = true
	return c.Conn.SetReadDeadline(t) == nil
}

// unanswered returns which bytes of a request the connection holds, if its caller still waits for the answer.
func (c *Conn) unanswered() (RequestBytes, bool) {
	switch c.currentPhase() {
	case lifecycle.Reading:
		return BytesRead, !upstream.PeerClosed(c)
	case lifecycle.Unused, lifecycle.Idle:
		return BytesUnread, upstream.HasUnread(c)
	}
	return "", false
}

// waitEnd returns how long the connection has waited for a request, unless its caller has closed it.
func (c *Conn) waitEnd() (WaitEnd, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.use.Waiting() || upstream.PeerClosed(c) {
		return WaitEnd{}, false
	}
	return WaitEnd{Caller: c.RemoteAddr().String(), InStop: c.connections.ending(), Unused: c.use.Phase() == lifecycle.Unused, Waited: c.use.Waited(time.Now()), ReuseTimeout: c.use.ReuseTimeout()}, true
}

// SyscallConn gives [upstream.PeerClosed] access to the socket.
func (c *Conn) SyscallConn() (syscall.RawConn, error) {
	return c.Conn.(syscall.Conn).SyscallConn()
}

// Write gives each write its own time limit. The limit of the server library covers the whole
// response and would cut off a longer stream although its caller is reading.
func (c *Conn) Write(b []byte) (int, error) {
	c.markRefused()
	if c.writeTimeout > 0 {
		if err := c.Conn.SetWriteDeadline(time.Now().Add(c.writeTimeout)); err != nil {
			return 0, err
		}
	}
	return c.Conn.Write(b)
}

// markRefused marks a connection as answered on which the server responds before it has read a request.
func (c *Conn) markRefused() {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.use.Phase() == lifecycle.Unused {
		c.use.RequestHandled(0)
	}
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
	c.connections.remove(c)
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
