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

// configTick is how often the configuration machine is advanced.
const configTick = 100 * time.Millisecond

// configuration drives the machine that decides which revision is in force.
type configuration struct {
	in       *Instance
	self     configsync.Peer
	machine  *configsync.Machine
	platform *platform.Client

	mu        sync.Mutex
	addresses map[[16]byte]membership.Member
	applying  sync.Mutex
	applied   uint64

	parsing    sync.Mutex
	parsedText []byte // the text of parsed
	parsed     *config.Deployment
}

func newConfiguration(in *Instance, self configsync.Peer) *configuration {
	c := &configuration{in: in, self: self, addresses: map[[16]byte]membership.Member{}}
	c.machine = configsync.New(configsync.Options{
		Self: self,
		Validate: func(text []byte) error {
			_, err := c.parse(text)
			return err
		},
	}, in.random("configuration"))
	c.platform = platform.New(platform.Options{Address: in.settings.Platform.Address, Dial: in.network.Dial})
	return c
}

// parse parses a text unless it is the one that was parsed last. The machine validates
// a text just before it is applied, and parsing is most of the work of a change.
func (c *configuration) parse(text []byte) (*config.Deployment, error) {
	c.parsing.Lock()
	defer c.parsing.Unlock()
	if c.parsed != nil && bytes.Equal(text, c.parsedText) {
		return c.parsed, nil
	}
	d, err := config.Parse(text)
	if err == nil {
		c.parsed, c.parsedText = d, bytes.Clone(text)
	}
	return d, err
}

// run advances the machine until ctx ends.
func (c *configuration) run(ctx context.Context) error {
	c.carryOut(c.machine.SetMembers(c.in.now(), []configsync.Peer{c.self}))
	return periodic.Run(ctx, configTick, func() { c.carryOut(c.machine.Tick(c.in.now())) })
}

// setMembers tells the machine which instances are live.
func (c *configuration) setMembers(members []membership.Member) {
	addresses := map[[16]byte]membership.Member{}
	for _, m := range members {
		addresses[m.Incarnation.Process] = m
	}
	c.mu.Lock()
	c.addresses = addresses
	c.mu.Unlock()
	c.carryOut(c.machine.SetMembers(c.in.now(), append(peersOf(members), c.self)))
}

// carryOut executes what the machine decides. Exchanges run in the background.
func (c *configuration) carryOut(actions []configsync.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case configsync.Accepted:
			c.apply(a)
		case configsync.Rejected:
			c.in.metrics.configRefused.Inc()
			c.in.log.WithFields(logrus.Fields{"event": "configuration_refused", "revision": a.Revision, "reason": a.Reason}).Error("configuration refused")
		case configsync.Watch:
			go c.watch(a)
		case configsync.SendPull:
			go c.pull(a)
		case configsync.SendPush:
			go c.push(a)
		}
	}
}

// apply puts an accepted revision in force. Revisions are accepted in rising order, but
// may arrive here out of order from two goroutines.
func (c *configuration) apply(a configsync.Accepted) {
	d, err := c.parse(a.Text)
	if err != nil {
		panic(err) // the machine accepts only texts that parse
	}
	c.applying.Lock()
	defer c.applying.Unlock()
	if a.Revision <= c.applied {
		return
	}
	c.applied = a.Revision
	c.in.apply(a.Revision, d)
	c.in.reportValues()
}

func (c *configuration) watch(w configsync.Watch) {
	r := c.platform.Watch(platformapi.Revision(w.After), w.Wait)
	result := configsync.Result{Status: configsync.Failed}
	switch r.Outcome {
	case platform.OK:
		result = configsync.Result{Status: configsync.Changed, Revision: uint64(r.Deployment.Revision), Text: r.Deployment.Text}
	case platform.NotModified:
		result.Status = configsync.NotModified
	}
	c.carryOut(c.machine.ReceivePlatformResult(c.in.now(), w.ID, result))
}

func (c *configuration) pull(a configsync.SendPull) {
	m, err := c.exchange(a.To, peerwire.ConfigPull{Pull: a.Pull})
	push, ok := m.(peerwire.ConfigPush)
	if err != nil || !ok {
		c.carryOut(c.machine.PullFailed(c.in.now(), a.To))
		return
	}
	c.carryOut(c.machine.ReceivePush(c.in.now(), a.To, push.Push))
}

func (c *configuration) push(a configsync.SendPush) {
	// A lost announcement is made up for by the periodic pull.
	_, _ = c.exchange(a.To, peerwire.ConfigPush{Push: a.Push})
}

func (c *configuration) exchange(to [16]byte, m peerwire.Message) (peerwire.Message, error) {
	c.mu.Lock()
	member, ok := c.addresses[to]
	c.mu.Unlock()
	if !ok || c.in.peers == nil {
		return nil, errors.New("the peer is not known")
	}
	return c.in.peers.call(member.TCP, m)
}

// loadFile puts the configuration of a file in force, for an instance without a platform.
func (in *Instance) loadFile(file string) error {
	text, err := os.ReadFile(file)
	if err != nil {
		return errors.Wrap(err, "read configuration")
	}
	d, err := config.Parse(text)
	if err != nil {
		return errors.Wrap(err, file)
	}
	in.apply(1, d)
	return nil
}
