package entry

import (
	"context"
	"crypto/rand"
	mathrand "math/rand/v2"
	"net/netip"
	"slices"
	"strings"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/yuccabridge/yuccabridge/config"
	"github.com/yuccabridge/yuccabridge/internal/coordination/configsync"
	"github.com/yuccabridge/yuccabridge/internal/coordination/orders"
	"github.com/yuccabridge/yuccabridge/internal/coordination/pressure"
	"github.com/yuccabridge/yuccabridge/internal/coordination/quarantine"
	"github.com/yuccabridge/yuccabridge/internal/lifecycle"
	"github.com/yuccabridge/yuccabridge/internal/periodic"
	"github.com/yuccabridge/yuccabridge/internal/settings"
	"github.com/yuccabridge/yuccabridge/internal/state/bytebudget"
	"github.com/yuccabridge/yuccabridge/internal/tasks"
	"github.com/yuccabridge/yuccabridge/internal/transport/caller"
)

const (
	// poolTickInterval bounds the delay between the moment a queued request can no
	// longer meet its deadline and the moment it is shed.
	poolTickInterval = 20 * time.Millisecond
)

// Instance is an entry instance. Create one with New and serve with Run.
type Instance struct {
	settings    *settings.Settings
	network     Network
	log         *logrus.Logger
	metrics     *metrics
	startTime   time.Time
	seed        uint64
	requestSeq  atomic.Uint64
	routes      atomic.Pointer[routingTable]
	life        *lifecycle.Life
	stop        stop
	watcher     *caller.Watcher
	quarantine  *quarantine.Quarantine
	orders      *orderHandler
	peers       *peerGroup    // nil without peers
	config      *configDriver // nil without a platform
	peerKeys    [][]byte      // the first key signs, all keys verify
	initialized chan struct{} // closed when New has opened all sockets

	crashReportTimeout time.Duration

	configMu        sync.Mutex
	pools           map[string]*pool
	leaving         map[string]bool
	domainInstances []string // live instances of the failure domain, sorted
	leavingLists    leavingLists
	pressure        *pressure.Table
	placement       *placementDriver

	callersServer    *fasthttp.Server
	operationsServer *fasthttp.Server
	sockets          caller.Listeners
	intake           *caller.Intake // of the bodies of requests
}

// New creates an instance and opens its listening sockets. If the settings name a
// configuration file, New loads it.
func New(s *settings.Settings, log *logrus.Logger) (*Instance, error) {
	return NewWithNetwork(Network{}, s, log)
}

// NewWithNetwork is like New but uses the given network functions.
func NewWithNetwork(network Network, s *settings.Settings, log *logrus.Logger) (*Instance, error) {
	in := &Instance{
		settings:    s,
		network:     network,
		log:         log,
		metrics:     newMetrics(),
		startTime:   time.Now(),
		seed:        mathrand.Uint64(),
		watcher:     caller.NewWatcher(),
		pools:       map[string]*pool{},
		leaving:     map[string]bool{},
		initialized: make(chan struct{}),
		life:        lifecycle.New(lifecycle.Options{DrainDelay: s.DrainDelay.Std(), Grace: s.Grace.Std()}),
		stop:        newStop(),
		pressure:    pressure.NewTable(),

		crashReportTimeout: defaultCrashReportTimeout,
	}
	in.quarantine = quarantine.New(quarantine.Options{})
	if err := in.initPeers(); err != nil {
		return nil, err
	}
	if s.Platform != nil {
		in.config = newConfigDriver(in, configsync.Peer{ID: in.selfProcess(), Domain: s.FailureDomain})
	}
	in.placement = newPlacementDriver(in)
	in.intake = caller.NewIntake(bytebudget.New(s.Limits.BufferMB*1e6), bytebudget.New(max(s.Limits.RequestBufferMB*1e6, s.Limits.MaxBodyBytes))) // the largest body fits
	in.callersServer = in.newCallersServer()
	in.operationsServer = in.newOperationsServer()
	if s.ConfigurationFile != "" {
		if err := in.loadConfigurationFile(s.ConfigurationFile); err != nil {
			return nil, err
		}
	}
	var err error
	if in.sockets, err = caller.OpenListeners(s.Callers.Address, s.Operations.Address, s.Limits.WriteTimeout.Std(), s.Limits.MaxConnections); err != nil {
		return nil, err
	}
	in.sockets.Callers.Connections.OnEvicted = in.recordEviction
	close(in.initialized)
	return in, nil
}

// CallersAddress returns the listen address for callers.
func (in *Instance) CallersAddress() string { return in.sockets.Callers.Addr().String() }

// OperationsAddress returns the listen address of the operations server.
func (in *Instance) OperationsAddress() string { return in.sockets.Operations.Addr().String() }

// PeerAddress returns the TCP listen address for peers, or "" without peers.
func (in *Instance) PeerAddress() string {
	if in.peers == nil {
		return ""
	}
	return in.peers.self.TCP.String()
}

// GossipAddress returns the UDP gossip address, or "" without peers.
func (in *Instance) GossipAddress() string {
	if in.peers == nil {
		return ""
	}
	return in.peers.self.UDP.String()
}

// now returns the monotonic time since the instance started.
func (in *Instance) now() time.Duration { return time.Since(in.startTime) }

// fingerprint returns a keyed hash that identifies a request across resends.
func (in *Instance) fingerprint(team string, body []byte) quarantine.Fingerprint {
	return quarantine.FingerprintOf(in.peerKeys[0], team, body)
}

