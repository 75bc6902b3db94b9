package gateway

import (
	"context"
	mathrand "math/rand/v2"
	"net"
	"slices"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/yuccabridge/yuccabridge/internal/coordination/dispatch"
	"github.com/yuccabridge/yuccabridge/internal/coordination/evacuation"
	"github.com/yuccabridge/yuccabridge/internal/coordination/quarantine"
	"github.com/yuccabridge/yuccabridge/internal/coordination/streamorigin"
	"github.com/yuccabridge/yuccabridge/internal/eventlog"
	"github.com/yuccabridge/yuccabridge/internal/lifecycle"
	"github.com/yuccabridge/yuccabridge/internal/periodic"
	"github.com/yuccabridge/yuccabridge/internal/settings"
	"github.com/yuccabridge/yuccabridge/internal/state/bytebudget"
	"github.com/yuccabridge/yuccabridge/internal/tasks"
	"github.com/yuccabridge/yuccabridge/internal/transport/caller"
	"github.com/yuccabridge/yuccabridge/internal/transport/peer"
)

// Adapter holds the implementations of the protocols of a deployment.
type Adapter struct {
	Caller   CallerProtocol
	Upstream UpstreamProtocol
	Store    PlatformStore
	Decoder  Decoder
	// DialUpstream replaces the dialer for upstreams, so that tests can interrupt links; nil: the default.
	DialUpstream func(ctx context.Context, address string) (net.Conn, error)
	// DialPeer replaces the dialer for peers, so that tests can slow links; nil: the default.
	DialPeer peer.DialFunc
}

// Gateway is one instance of the router.
type Gateway struct {
	settings        *settings.Gateway
	adapter         Adapter
	log             *logrus.Logger
	metrics         *metrics
	startedAt       time.Time
	seed            uint64
	requestSequence atomic.Uint64
	callerWatcher   *caller.Watcher
	life            *lifecycle.Life
	answering       context.Context // ends when the requests in progress must be answered, as the process ends
	stopAnswering   context.CancelFunc
	routing         atomic.Pointer[routingTable]

	quarantine      *quarantine.Quarantine
	evacuations     *evacuation.Register
	knownUpdatedAt  time.Duration // when the dispatchers were told the known instances; used by tick only
	origins         *streamorigin.Registry
	versions        *streamorigin.VersionHistory
	publishedMu     sync.Mutex
	published       *publishedConfiguration
	buffer          *bytebudget.Budget // for bodies in progress
	intake          *caller.Intake     // of the bodies of requests
	platformWatcher *platformWatcher
	peers           *peers

	configurationMu sync.Mutex
	upstreams       map[string]Upstream      // by the key of their entry
	coldUntil       map[string]time.Duration // by the key of the entry; of those that are published as cold
	services        map[string]*service
	paths           *upstreamPaths

	callerServer     *fasthttp.Server
	operationsServer *fasthttp.Server
	sockets          caller.Listeners
}

// New creates an instance and opens its listening sockets.
func New(s *settings.Gateway, adapter Adapter, log *logrus.Logger) (*Gateway, error) {
	g := &Gateway{
		settings: s, adapter: adapter, log: log, metrics: newMetrics(), startedAt: time.Now(), seed: mathrand.Uint64(),
		callerWatcher: caller.NewWatcher(), life: lifecycle.New(lifecycle.Options{DrainDelay: s.DrainDelay.Std(), Grace: s.Grace.Std()}), quarantine: quarantine.New(quarantine.Options{}),
		evacuations: evacuation.New(),
		origins:     streamorigin.NewRegistry(), versions: streamorigin.NewVersionHistory(s.FirstStart),
		buffer:    bytebudget.New(s.BufferMB * 1e6),
		upstreams: map[string]Upstream{}, coldUntil: map[string]time.Duration{}, services: map[string]*service{},
	}
	g.intake = caller.NewIntake(g.buffer, bytebudget.New(max(s.RequestBufferMB*1e6, defaultMaxBodyBytes))) // the largest body fits
	g.answering, g.stopAnswering = context.WithCancel(context.Background())
	g.paths = newUpstreamPaths(g)
	g.platformWatcher = newPlatformWatcher(g)
	g.callerServer = g.newCallerServer()
	g.operationsServer = g.newOperationsServer()
	var err error
	if g.sockets, err = caller.OpenListeners(s.Callers.Address, s.Operations.Address, writeTimeout, s.MaxConnections); err != nil {
		return nil, err
	}
	g.sockets.Callers.Connections.OnUnanswered = g.recordUnanswered
	g.sockets.Callers.Connections.OnWaitEnded = g.recordWaitEnd
	g.sockets.Callers.Connections.OnEvicted = g.recordEviction
	if g.peers, err = newPeers(g); err != nil {
		g.sockets.Close()
		return nil, err
	}
	if g.peers != nil {
		close(g.peers.initialized)
	}
	return g, nil
}

