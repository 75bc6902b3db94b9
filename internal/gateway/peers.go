package gateway

import (
	"context"
	"crypto/rand"
	"math"
	mathrand "math/rand/v2"
	"net/netip"
	"sync"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/yuccabridge/yuccabridge/internal/coordination/evacuation"
	"github.com/yuccabridge/yuccabridge/internal/coordination/joining"
	"github.com/yuccabridge/yuccabridge/internal/coordination/membership"
	"github.com/yuccabridge/yuccabridge/internal/coordination/quarantine"
	"github.com/yuccabridge/yuccabridge/internal/coordination/replica"
	"github.com/yuccabridge/yuccabridge/internal/coordination/streamorigin"
	"github.com/yuccabridge/yuccabridge/internal/eventlog"
	"github.com/yuccabridge/yuccabridge/internal/periodic"
	"github.com/yuccabridge/yuccabridge/internal/protocol/peerwire"
	"github.com/yuccabridge/yuccabridge/internal/tasks"
	"github.com/yuccabridge/yuccabridge/internal/transport/peer"
)

const (
	// peerCallTimeout bounds a call or notification to a peer.
	peerCallTimeout = time.Second
	// pullInterval is how often an instance requests the snapshot of a peer while the
	// platform is unavailable.
	pullInterval = 300 * time.Millisecond
	// idlePullIntervals is the number of pull intervals between requests while the platform
	// is available: the connection to it may have failed without an error.
	idlePullIntervals = 10
	// copyTimeout bounds the transfer of a copy from a peer, over a link that is slow or busy.
	copyTimeout = 8 * time.Second
	// joinPullTime is how long after its start an instance pulls from each peer that it learns
	// of, because it knows nothing of what was broadcast before.
	joinPullTime = 10 * time.Second
	// maxQueuedPulls bounds the peers from which an instance pulls out of turn; any of them
	// knows what the others on its side of a partition know.
	maxQueuedPulls = 4
	// maxDeferredPerPull bounds the deferred removals about which a peer is asked at a time.
	maxDeferredPerPull = 256
	// maxSuspicionsPerPull keeps an answer far below the frame size limit.
	maxSuspicionsPerPull = 512
)

// sharedDomain is the membership domain of all instances: there are few enough of them to
// probe each other across failure domains.
const sharedDomain = "mesh"

// peers manages the communication with other instances.
type peers struct {
	gateway    *Gateway
	self       membership.Member
	membership *membership.Machine
	gossip     *peer.Gossip
	node       *peer.Node
	reports    *reportExchange
	pullQueue  chan membership.Member // peers to pull from out of turn
	joining    *joining.Barrier
	joinLogged atomic.Bool
	placement  atomic.Pointer[streamorigin.Placement]

	originCopies streamorigin.CopyQueue
	copyMu       sync.Mutex // held during the transfer of a copy from a peer

	initialized chan struct{} // closed when the instance may handle messages
}

// pullMessage requests what the peer knows beyond this instance: a snapshot after a position, a
// configuration with a newer version, the requests that are refused because they crash
// upstreams, if their digest differs, and which of the deferred removals have taken effect there.
type pullMessage struct {
	Era, Revision, ConfigurationVersion, RefusedDigest uint64
	Follow                                             followMessage
	Deferred                                           []replica.EntryState
	// Brief asks for no snapshot and no configuration: the answer holds the changes after the position if they
	// are few, and says whether the peer has more. An older build answers in full.
	Brief bool
	// ConfigurationAt is the position of the configuration that this instance has; a snapshot needs no copy of it.
	ConfigurationAt replica.Position
}

