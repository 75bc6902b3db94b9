package emulator

import (
	"cmp"
	"fmt"
	"maps"
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// maxBodyBytes bounds request bodies of all stand-ins.
	maxBodyBytes = 8 << 20
	// defaultRecentStreams bounds the streams that can be resumed.
	defaultRecentStreams = 1024
	// maxRecordedRuns bounds the record of starts, which is kept for whole experiments.
	maxRecordedRuns = 1 << 20
)

// EngineOptions configure an engine stand-in.
type EngineOptions struct {
	// Name appears in incarnations and made-up request identifiers.
	Name string
	// Model holds the performance figures.
	Model Model
	// Lengths is the distribution of output lengths that requests leave open.
	Lengths Lengths
	// Seed seeds the drawing of output lengths.
	Seed uint64
	// RecentStreams bounds the streams that can be resumed. Zero: 1,024.
	RecentStreams int
	// Placement is what the engine holds when it starts. An empty role is "mixed".
	Placement Placement
}

// EngineCounters count an engine's work since its creation, over all incarnations.
type EngineCounters struct {
	Requests        uint64 `json:"requests"`
	Completed       uint64 `json:"completed"`
	Cancelled       uint64 `json:"cancelled"`
	Lost            uint64 `json:"lost"`
	Expired         uint64 `json:"expired"`
	Resumed         uint64 `json:"resumed"`
	Crashes         uint64 `json:"crashes"`
	TokensGenerated uint64 `json:"tokens_generated"`
	// TokensCancelled counts tokens of streams whose caller went away; a resume
	// takes them back out.
	TokensCancelled uint64 `json:"tokens_cancelled"`
	// TokensLost counts tokens of streams that a crash ended.
	TokensLost    uint64 `json:"tokens_lost"`
	PromptTokens  uint64 `json:"prompt_tokens"`
	CachedTokens  uint64 `json:"cached_tokens"`
	MaxConcurrent int    `json:"max_concurrent"`
	// PlacementCommands counts executed commands, PlacementRefused those with an old
	// fencing number, WeightLoads the weight sets read from the weight store.
	PlacementCommands uint64 `json:"placement_commands"`
	PlacementRefused  uint64 `json:"placement_refused"`
	WeightLoads       uint64 `json:"weight_loads"`
}

// Engine is a stand-in for a model engine. It is safe for concurrent use.
type Engine struct {
	options EngineOptions
	server  server
	started time.Time
	wake    chan struct{}
	quit    chan struct{}
	loop    sync.WaitGroup

	mu          sync.Mutex
	rng         *rand.Rand
	batch       *batch
	recent      *recentStreams
	incarnation int
	down        bool   // crashed; connections that break now are not cancels
	made        uint64 // identifiers made up for requests without one
	answered    uint64
	switches    EngineSwitches
	counters    EngineCounters
	loads       loadHistory
	placement   placementState
	runs        map[string]int // starts by the request's echo
}

// NewEngine returns an engine that is not yet listening.
func NewEngine(o EngineOptions) *Engine {
	o.Model, o.Lengths = o.Model.withDefaults(), o.Lengths.withDefaults()
	setDefault(&o.RecentStreams, defaultRecentStreams)
	o.Placement.Role = cmp.Or(o.Placement.Role, roleMixed)
	e := &Engine{
		options: o, started: time.Now(),
		wake: make(chan struct{}, 1), quit: make(chan struct{}),
		rng:      rand.New(rand.NewPCG(o.Seed, 0)),
		batch:    newBatch(o.Model),
		recent:   newRecentStreams(o.RecentStreams),
		switches: EngineSwitches{Straggle: 1},
		runs:     map[string]int{},
	}
	e.placement.held = o.Placement
	e.server.handler = e.handle
	return e
}

// Start listens on addr, such as 127.0.0.1:0, and begins to serve.
func (e *Engine) Start(addr string) error {
	if err := e.listen(addr); err != nil {
		return err
	}
	e.loop.Go(e.run)
	return nil
}

// listen begins a new incarnation.
func (e *Engine) listen(addr string) error {
	e.mu.Lock()
	e.incarnation++
	e.down = false
	e.restartPlacement()
	e.loads.record(e.now(), LoadReport{Incarnation: e.incarnationName()})
	e.mu.Unlock()
	return e.server.start(addr)
}

// Addr returns the address that the engine listens on, also after a crash.
func (e *Engine) Addr() string { return e.server.addr() }

// Stop ends the engine and its goroutines.
func (e *Engine) Stop() {
	close(e.quit)
	e.server.frozen.set(false)
	e.loop.Wait()
	e.abandon(false)
	e.server.stop()
}

// Counters returns the counters.
func (e *Engine) Counters() EngineCounters {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counters
}

// Executions lists how often each request was started, by its emulate.echo. It
// shows whether a request ran although its caller was told that it did not.
func (e *Engine) Executions() Executions {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Executions{Keys: maps.Clone(e.runs)}
}

func (e *Engine) now() time.Duration { return time.Since(e.started) }