// CallersAddress returns the address of the listener for callers.
func (g *Gateway) CallersAddress() string { return g.sockets.Callers.Addr().String() }

// OperationsAddress returns the address of the listener for readiness, metrics and state.
func (g *Gateway) OperationsAddress() string { return g.sockets.Operations.Addr().String() }

// GossipAddress returns the gossip address that other instances use as a seed; empty if the
// instance has no peers.
func (g *Gateway) GossipAddress() string {
	if g.peers == nil {
		return ""
	}
	return g.peers.self.UDP.String()
}

// now returns the monotonic time since the start of the instance.
func (g *Gateway) now() time.Duration { return time.Since(g.startedAt) }

// retryingInstances returns the number of instances that may have sent retries within the
// retry window, including this one; 0 if it is not known.
func (g *Gateway) retryingInstances() int {
	if g.peers == nil {
		return 1
	}
	return g.peers.membership.Instances(g.now(), sharedDomain, g.settings.Retries.Window.Std())
}

// applyConfiguration activates a configuration unless its version is not newer than the
// current one.
func (g *Gateway) applyConfiguration(c *Configuration, source string) {
	g.configurationMu.Lock()
	defer g.configurationMu.Unlock()
	old := g.routing.Load()
	if old != nil && c.Version <= old.version {
		return
	}
	t := newRoutingTable(c)
	for name := range t.services {
		g.getOrCreateService(name)
	}
	g.routing.Store(t)
	g.assignUpstreams()
	g.metrics.configurationVersion.Set(float64(c.Version))
	g.log.WithFields(logrus.Fields{
		"event": eventlog.ConfigurationApplied, "version": c.Version, "source": source,
		"routes": len(c.Routes), "services": len(c.Services), "teams": len(c.Teams),
	}).Info("configuration applied")
}

// getOrCreateService returns the service, creating it if necessary. A service keeps its
// learned state across configurations. The caller must hold configurationMu.
func (g *Gateway) getOrCreateService(name string) *service {
	s := g.services[name]
	if s == nil {
		s = g.newService(name)
		g.services[name] = s
		s.dispatcher.SetInstances(g.now(), g.settings.Instance, g.peers.liveNames())
		s.dispatcher.SetKnownInstances(g.now(), g.knownInstances())
	}
	return s
}

// lookupService returns a service by name, or nil.
func (g *Gateway) lookupService(name string) *service {
	g.configurationMu.Lock()
	defer g.configurationMu.Unlock()
	return g.services[name]
}

// sortedServices returns the services sorted by name.
func (g *Gateway) sortedServices() []*service {
	g.configurationMu.Lock()
	defer g.configurationMu.Unlock()
	list := make([]*service, 0, len(g.services))
	for _, s := range g.services {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b *service) int { return strings.Compare(a.name, b.name) })
	return list
}

// assignUpstreams updates the upstreams of each service. The caller must hold
// configurationMu.
func (g *Gateway) assignUpstreams() {
	g.observeVersions()
	g.retainPaths()
	t := g.routing.Load()
	upstreamsByService := map[string][]dispatch.Upstream{}
	for key, u := range g.upstreams {
		var published Service
		if t != nil {
			published = t.services[u.Service]
		}
		upstreamsByService[u.Service] = append(upstreamsByService[u.Service], dispatch.Upstream{
			ID: u.ID, Incarnation: u.Incarnation, StartedAt: g.startOf(u), Version: u.Version, Address: u.Address, Domain: u.FailureDomain, Slots: u.Slots, KVCapacityTokens: published.KVCapacityTokens, Leaving: u.Leaving,
			Evacuated: g.evacuations.Evacuated(u.FailureDomain), ColdRate: published.ColdRate, ColdTime: published.ColdTime, ColdUntil: g.coldUntil[key],
		})
	}
	var all []dispatch.Upstream // except of services that are not configured: their entries name no server
	for name := range g.services {
		all = append(all, upstreamsByService[name]...)
	}
	now, latest := g.now(), latestStarts(all)
	for name, s := range g.services {
		for _, replaced := range s.updateUpstreams(now, upstreamsByService[name], latest) {
			if !replaced.Leaving {
				g.recordCrash(replaced, g.log.WithField("event", eventlog.CrashRecorded))
			}
		}
	}
}

// startOf returns when the process of an upstream started, which its incarnation says in Unix milliseconds; 0 if it does not.
func (g *Gateway) startOf(u Upstream) time.Duration {
	born, err := strconv.ParseInt(u.Incarnation, 10, 64)
	if err != nil {
		return 0
	}
	return time.UnixMilli(born).Sub(g.startedAt)
}

