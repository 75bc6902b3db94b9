package gateway

import (
	"context"
	"crypto/rand"
	mathrand "math/rand/v2"
	"net/netip"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"
	"golang.org/x/sync/errgroup"

	"github.com/yuccabridge/yuccabridge/internal/coordination/membership"
	"github.com/yuccabridge/yuccabridge/internal/coordination/quarantine"
	"github.com/yuccabridge/yuccabridge/internal/coordination/replica"
	"github.com/yuccabridge/yuccabridge/internal/eventlog"
	"github.com/yuccabridge/yuccabridge/internal/periodic"
	"github.com/yuccabridge/yuccabridge/internal/protocol/peerwire"
	"github.com/yuccabridge/yuccabridge/internal/transport/peer"
)

const (
	// peerCallTimeout bounds one exchange with a peer.
	peerCallTimeout = time.Second
	// pullInterval is how often an instance that the platform does not answer asks a
	// peer for its copy.
	pullInterval = 300 * time.Millisecond
	// calmPulls is the number of pull intervals between two questions of an instance that
	// the platform answers: its connection may be silent without an error.
	calmPulls = 10
)

// meshDomain is the membership domain of all instances: they are few enough to probe each
// other across failure domains.
const meshDomain = "mesh"

// peers connects the instance with the others.
type peers struct {
	g       *Gateway
	self    membership.Member
	members *membership.Machine
	gossip  *peer.Gossip
	node    *peer.Node
	reports *reports
}

// pullMessage asks for a copy that is newer than a revision.
type pullMessage struct{ Revision uint64 }

// pushMessage answers a pullMessage. Nil: the peer has nothing newer.
type pushMessage struct{ Snapshot *replica.Snapshot }

// newPeers opens the sockets for peers; it returns nil where the settings have none.
func newPeers(g *Gateway) (*peers, error) {
	s := g.settings.Peers
	if s == nil {
		return nil, nil
	}
	keys, err := peerwire.NewKeyList([]byte(s.Network))
	if err != nil {
		return nil, errors.Wrap(err, "peers.network")
	}
	p := &peers{g: g, self: membership.Member{Name: g.settings.Instance, Domain: meshDomain}}
	rand.Read(p.self.Incarnation.Process[:])
	p.node, err = peer.Listen(peer.Options{
		Self:           peerwire.Identity{Name: p.self.Name, Domain: p.self.Domain, Process: p.self.Incarnation.Process},
		Listen:         netip.MustParseAddrPort(s.Address),
		Keys:           keys,
		PrivateNetwork: true,
		Handler:        peer.HandlerFunc(p.handle),
	})
	if err != nil {
		return nil, err
	}
	p.self.TCP = p.node.Addr()
	p.gossip, err = peer.ListenGossip(netip.MustParseAddrPort(s.Gossip), peer.GossipOptions{
		Codec: peerwire.NewDatagramCodec(keys, p.self.Incarnation.Process), Now: g.now, OnAction: p.observe,
	})
	if err != nil {
		p.node.Close()
		return nil, err
	}
	p.self.UDP = p.gossip.Addr()
	var seeds []netip.AddrPort
	for _, text := range s.Seeds {
		if a, err := netip.ParseAddrPort(text); err == nil && a != p.self.UDP {
			seeds = append(seeds, a)
		}
	}
	p.members = membership.New(membership.Options{Self: p.self, Seeds: seeds}, mathrand.New(mathrand.NewPCG(g.seed, 1)))
	p.gossip.SetMachine(p.members)
	p.reports = newReports(p)
	return p, nil
}

// observe logs what the membership machine reports.
func (p *peers) observe(_ time.Duration, a membership.Action) {
	switch a := a.(type) {
	case membership.StateChanged:
		p.noteChange(a)
		p.g.log.WithFields(logrus.Fields{"event": eventlog.PeerChanged, "peer": a.Member.Name, "process": a.Member.Incarnation.Process.String(),
			"state": a.Member.State.String(), "previous": a.Previous.String()}).Info("peer changed")
	case membership.Paused:
		p.g.log.WithFields(logrus.Fields{"event": eventlog.ProcessPaused, "for_ms": a.Duration.Milliseconds()}).Warn("the process was paused")
	}
}

// noteChange drops the loads of a peer that is gone.
func (p *peers) noteChange(a membership.StateChanged) {
	if a.Member.State != membership.Dead {
		return
	}
	origin := a.Member.Incarnation.Process.String()
	p.reports.forget(origin)
	for _, s := range p.g.serviceList() {
		s.dispatcher.Forget(origin)
	}
}

// live returns the other instances that are not dead.
func (p *peers) live() []membership.Member {
	var out []membership.Member
	for _, m := range p.members.Members(meshDomain) {
		if m.Live() && m.Incarnation.Process != p.self.Incarnation.Process {
			out = append(out, m)
		}
	}
	return out
}

