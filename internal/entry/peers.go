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

// callTimeout bounds one call to a peer.
const callTimeout = 2 * time.Second

// peerGroup handles membership and messaging with the other instances of the region. It
// is nil if the settings configure no peers.
type peerGroup struct {
	instance   *Instance
	self       membership.Member
	keys       *peerwire.KeyList
	membership *membership.Machine
	gossip     *peer.Gossip
	codec      *peerwire.DatagramCodec
	node       *peer.Node

	mu              sync.Mutex
	lastFailedCalls map[orders.Incarnation]time.Duration // time of the last call, if it failed
}

// readPeerKeys reads a key file with one hex-encoded key per line. Blank lines and lines
// that start with # are ignored.
func readPeerKeys(file string) ([][]byte, error) {
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
			return nil, errors.Errorf("%s: line %d: key is not valid hexadecimal", file, n)
		}
		keys = append(keys, key)
	}
	return keys, errors.Wrap(lines.Err(), "read peer keys")
}

// newPeerGroup opens the peer sockets and creates the membership state machine.
func newPeerGroup(in *Instance, s *settings.Peers, keys [][]byte) (*peerGroup, error) {
	keyList, err := peerwire.NewKeyList(keys...)
	if err != nil {
		return nil, errors.Wrap(err, s.KeyFile)
	}
	g := &peerGroup{instance: in, keys: keyList, lastFailedCalls: map[orders.Incarnation]time.Duration{}}
	g.self = membership.Member{Name: in.settings.Instance, Domain: in.settings.FailureDomain}
	rand.Read(g.self.Incarnation.Process[:])
	if err := g.listen(s); err != nil {
		return nil, err
	}
	in.metrics.registerPeerCounters(g)
	g.membership = membership.New(membership.Options{Self: g.self, Seeds: parseSeeds(s.Seeds)}, g.instance.newRand("membership"))
	g.gossip.SetMachine(g.membership)
	return g, nil
}

// listen opens the TCP and UDP sockets. Port 0 selects a free port.
func (g *peerGroup) listen(s *settings.Peers) error {
	var err error
	options := peer.Options{
		Self:    peerwire.Identity{Name: g.self.Name, Domain: g.self.Domain, Process: g.self.Incarnation.Process},
		Listen:  netip.MustParseAddrPort(s.Address),
		Keys:    g.keys,
		Handler: peer.HandlerFunc(g.handleMessage),
		Dialer:  g.instance.network.Dial,
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
		Now:      g.instance.now,
		OnAction: g.handleMembershipAction,
		Drop:     g.instance.network.Drop,
	})
	if err != nil {
		g.node.Close()
		return err
	}
	g.self.UDP = g.gossip.Addr()
	return nil
}

// addPlatformSeeds adds the live entry instances known to the platform to the gossip
// seeds. The seeds in the settings may all have been replaced.
func (g *peerGroup) addPlatformSeeds(instances []platformapi.Instance) {
	seeds := parseSeeds(g.instance.settings.Peers.Seeds)
	for _, i := range instances {
		if i.Role != platformapi.RoleEntry || i.State != platformapi.Live || len(seeds) >= maxSeeds {
			continue
		}
		if a, err := netip.ParseAddrPort(i.Address); err == nil && a.Port() != 0 && a != g.self.UDP {
			seeds = append(seeds, a)
		}
	}
	g.membership.SetSeeds(seeds)
}

// maxSeeds bounds the number of seed addresses.
const maxSeeds = 64

func parseSeeds(addresses []string) []netip.AddrPort {
	var list []netip.AddrPort
	for _, address := range addresses {
		list = append(list, netip.MustParseAddrPort(address)) // validated by the settings package
	}
	return list
}

// newRand returns a random source seeded for one state machine.
func (in *Instance) newRand(purpose string) *mathrand.Rand {
	h := fnv.New64a()
	h.Write([]byte(purpose))
	return mathrand.New(mathrand.NewPCG(in.seed, h.Sum64()))
}

