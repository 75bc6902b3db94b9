package dispatch

import (
	"math"
	"time"
)

const (
	// evacuatedRetryAfter is the predicted time to come back for a request whose upstreams are all evacuated. Nobody knows when
	// the operator takes the failure domains back; a second keeps the callers from asking in vain again and again.
	evacuatedRetryAfter = time.Second
	// returnTime is how long the sessions of an upstream take to come back after an evacuation. Each one has its
	// shared parts processed again, which is work that the other upstreams did not have to do.
	returnTime = 5 * time.Second
)

// takesBack reports whether a session, by the hash of the pair, prefers an upstream that has returned from an evacuation.
// The share of the sessions that do grows steadily, the same ones at all instances, so that they do not come back all at
// once.
func (u *upstream) takesBack(now time.Duration, sessionHash uint64) bool {
	since := now - u.returnedAt
	if u.returnedAt == 0 || since >= returnTime {
		return true
	}
	return since > 0 && float64(scramble(sessionHash))/math.MaxUint64 < float64(since)/float64(returnTime)
}

// scramble returns a hash of a rendezvous hash: of the sessions that prefer an upstream, all have large ones.
func scramble(h uint64) uint64 {
	h *= 0x9e3779b97f4a7c15
	return h ^ h>>29
}
