package experiment

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"log"
	"net/http"
	"net/http/httptest"
	"net/http/httputil"
	"net/url"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/yuccabridge/yuccabridge/config"
	"github.com/yuccabridge/yuccabridge/internal/emulator"
)

// testbed runs an engine and a service stand-in behind a proxy that issues order tickets
// but, unlike an entry instance, keeps no record of the orders that were sent.
type testbed struct {
	engine       *emulator.Engine
	service      *emulator.Service
	config       *config.Deployment
	entryAddress string
}

func newTestbed(t *testing.T) *testbed {
	t.Helper()
	b := &testbed{
		engine:  emulator.NewEngine(emulator.EngineOptions{Name: "e", Performance: emulator.Performance{Slots: 64, PrefillPerToken: time.Microsecond, DecodeInterval: 100 * time.Microsecond}}),
		service: emulator.NewService("s"),
	}
	for _, start := range []func(string) error{b.engine.Start, b.service.Start} {
		if err := start("127.0.0.1:0"); err != nil {
			t.Fatal(err)
		}
	}
	var tickets atomic.Int64
	mux := http.NewServeMux()
	mux.HandleFunc(pathTickets, func(w http.ResponseWriter, _ *http.Request) {
		fmt.Fprintf(w, `{"ticket":"t%d"}`, tickets.Add(1))
	})
	mux.Handle("/orders/", proxyTo(b.service.Addr()))
	mux.Handle("/", proxyTo(b.engine.Addr()))
	entry := httptest.NewServer(mux)
	t.Cleanup(func() { entry.Close(); b.engine.Stop(); b.service.Stop() })
	b.entryAddress = strings.TrimPrefix(entry.URL, "http://")
	b.config = &config.Deployment{
		Classes:  []config.Class{{Name: "c", Tier: 1, FirstTokenTarget: config.Duration(time.Hour)}},
		Models:   []config.Model{{Name: "m", Upstreams: []config.Upstream{{Name: "e", Address: b.engine.Addr()}}}},
		Services: []config.Service{{Name: "s", Upstreams: []config.Upstream{{Name: "s", Address: b.service.Addr()}}}},
	}
	return b
}

// proxyTo returns a proxy that reads the complete request body before forwarding it.
// net/http closes the body of a request once the response begins, and a proxy that is
// still reading it then breaks the connection to the upstream.
func proxyTo(addr string) http.Handler {
	p := httputil.NewSingleHostReverseProxy(&url.URL{Scheme: "http", Host: addr})
	p.FlushInterval = -1
	p.ErrorLog = log.New(io.Discard, "", 0)
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, err := io.ReadAll(r.Body)
		if err != nil {
			panic(http.ErrAbortHandler)
		}
		r.Body = io.NopCloser(bytes.NewReader(body))
		p.ServeHTTP(w, r)
	})
}

// runScenario runs a short scenario, modified by change, against the testbed.
func (b *testbed) runScenario(change func(*Scenario)) *Report {
	s := testScenario()
	s.Duration, s.EntryAddresses = config.Duration(300*time.Millisecond), []string{b.entryAddress}
	c := &s.Classes[0]
	c.Rate, c.Burst, c.JSONShare, c.OrderShare = 200, nil, 0.2, 0.2
	s.Orders = &OrderLoad{Path: "/orders/runs", Pause: config.Duration(time.Millisecond)}
	s.setDefaults()
	change(s)
	return Run(context.Background(), s, b.config)
}

// Guards against false violations and missing requests in the report of a system that works
// correctly.
func TestRunWithoutFaults(t *testing.T) {
	b := newTestbed(t)
	r := b.runScenario(func(*Scenario) {})
	c := r.Classes[0]
	if r.ViolationCount() != 0 || c.Offered == 0 || c.Answered != c.Offered || c.Met != c.Offered || r.Partial {
		t.Errorf("report %+v", r)
	}
	executions := b.service.Executions()
	if c.Orders == 0 || r.Orders.Answered != c.Orders || len(executions.Orders) != c.Orders {
		t.Errorf("%d orders, %d executed, %+v", c.Orders, len(executions.Orders), r.Orders)
	}
	if r.Waste.Tokens == 0 || uint64(r.TokensReceived) != r.Waste.Tokens || r.Waste.TokensWasted != 0 {
		t.Errorf("waste %+v, received %d", r.Waste, r.TokensReceived)
	}
}

// Guards against undetected faults: an entry that executes a resent order again, and a
// response that belongs to another request.
func TestRunDetectsViolations(t *testing.T) {
	b := newTestbed(t)
	b.service.SetFaults(emulator.ServiceFaults{DropResponseEvery: 2})
	b.engine.SetFaults(emulator.EngineFaults{WrongIDEvery: 3})
	r := b.runScenario(func(*Scenario) {})
	if r.Violations[RepeatedOrder] == 0 || r.Violations[ForeignResponse] == 0 || len(r.ListedViolations) == 0 {
		t.Errorf("violations %v", r.Violations)
	}
}

// Guards against abandoned requests that are counted as answered, unanswered or violating.
func TestRunCountsAbandonedRequests(t *testing.T) {
	b := newTestbed(t)
	b.engine.SetFaults(emulator.EngineFaults{Straggle: 100})
	r := b.runScenario(func(s *Scenario) {
		c := &s.Classes[0]
		c.OrderShare, c.Rate = 0, 100
		c.Output = Lengths{Median: 1e5, Max: 1e5}
		c.Abandon = &Abandon{Share: 1, After: config.Duration(50 * time.Millisecond)}
	})
	c := r.Classes[0]
	if c.Abandoned != c.Offered || c.Answered != 0 || r.ViolationCount() != 0 {
		t.Errorf("counts %+v, violations %v", c.ClassCounts, r.ListedViolations)
	}
}
