package entry

import (
	"bufio"
	"bytes"
	"context"
	"crypto/rand"
	"encoding/hex"
	"hash/fnv"
	"maps"
	mathrand "math/rand/v2"
	"net/netip"
	"os"
	"slices"
	"strings"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"golang.org/x/sync/errgroup"

	"github.com/yuccabridge/yuccabridge/internal/coordination/configsync"
	"github.com/yuccabridge/yuccabridge/internal/coordination/membership"
	"github.com/yuccabridge/yuccabridge/internal/coordination/orders"
	"github.com/yuccabridge/yuccabridge/internal/protocol/orderwire"
	"github.com/yuccabridge/yuccabridge/internal/protocol/peerwire"
	"github.com/yuccabridge/yuccabridge/internal/protocol/platformapi"
	"github.com/yuccabridge/yuccabridge/internal/settings"
	"github.com/yuccabridge/yuccabridge/internal/transport/peer"
)

// callTimeout bounds one exchange with a peer.
const callTimeout = 2 * time.Second

// peerGroup connects the instance with the other instances of its region. Without
// peers in the settings it is nil.
type peerGroup struct {
	in      *Instance
	self    membership.Member
	keys    *peerwire.KeyList
	members *membership.Machine
	gossip  *peer.Gossip
	codec   *peerwire.DatagramCodec
	node    *peer.Node

	mu          sync.Mutex
	unreachable map[orders.Incarnation]time.Duration // when a call failed last
}

// readKeys reads the keys of a key file, one in hex a line.
func readKeys(file string) ([][]byte, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read peer keys")
	}
	var keys [][]byte
	lines := bufio.NewScanner(bytes.NewReader(text))
	for n := 1; lines.Scan(); n++ {
		line := strings.TrimSpace(lines.Text())
		if line == "" || strings.HasPrefix(line, "#") {
			continue
		}
		key, err := hex.DecodeString(line)
		if err != nil {
			return nil, errors.Errorf("%s: line %d: the key is not in hex", file, n)
		}
		keys = append(keys, key)
	}
	return keys, errors.Wrap(lines.Err(), "read peer keys")
}

// newPeerGroup opens the sockets for peers.
func newPeerGroup(in *Instance, s *settings.Peers, keys [][]byte) (*peerGroup, error) {
	list, err := peerwire.NewKeyList(keys...)
	if err != nil {
		return nil, errors.Wrap(err, s.KeyFile)
	}
	g := &peerGroup{in: in, keys: list, unreachable: map[orders.Incarnation]time.Duration{}}
	g.self = membership.Member{Name: in.settings.Instance, Domain: in.settings.FailureDomain}
	rand.Read(g.self.Incarnation.Process[:])
	if err := g.listen(s); err != nil {
		return nil, err
	}
	in.metrics.watchPeers(g)
	g.members = membership.New(membership.Options{Self: g.self, Seeds: seedAddresses(s.Seeds)}, g.in.random("membership"))
	g.gossip.SetMachine(g.members)
	return g, nil
}

// listen opens the TCP and the UDP socket; a port of zero takes any free one.
func (g *peerGroup) listen(s *settings.Peers) error {
	var err error
	options := peer.Options{
		Self:    peerwire.Identity{Name: g.self.Name, Domain: g.self.Domain, Process: g.self.Incarnation.Process},
		Listen:  netip.MustParseAddrPort(s.Address),
		Keys:    g.keys,
		Handler: peer.HandlerFunc(g.handle),
		Dialer:  g.in.network.Dial,
	}
	if s.TLS != nil {
		options.TLS = &peer.TLSFiles{Certificate: s.TLS.Certificate, Key: s.TLS.Key, CA: s.TLS.CA}
	}
	if g.node, err = peer.Listen(options); err != nil {
		return err
	}
	g.self.TCP = g.node.Addr()
	g.codec = peerwire.NewDatagramCodec(g.keys, g.self.Incarnation.Process)
	g.gossip, err = peer.ListenGossip(netip.MustParseAddrPort(s.Gossip), peer.GossipOptions{
		Codec:    g.codec,
		Now:      g.in.now,
		OnAction: g.observe,
		Drop:     g.in.network.Drop,
	})
	if err != nil {
		g.node.Close()
		return err
	}
	g.self.UDP = g.gossip.Addr()
	return nil
}

