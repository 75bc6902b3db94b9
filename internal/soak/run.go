package soak

import (
	"cmp"
	"context"
	"fmt"
	"math/rand/v2"
	"os"
	"sort"
	"strings"
	"sync"
	"syscall"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccabridge/yuccabridge/platform/standin"
)

// Options are the parameters of a run.
type Options struct {
	// Seed determines the fault plan.
	Seed uint64
	// Duration is the time during which faults start.
	Duration time.Duration
	// Faults selects the fault plan; by default [MixedFaults].
	Faults Faults
	// Rate is the number of requests per second of all callers together; 0 means that each
	// caller pauses for 10 ms on average.
	Rate float64
	// Instances and Upstreams are the numbers of instances and upstreams.
	Instances, Upstreams int
	// Callers is the number of callers of each instance; 0 means callersPerInstance.
	Callers int
	// Daemon is the path of the daemon binary, Dir the directory of settings and log files.
	Daemon, Dir string
	// OtherDaemon is the path of another build of the daemon. If set, every second instance starts with it,
	// and each restart of an instance changes its build.
	OtherDaemon string
}

// builds returns the builds of an instance in the order of its starts.
func (o Options) builds(instance int) []string {
	switch {
	case o.OtherDaemon == "":
		return []string{o.Daemon}
	case instance%2 == 0:
		return []string{o.Daemon, o.OtherDaemon}
	}
	return []string{o.OtherDaemon, o.Daemon}
}

// Faults selects a kind of fault plan.
type Faults string

// Kinds of fault plans.
const (
	// MixedFaults draws faults of all kinds, one instance or upstream at a time.
	MixedFaults Faults = "mixed"
	// RetryFaults makes instances use up the retry budget, and sends requests that crash
	// upstreams.
	RetryFaults Faults = "retries"
	// LimitFaults makes upstreams state limits in their answers.
	LimitFaults Faults = "limits"
	// EndlessFaults makes upstreams send bytes without end, and checks the memory of instances.
	EndlessFaults Faults = "endless"
	// DrillFaults makes the store come back from an older copy, and upstreams end responses halfway or
	// send malformed heads.
	DrillFaults Faults = "drill"
	// ReleaseFaults replaces upstreams by others of other versions, and lets callers go on with broken
	// streams at any instance.
	ReleaseFaults Faults = "releases"
	// PartitionFaults cuts instances off from all upstreams.
	PartitionFaults Faults = "partitions"
	// StatementFaults makes upstreams state in their answers that they leave, or when to come back.
	StatementFaults Faults = "statements"
	// RemovalFaults removes entries of upstreams that still serve, while instances lose the store.
	RemovalFaults Faults = "removals"
	// StopFaults stops instances in series, with hangups and moments in which they do not run.
	StopFaults Faults = "stops"
	// EvacuationFaults evacuates a failure domain of upstreams and takes it back.
	EvacuationFaults Faults = "evacuations"
)

// callerPause returns the mean pause of a caller between two requests.
func (o Options) callerPause() time.Duration {
	if o.Rate <= 0 {
		return defaultCallerPause
	}
	return time.Duration(float64(o.Instances*o.callers()) / o.Rate * float64(time.Second))
}

// maxCallers bounds the callers of an instance. Their numbers are part of the request IDs.
const maxCallers = 1000

func (o Options) callers() int { return cmp.Or(o.Callers, callersPerInstance) }

const defaultCallerPause = 10 * time.Millisecond

// Report is the result of a run.
type Report struct {
	Options    Options
	Requests   int
	Outcomes   map[string]int // by status, or "no answer" or "broken off"
	Faults     map[string]int // by kind
	Violations []string
	// RetrySlackUsed is the part of the retry slack that was used in the worst window.
	RetrySlackUsed float64
	// LimitedArrivals is the number of requests to which the bound on limits applies.
	LimitedArrivals int
	// LargestMemory is the largest resident memory of an instance in bytes.
	LargestMemory int
	// TakenUp counts the broken streams that callers went on with, by how that ended.
	TakenUp map[string]int
	// AtPartitioned and AtOthers count the first tries while instances are partitioned from all upstreams.
	AtPartitioned, AtOthers firstTries
	// Statements is the number of answers in which upstreams stated something to known callers.
	Statements int
	// Removals is the number of times that an upstream without an entry still served.
	Removals int
	// ColdArrivals is the number of requests to upstreams that had just been taken back.
	ColdArrivals int
	// Held counts the requests on connections that callers held, by how the connection was used, whether its
	// instance was being stopped, and how the request ended.
	Held map[string]int
	// Reused counts the further requests of callers that use connections again for longer, by how they choose the time,
	// what their instance was doing, and the result.
	Reused map[string]int
}

