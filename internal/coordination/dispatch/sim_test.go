package dispatch

import (
	"fmt"
	"math"
	"math/rand/v2"
	"slices"
	"time"
)

// The simulated engine reads prompts in chunks, one after the other, in steps that also
// produce one token for every running stream. Its figures are those of a 70-billion-
// parameter model on two accelerators.
const (
	simChunk       = 2048
	simTokensPerMS = 38.7
	simPairsMS     = 0.737 // for a million pairs of tokens
	simStep        = 5500 * time.Microsecond
	simStride      = 3 // tokens in an event
	simSlots       = 64
	simMemory      = 232_000
)

// simRequest is a request in the simulation.
type simRequest struct {
	Request
	events  int // of its answer
	at      int // the instance that has it
	server  string
	token   uint64
	reject  *Rejection
	full    bool // the engine had no room
	first   time.Duration
	pause   time.Duration // longest
	last    time.Duration
	done    bool
	ended   bool // its slot is free again
	toRead  int  // prompt tokens that are left
	read    int  // context so far
	tokens  int  // produced
	arrived time.Duration
	home    bool
}

func (r *simRequest) onTime() bool {
	return r.done && r.first <= r.Target && (r.PauseTarget == 0 || r.pause <= r.PauseTarget)
}

// simPart is a part of prompts that an engine keeps.
type simPart struct {
	tokens int
	used   time.Duration // last use
	users  int           // requests that run with it
}

// simEngine is one engine.
type simEngine struct {
	name    string
	slots   int
	queue   []*simRequest // by priority, then arrival
	reading []*simRequest // by priority, then arrival
	running []*simRequest
	cache   map[uint64]*simPart
	kept    int           // tokens in cache
	next    time.Duration // end of the present step
	down    bool
	most    int             // requests at once
	read    int             // prompt tokens read
	again   int             // tokens of shared parts that were read although an engine has read them
	seen    map[uint64]bool // parts that an engine has read; of the whole world
}

func newSimEngine(name string, slots int, seen map[uint64]bool) *simEngine {
	return &simEngine{name: name, slots: slots, cache: map[uint64]*simPart{}, seen: seen}
}

// add takes a request; it reports false when the queue is full.
func (e *simEngine) add(r *simRequest, now time.Duration) bool {
	if len(e.queue) >= 2*e.slots {
		return false
	}
	e.queue = append(e.queue, r)
	sortUrgent(e.queue)
	e.most = max(e.most, len(e.queue)+len(e.reading)+len(e.running))
	e.admit(now)
	return true
}

func sortUrgent(list []*simRequest) {
	slices.SortStableFunc(list, func(a, b *simRequest) int { return a.Priority - b.Priority })
}

// admit begins with requests of the queue while there are slots.
func (e *simEngine) admit(now time.Duration) {
	for len(e.queue) > 0 && len(e.reading)+len(e.running) < e.slots {
		r := e.queue[0]
		e.queue = e.queue[1:]
		r.read = 0
		whole := true
		for i, p := range r.Prefix {
			x := e.cache[p.ID]
			if x == nil {
				whole = false
				x = &simPart{tokens: p.Tokens}
				e.cache[p.ID] = x
				e.kept += p.Tokens
			} else if whole {
				r.read += p.Tokens
			}
			if !whole && e.seen[p.ID] && i < len(r.Prefix)-1 {
				e.again += p.Tokens
			}
			e.seen[p.ID] = true
			x.used = now
			x.users++
		}
		r.read = min(r.read, r.Prompt-1)
		r.toRead = r.Prompt - r.read
		e.reading = append(e.reading, r)
		sortUrgent(e.reading)
	}
	e.evict()
}

// evict drops the parts that were not used for longest until the memory holds the rest.
func (e *simEngine) evict() {
	for e.kept > simMemory {
		var oldest uint64
		var x *simPart
		for id, p := range e.cache {
			if p.users == 0 && (x == nil || p.used < x.used) {
				oldest, x = id, p
			}
		}
		if x == nil {
			return
		}
		delete(e.cache, oldest)
		e.kept -= x.tokens
	}
}

// leave frees the slot of a request.
func (e *simEngine) leave(r *simRequest, now time.Duration) {
	same := func(x *simRequest) bool { return x == r }
	e.queue = slices.DeleteFunc(e.queue, same)
	began := slices.Contains(e.reading, r) || slices.Contains(e.running, r)
	e.reading = slices.DeleteFunc(e.reading, same)
	e.running = slices.DeleteFunc(e.running, same)
	if began {
		for _, p := range r.Prefix {
			if x := e.cache[p.ID]; x != nil {
				x.used = now
				x.users--
			}
		}
	}
	r.ended = true
}

