package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// A simulated engine processes prompts in chunks, one prompt after the other. Each step
// processes at most one chunk and generates one token for each running stream. The values are
// those of a 70-billion-parameter model on two accelerators.
const (
	simChunkTokens    = 2048
	simTokensPerMS    = 38.7
	simAttentionMS    = 0.737 // for a million pairs of tokens
	simStepTime       = 5500 * time.Microsecond
	simTokensPerEvent = 3
	simSlots          = 64
	simKVCapacity     = 232_000 // tokens
)

// simRequest is a request in the simulation.
type simRequest struct {
	Request
	events          int // in its answer
	instance        int // index of the instance that received it
	engine          string
	token           uint64
	rejection       *Rejection
	rejectedAt      time.Duration
	refusedFull     bool // refused because the engine's queue was full
	firstOutputAt   time.Duration
	longestInterval time.Duration // between two events
	lastOutputAt    time.Duration
	completed       bool
	slotFreed       bool
	uncachedLeft    int // prompt tokens still to be processed
	contextTokens   int // prompt tokens cached or processed
	generated       int // output tokens
	arrived         time.Duration
	preferred       bool
	admitted        uint64 // sequence number of its admission by the engine
	preemptedBeside int    // preemptions while a request of a greater rank ran on
}

func (r *simRequest) onTime() bool {
	return r.completed && r.firstOutputAt <= r.Target && (r.InterTokenTarget == 0 || r.longestInterval <= r.InterTokenTarget)
}

// simPart is a prompt part in an engine's cache.
type simPart struct {
	tokens   int
	lastUsed time.Duration
	refs     int // running requests that use it
}

// simEngine simulates one engine.
type simEngine struct {
	name             string
	slots            int
	queue            []*simRequest // by rank, then arrival
	prefilling       []*simRequest // by rank, then arrival
	decoding         []*simRequest
	cache            map[uint64]*simPart
	cachedTokens     int           // in cache
	stepEnd          time.Duration // end of the current step
	down             bool
	maxRequests      int             // largest number of requests at the same time
	prefilledTokens  int             // prompt tokens processed
	recomputedTokens int             // tokens of shared parts processed although some engine had processed them before
	seenParts        map[uint64]bool // parts that any engine has processed; shared by all engines
	admissions       uint64
	preemptions      int
}

func newSimEngine(name string, slots int, seenParts map[uint64]bool) *simEngine {
	return &simEngine{name: name, slots: slots, cache: map[uint64]*simPart{}, seenParts: seenParts}
}

// enqueue adds a request to the queue; it reports false when the queue is full.
func (e *simEngine) enqueue(r *simRequest, now time.Duration) bool {
	if len(e.queue) >= 2*e.slots {
		return false
	}
	e.queue = append(e.queue, r)
	sortByRank(e.queue)
	e.maxRequests = max(e.maxRequests, len(e.queue)+len(e.prefilling)+len(e.decoding))
	e.admit(now)
	return true
}

func sortByRank(list []*simRequest) {
	slices.SortStableFunc(list, func(a, b *simRequest) int { return a.Rank - b.Rank })
}

// admit starts requests from the queue while there are free slots. A request that is more
// urgent than a running one preempts it.
func (e *simEngine) admit(now time.Duration) {
	for len(e.queue) > 0 && (len(e.prefilling)+len(e.decoding) < e.slots || e.preemptFor(e.queue[0], now)) {
		r := e.queue[0]
		e.queue = e.queue[1:]
		e.admissions++
		r.admitted = e.admissions
		r.contextTokens = 0
		allCached := true
		for i, p := range r.Prefix {
			part := e.cache[p.ID]
			if part == nil {
				allCached = false
				part = &simPart{tokens: p.Tokens}
				e.cache[p.ID] = part
				e.cachedTokens += p.Tokens
			} else if allCached {
				r.contextTokens += p.Tokens
			}
			if !allCached && e.seenParts[p.ID] && i < len(r.Prefix)-1 {
				e.recomputedTokens += p.Tokens
			}
			e.seenParts[p.ID] = true
			part.lastUsed = now
			part.refs++
		}
		r.contextTokens = min(r.contextTokens, r.Prompt-1)
		r.uncachedLeft = r.Prompt - r.contextTokens
		e.prefilling = append(e.prefilling, r)
		sortByRank(e.prefilling)
	}
	e.evict()
}