// runGossip runs the failure detector until ctx is cancelled.
func (g *peerGroup) runGossip(ctx context.Context) error {
	return errors.Wrap(g.gossip.Run(ctx), "serve membership")
}

// handleMembershipAction handles the actions of the failure detector. It must not block.
func (g *peerGroup) handleMembershipAction(now time.Duration, a membership.Action) {
	switch a := a.(type) {
	case membership.StateChanged:
		g.instance.log.WithFields(logrus.Fields{"event": "member_changed", "member": a.Member.Name, "member_domain": a.Member.Domain,
			"state": a.Member.State.String(), "previous": a.Previous.String()}).Info("member state changed")
		go g.handleStateChange(a)
	case membership.MetadataChanged:
		go g.instance.handlePeerMetadata(g.instance.now(), a.Member)
	case membership.Paused:
		g.instance.log.WithFields(logrus.Fields{"event": "paused", "for": a.Duration.String()}).Warn("process was paused; refreshing membership state")
	}
}

// handleStateChange distributes the updated live members within the instance. A platform
// reader also sends its state to a member that has joined its failure domain.
func (g *peerGroup) handleStateChange(c membership.StateChanged) {
	members := g.liveMembers()
	g.instance.updateMembers(members)
	if c.Previous == 0 && c.Member.Live() && c.Member.Domain == g.self.Domain && g.isPlatformReader() {
		g.sendInitialState(c.Member)
	}
}

// sendInitialState sends a newly joined instance the suspicions and the successors of
// stopped order owners, which were broadcast before it joined.
func (g *peerGroup) sendInitialState(m membership.Member) {
	now := g.instance.now()
	g.sendSuspicions([]membership.Member{m}, g.instance.quarantine.Snapshot(now))
	to := orders.Member{Incarnation: orders.Incarnation(m.Incarnation.Process), Address: m.TCP}
	for _, s := range g.instance.orders.coordinator.KnownSuccessors(now) {
		if g.Send(to, s) != nil {
			return // the new instance is already unreachable
		}
	}
}

// liveMembers returns the live members of all failure domains except this instance.
func (g *peerGroup) liveMembers() []membership.Member {
	var list []membership.Member
	for _, d := range g.membership.Domains() {
		for _, m := range g.membership.Members(d) {
			if m.Live() && m.Incarnation.Process != g.self.Incarnation.Process {
				list = append(list, m)
			}
		}
	}
	return list
}

// isPlatformReader reports whether this instance polls the platform for its failure domain.
func (g *peerGroup) isPlatformReader() bool {
	domain := configSyncPeers(append(g.domainMembers(), g.self))
	return slices.ContainsFunc(configsync.Readers(g.self.Domain, domain), func(p configsync.Peer) bool {
		return p.ID == g.self.Incarnation.Process
	})
}

// domainMembers returns the live members of this failure domain except this instance.
func (g *peerGroup) domainMembers() []membership.Member {
	return slices.DeleteFunc(g.liveMembers(), func(m membership.Member) bool { return m.Domain != g.self.Domain })
}