// pushMessage is the answer to a pullMessage. Snapshot is nil if the peer has nothing
// newer.
type pushMessage struct {
	Snapshot *replica.Snapshot
	// Configuration is nil if the peer has none with a newer version. The snapshot may hold an older
	// one, if the platform has come back from an older copy.
	Configuration *replica.Item
	Suspicions    []quarantine.Suspicion
	// Versions are the software versions that the peer has seen.
	Versions streamorigin.Observations
	// Settled is set if the peer serves: it knows what was broadcast before this instance started.
	Settled bool
	// Follow is the answer to a follower of this instance.
	Follow followAnswer
	// Removed are the entries asked for whose removal has taken effect at the peer.
	Removed []replica.EntryState
	// Brief is the answer to a brief pull; nil in a full one.
	Brief *briefAnswer
	// Evacuations are all that the peer knows of.
	Evacuations []evacuation.Record `msgpack:",omitempty"`
}

// newPeers opens the sockets for peers; it returns nil if the settings do not configure
// peers.
func newPeers(g *Gateway) (*peers, error) {
	peerSettings := g.settings.Peers
	if peerSettings == nil {
		return nil, nil
	}
	keys, err := peerwire.NewKeyList([]byte(peerSettings.Network))
	if err != nil {
		return nil, errors.Wrap(err, "peers.network")
	}
	p := &peers{gateway: g, self: membership.Member{Name: g.settings.Instance, Domain: sharedDomain, FailureDomain: g.settings.FailureDomain}, pullQueue: make(chan membership.Member, maxQueuedPulls), initialized: make(chan struct{})}
	rand.Read(p.self.Incarnation.Process[:])
	p.node, err = peer.Listen(peer.Options{
		Self:           peerwire.Identity{Name: p.self.Name, Domain: p.self.Domain, Process: p.self.Incarnation.Process},
		Listen:         netip.MustParseAddrPort(peerSettings.Address),
		Keys:           keys,
		PrivateNetwork: true,
		Handler:        peer.HandlerFunc(p.handleMessage),
		Dialer:         g.adapter.DialPeer,
		Relay:          p.relay,
		RelayDialer:    relayDialer(),
	})
	if err != nil {
		return nil, err
	}
	p.self.TCP = p.node.Addr()
	p.gossip, err = peer.ListenGossip(netip.MustParseAddrPort(peerSettings.Gossip), peer.GossipOptions{
		Codec: peerwire.NewDatagramCodec(keys, p.self.Incarnation.Process), Now: g.now, OnAction: p.handleMembershipAction,
	})
	if err != nil {
		p.node.Close()
		return nil, err
	}
	p.self.UDP = p.gossip.Addr()
	var seeds []netip.AddrPort
	for _, seed := range peerSettings.Seeds {
		if address, err := netip.ParseAddrPort(seed); err == nil && address != p.self.UDP {
			seeds = append(seeds, address)
		}
	}
	p.joining = joining.New(seeds)
	p.membership = membership.New(membership.Options{Self: p.self, Seeds: seeds}, mathrand.New(mathrand.NewPCG(g.seed, 1)))
	p.gossip.SetMachine(p.membership)
	p.updatePlacement()
	p.reports = newReportExchange(p)
	return p, nil
}

// handleMembershipAction logs membership changes and pauses of the process.
func (p *peers) handleMembershipAction(_ time.Duration, action membership.Action) {
	switch a := action.(type) {
	case membership.StateChanged:
		p.forgetIfDead(a)
		p.closeIdleRelays(a)
		p.updateInstances()
		if a.Previous == 0 || a.Previous == membership.Dead || a.Member.State == membership.Dead {
			p.gateway.updateKnownInstances() // suspicions, which may come and go many times a second, change nothing
		}
		p.queuePull(a)
		p.gateway.log.WithFields(logrus.Fields{"event": eventlog.PeerChanged, "peer": a.Member.Name, "process": a.Member.Incarnation.Process.String(),
			"state": a.Member.State.String(), "previous": a.Previous.String()}).Info("peer changed")
	case membership.Paused:
		p.gateway.log.WithFields(logrus.Fields{"event": eventlog.ProcessPaused, "for_ms": a.Duration.Milliseconds()}).Warn("process was paused")
	}
}