// preemptFor returns the newest of the least urgent running requests to the queue if it is less
// urgent than r, and reports whether it did. The request is processed again from its prompt.
func (e *simEngine) preemptFor(r *simRequest, now time.Duration) bool {
	var victim *simRequest
	leastUrgentRank := 0
	running := slices.Concat(e.prefilling, e.decoding)
	for _, other := range running {
		if victim == nil || other.Rank > victim.Rank || other.Rank == victim.Rank && other.admitted > victim.admitted {
			victim = other
		}
		leastUrgentRank = max(leastUrgentRank, other.Rank)
	}
	if victim == nil || victim.Rank <= r.Rank {
		return false
	}
	e.preemptions++
	if victim.Rank < leastUrgentRank {
		victim.preemptedBeside++
	}
	e.remove(victim, now)
	victim.slotFreed = false
	e.queue = append(e.queue, victim)
	sortByRank(e.queue)
	return true
}

// evict removes the least recently used parts until the rest fits into the KV cache.
func (e *simEngine) evict() {
	for e.cachedTokens > simKVCapacity {
		var oldestID uint64
		var oldest *simPart
		for id, p := range e.cache {
			if p.refs == 0 && (oldest == nil || p.lastUsed < oldest.lastUsed) {
				oldestID, oldest = id, p
			}
		}
		if oldest == nil {
			return
		}
		delete(e.cache, oldestID)
		e.cachedTokens -= oldest.tokens
	}
}

// remove removes a request and frees its slot.
func (e *simEngine) remove(r *simRequest, now time.Duration) {
	isRequest := func(other *simRequest) bool { return other == r }
	e.queue = slices.DeleteFunc(e.queue, isRequest)
	admitted := slices.Contains(e.prefilling, r) || slices.Contains(e.decoding, r)
	e.prefilling = slices.DeleteFunc(e.prefilling, isRequest)
	e.decoding = slices.DeleteFunc(e.decoding, isRequest)
	if admitted {
		for _, p := range r.Prefix {
			if part := e.cache[p.ID]; part != nil {
				part.lastUsed = now
				part.refs--
			}
		}
	}
	r.slotFreed = true
}

// step completes the step that ends at now and schedules the end of the next one.
func (e *simEngine) step(sim *simulation, now time.Duration) {
	for _, r := range slices.Clone(e.decoding) {
		if now > r.Deadline {
			e.remove(r, now)
			sim.dispatchers[r.instance].Done(now, r.token, Cancelled)
			continue
		}
		if r.generated++; r.generated%sim.tokensPerEvent != 0 {
			continue
		}
		if r.firstOutputAt == 0 {
			r.firstOutputAt = now
			sim.dispatchers[r.instance].FirstOutput(now, r.token)
		} else {
			r.longestInterval = max(r.longestInterval, now-r.lastOutputAt)
		}
		r.lastOutputAt = now
		if r.generated >= sim.tokensPerEvent*r.events {
			r.completed = true
			e.remove(r, now)
			sim.dispatchers[r.instance].Done(now, r.token, Succeeded)
		}
	}
	for _, r := range slices.Concat(e.queue, e.prefilling) {
		if now > r.Deadline {
			e.remove(r, now)
			sim.dispatchers[r.instance].Done(now, r.token, Cancelled)
		}
	}
	e.admit(now)
	length := simStepTime
	if len(e.prefilling) > 0 {
		r := e.prefilling[0]
		n := min(r.uncachedLeft, simChunkTokens)
		pairs := float64(n) * (float64(r.contextTokens) + float64(n)/2) / 1e6
		length += time.Duration((float64(n)/simTokensPerMS + pairs*simAttentionMS) * float64(time.Millisecond))
		r.uncachedLeft, r.contextTokens, e.prefilledTokens = r.uncachedLeft-n, r.contextTokens+n, e.prefilledTokens+n
		if r.uncachedLeft == 0 {
			e.prefilling = e.prefilling[1:]
			e.decoding = append(e.decoding, r)
		}
	}
	e.stepEnd = now + length
}

// simulation runs the dispatchers of one or more instances against simulated engines.
type simulation struct {
	dispatchers    []*Dispatcher
	rng            *rand.Rand
	engines        map[string]*simEngine
	engineOrder    []*simEngine
	requests       []*simRequest
	waiting        map[uint64]*simRequest
	nextID         uint64
	tokensPerEvent int
	// reportInterval is the time between two reports of an instance; reportDelay is the time
	// until a report reaches the other instances.
	reportInterval, reportDelay time.Duration
	inTransit                   []simReport
	splitSettledAt              time.Duration // last time at which too many upstreams were for streams
}

