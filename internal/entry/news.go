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
	// valuesInterval is how often the pressure that members see is renewed.
	valuesInterval = 200 * time.Millisecond
	// instancesInterval is how often a reader asks the platform for its list.
	instancesInterval = 500 * time.Millisecond
	// readerSilence is how long no list may come until others than the readers read. The
	// readers repeat an unchanged list every leavingRepeat.
	readerSilence = 2*leavingRepeat + time.Second
	// leavingRepeat is how often a reader repeats an unchanged list to its domain.
	leavingRepeat = 2 * time.Second
	// leavingLifetime is how long the list of a reader counts that is not heard again.
	leavingLifetime = 10 * time.Second
	// maxSuspicionsPerMessage keeps a message far below the frame limit.
	maxSuspicionsPerMessage = 512
	// domainPressure names the merged pressure of the failure domain to the schedulers.
	domainPressure = "domain"
)

// reportValues sets what the failure detector tells others about this instance. Only
// pools that shed are listed.
func (in *Instance) reportValues() {
	if in.peers == nil {
		return
	}
	now := in.now()
	for _, p := range in.poolList() {
		if shed := p.sched.Pressure(now).HighestShed; shed > 0 {
			in.pressure.RecordShed(now, poolHash(p.name), shed)
		}
	}
	var revision uint64
	if r := in.routes.Load(); r != nil {
		revision = r.revision
	}
	in.peers.members.SetMetadata(now, revision, in.pressure.Encode(now, membership.MaxPressureBytes))
}

func poolHash(name string) pressure.Pool { return pressure.Pool(xxhash.Sum64String(name)) }

// peerReported takes the values of another instance. Pressure counts within the
// failure domain.
func (in *Instance) peerReported(now time.Duration, m membership.Member) {
	if in.config != nil {
		in.config.carryOut(in.config.machine.ObserveRevision(now, m.Incarnation.Process, m.Revision))
	}
	if m.Domain != in.settings.FailureDomain {
		return
	}
	in.pressure.Merge(now, m.Pressure, m.PressureAge)
	for _, p := range in.poolList() {
		tier, age := in.pressure.HighestShed(now, poolHash(p.name))
		p.sched.MergePressure(now, domainPressure, scheduler.Pressure{HighestShed: tier}, age)
	}
}

// setMembers tells the balancers and the configuration which instances are live.
func (in *Instance) setMembers(members []membership.Member) {
	now := in.now()
	names := []string{in.settings.Instance}
	for _, m := range members {
		if m.Domain == in.settings.FailureDomain {
			names = append(names, m.Name)
		}
	}
	slices.Sort(names)
	in.configuring.Lock()
	in.domainPeers = names
	in.configuring.Unlock()
	for _, p := range in.poolList() {
		p.bal.SetPeers(now, names)
	}
	if in.config != nil {
		in.config.setMembers(members)
	}
}

// spread sends suspicions to the other instances of the region. It returns when each
// has got them or a short time has passed, so that a resend of the request through
// another instance meets the suspicion.
func (in *Instance) spread(s []quarantine.Suspicion) {
	if in.peers == nil || len(s) == 0 {
		return
	}
	done := make(chan struct{})
	go func() {
		defer close(done)
		in.peers.sendSuspicions(in.peers.all(), s)
	}()
	select {
	case <-done:
	case <-time.After(spreadWait):
	}
}

// spreadWait bounds how long the end of a failed attempt waits for the spreading. Links
// take 1.5 ms one way, so live peers answer well within it.
const spreadWait = 20 * time.Millisecond

func (g *peerGroup) sendSuspicions(to []membership.Member, s []quarantine.Suspicion) {
	for part := range slices.Chunk(s, maxSuspicionsPerMessage) {
		b, err := msgpack.Marshal(part)
		if err != nil {
			panic(err) // suspicions are plain structs
		}
		g.toAll(to, peerwire.Suspicions{Payload: b})
	}
}

func (g *peerGroup) receiveSuspicions(b []byte) error {
	var list []quarantine.Suspicion
	if err := msgpack.Unmarshal(b, &list); err != nil {
		return errors.Wrap(err, "decode suspicions")
	}
	if len(list) > maxSuspicionsPerMessage {
		return errors.Errorf("%d suspicions in one message, the limit is %d", len(list), maxSuspicionsPerMessage)
	}
	g.in.quarantine.Merge(g.in.now(), list)
	return nil
}

