package gateway

import (
	"context"
	mathrand "math/rand/v2"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"
	"golang.org/x/sync/errgroup"

	"github.com/yuccabridge/yuccabridge/internal/coordination/dispatch"
	"github.com/yuccabridge/yuccabridge/internal/coordination/quarantine"
	"github.com/yuccabridge/yuccabridge/internal/eventlog"
	"github.com/yuccabridge/yuccabridge/internal/periodic"
	"github.com/yuccabridge/yuccabridge/internal/settings"
	"github.com/yuccabridge/yuccabridge/internal/transport/caller"
)

// Protocols are the implementations that an adapter provides.
type Protocols struct {
	Caller   CallerProtocol
	Upstream UpstreamProtocol
	Source   Source
	Decoder  Decoder
}

// Gateway is one instance that forwards requests.
type Gateway struct {
	settings  *settings.Gateway
	protocols Protocols
	log       *logrus.Logger
	metrics   *metrics
	started   time.Time
	seed      uint64
	sequence  atomic.Uint64
	watcher   *caller.Watcher
	draining  atomic.Bool
	table     atomic.Pointer[table]

	quarantine *quarantine.Quarantine
	feed       *feed
	peers      *peers

	configuring sync.Mutex
	upstreams   map[string]Upstream // by key of their entry
	services    map[string]*service

	callers    *fasthttp.Server
	operations *fasthttp.Server
	sockets    caller.Listeners
}

// New opens the sockets of an instance.
func New(s *settings.Gateway, p Protocols, log *logrus.Logger) (*Gateway, error) {
	g := &Gateway{
		settings: s, protocols: p, log: log, metrics: newMetrics(), started: time.Now(), seed: mathrand.Uint64(),
		watcher: caller.NewWatcher(), quarantine: quarantine.New(quarantine.Options{}),
		upstreams: map[string]Upstream{}, services: map[string]*service{},
	}
	g.feed = newFeed(g)
	g.callers = g.newCallersServer()
	g.operations = g.newOperationsServer()
	var err error
	if g.sockets, err = caller.OpenListeners(s.Callers.Address, s.Operations.Address, writeTimeout); err != nil {
		return nil, err
	}
	if g.peers, err = newPeers(g); err != nil {
		g.sockets.Close()
		return nil, err
	}
	return g, nil
}

// CallersAddress is the address that callers reach.
func (g *Gateway) CallersAddress() string { return g.sockets.Callers.Addr().String() }

// OperationsAddress is the address for readiness and metrics.
func (g *Gateway) OperationsAddress() string { return g.sockets.Operations.Addr().String() }

// GossipAddress is the address that other instances join through; empty without peers.
func (g *Gateway) GossipAddress() string {
	if g.peers == nil {
		return ""
	}
	return g.peers.self.UDP.String()
}

// now is the monotonic time since the start.
func (g *Gateway) now() time.Duration { return time.Since(g.started) }

// instanceCount is the number of live instances, this one included.
func (g *Gateway) instanceCount() int {
	if g.peers == nil {
		return 1
	}
	return len(g.peers.live()) + 1
}

// applyConfiguration puts a configuration in force unless it is older than the present one.
func (g *Gateway) applyConfiguration(c *Configuration, source string) {
	g.configuring.Lock()
	defer g.configuring.Unlock()
	old := g.table.Load()
	if old != nil && c.Version <= old.version {
		return
	}
	t := newTable(c)
	for name := range t.services {
		g.obtainService(name)
	}
	g.table.Store(t)
	g.distribute()
	g.metrics.version.Set(float64(c.Version))
	g.log.WithFields(logrus.Fields{
		"event": eventlog.ConfigurationApplied, "version": c.Version, "source": source,
		"routes": len(c.Routes), "services": len(c.Services), "teams": len(c.Teams),
	}).Info("configuration applied")
}

// obtainService returns the service with its learned state. The caller holds configuring.
func (g *Gateway) obtainService(name string) *service {
	s := g.services[name]
	if s == nil {
		s = g.newService(name)
		g.services[name] = s
	}
	return s
}

// service returns a service by name, or nil.
func (g *Gateway) service(name string) *service {
	g.configuring.Lock()
	defer g.configuring.Unlock()
	return g.services[name]
}

