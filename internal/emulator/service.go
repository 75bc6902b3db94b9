package emulator

import (
	"encoding/json"
	"maps"
	"sync"
	"time"

	"github.com/valyala/fasthttp"
)

const (
	// HeaderOrderTicket carries the ticket of a non-idempotent order.
	HeaderOrderTicket = "X-Order-Ticket"
	// PathExecutions lists the executions of a service.
	PathExecutions = "/executions"
)

// ServiceSwitches are the lasting faults of a service. "Every" fields hit every
// n-th request; 1 hits all, zero none.
type ServiceSwitches struct {
	// Delay passes before the execution.
	Delay Duration `json:"delay"`
	// AnswerDelay passes between the execution and the answer.
	AnswerDelay Duration `json:"answer_delay"`
	// ErrorEvery answers 500 without executing.
	ErrorEvery int `json:"error_every"`
	// DropAnswerEvery executes and then resets the connection instead of answering.
	DropAnswerEvery int `json:"drop_answer_every"`
}

// ServiceCounters count a service's work since its creation, over all incarnations.
type ServiceCounters struct {
	Requests uint64 `json:"requests"`
	Executed uint64 `json:"executed"`
	Failed   uint64 `json:"failed"`
	Dropped  uint64 `json:"dropped"`
	// Repeated counts executions of an order beyond its first.
	Repeated uint64 `json:"repeated"`
	// ServiceSeconds is the time spent on requests.
	ServiceSeconds float64 `json:"service_seconds"`
	// WastedSeconds is the part whose caller was gone when the answer was ready.
	WastedSeconds float64 `json:"wasted_seconds"`
}

// Executions lists how often each order was executed. Keys holds the ticket, or the
// body's "order" field when there is no ticket; Orders holds the body's field
// alone, which shows an order that ran under two tickets.
type Executions struct {
	Keys   map[string]int `json:"keys"`
	Orders map[string]int `json:"orders,omitempty"`
}

// ServiceAnswer is the answer of a service.
type ServiceAnswer struct {
	Upstream string `json:"upstream"`
	// Key is the ticket or the body's "order" field; empty for other requests.
	Key string `json:"key,omitempty"`
	// Execution is 1 when the order ran for the first time.
	Execution int `json:"execution,omitempty"`
	// BodyChecksum is the [Checksum] of the request's body, by which a caller
	// recognizes its own answer.
	BodyChecksum string `json:"body_checksum"`
}

// Service is a stand-in for a plain HTTP service. It executes what arrives, also
// when the caller is gone by then, and remembers executions across crashes, as a
// service with a database does. It is safe for concurrent use.
type Service struct {
	name   string
	server server

	mu         sync.Mutex
	switches   ServiceSwitches
	counters   ServiceCounters
	executions Executions
}

// NewService returns a service that is not yet listening.
func NewService(name string) *Service {
	s := &Service{name: name, executions: Executions{Keys: map[string]int{}, Orders: map[string]int{}}}
	s.server.handler = s.handle
	return s
}

// Start listens on addr, such as 127.0.0.1:0, and begins to serve.
func (s *Service) Start(addr string) error { return s.server.start(addr) }

// Addr returns the address that the service listens on, also after a crash.
func (s *Service) Addr() string { return s.server.addr() }

// Stop ends the service.
func (s *Service) Stop() { s.server.stop() }

// Crash resets all connections and refuses new ones until Restart.
func (s *Service) Crash() { s.server.crash() }

// Restart listens on the former address.
func (s *Service) Restart() error { return s.server.start(s.server.addr()) }

// CrashFor crashes the service and restarts it after d.
func (s *Service) CrashFor(d time.Duration) {
	s.Crash()
	s.server.after(d, func() { _ = s.Restart() })
}

// Freeze stops all work and answers while connections stay open; false resumes.
func (s *Service) Freeze(on bool) { s.server.frozen.set(on) }

// Silence makes the open connections silent for good and returns their number.
func (s *Service) Silence() int { return s.server.silence() }

