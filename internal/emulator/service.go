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
	// PathExecutions is the path that lists the executions of a service or an engine.
	PathExecutions = "/executions"
)

// ServiceFaults are the fault settings of a service. They stay in effect until they are
// changed. "Every" fields affect every n-th request; 1 affects all, zero none.
type ServiceFaults struct {
	// Delay is the time between the request and its execution.
	Delay Duration `json:"delay"`
	// ResponseDelay is the time between the execution and the response.
	ResponseDelay Duration `json:"answer_delay"`
	// ErrorEvery makes requests fail with status 500 without being executed.
	ErrorEvery int `json:"error_every"`
	// DropResponseEvery resets the connection of requests after their execution instead
	// of sending a response.
	DropResponseEvery int `json:"drop_answer_every"`
}

// ServiceCounters are totals since the creation of the service, also across crashes.
type ServiceCounters struct {
	Requests uint64 `json:"requests"`
	Executed uint64 `json:"executed"`
	Failed   uint64 `json:"failed"`
	Dropped  uint64 `json:"dropped"`
	// Repeated counts executions of an order after its first.
	Repeated uint64 `json:"repeated"`
	// ServiceSeconds is the time spent on executed requests.
	ServiceSeconds float64 `json:"service_seconds"`
	// WastedSeconds is the part of ServiceSeconds spent on requests whose caller got no
	// response: it had disconnected, or DropResponseEvery dropped the response.
	WastedSeconds float64 `json:"wasted_seconds"`
}

// Executions holds how often each order was executed. Keys counts by the ticket, or by
// the "order" field of the body if there is no ticket. Orders counts by the field only,
// which reveals an order that ran under two tickets. An engine fills only Keys, by
// emulate.echo.
type Executions struct {
	Keys   map[string]int `json:"keys"`
	Orders map[string]int `json:"orders,omitempty"`
}

// ServiceResponse is the response of a service.
type ServiceResponse struct {
	Upstream string `json:"upstream"`
	// Key is the ticket or the "order" field of the body; empty for other requests.
	Key string `json:"key,omitempty"`
	// Execution is the number of times that the order has run under Key, including this
	// one.
	Execution int `json:"execution,omitempty"`
	// BodyChecksum is the [Checksum] of the request body, by which a caller recognizes
	// its own response.
	BodyChecksum string `json:"body_checksum"`
}

// Service is a stand-in for a plain HTTP service. It executes a request even if its caller
// has disconnected, and keeps its executions across crashes, as a service with a database
// does. It is safe for concurrent use.
type Service struct {
	name   string
	server server

	mu         sync.Mutex
	faults     ServiceFaults
	counters   ServiceCounters
	executions Executions
}

// NewService returns a service that does not listen yet.
func NewService(name string) *Service {
	s := &Service{name: name, executions: Executions{Keys: map[string]int{}, Orders: map[string]int{}}}
	s.server.handler = s.handle
	return s
}

// Start listens on addr, such as 127.0.0.1:0, and serves requests.
func (s *Service) Start(addr string) error { return s.server.start(addr) }

// Addr returns the address that the service listens on. It stays the same after a crash.
func (s *Service) Addr() string { return s.server.addr() }

// Stop stops the service for good.
func (s *Service) Stop() { s.server.stop() }

// Crash resets all connections and refuses new ones until Restart.
func (s *Service) Crash() { s.server.crash() }

// Restart listens on the same address again.
func (s *Service) Restart() error { return s.server.start(s.server.addr()) }

// CrashFor crashes the service and restarts it after d.
func (s *Service) CrashFor(d time.Duration) {
	s.Crash()
	s.server.afterFunc(d, func() { _ = s.Restart() })
}

// Freeze stops all executions and responses while connections stay open. Freeze(false)
// ends it.
func (s *Service) Freeze(on bool) { s.server.frozen.set(on) }

// Silence permanently stops all traffic on the open connections without closing them,
// and returns their number.
func (s *Service) Silence() int { return s.server.silenceConnections() }

// Faults returns the fault settings.
func (s *Service) Faults() ServiceFaults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// SetFaults replaces the fault settings.
func (s *Service) SetFaults(faults ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Counters returns a copy of the counters.
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
	return Status[ServiceFaults, ServiceCounters]{Name: s.name, Faults: s.faults, Counters: s.counters}
}

func (s *Service) apply(c Command) error {
	s.mu.Lock()
	defer s.mu.Unlock()
	var err error
	s.faults, err = mergeJSON(s.faults, c.Faults)
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

// requestFaults are the faults that affect one request.
type requestFaults struct{ fail, drop bool }

func (s *Service) nextRequest() (requestFaults, ServiceFaults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Requests++
	n := s.counters.Requests
	affected := func(every int) bool { return every > 0 && n%uint64(every) == 0 }
	return requestFaults{fail: affected(s.faults.ErrorEvery), drop: affected(s.faults.DropResponseEvery)}, s.faults
}

func (s *Service) serve(ctx *fasthttp.RequestCtx) {
	start := time.Now()
	f, faults := s.nextRequest()
	c := ctx.Conn().(*conn)
	closed := make(chan struct{})
	stopCloseWatch := c.watchClose(func() { close(closed) })
	sleep(faults.Delay)
	s.server.frozen.waitCleared()
	if f.fail {
		stopCloseWatch()
		s.updateCounters(func(counters *ServiceCounters) { counters.Failed++ })
		writeError(ctx, fasthttp.StatusInternalServerError, "failed", "the request was not executed")
		return
	}
	response := s.execute(ctx)
	sleep(faults.ResponseDelay)
	stopCloseWatch()
	wasted := f.drop
	select {
	case <-closed:
		wasted = true
	default:
	}
	s.recordServiceTime(time.Since(start), wasted, f.drop)
	if f.drop {
		c.reset()
		return
	}
	ctx.Response.Header.SetBytesV(HeaderRequestID, ctx.Request.Header.Peek(HeaderRequestID))
	writeJSON(ctx, fasthttp.StatusOK, response)
}

// execute counts an execution and returns the response to it.
func (s *Service) execute(ctx *fasthttp.RequestCtx) ServiceResponse {
	var body struct {
		Order string `json:"order"`
	}
	// A body that is not a JSON object is accepted and has no order field.
	_ = json.Unmarshal(ctx.PostBody(), &body)
	key := string(ctx.Request.Header.Peek(HeaderOrderTicket))
	if key == "" {
		key = body.Order
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counters.Executed++
	response := ServiceResponse{Upstream: s.name, Key: key, BodyChecksum: Checksum(string(ctx.PostBody()))}
	if key != "" {
		s.executions.Keys[key]++
		response.Execution = s.executions.Keys[key]
	}
	if body.Order != "" {
		s.executions.Orders[body.Order]++
	}
	if response.Execution > 1 || s.executions.Orders[body.Order] > 1 {
		s.counters.Repeated++
	}
	return response
}

func (s *Service) updateCounters(change func(*ServiceCounters)) {
	s.mu.Lock()
	defer s.mu.Unlock()
	change(&s.counters)
}

func (s *Service) recordServiceTime(elapsed time.Duration, wasted, dropped bool) {
	s.updateCounters(func(counters *ServiceCounters) {
		counters.ServiceSeconds += elapsed.Seconds()
		if wasted {
			counters.WastedSeconds += elapsed.Seconds()
		}
		if dropped {
			counters.Dropped++
		}
	})
}

func sleep(d Duration) {
	if d > 0 {
		time.Sleep(d.Std())
	}
}
