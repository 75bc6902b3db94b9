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
	"golang.org/x/sync/errgroup"

	"github.com/yuccabridge/yuccabridge/config"
	"github.com/yuccabridge/yuccabridge/internal/coordination/configsync"
	"github.com/yuccabridge/yuccabridge/internal/coordination/orders"
	"github.com/yuccabridge/yuccabridge/internal/coordination/pressure"
	"github.com/yuccabridge/yuccabridge/internal/coordination/quarantine"
	"github.com/yuccabridge/yuccabridge/internal/periodic"
	"github.com/yuccabridge/yuccabridge/internal/settings"
	"github.com/yuccabridge/yuccabridge/internal/transport/caller"
)

const (
	// tickInterval bounds how late a queued request is shed after it can no longer
	// meet its deadline.
	tickInterval = 20 * time.Millisecond
	// stopPoll is how often a stopping instance looks whether its requests have ended.
	stopPoll = 20 * time.Millisecond
)

// Instance is one entry instance.
type Instance struct {
	settings   *settings.Settings
	network    Network
	log        *logrus.Logger
	metrics    *metrics
	started    time.Time
	seed       uint64
	sequence   atomic.Uint64
	routes     atomic.Pointer[routes]
	draining   atomic.Bool
	watcher    *caller.Watcher
	quarantine *quarantine.Quarantine
	orders     *orderDesk
	peers      *peerGroup     // nil without peers
	config     *configuration // nil without a platform
	peerKeys   [][]byte       // the first signs, all verify
	serving    chan struct{}  // closed when all parts are assembled

	configuring  sync.Mutex
	pools        map[string]*pool
	leaving      map[string]bool
	domainPeers  []string // live instances of the failure domain, sorted
	leavingLists leavingLists
	pressure     *pressure.Table
	placement    *placementDriver

	callers    *fasthttp.Server
	operations *fasthttp.Server
	sockets    caller.Listeners
}

// New opens the instance's sockets and reads its first configuration where it comes
// from a file.
func New(s *settings.Settings, log *logrus.Logger) (*Instance, error) {
	return NewIn(Network{}, s, log)
}

// NewIn is New with a network of its own.
func NewIn(n Network, s *settings.Settings, log *logrus.Logger) (*Instance, error) {
	in := &Instance{
		settings: s,
		network:  n,
		log:      log,
		metrics:  newMetrics(),
		started:  time.Now(),
		seed:     mathrand.Uint64(),
		watcher:  caller.NewWatcher(),
		pools:    map[string]*pool{},
		leaving:  map[string]bool{},
		serving:  make(chan struct{}),
		pressure: pressure.NewTable(),
	}
	in.quarantine = quarantine.New(quarantine.Options{})
	if err := in.newPeers(); err != nil {
		return nil, err
	}
	if s.Platform != nil {
		in.config = newConfiguration(in, configsync.Peer{ID: in.selfProcess(), Domain: s.FailureDomain})
	}
	in.placement = newPlacement(in)
	in.callers = in.newCallersServer()
	in.operations = in.newOperationsServer()
	if s.ConfigurationFile != "" {
		if err := in.loadFile(s.ConfigurationFile); err != nil {
			return nil, err
		}
	}
	var err error
	if in.sockets, err = caller.OpenListeners(s.Callers.Address, s.Operations.Address, s.Limits.WriteTimeout.Std()); err != nil {
		return nil, err
	}
	close(in.serving)
	return in, nil
}

// CallersAddress is the address that callers reach.
func (in *Instance) CallersAddress() string { return in.sockets.Callers.Addr().String() }

// OperationsAddress is the address that operators reach.
func (in *Instance) OperationsAddress() string { return in.sockets.Operations.Addr().String() }

// PeerAddress is the TCP address that other instances reach.
func (in *Instance) PeerAddress() string {
	if in.peers == nil {
		return ""
	}
	return in.peers.self.TCP.String()
}

// GossipAddress is the address that other instances join through.
func (in *Instance) GossipAddress() string {
	if in.peers == nil {
		return ""
	}
	return in.peers.self.UDP.String()
}

// now is the monotonic time since the start.
func (in *Instance) now() time.Duration { return time.Since(in.started) }

// fingerprint identifies a request across resends.
func (in *Instance) fingerprint(team string, body []byte) quarantine.Fingerprint {
	return quarantine.FingerprintOf(in.peerKeys[0], team, body)
}

// apply puts a configuration in force. The caller guarantees that revisions rise.
func (in *Instance) apply(revision uint64, d *config.Deployment) {
	in.configuring.Lock()
	defer in.configuring.Unlock()
	in.configurePools(d)
	in.routes.Store(newRoutes(revision, d, in.pools))
	in.metrics.revision.Set(float64(revision))
	in.log.WithFields(logrus.Fields{"event": "configuration_applied", "revision": revision, "deployment": d.Name}).Info("configuration applied")
}

// configurePools gives each pool its upstreams. The caller holds configuring.
func (in *Instance) configurePools(d *config.Deployment) {
	next := map[string]*pool{}
	for _, m := range d.Models {
		next[m.Name] = in.keepPool(m.Name, modelPool, d)
		next[m.Name].configure(d, m.Upstreams, in.leaving)
	}
	for _, s := range d.Services {
		next[s.Name] = in.keepPool(s.Name, servicePool, d)
		next[s.Name].configure(d, s.Upstreams, in.leaving)
	}
	in.pools = next
}

