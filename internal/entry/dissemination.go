package entry

import (
	"context"
	"maps"
	"math/rand/v2"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/pkg/errors"
	"github.com/sirupsen/logrus"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/yuccabridge/yuccabridge/internal/coordination/membership"
	"github.com/yuccabridge/yuccabridge/internal/coordination/pressure"
	"github.com/yuccabridge/yuccabridge/internal/coordination/quarantine"
	"github.com/yuccabridge/yuccabridge/internal/coordination/scheduler"
	"github.com/yuccabridge/yuccabridge/internal/periodic"
	"github.com/yuccabridge/yuccabridge/internal/protocol/peerwire"
	"github.com/yuccabridge/yuccabridge/internal/protocol/platformapi"
	"github.com/yuccabridge/yuccabridge/internal/transport/platform"
)

const (
	// metadataInterval is how often the gossiped pressure is refreshed.
	metadataInterval = 200 * time.Millisecond
	// instanceListInterval is how often a reader polls the platform's instance list.
	instanceListInterval = 500 * time.Millisecond
	// readerTimeout is the time without a list after which instances other than the readers
	// poll the platform. The readers resend an unchanged list every leavingResendInterval.
	readerTimeout = 2*leavingResendInterval + time.Second
	// leavingResendInterval is how often a reader resends an unchanged list to its failure domain.
	leavingResendInterval = 2 * time.Second
	// leavingListTTL is how long a reader's list stays valid without being resent.
	leavingListTTL = 10 * time.Second
	// maxSuspicionsPerMessage keeps a message far below the frame size limit.
	maxSuspicionsPerMessage = 512
	// suspicionResendInterval is how often an instance sends the requests that it refuses to one
	// other instance. A broadcast does not reach instances that are cut off at that moment.
	suspicionResendInterval = 3 * time.Second
	// domainPressureSource is the peer name under which the schedulers record the merged
	// pressure of the failure domain.
	domainPressureSource = "domain"
)

// publishMetadata updates the metadata that this instance gossips: its configuration
// revision and the pressure entries of pools that shed requests.
func (in *Instance) publishMetadata() {
	if in.peers == nil {
		return
	}
	now := in.now()
	for _, p := range in.sortedPools() {
		if shed := p.queue.Pressure(now).HighestShed; shed > 0 {
			in.pressure.RecordShed(now, pressurePool(p.name), shed)
		}
	}
	var revision uint64
	if r := in.routes.Load(); r != nil {
		revision = r.revision
	}
	in.peers.membership.SetMetadata(now, revision, in.pressure.Encode(now, membership.MaxPressureBytes))
}

func pressurePool(name string) pressure.Pool { return pressure.Pool(xxhash.Sum64String(name)) }

// handlePeerMetadata processes the metadata of another instance. Pressure is used only
// within the failure domain.
func (in *Instance) handlePeerMetadata(now time.Duration, m membership.Member) {
	if in.config != nil {
		in.config.executeActions(in.config.machine.ObserveRevision(now, m.Incarnation.Process, m.Revision))
	}
	if m.Domain != in.settings.FailureDomain {
		return
	}
	in.pressure.Merge(now, m.Pressure, m.PressureAge)
	for _, p := range in.sortedPools() {
		tier, age := in.pressure.HighestShed(now, pressurePool(p.name))
		p.queue.MergePressure(now, domainPressureSource, scheduler.Pressure{HighestShed: tier}, age)
	}
}

// updateMembers passes the live instances to the balancers and the configuration driver.
func (in *Instance) updateMembers(members []membership.Member) {
	now := in.now()
	names := []string{in.settings.Instance}
	for _, m := range members {
		if m.Domain == in.settings.FailureDomain {
			names = append(names, m.Name)
		}
	}
	slices.Sort(names)
	in.configMu.Lock()
	in.domainInstances = names
	in.configMu.Unlock()
	for _, p := range in.sortedPools() {
		p.balancer.SetPeers(now, names)
	}
	if in.config != nil {
		in.config.setMembers(members)
	}
}

