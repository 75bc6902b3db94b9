package dispatch

import (
	"cmp"
	"math"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/yuccabridge/yuccabridge/internal/state/fairqueue"
)

const (
	defaultTokensPerMS = 40
	defaultQueueLimit  = 512
	// maxWaitShare is the share of the remaining time to its target that a long prompt may
	// wait at an upstream; beyond that it waits in the dispatcher. It applies to upstreams
	// that cannot process one long prompt per slot in the remaining time. Short prompts of
	// less urgent ranks wait behind the long ones there.
	maxWaitShare = 0.3
	// minLongPrefillTime is the minimum prefill time of a long prompt. An upstream that can
	// process one long prompt per slot, a chunk each, within the target has a short queue
	// while its slots suffice.
	minLongPrefillTime = 55 * time.Millisecond
	// minWaitLimit is the minimum predicted wait for which a long prompt is held back. Without
	// it, a request that is already late would be held back although an upstream is idle.
	minWaitLimit = 100 * time.Millisecond
	// prefillRateWeight is the EWMA weight of a new sample of the prefill rate.
	prefillRateWeight = 0.02
	// fasterRateWeight is the weight of a sample above the current rate. Only samples from
	// requests that have an upstream to themselves show the true rate, and these are few.
	fasterRateWeight = 0.1
	// maxRetryAfter bounds the retry delay of a rejected request.
	maxRetryAfter = 5 * time.Second
	// minRetryAfter keeps rejected callers from retrying into the same backlog.
	minRetryAfter = 100 * time.Millisecond
	// latencyWeight is the EWMA weight of a new response time of a service without prompts.
	latencyWeight = 0.1
	// maxUnreportedWork bounds the placed work that is kept for the next report to the peers.
	maxUnreportedWork = 1024
)

// Dispatcher places the requests of one service. It is safe for concurrent use. Its methods
// take the monotonic time since process start.
type Dispatcher struct {
	mu      sync.Mutex
	options Options
	rng     *rand.Rand

	upstreams        map[string]*upstream
	byTag            map[Tag]*upstream
	domainAnsweredAt map[string]time.Duration // by failure domain: send time of the latest answered request
	byHash           []*upstream              // those in service, ordered by nameHash, the same on all instances
	evacuated        []*upstream              // those of evacuated failure domains, ordered by nameHash

	tokensPerMS           float64 // learned prefill rate
	serviceLatencySeconds float64 // mean response time of a service without prompts
	demand                demand
	split                 split
	recentRanks           recentRanks
	drain                 drainRate
	classPrompts          classPrompts
	streamRanks           streamRanks

	queue            *fairqueue.Queue[*waitingRequest]
	waiting          map[uint64]*waitingRequest
	grants           map[uint64]*grant
	lastToken        uint64
	unreportedWork   []Work // for the next report to the peers
	nextFullReportAt time.Duration
	nextLateScanAt   time.Duration
	instances        []uint64 // hashes of the names of all live instances, without duplicates
	self             uint64   // hash of the name of this instance
	known            []uint64 // hashes of the names of all instances that may be running, without duplicates
	membersUnknown   bool     // this instance does not know yet which others may be running
	leaving          bool     // this instance holds no limits any more
	newlyCold        []ColdUpstream
	lapsedLimits     []lapsedLimit
	lapsedStatements []lapsedStatement
	medianBuffer     []float64
	cachedMedians    medians
}

// waitingRequest is a request in the dispatcher's queue.
type waitingRequest struct {
	fairqueue.Entry[*waitingRequest]
	request Request
}

// grant is the state of a request at an upstream.
type grant struct {
	upstream         *upstream
	rank             int
	promptTokens     int
	cachedTokens     int
	sentAt           time.Duration
	predictedWait    time.Duration
	work             time.Duration
	answered         bool
	latencySensitive bool
	corrections      time.Duration // of the upstream when the request was sent
	cold             bool          // counts against the limit of a cold upstream
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
		options: o, rng: rng, tokensPerMS: o.TokensPerMS,
		upstreams: map[string]*upstream{}, domainAnsweredAt: map[string]time.Duration{}, waiting: map[uint64]*waitingRequest{}, grants: map[uint64]*grant{},
		classPrompts: newClassPrompts(), streamRanks: newStreamRanks(),
		queue: fairqueue.New[*waitingRequest](o.QueueLimit, 0, 1),
	}
}

