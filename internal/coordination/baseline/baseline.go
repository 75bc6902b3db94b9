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
	// DefaultQueueLimit bounds the waiting requests.
	DefaultQueueLimit = 10_000
	// ConnectionsPerUpstream is a common default of connection pools.
	ConnectionsPerUpstream = 64
	// retryAfter is what a caller hears when the queue is full.
	retryAfter = time.Second
)

// Queue is a first-in first-out queue. It is safe for concurrent use.
type Queue struct {
	mu    sync.Mutex
	limit int
	order *list.List // of scheduler.Request
	byID  map[uint64]*list.Element
}

// NewQueue returns an empty queue.
func NewQueue(limit int) *Queue {
	if limit == 0 {
		limit = DefaultQueueLimit
	}
	return &Queue{limit: limit, order: list.New(), byID: map[uint64]*list.Element{}}
}

// Enqueue appends the request; only a full queue refuses it.
func (q *Queue) Enqueue(_ time.Duration, r scheduler.Request) []scheduler.Shed {
	q.mu.Lock()
	defer q.mu.Unlock()
	if len(q.byID) >= q.limit && !r.Retry {
		return []scheduler.Shed{{ID: r.ID, Reason: scheduler.ReasonQueueFull, RetryAfter: retryAfter}}
	}
	q.byID[r.ID] = q.order.PushBack(r)
	return nil
}

// Next removes the oldest request.
func (q *Queue) Next(time.Duration) (scheduler.Request, bool, []scheduler.Shed) {
	q.mu.Lock()
	defer q.mu.Unlock()
	front := q.order.Front()
	if front == nil {
		return scheduler.Request{}, false, nil
	}
	r := q.order.Remove(front).(scheduler.Request)
	delete(q.byID, r.ID)
	return r, true, nil
}

// Cancel removes a request.
func (q *Queue) Cancel(_ time.Duration, id uint64) bool {
	q.mu.Lock()
	defer q.mu.Unlock()
	e, ok := q.byID[id]
	if ok {
		q.order.Remove(e)
		delete(q.byID, id)
	}
	return ok
}

// Reconfigure changes nothing: the queue knows no classes.
func (q *Queue) Reconfigure(time.Duration, scheduler.Options) {}

// SetSlots changes nothing.
func (q *Queue) SetSlots(time.Duration, int, int) {}

// Tick sheds nothing.
func (q *Queue) Tick(time.Duration) []scheduler.Shed { return nil }

// Observe learns nothing.
func (q *Queue) Observe(time.Duration, scheduler.Sample) {}

// MergePressure ignores the peers.
func (q *Queue) MergePressure(time.Duration, string, scheduler.Pressure, time.Duration) {}

// Pressure returns the length of the queue.
func (q *Queue) Pressure(time.Duration) scheduler.Pressure {
	q.mu.Lock()
	defer q.mu.Unlock()
	return scheduler.Pressure{Queued: len(q.byID)}
}

// RoundRobin takes upstreams in turn. It is safe for concurrent use.
type RoundRobin struct {
	mu       sync.Mutex
	ups      []balancer.Upstream
	inFlight map[string]int
	next     int
	token    uint64
	taken    map[uint64]string
}

// NewRoundRobin returns a chooser without upstreams.
func NewRoundRobin() *RoundRobin {
	return &RoundRobin{inFlight: map[string]int{}, taken: map[uint64]string{}}
}

// Update replaces the upstreams; those that leave get nothing new.
func (b *RoundRobin) Update(_ time.Duration, ups []balancer.Upstream) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.ups = slices.DeleteFunc(slices.Clone(ups), func(u balancer.Upstream) bool { return u.Leaving })
}

// Free returns the open connections of all upstreams.
func (b *RoundRobin) Free(time.Duration) int {
	b.mu.Lock()
	defer b.mu.Unlock()
	free := 0
	for _, u := range b.ups {
		free += max(ConnectionsPerUpstream-b.inFlight[u.Name], 0)
	}
	return free
}

// Room returns the open connections and all of them.
func (b *RoundRobin) Room(now time.Duration) (open, total int) {
	open = b.Free(now)
	b.mu.Lock()
	defer b.mu.Unlock()
	return open, ConnectionsPerUpstream * len(b.ups)
}

// Pick takes the next upstream with an open connection. Affinity, isolation and
// upstreams already tried are ignored.
func (b *RoundRobin) Pick(time.Duration, balancer.Request) (balancer.Pick, bool) {
	b.mu.Lock()
	defer b.mu.Unlock()
	for range b.ups {
		u := b.ups[b.next%len(b.ups)]
		b.next++
		if b.inFlight[u.Name] < ConnectionsPerUpstream {
			b.inFlight[u.Name]++
			b.token++
			b.taken[b.token] = u.Name
			return balancer.Pick{Upstream: u, Token: b.token}, true
		}
	}
	return balancer.Pick{}, false
}

// Done gives the connection back, once.
func (b *RoundRobin) Done(_ time.Duration, p balancer.Pick, _ balancer.Result) {
	b.mu.Lock()
	defer b.mu.Unlock()
	if name, ok := b.taken[p.Token]; ok {
		delete(b.taken, p.Token)
		b.inFlight[name]--
	}
}

// SetTokenIntervalTarget ignores the target.
func (b *RoundRobin) SetTokenIntervalTarget(time.Duration) {}

// SetPeers ignores the peers.
func (b *RoundRobin) SetPeers(time.Duration, []string) {}

// ReportLoad ignores load reports.
func (b *RoundRobin) ReportLoad(time.Duration, string, balancer.LoadReport) {}

// Snapshot lists the upstreams.
func (b *RoundRobin) Snapshot(time.Duration) []balancer.UpstreamState {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]balancer.UpstreamState, 0, len(b.ups))
	for _, u := range b.ups {
		list = append(list, balancer.UpstreamState{Upstream: u, InFlight: b.inFlight[u.Name]})
	}
	return list
}
