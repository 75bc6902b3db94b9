package entry

import (
	"bytes"
	"context"
	"os"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"

	"github.com/yuccabridge/yuccabridge/config"
	"github.com/yuccabridge/yuccabridge/internal/coordination/configsync"
	"github.com/yuccabridge/yuccabridge/internal/coordination/membership"
	"github.com/yuccabridge/yuccabridge/internal/periodic"
	"github.com/yuccabridge/yuccabridge/internal/protocol/peerwire"
	"github.com/yuccabridge/yuccabridge/internal/protocol/platformapi"
	"github.com/yuccabridge/yuccabridge/internal/transport/platform"
)

// configTickInterval is the tick interval of the configuration state machine.
const configTickInterval = 100 * time.Millisecond

// configDriver drives the state machine that decides which configuration revision is active.
type configDriver struct {
	instance *Instance
	self     configsync.Peer
	machine  *configsync.Machine
	platform *platform.Client

	mu               sync.Mutex
	membersByProcess map[[16]byte]membership.Member
	applyMu          sync.Mutex
	appliedRevision  uint64

	parseMu          sync.Mutex
	parsedText       []byte // source text of parsedDeployment
	parsedDeployment *config.Deployment
}

func newConfigDriver(in *Instance, self configsync.Peer) *configDriver {
	c := &configDriver{instance: in, self: self, membersByProcess: map[[16]byte]membership.Member{}}
	c.machine = configsync.New(configsync.Options{
		Self: self,
		Validate: func(text []byte) error {
			_, err := c.parse(text)
			return err
		},
	}, in.newRand("configuration"))
	c.platform = platform.New(platform.Options{Address: in.settings.Platform.Address, Dial: in.network.Dial})
	return c
}

// parse parses a configuration text and caches the latest result. The state machine
// validates a text just before it is applied, and parsing is the most expensive step of
// a configuration change.
func (c *configDriver) parse(text []byte) (*config.Deployment, error) {
	c.parseMu.Lock()
	defer c.parseMu.Unlock()
	if c.parsedDeployment != nil && bytes.Equal(text, c.parsedText) {
		return c.parsedDeployment, nil
	}
	d, err := config.Parse(text)
	if err == nil {
		c.parsedDeployment, c.parsedText = d, bytes.Clone(text)
	}
	return d, err
}

// run ticks the state machine until ctx is cancelled.
func (c *configDriver) run(ctx context.Context) error {
	c.executeActions(c.machine.SetMembers(c.instance.now(), []configsync.Peer{c.self}))
	return periodic.Run(ctx, configTickInterval, func() { c.executeActions(c.machine.Tick(c.instance.now())) })
}

// setMembers passes the live instances to the state machine.
func (c *configDriver) setMembers(members []membership.Member) {
	addresses := map[[16]byte]membership.Member{}
	for _, m := range members {
		addresses[m.Incarnation.Process] = m
	}
	c.mu.Lock()
	c.membersByProcess = addresses
	c.mu.Unlock()
	c.executeActions(c.machine.SetMembers(c.instance.now(), append(configSyncPeers(members), c.self)))
}

// executeActions executes the actions of the state machine. Network calls run in their
// own goroutines.
func (c *configDriver) executeActions(actions []configsync.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case configsync.Accepted:
			c.applyAccepted(a)
		case configsync.Rejected:
			c.instance.metrics.configRejected.Inc()
			c.instance.log.WithFields(logrus.Fields{"event": "configuration_refused", "revision": a.Revision, "reason": a.Reason}).Error("configuration refused")
		case configsync.Watch:
			go c.watch(a)
		case configsync.SendPull:
			go c.pull(a)
		case configsync.SendPush:
			go c.push(a)
		}
	}
}

// applyAccepted activates an accepted revision. Revisions are accepted in increasing
// order, but two goroutines may deliver them here out of order, so older ones are ignored.
func (c *configDriver) applyAccepted(a configsync.Accepted) {
	d, err := c.parse(a.Text)
	if err != nil {
		panic(err) // the state machine accepts only texts that Validate has parsed
	}
	c.applyMu.Lock()
	defer c.applyMu.Unlock()
	if a.Revision <= c.appliedRevision {
		return
	}
	c.appliedRevision = a.Revision
	c.instance.applyDeployment(a.Revision, d)
	c.instance.publishMetadata()
}

func (c *configDriver) watch(w configsync.Watch) {
	r := c.platform.Watch(platformapi.Revision(w.After), w.Wait)
	result := configsync.Result{Status: configsync.Failed}
	switch r.Outcome {
	case platform.OK:
		result = configsync.Result{Status: configsync.Changed, Revision: uint64(r.Deployment.Revision), Text: r.Deployment.Text}
	case platform.NotModified:
		result.Status = configsync.NotModified
	}
	c.executeActions(c.machine.ReceivePlatformResult(c.instance.now(), w.ID, result))
}

func (c *configDriver) pull(a configsync.SendPull) {
	m, err := c.exchange(a.To, peerwire.ConfigPull{Pull: a.Pull})
	push, ok := m.(peerwire.ConfigPush)
	if err != nil || !ok {
		c.executeActions(c.machine.PullFailed(c.instance.now(), a.To))
		return
	}
	c.executeActions(c.machine.ReceivePush(c.instance.now(), a.To, push.Push))
}

func (c *configDriver) push(a configsync.SendPush) {
	// Errors are ignored: the periodic pull recovers a lost push.
	_, _ = c.exchange(a.To, peerwire.ConfigPush{Push: a.Push})
}

func (c *configDriver) exchange(to [16]byte, m peerwire.Message) (peerwire.Message, error) {
	c.mu.Lock()
	member, ok := c.membersByProcess[to]
	c.mu.Unlock()
	if !ok || c.instance.peers == nil {
		return nil, errors.New("no live peer with this process ID")
	}
	return c.instance.peers.call(member.TCP, m)
}

// loadConfigurationFile activates a configuration file as revision 1. It is used by
// instances without a platform.
func (in *Instance) loadConfigurationFile(file string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "read configuration")
	}
	d, err := config.Parse(text)
	if err != nil {
		return errors.Wrap(err, file)
	}
	in.applyDeployment(1, d)
	return nil
}