// seedFrom adds the entry instances of the platform's list to the seeds. The instances
// that the settings name may all have been replaced.
func (g *peerGroup) seedFrom(list []platformapi.Instance) {
	seeds := seedAddresses(g.in.settings.Peers.Seeds)
	for _, i := range list {
		if i.Role != platformapi.RoleEntry || i.State != platformapi.Live || len(seeds) >= maxSeeds {
			continue
		}
		if a, err := netip.ParseAddrPort(i.Address); err == nil && a != g.self.UDP {
			seeds = append(seeds, a)
		}
	}
	g.members.SetSeeds(seeds)
}

// maxSeeds bounds the addresses that an instance tries to join through.
const maxSeeds = 64

func seedAddresses(texts []string) []netip.AddrPort {
	var list []netip.AddrPort
	for _, t := range texts {
		list = append(list, netip.MustParseAddrPort(t)) // checked with the settings
	}
	return list
}

// random returns a source for one of the state machines.
func (in *Instance) random(purpose string) *mathrand.Rand {
	h := fnv.New64a()
	h.Write([]byte(purpose))
	return mathrand.New(mathrand.NewPCG(in.seed, h.Sum64()))
}

// run serves the failure detector until ctx ends.
func (g *peerGroup) run(ctx context.Context) error {
	return errors.Wrap(g.gossip.Run(ctx), "serve membership")
}

// observe takes the outcomes of the failure detector. It must not block.
func (g *peerGroup) observe(now time.Duration, a membership.Action) {
	switch a := a.(type) {
	case membership.StateChanged:
		g.in.log.WithFields(logrus.Fields{"event": "member_changed", "member": a.Member.Name, "member_domain": a.Member.Domain,
			"state": a.Member.State.String(), "previous": a.Previous.String()}).Info("member changed")
		go g.membersChanged(a)
	case membership.MetadataChanged:
		go g.in.peerReported(g.in.now(), a.Member)
	case membership.Paused:
		g.in.log.WithFields(logrus.Fields{"event": "paused", "for": a.Duration.String()}).Warn("this process was paused; it refreshes its knowledge")
	}
}

// membersChanged passes the live members on to those who choose among them.
func (g *peerGroup) membersChanged(c membership.StateChanged) {
	all := g.all()
	g.in.setMembers(all)
	if c.Previous == 0 && c.Member.Live() && c.Member.Domain == g.self.Domain && g.isReader() {
		g.welcome(c.Member)
	}
}

// welcome tells an instance that has joined what it cannot know: the suspicions, and
// who answers for the owners that have stopped.
func (g *peerGroup) welcome(m membership.Member) {
	now := g.in.now()
	g.sendSuspicions([]membership.Member{m}, g.in.quarantine.Snapshot(now))
	to := orders.Member{Incarnation: orders.Incarnation(m.Incarnation.Process), Address: m.TCP}
	for _, s := range g.in.orders.flow.KnownSuccessors(now) {
		if g.Send(to, s) != nil {
			return // the instance is gone again
		}
	}
}

// all returns the live members of all failure domains, without this instance.
func (g *peerGroup) all() []membership.Member {
	var list []membership.Member
	for _, d := range g.members.Domains() {
		for _, m := range g.members.Members(d) {
			if m.Live() && m.Incarnation.Process != g.self.Incarnation.Process {
				list = append(list, m)
			}
		}
	}
	return list
}

// isReader reports whether this instance reads at the platform for its domain.
func (g *peerGroup) isReader() bool {
	domain := peersOf(append(g.ownDomain(), g.self))
	return slices.ContainsFunc(configsync.Readers(g.self.Domain, domain), func(p configsync.Peer) bool {
		return p.ID == g.self.Incarnation.Process
	})
}

// ownDomain returns the live members of the own failure domain, without this instance.
func (g *peerGroup) ownDomain() []membership.Member {
	return slices.DeleteFunc(g.all(), func(m membership.Member) bool { return m.Domain != g.self.Domain })
}

func peersOf(members []membership.Member) []configsync.Peer {
	list := make([]configsync.Peer, 0, len(members))
	for _, m := range members {
		list = append(list, configsync.Peer{ID: m.Incarnation.Process, Domain: m.Domain})
	}
	return list
}

// call sends a message to a peer and waits for its answer.
func (g *peerGroup) call(to netip.AddrPort, m peerwire.Message) (peerwire.Message, error) {
	ctx, cancel := context.WithTimeout(context.Background(), callTimeout)
	defer cancel()
	return g.node.Call(ctx, to, m)
}

