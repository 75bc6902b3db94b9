package soak

import (
	"context"
	"fmt"
	"math/rand/v2"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"github.com/yuccabridge/yuccabridge/platform/standin"
)

// upstream is one stand-in with its proxy and what it does wrong at present.
type upstream struct {
	*standin.Upstream
	proxy                   *proxy
	breaks, refuses, strays atomic.Int32
	rng                     *rand.Rand
	mu                      sync.Mutex
}

const (
	streamEvents = 8
	eventPause   = 15 * time.Millisecond
	answerPause  = 8 * time.Millisecond
	breakAfter   = 3
	// faultyShare is the share of requests that a faulty upstream treats wrongly.
	faultyShare = 0.4
)

func (u *upstream) behave(run standin.Execution) standin.Behaviour {
	u.mu.Lock()
	hit := u.rng.Float64() < faultyShare
	u.mu.Unlock()
	b := standin.Behaviour{Delay: answerPause}
	if strings.HasPrefix(run.URI, streamPrefix) {
		b.Events, b.Delay = streamEvents, eventPause
	}
	switch {
	case !hit:
	case u.refuses.Load() > 0:
		b.NotRun = true
	case u.breaks.Load() > 0:
		b.BreakAfter = breakAfter
	case u.strays.Load() > 0 && b.Events == 0:
		b.StaleResponse = true
	}
	return b
}

// publication is what the upstream publishes: it is reached through its proxy.
func (u *upstream) publication(leaving bool) standin.Registration {
	return standin.Registration{Address: u.proxy.address(), Service: serviceName, FailureDomain: "zone", Slots: 16, Leaving: leaving}
}

const (
	serviceName  = "svc"
	hostName     = "soak.example"
	lookupPrefix = "/lookup/"
	orderPrefix  = "/order/"
	streamPrefix = "/stream/"
	routeTimeout = 1500 * time.Millisecond
	answerTarget = 300 * time.Millisecond
	pauseTarget  = 200 * time.Millisecond
	standingKey  = "key-that-stays"
	// shownRoutes is the number of added routes that are kept.
	shownRoutes = 3
)

// published is a route or key that was published at one time and taken back at another.
type published struct {
	name           string
	added, removed time.Time
}

// world is the store, the upstreams and the instances of a run.
type world struct {
	o         Options
	store     *standin.Store
	upstreams []*upstream
	instances []*instance

	storeHarm spans   // of all instances
	linkHarm  []spans // by instance

	mu          sync.Mutex
	version     int
	routes      []published
	keys        []published
	faulting    []sync.Mutex // one process fault at a time, by instance
	applied     map[string]int
	violations  []string
	storeBroken int // store faults that run at present
}

func (w *world) violate(format string, args ...any) {
	w.mu.Lock()
	defer w.mu.Unlock()
	if len(w.violations) < maxViolations {
		w.violations = append(w.violations, fmt.Sprintf(format, args...))
	}
}

// maxViolations bounds the report.
const maxViolations = 50

// publish writes the configuration. The caller holds mu.
func (w *world) publish() {
	w.version++
	route := func(name, prefix, kind string) standin.Route {
		return standin.Route{Name: name, Host: hostName, PathPrefix: prefix, Kind: kind, Service: serviceName,
			Timeout: routeTimeout, LatencyTarget: answerTarget, Priority: 1, MaxAttempts: 2}
	}
	stream := route("stream", streamPrefix, "streaming")
	stream.Resumable, stream.InterTokenTarget = true, pauseTarget
	routes := []standin.Route{route("lookup", lookupPrefix, "idempotent"), route("order", orderPrefix, "non_idempotent"), stream}
	for _, r := range w.routes {
		if r.removed.IsZero() {
			routes = append(routes, route(r.name, "/"+r.name+"/", "idempotent"))
		}
	}
	keys := []string{standingKey}
	for _, k := range w.keys {
		if k.removed.IsZero() {
			keys = append(keys, k.name)
		}
	}
	w.store.PutConfiguration(standin.Configuration{Version: w.version, Routes: routes, Services: []standin.Service{{Name: serviceName}},
		Team: "team", APIKeys: keys})
}