// simReport is a report in transit.
type simReport struct {
	deliverAt time.Duration
	from      int
	report    Report
}

func newSimulation(engines int) *simulation { return newFleetSimulation(1, engines, simSlots) }

// newFleetSimulation returns a simulation with several instances.
func newFleetSimulation(instances, engines, slots int) *simulation {
	sim := &simulation{rng: rand.New(rand.NewPCG(7, 7)), engines: map[string]*simEngine{}, waiting: map[uint64]*simRequest{}, tokensPerEvent: simTokensPerEvent,
		reportInterval: 200 * time.Millisecond, reportDelay: 250 * time.Millisecond}
	var upstreams []Upstream
	seenParts := map[uint64]bool{}
	for i := range engines {
		e := newSimEngine(fmt.Sprintf("engine-%02d", i), slots, seenParts)
		sim.engines[e.name], sim.engineOrder = e, append(sim.engineOrder, e)
		upstreams = append(upstreams, Upstream{ID: e.name, Domain: "a", Slots: slots, KVCapacityTokens: simKVCapacity})
	}
	for i := range instances {
		d := New(Options{Domain: "a"}, rand.New(rand.NewPCG(1, uint64(i+1))))
		d.Update(0, upstreams)
		sim.dispatchers = append(sim.dispatchers, d)
	}
	for i, d := range sim.dispatchers {
		var others []string
		for j := range sim.dispatchers {
			if j != i {
				others = append(others, fmt.Sprint("front-", j))
			}
		}
		d.SetInstances(0, fmt.Sprint("front-", i), others)
	}
	return sim
}

// classProfile describes a class of requests.
type classProfile struct {
	class                                 string
	priority                              int
	groups, sessions                      int
	groupTokens, sessionTokens, ownTokens int // mean sizes of the prompt parts
	sigma                                 float64
	maxOwnTokens                          int
	events                                int
	target, deadline, interTokenTarget    time.Duration
}

var (
	longPrompts = classProfile{class: "dossier", priority: 2, groups: 4, sessions: 263, groupTokens: 2520, sessionTokens: 3780, ownTokens: 2890, sigma: 1, maxOwnTokens: 39_600, events: 17,
		target: 2 * time.Second, deadline: 6 * time.Second, interTokenTarget: 800 * time.Millisecond}
	questions = classProfile{class: "question", priority: 1, groups: 8, sessions: 148, groupTokens: 341, sessionTokens: 227, ownTokens: 1232, sigma: 1.3, maxOwnTokens: 6870, events: 8,
		target: 500 * time.Millisecond, deadline: 4 * time.Second, interTokenTarget: 300 * time.Millisecond}
	instructions = classProfile{class: "instruction", priority: 0, groups: 8, sessions: 120, groupTokens: 103, sessionTokens: 69, ownTokens: 371, sigma: 0.89, maxOwnTokens: 2310, events: 93,
		target: 300 * time.Millisecond, deadline: 15 * time.Second, interTokenTarget: 200 * time.Millisecond}
)

// sampleOwnTokens draws the size of a request's own part from a lognormal distribution with mean
// ownTokens and shape parameter sigma.
func (p classProfile) sampleOwnTokens(rng *rand.Rand) int {
	n := float64(p.ownTokens) * math.Exp(p.sigma*rng.NormFloat64()-p.sigma*p.sigma/2)
	return min(max(int(n), 16), p.maxOwnTokens)
}

func (sim *simulation) newRequest(now time.Duration, p classProfile, team string) *simRequest {
	sim.nextID++
	session := sim.rng.IntN(p.sessions)
	base := uint64(len(p.class)) << 40
	own := p.sampleOwnTokens(sim.rng)
	parts := []Part{
		{ID: base + uint64(session%p.groups) + 1, Tokens: p.groupTokens},
		{ID: base + uint64(session) + 1000, Tokens: p.sessionTokens},
		{ID: base + sim.nextID + 1_000_000, Tokens: own},
	}
	return &simRequest{events: p.events, arrived: now, Request: Request{
		ID: sim.nextID, Class: p.class, Team: team, Rank: p.priority, Arrived: now, Target: now + p.target, Deadline: now + p.deadline,
		Prompt: p.groupTokens + p.sessionTokens + own, Output: p.events * simTokensPerEvent, Prefix: parts, InterTokenTarget: p.interTokenTarget,
	}}
}