// broadcastSuspicions sends suspicions to the other instances of the region. The returned channel is
// closed when all of them have answered or can't be reached.
func (in *Instance) broadcastSuspicions(suspicions []quarantine.Suspicion) <-chan struct{} {
	done := make(chan struct{})
	if in.peers == nil || len(suspicions) == 0 {
		close(done)
		return done
	}
	go func() {
		defer close(done)
		in.peers.sendSuspicions(in.peers.liveMembers(), suspicions)
	}()
	return done
}

// reportCrash sends the suspicions after a crash and waits for the other instances, at most for the crash
// report timeout: another instance that receives a resend of the request must already have the suspicion.
func (in *Instance) reportCrash(suspicions []quarantine.Suspicion) {
	select {
	case <-in.broadcastSuspicions(suspicions):
	case <-time.After(in.crashReportTimeout):
	}
}

// defaultCrashReportTimeout bounds how long an attempt that crashed its upstream waits for the other
// instances. Instances on busy machines answer within a few hundred milliseconds; one that answers nothing
// delays the final response of a crashing request by this time.
const defaultCrashReportTimeout = 500 * time.Millisecond

func (g *peerGroup) sendSuspicions(to []membership.Member, suspicions []quarantine.Suspicion) {
	for chunk := range slices.Chunk(suspicions, maxSuspicionsPerMessage) {
		payload, err := msgpack.Marshal(chunk)
		if err != nil {
			panic(err) // encoding plain structs cannot fail
		}
		g.sendToAll(to, peerwire.Suspicions{Payload: payload})
	}
}

// resendSuspicions sends the requests that are refused here to a random instance.
func (g *peerGroup) resendSuspicions() {
	members := g.liveMembers()
	if len(members) == 0 {
		return
	}
	refused := g.instance.quarantine.Refused(g.instance.now(), maxSuspicionsPerMessage)
	if len(refused) > 0 {
		g.sendSuspicions([]membership.Member{members[rand.IntN(len(members))]}, refused)
	}
}

func (g *peerGroup) receiveSuspicions(payload []byte) error {
	var list []quarantine.Suspicion
	if err := msgpack.Unmarshal(payload, &list); err != nil {
		return errors.Wrap(err, "decode suspicions")
	}
	if len(list) > maxSuspicionsPerMessage {
		return errors.Errorf("%d suspicions in one message, the limit is %d", len(list), maxSuspicionsPerMessage)
	}
	g.instance.broadcastSuspicions(g.instance.quarantine.Merge(g.instance.now(), list))
	return nil
}

// leavingLists holds the leaving upstreams reported by each reader of the failure domain.
type leavingLists struct {
	mu             sync.Mutex
	sources        map[[16]byte]leavingList
	lastReceivedAt time.Duration // when the latest list was received
}

// lastReceived returns when the latest list was received.
func (l *leavingLists) lastReceived() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.lastReceivedAt
}

type leavingList struct {
	names      []string
	receivedAt time.Duration
}

// update stores the list of a source and returns the union of all lists that have not
// expired. The list of a reader that stops reporting stays valid until it expires: a stale
// entry only keeps new requests away from an upstream.
func (l *leavingLists) update(now time.Duration, source [16]byte, names []string) map[string]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sources == nil {
		l.sources = map[[16]byte]leavingList{}
	}
	l.sources[source] = leavingList{names: names, receivedAt: now}
	l.lastReceivedAt = now
	union := map[string]bool{}
	for id, list := range l.sources {
		if now-list.receivedAt > leavingListTTL {
			delete(l.sources, id)
			continue
		}
		for _, name := range list.names {
			union[name] = true
		}
	}
	return union
}

// instanceListPoller polls the platform's instance list and distributes the leaving
// upstreams to the failure domain.
type instanceListPoller struct {
	instance   *Instance
	client     *platform.Client
	rng        *rand.Rand
	lastSent   []string
	lastSentAt time.Duration
	invalid    int // entries of the last list that describe no instance
}