// applyDeployment activates a configuration. The caller must pass increasing revisions.
func (in *Instance) applyDeployment(revision uint64, d *config.Deployment) {
	in.configMu.Lock()
	defer in.configMu.Unlock()
	in.configurePools(d)
	in.routes.Store(newRoutingTable(revision, d, in.pools))
	in.life.Serve()
	in.metrics.revision.Set(float64(revision))
	in.log.WithFields(logrus.Fields{"event": "configuration_applied", "revision": revision, "deployment": d.Name}).Info("configuration applied")
}

// configurePools updates the pools to match the deployment. The caller must hold configMu.
func (in *Instance) configurePools(d *config.Deployment) {
	pools := map[string]*pool{}
	for _, m := range d.Models {
		pools[m.Name] = in.reuseOrCreatePool(m.Name, modelPool, d)
		pools[m.Name].configure(d, m.Upstreams, in.leaving)
	}
	for _, s := range d.Services {
		pools[s.Name] = in.reuseOrCreatePool(s.Name, servicePool, d)
		pools[s.Name].configure(d, s.Upstreams, in.leaving)
	}
	in.pools = pools
}

// reuseOrCreatePool returns the existing pool, which keeps its learned state, or a new one.
func (in *Instance) reuseOrCreatePool(name string, kind poolKind, d *config.Deployment) *pool {
	if p, ok := in.pools[name]; ok && p.kind == kind {
		return p
	}
	p := newPool(in, name, kind, d, in.seed^xxhash.Sum64String(name))
	if in.domainInstances != nil {
		p.balancer.SetPeers(in.now(), in.domainInstances)
	}
	return p
}

// sortedPools returns the active pools, sorted by name.
func (in *Instance) sortedPools() []*pool {
	in.configMu.Lock()
	defer in.configMu.Unlock()
	pools := make([]*pool, 0, len(in.pools))
	for _, p := range in.pools {
		pools = append(pools, p)
	}
	slices.SortFunc(pools, func(a, b *pool) int { return strings.Compare(a.name, b.name) })
	return pools
}

// initPeers opens the peer sockets, or sets up standalone operation if no peers are configured.
func (in *Instance) initPeers() error {
	if in.settings.Peers == nil {
		return in.initStandalone()
	}
	var err error
	if in.peerKeys, err = readPeerKeys(in.settings.Peers.KeyFile); err != nil {
		return err
	}
	if in.peers, err = newPeerGroup(in, in.settings.Peers, in.peerKeys); err != nil {
		return err
	}
	self := orders.Member{Incarnation: orders.Incarnation(in.peers.self.Incarnation.Process), Address: in.peers.self.TCP}
	return in.initOrders(self, in.peers)
}

// initStandalone generates a random key and incarnation that are valid for the lifetime
// of the process.
func (in *Instance) initStandalone() error {
	key := make([]byte, standaloneKeyBytes)
	rand.Read(key)
	in.peerKeys = [][]byte{key}
	self := orders.Member{Address: standaloneAddress}
	rand.Read(self.Incarnation[:])
	return in.initOrders(self, noPeerTransport{})
}

// standaloneAddress is the owner address in the tickets of an instance without peers.
var standaloneAddress = netip.MustParseAddrPort("127.0.0.1:1")

// standaloneKeyBytes is the key size of an instance without peers.
const standaloneKeyBytes = 32

func (in *Instance) initOrders(self orders.Member, transport orderTransport) error {
	keys, err := orders.NewKeyring(in.peerKeys...)
	if err != nil {
		return err
	}
	in.orders = newOrderHandler(in, self, keys, rand.Reader, transport)
	return nil
}

// membershipFresh reports whether the membership state is recent enough to act on.
func (in *Instance) membershipFresh(now time.Duration) bool {
	return in.peers == nil || in.peers.membership.Fresh(now)
}

// Run serves until ctx is cancelled and then drains: it reports not ready, accepts
// requests for the configured drain delay, waits for the requests in progress, at most until the end of the grace
// period, and returns.
func (in *Instance) Run(ctx context.Context) error {
	background := tasks.NewGroup()
	defer background.Stop()
	every := func(name string, interval time.Duration, fn func(ctx context.Context)) {
		background.Go(name, func(ctx context.Context) error {
			return periodic.Run(ctx, interval, func() { fn(ctx) })
		})
	}
	background.Go("callers", func(context.Context) error {
		return errors.Wrap(in.callersServer.Serve(in.sockets.Callers), "serve callers")
	})
	background.Go("operations", func(context.Context) error {
		return errors.Wrap(in.operationsServer.Serve(in.sockets.Operations), "serve operations")
	})
	every("pools", poolTickInterval, func(context.Context) { in.tickPools() })
	every("caller_watch", caller.WatchInterval, func(context.Context) { in.watcher.Check() })
	every("loads", loadPollInterval, in.pollLoads)
	every("placement", placementTickInterval, in.placement.tick)
	if in.peers != nil {
		background.Go("gossip", in.peers.runGossip)
		every("metadata", metadataInterval, func(context.Context) { in.publishMetadata() })
		every("suspicions", suspicionResendInterval, func(context.Context) { in.peers.resendSuspicions() })
	}
	if in.config != nil {
		background.Go("configuration", in.config.run)
		background.Go("instance_list", in.pollInstanceList)
	}
	in.log.WithFields(logrus.Fields{"event": "started", "instance": in.settings.Instance, "failure_domain": in.settings.FailureDomain,
		"callers": in.CallersAddress(), "operations": in.OperationsAddress(), "peers": in.PeerAddress(), "gossip": in.GossipAddress()}).Info("instance started")
	select {
	case <-ctx.Done():
	case <-background.Context().Done():
	}
	return in.drain(background)
}

func (in *Instance) tickPools() {
	for _, p := range in.sortedPools() {
		p.tick()
	}
}

func (in *Instance) pollLoads(ctx context.Context) {
	for _, p := range in.sortedPools() {
		p.pollLoads(ctx)
	}
}