// Update replaces the list of upstreams. Upstreams that remain keep their learned state, unless
// they have started again.
func (d *Dispatcher) Update(now time.Duration, list []Upstream) {
	d.mu.Lock()
	defer d.mu.Unlock()
	next := make(map[string]*upstream, len(list))
	for _, published := range list {
		u := d.upstreams[published.ID]
		old := u
		if u == nil || u.Address != published.Address || u.Incarnation != published.Incarnation || u.KVCapacityTokens != published.KVCapacityTokens {
			u = newUpstream(published)
			d.restoreLimit(now, u, old)
			d.restoreStatements(u, old)
		}
		d.applyPublished(now, u, old, published)
		next[published.ID] = u
	}
	d.keepLimits(now, next)
	d.keepStatements(now, next)
	d.upstreams, d.byTag = next, make(map[Tag]*upstream, len(next))
	d.byHash, d.evacuated = d.byHash[:0], d.evacuated[:0]
	for _, u := range next {
		if u.Evacuated {
			d.evacuated = append(d.evacuated, u)
		} else {
			d.byHash = append(d.byHash, u)
		}
		d.byTag[u.tag] = u
	}
	slices.SortFunc(d.byHash, compareNameHash)
	slices.SortFunc(d.evacuated, compareNameHash)
	d.updateSplit(now)
}

// Submit decides a new request. If the request waits, a later call of Advance returns its
// grant or rejection.
func (d *Dispatcher) Submit(now time.Duration, r Request) Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.recentRanks.observe(now, r.Rank)
	r.long = d.classifyPrompt(now, &r)
	if !r.long && isLatencySensitive(&r) {
		d.streamRanks.observe(now, r.Team, r.Rank)
	}
	decision := d.decideArrival(now, &r)
	if decision.Grant != nil || decision.Rejection != nil {
		return decision
	}
	w := &waitingRequest{request: r}
	w.Entry = fairqueue.Entry[*waitingRequest]{
		Tier: queueTier(r.Rank), Team: r.Team, Weight: 1, Cost: prefillTime(d.tokensPerMS, r.Prompt, 0).Seconds(),
		Arrived: r.Arrived, Retry: len(r.Exclude) > 0, Value: w,
	}
	d.queue.Push(&w.Entry)
	d.waiting[r.ID] = w
	if victim := d.queue.Victim(); victim != nil {
		return d.rejectVictim(now, victim.Value, decision)
	}
	return decision
}

// TryPlace places a request at once at an upstream that is neither excluded nor ejected. It returns nil if that is
// not possible; the request does not wait.
func (d *Dispatcher) TryPlace(now time.Duration, r Request) *Grant {
	d.mu.Lock()
	defer d.mu.Unlock()
	r.long = d.classifyPrompt(now, &r)
	c, ok := d.choose(now, &r)
	if !ok || c.upstream.ejected() || slices.Contains(r.Exclude, c.upstream.ID) {
		return nil
	}
	return d.decideArrival(now, &r).Grant
}

// rejectVictim rejects the victim of a full queue. If the victim is not the arriving request,
// whose decision is to wait, it is rejected by the next call of Advance.
func (d *Dispatcher) rejectVictim(now time.Duration, victim *waitingRequest, waiting Decision) Decision {
	if victim.request.ID != waiting.ID {
		victim.request.Deadline = now
		return waiting
	}
	d.removeWaiting(victim)
	return d.reject(now, &victim.request, ReasonQueueFull, 0)
}

