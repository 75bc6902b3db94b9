package lifecycle

import (
	"sync"
	"time"
)

// State is a state in the life of an instance. States only increase.
type State int

// States of an instance.
const (
	Starting State = iota // it does not know enough to serve
	Serving
	Leaving  // told to stop; the balancer may not know of it yet
	Draining // requests in progress are completed
	Ending   // requests in progress are ended, so that they are answered
	Stopped
)

// String returns the name of the state.
func (s State) String() string {
	return [...]string{"starting", "serving", "leaving", "draining", "ending", "stopped"}[s]
}

const (
	// ExitMargin is the part of the grace period reserved for the last answers and the exit of the process.
	ExitMargin = 400 * time.Millisecond
	// LastAnswersTime bounds the wait for the answers to requests that the end of the grace period has ended.
	LastAnswersTime = ExitMargin / 2
)

// Options are the bounds of a planned stop.
type Options struct {
	// DrainDelay is how long connections are taken after Stop: the balancer may not know of the stop before.
	DrainDelay time.Duration
	// Grace is how long after Stop the process may run.
	Grace time.Duration
}

// Life is the life of an instance. It is safe for concurrent use.
type Life struct {
	options Options
	serving chan struct{} // closed by Serve

	mu            sync.RWMutex
	state         State
	mayServe      bool
	stoppingSince time.Time
	endingSince   time.Time
}

// New returns the life of an instance that starts.
func New(o Options) *Life { return &Life{options: o, serving: make(chan struct{})} }

// State returns the current state.
func (l *Life) State() State {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.state
}

// Serve records that the instance knows enough to serve. It may have been told to stop meanwhile: the requests that have
// waited for this are served then, too.
func (l *Life) Serve() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.mayServe {
		return
	}
	l.mayServe = true
	close(l.serving)
	if l.state == Starting {
		l.state = Serving
	}
}

// Serving is closed when the instance knows enough to serve.
func (l *Life) Serving() <-chan struct{} { return l.serving }

// MayServe reports whether the instance knows enough to serve.
func (l *Life) MayServe() bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.mayServe
}

// Stop begins a planned stop.
func (l *Life) Stop(now time.Time) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.state < Leaving {
		l.state, l.stoppingSince = Leaving, now
	}
}

// Advance enters the next state if it is due. The caller carries out what the entered state demands, and calls it again.
func (l *Life) Advance(now time.Time, inProgress int) (s State, entered bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	switch {
	case l.state == Leaving && !now.Before(l.stoppingSince.Add(l.options.DrainDelay)):
		l.state = Draining
	case l.state == Draining && (inProgress == 0 || !now.Before(l.endsAt())):
		l.state, l.endingSince = Ending, now
	case l.state == Ending && (inProgress == 0 || !now.Before(l.endingSince.Add(LastAnswersTime))):
		l.state = Stopped
	default:
		return l.state, false
	}
	return l.state, true
}

// Ready reports whether new connections should come to the instance.
func (l *Life) Ready() bool { return l.State() == Serving }

// Stops reports whether the instance has been told to stop: answers announce the end of their connections.
func (l *Life) Stops() bool { return l.State() >= Leaving }

// StoppingSince returns when the stop began; the zero time if it has not.
func (l *Life) StoppingSince() time.Time {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.stoppingSince
}

// EndsAt returns when the requests that are in progress in a stop are ended.
func (l *Life) EndsAt() time.Time {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.endsAt()
}

func (l *Life) endsAt() time.Time { return l.stoppingSince.Add(l.options.Grace - ExitMargin) }

// Takes reports whether the instance takes a request that has ended by a time: after the drain delay only if the
// instance does not end before.
func (l *Life) Takes(endsBy time.Time) bool {
	l.mu.RLock()
	defer l.mu.RUnlock()
	return l.state < Draining || l.state == Draining && !endsBy.After(l.endsAt())
}
