package fleet

import (
	"context"
	"crypto/rand"
	"encoding/hex"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/yuccabridge/yuccabridge/config"
	"github.com/yuccabridge/yuccabridge/internal/emulator"
	"github.com/yuccabridge/yuccabridge/internal/entry"
	"github.com/yuccabridge/yuccabridge/internal/protocol/platformapi"
	"github.com/yuccabridge/yuccabridge/internal/settings"
)

const (
	// DefaultInstances is the number of entry instances of a region.
	DefaultInstances = 8
	// readyTimeout limits how long Start waits for the instances to become ready.
	readyTimeout = 20 * time.Second
	// readyPollInterval is the time between readiness checks during Start.
	readyPollInterval = 20 * time.Millisecond
	// peerKeyBytes is the length of the key that the peers share.
	peerKeyBytes = 32
)

// Options configures a fleet. Zero values select the defaults.
type Options struct {
	// Deployment is the configuration to serve. The fleet works on a copy, in which the
	// upstream addresses are replaced.
	Deployment *config.Deployment
	// Instances is the number of entry instances. Default: DefaultInstances.
	Instances int
	// Policy of the entry instances. Default: standard.
	Policy settings.Policy
	// Seed of the engines' random generators.
	Seed uint64
	// Model is the performance model of the engines.
	Model emulator.Performance
	// Log receives the log of the instances. Default: discarded.
	Log io.Writer
	// WaitMembers makes Start wait until every instance knows all others.
	WaitMembers bool
}

// Fleet is a running region.
type Fleet struct {
	Deployment *config.Deployment
	Platform   *emulator.Platform
	Engines    []*emulator.Engine // in the order of the upstreams of the models

	options  Options
	standIns *emulator.Fleet
	network  *domainNetwork
	dir      string
	mu       sync.Mutex
	members  []*Member
}

// Member is one entry instance of a fleet.
type Member struct {
	Name     string
	Domain   string
	Instance *entry.Instance
	cancel   context.CancelFunc
	done     chan error
}

// Start starts the stand-ins and the entry instances and waits until all instances are ready.
func Start(o Options) (*Fleet, error) {
	if o.Instances == 0 {
		o.Instances = DefaultInstances
	}
	if o.Log == nil {
		o.Log = io.Discard
	}
	f := &Fleet{options: o, network: newDomainNetwork()}
	if err := f.start(); err != nil {
		f.Close()
		return nil, err
	}
	return f, nil
}

func (f *Fleet) start() error {
	if err := f.startStandIns(); err != nil {
		return err
	}
	if err := f.writePeerKey(); err != nil {
		return err
	}
	for i := range f.options.Instances {
		if err := f.startInstance(i); err != nil {
			return err
		}
	}
	return f.waitReady()
}

// startStandIns starts a stand-in for each upstream and one for the platform.
func (f *Fleet) startStandIns() error {
	d, err := copyDeployment(f.options.Deployment)
	if err != nil {
		return err
	}
	f.Deployment = d
	upstreams := allUpstreams(d)
	for _, u := range upstreams {
		u.Address = "127.0.0.1:0"
	}
	if f.standIns, err = emulator.StartFleet(d, emulator.FleetOptions{Performance: f.options.Model, Seed: f.options.Seed}); err != nil {
		return errors.Wrap(err, "start stand-ins")
	}
	for _, u := range upstreams {
		if e, ok := f.standIns.Engines[u.Name]; ok {
			f.Engines = append(f.Engines, e)
			u.Address = e.Addr()
			continue
		}
		u.Address = f.standIns.Services[u.Name].Addr()
	}
	f.Platform = emulator.NewPlatform(emulator.PlatformOptions{})
	if err := f.Platform.Start("127.0.0.1:0"); err != nil {
		return errors.Wrap(err, "start platform")
	}
	return f.Publish()
}

// allUpstreams returns the engines of all models, followed by the upstreams of the
// plain services.
func allUpstreams(d *config.Deployment) []*config.Upstream {
	var list []*config.Upstream
	for i := range d.Models {
		for j := range d.Models[i].Upstreams {
			list = append(list, &d.Models[i].Upstreams[j])
		}
	}
	for i := range d.Services {
		for j := range d.Services[i].Upstreams {
			list = append(list, &d.Services[i].Upstreams[j])
		}
	}
	return list
}

func copyDeployment(d *config.Deployment) (*config.Deployment, error) {
	text, err := d.YAML()
	if err != nil {
		return nil, err
	}
	return config.Parse(text)
}

// Publish publishes the deployment on the platform.
func (f *Fleet) Publish() error {
	text, err := f.Deployment.YAML()
	if err != nil {
		return err
	}
	_, err = f.Platform.Publish(text)
	return err
}