func (w *world) changeRoutes() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.routes = append(w.routes, published{name: fmt.Sprintf("added-%d", len(w.routes)), added: time.Now()})
	if i := len(w.routes) - 1 - shownRoutes; i >= 0 {
		w.routes[i].removed = time.Now()
	}
	w.publish()
}

func (w *world) revokeKey() {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if n := len(w.keys); n > 0 {
		w.keys[n-1].removed = now
	}
	w.keys = append(w.keys, published{name: fmt.Sprintf("key-%d", len(w.keys)), added: now})
	w.publish()
}

// stable is how long an instance must have reached the store before it is counted on.
const stable = 3 * time.Second

// inTouch reports whether instance i ran and reached the store for the last while.
func (w *world) inTouch(i int, at time.Time) bool {
	return w.storeHarm.calm(at, stable) && w.linkHarm[i].calm(at, stable) && w.instances[i].troubles.calm(at, stable)
}

// apply performs one fault from its beginning to its end.
func (w *world) apply(ctx context.Context, f fault) {
	w.mu.Lock()
	w.applied[kindNames[f.kind]]++
	w.mu.Unlock()
	hold := func() {
		select {
		case <-ctx.Done():
		case <-time.After(f.lasts):
		}
	}
	i := f.target % len(w.instances)
	u := w.upstreams[f.target%len(w.upstreams)]
	switch f.kind {
	case killProcess, pauseProcess, stopProcess, reloadProcess:
		w.harmProcess(i, f, hold)
	case harmUpstream:
		u.proxy.set(f.mode)
		hold()
		u.proxy.set(passing)
	case harmStoreLink:
		w.harmLink(i, f, hold)
	case failStore:
		end := w.storeHarm.begin()
		w.storeFails(1)
		hold()
		w.storeFails(-1)
		end()
	case dropHistory:
		end := w.storeHarm.begin()
		w.store.CompactHistory(w.changeRoutes)
		end()
	case changeRoutes:
		w.changeRoutes()
	case revokeKey:
		w.revokeKey()
	case upstreamLeaves:
		w.store.PutUpstream(u.Upstream, u.publication(true))
		hold()
		w.store.RemoveUpstream(u.Upstream)
		hold()
		w.store.PutUpstream(u.Upstream, u.publication(false))
	case upstreamBreaks:
		u.breaks.Add(1)
		hold()
		u.breaks.Add(-1)
	case upstreamRefuses:
		u.refuses.Add(1)
		hold()
		u.refuses.Add(-1)
	case upstreamStray:
		u.strays.Add(1)
		hold()
		u.strays.Add(-1)
	}
}

// storeFails counts store faults, which overlap.
func (w *world) storeFails(n int) {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.storeBroken += n
	status := 0
	if w.storeBroken > 0 {
		status = 503
	}
	w.store.SetFailureStatus(status)
}

func (w *world) harmLink(i int, f fault, hold func()) {
	defer w.linkHarm[i].begin()()
	w.instances[i].store.set(f.mode)
	hold()
	w.instances[i].store.set(passing)
}

func (w *world) harmProcess(i int, f fault, hold func()) {
	w.faulting[i].Lock()
	defer w.faulting[i].Unlock()
	in := w.instances[i]
	if f.kind == reloadProcess {
		in.signal(syscall.SIGHUP, false)
		return
	}
	defer in.troubles.begin()()
	switch f.kind {
	case pauseProcess:
		in.signal(syscall.SIGSTOP, false)
		hold()
		in.signal(syscall.SIGCONT, false)
		return
	case killProcess:
		in.signal(syscall.SIGKILL, true)
		in.await(grace)
		hold()
	case stopProcess:
		in.signal(syscall.SIGTERM, true)
		in.await(grace)
	}
	if err := in.start(); err != nil {
		w.violate("%v", err)
		return
	}
	if !in.readyWithin(startTime) {
		w.violate("%s is not ready %v after its start", in.name, startTime)
	}
}

// startTime is how long a new process may take until it is ready, also without the store.
const startTime = 8 * time.Second