// queuePull arranges a pull from a peer that may know of broadcasts that did not reach this
// instance: it was cut off, or this instance has just started. A broadcast is not repeated.
func (p *peers) queuePull(change membership.StateChanged) {
	returned := change.Previous == membership.Dead
	joining := change.Previous == 0 && p.gateway.now() < joinPullTime
	if !change.Member.Live() || !returned && !joining {
		return
	}
	select {
	case p.pullQueue <- change.Member:
	default:
	}
}

// forgetIfDead discards the reported load of a peer that has become dead.
func (p *peers) forgetIfDead(change membership.StateChanged) {
	if change.Member.State != membership.Dead {
		return
	}
	origin := change.Member.Incarnation.Process.String()
	p.reports.forgetOrigin(origin)
	for _, s := range p.gateway.sortedServices() {
		s.dispatcher.Forget(origin)
	}
}

// closeIdleRelays closes the idle connections through a peer that leaves, since it waits for them.
func (p *peers) closeIdleRelays(change membership.StateChanged) {
	if change.Member.Live() {
		return
	}
	for _, s := range p.gateway.sortedServices() {
		s.closeUnusableConnections()
	}
}

// livePeers returns the other instances that are not dead.
func (p *peers) livePeers() []membership.Member {
	var out []membership.Member
	for _, m := range p.membership.Members(sharedDomain) {
		if m.Live() && !p.isSelf(m) {
			out = append(out, m)
		}
	}
	return out
}

// isSelf reports whether the member is this instance.
func (p *peers) isSelf(m membership.Member) bool {
	return m.Incarnation.Process == p.self.Incarnation.Process
}

// updatePlacement chooses the holders of records among the live instances and this one.
func (p *peers) updatePlacement() {
	p.placement.Store(streamorigin.NewPlacement(append(p.livePeers(), p.self)))
}

// liveNames returns the names of the other instances that are not dead.
func (p *peers) liveNames() []string {
	if p == nil {
		return nil
	}
	var names []string
	for _, m := range p.livePeers() {
		names = append(names, m.Name)
	}
	return names
}

// updateInstances tells the dispatchers which instances are live.
func (p *peers) updateInstances() {
	p.updatePlacement()
	p.updateReaders()
	names := p.liveNames()
	for _, s := range p.gateway.sortedServices() {
		s.dispatcher.SetInstances(p.gateway.now(), p.gateway.settings.Instance, names)
	}
}

func (p *peers) start(background *tasks.Group) {
	background.Go("gossip", p.gossip.Run)
	background.Go("peer_pulls", p.pullLoop)
	background.Go("queued_peer_pulls", p.pullQueued)
	background.Go("load_reports", p.reports.run)
	background.Go("stream_origins", p.spreadOrigins)
	background.Go("stream_origin_copies", p.copyOrigins)
}

// settled reports whether this instance knows what its peers refuse, or need not wait for them any longer.
func (p *peers) settled() bool { return p == nil || p.joining.Settled() }

// tickJoining ends the wait for peers when its time is over.
func (p *peers) tickJoining(now time.Duration) {
	if p == nil || p.joining.Settled() {
		return
	}
	p.joining.Tick(now)
	p.logJoined()
}

// logJoined logs that this instance has finished joining, if it has.
func (p *peers) logJoined() {
	if reason := p.joining.Reason(); reason != joining.Joining && p.joinLogged.CompareAndSwap(false, true) {
		p.gateway.log.WithFields(logrus.Fields{"event": eventlog.Joined, "reason": string(reason), "after_ms": p.gateway.now().Milliseconds()}).Info("instance may serve")
	}
}

func (p *peers) leave() { p.gossip.Leave() }

func (p *peers) close() {
	if err := p.node.Close(); err != nil {
		p.gateway.log.WithFields(logrus.Fields{"event": eventlog.PeerListenerFailed, "error": err.Error()}).Warn("failed to close peer listener")
	}
}

