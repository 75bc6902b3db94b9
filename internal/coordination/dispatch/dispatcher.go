package dispatch

import (
	"cmp"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/yuccabridge/yuccabridge/internal/state/fairqueue"
)

const (
	defaultTokensPerMS = 40
	defaultQueueLimit  = 512
	// holdShare is the share of what is left until its target that a long prompt may
	// wait at an upstream; beyond, it waits here.
	holdShare = 0.6
	// chunkTime is the least time that reading a long prompt takes. An upstream whose slots
	// are read within the target, a chunk each, has a short queue while its slots suffice.
	chunkTime = 55 * time.Millisecond
	// minHold keeps requests that are already late from waiting for an idle upstream.
	minHold = 100 * time.Millisecond
	// rateWeight is the weight of a new sample of the reading rate.
	rateWeight = 0.02
	// fasterWeight is the same for a sample above the rate: only few requests have an
	// upstream for themselves, and these show the rate.
	fasterWeight = 0.1
	// maxRetryAfter bounds the time to come back.
	maxRetryAfter = 5 * time.Second
	// minRetryAfter keeps rejected callers from returning into the same backlog.
	minRetryAfter = 100 * time.Millisecond
	// plainWeight is the weight of a new answer time of a plain service.
	plainWeight = 0.1
	// maxRank bounds the tiers of the queue.
	maxRank = 15
	// peerKeep is how many reports to peers are kept until they are collected.
	peerKeep = 1024
)

// Dispatcher decides for one service. It is safe for concurrent use. Methods take the
// monotonic time since process start.
type Dispatcher struct {
	mu      sync.Mutex
	options Options
	rng     *rand.Rand

	servers map[string]*server
	tagged  map[Tag]*server
	domains map[string]time.Duration // when the last request that was answered there was sent
	order   []*server                // by position, the same at all instances

	rate         float64 // prompt tokens read in a millisecond
	plainLatency float64 // mean answer time of the service in seconds
	demand       demand
	border       border
	leastUrgent  leastUrgent

	queue   *fairqueue.Queue[*item]
	waiting map[uint64]*item
	grants  map[uint64]*grant
	next    uint64
	placed  []Work        // for the peers
	fullAt  time.Duration // of the next report of all loads
	lateAt  time.Duration // of the next look for late requests
	values  []float64
	medians usual
}

// item is a waiting request.
type item struct {
	fairqueue.Entry[*item]
	request Request
}

// grant is a request at an upstream.
type grant struct {
	s        *server
	priority int
	prompt   int
	cached   int
	sent     time.Duration
	wait     time.Duration
	work     time.Duration
	first    bool
	stream   bool          // with short pauses
	shift    time.Duration // of the server when the request was sent
}

// New returns a dispatcher without upstreams. rng must not be shared.
func New(o Options, rng *rand.Rand) *Dispatcher {
	if o.TokensPerMS <= 0 {
		o.TokensPerMS = defaultTokensPerMS
	}
	if o.QueueLimit <= 0 {
		o.QueueLimit = defaultQueueLimit
	}
	return &Dispatcher{
		options: o, rng: rng, rate: o.TokensPerMS,
		servers: map[string]*server{}, domains: map[string]time.Duration{}, waiting: map[uint64]*item{}, grants: map[uint64]*grant{},
		queue: fairqueue.New[*item](o.QueueLimit, 0, 1),
	}
}

// Update replaces the list of upstreams. Those that remain keep their learned state.
func (d *Dispatcher) Update(now time.Duration, list []Server) {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := make(map[string]*server, len(list))
	for _, s := range list {
		x := d.servers[s.ID]
		if x == nil || x.Address != s.Address || x.Memory != s.Memory {
			x = newServer(s)
		}
		x.Server = s
		next[s.ID] = x
	}
	d.servers, d.tagged = next, make(map[Tag]*server, len(next))
	d.order = d.order[:0]
	for _, s := range next {
		d.order = append(d.order, s)
		d.tagged[s.tag] = s
	}
	slices.SortFunc(d.order, comparePosition)
	d.setBorder(now)
}

// Submit decides about a new request. The decision is empty when the request waits; a
// later Advance decides about it.
func (d *Dispatcher) Submit(now time.Duration, r Request) Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.leastUrgent.add(now, r.Rank)
	decision := d.arrive(now, &r)
	if decision.Grant != nil || decision.Rejection != nil {
		return decision
	}
	x := &item{request: r}
	x.Entry = fairqueue.Entry[*item]{
		Tier: tier(r.Rank), Team: r.Team, Weight: 1, Cost: reading(d.rate, r.Prompt, 0).Seconds(),
		Arrived: r.Arrived, Retry: len(r.Exclude) > 0, Value: x,
	}
	d.queue.Push(&x.Entry)
	d.waiting[r.ID] = x
	if v := d.queue.Victim(); v != nil {
		return d.displace(now, v.Value, r.ID)
	}
	return decision
}