// SetLeaving publishes the platform's list of engines with the named ones marked as
// leaving and all others as live.
func (f *Fleet) SetLeaving(names ...string) {
	var list []platformapi.Instance
	for _, m := range f.Deployment.Models {
		for _, u := range m.Upstreams {
			state := platformapi.Live
			if slices.Contains(names, u.Name) {
				state = platformapi.Leaving
			}
			list = append(list, platformapi.Instance{Name: u.Name, Address: u.Address, State: state})
		}
	}
	f.Platform.SetInstances(list)
}

func (f *Fleet) writePeerKey() error {
	var err error
	if f.dir, err = os.MkdirTemp("", "yuccabridge-"); err != nil {
		return errors.Wrap(err, "create temporary directory")
	}
	key := make([]byte, peerKeyBytes)
	rand.Read(key)
	return errors.Wrap(os.WriteFile(f.peerKeyFile(), []byte(hex.EncodeToString(key)+"\n"), 0o600), "write peer key")
}

func (f *Fleet) peerKeyFile() string { return filepath.Join(f.dir, "peers.key") }

// startInstance starts entry instance i. Its gossip seeds are the instances that are
// already running.
func (f *Fleet) startInstance(i int) error {
	domains := f.Deployment.FailureDomains
	m := &Member{Name: fmt.Sprintf("entry-%d", i+1), Domain: domains[i%len(domains)], done: make(chan error, 1)}
	s := &settings.Settings{
		Instance:      m.Name,
		FailureDomain: m.Domain,
		Callers:       settings.Listener{Address: "127.0.0.1:0"},
		Operations:    settings.Listener{Address: "127.0.0.2:0"},
		Peers:         &settings.Peers{Address: "127.0.0.1:0", Gossip: "127.0.0.1:0", Seeds: f.gossipSeeds(), KeyFile: f.peerKeyFile()},
		Platform:      &settings.Platform{Address: f.Platform.Addr()},
		Policy:        f.options.Policy,
	}
	if err := s.Complete(); err != nil {
		return err
	}
	log := logrus.New()
	log.SetOutput(f.options.Log)
	log.SetFormatter(&logrus.TextFormatter{DisableColors: true, FullTimestamp: true})
	var err error
	if m.Instance, err = entry.NewWithNetwork(f.network.forDomain(m.Domain), s, log); err != nil {
		return err
	}
	f.network.setDomain(m.Instance.GossipAddress(), m.Domain)
	f.network.setDomain(m.Instance.PeerAddress(), m.Domain)
	ctx, cancel := context.WithCancel(context.Background())
	m.cancel = cancel
	go func() { m.done <- m.Instance.Run(ctx) }()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members = append(f.members, m)
	return nil
}

func (f *Fleet) gossipSeeds() []string {
	var list []string
	for _, m := range f.Members() {
		list = append(list, m.Instance.GossipAddress())
	}
	return list
}

// Members returns the entry instances that have not been stopped.
func (f *Fleet) Members() []*Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	return slices.Clone(f.members)
}

// Targets returns the addresses for callers of the instances that are ready, as a
// load balancer with readiness checks would.
func (f *Fleet) Targets() []string {
	var list []string
	for _, m := range f.Members() {
		if m.ready() {
			list = append(list, m.Instance.CallersAddress())
		}
	}
	return list
}

func (m *Member) ready() bool {
	resp, err := http.Get("http://" + m.Instance.OperationsAddress() + "/readyz")
	if err != nil {
		return false
	}
	resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Stop starts the graceful shutdown of an instance and returns a channel that receives
// its result.
func (f *Fleet) Stop(m *Member) <-chan error {
	m.cancel()
	f.mu.Lock()
	defer f.mu.Unlock()
	f.members = slices.DeleteFunc(f.members, func(x *Member) bool { return x == m })
	return m.done
}

func (f *Fleet) waitReady() error {
	deadline := time.Now().Add(readyTimeout)
	for _, m := range f.Members() {
		for !f.memberReady(m) {
			if time.Now().After(deadline) {
				return errors.Errorf("instance %s is not ready after %s", m.Name, readyTimeout)
			}
			time.Sleep(readyPollInterval)
		}
	}
	return nil
}

func (f *Fleet) memberReady(m *Member) bool {
	return m.ready() && (!f.options.WaitMembers || len(m.Instance.State().Members) >= f.options.Instances-1)
}

// Close shuts down all instances in parallel, letting requests in progress finish, and
// then the stand-ins.
func (f *Fleet) Close() error {
	var group errgroup.Group
	for _, m := range f.Members() {
		group.Go(func() error { return <-f.Stop(m) })
	}
	err := group.Wait()
	if f.standIns != nil {
		f.standIns.Stop()
	}
	if f.Platform != nil {
		f.Platform.Stop()
	}
	if f.dir != "" {
		err = errors.Wrap(firstUnexpectedError(err, os.RemoveAll(f.dir)), "stop fleet")
	}
	return err
}

// firstUnexpectedError returns the first error other than that of a closed socket.
func firstUnexpectedError(list ...error) error {
	for _, err := range list {
		if err != nil && !errors.Is(err, net.ErrClosed) {
			return err
		}
	}
	return nil
}
