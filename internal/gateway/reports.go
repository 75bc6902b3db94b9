package gateway

import (
	"bytes"
	"cmp"
	"context"
	"math"
	"slices"
	"sync"
	"time"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/yuccabridge/yuccabridge/internal/coordination/dispatch"
	"github.com/yuccabridge/yuccabridge/internal/coordination/membership"
	"github.com/yuccabridge/yuccabridge/internal/protocol/peerwire"
)

const (
	// reportInterval is how often an instance reports its load at the upstreams.
	reportInterval = 100 * time.Millisecond
	// relayedReportInterval replaces reportInterval when reports are relayed; each relay
	// adds a delay of one interval.
	relayedReportInterval = 200 * time.Millisecond
	// maxDirectPeers is the number of peers up to which each instance reports to all others
	// directly. The number of messages grows with the square of the number of instances.
	maxDirectPeers = 15
	// minGroupSize is the minimum number of instances that share a relay.
	minGroupSize = 6
)

// originReport is the load of one instance at the upstreams, by service.
type originReport struct {
	Origin   string // process ID of the instance
	Sequence uint64 // counts the reports of the origin
	Services map[string]dispatch.Report
}

// reportBatch is a message with the reports of one or more instances.
type reportBatch struct {
	// Relayed is set on a batch that a relay sends to the relays of other groups. They
	// forward it only within their own groups.
	Relayed bool
	Reports []originReport
}

// encodeCompact encodes a message that is sent often, possibly over slow links, without the names of
// its fields.
func encodeCompact(message any) ([]byte, error) {
	var buf bytes.Buffer
	enc := msgpack.NewEncoder(&buf)
	enc.UseCompactInts(true)
	enc.UseArrayEncodedStructs(true)
	if err := enc.Encode(message); err != nil {
		return nil, errors.Wrapf(err, "encode %T", message)
	}
	return buf.Bytes(), nil
}

// reportExchange exchanges load reports with the other instances. In a small fleet, each
// instance sends its reports to all others directly. In a larger one, instances form
// groups: each sends its reports to the relay of its group, which forwards the group's
// reports to its members and to the other relays. With n instances in g groups this takes
// about 2n + g*g messages instead of n*n. The groups are derived from the names of the live
// instances, which all instances know. Until the failure of a relay is detected, its group
// continues with the last reports it received.
type reportExchange struct {
	peers *peers

	mu           sync.Mutex
	groupQueue   []originReport    // waiting to be forwarded to the own group
	relayQueue   []originReport    // waiting to be forwarded to the other relays
	lastSequence map[string]uint64 // sequence number of the last report, by origin
	sequence     uint64            // of this instance's last report
}

func newReportExchange(p *peers) *reportExchange {
	return &reportExchange{peers: p, lastSequence: map[string]uint64{}}
}

func (r *reportExchange) run(ctx context.Context) error {
	timer := time.NewTimer(reportInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		if live := r.peers.livePeers(); len(live) <= maxDirectPeers {
			r.sendDirect(ctx, live)
			timer.Reset(reportInterval)
		} else {
			r.sendRelayed(ctx, newRelayTopology(r.peers.self, live))
			timer.Reset(relayedReportInterval)
		}
	}
}