// leavingLists holds the upstreams that leave, as each reader of the domain reports them.
type leavingLists struct {
	mu      sync.Mutex
	sources map[[16]byte]leavingList
	heard   time.Duration // when the last list came
}

// lastHeard is when the last list came.
func (l *leavingLists) lastHeard() time.Duration {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.heard
}

type leavingList struct {
	names []string
	heard time.Duration
}

// put stores the list of a source and returns the union of all lists that still count.
// A missing reader takes nothing back at once: a list that errs keeps new work away.
func (l *leavingLists) put(now time.Duration, source [16]byte, names []string) map[string]bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.sources == nil {
		l.sources = map[[16]byte]leavingList{}
	}
	l.sources[source] = leavingList{names: names, heard: now}
	l.heard = now
	union := map[string]bool{}
	for id, list := range l.sources {
		if now-list.heard > leavingLifetime {
			delete(l.sources, id)
			continue
		}
		for _, name := range list.names {
			union[name] = true
		}
	}
	return union
}

// instanceReader polls the platform's list for its domain.
type instanceReader struct {
	in       *Instance
	client   *platform.Client
	rng      *rand.Rand
	sent     []string
	sentTime time.Duration
}

func (in *Instance) readInstances(ctx context.Context) error {
	r := &instanceReader{in: in, client: in.config.platform, rng: in.random("instances")}
	return periodic.Run(ctx, instancesInterval, r.poll)
}

// poll reads the list when this instance is a reader and passes on what leaves.
func (r *instanceReader) poll() {
	alone := r.in.peers != nil && !r.in.peers.members.Joined()
	if r.in.peers != nil && !alone && !r.in.peers.isReader() && !r.standIn() {
		return
	}
	result := r.client.Instances()
	if result.Outcome != platform.OK {
		return
	}
	if alone {
		r.in.peers.seedFrom(result.Instances)
	}
	names := []string{}
	for _, i := range result.Instances {
		if i.State == platformapi.Leaving {
			names = append(names, i.Name)
		}
	}
	slices.Sort(names)
	r.in.setLeaving(r.in.selfProcess(), names)
	r.pass(names)
}

// standIn reports whether this instance reads although it is no reader: no reader has
// been heard for a while, since they may be cut off from the platform. All such
// members of a domain together read about once a second.
func (r *instanceReader) standIn() bool {
	if r.in.now()-r.in.leavingLists.lastHeard() < readerSilence {
		return false
	}
	members := len(r.in.peers.ownDomain()) + 1
	return r.rng.Float64() < instancesInterval.Seconds()/float64(members)
}

// pass sends the list to the domain when it has changed, and repeats it now and then.
func (r *instanceReader) pass(names []string) {
	now := r.in.now()
	if r.in.peers == nil || slices.Equal(names, r.sent) && now-r.sentTime < leavingRepeat {
		return
	}
	r.sent, r.sentTime = names, now
	b, err := msgpack.Marshal(names)
	if err != nil {
		panic(err) // a list of strings always encodes
	}
	r.in.peers.toAll(r.in.peers.ownDomain(), peerwire.LeavingUpstreams{Payload: b})
}

func (in *Instance) receiveLeaving(from [16]byte, b []byte) error {
	var names []string
	if err := msgpack.Unmarshal(b, &names); err != nil {
		return errors.Wrap(err, "decode leaving upstreams")
	}
	in.setLeaving(from, names)
	return nil
}

// setLeaving keeps new work away from upstreams that leave.
func (in *Instance) setLeaving(source [16]byte, names []string) {
	union := in.leavingLists.put(in.now(), source, names)
	in.configuring.Lock()
	defer in.configuring.Unlock()
	if maps.Equal(union, in.leaving) {
		return
	}
	in.leaving = union
	in.log.WithField("event", "leaving_changed").WithField("leaving", len(union)).Info("upstreams that leave have changed")
	r := in.routes.Load()
	if r == nil {
		return
	}
	in.configurePools(r.deployment)
}

// selfProcess identifies this instance among the sources of lists.
func (in *Instance) selfProcess() [16]byte {
	if in.peers == nil {
		return [16]byte{}
	}
	return in.peers.self.Incarnation.Process
}
