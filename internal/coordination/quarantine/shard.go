package quarantine

import (
	"slices"
	"sync"
	"time"

	"github.com/yuccabridge/yuccabridge/internal/state/expiring"
)

// crashRecord is one crash of an upstream where the request was running. cleared is never
// reset: a later report of the same crash does not make the request a suspect again.
type crashRecord struct {
	id         CrashID
	occurredAt time.Duration
	timeKnown  bool // otherwise the crash may have occurred earlier
	cleared    bool
}

// entry holds the crashes of one request or part, sorted by identifier. It is linked in the list
// of its team in the order in which the entries last gained a new crash.
type entry struct {
	fingerprint   Fingerprint
	isPart        bool
	team          *teamList
	crashes       []crashRecord
	latestCrashAt time.Duration
	prev, next    *entry
}

// verdict returns how the request or part may run. The crashes that a convicted part explains do not
// count against a request.
func (e *entry) verdict(convicted *convictions) Verdict {
	if e.isPart {
		return convicted.partVerdict(e)
	}
	open := 0
	for _, c := range e.crashes {
		if !c.cleared && !convicted.explain(c.id) {
			open++
		}
	}
	switch {
	case open >= refusalThreshold:
		return Refuse
	case open > 0:
		return Suspect
	default:
		return Clear
	}
}

// openCrashes returns the crashes that are not cleared.
func (e *entry) openCrashes() []CrashID {
	var open []CrashID
	for _, c := range e.crashes {
		if !c.cleared {
			open = append(open, c.id)
		}
	}
	return open
}

// clearOpenCrashes marks the open crashes as cleared and returns the suspicion to send to
// the peers.
func (e *entry) clearOpenCrashes(now time.Duration) Suspicion {
	suspicion := e.suspicion(now, true)
	for i := range e.crashes {
		if c := &e.crashes[i]; !c.cleared {
			c.cleared = true
			suspicion.Crashes = append(suspicion.Crashes, c.id)
		}
	}
	return suspicion
}

// suspicion returns a suspicion of the entry without crashes.
func (e *entry) suspicion(now time.Duration, cleared bool) Suspicion {
	return Suspicion{Fingerprint: e.fingerprint, Part: e.isPart, Team: e.team.name, Cleared: cleared, Age: now - e.latestCrashAt}
}

// mergeCrash adds a crash. A known crash keeps its earliest time, so that forwarding it
// does not extend its lifetime, and stays cleared. It reports whether the crash is new.
func (e *entry) mergeCrash(c crashRecord) bool {
	i, known := slices.BinarySearchFunc(e.crashes, c, func(a, b crashRecord) int { return compareCrashIDs(a.id, b.id) })
	if known {
		e.crashes[i].occurredAt = min(e.crashes[i].occurredAt, c.occurredAt)
		e.crashes[i].timeKnown = e.crashes[i].timeKnown || c.timeKnown
		e.crashes[i].cleared = e.crashes[i].cleared || c.cleared
	} else {
		e.crashes = slices.Insert(e.crashes, i, c)
	}
	if len(e.crashes) > maxCrashesPerEntry {
		e.evictCrash()
	}
	e.latestCrashAt = e.crashes[0].occurredAt
	for _, c := range e.crashes {
		e.latestCrashAt = max(e.latestCrashAt, c.occurredAt)
	}
	return !known
}

// evictCrash removes the oldest cleared crash, or the oldest crash if all are open.
func (e *entry) evictCrash() {
	victim := 0
	for i, c := range e.crashes {
		candidate := e.crashes[victim]
		if c.cleared != candidate.cleared && c.cleared || c.cleared == candidate.cleared && c.occurredAt < candidate.occurredAt {
			victim = i
		}
	}
	e.crashes = slices.Delete(e.crashes, victim, victim+1)
}

// teamList is the linked list of the entries of one team in one shard, oldest first.
type teamList struct {
	name        string
	front, back *entry
	count       int
}