func (p *peers) run(ctx context.Context) error {
	group, ctx := errgroup.WithContext(ctx)
	group.Go(func() error { return p.gossip.Run(ctx) })
	group.Go(func() error { return p.pullLoop(ctx) })
	group.Go(func() error { return p.reports.run(ctx) })
	return group.Wait()
}

func (p *peers) leave() { p.gossip.Leave() }

func (p *peers) close() {
	if err := p.node.Close(); err != nil {
		p.g.log.WithFields(logrus.Fields{"event": eventlog.PeerListenerFailed, "error": err.Error()}).Warn("peers' listener could not be closed")
	}
}

// pullLoop asks a peer for its copies while the platform does not answer, and now and then
// otherwise.
func (p *peers) pullLoop(ctx context.Context) error {
	calm := 0
	return periodic.Run(ctx, pullInterval, func() {
		calm++
		if p.needsPeers() || calm >= calmPulls {
			calm = 0
			p.pull(ctx)
		}
	})
}

func (p *peers) needsPeers() bool {
	return p.g.feed.replica.Unavailable() || !p.g.feed.loaded()
}

func (p *peers) pull(ctx context.Context) {
	live := p.live()
	if len(live) == 0 {
		return
	}
	to := live[mathrand.IntN(len(live))]
	var have pullMessage
	have.Revision, _ = p.g.feed.replica.Revision()
	payload, err := msgpack.Marshal(have)
	if err != nil {
		p.failed("pull", to.Name, err)
		return
	}
	ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
	defer cancel()
	answer, err := p.node.Call(ctx, to.TCP, peerwire.ReplicaPull{Payload: payload})
	if err != nil {
		p.failed("pull", to.Name, err)
		return
	}
	push, ok := answer.(peerwire.ReplicaPush)
	if !ok {
		p.failed("pull", to.Name, errors.Errorf("answer of type %s", answer.Type()))
		return
	}
	var got pushMessage
	if err := msgpack.Unmarshal(push.Payload, &got); err != nil {
		p.failed("pull", to.Name, err)
		return
	}
	if got.Snapshot != nil {
		p.g.feed.merge(*got.Snapshot, to.Name)
	}
}

func (p *peers) failed(what, name string, err error) {
	p.g.log.WithFields(logrus.Fields{"event": eventlog.PeerCallFailed, "call": what, "peer": name, "error": err.Error()}).Debug("a call to a peer failed")
}

// toAll sends a message that is not answered. A peer that cannot be reached does not
// delay the others.
func (p *peers) toAll(ctx context.Context, live []membership.Member, m peerwire.Message) {
	for _, to := range live {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
			defer cancel()
			if err := p.node.Notify(ctx, to.TCP, m); err != nil {
				p.failed(m.Type().String(), to.Name, err)
			}
		}()
	}
}

// handle answers peers.
func (p *peers) handle(_ context.Context, from peerwire.Identity, m peerwire.Message) (peerwire.Message, error) {
	switch m := m.(type) {
	case peerwire.ReplicaPull:
		return p.answerPull(m)
	case peerwire.DispatchReport:
		return nil, p.reports.receive(from, m.Payload)
	case peerwire.Suspicions:
		var list []quarantine.Suspicion
		if err := msgpack.Unmarshal(m.Payload, &list); err != nil {
			return nil, errors.Wrap(err, "suspicions")
		}
		p.g.quarantine.Merge(p.g.now(), list)
		return nil, nil
	}
	return nil, errors.Errorf("message of type %s from %s is not handled", m.Type(), from.Name)
}

func (p *peers) answerPull(m peerwire.ReplicaPull) (peerwire.Message, error) {
	var have pullMessage
	if err := msgpack.Unmarshal(m.Payload, &have); err != nil {
		return nil, errors.Wrap(err, "pull")
	}
	payload, err := msgpack.Marshal(pushMessage{Snapshot: p.g.feed.newer(have.Revision)})
	if err != nil {
		return nil, errors.Wrap(err, "push")
	}
	return peerwire.ReplicaPush{Payload: payload}, nil
}

// newer returns the copy if it is newer than a revision.
func (f *feed) newer(revision uint64) *replica.Snapshot {
	mine, ok := f.replica.Revision()
	if !ok || mine <= revision {
		return nil
	}
	s := f.replica.Snapshot()
	return &s
}

// spread sends suspicions to the other instances.
func (g *Gateway) spread(list []quarantine.Suspicion) {
	if g.peers == nil || len(list) == 0 {
		return
	}
	payload, err := msgpack.Marshal(list)
	if err != nil {
		g.peers.failed("suspicions", "all", err)
		return
	}
	g.peers.toAll(context.Background(), g.peers.live(), peerwire.Suspicions{Payload: payload})
}