// Command returns the command line that repeats the run.
func (r Report) Command() string {
	command := fmt.Sprintf("yuccabridge soak --seed %d --duration %v --instances %d --upstreams %d", r.Options.Seed, r.Options.Duration, r.Options.Instances, r.Options.Upstreams)
	if r.Options.Faults != MixedFaults && r.Options.Faults != "" {
		command += fmt.Sprintf(" --faults %s", r.Options.Faults)
	}
	if r.Options.Callers > 0 {
		command += fmt.Sprintf(" --callers %d", r.Options.Callers)
	}
	if r.Options.Rate > 0 {
		command += fmt.Sprintf(" --rate %g", r.Options.Rate)
	}
	return command
}

// String returns the report as text.
func (r Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s\n%d requests:%s\nfaults:%s\nretry slack used: %.1f of %d\n", r.Command(), r.Requests, formatCounts(r.Outcomes), formatCounts(r.Faults), r.RetrySlackUsed, retrySlack)
	if r.Options.Faults == LimitFaults {
		fmt.Fprintf(&b, "requests from told instances to upstreams with a limit: %d\n", r.LimitedArrivals)
	}
	if r.Options.Faults == ReleaseFaults {
		fmt.Fprintf(&b, "streams taken up:%s\n", formatCounts(r.TakenUp))
	}
	if r.Options.Faults == PartitionFaults {
		fmt.Fprintf(&b, "served at partitioned instances: %v, at the others: %v\n", r.AtPartitioned, r.AtOthers)
	}
	if r.Options.Faults == StatementFaults {
		fmt.Fprintf(&b, "answers with statements: %d\n", r.Statements)
	}
	if r.Options.Faults == StopFaults {
		fmt.Fprintf(&b, "requests on held connections:%s\nrequests on connections used again:%s\n", formatCounts(r.Held), formatCounts(r.Reused))
	}
	if r.Options.Faults == RemovalFaults {
		fmt.Fprintf(&b, "entries removed: %d\n", r.Removals)
	}
	if r.Options.Faults == EvacuationFaults {
		fmt.Fprintf(&b, "requests to upstreams that had been taken back: %d\n", r.ColdArrivals)
	}
	fmt.Fprintf(&b, "largest memory of an instance: %d MB\n", r.LargestMemory/1e6)
	if len(r.Violations) == 0 {
		b.WriteString("no promise was broken\n")
	}
	for _, v := range r.Violations {
		fmt.Fprintf(&b, "BROKEN: %s\n", v)
	}
	return b.String()
}

func formatCounts(m map[string]int) string {
	var formatted []string
	for name, count := range m {
		formatted = append(formatted, fmt.Sprintf(" %s %d", name, count))
	}
	sort.Strings(formatted)
	return strings.Join(formatted, ",")
}

// recoveryTime is the time between the last fault and the final check. It exceeds
// stabilityPeriod because the instances must have stable access to the store again.
const recoveryTime = stabilityPeriod + 2*time.Second

// Run starts the processes, injects the faults of the seed's plan and checks the guarantees.
func Run(ctx context.Context, o Options) (Report, error) {
	tb, err := newTestbed(o)
	if err != nil {
		return Report{}, err
	}
	defer tb.close()
	plan := newFaultPlan(o.Seed, o)
	var delayedStarts sync.WaitGroup
	if err := tb.startInstances(ctx, tb.startDelays(plan), &delayedStarts); err != nil {
		return Report{}, err
	}
	loadCtx, stopLoad := context.WithCancel(ctx)
	defer stopLoad()
	faultCtx, stopFaults := context.WithCancel(loadCtx)
	defer stopFaults()
	received := tb.startLoad(loadCtx, faultCtx, o.Seed)
	var observations []observation
	collected := make(chan struct{})
	go func() {
		for o := range received {
			tb.checkObservation(o)
			observations = append(observations, o)
		}
		close(collected)
	}()
	stopSampling := tb.sampleMemory()
	tb.injectFaults(ctx, plan)
	delayedStarts.Wait()
	stopFaults()
	sleepContext(ctx, recoveryTime)
	tb.checkRecovery()
	stopLoad()
	stopSampling()
	<-collected
	tb.checkExecutions(observations)
	tb.checkRetries(observations)
	tb.checkLimits(observations)
	tb.checkDeadlyPart(observations)
	tb.checkDepartures()
	tb.checkStreamVersions()
	tb.checkPartitions(observations)
	tb.checkStatements(observations)
	tb.checkRemovals(observations)
	tb.checkEvacuations(observations)
	tb.checkStops()
	tb.checkReuse()
	return tb.report(observations), ctx.Err()
}