// keepPool returns the pool with its learned state, or a new one.
func (in *Instance) keepPool(name string, kind poolKind, d *config.Deployment) *pool {
	if p, ok := in.pools[name]; ok && p.kind == kind {
		return p
	}
	p := newPool(in, name, kind, d, in.seed^xxhash.Sum64String(name))
	if in.domainPeers != nil {
		p.bal.SetPeers(in.now(), in.domainPeers)
	}
	return p
}

// poolList returns the pools in force.
func (in *Instance) poolList() []*pool {
	in.configuring.Lock()
	defer in.configuring.Unlock()
	list := make([]*pool, 0, len(in.pools))
	for _, p := range in.pools {
		list = append(list, p)
	}
	slices.SortFunc(list, func(a, b *pool) int { return strings.Compare(a.name, b.name) })
	return list
}

// newPeers opens the sockets for peers, or prepares an instance that works alone.
func (in *Instance) newPeers() error {
	if in.settings.Peers == nil {
		return in.workAlone()
	}
	var err error
	if in.peerKeys, err = readKeys(in.settings.Peers.KeyFile); err != nil {
		return err
	}
	if in.peers, err = newPeerGroup(in, in.settings.Peers, in.peerKeys); err != nil {
		return err
	}
	self := orders.Member{Incarnation: orders.Incarnation(in.peers.self.Incarnation.Process), Address: in.peers.self.TCP}
	return in.newOrders(self, in.peers)
}

// workAlone draws keys that live as long as the process.
func (in *Instance) workAlone() error {
	key := make([]byte, aloneKeySize)
	rand.Read(key)
	in.peerKeys = [][]byte{key}
	self := orders.Member{Address: aloneAddress}
	rand.Read(self.Incarnation[:])
	return in.newOrders(self, noLinks{})
}

// aloneAddress stands in tickets of an instance without peers.
var aloneAddress = netip.MustParseAddrPort("127.0.0.1:1")

// aloneKeySize is the size of the key of an instance without peers, in bytes.
const aloneKeySize = 32

func (in *Instance) newOrders(self orders.Member, links orderLinks) error {
	keys, err := orders.NewKeyring(in.peerKeys...)
	if err != nil {
		return err
	}
	in.orders = newOrderDesk(in, self, keys, rand.Reader, links)
	return nil
}

// fresh reports whether the instance may act on what it knows about others.
func (in *Instance) fresh(now time.Duration) bool {
	return in.peers == nil || in.peers.members.Fresh(now)
}

// Run serves until ctx ends, then drains: it fails its readiness, accepts requests
// for a short while longer, finishes every request in progress and returns.
func (in *Instance) Run(ctx context.Context) error {
	work, stop := context.WithCancel(context.Background())
	defer stop()
	group, work := errgroup.WithContext(work)
	group.Go(func() error { return errors.Wrap(in.callers.Serve(in.sockets.Callers), "serve callers") })
	group.Go(func() error { return errors.Wrap(in.operations.Serve(in.sockets.Operations), "serve operations") })
	group.Go(func() error { return periodic.Run(work, tickInterval, in.tickPools) })
	group.Go(func() error { return periodic.Run(work, caller.WatchInterval, in.watcher.Check) })
	group.Go(func() error { return periodic.Run(work, loadInterval, func() { in.pollLoads(work) }) })
	group.Go(func() error { return periodic.Run(work, placementTick, func() { in.placement.tick(work) }) })
	if in.peers != nil {
		group.Go(func() error { return in.peers.run(work) })
		group.Go(func() error { return periodic.Run(work, valuesInterval, in.reportValues) })
	}
	if in.config != nil {
		group.Go(func() error { return in.config.run(work) })
		group.Go(func() error { return in.readInstances(work) })
	}
	group.Go(func() error {
		select {
		case <-ctx.Done():
		case <-work.Done():
		}
		err := in.drain()
		stop()
		return err
	})
	in.log.WithFields(logrus.Fields{"event": "started", "instance": in.settings.Instance, "failure_domain": in.settings.FailureDomain,
		"callers": in.CallersAddress(), "operations": in.OperationsAddress(), "peers": in.PeerAddress(), "gossip": in.GossipAddress()}).Info("instance started")
	return group.Wait()
}

// drain is the planned stop.
func (in *Instance) drain() error {
	in.draining.Store(true)
	if in.peers != nil {
		in.peers.gossip.Leave()
	}
	in.log.WithFields(logrus.Fields{"event": "draining", "in_progress": in.watcher.InProgress()}).Info("draining")
	time.Sleep(in.settings.DrainDelay.Std())
	if err := in.callers.Shutdown(); err != nil {
		return errors.Wrap(err, "stop callers' listener")
	}
	for in.watcher.InProgress() > 0 {
		time.Sleep(stopPoll)
	}
	in.orders.drain()
	if in.peers != nil {
		if err := in.peers.node.Close(); err != nil {
			return errors.Wrap(err, "stop peers' listener")
		}
	}
	in.log.WithField("event", "stopped").Info("every request has ended")
	return errors.Wrap(in.operations.Shutdown(), "stop operations listener")
}

func (in *Instance) tickPools() {
	for _, p := range in.poolList() {
		p.tick()
	}
}

func (in *Instance) pollLoads(ctx context.Context) {
	for _, p := range in.poolList() {
		p.pollLoads(ctx)
	}
}