// serviceList returns the services in the order of their names.
func (g *Gateway) serviceList() []*service {
	g.configuring.Lock()
	defer g.configuring.Unlock()
	list := make([]*service, 0, len(g.services))
	for _, s := range g.services {
		list = append(list, s)
	}
	slices.SortFunc(list, func(a, b *service) int { return strings.Compare(a.name, b.name) })
	return list
}

// distribute gives each service its upstreams. The caller holds configuring.
func (g *Gateway) distribute() {
	t := g.table.Load()
	lists := map[string][]dispatch.Upstream{}
	for _, u := range g.upstreams {
		memory := 0
		if t != nil {
			memory = t.services[u.Service].Memory
		}
		lists[u.Service] = append(lists[u.Service], dispatch.Upstream{
			ID: u.ID, Address: u.Address, Domain: u.FailureDomain, Slots: u.Slots, KVCapacityTokens: memory, Leaving: u.Leaving,
		})
	}
	now := g.now()
	for name, s := range g.services {
		s.update(now, lists[name])
	}
}

// Run serves until ctx ends, then drains.
func (g *Gateway) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.Background())
	defer stop()
	group, work := errgroup.WithContext(work)
	group.Go(func() error {
		return errors.Wrap(g.callers.Serve(callerListener{Listener: g.sockets.Callers, g: g}), "serve callers")
	})
	group.Go(func() error { return errors.Wrap(g.operations.Serve(g.sockets.Operations), "serve operations") })
	group.Go(func() error { return periodic.Run(work, advanceInterval, g.advance) })
	group.Go(func() error { return periodic.Run(work, caller.WatchInterval, g.watcher.Check) })
	group.Go(func() error { return g.feed.run(work) })
	if g.peers != nil {
		group.Go(func() error { return g.peers.run(work) })
	}
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-work.Done():
		}
		err := g.drain()
		stop()
		return err
	})
	g.log.WithFields(logrus.Fields{"event": eventlog.Started, "instance": g.settings.Instance, "failure_domain": g.settings.FailureDomain,
		"callers": g.CallersAddress(), "operations": g.OperationsAddress()}).Info("instance started")
	return group.Wait()
}

func (g *Gateway) advance() {
	now := g.now()
	for _, s := range g.serviceList() {
		s.advance(now)
		s.logBorder(g)
		s.probe(g)
	}
}

const (
	// stopPoll is how often a stopping instance looks whether its requests have ended.
	stopPoll = 20 * time.Millisecond
	// stopMargin is kept from the grace for the end of the process itself.
	stopMargin = 400 * time.Millisecond
)

// drain is the planned stop: readiness fails first, connections are told to close, and
// requests in progress end before the listener's connections do.
func (g *Gateway) drain() error {
	began := time.Now()
	g.draining.Store(true)
	if g.peers != nil {
		g.peers.leave()
	}
	g.log.WithFields(logrus.Fields{"event": eventlog.Draining, "in_progress": g.watcher.InProgress()}).Info("draining")
	time.Sleep(g.settings.DrainDelay.Std())
	done := make(chan error, 1)
	go func() { done <- g.callers.Shutdown() }()
	last := began.Add(g.settings.Grace.Std() - stopMargin)
	for g.watcher.InProgress() > 0 && time.Now().Before(last) {
		time.Sleep(stopPoll)
	}
	select {
	case err := <-done:
		if err != nil {
			return errors.Wrap(err, "stop callers' listener")
		}
	case <-time.After(max(time.Until(last), stopPoll)):
	}
	if g.peers != nil {
		g.peers.close()
	}
	g.stopOperations()
	g.log.WithFields(logrus.Fields{"event": eventlog.Stopped, "in_progress": g.watcher.InProgress(), "after_ms": time.Since(began).Milliseconds()}).Info("stopped")
	return nil
}

// stopOperations ends the operators' server. Connections of probes that stay open are not
// waited for.
func (g *Gateway) stopOperations() {
	ctx, cancel := context.WithTimeout(context.Background(), stopPoll)
	defer cancel()
	if err := g.operations.ShutdownWithContext(ctx); err != nil && !errors.Is(err, context.DeadlineExceeded) {
		g.log.WithFields(logrus.Fields{"event": eventlog.OperationsListenerFailed, "error": err.Error()}).Warn("operations listener could not be closed")
	}
}