// Advance decides waiting requests: first in queue order while they can be placed, then
// requests of the same rank further back whose upstream has room.
func (d *Dispatcher) Advance(now time.Duration) []Decision {
	d.mu.Lock()
	defer d.mu.Unlock()
	d.updateSplit(now)
	out := d.deferLate(now)
	for len(d.waiting) > 0 {
		decision, ok := d.advanceHead(now)
		if !ok {
			break
		}
		out = append(out, decision)
	}
	// A less urgent request must not start while a more urgent one waits, whose shorter
	// target allows a shorter wait at an upstream. One that waits for upstreams of its version
	// does not hold back those that may run elsewhere.
	blockedTier := math.MaxInt
	for _, w := range d.waitingByUrgency() {
		if w.Tier > blockedTier {
			break
		}
		if decision, ok := d.tryDecide(now, w); ok {
			out = append(out, decision)
		} else if w.request.Version == nil {
			blockedTier = w.Tier
		}
	}
	return out
}

// deferLate moves requests that can no longer meet their target behind those of equal rank
// that can, because serving them first would make the others late too. Requests that
// would not start before their deadline behind the whole queue are rejected. This matters when
// more long prompts arrive than the upstreams can process for longer than the target.
func (d *Dispatcher) deferLate(now time.Duration) []Decision {
	if now < d.nextLateScanAt {
		return nil
	}
	d.nextLateScanAt = now + lateScanInterval
	var out []Decision
	for _, w := range d.waitingByUrgency() {
		r := &w.request
		earliest := now + firstOutputStepTime + prefillTime(d.tokensPerMS, r.Prompt, r.Prompt/2)
		if earliest <= r.Target {
			continue
		}
		if predicted := earliest + d.serviceTime(now, d.workAhead(r)); predicted > r.Deadline {
			d.removeWaiting(w)
			out = append(out, d.reject(now, r, ReasonDeadline, predicted-now))
		} else if !w.Deferred() {
			d.queue.Defer(&w.Entry)
		}
	}
	return out
}

// lateScanInterval is the interval between scans of the queue for late requests.
const lateScanInterval = 100 * time.Millisecond

// advanceHead decides the next request in queue order.
func (d *Dispatcher) advanceHead(now time.Duration) (Decision, bool) {
	topTier, ok := d.queue.Best()
	if !ok {
		return Decision{}, false
	}
	head := d.queue.Head(topTier)
	if head == nil {
		return Decision{}, false
	}
	return d.tryDecide(now, head.Value)
}

// tryDecide decides a waiting request and removes it from the queue, or reports false if it
// must wait longer.
func (d *Dispatcher) tryDecide(now time.Duration, w *waitingRequest) (Decision, bool) {
	decision := d.decide(now, &w.request, 0)
	switch {
	case decision.Grant != nil:
		d.queue.Take(&w.Entry)
		delete(d.waiting, w.request.ID)
	case decision.Rejection != nil:
		d.removeWaiting(w)
	default:
		return decision, false
	}
	return decision, true
}

// waitingByUrgency returns the waiting requests ordered by tier and arrival.
func (d *Dispatcher) waitingByUrgency() []*waitingRequest {
	if len(d.waiting) == 0 {
		return nil
	}
	list := make([]*waitingRequest, 0, len(d.waiting))
	for _, w := range d.waiting {
		list = append(list, w)
	}
	slices.SortFunc(list, func(a, b *waitingRequest) int {
		return cmp.Or(a.Tier-b.Tier, cmp.Compare(a.request.Arrived, b.request.Arrived), cmp.Compare(a.request.ID, b.request.ID))
	})
	return list
}

func (d *Dispatcher) removeWaiting(w *waitingRequest) {
	d.queue.Remove(&w.Entry)
	delete(d.waiting, w.request.ID)
}

// decideArrival decides a new request. A long prompt of the least urgent rank is rejected if
// it would miss its target because of a backlog, since it would also delay the requests behind
// it. Short prompts are not rejected for this reason because they cost little.
func (d *Dispatcher) decideArrival(now time.Duration, r *Request) Decision {
	queuedWork := d.workAhead(r)
	if queueDelay := d.bestServiceTime(queuedWork); r.long && !r.Resubmitted && len(r.Exclude) == 0 && d.recentRanks.isLeastUrgent(now, r.Rank) {
		if c, ok := d.choose(now, r); ok && c.upstream.KVCapacityTokens > 0 && now+queueDelay+c.timeToFirstOutput() > r.Target && c.predictedWait+queueDelay > c.work {
			return d.reject(now, r, ReasonTarget, queueDelay+c.timeToFirstOutput())
		}
	}
	return d.decide(now, r, d.serviceTime(now, queuedWork))
}

