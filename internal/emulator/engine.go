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
	// maxBodyBytes limits the request bodies that the stand-ins accept.
	maxBodyBytes = 8 << 20
	// defaultRecentStreams is the default of EngineOptions.RecentStreams.
	defaultRecentStreams = 1024
	// maxRecordedStarts limits the record of started requests, which is kept for a whole
	// experiment.
	maxRecordedStarts = 1 << 20
)

// EngineOptions configure an engine stand-in.
type EngineOptions struct {
	// Name is the prefix of incarnations and of generated request identifiers.
	Name string
	// Performance is the speed and the capacity of the engine.
	Performance Performance
	// OutputLengths is the distribution of the output lengths of requests that set none.
	OutputLengths OutputLengths
	// Seed is the random seed for output lengths.
	Seed uint64
	// RecentStreams is the number of most recent streams that can be resumed. Zero: 1,024.
	RecentStreams int
	// Placement is the placement at the start. An empty role means "mixed".
	Placement Placement
}

// EngineCounters are totals since the creation of the engine, over all incarnations.
type EngineCounters struct {
	Requests        uint64 `json:"requests"`
	Completed       uint64 `json:"completed"`
	Cancelled       uint64 `json:"cancelled"`
	Lost            uint64 `json:"lost"`
	Expired         uint64 `json:"expired"`
	Resumed         uint64 `json:"resumed"`
	Crashes         uint64 `json:"crashes"`
	TokensGenerated uint64 `json:"tokens_generated"`
	// TokensCancelled counts tokens of streams whose caller closed the connection. A
	// resume subtracts the tokens of its stream again.
	TokensCancelled uint64 `json:"tokens_cancelled"`
	// TokensLost counts tokens of streams that a crash or a stop interrupted.
	TokensLost    uint64 `json:"tokens_lost"`
	PromptTokens  uint64 `json:"prompt_tokens"`
	CachedTokens  uint64 `json:"cached_tokens"`
	MaxConcurrent int    `json:"max_concurrent"`
	// PlacementCommands counts executed commands, PlacementRefused commands with an old
	// fencing number, and WeightLoads the weight sets read from the weight store.
	PlacementCommands uint64 `json:"placement_commands"`
	PlacementRefused  uint64 `json:"placement_refused"`
	WeightLoads       uint64 `json:"weight_loads"`
}

// Engine is a stand-in for a model engine. It is safe for concurrent use.
type Engine struct {
	options EngineOptions
	server  server
	started time.Time
	wake    chan struct{} // capacity 1; wakes runBatch
	quit    chan struct{}
	loop    sync.WaitGroup

	mu           sync.Mutex
	rng          *rand.Rand
	batch        *batch
	recent       *recentStreams
	incarnation  int
	down         bool   // crashed or stopped; a connection that closes now does not cancel its stream
	generatedIDs uint64 // identifiers generated for requests without one
	responses    uint64 // responses begun; selects those of EngineFaults.WrongIDEvery
	faults       EngineFaults
	counters     EngineCounters
	loadHistory  loadHistory
	placement    placementState
	startsByEcho map[string]int // how often a request was started, by emulate.echo
}

// NewEngine returns an engine that does not listen yet.
func NewEngine(o EngineOptions) *Engine {
	o.Performance, o.OutputLengths = o.Performance.withDefaults(), o.OutputLengths.withDefaults()
	setDefault(&o.RecentStreams, defaultRecentStreams)
	o.Placement.Role = cmp.Or(o.Placement.Role, roleMixed)
	e := &Engine{
		options: o, started: time.Now(),
		wake: make(chan struct{}, 1), quit: make(chan struct{}),
		rng:          rand.New(rand.NewPCG(o.Seed, 0)),
		batch:        newBatch(o.Performance),
		recent:       newRecentStreams(o.RecentStreams),
		faults:       EngineFaults{Straggle: 1},
		startsByEcho: map[string]int{},
	}
	e.placement.current = o.Placement
	e.server.handler = e.handle
	return e
}

// Start listens on addr, such as 127.0.0.1:0, and serves requests.
func (e *Engine) Start(addr string) error {
	if err := e.listen(addr); err != nil {
		return err
	}
	e.loop.Go(e.runBatch)
	return nil
}

// listen starts a new incarnation that listens on addr.
func (e *Engine) listen(addr string) error {
	e.mu.Lock()
	e.incarnation++
	e.down = false
	e.restartPlacement()
	e.loadHistory.record(e.now(), LoadReport{Incarnation: e.incarnationName()})
	e.mu.Unlock()
	return e.server.start(addr)
}

// Addr returns the address that the engine listens on. It stays the same after a crash.
func (e *Engine) Addr() string { return e.server.addr() }

// Stop stops the engine for good and waits for its goroutines.
func (e *Engine) Stop() {
	close(e.quit)
	e.server.frozen.set(false)
	e.loop.Wait()
	e.loseStreams(false)
	e.server.stop()
}

// Counters returns a copy of the counters.
func (e *Engine) Counters() EngineCounters {
	e.mu.Lock()
	defer e.mu.Unlock()
	return e.counters
}

// Executions returns how often each request was started, by its emulate.echo. It shows
// whether a request ran although its caller was told that it did not.
func (e *Engine) Executions() Executions {
	e.mu.Lock()
	defer e.mu.Unlock()
	return Executions{Keys: maps.Clone(e.startsByEcho)}
}