// pullLoop requests snapshots from peers: at every interval while the platform is
// unavailable or removals are deferred, and every idlePullIntervals intervals otherwise.
func (p *peers) pullLoop(ctx context.Context) error {
	intervals := 0
	return periodic.Run(ctx, pullInterval, func() {
		intervals++
		deferred, _ := p.gateway.platformWatcher.replica.Pending()
		if p.platformUnavailable() || deferred > 0 || intervals >= idlePullIntervals {
			intervals = 0
			if live := p.livePeers(); len(live) > 0 {
				position, _ := p.gateway.platformWatcher.replica.Position()
				p.pull(ctx, live[mathrand.IntN(len(live))], position)
			}
		}
	})
}

// pullRefused pulls the configuration and the refused requests, but no snapshot.
func (p *peers) pullRefused(ctx context.Context, member membership.Member) {
	p.pull(ctx, member, replica.Position{Era: math.MaxUint64, Revision: math.MaxUint64})
}

// pullQueued pulls from the peers in the pull queue: while this instance is joining, from all at once.
func (p *peers) pullQueued(ctx context.Context) error {
	for {
		select {
		case <-ctx.Done():
			return nil
		case member := <-p.pullQueue:
			if !p.joining.Settled() {
				go p.pullRefused(ctx, member)
				continue
			}
			p.pullRefused(ctx, member)
		}
		select {
		case <-ctx.Done():
		case <-time.After(pullInterval):
		}
	}
}

func (p *peers) platformUnavailable() bool {
	return p.gateway.platformWatcher.replica.Unavailable() || !p.gateway.platformWatcher.hasSnapshot()
}

// newPullMessage returns a request for what a peer knows beyond this instance, with a snapshot if the peer's is
// after the position.
func (p *peers) newPullMessage(after replica.Position) pullMessage {
	version, at := p.gateway.configurationPosition()
	return pullMessage{Era: after.Era, Revision: after.Revision, ConfigurationVersion: version, ConfigurationAt: at, Brief: true,
		RefusedDigest: p.gateway.quarantine.RefusedDigest(p.gateway.now())}
}

// pull requests what a peer knows beyond this instance, with the changes after the position. What is too large for
// that is copied only if the platform does not send it.
func (p *peers) pull(ctx context.Context, member membership.Member, after replica.Position) {
	request := p.newPullMessage(after)
	request.Deferred = p.gateway.platformWatcher.replica.Deferred(maxDeferredPerPull)
	reply, ok := p.pullOnce(ctx, member, request, peerCallTimeout)
	switch {
	case !ok:
	case p.needsCopy(reply.Brief):
		go p.copyFrom(ctx, member, after, reply)
	default:
		p.recordJoinAnswer(member, reply)
	}
}

// copyFrom copies what the brief answer of a peer does not hold, one copy at a time. An instance that joins waits for
// its turn, since what the peer has in force may be in the copy.
func (p *peers) copyFrom(ctx context.Context, member membership.Member, after replica.Position, brief pushMessage) {
	if !p.copyMu.TryLock() {
		if p.joining.Settled() {
			return
		}
		p.copyMu.Lock()
	}
	defer p.copyMu.Unlock()
	if p.needsCopy(brief.Brief) {
		request := p.newPullMessage(after)
		request.Brief = false
		if _, ok := p.pullOnce(ctx, member, request, copyTimeout); !ok {
			return
		}
	}
	p.recordJoinAnswer(member, brief)
}

// recordJoinAnswer records that a peer has told this instance all it knows.
func (p *peers) recordJoinAnswer(member membership.Member, reply pushMessage) {
	p.joining.Answered(p.gateway.now(), member.UDP, reply.Settled)
	p.logJoined()
}

