package soak

import (
	"sync"
	"time"
)

// spans are the times in which something was harmed; they may overlap. The zero value is
// empty. They are safe for concurrent use.
type spans struct {
	mu   sync.Mutex
	ends []time.Time // zero while the harm goes on
}

// begin notes the beginning of a harm; the result ends it.
func (s *spans) begin() func() {
	s.mu.Lock()
	defer s.mu.Unlock()
	i := len(s.ends)
	s.ends = append(s.ends, time.Time{})
	return func() {
		s.mu.Lock()
		defer s.mu.Unlock()
		s.ends[i] = time.Now()
	}
}

// calm reports whether no harm lasts now or has ended later than margin before a time.
func (s *spans) calm(at time.Time, margin time.Duration) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, end := range s.ends {
		if end.IsZero() || end.After(at.Add(-margin)) {
			return false
		}
	}
	return true
}
