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
	server  string
	token   uint64
	reject  *Rejection
	first   time.Duration
	pause   time.Duration // longest
	last    time.Duration
	done    bool
	toRead  int // prompt tokens that are left
	read    int // context so far
	tokens  int // produced
	arrived time.Duration
}

func (r *simRequest) onTime() bool {
	return r.done && r.first <= r.Target && (r.PauseTarget == 0 || r.pause <= r.PauseTarget)
}

// simEngine is one engine.
type simEngine struct {
	name    string
	reading []*simRequest // by priority, then arrival
	running []*simRequest
	cache   map[uint64]bool
	next    time.Duration // end of the present step
	down    bool
	most    int // requests at once
	read    int // prompt tokens read
}

func (e *simEngine) add(r *simRequest) {
	r.read = 0
	for _, p := range r.Prefix {
		if !e.cache[p.ID] {
			break
		}
		r.read += p.Tokens
	}
	for _, p := range r.Prefix {
		e.cache[p.ID] = true
	}
	r.read = min(r.read, r.Prompt-1)
	r.toRead = r.Prompt - r.read
	e.reading = append(e.reading, r)
	slices.SortStableFunc(e.reading, func(a, b *simRequest) int { return a.Priority - b.Priority })
	e.most = max(e.most, len(e.reading)+len(e.running))
}

// step runs one step that ends at now and returns the length of the next one.
func (e *simEngine) step(w *simWorld, now time.Duration) {
	for _, r := range slices.Clone(e.running) {
		if r.tokens++; r.tokens%simStride != 0 {
			continue
		}
		if r.first == 0 {
			r.first = now
			w.d.FirstOutput(now, r.token)
		} else {
			r.pause = max(r.pause, now-r.last)
		}
		r.last = now
		if r.tokens >= simStride*r.events {
			r.done = true
			e.running = slices.DeleteFunc(e.running, func(x *simRequest) bool { return x == r })
			w.d.Done(now, r.token, Succeeded)
		}
	}
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

// simWorld drives one dispatcher against simulated engines.
type simWorld struct {
	d       *Dispatcher
	rng     *rand.Rand
	engines map[string]*simEngine
	order   []*simEngine
	all     []*simRequest
	waiting map[uint64]*simRequest
	nextID  uint64
}

func newWorld(engines int) *simWorld {
	w := &simWorld{rng: rand.New(rand.NewPCG(7, 7)), engines: map[string]*simEngine{}, waiting: map[uint64]*simRequest{}}
	w.d = New(Options{Domain: "a"}, rand.New(rand.NewPCG(1, 1)))
	var list []Server
	for i := range engines {
		e := &simEngine{name: fmt.Sprintf("engine-%02d", i), cache: map[uint64]bool{}}
		w.engines[e.name], w.order = e, append(w.order, e)
		list = append(list, Server{ID: e.name, Domain: "a", Slots: simSlots, Memory: simMemory})
	}
	w.d.Update(0, list)
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
	w.all = append(w.all, r)
	w.waiting[r.ID] = r
	w.take(w.d.Submit(now, r.Request))
}

func (w *simWorld) take(x Decision) {
	r := w.waiting[x.ID]
	if r == nil || x.Grant == nil && x.Rejection == nil {
		return
	}
	delete(w.waiting, x.ID)
	if x.Rejection != nil {
		r.reject = x.Rejection
		return
	}
	r.server, r.token = x.Grant.Server.ID, x.Grant.Token
	w.engines[r.server].add(r)
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
			for _, x := range w.d.Advance(now) {
				w.take(x)
			}
		}
	}
}

// poisson returns how many requests of a rate arrive in one tick.
func (w *simWorld) poisson(perSecond float64) int {
	if w.rng.Float64() < perSecond*tick.Seconds() {
		return 1
	}
	return 0
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
