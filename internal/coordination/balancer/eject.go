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
	// waiting costs more than a failed dial then.
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
// cause and don't extend it.
func (e *ejection) fail(now, dispatched time.Duration, probe bool, rng *rand.Rand) {
	if e.ejected && !probe {
		return
	}
	if !e.ejected && dispatched < e.since {
		return
	}
	e.ejected = true
	e.since = now
	e.failures++
	backoff := ejectMax
	if e.failures <= 5 {
		backoff = min(ejectMax, ejectBase<<(e.failures-1))
	}
	backoff += time.Duration(rng.Float64() * ejectJitter * float64(backoff))
	e.retryAt = now + backoff
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