// submit submits a request to a random instance.
func (sim *simulation) submit(now time.Duration, r *simRequest) {
	r.instance = sim.rng.IntN(len(sim.dispatchers))
	sim.submitTo(now, r)
}

// submitTo submits a request to the instance that it names.
func (sim *simulation) submitTo(now time.Duration, r *simRequest) {
	sim.requests = append(sim.requests, r)
	sim.waiting[r.ID] = r
	sim.handle(now, sim.dispatchers[r.instance].Submit(now, r.Request))
}

// submitArrivals submits the requests of a class that arrive in one tick.
func (sim *simulation) submitArrivals(now time.Duration, rate float64, p classProfile, team string) {
	for range sim.arrivalCount(rate) {
		sim.submit(now, sim.newRequest(now, p, team))
	}
}

// newTeamRequest returns a request of a team with a priority of its own. Its urgency is the
// priority of the team, then that of its class.
func (sim *simulation) newTeamRequest(now time.Duration, p classProfile, team string, teamPriority int) *simRequest {
	r := sim.newRequest(now, p, team)
	r.Rank = 3*teamPriority + p.priority
	return r
}

// submitTeamArrivals submits the requests of a class that arrive in one tick from a team with
// a priority of its own.
func (sim *simulation) submitTeamArrivals(now time.Duration, rate float64, p classProfile, team string, teamPriority int) {
	for range sim.arrivalCount(rate) {
		sim.submit(now, sim.newTeamRequest(now, p, team, teamPriority))
	}
}

func (sim *simulation) handle(now time.Duration, decision Decision) {
	r := sim.waiting[decision.ID]
	if r == nil || decision.Grant == nil && decision.Rejection == nil {
		return
	}
	delete(sim.waiting, decision.ID)
	if decision.Rejection != nil {
		r.rejection, r.rejectedAt = decision.Rejection, now
		return
	}
	r.engine, r.token, r.preferred = decision.Grant.Upstream.ID, decision.Grant.Token, decision.Grant.Preferred
	if !sim.engines[r.engine].enqueue(r, now) {
		r.refusedFull, r.slotFreed = true, true
		sim.dispatchers[r.instance].Done(now, r.token, Refused)
	}
}

// simTick is the time resolution of the simulation.
const simTick = 500 * time.Microsecond

// run simulates until end and calls arrivals once per tick.
func (sim *simulation) run(end time.Duration, arrivals func(now time.Duration)) {
	for now := time.Duration(0); now < end; now += simTick {
		if arrivals != nil {
			arrivals(now)
		}
		for _, e := range sim.engineOrder {
			if !e.down && now >= e.stepEnd {
				e.step(sim, now)
			}
		}
		if now%(20*time.Millisecond) == 0 {
			for _, d := range sim.dispatchers {
				for _, decision := range d.Advance(now) {
					sim.handle(now, decision)
				}
			}
		}
		sim.exchangeReports(now)
	}
}

// exchangeReports sends and delivers reports between the instances.
func (sim *simulation) exchangeReports(now time.Duration) {
	if len(sim.dispatchers) == 1 {
		return
	}
	if now%sim.reportInterval == 0 {
		for i, d := range sim.dispatchers {
			if r := d.Collect(now); !r.Empty() {
				sim.inTransit = append(sim.inTransit, simReport{now + sim.reportDelay, i, r})
			}
		}
	}
	for len(sim.inTransit) > 0 && sim.inTransit[0].deliverAt <= now {
		next := sim.inTransit[0]
		sim.inTransit = sim.inTransit[1:]
		for i, d := range sim.dispatchers {
			if i != next.from {
				d.Merge(now, fmt.Sprint(next.from), next.report)
			}
		}
	}
}

// arrivalCount returns the number of requests that arrive in one tick at the given rate.
func (sim *simulation) arrivalCount(perSecond float64) int {
	mean := perSecond * simTick.Seconds()
	n := int(mean)
	if sim.rng.Float64() < mean-float64(n) {
		n++
	}
	return n
}

// onTime returns the share of a class's requests that were on time.
func (sim *simulation) onTime(class string, from, to time.Duration) float64 {
	n, met := 0, 0
	for _, r := range sim.requests {
		if r.Class == class && r.arrived >= from && r.arrived < to {
			n++
			if r.onTime() {
				met++
			}
		}
	}
	return float64(met) / float64(max(n, 1))
}