func configSyncPeers(members []membership.Member) []configsync.Peer {
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

// sendToAll sends a message to the members in parallel and returns when every call has
// succeeded or failed.
func (g *peerGroup) sendToAll(members []membership.Member, m peerwire.Message) {
	var group errgroup.Group
	group.SetLimit(maxParallelCalls)
	for _, to := range members {
		group.Go(func() error {
			// An unreachable peer gets the state from other instances or when it rejoins.
			_, _ = g.call(to.TCP, m)
			return nil
		})
	}
	// The functions above return no error.
	_ = group.Wait()
}

// maxParallelCalls bounds the concurrent calls of one broadcast.
const maxParallelCalls = 64

// handleMessage handles a message from a peer and returns the answer.
func (g *peerGroup) handleMessage(ctx context.Context, from peerwire.Identity, m peerwire.Message) (peerwire.Message, error) {
	select {
	case <-g.instance.initialized: // the socket is open before the instance is initialized
	case <-ctx.Done():
		return nil, ctx.Err()
	}
	if g.instance.config == nil && isConfigMessage(m) {
		return nil, errConfigurationNotShared
	}
	switch m := m.(type) {
	case peerwire.ConfigPull:
		return peerwire.ConfigPush{Push: g.instance.config.machine.ReceivePull(g.instance.now(), from.Process, m.Pull)}, nil
	case peerwire.ConfigPush:
		g.instance.config.executeActions(g.instance.config.machine.ReceivePush(g.instance.now(), from.Process, m.Push))
		return nil, nil
	case peerwire.Suspicions:
		return nil, g.receiveSuspicions(m.Payload)
	case peerwire.LeavingUpstreams:
		return nil, g.instance.receiveLeaving(from.Process, m.Payload)
	}
	order, err := orderwire.Decode(g.instance.orders.keys, m)
	if err != nil {
		return nil, err
	}
	g.instance.orders.receive(orders.Member{Incarnation: orders.Incarnation(from.Process), Address: from.TCP}, order)
	return nil, nil
}

// errConfigurationNotShared rejects configuration messages to an instance that does not
// get its configuration from a platform.
var errConfigurationNotShared = errors.New("this instance does not share a configuration")

func isConfigMessage(m peerwire.Message) bool {
	return m.Type() == peerwire.TypeConfigPull || m.Type() == peerwire.TypeConfigPush
}

// Send implements orderTransport.
func (g *peerGroup) Send(to orders.Member, m orders.Message) error {
	wire, err := orderwire.Encode(m)
	if err != nil {
		return err
	}
	_, err = g.call(to.Address, wire)
	g.recordCallResult(to, err == nil)
	return err
}

// recordCallResult records members whose last call failed. A failed call reveals a crash
// before the failure detector reports it.
func (g *peerGroup) recordCallResult(m orders.Member, succeeded bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	if succeeded {
		delete(g.lastFailedCalls, m.Incarnation)
		return
	}
	now := g.instance.now()
	maps.DeleteFunc(g.lastFailedCalls, func(_ orders.Incarnation, at time.Duration) bool { return now-at > unreachableTTL })
	g.lastFailedCalls[m.Incarnation] = now
}

func (g *peerGroup) isUnreachable(p membership.Process) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	at, ok := g.lastFailedCalls[orders.Incarnation(p)]
	return ok && g.instance.now()-at <= unreachableTTL
}

// unreachableTTL is how long a member is excluded as witness and successor after a failed
// call. The failure detector takes about as long to report a crash.
const unreachableTTL = 5 * time.Second

// Broadcast implements orderTransport.
func (g *peerGroup) Broadcast(m orders.Message) {
	wire, err := orderwire.Encode(m)
	if err != nil {
		g.instance.log.WithFields(logrus.Fields{"event": "broadcast_failed", "error": err.Error()}).Error("failed to encode order message")
		return
	}
	g.sendToAll(g.liveMembers(), wire)
}

// Witness implements orderTransport. It prefers another failure domain, so that the witness
// survives the loss of this one.
func (g *peerGroup) Witness() orders.Member { return g.chooseMember(true) }

// Successor implements orderTransport. The ledger is handed over during shutdown, so an
// instance in this failure domain is preferred.
func (g *peerGroup) Successor() orders.Member { return g.chooseMember(false) }

// chooseMember returns a random alive member, preferably from another failure domain or
// from this one, as requested.
func (g *peerGroup) chooseMember(otherDomain bool) orders.Member {
	members := slices.DeleteFunc(g.liveMembers(), func(m membership.Member) bool {
		return m.State != membership.Alive || g.isUnreachable(m.Incarnation.Process)
	})
	preferred := slices.DeleteFunc(slices.Clone(members), func(m membership.Member) bool {
		return (m.Domain != g.self.Domain) != otherDomain || !g.membership.Reachable(g.instance.now(), m.Domain)
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