// toAll sends a message to the members at the same time and returns when each has
// got it or cannot be reached.
func (g *peerGroup) toAll(members []membership.Member, m peerwire.Message) {
	var group errgroup.Group
	group.SetLimit(maxParallelCalls)
	for _, to := range members {
		group.Go(func() error {
			// A peer that cannot be reached learns the news from others or at its next join.
			_, _ = g.call(to.TCP, m)
			return nil
		})
	}
	// The function above returns no error.
	_ = group.Wait()
}

// maxParallelCalls bounds the calls of one broadcast that run at the same time.
const maxParallelCalls = 64

// handle serves the requests of peers.
func (g *peerGroup) handle(ctx context.Context, from peerwire.Identity, m peerwire.Message) (peerwire.Message, error) {
	select {
	case <-g.in.serving: // the socket is open before the instance is assembled
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if g.in.config == nil && isConfiguration(m) {
		return nil, errNoConfiguration
	}
	switch m := m.(type) {
	case peerwire.ConfigPull:
		return peerwire.ConfigPush{Push: g.in.config.machine.ReceivePull(g.in.now(), from.Process, m.Pull)}, nil
	case peerwire.ConfigPush:
		g.in.config.carryOut(g.in.config.machine.ReceivePush(g.in.now(), from.Process, m.Push))
		return nil, nil
	case peerwire.Suspicions:
		return nil, g.receiveSuspicions(m.Payload)
	case peerwire.LeavingUpstreams:
		return nil, g.in.receiveLeaving(from.Process, m.Payload)
	}
	order, err := orderwire.Decode(g.in.orders.keys, m)
	if err != nil {
		return nil, err
	}
	g.in.orders.receive(orders.Member{Incarnation: orders.Incarnation(from.Process), Address: from.TCP}, order)
	return nil, nil
}

// errNoConfiguration answers peers that ask an instance with a configuration of its own.
var errNoConfiguration = errors.New("this instance does not share a configuration")

func isConfiguration(m peerwire.Message) bool {
	return m.Type() == peerwire.TypeConfigPull || m.Type() == peerwire.TypeConfigPush
}

// Send implements orderLinks.
func (g *peerGroup) Send(to orders.Member, m orders.Message) error {
	wire, err := orderwire.Encode(m)
	if err != nil {
		return err
	}
	_, err = g.call(to.Address, wire)
	g.noteReachable(to, err == nil)
	return err
}

// noteReachable remembers members that could not be reached a moment ago: a crash is
// known here before the failure detector reports it.
func (g *peerGroup) noteReachable(m orders.Member, ok bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if ok {
		delete(g.unreachable, m.Incarnation)
		return
	}
	now := g.in.now()
	maps.DeleteFunc(g.unreachable, func(_ orders.Incarnation, at time.Duration) bool { return now-at > unreachableTime })
	g.unreachable[m.Incarnation] = now
}

func (g *peerGroup) isUnreachable(p membership.Process) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	at, ok := g.unreachable[orders.Incarnation(p)]
	return ok && g.in.now()-at <= unreachableTime
}

// unreachableTime is how long a member that could not be reached is not chosen as a
// witness. The failure detector needs about as long to report a crash.
const unreachableTime = 5 * time.Second

// Broadcast implements orderLinks.
func (g *peerGroup) Broadcast(m orders.Message) {
	wire, err := orderwire.Encode(m)
	if err != nil {
		g.in.log.WithFields(logrus.Fields{"event": "broadcast_failed", "error": err.Error()}).Error("message cannot be encoded")
		return
	}
	g.toAll(g.all(), wire)
}

// Witness implements orderLinks. A witness in another failure domain survives the loss
// of this one.
func (g *peerGroup) Witness() orders.Member { return g.choose(true) }

// Successor implements orderLinks. The handover is sent while this instance stops, so
// a near instance is preferred.
func (g *peerGroup) Successor() orders.Member { return g.choose(false) }

// choose returns a random alive member, of another domain or of the own one where
// there is one.
func (g *peerGroup) choose(otherDomain bool) orders.Member {
	members := slices.DeleteFunc(g.all(), func(m membership.Member) bool {
		return m.State != membership.Alive || g.isUnreachable(m.Incarnation.Process)
	})
	preferred := slices.DeleteFunc(slices.Clone(members), func(m membership.Member) bool {
		return (m.Domain != g.self.Domain) != otherDomain || !g.members.Reachable(g.in.now(), m.Domain)
	})
	if len(preferred) == 0 {
		preferred = members
	}
	if len(preferred) == 0 {
		return orders.Member{}
	}
	m := preferred[mathrand.IntN(len(preferred))]
	return orders.Member{Incarnation: orders.Incarnation(m.Incarnation.Process), Address: m.TCP}
}
