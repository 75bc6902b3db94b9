package caller

import (
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/yuccabridge/yuccabridge/internal/lifecycle"
)

// Connections holds the open connections from callers, from their acceptance until they are closed.
type Connections struct {
	// OnUnanswered is called when a connection is closed although its caller waits for the answer to a
	// request, or a part of one, that has arrived; nil: nothing is called. It must be set before the first
	// connection is accepted.
	OnUnanswered func(RequestBytes)
	// OnWaitEnded is called when the instance closes a connection that waits for a request; nil: nothing is called.
	// It must be set before the first connection is accepted.
	OnWaitEnded func(WaitEnd)

	// OnEvicted is called when a connection is closed, or not accepted, so that there is room for others; nil: nothing is
	// called. It must be set before the first connection is accepted.
	OnEvicted func(Eviction)

	max int // open connections; 0: no limit

	// endsAt is set once connections that wait for a request end: at the latest then, whatever has been announced.
	endsAt atomic.Pointer[time.Time]

	mu        sync.Mutex
	open      map[*Conn]struct{}
	addresses map[string]int // open connections by address
}

// RequestBytes tells which bytes of a request a closed connection held.
type RequestBytes string

const (
	// BytesRead are bytes that the process has read.
	BytesRead RequestBytes = "read"
	// BytesUnread are bytes that have arrived and that the process has not read.
	BytesUnread RequestBytes = "unread"
)

// WaitEnd describes a connection that was closed while it waited for a request.
type WaitEnd struct {
	Caller string        // its address
	InStop bool          // the connections that wait for a request end
	Unused bool          // it has carried no request
	Waited time.Duration // since it was accepted, or since its last response was written
	// ReuseTimeout is the time for which the last response has announced that the connection may be used again; 0: none.
	ReuseTimeout time.Duration
}

func newConnections() *Connections {
	return &Connections{open: map[*Conn]struct{}{}, addresses: map[string]int{}}
}

// forget takes a connection out of the open ones; it reports false if it is none of them. The caller must hold mu.
func (s *Connections) forget(c *Conn) bool {
	if _, open := s.open[c]; !open {
		return false
	}
	delete(s.open, c)
	if s.addresses[c.address]--; s.addresses[c.address] == 0 {
		delete(s.addresses, c.address)
	}
	return true
}

// remove removes a connection that is about to be closed; further calls have no effect.
func (s *Connections) remove(c *Conn) {
	s.mu.Lock()
	open := s.forget(c)
	s.mu.Unlock()
	if !open {
		return
	}
	if bytes, ok := c.unanswered(); ok && s.OnUnanswered != nil {
		s.OnUnanswered(bytes)
	}
	if end, ok := c.waitEnd(); ok && s.OnWaitEnded != nil {
		s.OnWaitEnded(end)
	}
}

// Counts are numbers of open connections.
type Counts struct {
	Unused, Idle int // wait for the first, or for a further request
	Busy         int // carry a request or its response
}

// Total returns the number of open connections.
func (c Counts) Total() int { return c.Unused + c.Idle + c.Busy }

// Counts returns the numbers of open connections.
func (s *Connections) Counts() Counts {
	s.mu.Lock()
	defer s.mu.Unlock()
	var counts Counts
	for c := range s.open {
		switch c.currentPhase() {
		case lifecycle.Unused:
			counts.Unused++
		case lifecycle.Idle:
			counts.Idle++
		default:
			counts.Busy++
		}
	}
	return counts
}

// ending reports whether connections that wait for a request end.
func (s *Connections) ending() bool { return s.endsAt.Load() != nil }

// noteResponsesOnTheirWay lets the wait of the connections begin anew whose last response has not arrived at the caller:
// the caller counts the announced time from then.
func (s *Connections) noteResponsesOnTheirWay() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		if c.currentPhase() == lifecycle.Idle && hasUnacknowledged(c) {
			c.mu.Lock()
			c.use.ResponseOnItsWay(time.Now())
			c.mu.Unlock()
		}
	}
}

// hasUnacknowledged reports whether bytes have been written to the connection that its other end has not acknowledged; false
// if that can't be found out. It costs one system call.
func hasUnacknowledged(c *Conn) bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return false
	}
	var bytes int
	controlErr := raw.Control(func(fd uintptr) { bytes, err = unix.IoctlGetInt(int(fd), unix.SIOCOUTQ) })
	return controlErr == nil && err == nil && bytes > 0
}

// CloseWaiting ends the connections that wait for a request, and from now on each one that begins to wait; those
// that were accepted or answered a moment ago may still send a request, and those that may be used again by what their
// last response has announced, at most until a time. The goroutine that reads from a connection
// closes it, after it has looked for bytes that have arrived: nobody else knows whether a request has been read.
func (s *Connections) CloseWaiting(latest time.Time) {
	s.endsAt.Store(&latest)
	s.mu.Lock()
	defer s.mu.Unlock()
	for c := range s.open {
		c.replaceReadDeadline(time.Unix(1, 0)) // wakes the reader
	}
}
