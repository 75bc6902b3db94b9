package quarantine

import (
	"slices"
	"time"
)

// requestAnswer is the latest answer to a request at this instance. It counts against the crashes of the first moment
// after it.
type requestAnswer struct {
	at           time.Duration
	crashed      bool
	firstCrashAt time.Duration // kept beside the crashes, of which an entry forgets some
}

// recordCrashes records the crashes after the answer. It reports false if it is not known when one of them occurred.
func (a *requestAnswer) recordCrashes(crashes []crashRecord) bool {
	for _, c := range crashes {
		switch {
		case c.occurredAt < a.at:
		case !c.timeKnown:
			return false
		case !a.crashed || c.occurredAt < a.firstCrashAt:
			a.crashed, a.firstCrashAt = true, c.occurredAt
		}
	}
	return true
}

// coversCrash reports whether a crash belongs to the first moment of crashes after the answer.
func (a *requestAnswer) coversCrash(at time.Duration) bool {
	return a.crashed && at >= a.firstCrashAt && at-a.firstCrashAt <= sameMoment
}

// clearSameMoment clears a request that was answered lately of the crashes of one moment except one, and appends the
// clearing. The open crash with the lowest identifier stays open: instances that know different crashes of the moment
// then never clear all of them together.
func (s *shard) clearSameMoment(now time.Duration, f Fingerprint, clearings []Suspicion) []Suspicion {
	e := s.find(now, f)
	answer, answered := s.answeredRequests.Peek(now, f)
	if e == nil || e.isPart || !answered || !answer.recordCrashes(e.crashes) {
		return clearings
	}
	clearing := e.suspicion(now, true)
	kept := false
	for i := range e.crashes { // sorted by identifier
		c := &e.crashes[i]
		if c.cleared || !answer.coversCrash(c.occurredAt) {
			continue
		}
		if kept {
			c.cleared = true
			clearing.Crashes = append(clearing.Crashes, c.id)
		}
		kept = true
	}
	if len(clearing.Crashes) == 0 {
		return clearings
	}
	return append(clearings, clearing)
}

// appendMissedClearing appends a clearing if a peer that refuses a request has crashes open that are cleared here. A
// report of a single crash is not answered: it is often only older than the clearing.
func (s *shard) appendMissedClearing(now time.Duration, refused Suspicion, clearings []Suspicion) []Suspicion {
	e := s.find(now, refused.Fingerprint)
	if e == nil || len(refused.Crashes) < refusalThreshold {
		return clearings
	}
	clearing := e.suspicion(now, true)
	for _, c := range e.crashes {
		if c.cleared && slices.Contains(refused.Crashes, c.id) {
			clearing.Crashes = append(clearing.Crashes, c.id)
		}
	}
	if len(clearing.Crashes) == 0 {
		return clearings
	}
	return append(clearings, clearing)
}