// Run serves requests until ctx is done, then drains the instance.
func (g *Gateway) Run(ctx context.Context) error {
	background := tasks.NewGroup()
	defer background.Stop()
	background.Go("callers", func(context.Context) error {
		return errors.Wrap(g.callerServer.Serve(callerListener{Listener: g.sockets.Callers, gateway: g}), "serve callers")
	})
	background.Go("operations", func(context.Context) error {
		return errors.Wrap(g.operationsServer.Serve(g.sockets.Operations), "serve operations")
	})
	background.Go("tick", func(ctx context.Context) error { return periodic.Run(ctx, tickInterval, g.tick) })
	background.Go("caller_watch", func(ctx context.Context) error {
		return periodic.Run(ctx, caller.WatchInterval, g.callerWatcher.Check)
	})
	g.platformWatcher.start(background)
	if g.peers != nil {
		g.peers.start(background)
	}
	g.log.WithFields(logrus.Fields{"event": eventlog.Started, "build": buildRevision(), "instance": g.settings.Instance, "failure_domain": g.settings.FailureDomain,
		"callers": g.CallersAddress(), "operations": g.OperationsAddress()}).Info("instance started")
	select {
	case <-ctx.Done():
	case <-background.Context().Done():
	}
	return g.drain(background)
}

// tick delivers scheduling decisions, logs changes of the upstream split, starts due probes and ends the start
// of the instance when it may serve.
func (g *Gateway) tick() {
	now := g.now()
	for _, s := range g.sortedServices() {
		s.deliverDecisions(now)
		s.logUpstreamSplit(g)
		s.reportCold(g, now)
		s.probeEjected(g)
	}
	if now-g.knownUpdatedAt >= memberSettleTime {
		g.knownUpdatedAt = now
		g.updateKnownInstances()
	}
	g.metrics.connections.Set(float64(g.sockets.Callers.Connections.Open()))
	g.paths.probe(now)
	g.peers.tickJoining(now)
	g.signalServing()
}

// drain performs a graceful shutdown: readiness fails first, callers are told to close
// their connections, and after the drain delay the listener and the connections that wait for a
// request are closed. The requests in progress are completed; until then, the background tasks go on.
func (g *Gateway) drain(background *tasks.Group) error {
	startedAt := time.Now()
	g.life.Stop(startedAt)
	if g.peers != nil {
		g.peers.leave()
		g.leaveLimits()
	}
	g.log.WithFields(logrus.Fields{"event": eventlog.Draining, "in_progress": g.callerWatcher.InProgress()}).Info("draining")
	err := g.sockets.Callers.Drain(caller.Drain{
		Life:        g.life,
		DelayOver:   func() { g.logListenerClosed(startedAt) },
		OtherWork:   g.peers.relays,
		EndRequests: g.stopAnswering,
	})
	if taskErr := g.stopBackground(background, startedAt); taskErr != nil {
		err = taskErr
	}
	g.log.WithFields(logrus.Fields{"event": eventlog.Stopped, "in_progress": g.callerWatcher.InProgress(), "after_ms": time.Since(startedAt).Milliseconds()}).Info("stopped")
	return err
}

// stopBackground ends the background tasks, before the connections to peers: a task that gets no answer from them
// would turn to the platform. Tasks that don't end soon are left to the exit of the process.
func (g *Gateway) stopBackground(background *tasks.Group, drainStartedAt time.Time) error {
	background.Stop()
	if g.peers != nil {
		background.Go("peer_connections", func(context.Context) error { g.peers.close(); return nil })
	}
	g.stopOperations()
	running, err := background.Wait(tasks.StopTimeout)
	if len(running) > 0 {
		g.log.WithFields(logrus.Fields{"event": eventlog.StopDelayed, "tasks": strings.Join(running, ","), "after_ms": time.Since(drainStartedAt).Milliseconds()}).Warn("background tasks have not ended; stopping without them")
	}
	return err
}

// logListenerClosed logs what the connections are used for when the instance stops accepting them.
func (g *Gateway) logListenerClosed(drainStartedAt time.Time) {
	counts := g.sockets.Callers.Connections.Counts()
	g.log.WithFields(logrus.Fields{"event": eventlog.ListenerClosed, "after_ms": time.Since(drainStartedAt).Milliseconds(),
		"unused": counts.Unused, "idle": counts.Idle, "busy": counts.Busy}).Info("no longer accepting connections")
}

// leaveLimits leaves the sending to limited upstreams to the other instances, if there are any.
func (g *Gateway) leaveLimits() {
	if len(g.peers.livePeers()) == 0 {
		return
	}
	for _, s := range g.sortedServices() {
		s.dispatcher.Leave(g.now())
	}
}

// operationsStopTimeout bounds the wait for the connections of the operations server.
const operationsStopTimeout = 20 * time.Millisecond

// stopOperations stops the operations server without waiting for connections that readiness
// probes keep open.
func (g *Gateway) stopOperations() {
	ctx, cancel := context.WithTimeout(context.Background(), operationsStopTimeout)
	defer cancel()
	if err := g.operationsServer.ShutdownWithContext(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		g.log.WithFields(logrus.Fields{"event": eventlog.OperationsListenerFailed, "error": err.Error()}).Warn("failed to close operations listener")
	}
}
