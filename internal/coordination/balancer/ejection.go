package balancer

import (
	"math/rand/v2"
	"time"
)

const (
	// baseEjectionTime is the first back-off. It doubles with each failed probe.
	baseEjectionTime = time.Second
	// maxEjectionTime bounds the time that a recovered upstream remains unused.
	maxEjectionTime = 30 * time.Second
	// ejectionJitter is the largest random addition to the back-off, as a share of it. It
	// spreads the probes of different instances over time.
	ejectionJitter = 0.25
	// maxEjectionTimeAllEjected replaces maxEjectionTime while every upstream of the
	// subset is ejected. Waiting then costs more than a failed dial, and the first
	// upstream to recover should not have to serve all requests for long.
	maxEjectionTimeAllEjected = time.Second
)

// ejection is the failure state of one upstream.
type ejection struct {
	ejected             bool
	probeInFlight       bool
	consecutiveFailures int
	failedAt            time.Duration // last failure that began a back-off
	nextProbeAt         time.Duration
}

// recordFailure records a failed request and reports whether a back-off begins. Requests
// dispatched before the ejection failed for the same cause and do not extend it.
func (e *ejection) recordFailure(now, dispatchedAt time.Duration, probe bool) bool {
	if e.ejected && !probe || !e.ejected && dispatchedAt < e.failedAt {
		return false
	}
	e.ejected = true
	e.failedAt = now
	e.consecutiveFailures++
	return true
}

// scheduleProbe sets the time of the next probe by exponential back-off with jitter.
func (e *ejection) scheduleProbe(now time.Duration, allEjected bool, rng *rand.Rand) {
	backOff := maxEjectionTime
	if allEjected {
		backOff = maxEjectionTimeAllEjected
	} else if doublings := e.consecutiveFailures - 1; doublings < 5 {
		backOff = min(maxEjectionTime, baseEjectionTime<<doublings)
	}
	e.nextProbeAt = now + backOff + time.Duration(rng.Float64()*ejectionJitter*float64(backOff))
}

// recordSuccess ends the ejection. Only a request that was dispatched after the failure
// shows that the upstream has recovered.
func (e *ejection) recordSuccess(dispatchedAt time.Duration) {
	if dispatchedAt >= e.failedAt {
		e.ejected = false
		e.consecutiveFailures = 0
	}
}

// probeDue reports whether the upstream is ejected and may receive a probe.
func (e *ejection) probeDue(now time.Duration, allEjected bool) bool {
	if !e.ejected || e.probeInFlight {
		return false
	}
	return now >= e.nextProbeAt || allEjected && now >= e.failedAt+maxEjectionTimeAllEjected
}