func (t *teamList) pushBack(e *entry) {
	e.team, e.prev = t, t.back
	if t.back != nil {
		t.back.next = e
	} else {
		t.front = e
	}
	t.back = e
	t.count++
}

func (t *teamList) remove(e *entry) {
	if e.prev != nil {
		e.prev.next = e.next
	} else {
		t.front = e.next
	}
	if e.next != nil {
		e.next.prev = e.prev
	} else {
		t.back = e.prev
	}
	e.prev, e.next = nil, nil
	t.count--
}

// suspect is a request or a part of a prompt that runs at an upstream.
type suspect struct {
	team   string
	isPart bool
}

// shard holds the entries and the running requests of one sixteenth of the fingerprints.
type shard struct {
	mu         sync.Mutex
	lifetime   time.Duration
	maxEntries int
	entries    map[Fingerprint]*entry
	teams      map[string]*teamList
	running    map[string]map[Fingerprint]*requestRuns // by upstream
	abandoned  []abandonedRun                          // ordered by expiry
	answered   *expiring.Map[Fingerprint, struct{}]    // parts of answered prompts

	answeredRequests *expiring.Map[Fingerprint, *requestAnswer]
}

// requestRuns counts the copies of one request, or the prompts with one part, that are running at one
// upstream.
type requestRuns struct {
	suspect
	count int // including abandoned runs
}

// abandonedRun is a run that no longer has a caller. It is counted in running until it expires.
type abandonedRun struct {
	fingerprint Fingerprint
	upstream    string
	expiresAt   time.Duration
}

func (s *shard) init(lifetime time.Duration, maxEntries int) {
	s.lifetime, s.maxEntries = lifetime, maxEntries
	s.entries = make(map[Fingerprint]*entry)
	s.teams = make(map[string]*teamList)
	s.running = make(map[string]map[Fingerprint]*requestRuns)
	s.answered = expiring.New(expiring.Options[Fingerprint, struct{}]{TTL: answeredPartLifetime, MaxEntries: maxAnsweredParts / shardCount})
	s.answeredRequests = expiring.New(expiring.Options[Fingerprint, *requestAnswer]{TTL: answeredRequestLifetime, MaxEntries: maxAnsweredRequests / shardCount})
}

// find returns the entry of a fingerprint, or nil. It removes an expired entry.
func (s *shard) find(now time.Duration, f Fingerprint) *entry {
	e := s.entries[f]
	if e != nil && now-e.latestCrashAt >= s.lifetime {
		s.removeEntry(e)
		return nil
	}
	return e
}

// recordCrash adds a crash to the entry of a request. If a new entry exceeds the limit, it
// evicts one.
func (s *shard) recordCrash(now time.Duration, f Fingerprint, by suspect, c crashRecord) {
	e := s.find(now, f)
	if e == nil {
		e = &entry{fingerprint: f, isPart: by.isPart}
		s.insertEntry(e, by.team)
	}
	if e.mergeCrash(c) {
		e.team.remove(e)
		e.team.pushBack(e)
	}
	if len(s.entries) > s.maxEntries {
		s.evict(now, e)
	}
}

func (s *shard) insertEntry(e *entry, team string) {
	t := s.teams[team]
	if t == nil {
		t = &teamList{name: team}
		s.teams[team] = t
	}
	s.entries[e.fingerprint] = e
	t.pushBack(e)
}

func (s *shard) removeEntry(e *entry) {
	delete(s.entries, e.fingerprint)
	e.team.remove(e)
	if e.team.count == 0 {
		delete(s.teams, e.team.name)
	}
}

// evict removes the expired entries or, if there are none, the oldest entry of the team
// with the most entries. In a tie, the team of the added entry is chosen, so that it does
// not displace the entry of another team.
func (s *shard) evict(now time.Duration, added *entry) {
	for _, e := range s.entries {
		if now-e.latestCrashAt >= s.lifetime {
			s.removeEntry(e)
		}
	}
	if len(s.entries) <= s.maxEntries {
		return
	}
	victim := added.team
	for _, t := range s.teams {
		if t.count > victim.count || t.count == victim.count && victim != added.team && t.name < victim.name {
			victim = t
		}
	}
	s.removeEntry(victim.front)
}

