package readers

import (
	"slices"
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
	// readerWaitFraction is how long a watch of a member that others ask waits, including the pause before
	// it. It is below StaleFraction by more than one wait of a follower.
	readerWaitFraction = 0.5
	// WatchWaitFraction is how long the watch of an instance without followers waits, and of a follower that
	// finds no reader. A watch whose connection is cut off receives neither changes nor a response, so it
	// must time out well within the bound.
	WatchWaitFraction = 0.6
	// minFollowFraction is the shortest wait for which another member is asked.
	minFollowFraction = 0.05
	// sourceBackoffFraction is how long a member that did not serve this instance is not asked again.
	sourceBackoffFraction = 1
	// platformRetryFraction is how long a reader asks others after the platform has failed.
	platformRetryFraction = 0.25
)

// standbyCount is the number of members after the readers that others ask when the readers fail.
const standbyCount = 2

// Question is what an instance does next to learn of changes.
type Question struct {
	// Source is the member to ask; nil for the platform.
	Source *membership.Member
	// Wait is how long the answer may be held until there is a change.
	Wait time.Duration
	// Timeout bounds the answer of a member. It is zero for the platform.
	Timeout time.Duration
}

// Schedule decides whom an instance asks next. It is safe for concurrent use.
type Schedule struct {
	bound time.Duration

	mu               sync.Mutex
	sources          []membership.Member // members that may serve this instance, in order of preference
	isReader         bool
	serves           bool // others may ask this instance
	confirmed        bool
	confirmedAt      time.Duration
	failedAt         map[membership.Process]time.Duration
	platformFailed   bool
	platformFailedAt time.Duration
	readNext         bool // the platform is asked next, whatever others say
}

// NewSchedule returns a schedule that keeps a freshness bound. Until SetMembers the instance is a reader.
func NewSchedule(bound time.Duration) *Schedule {
	return &Schedule{bound: bound, isReader: true, failedAt: map[membership.Process]time.Duration{}}
}

// SetMembers sets the live members of the failure domain of self, self among them. The first count of them in the
// order of Choose are readers. It reports whether the role of this instance has changed.
//
// The next members in that order are standbys: those that come later ask them when the readers fail. Each
// member asks only those before it, so that no two wait for each other. A reader whose platform fails asks
// all of them.
func (s *Schedule) SetMembers(self membership.Member, members []membership.Member, count int) (changed bool) {
	order := Choose(members, self.FailureDomain, count+standbyCount)
	position := slices.IndexFunc(order, func(m membership.Member) bool { return m.Incarnation.Process == self.Incarnation.Process })
	readers := order[:min(count, len(order))]
	s.mu.Lock()
	defer s.mu.Unlock()
	wasReader := s.isReader
	s.isReader = position >= 0 && position < count
	s.serves = position >= 0 && len(members) > count
	s.sources = nil // questions that were asked point into the old one
	for _, r := range PreferenceOf(self.Name, readers) {
		if r.Incarnation.Process != self.Incarnation.Process {
			s.sources = append(s.sources, r)
		}
	}
	for i := len(readers); i < len(order); i++ {
		if s.isReader || position < 0 || i < position {
			s.sources = append(s.sources, order[i])
		}
	}
	for process := range s.failedAt {
		if !slices.ContainsFunc(s.sources, func(m membership.Member) bool { return m.Incarnation.Process == process }) {
			delete(s.failedAt, process)
		}
	}
	return s.isReader != wasReader
}

// IsReader reports whether this instance reads the platform for its failure domain.
func (s *Schedule) IsReader() bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.isReader
}

// PlatformFailed records that the platform did not answer, or turned this instance away.
func (s *Schedule) PlatformFailed(now time.Duration) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.platformFailed, s.platformFailedAt = true, now
}

// PlatformAnswered records that the platform answered.
func (s *Schedule) PlatformAnswered() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.platformFailed = false
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

// Failed records that a member did not serve this instance: it did not answer, or its own copy is too old.
func (s *Schedule) Failed(now time.Duration, source membership.Process) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.failedAt[source] = now
}

// ReadNext makes the next question one to the platform: another member cannot send all that this instance
// lacks.
func (s *Schedule) ReadNext() {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.readNext = true
}

// UsefulAge returns the age from which the confirmation of another member does not help.
func (s *Schedule) UsefulAge() time.Duration {
	return s.fraction(StaleFraction - answerFraction - minFollowFraction)
}

// Next returns whom this instance asks next. paused is how long it has waited since its last answer.
func (s *Schedule) Next(now, paused time.Duration) Question {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.readNext {
		s.readNext = false
		return Question{}
	}
	age := now - s.confirmedAt
	untilStale := s.fraction(StaleFraction-answerFraction) - age
	if s.confirmed && s.follows(now) && untilStale >= s.fraction(minFollowFraction) {
		if source := s.servingSource(now); source != nil {
			wait := untilStale
			if s.isReader {
				wait = min(wait, s.fraction(platformRetryFraction))
			}
			return Question{Source: source, Wait: wait, Timeout: wait + s.fraction(answerFraction)}
		}
	}
	switch {
	case s.isReader && !s.serves:
		return Question{Wait: s.fraction(WatchWaitFraction)}
	case s.isReader:
		return Question{Wait: max(s.fraction(readerWaitFraction)-paused, s.fraction(minFollowFraction))}
	case s.serves:
		return Question{Wait: max(s.fraction(readerWaitFraction)-age, 0)}
	}
	// A stale copy is confirmed at once; the wait of a fresh one ends before it is stale.
	return Question{Wait: max(s.fraction(WatchWaitFraction)-age, 0)}
}

// follows reports whether the instance asks others: it is no reader, or the platform has just failed. The caller
// must hold mu.
func (s *Schedule) follows(now time.Duration) bool {
	return !s.isReader || s.platformFailed && now-s.platformFailedAt < s.fraction(platformRetryFraction)
}

// Source returns the first member that may serve this instance and has not failed lately, or nil.
func (s *Schedule) Source(now time.Duration) *membership.Member {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.servingSource(now)
}

// servingSource returns the first source that has not failed lately, or nil. The caller must hold mu.
func (s *Schedule) servingSource(now time.Duration) *membership.Member {
	for i, m := range s.sources {
		if at, failed := s.failedAt[m.Incarnation.Process]; !failed || now-at >= s.fraction(sourceBackoffFraction) {
			return &s.sources[i]
		}
	}
	return nil
}

func (s *Schedule) fraction(f float64) time.Duration { return time.Duration(f * float64(s.bound)) }
