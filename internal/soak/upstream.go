package soak

import (
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/yuccabridge/yuccabridge/platform/standin"
)

// upstream is an upstream stand-in with its proxy and the numbers of its active faults.
type upstream struct {
	*standin.Upstream
	proxy                                                *proxy
	activeBreaks, activeRejections, activeStaleResponses atomic.Int32
	activeFaultsOfMany                                   atomic.Int32 // raise the share of affected requests
	activePauses, activeEndless, activeEnds              atomic.Int32
	activeLeaving, activePausing                         atomic.Int32
	bornMS                                               atomic.Int64 // Unix time of the last start after a crash
	linkFaults                                           faultIntervals
	removals                                             faultIntervals // times without an entry
	removalMu                                            sync.Mutex
	publish                                              func() // publishes the registration
	reportError                                          func(error)

	registrationMu sync.Mutex
	state          registrationState // published last

	mu           sync.Mutex
	rng          *rand.Rand
	down, closed bool
	crashes      []upstreamCrash
	limit        float64 // stated now; 0 if there is none
	version      string  // of its software
	domain       string  // failure domain
	// limitIntervals are the times at which a limit was stated.
	limitIntervals []limitInterval
	endPause       func()
	statements     []statement
}

const (
	eventsPerStream = 8
	eventInterval   = 15 * time.Millisecond
	// longEventInterval makes a stream last for more than a second.
	longEventInterval = 130 * time.Millisecond
	responseDelay     = 8 * time.Millisecond
	breakAfterEvents  = 3
	// faultyRequestShare is the fraction of requests that an active upstream fault affects.
	faultyRequestShare = 0.4
	// faultyShareOfMany replaces faultyRequestShare while several upstreams have the fault.
	faultyShareOfMany = 0.85
	// minRestart and maxRestart limit the time until a crashed upstream runs again.
	minRestart, maxRestart = 500 * time.Millisecond, 2 * time.Second
)

func (u *upstream) behaviour(execution standin.Execution) standin.Behaviour {
	if crashesUpstreams(execution.URI) {
		go u.crash(execution.URI)
		return standin.Behaviour{BreakAfter: 1}
	}
	if strings.HasPrefix(execution.URI, crashingStreamPrefix) {
		time.AfterFunc(breakAfterEvents*eventInterval, func() { u.crash(execution.URI) })
		return standin.Behaviour{Events: eventsPerStream, Delay: eventInterval, BreakAfter: breakAfterEvents}
	}
	if hasDeadlyPart(execution) {
		go u.crash(deadlyPart)
		return standin.Behaviour{BreakAfter: 1}
	}
	share := faultyRequestShare
	if u.activeFaultsOfMany.Load() > 0 {
		share = faultyShareOfMany
	}
	u.mu.Lock()
	faulty, limit, variant := u.rng.Float64() < share, u.limit, u.rng.IntN(len(standin.EndlessResponses))
	u.mu.Unlock()
	b := standin.Behaviour{Delay: responseDelay, Limit: limit}
	if strings.HasPrefix(execution.URI, streamPrefix) {
		b.Events, b.Delay = eventsPerStream, eventInterval
	}
	if strings.HasPrefix(execution.URI, longStreamPrefix) {
		b.Delay = longEventInterval
	}
	if strings.HasPrefix(execution.URI, versionedPrefix) {
		b.Events, b.Delay, b.Version = eventsPerVersionedStream, eventInterval, u.version
	}
	u.addStatements(execution, &b, faulty)
	switch {
	case !faulty:
	case u.activeEndless.Load() > 0:
		b.Endless = &standin.EndlessResponses[variant]
	case u.activeRejections.Load() > 0:
		b.NotRun = true
	case u.activeBreaks.Load() > 0:
		b.BreakAfter = breakAfterEvents
	case u.activeEnds.Load() > 0 && variant%2 == 0:
		b.MalformedHead = true
	case u.activeEnds.Load() > 0:
		b.OmitLength, b.Truncate, b.EndAfter, b.EndInside = true, true, breakAfterEvents, true
	case u.activeStaleResponses.Load() > 0 && b.Events == 0:
		b.StaleResponse = true
	}
	return b
}

// registration returns the upstream's registration. It has the address of the proxy, so that all
// connections pass through it.
func (u *upstream) registration(leaving bool) standin.Registration {
	r := standin.Registration{Address: u.proxy.address(), Service: serviceName, FailureDomain: u.domain, Slots: 16, Leaving: leaving, Version: u.version}
	if ms := u.bornMS.Load(); ms > 0 {
		r.Born = time.UnixMilli(ms)
	}
	return r
}

// pause changes the number of active pauses. A paused upstream accepts connections and reads
// nothing; then it goes on with all that has arrived, as a process does after SIGCONT.
func (u *upstream) pause(delta int32) {
	u.mu.Lock()
	defer u.mu.Unlock()
	switch n := u.activePauses.Add(delta); {
	case n > 0 && delta > 0 && n == 1:
		u.endPause = u.linkFaults.begin()
		u.proxy.setMode(modeStall)
	case n == 0:
		u.proxy.setMode(modePass)
		u.endPause()
	}
}

// upstreamCrash is a crash of an upstream by a request to the path.
type upstreamCrash struct {
	path string
	at   time.Time
}

// crash ends the connections of the upstream and refuses new ones until it runs again, under the
// same name. The path is that of the request that causes it.
func (u *upstream) crash(path string) {
	u.mu.Lock()
	defer u.mu.Unlock()
	if u.down {
		return
	}
	u.down = true
	u.crashes = append(u.crashes, upstreamCrash{path, time.Now()})
	downTime := minRestart + time.Duration(u.rng.Int64N(int64(maxRestart-minRestart)))
	u.proxy.refuse()
	time.AfterFunc(downTime, func() {
		u.mu.Lock()
		defer u.mu.Unlock()
		if u.closed {
			return
		}
		if err := u.proxy.resume(); err != nil {
			u.reportError(err)
			return
		}
		u.down = false
		u.bornMS.Store(time.Now().UnixMilli())
		u.publish()
	})
}