// pullOnce sends a pull and applies the answer.
func (p *peers) pullOnce(ctx context.Context, member membership.Member, request pullMessage, timeout time.Duration) (pushMessage, bool) {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	reply, err := p.exchangePull(ctx, member, request)
	if err != nil {
		p.logCallFailure("pull", member.Name, err)
		return reply, false
	}
	p.applyPush(member, reply)
	return reply, true
}

func (p *peers) applyPush(member membership.Member, reply pushMessage) {
	p.gateway.versions.Merge(p.gateway.now(), reply.Versions)
	p.gateway.mergeEvacuations(reply.Evacuations, member.Name)
	if reply.Snapshot != nil && p.gateway.completeSnapshot(reply.Snapshot) {
		p.gateway.platformWatcher.mergePeerSnapshot(*reply.Snapshot, member.Name)
	}
	if reply.Brief != nil && len(reply.Brief.Changes) > 0 {
		p.gateway.platformWatcher.applyChanges(reply.Brief.Changes, reply.Brief.ChangesTo, member.Name)
	}
	p.gateway.platformWatcher.confirmRemovals(reply.Removed, member.Name)
	if reply.Configuration != nil {
		p.gateway.applyConfigurationItem(*reply.Configuration, member.Name)
	}
	if len(reply.Suspicions) > 0 {
		p.gateway.log.WithFields(logrus.Fields{"event": eventlog.CrashesReceived, "peer": member.Name, "suspects": len(reply.Suspicions)}).Info("crashes received from a peer")
		p.gateway.mergeSuspicions(reply.Suspicions)
	}
}

func (p *peers) logCallFailure(call, name string, err error) {
	p.gateway.log.WithFields(logrus.Fields{"event": eventlog.PeerCallFailed, "call": call, "peer": name, "error": err.Error()}).Debug("peer call failed")
}

// broadcast sends a message that needs no answer. An unreachable peer does not delay the
// others.
func (p *peers) broadcast(ctx context.Context, members []membership.Member, m peerwire.Message) {
	for _, member := range members {
		go func() {
			ctx, cancel := context.WithTimeout(ctx, peerCallTimeout)
			defer cancel()
			if err := p.node.Notify(ctx, member.TCP, m); err != nil {
				p.logCallFailure(m.Type().String(), member.Name, err)
			}
		}()
	}
}