// decide places the request, keeps it waiting or rejects it. queueDelay is the predicted
// delay by waiting requests ahead of it.
func (d *Dispatcher) decide(now time.Duration, r *Request, queueDelay time.Duration) Decision {
	c, ok := d.choose(now, r)
	if !ok {
		return d.decideWithoutUpstream(now, r)
	}
	if c.outranks {
		queueDelay = 0 // the requests ahead wait for upstreams for long prompts
	}
	predicted := queueDelay + c.timeToFirstOutput()
	// Use an upstream without prompts that has a free slot even if its recent response times
	// exceed the deadline: without requests its recovery would never be observed.
	idleWithoutPrompts := c.upstream.KVCapacityTokens == 0 && queueDelay+c.predictedWait == 0
	if now+predicted > r.Deadline && !idleWithoutPrompts {
		return d.reject(now, r, ReasonDeadline, predicted)
	}
	if reason := d.waitReason(now, r, &c, queueDelay); reason != "" {
		return Decision{ID: r.ID, Wait: Wait{Reason: reason, Upstream: c.upstream.ID, Load: c.upstream.load()}}
	}
	return d.grantUpstream(now, r, c)
}

// waitReason returns why the request must wait in the dispatcher; it is empty if the request
// can be placed.
func (d *Dispatcher) waitReason(now time.Duration, r *Request, c *candidate, queueDelay time.Duration) WaitReason {
	if c.upstream.KVCapacityTokens == 0 {
		if c.upstream.local.InFlight >= c.upstream.Slots {
			return WaitSlot
		}
		return ""
	}
	if c.upstream.load() >= d.requestLimit(r, c.upstream) {
		return WaitSlot // at the upstream it would wait for a slot or preempt another request
	}
	if !r.long {
		return ""
	}
	limit := r.Target - now
	if d.outranksOthers(now, r) {
		limit = max(limit, time.Duration(maxWaitShare*float64(r.Deadline-now)))
	} else if time.Duration(c.upstream.Slots)*minLongPrefillTime > limit {
		limit = time.Duration(maxWaitShare * float64(limit))
	}
	switch {
	case queueDelay > 0:
		return WaitQueue
	case c.predictedWait > max(limit, minWaitLimit):
		return WaitBacklog
	}
	return ""
}

// workAhead is the work of waiting requests that are served first, in seconds: those of the request's team, and
// from each other team as much work as the request's team receives in the same time. When one team
// sends many times its usual load, the requests of other teams are predicted and accepted as if it did not.
func (d *Dispatcher) workAhead(r *Request) float64 {
	if len(d.waiting) == 0 || len(d.byHash) == 0 {
		return 0
	}
	secondsByTeam := map[string]float64{}
	for _, w := range d.waiting {
		if w.request.Rank <= r.Rank {
			secondsByTeam[w.request.Team] += w.Cost
		}
	}
	ownSeconds := secondsByTeam[r.Team] + prefillTime(d.tokensPerMS, r.Prompt, 0).Seconds()
	workSeconds := 0.0
	for _, seconds := range secondsByTeam {
		workSeconds += min(seconds, ownSeconds)
	}
	return workSeconds
}

// backlogTime is the predicted time until all waiting requests have been processed.
func (d *Dispatcher) backlogTime(now time.Duration) time.Duration {
	workSeconds := 0.0
	for _, w := range d.waiting {
		workSeconds += w.Cost
	}
	return d.serviceTime(now, workSeconds)
}

