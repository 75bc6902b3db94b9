package soak

import (
	"context"
	"fmt"
	"sync"
	"syscall"
	"time"

	"github.com/yuccabridge/yuccabridge/platform/standin"
)

const (
	serviceName      = "svc"
	hostName         = "soak.example"
	lookupPrefix     = "/lookup/"
	orderPrefix      = "/order/"
	streamPrefix     = "/stream/"
	longStreamPrefix = streamPrefix + "long-"
	routeTimeout     = 1500 * time.Millisecond
	latencyTarget    = 300 * time.Millisecond
	interTokenTarget = 200 * time.Millisecond
	permanentKey     = "key-that-stays"
	// maxAddedRoutes is the number of added routes that stay published. Adding another one
	// removes the oldest.
	maxAddedRoutes = 3
)

// publication is a route or key with the times of its publication and removal. A zero removedAt
// means that it is still published.
type publication struct {
	name                   string
	publishedAt, removedAt time.Time
}

// testbed holds the store, the upstreams and the instances of a run, and the violations found.
type testbed struct {
	options   Options
	store     *standin.Store
	ports     *portClaim
	upstreams []*upstream
	instances []*instance

	storeFaults faultIntervals   // affect all instances
	linkFaults  []faultIntervals // by instance

	mu                  sync.Mutex
	version             int
	routes              []publication
	keys                []publication
	processFaultMu      []sync.Mutex // by instance; serializes process faults
	faultCounts         map[string]int
	violations          []string
	retryUsage          retryUsage
	limitedArrivals     int
	largestMemory       int
	activeStoreFailures int // overlapping store failures
	configuration       standin.Configuration
	drills              []drill
	departures          []departure
	// active are the upstreams that serve, one for each place; releases replace them.
	active           []*upstream
	versionedStreams []versionedStream
	takenUp          map[string]int
	links            []*instanceLinks // by instance; only for partitions
	partitions       []partition
	atPartitioned    firstTries
	atOthers         firstTries
	statementsTold   int
	removals         int
	evacuations      faultIntervals // of evacuatedDomain
	coldArrivals     int
	heldRequests     []heldRequest
	heldCounts       map[string]int
	reusedRequests   []reusedRequest
	reuseCounts      map[string]int
}

func (tb *testbed) addViolation(format string, args ...any) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	if len(tb.violations) < maxViolations {
		tb.violations = append(tb.violations, fmt.Sprintf(format, args...))
	}
}

// maxViolations limits the length of the report.
const maxViolations = 50

// publish publishes the next configuration version. The caller must hold mu.
func (tb *testbed) publish() {
	tb.version++
	route := func(name, prefix, kind string) standin.Route {
		return standin.Route{Name: name, Host: hostName, PathPrefix: prefix, Kind: kind, Service: serviceName,
			Timeout: routeTimeout, LatencyTarget: latencyTarget, Priority: 1, MaxAttempts: 2}
	}
	stream := route("stream", streamPrefix, "streaming")
	stream.Resumable, stream.InterTokenTarget = true, interTokenTarget
	versioned := stream
	versioned.Name, versioned.PathPrefix = "versioned", versionedPrefix
	once := versioned
	once.Name, once.PathPrefix, once.MaxAttempts = "once", oncePrefix, 1
	routes := []standin.Route{route("lookup", lookupPrefix, "idempotent"), route("order", orderPrefix, "non_idempotent"), stream, versioned, once}
	for _, r := range tb.routes {
		if r.removedAt.IsZero() {
			routes = append(routes, route(r.name, "/"+r.name+"/", "idempotent"))
		}
	}
	keys := []string{permanentKey}
	for _, k := range tb.keys {
		if k.removedAt.IsZero() {
			keys = append(keys, k.name)
		}
	}
	tb.configuration = standin.Configuration{Version: tb.version, Routes: routes, Services: []standin.Service{tb.options.service()},
		Team: "team", APIKeys: keys}
	tb.store.PutConfiguration(tb.configuration)
}

// service returns the service of the upstreams.
func (o Options) service() standin.Service {
	if o.Faults == EvacuationFaults {
		return standin.Service{Name: serviceName, ColdTime: coldTime, ColdRate: coldRate}
	}
	return standin.Service{Name: serviceName}
}

func (tb *testbed) changeRoutes() {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.routes = append(tb.routes, publication{name: fmt.Sprintf("added-%d", len(tb.routes)), publishedAt: time.Now()})
	if i := len(tb.routes) - 1 - maxAddedRoutes; i >= 0 {
		tb.routes[i].removedAt = time.Now()
	}
	tb.publish()
}

func (tb *testbed) revokeKey() {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	now := time.Now()
	if n := len(tb.keys); n > 0 {
		tb.keys[n-1].removedAt = now
	}
	tb.keys = append(tb.keys, publication{name: fmt.Sprintf("key-%d", len(tb.keys)), publishedAt: now})
	tb.publish()
}

// stabilityPeriod is the time without faults after which an instance is expected to apply changes
// in time.
const stabilityPeriod = 3 * time.Second

// hasStableStoreAccess reports whether, for stabilityPeriod before at, instance i was running and
// had undisturbed access to the store.
func (tb *testbed) hasStableStoreAccess(i int, at time.Time) bool {
	return tb.storeFaults.inactiveBefore(at, stabilityPeriod) && tb.linkFaults[i].inactiveBefore(at, stabilityPeriod) &&
		tb.instances[i].processFaults.inactiveBefore(at, stabilityPeriod)
}

