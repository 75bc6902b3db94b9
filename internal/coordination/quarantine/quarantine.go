package quarantine

import (
	"cmp"
	"fmt"
	"math"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Defaults and limits of a Quarantine.
const (
	// DefaultLifetime is how long an entry is kept after its latest crash.
	DefaultLifetime = 10 * time.Minute
	// DefaultMaxEntries is the default for the maximum number of entries of one instance.
	DefaultMaxEntries = 4096

	// abandonedRunLifetime is how long an upstream may work on a request after this instance
	// has given the attempt up. Upstreams stop at the deadline that they were given; most
	// deadlines are shorter.
	abandonedRunLifetime = 10 * time.Second
	// maxAbandonedRuns bounds the abandoned runs of one shard; the oldest are forgotten first.
	maxAbandonedRuns = 256

	// refusalThreshold is the number of open crashes at which a request is refused.
	refusalThreshold = 2
	// partRefusalThreshold is the number of open crashes at which a part of prompts is refused. It is
	// higher, because more sound requests share a part than send the same request again.
	partRefusalThreshold = 3
	// answeredPartLifetime is how long an answer shows that the parts of its prompt crash no upstream.
	answeredPartLifetime = 10 * time.Second
	// maxAnsweredParts bounds the parts that are known to be answered.
	maxAnsweredParts = 16384

	// answeredRequestLifetime is how long an answer counts against later crashes of the same request.
	answeredRequestLifetime = 10 * time.Second
	// maxAnsweredRequests bounds the requests that are known to be answered.
	maxAnsweredRequests = 16384
	// sameMoment is how far apart crashes with one cause are noticed: a failure domain that goes down takes
	// several upstreams with it.
	sameMoment = time.Second

	// maxCrashesPerEntry is the maximum number of crashes that one entry keeps.
	maxCrashesPerEntry = 8
	// maxNameBytes is the maximum length of a name in a suspicion from a peer.
	maxNameBytes = 128
	shardCount   = 16
)

// Verdict is the decision on how a request may run.
type Verdict int

// Verdicts in order of increasing severity.
const (
	Clear   Verdict = iota // runs without restriction
	Suspect                // runs isolated: no other suspect runs at the same upstream
	Refuse                 // does not run
)

// String returns the name of v for logs.
func (v Verdict) String() string {
	names := [...]string{"clear", "suspect", "refuse"}
	if v >= 0 && int(v) < len(names) {
		return names[v]
	}
	return "invalid"
}

// CrashID identifies one crash of an upstream, so that a crash observed by several
// instances counts once.
type CrashID struct{ Upstream, Incarnation string }

func compareCrashIDs(a, b CrashID) int {
	return cmp.Or(cmp.Compare(a.Upstream, b.Upstream), cmp.Compare(a.Incarnation, b.Incarnation))
}

// Suspicion reports to the peers the crashes of upstreams where a request was running. If
// Cleared is set, the request has completed and is cleared of exactly these crashes.
type Suspicion struct {
	Fingerprint Fingerprint
	Part        bool // the fingerprint is that of a part of prompts
	Team        string
	Crashes     []CrashID
	Cleared     bool
	Age         time.Duration // time since the latest crash of the entry
}

// isReport reports whether s was sent at the time of its crash. In other suspicions, all crashes have the age of the
// latest.
func (s *Suspicion) isReport() bool { return !s.Cleared && s.Age == 0 && len(s.Crashes) == 1 }

// Options configures a Quarantine. Zero values select the defaults.
type Options struct {
	Lifetime   time.Duration
	MaxEntries int
}

// Quarantine records which requests were running at upstreams that crashed. It is safe
// for concurrent use.
type Quarantine struct {
	lifetime  time.Duration
	shards    [shardCount]shard
	convicted atomic.Pointer[convictions]
	convictMu sync.Mutex // held while convicted is replaced
}

// New returns an empty quarantine.
func New(o Options) *Quarantine {
	if o.Lifetime == 0 {
		o.Lifetime = DefaultLifetime
	}
	if o.MaxEntries == 0 {
		o.MaxEntries = DefaultMaxEntries
	}
	q := &Quarantine{lifetime: o.Lifetime}
	q.convicted.Store(&convictions{})
	for i := range q.shards {
		q.shards[i].init(o.Lifetime, max(o.MaxEntries/shardCount, 1))
	}
	return q
}

func (q *Quarantine) lockShard(f Fingerprint) *shard {
	s := &q.shards[f%shardCount]
	s.mu.Lock()
	return s
}

// Check returns how a request may run.
func (q *Quarantine) Check(now time.Duration, f Fingerprint) Verdict {
	s := q.lockShard(f)
	defer s.mu.Unlock()
	e := s.find(now, f)
	if e == nil {
		return Clear
	}
	return e.verdict(q.convicted.Load())
}

// Started records that a request of the team runs at the upstream. Each call must be
// followed by one call of Completed, Aborted or Abandoned, unless UpstreamCrashed reports
// the upstream.
func (q *Quarantine) Started(_ time.Duration, f Fingerprint, team, upstream string) {
	s := q.lockShard(f)
	defer s.mu.Unlock()
	s.addRun(f, suspect{team: team}, upstream)
}

// Completed records that a request completed successfully. A request that is not refused is
// cleared of the crashes known to this instance, and the answer counts against crashes that
// follow soon; the caller sends the result to the peers.
func (q *Quarantine) Completed(now time.Duration, f Fingerprint, upstream string) []Suspicion {
	s := q.lockShard(f)
	defer s.mu.Unlock()
	s.removeRun(f, upstream)
	e := s.find(now, f)
	if e != nil && e.verdict(q.convicted.Load()) == Refuse {
		return nil
	}
	s.answeredRequests.Put(now, f, &requestAnswer{at: now}, 0)
	if e == nil || len(e.openCrashes()) == 0 {
		return nil
	}
	return []Suspicion{e.clearOpenCrashes(now)}
}

// Aborted records that a request ended without completing, and that the upstream does not
// work on it: it was not sent, refused, or answered with an error. This does not show whether the request causes crashes,
// so its entry does not change.
func (q *Quarantine) Aborted(_ time.Duration, f Fingerprint, upstream string) {
	s := q.lockShard(f)
	defer s.mu.Unlock()
	s.removeRun(f, upstream)
}

// Abandoned records that this instance no longer waits for a request at which the upstream
// may still work, because the caller left, a time limit expired or the connection was lost.
// For abandonedRunLifetime the request is still a suspect if the upstream crashes.
func (q *Quarantine) Abandoned(now time.Duration, f Fingerprint, upstream string) {
	s := q.lockShard(f)
	defer s.mu.Unlock()
	s.abandonRun(now, f, upstream)
}

// UpstreamCrashed records a crash. It adds the crash to the entries of all requests that
// run at the upstream, or were abandoned there recently, and of the parts of prompts that wait for an
// answer there, and counts them as ended. The result must be sent to the peers before the callers get
// their responses.
func (q *Quarantine) UpstreamCrashed(now time.Duration, c CrashID) []Suspicion {
	var suspicions []Suspicion
	for i := range q.shards {
		s := &q.shards[i]
		s.mu.Lock()
		for f, by := range s.takeRuns(now, c.Upstream) {
			if by.isPart && s.hasAnswered(now, f) {
				continue
			}
			s.recordCrash(now, f, by, crashRecord{id: c, occurredAt: now, timeKnown: true})
			suspicions = append(suspicions, Suspicion{Fingerprint: f, Part: by.isPart, Team: by.team, Crashes: []CrashID{c}})
			suspicions = s.clearSameMoment(now, f, suspicions)
		}
		s.mu.Unlock()
	}
	q.updateConvictions(now)
	slices.SortStableFunc(suspicions, func(a, b Suspicion) int { return cmp.Compare(a.Fingerprint, b.Fingerprint) })
	return suspicions
}

// Merge adds suspicions from a peer. The result is the union of the crashes and of the
// cleared crashes: order and repetition do not matter until the bounds are reached. It returns the
// clearings of parts and requests of which this instance has seen an answer, and those that the peer
// has missed; they must be sent to the peers.
func (q *Quarantine) Merge(now time.Duration, suspicions []Suspicion) []Suspicion {
	var clearings []Suspicion
	for _, suspicion := range suspicions {
		if suspicion.Age < 0 || suspicion.Age >= q.lifetime || len(suspicion.Team) > maxNameBytes {
			continue
		}
		s := q.lockShard(suspicion.Fingerprint)
		if suspicion.Part && !suspicion.Cleared && s.hasAnswered(now, suspicion.Fingerprint) {
			suspicion.Cleared = true
			clearings = append(clearings, suspicion)
		}
		for _, c := range suspicion.Crashes {
			if len(c.Upstream) <= maxNameBytes && len(c.Incarnation) <= maxNameBytes {
				s.recordCrash(now, suspicion.Fingerprint, suspect{team: suspicion.Team, isPart: suspicion.Part},
					crashRecord{id: c, occurredAt: now - suspicion.Age, timeKnown: suspicion.isReport(), cleared: suspicion.Cleared})
			}
		}
		if !suspicion.Part && !suspicion.Cleared {
			clearings = s.clearSameMoment(now, suspicion.Fingerprint, clearings)
			clearings = s.appendMissedClearing(now, suspicion, clearings)
		}
		s.mu.Unlock()
	}
	q.updateConvictions(now)
	return clearings
}

// Snapshot returns all unexpired suspicions, to be sent to an instance that joins.
func (q *Quarantine) Snapshot(now time.Duration) []Suspicion {
	var suspicions []Suspicion
	for i := range q.shards {
		s := &q.shards[i]
		s.mu.Lock()
		suspicions = s.appendSuspicions(now, suspicions)
		s.mu.Unlock()
	}
	return suspicions
}

// Refused returns the suspicions of at most limit requests that are refused, with their open
// crashes, those with the latest crashes first. They are what an instance must learn that has
// missed the broadcasts; suspects, of which a crash leaves many, are not included.
func (q *Quarantine) Refused(now time.Duration, limit int) []Suspicion {
	var suspicions []Suspicion
	for i := range q.shards {
		s := &q.shards[i]
		s.mu.Lock()
		suspicions = s.appendRefused(now, q.convicted.Load(), suspicions)
		s.mu.Unlock()
	}
	slices.SortFunc(suspicions, func(a, b Suspicion) int { return cmp.Compare(a.Age, b.Age) })
	return suspicions[:min(len(suspicions), limit)]
}

// RefusedDigest returns a hash of all refused requests and their open crashes; 0 if there are none.
func (q *Quarantine) RefusedDigest(now time.Duration) uint64 {
	var digest uint64
	for _, suspicion := range q.Refused(now, math.MaxInt) {
		for _, c := range suspicion.Crashes {
			digest ^= xxhash.Sum64String(fmt.Sprint(uint64(suspicion.Fingerprint), len(c.Upstream), c.Upstream, c.Incarnation))
		}
	}
	return digest
}

// Len returns the number of entries, including cleared and expired ones not yet removed.
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