// grantUpstream records that the request is sent to the candidate's upstream.
func (d *Dispatcher) grantUpstream(now time.Duration, r *Request, c candidate) Decision {
	u := c.upstream
	d.lastToken++
	g := &grant{
		upstream: u, rank: r.Rank, promptTokens: r.Prompt, cachedTokens: c.cachedTokens, sentAt: now, predictedWait: c.predictedWait, work: c.work,
		latencySensitive: isLatencySensitive(r), corrections: u.corrections[rankIndex(r.Rank)], cold: u.isCold(now),
	}
	d.grants[d.lastToken] = g
	u.limiter.Sent(now, d.lastToken)
	if g.cold {
		u.cold.limiter.Sent(now, d.lastToken)
	}
	u.local.InFlight++
	if g.latencySensitive {
		u.local.Streams++
	}
	if u.KVCapacityTokens > 0 {
		d.demand.addWork(now, c.work, r.long)
		d.drain.add(now, prefillTime(d.tokensPerMS, r.Prompt, 0).Seconds())
		u.addWork(now, r.Rank, c.work)
		u.cachePrefix(now, sharedParts(r.Prefix))
		if len(d.unreportedWork) < maxUnreportedWork {
			d.unreportedWork = append(d.unreportedWork, Work{Upstream: u.tag, Prefill: c.work, Rank: r.Rank, Long: r.long, Session: sessionPart(r.Prefix)})
		}
	}
	return Decision{ID: r.ID, Grant: &Grant{Upstream: u.Upstream, Token: d.lastToken, Wait: c.predictedWait, Work: c.work, Cached: c.cachedTokens, Preferred: c.preferred, Load: u.load() - 1, Cold: g.cold, Limited: u.limiter.Limited()}}
}

// reject returns a rejection with a retry delay.
func (d *Dispatcher) reject(now time.Duration, r *Request, reason Reason, predicted time.Duration) Decision {
	return Decision{ID: r.ID, Rejection: &Rejection{Reason: reason, Predicted: predicted, RetryAfter: d.retryAfter(now, predicted)}}
}

// retryAfter returns the predicted time until the backlog is processed, but at least the time
// that the rejected request would have waited, with up to 100% random jitter, so that rejected
// callers retry neither at the same time nor into the same backlog.
func (d *Dispatcher) retryAfter(now, predicted time.Duration) time.Duration {
	var shortestWait time.Duration = -1 // at the least urgent rank, that is, behind all prompts
	for _, u := range d.byHash {
		if wait := u.predictedWait(now, Ranks); shortestWait < 0 || wait < shortestWait {
			shortestWait = wait
		}
	}
	delay := max(d.backlogTime(now)+max(shortestWait, 0), predicted, minRetryAfter)
	return min(delay+time.Duration(d.rng.Float64()*float64(delay)), maxRetryAfter)
}

// RetryAfter returns a retry delay for a request that is rejected for a reason other than
// load.
func (d *Dispatcher) RetryAfter(now time.Duration) time.Duration {
	d.mu.Lock()
	defer d.mu.Unlock()
	return d.retryAfter(now, 0)
}

// Cancel removes a waiting request. It reports false if the request is not waiting.
func (d *Dispatcher) Cancel(id uint64) bool {
	d.mu.Lock()
	defer d.mu.Unlock()
	w := d.waiting[id]
	if w == nil {
		return false
	}
	d.removeWaiting(w)
	return true
}

// Waiting returns the number of waiting requests.
func (d *Dispatcher) Waiting() int {
	d.mu.Lock()
	defer d.mu.Unlock()
	return len(d.waiting)
}

// queueTier returns the queue tier of a rank.
func queueTier(rank int) int { return rankIndex(rank) + 1 }

// recentRanks tracks which ranks have received requests recently.
type recentRanks struct{ recentUntil [Ranks]time.Duration }

// recentRankWindow is the time for which a rank counts as recent after a request.
const recentRankWindow = 3 * time.Second

func (r *recentRanks) observe(now time.Duration, rank int) {
	r.recentUntil[rankIndex(rank)] = now + recentRankWindow
}

// isLeastUrgent reports whether no less urgent rank has received requests recently.
func (r *recentRanks) isLeastUrgent(now time.Duration, rank int) bool {
	for _, until := range r.recentUntil[rankIndex(rank)+1:] {
		if until > now {
			return false
		}
	}
	return true
}
