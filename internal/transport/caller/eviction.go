package caller

import (
	"cmp"
	"time"

	"github.com/yuccabridge/yuccabridge/internal/lifecycle"
)

// arrival is the arrival of a request.
type arrival struct {
	began    time.Time // when its first byte was read
	complete bool      // it has arrived in full
}

// EvictionReason is why a connection was closed to make room, or not accepted.
type EvictionReason string

// Reasons.
const (
	// EvictedUnused means that the connection had carried no request for a while.
	EvictedUnused EvictionReason = "unused"
	// EvictedIdle means that it had waited for a further request for longer than the last response has announced.
	EvictedIdle EvictionReason = "idle"
	// EvictedSlow means that its request had not arrived in full for a while.
	EvictedSlow EvictionReason = "slow"
	// EvictedMemory means that the body of its request took memory that others waited for.
	EvictedMemory EvictionReason = "memory"
	// NotAccepted means that the limit of connections was reached and none could be closed.
	NotAccepted EvictionReason = "refused"
)

// Eviction describes a connection that was closed to make room, or not accepted.
type Eviction struct {
	Caller   string // its address
	Reason   EvictionReason
	Received int64         // bytes of its request
	After    time.Duration // since the request began, or the connection began to wait
}

const (
	// evictableAfter is how long a request may be on its way, or a connection without a first request, before it can be
	// closed to make room. A caller that keeps sending has most bodies delivered by then.
	evictableAfter = 500 * time.Millisecond
	// maxAddressShare is the part of the connections that one address may hold when there is no room: one in two. Callers
	// behind one proxy or balancer share an address, so it is a matter of order only while nobody else needs room.
	maxAddressShare = 2
)

// RequestReceived records that the request has arrived in full.
func (c *Conn) RequestReceived() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.arrival.complete = true
}

// evictable is a connection that may give way to others: the smaller rank the sooner, and within a rank the smaller rate.
type evictable struct {
	conn   *Conn
	reason EvictionReason
	held   int // connections of the same address
	rank   int
	rate   float64 // bytes per second of the request
	after  time.Duration
}

// evictability returns how the connection may give way; false if it must not.
func (c *Conn) evictability(now time.Time) (evictable, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e := evictable{conn: c}
	switch c.use.Phase() {
	case lifecycle.Unused:
		e.reason, e.after = EvictedUnused, c.use.Waited(now)
	case lifecycle.Idle:
		e.reason, e.rank, e.after = EvictedIdle, 2, c.use.Waited(now)-c.use.LeastWait()
	case lifecycle.Reading:
		if c.arrival.complete {
			return e, false
		}
		e.reason, e.rank, e.after = EvictedSlow, 1, now.Sub(c.arrival.began)
		e.rate = float64(c.received.Load()) / max(e.after, time.Millisecond).Seconds()
	default:
		return e, false
	}
	if e.after < evictableAfter {
		return e, false
	}
	if e.rank != 1 {
		e.rate = -e.after.Seconds() // the longest first
	}
	return e, true
}

// admit adds a connection that was accepted. At the limit, another one is closed for it, or it is refused.
func (s *Connections) admit(c *Conn, now time.Time) bool {
	s.mu.Lock()
	full := s.max > 0 && len(s.open) >= s.max
	var victim *evictable
	if full {
		if victim = s.victim(c, now); victim != nil {
			s.forget(victim.conn)
		}
	}
	admitted := !full || victim != nil
	if admitted {
		s.open[c] = struct{}{}
		s.addresses[c.address]++
	}
	s.mu.Unlock()
	switch {
	case victim != nil:
		victim.conn.evict(victim.reason, victim.after)
	case !admitted:
		s.report(c, NotAccepted, 0)
	}
	return admitted
}

// victim returns the connection that gives way to another one; nil if there is none. An address that holds its share gets
// no connection at the expense of another address. The caller must hold mu.
func (s *Connections) victim(newcomer *Conn, now time.Time) *evictable {
	onlyOwn := s.addresses[newcomer.address] >= s.max/maxAddressShare
	var first *evictable
	for c := range s.open {
		if onlyOwn && c.address != newcomer.address {
			continue
		}
		e, ok := c.evictability(now)
		if !ok {
			continue
		}
		e.held = s.addresses[c.address]
		if first == nil || e.before(*first) {
			first = &e
		}
	}
	return first
}

func (e evictable) before(other evictable) bool {
	return cmp.Or(cmp.Compare(other.held, e.held), cmp.Compare(e.rank, other.rank), cmp.Compare(e.rate, other.rate)) < 0
}

// evict closes the connection to make room. The goroutine that reads from it ends its request.
func (c *Conn) evict(reason EvictionReason, after time.Duration) {
	c.connections.mu.Lock()
	c.connections.forget(c)
	c.connections.mu.Unlock()
	c.connections.report(c, reason, after)
	c.Conn.Close()
}

func (s *Connections) report(c *Conn, reason EvictionReason, after time.Duration) {
	if s.OnEvicted != nil {
		s.OnEvicted(Eviction{Caller: c.address, Reason: reason, Received: c.received.Load(), After: after})
	}
}

// Open returns the number of open connections.
func (s *Connections) Open() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.open)
}