// awaitInitialized waits until the instance may handle messages: the socket is open before.
func (p *peers) awaitInitialized(ctx context.Context) error {
	select {
	case <-p.initialized:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// handleMessage handles a message from a peer and returns the answer.
func (p *peers) handleMessage(ctx context.Context, from peerwire.Identity, m peerwire.Message) (peerwire.Message, error) {
	if err := p.awaitInitialized(ctx); err != nil {
		return nil, err
	}
	switch m := m.(type) {
	case peerwire.ReplicaPull:
		return p.handlePull(ctx, m)
	case peerwire.StreamOrigins:
		return nil, p.handleOrigins(m)
	case peerwire.StreamOriginQuery:
		return p.handleOriginQuery(m)
	case peerwire.DispatchReport:
		return nil, p.reports.receive(from, m.Payload)
	case peerwire.Suspicions:
		var suspicions []quarantine.Suspicion
		if err := msgpack.Unmarshal(m.Payload, &suspicions); err != nil {
			return nil, errors.Wrap(err, "suspicions")
		}
		p.gateway.log.WithFields(logrus.Fields{"event": eventlog.CrashesReceived, "peer": from.Name, "suspects": len(suspicions)}).Debug("broadcast of a crash received")
		p.gateway.mergeSuspicions(suspicions)
		return nil, nil
	}
	return nil, errors.Errorf("unexpected message of type %s from %s", m.Type(), from.Name)
}

func (p *peers) handlePull(ctx context.Context, m peerwire.ReplicaPull) (peerwire.Message, error) {
	var request pullMessage
	if err := msgpack.Unmarshal(m.Payload, &request); err != nil {
		return nil, errors.Wrap(err, "pull")
	}
	after := replica.Position{Era: request.Era, Revision: request.Revision}
	if request.Follow.Confirm {
		return p.encodePush(answerChanges, pushMessage{Follow: p.gateway.platformWatcher.confirmFollower(ctx, after)})
	}
	if wait := time.Duration(request.Follow.WaitMS) * time.Millisecond; wait > 0 {
		return p.encodePush(answerChanges, pushMessage{Follow: p.gateway.platformWatcher.serveFollower(ctx, after, wait)})
	}
	reply := pushMessage{
		Versions: p.gateway.versions.Observations(p.gateway.now(), p.gateway.platformWatcher.isCurrent()),
		Settled:  p.settled(),
		Removed:  p.gateway.platformWatcher.replica.Removed(request.Deferred),

		Evacuations: p.gateway.evacuations.Records(),
	}
	if request.Brief {
		reply.Brief = p.newBriefAnswer(after, request.ConfigurationVersion)
	} else {
		reply.Snapshot = p.gateway.platformWatcher.snapshotAfter(after, request.ConfigurationAt)
		reply.Configuration = p.gateway.configurationNewerThan(request.ConfigurationVersion)
		if reply.Snapshot != nil && reply.Configuration != nil && reply.Snapshot.Holds(reply.Configuration) {
			reply.Configuration = nil // once is enough: it may fill half of a message
		}
	}
	if now := p.gateway.now(); p.gateway.quarantine.RefusedDigest(now) != request.RefusedDigest {
		reply.Suspicions = p.gateway.quarantine.Refused(now, maxSuspicionsPerPull)
	}
	content := answerChanges
	if reply.Snapshot != nil || reply.Configuration != nil {
		content = answerCopy
	}
	return p.encodePush(content, reply)
}

// Contents of answers to pulls, in metrics.
const (
	answerChanges = "changes"
	answerCopy    = "copy" // with all entries, or the configuration
)

func (p *peers) encodePush(content string, reply pushMessage) (peerwire.Message, error) {
	payload, err := msgpack.Marshal(reply)
	if err != nil {
		return nil, errors.Wrap(err, "push")
	}
	p.gateway.metrics.pullAnswerBytes.WithLabelValues(content).Add(float64(len(payload)))
	return peerwire.ReplicaPush{Payload: payload}, nil
}

// snapshotAfter returns a snapshot of the replica if it is after a position, nil otherwise. Entries that are too large
// to be of an upstream have no value in it: the whole must fit into one message. Neither has the configuration of
// position heldConfiguration, which the receiver has.
func (w *platformWatcher) snapshotAfter(position, heldConfiguration replica.Position) *replica.Snapshot {
	current, ok := w.replica.Position()
	if !ok || current.Compare(position) <= 0 {
		return nil
	}
	snapshot := w.replica.Snapshot()
	for i, item := range snapshot.Items {
		omit := len(item.Value) > MaxUpstreamEntryBytes
		if w.gateway.adapter.Decoder.IsConfiguration(item.Key) {
			omit = item.Position() == heldConfiguration
		}
		if omit {
			snapshot.Items[i].Value = nil
		}
	}
	return &snapshot
}

// mergeSuspicions adds suspicions from a peer and tells the other instances which parts of prompts
// this instance knows to be harmless.
func (g *Gateway) mergeSuspicions(suspicions []quarantine.Suspicion) {
	g.broadcastSuspicions(g.quarantine.Merge(g.now(), suspicions))
}

// broadcastSuspicions sends suspicions to the other instances.
func (g *Gateway) broadcastSuspicions(suspicions []quarantine.Suspicion) {
	if g.peers == nil || len(suspicions) == 0 {
		return
	}
	payload, err := msgpack.Marshal(suspicions)
	if err != nil {
		g.peers.logCallFailure("suspicions", "all", err)
		return
	}
	g.peers.broadcast(context.Background(), g.peers.livePeers(), peerwire.Suspicions{Payload: payload})
}
