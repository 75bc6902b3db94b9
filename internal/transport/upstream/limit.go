package upstream

import (
	"net"
	"sync"
	"time"
)

// giveUpInterval is how often giveUp is asked after the end of a limit.
const giveUpInterval = 100 * time.Millisecond

// readLimit bounds reads of a connection by a timeout. At its end, and every giveUpInterval from then on, giveUp
// decides whether they fail.
type readLimit struct {
	conn   net.Conn
	giveUp func() bool

	mu      sync.Mutex
	timer   *time.Timer
	stopped bool
	expired bool
}

// expiredDeadline is a read deadline that has passed.
var expiredDeadline = time.Unix(1, 0)

// limitReads starts a limit, which must be stopped.
func limitReads(c net.Conn, timeout time.Duration, giveUp func() bool) *readLimit {
	l := &readLimit{conn: c, giveUp: giveUp}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.timer = time.AfterFunc(timeout, l.decide)
	return l
}

func (l *readLimit) decide() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.stopped {
		return
	}
	if !l.giveUp() {
		l.timer.Reset(giveUpInterval)
		return
	}
	l.expired = true
	// It fails only if the connection is closed; then the read fails, too.
	_ = l.conn.SetReadDeadline(expiredDeadline)
}

// apply sets the read deadline of the connection, on which another one may have been set before.
func (l *readLimit) apply() error {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.expired {
		return l.conn.SetReadDeadline(expiredDeadline)
	}
	return l.conn.SetReadDeadline(time.Time{})
}

// stop ends the limit. giveUp does not run when it has returned. It may be called on nil.
func (l *readLimit) stop() {
	if l == nil {
		return
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.stopped = true
	l.timer.Stop()
}
