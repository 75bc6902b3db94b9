package quarantine

import (
	"cmp"
	"slices"
	"time"
)

// Limits of a Quarantine.
const (
	// DefaultLifetime is how long a suspicion counts after its latest crash.
	DefaultLifetime = 10 * time.Minute
	// DefaultEntries bounds the suspects of one instance.
	DefaultEntries = 4096

	// convictingCrashes is the number of crashes after which a request is refused.
	convictingCrashes = 2
	// maxCrashes bounds the crashes that are kept for one suspect.
	maxCrashes = 8
	// maxNameSize bounds the names in a suspicion from a peer, in bytes.
	maxNameSize = 128
	shardCount  = 16
)

// Verdict tells how a request may run.
type Verdict int

// Verdicts, in the order of severity.
const (
	Clear   Verdict = iota // runs like any other request
	Suspect                // runs isolated: no other suspect at the same upstream
	Refuse                 // does not run
)

// String returns the name of v in logs.
func (v Verdict) String() string {
	names := [...]string{"clear", "suspect", "refuse"}
	if v >= 0 && int(v) < len(names) {
		return names[v]
	}
	return "invalid"
}

// CrashID identifies one crash of an upstream, so that a crash that several instances
// observe counts once.
type CrashID struct{ Upstream, Incarnation string }

func compareCrash(a, b CrashID) int {
	return cmp.Or(cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Incarnation, b.Incarnation))
}

// Suspicion tells the peers about crashes that a request ran beside. With Cleared, a
// completion of the request has cleared exactly these crashes.
type Suspicion struct {
	Fingerprint Fingerprint
	Team        string
	Crashes     []CrashID
	Cleared     bool
	Age         time.Duration // since the crashes
}

// Options configures a Quarantine. Zero values take the defaults.
type Options struct {
	Lifetime time.Duration
	Entries  int
}

// Quarantine records which requests ran beside crashes of upstreams. It is safe for
// concurrent use.
type Quarantine struct {
	lifetime time.Duration
	shards   [shardCount]shard
}

// New returns a quarantine without suspects.
func New(o Options) *Quarantine {
	if o.Lifetime == 0 {
		o.Lifetime = DefaultLifetime
	}
	if o.Entries == 0 {
		o.Entries = DefaultEntries
	}
	q := &Quarantine{lifetime: o.Lifetime}
	for i := range q.shards {
		q.shards[i].init(o.Lifetime, max(o.Entries/shardCount, 1))
	}
	return q
}

func (q *Quarantine) lock(f Fingerprint) *shard {
	s := &q.shards[f%shardCount]
	s.mu.Lock()
	return s
}

// Check returns how a request may run.
func (q *Quarantine) Check(now time.Duration, f Fingerprint) Verdict {
	s := q.lock(f)
	defer s.mu.Unlock()
	e := s.find(now, f)
	if e == nil {
		return Clear
	}
	return e.verdict()
}

// Started records that a request of the team runs at the upstream. Each Started is
// followed by one Finished or Abandoned, unless Crashed reports the upstream.
func (q *Quarantine) Started(_ time.Duration, f Fingerprint, team, upstream string) {
	s := q.lock(f)
	defer s.mu.Unlock()
	s.start(f, team, upstream)
}

// Finished records that a request completed successfully. A suspect that is not refused
// is cleared of the crashes known here; the result is to be sent to the peers.
func (q *Quarantine) Finished(now time.Duration, f Fingerprint, upstream string) []Suspicion {
	s := q.lock(f)
	defer s.mu.Unlock()
	s.stop(f, upstream)
	e := s.find(now, f)
	if e == nil || e.verdict() != Suspect {
		return nil
	}
	return []Suspicion{e.clear(now)}
}

// Abandoned records that a request ended without completing: it was cancelled, or failed
// without a crash of the upstream. It proves nothing about the request.
func (q *Quarantine) Abandoned(_ time.Duration, f Fingerprint, upstream string) {
	s := q.lock(f)
	defer s.mu.Unlock()
	s.stop(f, upstream)
}

// Crashed records a crash. All requests that run at the upstream become suspects and
// count as ended. The result is to be sent to the peers before the callers are answered.
func (q *Quarantine) Crashed(now time.Duration, c CrashID) []Suspicion {
	var out []Suspicion
	for i := range q.shards {
		s := &q.shards[i]
		s.mu.Lock()
		for f, team := range s.crash(c.Upstream) {
			s.record(now, f, team, crash{id: c, at: now})
			out = append(out, Suspicion{Fingerprint: f, Team: team, Crashes: []CrashID{c}})
		}
		s.mu.Unlock()
	}
	slices.SortFunc(out, func(a, b Suspicion) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return out
}

// Merge takes suspicions from a peer. Merging is a union of crashes and of cleared
// crashes: order and repetition do not matter while the bounds are not reached.
func (q *Quarantine) Merge(now time.Duration, suspicions []Suspicion) {
	for _, x := range suspicions {
		if x.Age < 0 || x.Age >= q.lifetime || len(x.Team) > maxNameSize {
			continue
		}
		s := q.lock(x.Fingerprint)
		for _, c := range x.Crashes {
			if len(c.Upstream) <= maxNameSize && len(c.Incarnation) <= maxNameSize {
				s.record(now, x.Fingerprint, x.Team, crash{id: c, at: now - x.Age, cleared: x.Cleared})
			}
		}
		s.mu.Unlock()
	}
}

// Snapshot returns all suspicions, for an instance that joins.
func (q *Quarantine) Snapshot(now time.Duration) []Suspicion {
	var out []Suspicion
	for i := range q.shards {
		s := &q.shards[i]
		s.mu.Lock()
		out = s.snapshot(now, out)
		s.mu.Unlock()
	}
	return out
}

// Len returns the number of suspects, including cleared ones that are still recorded.
func (q *Quarantine) Len() int {
	n := 0
	for i := range q.shards {
		s := &q.shards[i]
		s.mu.Lock()
		n += len(s.entries)
		s.mu.Unlock()
	}
	return n
}
