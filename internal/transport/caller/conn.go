package caller

import (
	"io"
	"net"
	"os"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccabridge/yuccabridge/internal/transport/upstream"
)

const (
	// lingerTimeout and maxLingerBytes bound how much of a refused request is read and
	// discarded before the connection closes. Closing a connection with unread bytes resets
	// it, and the caller may then never read the error response.
	lingerTimeout  = time.Second
	maxLingerBytes = 8 << 20
)

// phase is what a connection is being used for.
type phase int32

const (
	unused   phase = iota // no byte has arrived yet
	idle                  // a response has been written, and no byte of a further request has been read
	reading               // a request has been read, at least in part
	answered              // the request has been handled; its response may still be written
)

// waiting reports whether the connection waits for a request.
func (p phase) waiting() bool { return p == unused || p == idle }

// Conn is a connection from a caller. Each write has its own time limit, and Close first
// reads the rest of a refused request.
type Conn struct {
	net.Conn
	connections   *Connections
	writeTimeout  time.Duration
	phase         atomic.Int32
	lingerOnClose atomic.Bool
}

func (c *Conn) currentPhase() phase { return phase(c.phase.Load()) }

// Waiting reports whether the next read waits for a request.
func (c *Conn) Waiting() bool { return c.currentPhase() != reading }

// RequestHandled marks the request on the connection as handled: the next read waits for another one.
func (c *Conn) RequestHandled() { c.phase.Store(int32(answered)) }

// unreadTimeout is the read deadline for bytes that have arrived already.
const unreadTimeout = time.Second

// Read implements io.Reader. The wait for a request ends, by a timeout or because the instance stops, only if
// nothing has arrived: a timer may fire before the goroutine that reads gets to run.
func (c *Conn) Read(b []byte) (int, error) {
	c.phase.CompareAndSwap(int32(answered), int32(idle))
	if !c.currentPhase().waiting() {
		return c.Conn.Read(b)
	}
	for !c.connections.ending.Load() || c.expectUnread() {
		n, err := c.Conn.Read(b)
		if n > 0 {
			c.phase.Store(int32(reading))
			return n, err
		}
		timedOut := errors.Is(err, os.ErrDeadlineExceeded)
		if !timedOut || !c.connections.ending.Load() && !c.expectUnread() {
			return n, err
		}
	}
	c.Close()
	return 0, io.EOF
}

// expectUnread reports whether bytes have arrived that have not been read, and allows time to read them.
func (c *Conn) expectUnread() bool {
	return upstream.HasUnread(c) && c.Conn.SetReadDeadline(time.Now().Add(unreadTimeout)) == nil
}

// unanswered returns which bytes of a request the connection holds, if its caller still waits for the answer.
func (c *Conn) unanswered() (RequestBytes, bool) {
	switch phase := c.currentPhase(); {
	case phase == reading:
		return BytesRead, !upstream.PeerClosed(c)
	case phase.waiting():
		return BytesUnread, upstream.HasUnread(c)
	}
	return "", false
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
