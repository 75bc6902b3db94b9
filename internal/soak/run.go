package soak

import (
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

// Options describe a run.
type Options struct {
	// Seed gives the plan of faults.
	Seed uint64
	// Duration is how long faults are injected.
	Duration time.Duration
	// Instances and Upstreams are the numbers of both.
	Instances, Upstreams int
	// Daemon is the path of the daemon's program, Dir where settings and logs go.
	Daemon, Dir string
}

// Report is what a run has seen.
type Report struct {
	Options    Options
	Requests   int
	Outcomes   map[string]int // by status, or "no answer"
	Faults     map[string]int // by kind
	Violations []string
}

// Command is the command that repeats the run.
func (r Report) Command() string {
	return fmt.Sprintf("yuccabridge soak --seed %d --duration %v --instances %d --upstreams %d", r.Options.Seed, r.Options.Duration, r.Options.Instances, r.Options.Upstreams)
}

// String returns the report as text.
func (r Report) String() string {
	var b strings.Builder
	fmt.Fprintf(&b, "%s\n%d requests:%s\nfaults:%s\n", r.Command(), r.Requests, counts(r.Outcomes), counts(r.Faults))
	if len(r.Violations) == 0 {
		b.WriteString("no promise was broken\n")
	}
	for _, v := range r.Violations {
		fmt.Fprintf(&b, "BROKEN: %s\n", v)
	}
	return b.String()
}

func counts(m map[string]int) string {
	var list []string
	for key, n := range m {
		list = append(list, fmt.Sprintf(" %s %d", key, n))
	}
	sort.Strings(list)
	return strings.Join(list, ",")
}

// settleTime is the time between the last fault and the final check: an instance must be in
// touch again.
const settleTime = stable + 2*time.Second

// Run starts the processes, injects the faults of the seed's plan and checks the promises.
func Run(ctx context.Context, o Options) (Report, error) {
	w, err := newWorld(o)
	if err != nil {
		return Report{}, err
	}
	defer w.close()
	for _, in := range w.instances {
		if err := in.start(); err != nil {
			return Report{}, err
		}
	}
	for _, in := range w.instances {
		if !in.readyWithin(startTime) {
			return Report{}, errors.Errorf("%s is not ready %v after its start, see %s", in.name, startTime, in.logFile())
		}
	}
	loading, stop := context.WithCancel(ctx)
	defer stop()
	seen := w.load(loading, o.Seed)
	var all []observation
	collected := make(chan struct{})
	go func() {
		for x := range seen {
			w.checkNow(x)
			all = append(all, x)
		}
		close(collected)
	}()
	w.inject(ctx, makePlan(o.Seed, o))
	sleep(ctx, settleTime)
	w.checkEnd()
	stop()
	<-collected
	w.checkRuns(all)
	return w.report(all), ctx.Err()
}

func newWorld(o Options) (*world, error) {
	w := &world{o: o, store: standin.NewStore(), linkHarm: make([]spans, o.Instances), faulting: make([]sync.Mutex, o.Instances), applied: map[string]int{}}
	w.mu.Lock()
	w.publish()
	w.mu.Unlock()
	for i := range o.Upstreams {
		s, err := standin.NewUpstream(fmt.Sprintf("i-%02d", i))
		if err != nil {
			return nil, errors.Wrap(err, "start upstream")
		}
		p, err := newProxy(s.Address())
		if err != nil {
			return nil, errors.Wrap(err, "start proxy")
		}
		u := &upstream{Upstream: s, proxy: p, rng: rand.New(rand.NewPCG(o.Seed, uint64(i)))}
		s.SetBehaviour(u.behave)
		w.upstreams = append(w.upstreams, u)
		w.store.PutUpstream(u.Upstream, u.publication(false))
	}
	ports, err := freePorts(3 * o.Instances)
	if err != nil {
		return nil, err
	}
	seeds := ports[:o.Instances]
	for i := range o.Instances {
		p, err := newProxy(w.store.Address())
		if err != nil {
			return nil, errors.Wrap(err, "start proxy")
		}
		at := addresses{peers: ports[i], callers: ports[o.Instances+2*i], operations: ports[o.Instances+2*i+1]}
		in, err := newInstance(o, fmt.Sprintf("front-%d", i), at, seeds, p)
		if err != nil {
			return nil, err
		}
		w.instances = append(w.instances, in)
	}
	return w, nil
}

// inject performs the plan and returns when the last fault has ended.
func (w *world) inject(ctx context.Context, plan []fault) {
	start := time.Now()
	var all sync.WaitGroup
	for _, f := range plan {
		sleep(ctx, f.at-time.Since(start))
		if ctx.Err() != nil {
			break
		}
		all.Go(func() { w.apply(ctx, f) })
	}
	all.Wait()
}

func sleep(ctx context.Context, d time.Duration) {
	select {
	case <-ctx.Done():
	case <-time.After(d):
	}
}

// finalRequests is the number of requests of each kind at each instance in the final check.
const finalRequests = 5

// checkEnd checks that every instance has recovered.
func (w *world) checkEnd() {
	w.mu.Lock()
	version := w.version
	w.mu.Unlock()
	for i, in := range w.instances {
		s, err := in.state()
		if err != nil || !s.Ready || s.Version != version {
			w.violate("%s has not recovered: ready %v, configuration %d of %d, %v", in.name, s.Ready, s.Version, version, err)
			continue
		}
		c := newCaller(w, i, finalCaller, w.o.Seed)
		for range finalRequests {
			for _, path := range []string{lookupPrefix, orderPrefix, streamPrefix} {
				if o := c.send(path, standingKey); o.status != 200 || o.err != nil {
					w.violate("not served after the last fault: %v", o)
				}
			}
		}
		c.transport.CloseIdleConnections()
	}
}

// finalCaller is the number of the caller of the final check.
const finalCaller = 99

func (w *world) report(all []observation) Report {
	r := Report{Options: w.o, Requests: len(all), Outcomes: map[string]int{}, Faults: w.applied}
	for _, o := range all {
		switch {
		case o.status == 0:
			r.Outcomes["no answer"]++
		case o.err != nil:
			r.Outcomes["broken off"]++
		default:
			r.Outcomes[fmt.Sprint(o.status)]++
		}
	}
	r.Violations = w.violations
	for _, in := range w.instances {
		in.mu.Lock()
		r.Violations = append(r.Violations, in.exits...)
		in.mu.Unlock()
	}
	return r
}

// close ends the processes that this run has started, and the stand-ins.
func (w *world) close() {
	var all sync.WaitGroup
	for _, in := range w.instances {
		if in.cmd == nil {
			continue
		}
		all.Go(func() {
			in.signal(syscall.SIGCONT, true)
			in.signal(syscall.SIGKILL, true)
			in.await(grace)
		})
	}
	all.Wait()
	for _, in := range w.instances {
		in.store.close()
	}
	for _, u := range w.upstreams {
		u.proxy.close()
		u.Close()
	}
	w.store.Close()
}

// Logs lists the log files of a run's instances.
func Logs(o Options) []string {
	var out []string
	for i := range o.Instances {
		in := instance{name: fmt.Sprintf("front-%d", i), dir: o.Dir}
		if _, err := os.Stat(in.logFile()); err == nil {
			out = append(out, in.logFile())
		}
	}
	return out
}
