package lifecycle

import "time"

// Phase is what a connection from a caller is being used for.
type Phase int

// Phases of a connection.
const (
	Unused   Phase = iota // no byte has arrived yet
	Idle                  // a response has been written, and no byte of a further request has been read
	Reading               // a request has been read, at least in part
	Answered              // the request has been handled; its response may still be written
)

// String returns the name of the phase.
func (p Phase) String() string { return [...]string{"unused", "idle", "reading", "answered"}[p] }

const (
	// FirstRequestTimeout is how long a connection may be unused in a stop after the drain delay: the first request
	// follows the handshake.
	FirstRequestTimeout = 500 * time.Millisecond
	// nextRequestTimeout is how long a connection may be idle then if nothing has been announced: a response that began
	// before the stop has not announced the end of the connection, and the caller may be sending its next request.
	nextRequestTimeout = 300 * time.Millisecond
	// reuseMargin is the time that a request and the response before it may take on their way together: the caller
	// counts the announced time from when it has received the response.
	reuseMargin = 500 * time.Millisecond
	// maxResponseDelay bounds how long a stop takes a response to be on its way: its caller may be gone.
	maxResponseDelay = 2 * time.Second
)

// ReuseTimeout returns for how long after a response its caller may use the connection again, in whole seconds as
// the header Keep-Alive gives it; 0 if there is no such time. A request that is sent in that time arrives before the
// connection is closed, by the idle timeout or at the end of the drain delay of a stop that begins after the response.
func ReuseTimeout(drainDelay, idleTimeout time.Duration) time.Duration {
	return max(min(drainDelay, idleTimeout)-reuseMargin, 0).Truncate(time.Second)
}

// Connection is what an instance knows of a connection from a caller. The zero value is not usable.
type Connection struct {
	phase        Phase
	writtenAt    time.Time     // when the last response had been written
	waitingSince time.Time     // when it was accepted, or the last response had been written or was still on its way
	reuseTimeout time.Duration // for which the last response has said that the connection may be used again
}

// Accepted returns a connection that has been accepted.
func Accepted(now time.Time) Connection { return Connection{waitingSince: now} }

// Phase returns the current phase.
func (c *Connection) Phase() Phase { return c.phase }

// Waiting reports whether the connection waits for a request.
func (c *Connection) Waiting() bool { return c.phase == Unused || c.phase == Idle }

// Waited returns for how long it has waited.
func (c *Connection) Waited(now time.Time) time.Duration { return now.Sub(c.waitingSince) }

// ReuseTimeout returns for how long the last response has announced that the connection may be used again; 0: none.
func (c *Connection) ReuseTimeout() time.Duration { return c.reuseTimeout }

// RequestBegan records that bytes of a request have been read.
func (c *Connection) RequestBegan() { c.phase, c.reuseTimeout = Reading, 0 }

// RequestHandled records that the response is written next, and for how long it announces that the connection may be
// used again.
func (c *Connection) RequestHandled(reuseTimeout time.Duration) {
	c.phase, c.reuseTimeout = Answered, reuseTimeout
}

// Await reports whether the next bytes belong to a new request. The response before it has been written.
func (c *Connection) Await(now time.Time) bool {
	if c.phase == Answered {
		c.phase, c.writtenAt, c.waitingSince = Idle, now, now
	}
	return c.Waiting()
}

// ResponseOnItsWay records that the last response has not arrived at the caller yet: the wait begins anew. It has no
// effect once the response has been on its way for longer than maxResponseDelay.
func (c *Connection) ResponseOnItsWay(now time.Time) {
	if c.phase == Idle && now.Sub(c.writtenAt) <= maxResponseDelay {
		c.waitingSince = now
	}
}

// LeastWait returns how long the connection must wait for the next request, by what has been announced.
func (c *Connection) LeastWait() time.Duration {
	if c.reuseTimeout == 0 {
		return 0
	}
	return c.reuseTimeout + reuseMargin
}

// WaitUntil returns until when the connection waits for a request while the instance serves.
func (c *Connection) WaitUntil(idleTimeout time.Duration) time.Time {
	return c.waitingSince.Add(max(idleTimeout, c.LeastWait()))
}

// WaitInStopUntil returns until when the connection waits for a request after the drain delay. What has been announced
// holds, at most until the requests in progress are ended.
func (c *Connection) WaitInStopUntil(endsAt time.Time) time.Time {
	if c.phase == Unused {
		return c.waitingSince.Add(FirstRequestTimeout)
	}
	until := c.waitingSince.Add(nextRequestTimeout)
	announced := c.waitingSince.Add(c.LeastWait())
	if announced.After(endsAt) {
		announced = endsAt
	}
	if announced.After(until) {
		return announced
	}
	return until
}
