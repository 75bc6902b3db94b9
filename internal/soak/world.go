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
	*standin.Server
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

func (u *upstream) behave(run standin.Run) standin.Behaviour {
	u.mu.Lock()
	hit := u.rng.Float64() < faultyShare
	u.mu.Unlock()
	b := standin.Behaviour{Pause: answerPause}
	if strings.HasPrefix(run.URI, streamPrefix) {
		b.Events, b.Pause = streamEvents, eventPause
	}
	switch {
	case !hit:
	case u.refuses.Load() > 0:
		b.NotRun = true
	case u.breaks.Load() > 0:
		b.BreakAfter = breakAfter
	case u.strays.Load() > 0 && b.Events == 0:
		b.Late = true
	}
	return b
}

func (u *upstream) entry(state string) map[string]any {
	e := u.Entry(serviceName, "zone", state, 16)
	e["address"] = u.proxy.address()
	return e
}

const (
	serviceName  = "svc"
	hostName     = "soak.example"
	lookupPrefix = "/lookup/"
	orderPrefix  = "/order/"
	streamPrefix = "/stream/"
	routeTimeout = 1500 * time.Millisecond
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

	mu          sync.Mutex
	version     int
	routes      []published
	keys        []published
	storeHarm   []span         // of all instances
	linkHarm    map[int][]span // by instance
	faulting    []sync.Mutex   // one process fault at a time, by instance
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
	route := func(name, prefix, kind string, more map[string]any) map[string]any {
		r := map[string]any{"name": name, "hostname": hostName, "path-prefix": prefix, "kind": kind, "timeout-ms": routeTimeout.Milliseconds(),
			"target-latency-ms": 300, "priority": 1, "service": serviceName, "max-attempts": 2}
		for key, value := range more {
			r[key] = value
		}
		return r
	}
	routes := []map[string]any{
		route("lookup", lookupPrefix, "idempotent", nil),
		route("order", orderPrefix, "non_idempotent", nil),
		route("stream", streamPrefix, "streaming", map[string]any{"resumable": true, "target-gap-ms": 200}),
	}
	for _, r := range w.routes {
		if r.removed.IsZero() {
			routes = append(routes, route(r.name, "/"+r.name+"/", "idempotent", nil))
		}
	}
	keys := []string{standingKey}
	for _, k := range w.keys {
		if k.removed.IsZero() {
			keys = append(keys, k.name)
		}
	}
	w.store.Put("op/config", map[string]any{"version": w.version, "routes": routes,
		"services": []map[string]any{{"name": serviceName, "health-path": "/health", "max-conns": 400}},
		"limits":   map[string]any{"max-header-bytes": 16384, "max-body-bytes": 1 << 20, "header-timeout-ms": 3000, "idle-timeout-ms": 15000},
		"tenants":  []map[string]any{{"name": "team", "api-keys": keys}}})
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

// harmStore begins a fault of the store for all instances; the result ends it.
func (w *world) harmStore() func() {
	w.mu.Lock()
	defer w.mu.Unlock()
	i := len(w.storeHarm)
	w.storeHarm = append(w.storeHarm, span{from: time.Now()})
	return func() {
		w.mu.Lock()
		defer w.mu.Unlock()
		w.storeHarm[i].to = time.Now()
	}
}

// stable is how long an instance must have reached the store before it is counted on.
const stable = 3 * time.Second

// inTouch reports whether instance i ran and reached the store for the last while.
func (w *world) inTouch(i int, at time.Time) bool {
	w.mu.Lock()
	spans := append(append([]span(nil), w.storeHarm...), w.linkHarm[i]...)
	w.mu.Unlock()
	for _, s := range spans {
		if s.to.IsZero() || s.to.After(at.Add(-stable)) {
			return false
		}
	}
	return w.instances[i].calm(at, stable)
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
		end := w.harmStore()
		w.storeFails(1)
		hold()
		w.storeFails(-1)
		end()
	case dropHistory:
		end := w.harmStore()
		w.store.DropHistory(w.changeRoutes)
		end()
	case changeRoutes:
		w.changeRoutes()
	case revokeKey:
		w.revokeKey()
	case upstreamLeaves:
		w.store.Put("servers/"+u.Name, u.entry("draining"))
		hold()
		w.store.Delete("servers/" + u.Name)
		hold()
		w.store.Put("servers/"+u.Name, u.entry("ready"))
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
	w.store.Fail(status)
}

func (w *world) harmLink(i int, f fault, hold func()) {
	w.mu.Lock()
	n := len(w.linkHarm[i])
	w.linkHarm[i] = append(w.linkHarm[i], span{from: time.Now()})
	w.mu.Unlock()
	w.instances[i].store.set(f.mode)
	hold()
	w.instances[i].store.set(passing)
	w.mu.Lock()
	w.linkHarm[i][n].to = time.Now()
	w.mu.Unlock()
}

func (w *world) harmProcess(i int, f fault, hold func()) {
	w.faulting[i].Lock()
	defer w.faulting[i].Unlock()
	in := w.instances[i]
	if f.kind == reloadProcess {
		in.signal(syscall.SIGHUP, false)
		return
	}
	end := in.harmed()
	defer end()
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
