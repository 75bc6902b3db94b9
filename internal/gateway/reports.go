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
	// reportInterval is how often an instance tells what it has at the upstreams.
	reportInterval = 100 * time.Millisecond
	// relayInterval is the same where reports go through relays, each of which adds one
	// interval.
	relayInterval = 200 * time.Millisecond
	// directPeers is the number of peers up to which each instance tells all others
	// itself. The messages grow with its square.
	directPeers = 15
	// minGroup is the least number of instances that share a relay.
	minGroup = 6
)

// originReport is what one instance has at the upstreams, by service.
type originReport struct {
	Origin   string // the instance's process
	Sequence uint64 // counts the reports of the origin
	Services map[string]dispatch.Report
}

// reportBatch is a message between instances.
type reportBatch struct {
	// Relayed marks a batch that a relay sends to the relays of other groups. They pass
	// it on to their own groups only.
	Relayed bool
	Reports []originReport
}

// encode returns the batch in few bytes: relays send it many times, over links that may be
// slow.
func (b reportBatch) encode() ([]byte, error) {
	var out bytes.Buffer
	e := msgpack.NewEncoder(&out)
	e.UseCompactInts(true)
	e.UseArrayEncodedStructs(true)
	if err := e.Encode(b); err != nil {
		return nil, errors.Wrap(err, "encode reports")
	}
	return out.Bytes(), nil
}

// reports exchanges what the instances have at the upstreams. Few instances tell each
// other directly. More form groups: each tells the relay of its group, which passes the
// reports of the group on to its members and to the other relays. With n instances in g
// groups that is about 2n + g*g messages in place of n*n. Groups follow from the names of the
// live instances, which all of them know. While a relay is gone and not yet known to be,
// its group acts on what it knew.
type reports struct {
	p *peers

	mu       sync.Mutex
	pending  []originReport    // to be passed on to the own group
	others   []originReport    // to be passed on to the other relays
	seen     map[string]uint64 // by origin, the sequence of its last report
	sequence uint64            // of this instance's last report
}

func newReports(p *peers) *reports { return &reports{p: p, seen: map[string]uint64{}} }

func (r *reports) run(ctx context.Context) error {
	timer := time.NewTimer(reportInterval)
	defer timer.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-timer.C:
		}
		if live := r.p.live(); len(live) <= directPeers {
			r.tellAll(ctx, live)
			timer.Reset(reportInterval)
		} else {
			r.tellGroup(ctx, groupsOf(r.p.self, live))
			timer.Reset(relayInterval)
		}
	}
}

// collect returns this instance's own report; ok is false when there is nothing to tell.
func (r *reports) collect() (own originReport, ok bool) {
	own = originReport{Origin: r.p.self.Incarnation.Process.String(), Services: map[string]dispatch.Report{}}
	for _, s := range r.p.g.serviceList() {
		if x := s.dispatcher.Collect(r.p.g.now()); !x.Empty() {
			own.Services[s.name] = x
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

func (r *reports) tellAll(ctx context.Context, live []membership.Member) {
	if own, ok := r.collect(); ok {
		r.send(ctx, live, reportBatch{Reports: []originReport{own}})
	}
}

func (r *reports) tellGroup(ctx context.Context, g groups) {
	own, ok := r.collect()
	if !g.isRelay {
		if ok {
			r.send(ctx, []membership.Member{g.relay}, reportBatch{Reports: []originReport{own}})
		}
		return
	}
	r.mu.Lock()
	toGroup, toRelays := r.pending, r.others
	r.pending, r.others = nil, nil
	r.mu.Unlock()
	if ok {
		toGroup, toRelays = append(toGroup, own), append(toRelays, own)
	}
	if len(toGroup) > 0 {
		r.send(ctx, g.members, reportBatch{Reports: toGroup})
	}
	if len(toRelays) > 0 {
		r.send(ctx, g.relays, reportBatch{Relayed: true, Reports: toRelays})
	}
}

func (r *reports) send(ctx context.Context, to []membership.Member, b reportBatch) {
	payload, err := b.encode()
	if err != nil {
		r.p.failed("report", "all", err)
		return
	}
	r.p.toAll(ctx, to, peerwire.DispatchReport{Payload: payload})
}

// maxPending bounds the reports that wait to be passed on.
const maxPending = 1024

// receive takes the reports of a peer and keeps those that this instance passes on.
func (r *reports) receive(_ peerwire.Identity, payload []byte) error {
	var b reportBatch
	if err := msgpack.Unmarshal(payload, &b); err != nil {
		return errors.Wrap(err, "report")
	}
	fresh := r.fresh(b.Reports)
	for _, x := range fresh {
		for name, report := range x.Services {
			if s := r.p.g.service(name); s != nil {
				s.dispatcher.Merge(r.p.g.now(), x.Origin, report)
			}
		}
	}
	live := r.p.live()
	if len(live) <= directPeers || !groupsOf(r.p.self, live).isRelay {
		return nil
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	r.pending = appendBounded(r.pending, fresh)
	if !b.Relayed {
		r.others = appendBounded(r.others, fresh)
	}
	return nil
}

// fresh returns the reports that have not been seen. While the instances disagree about
// who is alive, they disagree about the groups, and a report arrives on several ways.
func (r *reports) fresh(list []originReport) []originReport {
	self := r.p.self.Incarnation.Process.String()
	r.mu.Lock()
	defer r.mu.Unlock()
	out := make([]originReport, 0, len(list))
	for _, x := range list {
		if x.Origin == self || x.Sequence <= r.seen[x.Origin] {
			continue
		}
		r.seen[x.Origin] = x.Sequence
		out = append(out, x)
	}
	return out
}

// forget drops what is kept about an origin that is gone.
func (r *reports) forget(origin string) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.seen, origin)
}

func appendBounded(list, more []originReport) []originReport {
	return append(list, more[:min(len(more), max(0, maxPending-len(list)))]...)
}

// groupSize is the number of instances that share a relay: about as many as there are
// groups, so that a relay sends to few. Relays may have slow links.
func groupSize(instances int) int {
	return max(minGroup, int(math.Ceil(math.Sqrt(float64(instances)))))
}

// groups is an instance's place among the others.
type groups struct {
	isRelay bool
	relay   membership.Member   // of the own group
	members []membership.Member // of the own group, without this instance
	relays  []membership.Member // of the other groups
}

// groupsOf divides the live instances, in the order of their names, into groups of
// neighbours. The first of a group is its relay.
func groupsOf(self membership.Member, live []membership.Member) groups {
	all := append(slices.Clone(live), self)
	slices.SortFunc(all, func(a, b membership.Member) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), a.Incarnation.Process.Compare(b.Incarnation.Process))
	})
	var g groups
	for part := range slices.Chunk(all, groupSize(len(all))) {
		own := slices.ContainsFunc(part, func(m membership.Member) bool { return m.Incarnation.Process == self.Incarnation.Process })
		switch {
		case !own:
			g.relays = append(g.relays, part[0])
		default:
			g.relay = part[0]
			g.isRelay = part[0].Incarnation.Process == self.Incarnation.Process
			g.members = slices.DeleteFunc(slices.Clone(part), func(m membership.Member) bool { return m.Incarnation.Process == self.Incarnation.Process })
		}
	}
	return g
}
