package balancer

import (
	"math/rand/v2"
	"time"
)

const (
	// ejectBase is the first back-off; it doubles with each failed probe.
	ejectBase = time.Second
	// ejectMax bounds the time that a recovered upstream stays unused.
	ejectMax = 30 * time.Second
	// ejectJitter spreads the probes of different instances, as a share of the
	// back-off.
	ejectJitter = 0.25
	// ejectMaxAll replaces ejectMax while every upstream of the subset is ejected:
	// waiting costs more than a failed dial then, and the first one to recover should
	// not serve alone for long.
	ejectMaxAll = time.Second
)

// ejection is the failure state of one upstream.
type ejection struct {
	ejected  bool
	probing  bool // a probe is in flight
	failures int  // consecutive
	since    time.Duration
	retryAt  time.Duration
}

// fail records a failed request. Requests dispatched before the ejection share its
// cause and don't extend it. It returns whether a back-off began.
func (e *ejection) fail(now, dispatched time.Duration, probe bool) bool {
	if e.ejected && !probe || !e.ejected && dispatched < e.since {
		return false
	}
	e.ejected = true
	e.since = now
	e.failures++
	return true
}

// backOff sets the time of the next probe.
func (e *ejection) backOff(now time.Duration, allEjected bool, rng *rand.Rand) {
	wait := ejectMax
	if allEjected {
		wait = ejectMaxAll
	} else if shift := e.failures - 1; shift < 5 {
		wait = min(ejectMax, ejectBase<<shift)
	}
	e.retryAt = now + wait + time.Duration(rng.Float64()*ejectJitter*float64(wait))
}

// succeed ends the ejection. Only a request dispatched after the failure shows that
// the upstream works again.
func (e *ejection) succeed(dispatched time.Duration) {
	if dispatched >= e.since {
		e.ejected = false
		e.failures = 0
	}
}

// probeDue reports whether the ejected upstream may receive one request.
func (e *ejection) probeDue(now time.Duration, allEjected bool) bool {
	if !e.ejected || e.probing {
		return false
	}
	return now >= e.retryAt || allEjected && now >= e.since+ejectMaxAll
}
