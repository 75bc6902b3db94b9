package entry

import (
	"context"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/yuccabridge/yuccabridge/config"
	"github.com/yuccabridge/yuccabridge/internal/coordination/balancer"
	"github.com/yuccabridge/yuccabridge/internal/coordination/baseline"
	"github.com/yuccabridge/yuccabridge/internal/coordination/retry"
	"github.com/yuccabridge/yuccabridge/internal/coordination/scheduler"
	"github.com/yuccabridge/yuccabridge/internal/protocol/apierror"
	"github.com/yuccabridge/yuccabridge/internal/settings"
	"github.com/yuccabridge/yuccabridge/internal/transport/upstream"
)

// queue decides which request is next and which are refused.
type queue interface {
	Reconfigure(now time.Duration, o scheduler.Options)
	Enqueue(now time.Duration, r scheduler.Request) []scheduler.Shed
	SetRoom(now time.Duration, open, total int)
	Next(now time.Duration) (scheduler.Request, bool, []scheduler.Shed)
	Tick(now time.Duration) []scheduler.Shed
	Cancel(now time.Duration, id uint64) bool
	Observe(now time.Duration, x scheduler.Sample)
	MergePressure(now time.Duration, peer string, p scheduler.Pressure, age time.Duration)
	Pressure(now time.Duration) scheduler.Pressure
}

// chooser decides which upstream serves a request.
type chooser interface {
	SetUpstreams(now time.Duration, ups []balancer.Upstream)
	SetPeers(now time.Duration, instances []string)
	SetTokenIntervalTarget(target time.Duration)
	SlotCounts(now time.Duration) (open, total int)
	Pick(now time.Duration, r balancer.Request) (balancer.Pick, bool)
	Done(now time.Duration, p balancer.Pick, r balancer.Result)
	ReportLoad(now time.Duration, upstream string, l balancer.LoadReport)
	Snapshot(now time.Duration) []balancer.UpstreamState
}

// poolKind tells model engines from plain services.
type poolKind int

const (
	modelPool poolKind = iota
	servicePool
)

// pool is one model or service: its queue, its balancer and its connections.
type pool struct {
	name string
	kind poolKind
	in   *Instance

	sched queue
	bal   chooser

	// pumping serialises dispatching, so that a slot seen by Free is still there for Pick.
	pumping sync.Mutex

	mu       sync.Mutex
	waiters  map[uint64]*waiter
	clients  map[string]*upstream.Client
	budgets  map[string]classBudget
	services map[string]time.Duration // moving mean of the service time by class
	loads    map[string]loadState     // by upstream name
}

// waiter is a request in the queue.
type waiter struct {
	request scheduler.Request
	pick    balancer.Request
	result  chan verdict // one verdict, buffered
}

// verdict ends the wait of a request: a slot at an upstream, or a refusal.
type verdict struct {
	pick balancer.Pick
	shed *scheduler.Shed
}

func newPool(in *Instance, name string, kind poolKind, d *config.Deployment, seed uint64) *pool {
	p := &pool{
		name:     name,
		kind:     kind,
		in:       in,
		waiters:  map[uint64]*waiter{},
		clients:  map[string]*upstream.Client{},
		budgets:  map[string]classBudget{},
		services: map[string]time.Duration{},
		loads:    map[string]loadState{},
	}
	if in.settings.Policy == settings.Baseline {
		p.sched, p.bal = baseline.NewQueue(in.settings.Limits.QueueLimit), baseline.NewRoundRobin()
		return p
	}
	p.sched = scheduler.New(schedulerOptions(d, in.settings.Limits.QueueLimit), rand.New(rand.NewPCG(seed, 1)))
	p.bal = balancer.New(balancer.Options{
		Instance:            in.settings.Instance,
		Domain:              in.settings.FailureDomain,
		TokenIntervalTarget: strictestInterval(d, kind),
	}, rand.New(rand.NewPCG(seed, 2)))
	return p
}

func schedulerOptions(d *config.Deployment, queueLimit int) scheduler.Options {
	o := scheduler.Options{QueueLimit: queueLimit, Objective: scheduler.Attainment}
	if d.Objective == config.Goodput {
		o.Objective = scheduler.Goodput
	}
	for _, c := range d.Classes {
		o.Classes = append(o.Classes, scheduler.Class{
			Name:             c.Name,
			Tier:             c.Tier,
			FirstTokenTarget: c.FirstTokenTarget.Std(),
			Deadline:         c.Deadline.Std(),
			MaxWait:          c.MaxWait.Std(),
		})
	}
	for _, t := range d.Teams {
		o.Teams = append(o.Teams, scheduler.Team{Name: t.Name, Weight: t.Weight})
	}
	return o
}