func newTestbed(o Options) (*testbed, error) {
	if o.Callers < 0 || o.Callers > maxCallers {
		return nil, errors.Errorf("%d callers of each instance, want 0 to %d", o.Callers, maxCallers)
	}
	tb := &testbed{options: o, store: standin.NewStore(),
		linkFaults: make([]faultIntervals, o.Instances), processFaultMu: make([]sync.Mutex, o.Instances), faultCounts: map[string]int{}}
	tb.mu.Lock()
	tb.publish()
	tb.mu.Unlock()
	var err error
	if tb.ports, err = claimPorts(); err != nil {
		return nil, err
	}
	ports, err := tb.ports.free(3*o.Instances + o.upstreamCount())
	if err != nil {
		return nil, err
	}
	ports, upstreamPorts := ports[:3*o.Instances], ports[3*o.Instances:]
	for i := range o.upstreamCount() {
		s, err := standin.NewUpstream(fmt.Sprintf("i-%02d", i))
		if err != nil {
			return nil, errors.Wrap(err, "start upstream")
		}
		p, err := newProxy(upstreamPorts[i], s.Address())
		if err != nil {
			return nil, errors.Wrap(err, "start proxy")
		}
		u := &upstream{Upstream: s, proxy: p, rng: rand.New(rand.NewPCG(o.Seed, uint64(i))), version: versionName(i / o.Upstreams), domain: o.upstreamDomain(i)}
		u.publish = func() { u.register(tb.store, serving) }
		if o.Faults == ReleaseFaults {
			u.publish = func() { u.writeAgain(tb.store) } // another upstream may have its place
		}
		u.reportError = func(err error) { tb.addViolation("%s cannot start again: %v", u.Name, err) }
		s.SetBehaviour(u.behaviour)
		tb.upstreams = append(tb.upstreams, u)
		if i < o.Upstreams {
			u.register(tb.store, serving)
			tb.active = append(tb.active, u)
		} else {
			u.register(tb.store, removed)
		}
	}
	seeds := ports[:o.Instances]
	for i := range o.Instances {
		storeAddress := tb.store.Address()
		if o.Faults == PartitionFaults {
			linkPorts, err := tb.ports.free(len(tb.upstreams))
			if err != nil {
				return nil, err
			}
			links, err := newInstanceLinks(tb.upstreams, linkPorts)
			if err != nil {
				return nil, err
			}
			tb.links = append(tb.links, links)
			storeAddress = tb.store.View(links.addressFor)
		}
		p, err := newProxy(anyLoopbackPort, storeAddress)
		if err != nil {
			return nil, errors.Wrap(err, "start proxy")
		}
		listen := addresses{peers: ports[i], callers: ports[o.Instances+2*i], operations: ports[o.Instances+2*i+1]}
		in, err := newInstance(o, i, fmt.Sprintf("front-%d", i), o.failureDomain(i), listen, seeds, p)
		if err != nil {
			return nil, err
		}
		tb.instances = append(tb.instances, in)
	}
	return tb, nil
}

// startInstances starts the instances and waits until those without a delay are ready.
func (tb *testbed) startInstances(ctx context.Context, delays []time.Duration, delayed *sync.WaitGroup) error {
	var started []*instance
	for i, in := range tb.instances {
		if delays[i] > 0 {
			continue
		}
		if err := in.start(); err != nil {
			return err
		}
		started = append(started, in)
	}
	for _, in := range started {
		if !in.awaitStart() {
			return errors.Errorf("%s is not ready %v after its start, see %s", in.name, startTimeout, in.logFile())
		}
	}
	for i, delay := range delays {
		if delay > 0 {
			tb.startLater(ctx, i, delay, delayed)
		}
	}
	return nil
}

// startDelays returns how long after the load each instance starts.
func (tb *testbed) startDelays(plan []fault) []time.Duration {
	delays := make([]time.Duration, len(tb.instances))
	for _, f := range plan {
		if f.kind == delayInstance {
			delays[f.target] = f.duration
		}
	}
	return delays
}