// applyFault applies one fault and returns when it has ended.
func (tb *testbed) applyFault(ctx context.Context, f fault) {
	tb.mu.Lock()
	tb.faultCounts[faultKindNames[f.kind]]++
	tb.mu.Unlock()
	waitForEnd := func() {
		select {
		case <-ctx.Done():
		case <-time.After(f.duration):
		}
	}
	i := f.target % len(tb.instances)
	u := tb.upstreams[f.target%len(tb.upstreams)]
	switch f.kind {
	case reloadProcess:
		tb.instances[i].signalStarted(syscall.SIGHUP)
	case stallProcess:
		tb.instances[i].stall(waitForEnd)
	case killProcess, pauseProcess, stopProcess:
		tb.applyProcessFault(i, f, waitForEnd)
	case disruptUpstreamLink:
		defer u.linkFaults.begin()()
		u.proxy.setMode(f.mode)
		waitForEnd()
		u.proxy.setMode(modePass)
	case disruptStoreLink:
		tb.applyLinkFault(i, f, waitForEnd)
	case failStore:
		end := tb.storeFaults.begin()
		tb.adjustStoreFailures(1)
		waitForEnd()
		tb.adjustStoreFailures(-1)
		end()
	case compactHistory:
		end := tb.storeFaults.begin()
		tb.store.CompactHistory(tb.changeRoutes)
		end()
	case changeRoutes:
		tb.changeRoutes()
	case revokeKey:
		tb.revokeKey()
	case evacuateDomain:
		tb.evacuate(waitForEnd)
	case drainUpstream:
		for _, state := range []registrationState{leaving, removed} {
			u.register(tb.store, state)
			waitForEnd()
		}
		u.register(tb.store, serving)
	case removeUpstream:
		u.removeEntry(tb, waitForEnd)
	case breakMany, rejectMany, pauseMany:
		tb.applyFaultToMany(f, waitForEnd)
	case stateLimit:
		end := u.beginLimit(f.limit)
		waitForEnd()
		end()
	case sendEndless:
		u.activeEndless.Add(1)
		waitForEnd()
		u.activeEndless.Add(-1)
	case endResponses:
		u.activeEnds.Add(1)
		waitForEnd()
		u.activeEnds.Add(-1)
	case stateLeaving:
		u.activeLeaving.Add(1)
		waitForEnd()
		u.crash("")
		u.activeLeaving.Add(-1)
	case statePause:
		u.activePausing.Add(1)
		waitForEnd()
		u.activePausing.Add(-1)
	case partitionInstances:
		tb.partition(f, waitForEnd)
	case releaseUpstream:
		tb.release(f.target%tb.options.Upstreams, waitForEnd)
	case crashUpstream:
		tb.mu.Lock()
		crashing := tb.active[f.target%tb.options.Upstreams]
		tb.mu.Unlock()
		crashing.crash("")
	case returnStore:
		tb.returnStore(waitForEnd)
	case delayInstance: // applied at the start of the run
	case breakResponses:
		u.activeBreaks.Add(1)
		waitForEnd()
		u.activeBreaks.Add(-1)
	case rejectRequests:
		u.activeRejections.Add(1)
		waitForEnd()
		u.activeRejections.Add(-1)
	case sendStaleResponses:
		u.activeStaleResponses.Add(1)
		waitForEnd()
		u.activeStaleResponses.Add(-1)
	}
}

// applyFaultToMany applies a fault to a share of the upstreams at the same time.
func (tb *testbed) applyFaultToMany(f fault, waitForEnd func()) {
	adjust := func(delta int32) {
		for i := range int(f.share * float64(len(tb.upstreams))) {
			u := tb.upstreams[(f.target+i)%len(tb.upstreams)]
			switch f.kind {
			case breakMany:
				u.activeFaultsOfMany.Add(delta)
				u.activeBreaks.Add(delta)
			case rejectMany:
				u.activeFaultsOfMany.Add(delta)
				u.activeRejections.Add(delta)
			case pauseMany:
				u.pause(delta)
			}
		}
	}
	adjust(1)
	waitForEnd()
	adjust(-1)
}

// adjustStoreFailures changes the number of active store failures. They may overlap, so the store
// recovers only when the last one ends.
func (tb *testbed) adjustStoreFailures(delta int) {
	tb.mu.Lock()
	defer tb.mu.Unlock()
	tb.activeStoreFailures += delta
	status := 0
	if tb.activeStoreFailures > 0 {
		status = 503
	}
	tb.store.SetFailureStatus(status)
}

func (tb *testbed) applyLinkFault(i int, f fault, waitForEnd func()) {
	defer tb.linkFaults[i].begin()()
	tb.instances[i].storeProxy.setMode(f.mode)
	waitForEnd()
	tb.instances[i].storeProxy.setMode(modePass)
}

func (tb *testbed) applyProcessFault(i int, f fault, waitForEnd func()) {
	tb.processFaultMu[i].Lock()
	defer tb.processFaultMu[i].Unlock()
	in := tb.instances[i]
	defer in.processFaults.begin()()
	switch f.kind {
	case pauseProcess:
		in.signal(syscall.SIGSTOP, false)
		waitForEnd()
		in.signal(syscall.SIGCONT, false)
		return
	case killProcess:
		in.signal(syscall.SIGKILL, true)
		in.awaitExit(gracePeriod)
		waitForEnd()
	case stopProcess:
		end := in.stops.begin()
		in.signal(syscall.SIGTERM, true)
		if killed := in.awaitExit(in.times.kill); killed && tb.options.Faults == StopFaults {
			tb.addViolation("%s was there at the end of the grace period", in.name)
		}
		end()
	}
	if err := in.start(); err != nil {
		tb.addViolation("%v", err)
		return
	}
	if !in.awaitStart() {
		tb.addViolation("%s is not ready %v after its start", in.name, startTimeout)
	}
}

// startTimeout limits the time until a new process is ready, even if the store is unavailable.
const startTimeout = 8 * time.Second