// strictestInterval is the shortest token interval that any class wants: an engine
// runs one batch for all classes, so its limit must keep the strictest target.
func strictestInterval(d *config.Deployment, kind poolKind) time.Duration {
	var strictest time.Duration
	if kind != modelPool {
		return 0
	}
	for _, c := range d.Classes {
		if t := c.TokenIntervalTarget.Std(); t > 0 && (strictest == 0 || t < strictest) {
			strictest = t
		}
	}
	return strictest
}

// configure applies a configuration and the platform's list of leaving upstreams.
func (p *pool) configure(d *config.Deployment, ups []config.Upstream, leaving map[string]bool) {
	now := p.in.now()
	p.sched.Reconfigure(now, schedulerOptions(d, p.in.settings.Limits.QueueLimit))
	list := make([]balancer.Upstream, 0, len(ups))
	for _, u := range ups {
		list = append(list, balancer.Upstream{Name: u.Name, Address: u.Address, Domain: p.domainOf(u), Leaving: leaving[u.Name]})
	}
	p.bal.SetTokenIntervalTarget(strictestInterval(d, p.kind))
	p.bal.SetUpstreams(now, list)
	p.setBudgets(d)
	p.dropClients(ups)
	p.pump()
}

// domainOf returns the failure domain of an upstream as the balancer sees it. An
// instance that works alone serves all domains: there is no other instance for which
// three quarters of a domain's upstreams would be kept.
func (p *pool) domainOf(u config.Upstream) string {
	if p.in.peers == nil {
		return p.in.settings.FailureDomain
	}
	return u.FailureDomain
}

// dropClients closes the idle connections to upstreams that are no longer declared.
func (p *pool) dropClients(ups []config.Upstream) {
	keep := map[string]bool{}
	for _, u := range ups {
		keep[u.Address] = true
	}
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, c := range p.clients {
		if !keep[address] {
			c.Close()
			delete(p.clients, address)
		}
	}
}

func (p *pool) client(address string) *upstream.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.clients[address]
	if !ok {
		c = upstream.New(address, upstream.Options{Dial: p.in.network.dialUpstream()})
		p.clients[address] = c
	}
	return c
}

// classBudget is the retry budget of a class and the ratio that it was made for.
type classBudget struct {
	ratio  float64
	budget *retry.Budget
}

// setBudgets gives each class its budget. A budget whose ratio is unchanged is kept
// with what it has saved.
func (p *pool) setBudgets(d *config.Deployment) {
	p.mu.Lock()
	defer p.mu.Unlock()
	next := map[string]classBudget{}
	for _, c := range d.Classes {
		ratio := c.RetryRatio
		if ratio == 0 {
			ratio = defaultRetryRatio
		}
		b, ok := p.budgets[c.Name]
		if !ok || b.ratio != ratio {
			b = classBudget{ratio: ratio, budget: retry.NewBudget(ratio, retryBurst)}
		}
		next[c.Name] = b
	}
	p.budgets = next
}

// budget returns the retry budget of a class; it is nil for a class that a new
// configuration has removed since the request arrived.
func (p *pool) budget(c *config.Class) *retry.Budget {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.budgets[c.Name].budget
}

const (
	// defaultRetryRatio is the share of first tries that may be retried.
	defaultRetryRatio = 0.1
	// retryBurst lets a rarely used class retry at all.
	retryBurst = 10
)

// acquire queues the request and waits for a slot at an upstream.
func (p *pool) acquire(ctx context.Context, r scheduler.Request, pick balancer.Request) (balancer.Pick, *apierror.Error) {
	w := &waiter{request: r, pick: pick, result: make(chan verdict, 1)}
	p.mu.Lock()
	p.waiters[r.ID] = w
	p.mu.Unlock()
	p.refuse(p.sched.Enqueue(p.in.now(), r))
	p.pump()
	select {
	case v := <-w.result:
		if v.shed != nil {
			return balancer.Pick{}, shedError(*v.shed)
		}
		return v.pick, nil
	case <-ctx.Done():
		p.abandon(w)
		return balancer.Pick{}, errCallerGone
	}
}