// step runs one step that ends at now and returns the length of the next one.
func (e *simEngine) step(w *simWorld, now time.Duration) {
	for _, r := range slices.Clone(e.running) {
		if now > r.Deadline {
			e.leave(r, now)
			w.ds[r.at].Done(now, r.token, Cancelled)
			continue
		}
		if r.tokens++; r.tokens%w.stride != 0 {
			continue
		}
		if r.first == 0 {
			r.first = now
			w.ds[r.at].FirstOutput(now, r.token)
		} else {
			r.pause = max(r.pause, now-r.last)
		}
		r.last = now
		if r.tokens >= w.stride*r.events {
			r.done = true
			e.leave(r, now)
			w.ds[r.at].Done(now, r.token, Succeeded)
		}
	}
	for _, r := range slices.Concat(e.queue, e.reading) {
		if now > r.Deadline {
			e.leave(r, now)
			w.ds[r.at].Done(now, r.token, Cancelled)
		}
	}
	e.admit(now)
	length := simStep
	if len(e.reading) > 0 {
		r := e.reading[0]
		n := min(r.toRead, simChunk)
		pairs := float64(n) * (float64(r.read) + float64(n)/2) / 1e6
		length += time.Duration((float64(n)/simTokensPerMS + pairs*simPairsMS) * float64(time.Millisecond))
		r.toRead, r.read, e.read = r.toRead-n, r.read+n, e.read+n
		if r.toRead == 0 {
			e.reading = e.reading[1:]
			e.running = append(e.running, r)
		}
	}
	e.next = now + length
}

// simWorld drives the dispatchers of some instances against simulated engines.
type simWorld struct {
	ds      []*Dispatcher
	rng     *rand.Rand
	engines map[string]*simEngine
	order   []*simEngine
	all     []*simRequest
	waiting map[uint64]*simRequest
	nextID  uint64
	stride  int // tokens in an event
	// reportEvery is the pause between the reports of an instance, reportDelay the time
	// until they have reached the others.
	reportEvery, reportDelay time.Duration
	underway                 []simReport
	movedAt                  time.Duration // when the border last had too much for streams
}

// simReport is a report on its way.
type simReport struct {
	at     time.Duration
	from   int
	report Report
}

func newWorld(engines int) *simWorld { return newFleet(1, engines, simSlots) }

// newFleet returns a world of several instances.
func newFleet(instances, engines, slots int) *simWorld {
	w := &simWorld{rng: rand.New(rand.NewPCG(7, 7)), engines: map[string]*simEngine{}, waiting: map[uint64]*simRequest{}, stride: simStride,
		reportEvery: 200 * time.Millisecond, reportDelay: 250 * time.Millisecond}
	var list []Server
	seen := map[uint64]bool{}
	for i := range engines {
		e := newSimEngine(fmt.Sprintf("engine-%02d", i), slots, seen)
		w.engines[e.name], w.order = e, append(w.order, e)
		list = append(list, Server{ID: e.name, Domain: "a", Slots: slots, Memory: simMemory})
	}
	for i := range instances {
		d := New(Options{Domain: "a"}, rand.New(rand.NewPCG(1, uint64(i+1))))
		d.Update(0, list)
		w.ds = append(w.ds, d)
	}
	return w
}

// shape is a class of requests.
type shape struct {
	class                 string
	priority              int
	groups, sessions      int
	group, session, own   int // mean tokens of the parts
	spread                float64
	most                  int // tokens of the own part
	events                int
	target, limit, pauses time.Duration
}

var (
	longPrompts = shape{class: "dossier", priority: 2, groups: 4, sessions: 263, group: 2520, session: 3780, own: 2890, spread: 1, most: 39_600, events: 17,
		target: 2 * time.Second, limit: 6 * time.Second, pauses: 800 * time.Millisecond}
	questions = shape{class: "question", priority: 1, groups: 8, sessions: 148, group: 341, session: 227, own: 1232, spread: 1.3, most: 6870, events: 8,
		target: 500 * time.Millisecond, limit: 4 * time.Second, pauses: 300 * time.Millisecond}
	instructions = shape{class: "instruction", priority: 0, groups: 8, sessions: 120, group: 103, session: 69, own: 371, spread: 0.89, most: 2310, events: 93,
		target: 300 * time.Millisecond, limit: 15 * time.Second, pauses: 200 * time.Millisecond}
)

