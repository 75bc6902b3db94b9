package baseline

import (
	"container/list"
	"slices"
	"sync"
	"time"

	"github.com/yuccabridge/yuccabridge/internal/coordination/balancer"
	"github.com/yuccabridge/yuccabridge/internal/coordination/scheduler"
)

const (
	// DefaultQueueLimit is the default limit on the number of queued requests.
	DefaultQueueLimit = 10_000
	// ConnectionsPerUpstream is the number of concurrent connections to each upstream, a
	// common default of connection pools.
	ConnectionsPerUpstream = 64
	// queueFullRetryAfter is the Retry-After time of requests refused by a full queue.
	queueFullRetryAfter = time.Second
)

// Queue is a first-in, first-out queue of requests. It is safe for concurrent use.
type Queue struct {
	mu       sync.Mutex
	limit    int
	requests *list.List // of scheduler.Request
	elements map[uint64]*list.Element
}

// NewQueue returns an empty queue. A limit of 0 selects DefaultQueueLimit.
func NewQueue(limit int) *Queue {
	if limit == 0 {
		limit = DefaultQueueLimit
	}
	return &Queue{limit: limit, requests: list.New(), elements: map[uint64]*list.Element{}}
}

// Enqueue appends a request. A full queue refuses it unless it is a retry.
func (q *Queue) Enqueue(_ time.Duration, r scheduler.Request) []scheduler.Shed {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.elements) >= q.limit && !r.Retry {
		return []scheduler.Shed{{ID: r.ID, Reason: scheduler.ReasonQueueFull, RetryAfter: queueFullRetryAfter}}
	}
	q.elements[r.ID] = q.requests.PushBack(r)
	return nil
}

// Next removes and returns the oldest request.
func (q *Queue) Next(time.Duration) (scheduler.Request, bool, []scheduler.Shed) {
	q.mu.Lock()
	defer q.mu.Unlock()
	front := q.requests.Front()
	if front == nil {
		return scheduler.Request{}, false, nil
	}
	r := q.requests.Remove(front).(scheduler.Request)
	delete(q.elements, r.ID)
	return r, true, nil
}

// Cancel removes a request and reports whether it was queued.
func (q *Queue) Cancel(_ time.Duration, id uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	element, ok := q.elements[id]
	if ok {
		q.requests.Remove(element)
		delete(q.elements, id)
	}
	return ok
}

// Reconfigure does nothing: the queue has no classes.
func (q *Queue) Reconfigure(time.Duration, scheduler.Options) {}

// SetRoom does nothing: the queue does not depend on free slots.
func (q *Queue) SetRoom(time.Duration, int, int) {}

// Tick does nothing: queued requests do not expire.
func (q *Queue) Tick(time.Duration) []scheduler.Shed { return nil }

// Observe does nothing: the queue uses no latency samples.
func (q *Queue) Observe(time.Duration, scheduler.Sample) {}

// MergePressure does nothing: the queue ignores the load of peers.
func (q *Queue) MergePressure(time.Duration, string, scheduler.Pressure, time.Duration) {}

// Pressure returns the number of queued requests.
func (q *Queue) Pressure(time.Duration) scheduler.Pressure {
	q.mu.Lock()
	defer q.mu.Unlock()
	return scheduler.Pressure{Queued: len(q.elements)}
}

// RoundRobin selects upstreams in turn. It is safe for concurrent use.
type RoundRobin struct {
	mu               sync.Mutex
	upstreams        []balancer.Upstream
	inFlight         map[string]int
	nextIndex        int
	lastHandle       uint64
	upstreamByHandle map[uint64]string
}

// NewRoundRobin returns a RoundRobin without upstreams.
func NewRoundRobin() *RoundRobin {
	return &RoundRobin{inFlight: map[string]int{}, upstreamByHandle: map[uint64]string{}}
}

// SetUpstreams replaces the list of upstreams. Upstreams that are leaving receive no new
// requests.
func (rr *RoundRobin) SetUpstreams(_ time.Duration, upstreams []balancer.Upstream) {
	rr.mu.Lock()
	defer rr.mu.Unlock()
	rr.upstreams = slices.DeleteFunc(slices.Clone(upstreams), func(u balancer.Upstream) bool { return u.Leaving })
}

// FreeConnections returns the number of free connections of all upstreams.
func (rr *RoundRobin) FreeConnections(time.Duration) int {
	rr.mu.Lock()
	defer rr.mu.Unlock()
	free := 0
	for _, u := range rr.upstreams {
		free += max(ConnectionsPerUpstream-rr.inFlight[u.Name], 0)
	}
	return free
}

// SlotCounts returns the number of free connections and the total number.
func (rr *RoundRobin) SlotCounts(now time.Duration) (open, total int) {
	open = rr.FreeConnections(now)
	rr.mu.Lock()
	defer rr.mu.Unlock()
	return open, ConnectionsPerUpstream * len(rr.upstreams)
}

// Pick selects the next upstream with a free connection. It ignores prefix affinity,
// isolation and the upstreams already tried.
func (rr *RoundRobin) Pick(time.Duration, balancer.Request) (balancer.Pick, bool) {
	rr.mu.Lock()
	defer rr.mu.Unlock()
	for range rr.upstreams {
		u := rr.upstreams[rr.nextIndex%len(rr.upstreams)]
		rr.nextIndex++
		if rr.inFlight[u.Name] < ConnectionsPerUpstream {
			rr.inFlight[u.Name]++
			rr.lastHandle++
			rr.upstreamByHandle[rr.lastHandle] = u.Name
			return balancer.Pick{Upstream: u, Handle: rr.lastHandle}, true
		}
	}
	return balancer.Pick{}, false
}

// Done releases the connection. Only the first call with the same handle has an effect.
func (rr *RoundRobin) Done(_ time.Duration, p balancer.Pick, _ balancer.Result) {
	rr.mu.Lock()
	defer rr.mu.Unlock()
	if name, ok := rr.upstreamByHandle[p.Handle]; ok {
		delete(rr.upstreamByHandle, p.Handle)
		rr.inFlight[name]--
	}
}

// SetTokenIntervalTarget does nothing.
func (rr *RoundRobin) SetTokenIntervalTarget(time.Duration) {}

// SetPeers does nothing.
func (rr *RoundRobin) SetPeers(time.Duration, []string) {}

// ReportLoad does nothing.
func (rr *RoundRobin) ReportLoad(time.Duration, string, balancer.LoadReport) {}

// Snapshot returns the upstreams with their requests in flight.
func (rr *RoundRobin) Snapshot(time.Duration) []balancer.UpstreamState {
	rr.mu.Lock()
	defer rr.mu.Unlock()
	states := make([]balancer.UpstreamState, 0, len(rr.upstreams))
	for _, u := range rr.upstreams {
		states = append(states, balancer.UpstreamState{Upstream: u, InFlight: rr.inFlight[u.Name]})
	}
	return states
}
