package quarantine

import (
	"slices"
	"sync"
	"time"
)

// crash is one crash that a request ran beside. cleared is set once and for all: a
// request that completed after the crash is not accused of it again.
type crash struct {
	id      CrashID
	at      time.Duration
	cleared bool
}

// entry is one suspect. Its crashes are sorted by identifier. It is linked in the list
// of its team in the order of the latest new crash.
type entry struct {
	fingerprint Fingerprint
	team        *teamEntries
	crashes     []crash
	latest      time.Duration // time of the latest crash
	prev, next  *entry
}

func (e *entry) verdict() Verdict {
	open := 0
	for _, c := range e.crashes {
		if !c.cleared {
			open++
		}
	}
	switch {
	case open >= convictingCrashes:
		return Refuse
	case open > 0:
		return Suspect
	default:
		return Clear
	}
}

// clear marks the open crashes as cleared and returns the message for the peers.
func (e *entry) clear(now time.Duration) Suspicion {
	x := Suspicion{Fingerprint: e.fingerprint, Team: e.team.name, Cleared: true, Age: now - e.latest}
	for i := range e.crashes {
		if c := &e.crashes[i]; !c.cleared {
			c.cleared = true
			x.Crashes = append(x.Crashes, c.id)
		}
	}
	return x
}

// merge adds a crash. A known crash keeps its earliest time, so that passing it on does
// not prolong it, and stays cleared. It returns true when the crash was not known.
func (e *entry) merge(c crash) bool {
	i, known := slices.BinarySearchFunc(e.crashes, c, func(a, b crash) int { return compareCrash(a.id, b.id) })
	if known {
		e.crashes[i].at = min(e.crashes[i].at, c.at)
		e.crashes[i].cleared = e.crashes[i].cleared || c.cleared
	} else {
		e.crashes = slices.Insert(e.crashes, i, c)
	}
	if len(e.crashes) > maxCrashes {
		e.dropCrash()
	}
	e.latest = e.crashes[0].at
	for _, c := range e.crashes {
		e.latest = max(e.latest, c.at)
	}
	return !known
}

// dropCrash removes the oldest cleared crash, or the oldest crash when all are open.
func (e *entry) dropCrash() {
	victim := 0
	for i, c := range e.crashes {
		v := e.crashes[victim]
		if c.cleared != v.cleared && c.cleared || c.cleared == v.cleared && c.at < v.at {
			victim = i
		}
	}
	e.crashes = slices.Delete(e.crashes, victim, victim+1)
}

// teamEntries is the list of the suspects of one team in one shard, oldest first.
type teamEntries struct {
	name        string
	front, back *entry
	count       int
}

func (t *teamEntries) push(e *entry) {
	e.team, e.prev = t, t.back
	if t.back != nil {
		t.back.next = e
	} else {
		t.front = e
	}
	t.back = e
	t.count++
}

func (t *teamEntries) remove(e *entry) {
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

// shard holds the suspects and the running requests of a sixteenth of the fingerprints.
type shard struct {
	mu       sync.Mutex
	lifetime time.Duration
	limit    int
	entries  map[Fingerprint]*entry
	teams    map[string]*teamEntries
	running  map[string]map[Fingerprint]*run // by upstream
}

// run counts the copies of one request that run at one upstream.
type run struct {
	team   string
	copies int
}

func (s *shard) init(lifetime time.Duration, limit int) {
	s.lifetime, s.limit = lifetime, limit
	s.entries = make(map[Fingerprint]*entry)
	s.teams = make(map[string]*teamEntries)
	s.running = make(map[string]map[Fingerprint]*run)
}

// find returns the entry of a fingerprint unless it has expired.
func (s *shard) find(now time.Duration, f Fingerprint) *entry {
	e := s.entries[f]
	if e != nil && now-e.latest >= s.lifetime {
		s.remove(e)
		return nil
	}
	return e
}

// record adds a crash to a request and makes room if it is a new suspect.
func (s *shard) record(now time.Duration, f Fingerprint, team string, c crash) {
	e := s.find(now, f)
	if e == nil {
		e = &entry{fingerprint: f}
		s.insert(e, team)
	}
	if e.merge(c) {
		e.team.remove(e)
		e.team.push(e)
	}
	if len(s.entries) > s.limit {
		s.evict(now, e)
	}
}

func (s *shard) insert(e *entry, team string) {
	t := s.teams[team]
	if t == nil {
		t = &teamEntries{name: team}
		s.teams[team] = t
	}
	s.entries[e.fingerprint] = e
	t.push(e)
}

func (s *shard) remove(e *entry) {
	delete(s.entries, e.fingerprint)
	e.team.remove(e)
	if e.team.count == 0 {
		delete(s.teams, e.team.name)
	}
}

// evict removes the expired entries, and if there are none the oldest entry of the team
// with the most entries. Among teams with equally many, the team of the new entry loses.
func (s *shard) evict(now time.Duration, added *entry) {
	for _, e := range s.entries {
		if now-e.latest >= s.lifetime {
			s.remove(e)
		}
	}
	if len(s.entries) <= s.limit {
		return
	}
	victim := added.team
	for _, t := range s.teams {
		if t.count > victim.count || t.count == victim.count && victim != added.team && t.name < victim.name {
			victim = t
		}
	}
	s.remove(victim.front)
}

// snapshot appends the suspicions of the shard. All crashes of an entry get the age of
// its latest one, because an entry expires as a whole.
func (s *shard) snapshot(now time.Duration, out []Suspicion) []Suspicion {
	for _, t := range s.teams {
		for e := t.front; e != nil; e = e.next {
			if now-e.latest >= s.lifetime {
				continue
			}
			for _, cleared := range []bool{false, true} {
				x := Suspicion{Fingerprint: e.fingerprint, Team: t.name, Cleared: cleared, Age: now - e.latest}
				for _, c := range e.crashes {
					if c.cleared == cleared {
						x.Crashes = append(x.Crashes, c.id)
					}
				}
				if len(x.Crashes) > 0 {
					out = append(out, x)
				}
			}
		}
	}
	return out
}

func (s *shard) start(f Fingerprint, team, upstream string) {
	at := s.running[upstream]
	if at == nil {
		at = make(map[Fingerprint]*run)
		s.running[upstream] = at
	}
	if at[f] == nil {
		at[f] = &run{team: team}
	}
	at[f].copies++
}

func (s *shard) stop(f Fingerprint, upstream string) {
	at := s.running[upstream]
	r := at[f]
	if r == nil {
		return
	}
	if r.copies--; r.copies == 0 {
		delete(at, f)
	}
	if len(at) == 0 {
		delete(s.running, upstream)
	}
}

// crash ends all requests at an upstream and returns their teams.
func (s *shard) crash(upstream string) map[Fingerprint]string {
	teams := make(map[Fingerprint]string, len(s.running[upstream]))
	for f, r := range s.running[upstream] {
		teams[f] = r.team
	}
	delete(s.running, upstream)
	return teams
}