func (e *Engine) incarnationName() string {
	return fmt.Sprintf("%s-%d", e.options.Name, e.incarnation)
}

// run advances the batch. Iterations follow each other without drift while there
// is work.
func (e *Engine) run() {
	var due time.Time
	for {
		e.mu.Lock()
		d, admitted := e.batch.plan()
		d = time.Duration(float64(d) * e.switches.Straggle)
		poisoned := e.admittedJobs(admitted)
		e.recordLoad()
		e.mu.Unlock()
		if poisoned {
			e.crashByRequest()
			continue
		}
		if d == 0 {
			select {
			case <-e.wake:
			case <-e.quit:
				return
			}
			due = time.Time{}
			continue
		}
		if due.IsZero() {
			due = time.Now()
		}
		due = due.Add(d)
		select {
		case <-time.After(time.Until(due)):
		case <-e.quit:
			return
		}
		if e.server.frozen.isShut() {
			e.server.frozen.wait()
			due = time.Now()
		}
		e.mu.Lock()
		e.advance()
		e.mu.Unlock()
	}
}

// admittedJobs counts admitted jobs and reports whether one of them crashes the engine.
func (e *Engine) admittedJobs(admitted []*job) bool {
	poisoned := false
	for _, j := range admitted {
		e.counters.PromptTokens += uint64(j.prompt)
		e.counters.CachedTokens += uint64(max(0, j.prompt+j.generated-j.prefill))
		poisoned = poisoned || j.stream.poison
		if tag := j.stream.tag; tag != "" && len(e.runs) < maxRecordedRuns {
			e.runs[tag]++
		}
	}
	e.counters.MaxConcurrent = max(e.counters.MaxConcurrent, len(e.batch.running))
	return poisoned
}

// advance ends an iteration and wakes the streams that gained a token.
func (e *Engine) advance() {
	for _, j := range e.batch.commit() {
		e.counters.TokensGenerated++
		if j.generated >= j.output {
			j.stream.ended = finished
			e.counters.Completed++
		}
		j.stream.signal()
	}
}

func (e *Engine) wakeLoop() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// draw returns an output length from the engine's distribution.
func (e *Engine) draw() int {
	l := e.options.Lengths
	n := math.Exp(l.Mu + l.Sigma*e.rng.NormFloat64())
	return int(min(max(1, n), float64(l.Max)))
}

// submit queues a new stream and returns its attachment.
func (e *Engine) submit(s *stream) attachment {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.id == "" {
		e.made++
		s.id = fmt.Sprintf("%s-made-%d", e.incarnationName(), e.made)
	}
	e.answered++
	if n := e.switches.WrongIDEvery; n > 0 && e.answered%uint64(n) == 0 {
		s.id, s.echo = "wrong-"+s.id, "wrong-"+s.echo
	}
	if s.job.output == 0 {
		s.job.output = e.draw()
	}
	if s.limit > 0 {
		s.job.output = min(s.job.output, s.limit)
	}
	e.counters.Requests++
	s.job.stream, s.job.index = s, -1
	if e.down { // the request was read just before its connection was reset
		s.ended = lost
		e.counters.Lost++
		return s.attach()
	}
	e.recent.add(s)
	e.batch.add(&s.job)
	e.recordLoad()
	e.wakeLoop()
	return s.attach()
}

// resume takes over a recent stream. A stream that was cancelled when its
// connection closed continues where it stopped.
func (e *Engine) resume(id string, from int) (*stream, attachment, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.recent.byID[id]
	if s == nil || e.switches.NoResume || from < 0 || from > s.job.generated || s.ended == lost || s.ended == expired {
		return nil, attachment{}, false
	}
	if s.ended == cancelled {
		e.counters.TokensCancelled -= uint64(s.job.generated)
		e.counters.Cancelled--
		s.ended = active
		e.batch.add(&s.job)
		e.wakeLoop()
	}
	e.counters.Resumed++
	s.signal() // the former receiver learns that it was replaced
	return s, s.attach(), true
}

// cancel ends a stream whose receiver has gone, unless another one took it over.
func (e *Engine) cancel(s *stream, a attachment) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.attached != a.number || s.ended != active || e.down {
		return
	}
	s.ended = cancelled
	e.batch.remove(&s.job)
	e.counters.Cancelled++
	e.counters.TokensCancelled += uint64(s.job.generated)
	e.recordLoad()
	s.signal()
}

// abandon ends all streams before their connections break, so that they count as
// lost and not as cancelled.
func (e *Engine) abandon(crash bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = true
	if crash {
		e.counters.Crashes++
	}
	for el := e.recent.order.Front(); el != nil; el = el.Next() {
		s := el.Value.(*stream)
		if s.ended != active {
			continue
		}
		s.ended = lost
		e.counters.Lost++
		e.counters.TokensLost += uint64(s.job.generated)
		s.signal()
	}
	e.batch = newBatch(e.options.Model)
	e.recent = newRecentStreams(e.options.RecentStreams)
}
