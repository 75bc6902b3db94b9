package readers

import (
	"sync"
	"time"

	"github.com/yuccabridge/yuccabridge/internal/coordination/membership"
)

// Fractions of the freshness bound.
const (
	// StaleFraction is the age of the confirmation from which an instance asks the platform itself.
	StaleFraction = 0.65
	// answerFraction is reserved for the answer of a reader after its wait.
	answerFraction = 0.05
	// readerWaitFraction is how long a watch of a reader with followers waits, including the pause before
	// it. It is below StaleFraction by more than one wait of a follower.
	readerWaitFraction = 0.5
	// WatchWaitFraction is how long the watch of an instance without followers waits, and of a follower that
	// finds no reader. A watch whose connection is cut off receives neither changes nor a response, so it
	// must time out well within the bound.
	WatchWaitFraction = 0.6
	// minFollowFraction is the shortest wait for which a reader is asked.
	minFollowFraction = 0.05
	// readerBackoffFraction is how long a reader that did not serve a follower is not asked again.
	readerBackoffFraction = 1
)

// Question is what an instance does next to learn of changes.
type Question struct {
	// Reader is the reader to ask; nil for the platform.
	Reader *membership.Member
	// Wait is how long the answer may be held until there is a change.
	Wait time.Duration
	// Timeout bounds the answer of a reader. It is zero for the platform.
	Timeout time.Duration
}

// Schedule decides whom an instance asks next. It is safe for concurrent use.
type Schedule struct {
	bound time.Duration

	mu           sync.Mutex
	readers      []membership.Member // in order of preference; without this instance
	isReader     bool
	hasFollowers bool
	confirmed    bool
	confirmedAt  time.Duration
	failedAt     map[membership.Process]time.Duration
}

// NewSchedule returns a schedule that keeps a freshness bound. Until SetReaders the instance is a reader.
func NewSchedule(bound time.Duration) *Schedule {
	return &Schedule{bound: bound, isReader: true, failedAt: map[membership.Process]time.Duration{}}
}

// SetReaders sets the readers of the failure domain, of which self may be one, and the number of members of
// the domain. It reports whether the role of this instance has changed.
func (s *Schedule) SetReaders(self membership.Member, readers []membership.Member, members int) (changed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	wasReader := s.isReader
	s.isReader, s.readers = false, nil
	for _, r := range PreferenceOf(self.Name, readers) {
		if r.Incarnation.Process == self.Incarnation.Process {
			s.isReader = true
			continue
		}
		s.readers = append(s.readers, r)
	}
	s.hasFollowers = s.isReader && members > len(readers)
	for process := range s.failedAt {
		if !s.knows(process) {
			delete(s.failedAt, process)
		}
	}
	return s.isReader != wasReader
}

// knows reports whether a process is one of the readers. The caller must hold mu.
func (s *Schedule) knows(process membership.Process) bool {
	for _, r := range s.readers {
		if r.Incarnation.Process == process {
			return true
		}
	}
	return false
}

// IsReader reports whether this instance reads the platform for its failure domain.
func (s *Schedule) IsReader() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isReader
}

// Confirmed records that the copy of this instance was current at a time.
func (s *Schedule) Confirmed(at time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if !s.confirmed || at > s.confirmedAt {
		s.confirmed, s.confirmedAt = true, at
	}
}

// Age returns the age of the confirmation; false if there is none.
func (s *Schedule) Age(now time.Duration) (time.Duration, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return now - s.confirmedAt, s.confirmed
}

// Failed records that a reader did not serve this instance: it did not answer, or its own copy is too old.
func (s *Schedule) Failed(now time.Duration, reader membership.Process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failedAt[reader] = now
}

// UsefulAge returns the age from which the confirmation of a reader does not help a follower.
func (s *Schedule) UsefulAge() time.Duration {
	return s.fraction(StaleFraction - answerFraction - minFollowFraction)
}

// Next returns whom this instance asks next. paused is how long it has waited since its last answer.
func (s *Schedule) Next(now, paused time.Duration) Question {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.isReader {
		if s.hasFollowers {
			return Question{Wait: max(s.fraction(readerWaitFraction)-paused, s.fraction(minFollowFraction))}
		}
		return Question{Wait: s.fraction(WatchWaitFraction)}
	}
	age := now - s.confirmedAt
	wait := s.fraction(StaleFraction-answerFraction) - age
	if s.confirmed && wait >= s.fraction(minFollowFraction) {
		if reader := s.servingReader(now); reader != nil {
			return Question{Reader: reader, Wait: wait, Timeout: wait + s.fraction(answerFraction)}
		}
	}
	// A stale copy is confirmed at once; the wait of a fresh one ends before it is stale.
	return Question{Wait: max(s.fraction(WatchWaitFraction)-age, 0)}
}

// servingReader returns the first reader that has not failed lately, or nil. The caller must hold mu.
func (s *Schedule) servingReader(now time.Duration) *membership.Member {
	for i, r := range s.readers {
		if at, failed := s.failedAt[r.Incarnation.Process]; !failed || now-at >= s.fraction(readerBackoffFraction) {
			return &s.readers[i]
		}
	}
	return nil
}

func (s *Schedule) fraction(f float64) time.Duration { return time.Duration(f * float64(s.bound)) }