// startLater starts an instance after a delay. Other process faults of it wait until it is ready.
func (tb *testbed) startLater(ctx context.Context, i int, delay time.Duration, pending *sync.WaitGroup) {
	in := tb.instances[i]
	tb.processFaultMu[i].Lock()
	end := in.processFaults.begin()
	pending.Go(func() {
		defer tb.processFaultMu[i].Unlock()
		defer end()
		sleepContext(ctx, delay)
		if err := in.start(); err != nil {
			tb.addViolation("%v", err)
			return
		}
		if !in.awaitStart() {
			tb.addViolation("%s is not ready %v after its start", in.name, startTimeout)
		}
	})
}

// injectFaults applies the faults of the plan and returns when the last one has ended.
func (tb *testbed) injectFaults(ctx context.Context, plan []fault) {
	start := time.Now()
	var pending sync.WaitGroup
	for _, f := range plan {
		sleepContext(ctx, f.start-time.Since(start))
		if ctx.Err() != nil {
			break
		}
		pending.Go(func() { tb.applyFault(ctx, f) })
	}
	pending.Wait()
}

func sleepContext(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// finalRequestsPerRoute is the number of requests per route and instance in the final check.
const finalRequestsPerRoute = 5

// checkRecovery checks that every instance is ready, has the latest configuration and serves
// requests on all routes.
func (tb *testbed) checkRecovery() {
	tb.mu.Lock()
	version := tb.version
	tb.mu.Unlock()
	for i, in := range tb.instances {
		s, err := in.state()
		if err != nil || !s.Ready || s.Version != version {
			tb.addViolation("%s has not recovered: ready %v, configuration %d of %d, %v", in.name, s.Ready, s.Version, version, err)
			continue
		}
		c := newCaller(tb, i, finalCallerNumber, tb.options.Seed)
		for range finalRequestsPerRoute {
			for _, path := range []string{lookupPrefix, orderPrefix, streamPrefix} {
				if o := c.send(path, permanentKey); o.status != 200 || o.err != nil {
					tb.addViolation("not served after the last fault: %v", o)
				}
			}
		}
		c.transport.CloseIdleConnections()
	}
}

// finalCallerNumber is the caller number used by the final check. It differs from those of the
// load.
const finalCallerNumber = maxCallers + 1

func (tb *testbed) report(observations []observation) Report {
	r := Report{Options: tb.options, Requests: len(observations), Outcomes: map[string]int{}, Faults: tb.faultCounts, RetrySlackUsed: tb.retryUsage.slackUsed, LimitedArrivals: tb.limitedArrivals, LargestMemory: tb.largestMemory, TakenUp: tb.takenUp, AtPartitioned: tb.atPartitioned, AtOthers: tb.atOthers, Statements: tb.statementsTold, Removals: tb.removals, ColdArrivals: tb.coldArrivals, Held: tb.heldCounts, Reused: tb.reuseCounts}
	for _, o := range observations {
		switch {
		case o.status == 0:
			r.Outcomes["no answer"]++
		case o.err != nil:
			r.Outcomes["broken off"]++
		default:
			r.Outcomes[fmt.Sprint(o.status)]++
		}
	}
	r.Violations = tb.violations
	for _, in := range tb.instances {
		in.mu.Lock()
		r.Violations = append(r.Violations, in.processErrors...)
		in.mu.Unlock()
	}
	return r
}

// close kills the processes that this run has started, and closes the proxies and stand-ins.
func (tb *testbed) close() {
	var pending sync.WaitGroup
	for _, in := range tb.instances {
		if in.cmd == nil {
			continue
		}
		pending.Go(func() {
			in.signal(syscall.SIGCONT, true)
			in.signal(syscall.SIGKILL, true)
			in.awaitExit(gracePeriod)
		})
	}
	pending.Wait()
	for _, in := range tb.instances {
		in.storeProxy.close()
	}
	for _, u := range tb.upstreams {
		u.mu.Lock()
		u.closed = true
		u.mu.Unlock()
		u.proxy.close()
		u.Close()
	}
	for _, links := range tb.links {
		links.close()
	}
	tb.store.Close()
	tb.ports.close()
}

// LogFiles returns the paths of the instances' log files that exist.
func LogFiles(o Options) []string {
	var out []string
	for i := range o.Instances {
		in := instance{name: fmt.Sprintf("front-%d", i), dir: o.Dir}
		if _, err := os.Stat(in.logFile()); err == nil {
			out = append(out, in.logFile())
		}
	}
	return out
}