// displace rejects the victim of a full queue. Another request than the arriving one is
// rejected in the next Advance.
func (d *Dispatcher) displace(now time.Duration, v *item, arriving uint64) Decision {
	if v.request.ID != arriving {
		v.request.Deadline = now
		return Decision{ID: arriving}
	}
	d.drop(v)
	return d.reject(now, &v.request, ReasonQueueFull, 0)
}

// Advance decides about the waiting requests: in the order of the queue while they can be
// placed, then those of the same rank behind whose own upstream has room.
func (d *Dispatcher) Advance(now time.Duration) []Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.setBorder(now)
	out := d.deferLate(now)
	for len(d.waiting) > 0 {
		decision, ok := d.advanceHead(now)
		if !ok {
			break
		}
		out = append(out, decision)
	}
	// A less urgent request never begins while a more urgent one waits, whose shorter
	// target lets it wait at an upstream for less.
	best, _ := d.queue.Best()
	for _, x := range d.byUrgency() {
		if x.Tier > best {
			break
		}
		if decision, ok := d.settle(now, x); ok {
			out = append(out, decision)
		}
	}
	return out
}

// deferLate puts requests that can no longer meet their target behind those of their
// priority that can: served first they would make those late, too. Those that would not
// begin before their deadline behind all that waits are rejected at once.
// Load pattern: more long prompts than the upstreams can read, for longer than the target.
func (d *Dispatcher) deferLate(now time.Duration) []Decision {
	if now < d.lateAt {
		return nil
	}
	d.lateAt = now + lateInterval
	var out []Decision
	for _, x := range d.byUrgency() {
		r := &x.request
		least := now + stepTime + reading(d.rate, r.Prompt, r.Prompt/2)
		if least <= r.Target {
			continue
		}
		if predicted := least + d.queuedAhead(r); predicted > r.Deadline {
			d.drop(x)
			out = append(out, d.reject(now, r, ReasonDeadline, predicted-now))
		} else if !x.Deferred() {
			d.queue.Defer(&x.Entry)
		}
	}
	return out
}

// lateInterval is how often the waiting requests are looked through for late ones.
const lateInterval = 100 * time.Millisecond

// advanceHead decides about the next request in the order of the queue.
func (d *Dispatcher) advanceHead(now time.Duration) (Decision, bool) {
	best, ok := d.queue.Best()
	if !ok {
		return Decision{}, false
	}
	e := d.queue.Head(best)
	if e == nil {
		return Decision{}, false
	}
	return d.settle(now, e.Value)
}

// settle takes the request out of the queue when it is decided.
func (d *Dispatcher) settle(now time.Duration, x *item) (Decision, bool) {
	decision := d.decide(now, &x.request, 0)
	switch {
	case decision.Grant != nil:
		d.queue.Take(&x.Entry)
		delete(d.waiting, x.request.ID)
	case decision.Rejection != nil:
		d.drop(x)
	default:
		return decision, false
	}
	return decision, true
}

// byUrgency returns the waiting requests by priority and arrival.
func (d *Dispatcher) byUrgency() []*item {
	if len(d.waiting) == 0 {
		return nil
	}
	list := make([]*item, 0, len(d.waiting))
	for _, x := range d.waiting {
		list = append(list, x)
	}
	slices.SortFunc(list, func(a, b *item) int {
		return cmp.Or(a.Tier-b.Tier, cmp.Compare(a.request.Arrived, b.request.Arrived), cmp.Compare(a.request.ID, b.request.ID))
	})
	return list
}

func (d *Dispatcher) drop(x *item) {
	d.queue.Remove(&x.Entry)
	delete(d.waiting, x.request.ID)
}

// arrive decides about a new request. A long prompt of the least urgent rank that would
// miss its target behind a backlog is rejected: it would make those behind it late, too.
// Short prompts are not: they cost little.
func (d *Dispatcher) arrive(now time.Duration, r *Request) Decision {
	queued := d.queuedAhead(r)
	if d.isLong(r) && !r.Returning && len(r.Exclude) == 0 && d.leastUrgent.is(now, r.Rank) {
		if c, ok := d.choose(now, r); ok && c.s.Memory > 0 && now+queued+c.firstOutput() > r.Target && c.wait+queued > c.work {
			return d.reject(now, r, ReasonTarget, queued+c.firstOutput())
		}
	}
	return d.decide(now, r, queued)
}

// decide places the request, keeps it waiting or rejects it. queued is the predicted
// delay by requests that wait ahead of it.
func (d *Dispatcher) decide(now time.Duration, r *Request, queued time.Duration) Decision {
	c, ok := d.choose(now, r)
	if !ok {
		return d.reject(now, r, ReasonNoServer, 0)
	}
	predicted := queued + c.firstOutput()
	// A plain upstream with a free slot is used even if the last answers took longer than
	// the deadline: without requests it would never be seen to have recovered.
	unproven := c.s.Memory == 0 && queued+c.wait == 0
	if now+predicted > r.Deadline && !unproven {
		return d.reject(now, r, ReasonDeadline, predicted)
	}
	if d.mustHold(now, r, &c, queued) {
		return Decision{ID: r.ID}
	}
	return d.grantTo(now, r, c)
}