// Switches returns the lasting faults.
func (s *Service) Switches() ServiceSwitches {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.switches
}

// SetSwitches replaces the lasting faults.
func (s *Service) SetSwitches(x ServiceSwitches) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.switches = x
}

// Counters returns the counters.
func (s *Service) Counters() ServiceCounters {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.counters
}

// Executions returns a copy of the execution counts.
func (s *Service) Executions() Executions {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Executions{Keys: maps.Clone(s.executions.Keys), Orders: maps.Clone(s.executions.Orders)}
}

func (s *Service) status() any {
	s.mu.Lock()
	defer s.mu.Unlock()
	return Status[ServiceSwitches, ServiceCounters]{Name: s.name, Switches: s.switches, Counters: s.counters}
}

func (s *Service) apply(c Command) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	var err error
	s.switches, err = overlay(s.switches, c.Switches)
	return err
}

func (s *Service) handle(ctx *fasthttp.RequestCtx) {
	switch string(ctx.Path()) {
	case PathControl:
		s.server.serveControl(ctx, s)
	case PathExecutions:
		writeJSON(ctx, fasthttp.StatusOK, s.Executions())
	default:
		s.serve(ctx)
	}
}

// fate is what the switches decide for one request.
type fate struct{ fail, drop bool }

func (s *Service) begin() (fate, ServiceSwitches) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Requests++
	n := s.counters.Requests
	hit := func(every int) bool { return every > 0 && n%uint64(every) == 0 }
	return fate{fail: hit(s.switches.ErrorEvery), drop: hit(s.switches.DropAnswerEvery)}, s.switches
}

func (s *Service) serve(ctx *fasthttp.RequestCtx) {
	start := time.Now()
	f, switches := s.begin()
	c := ctx.Conn().(*conn)
	gone := make(chan struct{})
	stopWatch := c.watch(func() { close(gone) })
	pause(switches.Delay)
	s.server.frozen.wait()
	if f.fail {
		stopWatch()
		s.count(func(x *ServiceCounters) { x.Failed++ })
		writeError(ctx, fasthttp.StatusInternalServerError, "failed", "the request was not executed")
		return
	}
	answer := s.execute(ctx)
	pause(switches.AnswerDelay)
	stopWatch()
	wasted := f.drop
	select {
	case <-gone:
		wasted = true
	default:
	}
	s.account(time.Since(start), wasted, f.drop)
	if f.drop {
		c.reset()
		return
	}
	ctx.Response.Header.SetBytesV(HeaderRequestID, ctx.Request.Header.Peek(HeaderRequestID))
	writeJSON(ctx, fasthttp.StatusOK, answer)
}

// execute counts one execution.
func (s *Service) execute(ctx *fasthttp.RequestCtx) ServiceAnswer {
	var body struct {
		Order string `json:"order"`
	}
	// Any body is served; one that is no JSON object has no order field.
	_ = json.Unmarshal(ctx.PostBody(), &body)
	key := string(ctx.Request.Header.Peek(HeaderOrderTicket))
	if key == "" {
		key = body.Order
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Executed++
	a := ServiceAnswer{Upstream: s.name, Key: key, BodyChecksum: Checksum(string(ctx.PostBody()))}
	if key != "" {
		s.executions.Keys[key]++
		a.Execution = s.executions.Keys[key]
	}
	if body.Order != "" {
		s.executions.Orders[body.Order]++
	}
	if a.Execution > 1 || s.executions.Orders[body.Order] > 1 {
		s.counters.Repeated++
	}
	return a
}

func (s *Service) count(change func(*ServiceCounters)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.counters)
}

func (s *Service) account(took time.Duration, wasted, dropped bool) {
	s.count(func(x *ServiceCounters) {
		x.ServiceSeconds += took.Seconds()
		if wasted {
			x.WastedSeconds += took.Seconds()
		}
		if dropped {
			x.Dropped++
		}
	})
}

func pause(d Duration) {
	if d > 0 {
		time.Sleep(d.Std())
	}
}