// collect returns this instance's own report; ok is false if there is nothing to report.
func (r *reportExchange) collect() (own originReport, ok bool) {
	own = originReport{Origin: r.peers.self.Incarnation.Process.String(), Services: map[string]dispatch.Report{}}
	for _, s := range r.peers.gateway.sortedServices() {
		if report := s.dispatcher.Collect(r.peers.gateway.now()); !report.Empty() {
			own.Services[s.name] = report
		}
	}
	if len(own.Services) == 0 {
		return own, false
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.sequence++
	own.Sequence = r.sequence
	return own, true
}

func (r *reportExchange) sendDirect(ctx context.Context, live []membership.Member) {
	if own, ok := r.collect(); ok {
		r.send(ctx, live, reportBatch{Reports: []originReport{own}})
	}
}

func (r *reportExchange) sendRelayed(ctx context.Context, topology relayTopology) {
	own, ok := r.collect()
	if !topology.isRelay {
		if ok {
			r.send(ctx, []membership.Member{topology.relay}, reportBatch{Reports: []originReport{own}})
		}
		return
	}
	r.mu.Lock()
	toGroup, toRelays := r.groupQueue, r.relayQueue
	r.groupQueue, r.relayQueue = nil, nil
	r.mu.Unlock()
	if ok {
		toGroup, toRelays = append(toGroup, own), append(toRelays, own)
	}
	if len(toGroup) > 0 {
		r.send(ctx, topology.members, reportBatch{Reports: toGroup})
	}
	if len(toRelays) > 0 {
		r.send(ctx, topology.relays, reportBatch{Relayed: true, Reports: toRelays})
	}
}

func (r *reportExchange) send(ctx context.Context, members []membership.Member, batch reportBatch) {
	payload, err := encodeCompact(batch)
	if err != nil {
		r.peers.logCallFailure("report", "all", err)
		return
	}
	r.peers.broadcast(ctx, members, peerwire.DispatchReport{Payload: payload})
}

// maxQueuedReports bounds each queue of reports waiting to be forwarded.
const maxQueuedReports = 1024

// receive merges the reports of a peer and queues those that this instance forwards as a
// relay.
func (r *reportExchange) receive(_ peerwire.Identity, payload []byte) error {
	var batch reportBatch
	if err := msgpack.Unmarshal(payload, &batch); err != nil {
		return errors.Wrap(err, "report")
	}
	fresh := r.dropDuplicates(batch.Reports)
	for _, report := range fresh {
		for name, load := range report.Services {
			if s := r.peers.gateway.lookupService(name); s != nil {
				s.dispatcher.Merge(r.peers.gateway.now(), report.Origin, load)
			}
		}
	}
	live := r.peers.livePeers()
	if len(live) <= maxDirectPeers || !newRelayTopology(r.peers.self, live).isRelay {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.groupQueue = appendBounded(r.groupQueue, fresh)
	if !batch.Relayed {
		r.relayQueue = appendBounded(r.relayQueue, fresh)
	}
	return nil
}

// dropDuplicates returns the reports that have not been received before. While instances
// disagree about which peers are alive, they disagree about the groups, and a report may
// arrive by several paths.
func (r *reportExchange) dropDuplicates(received []originReport) []originReport {
	self := r.peers.self.Incarnation.Process.String()
	r.mu.Lock()
	defer r.mu.Unlock()
	fresh := make([]originReport, 0, len(received))
	for _, report := range received {
		if report.Origin == self || report.Sequence <= r.lastSequence[report.Origin] {
			continue
		}
		r.lastSequence[report.Origin] = report.Sequence
		fresh = append(fresh, report)
	}
	return fresh
}

// forgetOrigin discards the state kept for an origin that is gone.
func (r *reportExchange) forgetOrigin(origin string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.lastSequence, origin)
}

func appendBounded(queue, received []originReport) []originReport {
	return append(queue, received[:min(len(received), max(0, maxQueuedReports-len(queue)))]...)
}

// groupSize returns the number of instances that share a relay. It is about the number of
// groups, which keeps the number of recipients of a relay low: the links of relays may be
// slow.
func groupSize(instances int) int {
	return max(minGroupSize, int(math.Ceil(math.Sqrt(float64(instances)))))
}

// relayTopology is the set of instances with which an instance exchanges relayed reports.
type relayTopology struct {
	isRelay bool
	relay   membership.Member   // of the own group
	members []membership.Member // of the own group, excluding this instance
	relays  []membership.Member // of the other groups
}

// newRelayTopology divides the live instances, sorted by name, into contiguous groups. The
// first instance of a group is its relay.
func newRelayTopology(self membership.Member, live []membership.Member) relayTopology {
	instances := append(slices.Clone(live), self)
	slices.SortFunc(instances, func(a, b membership.Member) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), a.Incarnation.Process.Compare(b.Incarnation.Process))
	})
	var topology relayTopology
	for group := range slices.Chunk(instances, groupSize(len(instances))) {
		containsSelf := slices.ContainsFunc(group, func(m membership.Member) bool { return m.Incarnation.Process == self.Incarnation.Process })
		switch {
		case !containsSelf:
			topology.relays = append(topology.relays, group[0])
		default:
			topology.relay = group[0]
			topology.isRelay = group[0].Incarnation.Process == self.Incarnation.Process
			topology.members = slices.DeleteFunc(slices.Clone(group), func(m membership.Member) bool { return m.Incarnation.Process == self.Incarnation.Process })
		}
	}
	return topology
}
