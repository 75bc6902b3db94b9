package soak

import (
	"cmp"
	"fmt"
	"math/rand/v2"
	"net/http"
	"slices"
	"time"

	"github.com/pkg/errors"
)

const (
	// meanPartitionInterval is the mean time between the starts of two partitions, and
	// minPartition and maxPartition limit their duration.
	meanPartitionInterval      = 4 * time.Second
	minPartition, maxPartition = 4 * time.Second, 8 * time.Second
	// domainPartitionShare is the share of partitions of all instances of a failure domain, and
	// keepOpenShare that of those in which open connections live on.
	domainPartitionShare = 0.4
	keepOpenShare        = 0.4
	// meanPartitionFaultInterval is the mean time between other faults.
	meanPartitionFaultInterval = 1500 * time.Millisecond
	// minServedShare is the share of first tries, relative to that at the other instances, that must be
	// served at partitioned ones. Up to allowedFailures and one in allowedFailureInterval of all may fail
	// there regardless.
	minServedShare         = 2.0 / 3
	allowedFailures        = 10
	allowedFailureInterval = 50
)

// newPartitionPlan generates a plan in which instances, also all of a failure domain, lose their links to all
// upstreams, while others are killed, stopped and paused and upstreams crash.
func newPartitionPlan(seed uint64, o Options) []fault {
	rng := rand.New(rand.NewPCG(seed, 10))
	draw := func(low, high time.Duration) time.Duration { return low + time.Duration(rng.Int64N(int64(high-low))) }
	plan := drawFaults(rng, o.Duration, meanPartitionInterval, func() fault {
		return fault{kind: partitionInstances, target: rng.IntN(o.Instances), duration: draw(minPartition, maxPartition),
			domain: rng.Float64() < domainPartitionShare, keepOpen: rng.Float64() < keepOpenShare}
	})
	kinds := []faultKind{killProcess, stopProcess, pauseProcess, crashUpstream, drainUpstream, rejectRequests}
	plan = append(plan, drawFaults(rng, o.Duration, meanPartitionFaultInterval, func() fault {
		return fault{kind: kinds[rng.IntN(len(kinds))], target: rng.IntN(o.Instances * o.Upstreams), duration: draw(minFaultDuration, maxFaultDuration)}
	})...)
	slices.SortStableFunc(plan, func(a, b fault) int { return cmp.Compare(a.start, b.start) })
	return plan
}

// instanceLinks are the links of one instance to the upstreams: a proxy for each.
type instanceLinks struct {
	proxies map[string]*proxy // by published address
	faults  int               // overlapping partitions; guarded by testbed.mu
}

// newInstanceLinks starts a proxy at each of the addresses, one for each upstream. They are claimed: a port
// that the kernel chooses may be taken while the proxy refuses connections.
func newInstanceLinks(upstreams []*upstream, addresses []string) (*instanceLinks, error) {
	links := &instanceLinks{proxies: map[string]*proxy{}}
	for i, u := range upstreams {
		p, err := newProxy(addresses[i], u.proxy.address())
		if err != nil {
			return nil, errors.Wrap(err, "start proxy of a link")
		}
		links.proxies[u.proxy.address()] = p
	}
	return links, nil
}

// addressFor returns the address at which the instance reaches an upstream.
func (l *instanceLinks) addressFor(published string) string {
	if p := l.proxies[published]; p != nil {
		return p.address()
	}
	return published
}

func (l *instanceLinks) close() {
	for _, p := range l.proxies {
		p.close()
	}
}

// partition is the time in which an instance reaches no upstream.
type partition struct {
	instance   int
	begin, end time.Time
}

// partition cuts one instance, or all of its failure domain, off from all upstreams.
func (tb *testbed) partition(f fault, waitForEnd func()) {
	var cut []int
	for i := range tb.instances {
		if i == f.target || f.domain && tb.options.failureDomain(i) == tb.options.failureDomain(f.target) {
			cut = append(cut, i)
		}
	}
	var begun []int
	tb.mu.Lock()
	for _, i := range cut {
		tb.links[i].faults++
		if tb.links[i].faults > 1 {
			continue
		}
		for _, p := range tb.links[i].proxies {
			if f.keepOpen {
				p.refuseNew()
			} else {
				p.refuse()
			}
		}
	}
	for _, i := range cut {
		begun = append(begun, len(tb.partitions))
		tb.partitions = append(tb.partitions, partition{instance: i, begin: time.Now()})
	}
	tb.mu.Unlock()
	waitForEnd()
	tb.mu.Lock()
	defer tb.mu.Unlock()
	for n, i := range cut {
		tb.partitions[begun[n]].end = time.Now()
		if tb.links[i].faults--; tb.links[i].faults > 0 {
			continue
		}
		for _, p := range tb.links[i].proxies {
			if err := p.resume(); err != nil {
				tb.violations = append(tb.violations, fmt.Sprintf("a link cannot be restored: %v", err))
			}
		}
	}
}

// firstTries counts requests and those that were served.
type firstTries struct{ sent, served int }

// String implements fmt.Stringer.
func (f firstTries) String() string { return fmt.Sprintf("%d of %d", f.served, f.sent) }

func (f *firstTries) add(served bool) {
	f.sent++
	if served {
		f.served++
	}
}

// checkPartitions checks that callers of partitioned instances are served nearly as often as the others, from
// stabilityPeriod after the begin of a partition to its end.
func (tb *testbed) checkPartitions(observations []observation) {
	for _, o := range observations {
		if !tb.instances[o.instance].processFaults.inactiveBefore(o.sent.Add(o.duration), stabilityPeriod+o.duration) {
			continue
		}
		during, here := false, false
		for _, p := range tb.partitions {
			if o.sent.After(p.begin.Add(stabilityPeriod)) && o.sent.Before(p.end) {
				during = true
				here = here || p.instance == o.instance
			}
		}
		served := o.status == http.StatusOK && o.err == nil
		switch {
		case here:
			tb.atPartitioned.add(served)
		case during:
			tb.atOthers.add(served)
		}
	}
	here, others := tb.atPartitioned, tb.atOthers
	if here.sent == 0 || others.sent == 0 {
		return
	}
	failed, allowed := here.sent-here.served, allowedFailures+(here.sent+others.sent)/allowedFailureInterval
	if failed > allowed && float64(here.served)/float64(here.sent) < minServedShare*float64(others.served)/float64(others.sent) {
		tb.addViolation("partitioned instances served %v first tries, the others %v", here, others)
	}
}