func (e *Engine) now() time.Duration { return time.Since(e.started) }

func (e *Engine) incarnationName() string {
	return fmt.Sprintf("%s-%d", e.options.Name, e.incarnation)
}

// runBatch runs the iterations of the batch until the engine stops. Each iteration is
// due relative to the due time of the one before, so that timer delays do not add up.
func (e *Engine) runBatch() {
	var due time.Time
	for {
		e.mu.Lock()
		d, admitted := e.batch.beginIteration()
		d = time.Duration(float64(d) * e.faults.Straggle)
		crash := e.recordAdmitted(admitted)
		e.recordLoad()
		e.mu.Unlock()
		if crash {
			e.crashOnMarker()
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
		if e.server.frozen.isSet() {
			e.server.frozen.waitCleared()
			due = time.Now()
		}
		e.mu.Lock()
		e.finishIteration()
		e.mu.Unlock()
	}
}

// recordAdmitted counts the admitted jobs and reports whether one of them crashes the
// engine.
func (e *Engine) recordAdmitted(admitted []*job) bool {
	crash := false
	for _, j := range admitted {
		e.counters.PromptTokens += uint64(j.promptTokens)
		e.counters.CachedTokens += uint64(max(0, j.promptTokens+j.generated-j.prefillLeft))
		crash = crash || j.stream.crashesEngine
		if requestEcho := j.stream.requestEcho; requestEcho != "" && len(e.startsByEcho) < maxRecordedStarts {
			e.startsByEcho[requestEcho]++
		}
	}
	e.counters.MaxConcurrent = max(e.counters.MaxConcurrent, len(e.batch.running))
	return crash
}

// finishIteration ends the iteration and notifies the streams that got a token.
func (e *Engine) finishIteration() {
	for _, j := range e.batch.endIteration() {
		e.counters.TokensGenerated++
		if j.generated >= j.outputTokens {
			j.stream.state = streamFinished
			e.counters.Completed++
		}
		j.stream.notify()
	}
}

func (e *Engine) wakeLoop() {
	select {
	case e.wake <- struct{}{}:
	default:
	}
}

// drawOutputLength draws an output length from EngineOptions.OutputLengths.
func (e *Engine) drawOutputLength() int {
	l := e.options.OutputLengths
	n := math.Exp(l.Mu + l.Sigma*e.rng.NormFloat64())
	return int(min(max(1, n), float64(l.Max)))
}

// submit queues a new stream and attaches the caller to it.
func (e *Engine) submit(s *stream) attachment {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.id == "" {
		e.generatedIDs++
		s.id = fmt.Sprintf("%s-made-%d", e.incarnationName(), e.generatedIDs)
	}
	e.responses++
	if n := e.faults.WrongIDEvery; n > 0 && e.responses%uint64(n) == 0 {
		s.id, s.eventEcho = "wrong-"+s.id, "wrong-"+s.eventEcho
	}
	if s.job.outputTokens == 0 {
		s.job.outputTokens = e.drawOutputLength()
	}
	if s.maxTokens > 0 {
		s.job.outputTokens = min(s.job.outputTokens, s.maxTokens)
	}
	e.counters.Requests++
	s.job.stream, s.job.queueIndex = s, -1
	if e.down { // the request was read just before the crash reset its connection
		s.state = streamLost
		e.counters.Lost++
		return s.attach()
	}
	e.recent.add(s)
	e.batch.add(&s.job)
	e.recordLoad()
	e.wakeLoop()
	return s.attach()
}

// resume attaches the caller to a recent stream in place of its former receiver. It
// queues the stream again if it was cancelled because its connection closed.
func (e *Engine) resume(id string, from int) (*stream, attachment, bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	s := e.recent.byID[id]
	if s == nil || e.faults.NoResume || from < 0 || from > s.job.generated || s.state == streamLost || s.state == streamExpired {
		return nil, attachment{}, false
	}
	if s.state == streamCancelled {
		e.counters.TokensCancelled -= uint64(s.job.generated)
		e.counters.Cancelled--
		s.state = streamActive
		e.batch.add(&s.job)
		e.wakeLoop()
	}
	e.counters.Resumed++
	s.notify() // tells the former receiver that it has been replaced
	return s, s.attach(), true
}

// cancel ends a stream whose receiver has disconnected, unless another receiver has
// resumed it.
func (e *Engine) cancel(s *stream, a attachment) {
	e.mu.Lock()
	defer e.mu.Unlock()
	if s.attachments != a.number || s.state != streamActive || e.down {
		return
	}
	s.state = streamCancelled
	e.batch.remove(&s.job)
	e.counters.Cancelled++
	e.counters.TokensCancelled += uint64(s.job.generated)
	e.recordLoad()
	s.notify()
}

// loseStreams ends all streams as lost. It must be called before their connections are
// closed, or the streams would count as cancelled.
func (e *Engine) loseStreams(crash bool) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.down = true
	if crash {
		e.counters.Crashes++
	}
	for el := e.recent.order.Front(); el != nil; el = el.Next() {
		s := el.Value.(*stream)
		if s.state != streamActive {
			continue
		}
		s.state = streamLost
		e.counters.Lost++
		e.counters.TokensLost += uint64(s.job.generated)
		s.notify()
	}
	e.batch = newBatch(e.options.Performance)
	e.recent = newRecentStreams(e.options.RecentStreams)
}