// appendSuspicions appends the unexpired suspicions of the shard. All crashes of an entry
// get the age of its latest one, because an entry expires as a whole.
func (s *shard) appendSuspicions(now time.Duration, suspicions []Suspicion) []Suspicion {
	for _, t := range s.teams {
		for e := t.front; e != nil; e = e.next {
			if now-e.latestCrashAt >= s.lifetime {
				continue
			}
			for _, cleared := range []bool{false, true} {
				suspicion := e.suspicion(now, cleared)
				for _, c := range e.crashes {
					if c.cleared == cleared {
						suspicion.Crashes = append(suspicion.Crashes, c.id)
					}
				}
				if len(suspicion.Crashes) > 0 {
					suspicions = append(suspicions, suspicion)
				}
			}
		}
	}
	return suspicions
}

// appendRefused appends the suspicions of the refused requests of the shard.
func (s *shard) appendRefused(now time.Duration, convicted *convictions, suspicions []Suspicion) []Suspicion {
	for _, e := range s.entries {
		if now-e.latestCrashAt >= s.lifetime || e.verdict(convicted) != Refuse {
			continue
		}
		suspicion := e.suspicion(now, false)
		suspicion.Crashes = e.openCrashes()
		suspicions = append(suspicions, suspicion)
	}
	return suspicions
}

func (s *shard) addRun(f Fingerprint, by suspect, upstream string) {
	runs := s.running[upstream]
	if runs == nil {
		runs = make(map[Fingerprint]*requestRuns)
		s.running[upstream] = runs
	}
	if runs[f] == nil {
		runs[f] = &requestRuns{suspect: by}
	}
	runs[f].count++
}

func (s *shard) removeRun(f Fingerprint, upstream string) {
	runs := s.running[upstream]
	r := runs[f]
	if r == nil {
		return
	}
	if r.count--; r.count == 0 {
		delete(runs, f)
	}
	if len(runs) == 0 {
		delete(s.running, upstream)
	}
}

// abandonRun counts a run as running until its lifetime has passed.
func (s *shard) abandonRun(now time.Duration, f Fingerprint, upstream string) {
	s.expireAbandonedRuns(now)
	if s.running[upstream][f] == nil {
		return // taken by a crash
	}
	if len(s.abandoned) == maxAbandonedRuns {
		s.removeRun(s.abandoned[0].fingerprint, s.abandoned[0].upstream)
		s.abandoned = s.abandoned[1:]
	}
	s.abandoned = append(s.abandoned, abandonedRun{fingerprint: f, upstream: upstream, expiresAt: now + abandonedRunLifetime})
}

func (s *shard) expireAbandonedRuns(now time.Duration) {
	n := 0
	for n < len(s.abandoned) && s.abandoned[n].expiresAt <= now {
		s.removeRun(s.abandoned[n].fingerprint, s.abandoned[n].upstream)
		n++
	}
	s.abandoned = s.abandoned[n:]
}

// takeRuns removes and returns all running and abandoned requests and parts of an upstream.
func (s *shard) takeRuns(now time.Duration, upstream string) map[Fingerprint]suspect {
	s.expireAbandonedRuns(now)
	s.abandoned = slices.DeleteFunc(s.abandoned, func(r abandonedRun) bool { return r.upstream == upstream })
	suspects := make(map[Fingerprint]suspect, len(s.running[upstream]))
	for f, r := range s.running[upstream] {
		suspects[f] = r.suspect
	}
	delete(s.running, upstream)
	return suspects
}

// hasAnswered reports whether a prompt with the part has been answered lately.
func (s *shard) hasAnswered(now time.Duration, part Fingerprint) bool {
	_, ok := s.answered.Get(now, part)
	return ok
}