// abandon takes a request whose caller is gone out of the queue and gives back the
// slot that it may just have been given.
func (p *pool) abandon(w *waiter) {
	p.sched.Cancel(p.in.now(), w.request.ID)
	p.mu.Lock()
	delete(p.waiters, w.request.ID)
	p.mu.Unlock()
	select {
	case v := <-w.result:
		if v.shed == nil {
			p.releaseUnused(w.request, v.pick)
			p.pump()
		}
	default:
	}
}

// releaseUnused gives back a slot whose request was never sent.
func (p *pool) releaseUnused(r scheduler.Request, pick balancer.Pick) {
	now := p.in.now()
	p.bal.Done(now, pick, balancer.Result{Status: balancer.Cancelled})
	p.sched.Observe(now, scheduler.Sample{Class: r.Class, Team: r.Team})
}

// pump dispatches waiting requests while the balancer has open slots.
func (p *pool) pump() {
	p.pumping.Lock()
	defer p.pumping.Unlock()
	now := p.in.now()
	if !p.in.fresh(now) {
		return // a later tick dispatches
	}
	var parked []scheduler.Request
	for len(parked) < maxParked {
		open, total := p.bal.SlotCounts(now)
		if open == 0 {
			break
		}
		p.sched.SetRoom(now, open, total)
		r, ok, shed := p.sched.Next(now)
		p.refuse(shed)
		if !ok {
			break
		}
		if !p.grant(now, r) {
			parked = append(parked, r)
		}
	}
	for _, r := range parked {
		p.sched.Observe(now, scheduler.Sample{Class: r.Class, Team: r.Team})
		r.Retry = true
		p.refuse(p.sched.Enqueue(now, r))
	}
}

// maxParked bounds how many requests that cannot be placed now (isolated ones, for
// which every upstream has an isolated request already) are passed over in one round.
const maxParked = 8

// grant gives the request a slot. It returns false when no upstream can take it now.
func (p *pool) grant(now time.Duration, r scheduler.Request) bool {
	p.mu.Lock()
	w := p.waiters[r.ID]
	p.mu.Unlock()
	if w == nil { // the caller is gone
		p.sched.Observe(now, scheduler.Sample{Class: r.Class, Team: r.Team})
		return true
	}
	pick, ok := p.bal.Pick(now, w.pick)
	if !ok {
		return false
	}
	if !p.finish(r.ID, verdict{pick: pick}) {
		p.releaseUnused(r, pick)
	}
	return true
}

// refuse delivers shed decisions at once.
func (p *pool) refuse(list []scheduler.Shed) {
	for i := range list {
		p.finish(list[i].ID, verdict{shed: &list[i]})
	}
}

// finish hands the verdict to the waiter. It returns false when the caller has gone
// in between.
func (p *pool) finish(id uint64, v verdict) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.waiters[id]
	if w == nil {
		return false
	}
	delete(p.waiters, id)
	w.result <- v
	return true
}

// tick sheds what can no longer meet its deadline and uses slots that have opened
// with time, such as those of probes.
func (p *pool) tick() {
	p.refuse(p.sched.Tick(p.in.now()))
	p.pump()
}

// done gives the slot back, teaches the scheduler and dispatches the next request.
func (p *pool) done(pick balancer.Pick, r balancer.Result, sample scheduler.Sample) {
	now := p.in.now()
	p.bal.Done(now, pick, r)
	p.sched.Observe(now, sample)
	p.pump()
}

// learnService takes the service time of a completed request.
func (p *pool) learnService(class string, took time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	mean, ok := p.services[class]
	if !ok {
		mean = took
	}
	p.services[class] = mean + (took-mean)/serviceWeight
}

// answerWait is how long a whole answer may take until its connection is taken for
// silent and the request is tried elsewhere.
func (p *pool) answerWait(class string) time.Duration {
	limit := p.in.settings.Limits.AnswerTimeout.Std()
	p.mu.Lock()
	defer p.mu.Unlock()
	mean, ok := p.services[class]
	if !ok {
		return limit
	}
	return min(max(silentFactor*mean, minAnswerWait), limit)
}

const (
	// serviceWeight makes the moving mean cover about 16 requests.
	serviceWeight = 16
	// silentFactor times the mean is beyond all but about one in a thousand service
	// times of a lognormal distribution with a sigma of 0.8.
	silentFactor = 8
	// minAnswerWait keeps short answers from being tried twice in a burst.
	minAnswerWait = 10 * time.Second
)

// defaultClass is the class of requests for which neither a header nor a rule names one.
func (p *pool) defaultClass(r *routes) string {
	for _, m := range r.deployment.Models {
		if m.Name == p.name {
			return m.Class
		}
	}
	return ""
}