func (in *Instance) pollInstanceList(ctx context.Context) error {
	poller := &instanceListPoller{instance: in, client: in.config.platform, rng: in.newRand("instances")}
	return periodic.Run(ctx, instanceListInterval, poller.poll)
}

// poll reads the instance list if this instance is a reader, a substitute for one, or has
// not joined its peers. It distributes the names of leaving upstreams.
func (p *instanceListPoller) poll() {
	notJoined := p.instance.peers != nil && !p.instance.peers.membership.Joined()
	if p.instance.peers != nil && !notJoined && !p.instance.peers.isPlatformReader() && !p.shouldSubstitute() {
		return
	}
	result := p.client.Instances()
	if result.Outcome != platform.OK {
		return
	}
	p.logInvalid(result)
	if notJoined {
		p.instance.peers.addPlatformSeeds(result.Instances)
	}
	names := []string{}
	for _, i := range result.Instances {
		if i.State == platformapi.Leaving {
			names = append(names, i.Name)
		}
	}
	slices.Sort(names)
	p.instance.setLeaving(p.instance.selfProcess(), names)
	p.distribute(names)
}

// logInvalid logs entries that describe no instance when their number changes.
func (p *instanceListPoller) logInvalid(result platform.InstancesResult) {
	if result.Invalid != p.invalid && result.Invalid > 0 {
		p.instance.log.WithFields(logrus.Fields{"event": "instance_entries_invalid", "entries": result.Invalid, "error": result.InvalidErr.Error()}).Warn("entries of the instance list describe no instance")
	}
	p.invalid = result.Invalid
}

// shouldSubstitute reports whether this instance polls although it is not a reader, because
// no list has been received for readerTimeout: the readers may have lost their connection
// to the platform. The members of a failure domain poll at random, together about once a
// second.
func (p *instanceListPoller) shouldSubstitute() bool {
	if p.instance.now()-p.instance.leavingLists.lastReceived() < readerTimeout {
		return false
	}
	members := len(p.instance.peers.domainMembers()) + 1
	return p.rng.Float64() < instanceListInterval.Seconds()/float64(members)
}

// distribute sends the list to the failure domain if it has changed or
// leavingResendInterval has passed.
func (p *instanceListPoller) distribute(names []string) {
	now := p.instance.now()
	if p.instance.peers == nil || slices.Equal(names, p.lastSent) && now-p.lastSentAt < leavingResendInterval {
		return
	}
	p.lastSent, p.lastSentAt = names, now
	payload, err := msgpack.Marshal(names)
	if err != nil {
		panic(err) // encoding a list of strings cannot fail
	}
	p.instance.peers.sendToAll(p.instance.peers.domainMembers(), peerwire.LeavingUpstreams{Payload: payload})
}

func (in *Instance) receiveLeaving(from [16]byte, payload []byte) error {
	var names []string
	if err := msgpack.Unmarshal(payload, &names); err != nil {
		return errors.Wrap(err, "decode leaving upstreams")
	}
	in.setLeaving(from, names)
	return nil
}

// setLeaving updates the set of leaving upstreams, which receive no new requests.
func (in *Instance) setLeaving(source [16]byte, names []string) {
	union := in.leavingLists.update(in.now(), source, names)
	in.configMu.Lock()
	defer in.configMu.Unlock()
	if maps.Equal(union, in.leaving) {
		return
	}
	in.leaving = union
	in.log.WithField("event", "leaving_changed").WithField("leaving", len(union)).Info("set of leaving upstreams changed")
	r := in.routes.Load()
	if r == nil {
		return
	}
	in.configurePools(r.deployment)
}

// selfProcess returns the process ID of this instance, or zero without peers.
func (in *Instance) selfProcess() [16]byte {
	if in.peers == nil {
		return [16]byte{}
	}
	return in.peers.self.Incarnation.Process
}
