package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// PartsStarted records that a prompt with the parts was sent to the upstream. Each call must be
// followed by one call of PartsAnswered, PartsAborted or PartsAbandoned, unless UpstreamCrashed reports
// the upstream.
func (q *Quarantine) PartsStarted(parts []Fingerprint, team, upstream string) {
	for _, f := range parts {
		s := q.lockShard(f)
		s.addRun(f, suspect{team: team, isPart: true}, upstream)
		s.mu.Unlock()
	}
}

// PartsAnswered records that the upstream has answered a prompt with the parts so far that none of
// them crashes upstreams. It clears them of the crashes known to this instance; the
// caller sends the result to the peers.
func (q *Quarantine) PartsAnswered(now time.Duration, parts []Fingerprint, upstream string) []Suspicion {
	var clearings []Suspicion
	for _, f := range parts {
		s := q.lockShard(f)
		s.removeRun(f, upstream)
		s.answered.Put(now, f, struct{}{}, 0)
		if e := s.find(now, f); e != nil && len(e.openCrashes()) > 0 {
			clearings = append(clearings, e.clearOpenCrashes(now))
		}
		s.mu.Unlock()
	}
	if len(clearings) > 0 {
		q.updateConvictions(now)
	}
	return clearings
}

// PartsAborted records that the upstream does not work on a prompt with the parts; see Aborted.
func (q *Quarantine) PartsAborted(parts []Fingerprint, upstream string) {
	for _, f := range parts {
		s := q.lockShard(f)
		s.removeRun(f, upstream)
		s.mu.Unlock()
	}
}

// PartsAbandoned records that the upstream may still work on a prompt with the parts; see Abandoned.
func (q *Quarantine) PartsAbandoned(now time.Duration, parts []Fingerprint, upstream string) {
	for _, f := range parts {
		s := q.lockShard(f)
		s.abandonRun(now, f, upstream)
		s.mu.Unlock()
	}
}

// RefusedPart returns the first of the parts that is refused because it crashes upstreams.
func (q *Quarantine) RefusedPart(now time.Duration, parts []Fingerprint) (part Fingerprint, refused bool) {
	convicted := q.convicted.Load()
	for _, f := range parts {
		if latestCrashAt, ok := convicted.parts[f]; ok && now-latestCrashAt < q.lifetime {
			return f, true
		}
	}
	return 0, false
}

// convictions holds the parts that are refused. It is never changed.
type convictions struct {
	parts   map[Fingerprint]time.Duration // with the time of the latest crash
	crashes map[CrashID]bool              // all open crashes of these parts
}

// explain reports whether a convicted part was at the upstream when it crashed.
func (c *convictions) explain(id CrashID) bool { return c.crashes[id] }

func (c *convictions) partVerdict(e *entry) Verdict {
	if _, ok := c.parts[e.fingerprint]; ok {
		return Refuse
	}
	return Clear
}

// partSuspect is a part that has reached the threshold of open crashes.
type partSuspect struct {
	fingerprint   Fingerprint
	latestCrashAt time.Duration
	crashes       []CrashID
}

// updateConvictions decides anew which parts are refused. A part that crashes upstreams was at each of
// their crashes, other parts at some of them. So the part with the most open crashes is refused
// first, and the crashes that it explains do not count against parts with fewer.
func (q *Quarantine) updateConvictions(now time.Duration) {
	q.convictMu.Lock()
	defer q.convictMu.Unlock()
	suspects := q.partSuspects(now)
	if len(suspects) == 0 && len(q.convicted.Load().parts) == 0 {
		return
	}
	slices.SortFunc(suspects, func(a, b partSuspect) int {
		return cmp.Or(cmp.Compare(len(b.crashes), len(a.crashes)), cmp.Compare(a.fingerprint, b.fingerprint))
	})
	convicted := &convictions{parts: map[Fingerprint]time.Duration{}, crashes: map[CrashID]bool{}}
	for len(suspects) > 0 {
		// Parts with as many crashes are judged alike: nothing tells them apart.
		n := slices.IndexFunc(suspects, func(s partSuspect) bool { return len(s.crashes) < len(suspects[0].crashes) })
		if n < 0 {
			n = len(suspects)
		}
		var refused []partSuspect
		for _, s := range suspects[:n] {
			unexplained := slices.DeleteFunc(slices.Clone(s.crashes), convicted.explain)
			if len(unexplained) >= partRefusalThreshold {
				refused = append(refused, s)
			}
		}
		for _, s := range refused {
			convicted.parts[s.fingerprint] = s.latestCrashAt
			for _, id := range s.crashes {
				convicted.crashes[id] = true
			}
		}
		suspects = suspects[n:]
	}
	q.convicted.Store(convicted)
}

// partSuspects returns the parts that have reached the threshold of open crashes.
func (q *Quarantine) partSuspects(now time.Duration) []partSuspect {
	var suspects []partSuspect
	for i := range q.shards {
		s := &q.shards[i]
		s.mu.Lock()
		for _, e := range s.entries {
			if !e.isPart || len(e.crashes) < partRefusalThreshold || now-e.latestCrashAt >= s.lifetime {
				continue
			}
			if open := e.openCrashes(); len(open) >= partRefusalThreshold {
				suspects = append(suspects, partSuspect{fingerprint: e.fingerprint, latestCrashAt: e.latestCrashAt, crashes: open})
			}
		}
		s.mu.Unlock()
	}
	return suspects
}