// draw returns the tokens of a request's own part: lognormal with the mean and the spread.
func (s shape) draw(rng *rand.Rand) int {
	n := float64(s.own) * math.Exp(s.spread*rng.NormFloat64()-s.spread*s.spread/2)
	return min(max(int(n), 16), s.most)
}

func (w *simWorld) request(now time.Duration, s shape, team string) *simRequest {
	w.nextID++
	session := w.rng.IntN(s.sessions)
	base := uint64(len(s.class)) << 40
	own := s.draw(w.rng)
	parts := []Part{
		{ID: base + uint64(session%s.groups) + 1, Tokens: s.group},
		{ID: base + uint64(session) + 1000, Tokens: s.session},
		{ID: base + w.nextID + 1_000_000, Tokens: own},
	}
	return &simRequest{events: s.events, arrived: now, Request: Request{
		ID: w.nextID, Class: s.class, Team: team, Priority: s.priority, Rank: s.priority, Arrived: now, Target: now + s.target, Deadline: now + s.limit,
		Prompt: s.group + s.session + own, Output: s.events * simStride, Prefix: parts, PauseTarget: s.pauses,
	}}
}

func (w *simWorld) submit(now time.Duration, r *simRequest) {
	r.at = w.rng.IntN(len(w.ds))
	w.all = append(w.all, r)
	w.waiting[r.ID] = r
	w.take(now, w.ds[r.at].Submit(now, r.Request))
}

// arrive submits the requests of a class that arrive in one tick.
func (w *simWorld) arrive(now time.Duration, rate float64, s shape, team string) {
	for range w.poisson(rate) {
		w.submit(now, w.request(now, s, team))
	}
}

func (w *simWorld) take(now time.Duration, x Decision) {
	r := w.waiting[x.ID]
	if r == nil || x.Grant == nil && x.Rejection == nil {
		return
	}
	delete(w.waiting, x.ID)
	if x.Rejection != nil {
		r.reject = x.Rejection
		return
	}
	r.server, r.token, r.home = x.Grant.Server.ID, x.Grant.Token, x.Grant.Home
	if !w.engines[r.server].add(r, now) {
		r.full, r.ended = true, true
		w.ds[r.at].Done(now, r.token, Refused)
	}
}

// tick is the resolution of the simulation.
const tick = 500 * time.Microsecond

// run simulates until end; arrivals is called once a tick.
func (w *simWorld) run(end time.Duration, arrivals func(now time.Duration)) {
	for now := time.Duration(0); now < end; now += tick {
		if arrivals != nil {
			arrivals(now)
		}
		for _, e := range w.order {
			if !e.down && now >= e.next {
				e.step(w, now)
			}
		}
		if now%(20*time.Millisecond) == 0 {
			for _, d := range w.ds {
				for _, x := range d.Advance(now) {
					w.take(now, x)
				}
			}
		}
		w.report(now)
	}
}

// report passes reports between the instances.
func (w *simWorld) report(now time.Duration) {
	if len(w.ds) == 1 {
		return
	}
	if now%w.reportEvery == 0 {
		for i, d := range w.ds {
			if r := d.Collect(now); !r.Empty() {
				w.underway = append(w.underway, simReport{now + w.reportDelay, i, r})
			}
		}
	}
	for len(w.underway) > 0 && w.underway[0].at <= now {
		x := w.underway[0]
		w.underway = w.underway[1:]
		for i, d := range w.ds {
			if i != x.from {
				d.Merge(now, fmt.Sprint(x.from), x.report)
			}
		}
	}
}

// poisson returns how many requests of a rate arrive in one tick.
func (w *simWorld) poisson(perSecond float64) int {
	mean := perSecond * tick.Seconds()
	n := int(mean)
	if w.rng.Float64() < mean-float64(n) {
		n++
	}
	return n
}

// onTime is the share of a class's requests that were on time.
func (w *simWorld) onTime(class string, from, to time.Duration) float64 {
	n, ok := 0, 0
	for _, r := range w.all {
		if r.Class == class && r.arrived >= from && r.arrived < to {
			n++
			if r.onTime() {
				ok++
			}
		}
	}
	return float64(ok) / float64(max(n, 1))
}
