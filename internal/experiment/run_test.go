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

// bed is an engine and a service behind a proxy that issues tickets but keeps no
// ledger, as a naive entry instance would.
type bed struct {
	engine  *emulator.Engine
	service *emulator.Service
	config  *config.Deployment
	target  string
}

func newBed(t *testing.T) *bed {
	t.Helper()
	b := &bed{
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
	b.target = strings.TrimPrefix(entry.URL, "http://")
	b.config = &config.Deployment{
		Classes:  []config.Class{{Name: "c", Tier: 1, FirstTokenTarget: config.Duration(time.Hour)}},
		Models:   []config.Model{{Name: "m", Upstreams: []config.Upstream{{Name: "e", Address: b.engine.Addr()}}}},
		Services: []config.Service{{Name: "s", Upstreams: []config.Upstream{{Name: "s", Address: b.service.Addr()}}}},
	}
	return b
}

// proxyTo reads a request whole before it passes it on: net/http closes the body of
// a request once its answer begins, and a proxy that still reads it then breaks the
// connection to the upstream.
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

// run sends a short load to the bed.
func (b *bed) run(change func(*Scenario)) *Report {
	s := testScenario()
	s.Duration, s.Targets = config.Duration(300*time.Millisecond), []string{b.target}
	c := &s.Classes[0]
	c.Rate, c.Burst, c.JSONShare, c.OrderShare = 200, nil, 0.2, 0.2
	s.Orders = &OrderLoad{Path: "/orders/runs", Pause: config.Duration(time.Millisecond)}
	s.setDefaults()
	change(s)
	return Run(context.Background(), s, b.config)
}

// A faultless system must show no violation, and every request must be accounted for.
func TestRunAgainstFaultlessStandIns(t *testing.T) {
	b := newBed(t)
	r := b.run(func(*Scenario) {})
	c := r.Classes[0]
	if r.ViolationCount() != 0 || c.Intended == 0 || c.Answered != c.Intended || c.Met != c.Intended || r.Partial {
		t.Errorf("report %+v", r)
	}
	x := b.service.Executions()
	if c.Orders == 0 || r.Orders.Answered != c.Orders || len(x.Orders) != c.Orders {
		t.Errorf("%d orders, %d executed, %+v", c.Orders, len(x.Orders), r.Orders)
	}
	if r.Waste.Tokens == 0 || uint64(r.TokensReceived) != r.Waste.Tokens || r.Waste.TokensWasted != 0 {
		t.Errorf("waste %+v, received %d", r.Waste, r.TokensReceived)
	}
}

// An entry that runs a resent order again, and one that delivers another request's
// answer, must be found.
func TestRunFindsBrokenPromises(t *testing.T) {
	b := newBed(t)
	b.service.SetFaults(emulator.ServiceFaults{DropResponseEvery: 2})
	b.engine.SetFaults(emulator.EngineFaults{WrongIDEvery: 3})
	r := b.run(func(*Scenario) {})
	if r.Violations[RepeatedOrder] == 0 || r.Violations[ForeignAnswer] == 0 || len(r.Samples) == 0 {
		t.Errorf("violations %v", r.Violations)
	}
}

// Callers that leave must be counted apart, and their tokens as wasted work.
func TestRunCountsAbandonedWork(t *testing.T) {
	b := newBed(t)
	b.engine.SetFaults(emulator.EngineFaults{Straggle: 100})
	r := b.run(func(s *Scenario) {
		c := &s.Classes[0]
		c.OrderShare, c.Rate = 0, 100
		c.Output = Lengths{Median: 1e5, Max: 1e5}
		c.Abandon = &Abandon{Share: 1, After: config.Duration(50 * time.Millisecond)}
	})
	c := r.Classes[0]
	if c.Abandoned != c.Intended || c.Answered != 0 || r.ViolationCount() != 0 {
		t.Errorf("counts %+v, violations %v", c.ClassCounts, r.Samples)
	}
}