// mustHold reports whether the request waits here.
func (d *Dispatcher) mustHold(now time.Duration, r *Request, c *candidate, queued time.Duration) bool {
	if c.s.Memory == 0 {
		return c.s.own.InFlight >= c.s.Slots
	}
	if c.s.load() >= d.room(r, c.s) {
		return true // it would take the place of another request
	}
	if !d.isLong(r) {
		return false
	}
	limit := r.Target - now
	if time.Duration(c.s.Slots)*chunkTime > limit {
		limit = time.Duration(holdShare * float64(limit))
	}
	return queued > 0 || c.wait > max(limit, minHold)
}

// queuedAhead is the predicted delay by the waiting requests that come first: those of the
// own team, and of every other team as much as the own team gets in the same time.
// Load pattern: one team sends many times its usual; the others' requests are predicted,
// and accepted, as if it did not.
func (d *Dispatcher) queuedAhead(r *Request) time.Duration {
	if len(d.waiting) == 0 || len(d.order) == 0 {
		return 0
	}
	byTeam := map[string]float64{}
	for _, x := range d.waiting {
		if x.request.Rank <= r.Rank {
			byTeam[x.request.Team] += x.Cost
		}
	}
	own := byTeam[r.Team] + reading(d.rate, r.Prompt, 0).Seconds()
	ahead := 0.0
	for _, work := range byTeam {
		ahead += min(work, own)
	}
	return d.spreadOver(ahead)
}

// spreadOver is the time in which the upstreams do work of so many seconds.
func (d *Dispatcher) spreadOver(work float64) time.Duration {
	return time.Duration(work / float64(max(1, len(d.order))) * float64(time.Second))
}

// backlog is the predicted time until everything that waits is done.
func (d *Dispatcher) backlog() time.Duration {
	work := 0.0
	for _, x := range d.waiting {
		work += x.Cost
	}
	return d.spreadOver(work)
}

func (d *Dispatcher) grantTo(now time.Duration, r *Request, c candidate) Decision {
	s := c.s
	d.next++
	g := &grant{
		s: s, priority: r.Priority, prompt: r.Prompt, cached: c.cached, sent: now, wait: c.wait, work: c.work,
		stream: hasShortPauses(r), shift: s.shift[level(r.Priority)],
	}
	d.grants[d.next] = g
	s.own.InFlight++
	if g.stream {
		s.own.Streams++
	}
	if s.Memory > 0 {
		d.demand.add(now, c.work, d.isLong(r))
		s.add(now, r.Priority, c.work)
		s.keep(now, sharedParts(r.Prefix))
		if len(d.placed) < peerKeep {
			d.placed = append(d.placed, Work{Server: s.tag, Reading: c.work, Priority: r.Priority, Long: d.isLong(r), Session: sessionPart(r.Prefix)})
		}
	}
	return Decision{ID: r.ID, Grant: &Grant{Server: s.Server, Token: d.next, Wait: c.wait, Work: c.work, Cached: c.cached, Home: c.home}}
}

// reject refuses the request with a time to come back.
func (d *Dispatcher) reject(now time.Duration, r *Request, reason Reason, predicted time.Duration) Decision {
	return Decision{ID: r.ID, Rejection: &Rejection{Reason: reason, Predicted: predicted, RetryAfter: d.retryAfter(now, predicted)}}
}

// retryAfter is the predicted time until the backlog is gone, and at least what the
// rejected request would have waited, spread over as much again, so that rejected callers
// neither return together nor into the same backlog.
func (d *Dispatcher) retryAfter(now, predicted time.Duration) time.Duration {
	var least time.Duration = -1
	for _, s := range d.order {
		if w := s.wait(now, levels); least < 0 || w < least {
			least = w
		}
	}
	drain := max(d.backlog()+max(least, 0), predicted, minRetryAfter)
	return min(drain+time.Duration(d.rng.Float64()*float64(drain)), maxRetryAfter)
}

// RetryAfter returns a time to come back for a request that is rejected for another
// reason than the load.
func (d *Dispatcher) RetryAfter(now time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.retryAfter(now, 0)
}

// Cancel removes a waiting request. It reports false when the request does not wait.
func (d *Dispatcher) Cancel(id uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	x := d.waiting[id]
	if x == nil {
		return false
	}
	d.drop(x)
	return true
}

// Waiting is the number of requests that wait.
func (d *Dispatcher) Waiting() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.waiting)
}

func tier(rank int) int { return min(max(rank, 0), maxRank) + 1 }

// leastUrgent remembers which ranks have been asked for lately.
type leastUrgent struct{ seen [maxRank + 1]time.Duration }

// urgencyWindow is how long a rank counts after its last request.
const urgencyWindow = 3 * time.Second

func (l *leastUrgent) add(now time.Duration, rank int) {
	l.seen[tier(rank)-1] = now + urgencyWindow
}

// is reports whether no less urgent rank was seen lately.
func (l *leastUrgent) is(now time.Duration, rank int) bool {
	for _, until := range l.seen[tier(rank):] {
		if until > now {
			return false
		}
	}
	return true
}
