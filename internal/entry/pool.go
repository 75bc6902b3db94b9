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

// requestQueue orders waiting requests and decides which to shed.
type requestQueue interface {
	Reconfigure(now time.Duration, o scheduler.Options)
	Enqueue(now time.Duration, r scheduler.Request) []scheduler.Shed
	SetSlots(now time.Duration, openSlots, totalSlots int)
	Next(now time.Duration) (scheduler.Request, bool, []scheduler.Shed)
	Tick(now time.Duration) []scheduler.Shed
	Cancel(now time.Duration, id uint64) bool
	Observe(now time.Duration, sample scheduler.Sample)
	MergePressure(now time.Duration, peer string, p scheduler.Pressure, age time.Duration)
	Pressure(now time.Duration) scheduler.Pressure
}

// upstreamBalancer selects the upstream for a request.
type upstreamBalancer interface {
	SetUpstreams(now time.Duration, upstreams []balancer.Upstream)
	SetPeers(now time.Duration, instances []string)
	SetTokenIntervalTarget(target time.Duration)
	SlotCounts(now time.Duration) (open, total int)
	Pick(now time.Duration, r balancer.Request) (balancer.Pick, bool)
	Done(now time.Duration, p balancer.Pick, r balancer.Result)
	ReportLoad(now time.Duration, upstream string, l balancer.LoadReport)
	Snapshot(now time.Duration) []balancer.UpstreamState
}

// poolKind distinguishes pools of model engines from pools of plain services.
type poolKind int

const (
	modelPool poolKind = iota
	servicePool
)

// pool holds the queue, balancer and upstream connections of one model or service.
type pool struct {
	name     string
	kind     poolKind
	instance *Instance

	queue    requestQueue
	balancer upstreamBalancer

	// dispatchMu serializes dispatching, so that a slot counted by SlotCounts is still open
	// for Pick.
	dispatchMu sync.Mutex

	mu               sync.Mutex
	waiters          map[uint64]*waiter
	clients          map[string]*upstream.Client
	retryBudgets     map[string]classBudget
	meanServiceTimes map[string]time.Duration // moving mean by class
	lastLoadReports  map[string]loadState     // by upstream name
}

// waiter is a queued request.
type waiter struct {
	request   scheduler.Request
	selection balancer.Request
	result    chan admission // buffered; receives one value
}

// admission is the result of queueing a request: a slot at an upstream or a shed decision.
type admission struct {
	pick balancer.Pick
	shed *scheduler.Shed
}

func newPool(in *Instance, name string, kind poolKind, d *config.Deployment, seed uint64) *pool {
	p := &pool{
		name:             name,
		kind:             kind,
		instance:         in,
		waiters:          map[uint64]*waiter{},
		clients:          map[string]*upstream.Client{},
		retryBudgets:     map[string]classBudget{},
		meanServiceTimes: map[string]time.Duration{},
		lastLoadReports:  map[string]loadState{},
	}
	if in.settings.Policy == settings.Baseline {
		p.queue, p.balancer = baseline.NewQueue(in.settings.Limits.QueueLimit), baseline.NewRoundRobin()
		return p
	}
	p.queue = scheduler.New(schedulerOptions(d, in.settings.Limits.QueueLimit), rand.New(rand.NewPCG(seed, 1)))
	p.balancer = balancer.New(balancer.Options{
		Instance:            in.settings.Instance,
		Domain:              in.settings.FailureDomain,
		TokenIntervalTarget: strictestTokenInterval(d, kind),
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

// strictestTokenInterval returns the shortest token interval target of all classes. An
// engine runs one batch for all classes, so its limit must meet the strictest target.
func strictestTokenInterval(d *config.Deployment, kind poolKind) time.Duration {
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

// configure applies a configuration and the set of leaving upstreams.
func (p *pool) configure(d *config.Deployment, upstreams []config.Upstream, leaving map[string]bool) {
	now := p.instance.now()
	p.queue.Reconfigure(now, schedulerOptions(d, p.instance.settings.Limits.QueueLimit))
	list := make([]balancer.Upstream, 0, len(upstreams))
	for _, u := range upstreams {
		list = append(list, balancer.Upstream{Name: u.Name, Address: u.Address, Domain: p.upstreamDomain(u), Leaving: leaving[u.Name]})
	}
	p.balancer.SetTokenIntervalTarget(strictestTokenInterval(d, p.kind))
	p.balancer.SetUpstreams(now, list)
	p.updateRetryBudgets(d)
	p.closeRemovedClients(upstreams)
	p.dispatch()
}

// upstreamDomain returns the failure domain of an upstream for the balancer. Without peers
// all upstreams count as local: no other instance serves the other domains, for which
// three quarters of a domain's upstreams would otherwise be reserved.
func (p *pool) upstreamDomain(u config.Upstream) string {
	if p.instance.peers == nil {
		return p.instance.settings.FailureDomain
	}
	return u.FailureDomain
}

// closeRemovedClients removes the clients of upstreams that are no longer configured and
// closes their idle connections.
func (p *pool) closeRemovedClients(upstreams []config.Upstream) {
	keep := map[string]bool{}
	for _, u := range upstreams {
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

func (p *pool) clientFor(address string) *upstream.Client {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.clients[address]
	if !ok {
		c = upstream.New(address, upstream.Options{Dial: p.instance.network.upstreamDialer()})
		p.clients[address] = c
	}
	return c
}

// classBudget is the retry budget of a class with its ratio.
type classBudget struct {
	ratio  float64
	budget *retry.Budget
}

// updateRetryBudgets creates a retry budget for each class. A budget with an unchanged
// ratio is kept, including the retries it has accumulated.
func (p *pool) updateRetryBudgets(d *config.Deployment) {
	p.mu.Lock()
	defer p.mu.Unlock()
	budgets := map[string]classBudget{}
	for _, c := range d.Classes {
		ratio := c.RetryRatio
		if ratio == 0 {
			ratio = defaultRetryRatio
		}
		b, ok := p.retryBudgets[c.Name]
		if !ok || b.ratio != ratio {
			b = classBudget{ratio: ratio, budget: retry.NewBudget(ratio, retryBudgetBurst)}
		}
		budgets[c.Name] = b
	}
	p.retryBudgets = budgets
}

// retryBudget returns the retry budget of a class. It is nil if a new configuration has
// removed the class since the request arrived.
func (p *pool) retryBudget(c *config.Class) *retry.Budget {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.retryBudgets[c.Name].budget
}

const (
	// defaultRetryRatio is the permitted ratio of retries to first attempts.
	defaultRetryRatio = 0.1
	// retryBudgetBurst allows retries in classes with few requests.
	retryBudgetBurst = 10
)

// acquire queues the request and waits for a slot at an upstream.
func (p *pool) acquire(ctx context.Context, r scheduler.Request, selection balancer.Request) (balancer.Pick, *apierror.Error) {
	w := &waiter{request: r, selection: selection, result: make(chan admission, 1)}
	p.mu.Lock()
	p.waiters[r.ID] = w
	p.mu.Unlock()
	p.deliverShed(p.queue.Enqueue(p.instance.now(), r))
	p.dispatch()
	select {
	case result := <-w.result:
		if result.shed != nil {
			return balancer.Pick{}, shedError(*result.shed)
		}
		return result.pick, nil
	case <-ctx.Done():
		p.cancelWait(w)
		return balancer.Pick{}, abortError(ctx, false)
	}
}

// cancelWait removes the request of a disconnected caller from the queue and releases the
// slot that it may have been assigned in the meantime.
func (p *pool) cancelWait(w *waiter) {
	p.queue.Cancel(p.instance.now(), w.request.ID)
	p.mu.Lock()
	delete(p.waiters, w.request.ID)
	p.mu.Unlock()
	select {
	case result := <-w.result:
		if result.shed == nil {
			p.releaseUnusedSlot(w.request, result.pick)
			p.dispatch()
		}
	default:
	}
}

// releaseUnusedSlot releases a slot whose request was not sent.
func (p *pool) releaseUnusedSlot(r scheduler.Request, pick balancer.Pick) {
	now := p.instance.now()
	p.balancer.Done(now, pick, balancer.Result{Status: balancer.Cancelled})
	p.queue.Observe(now, scheduler.Sample{Class: r.Class, Team: r.Team})
}

// dispatch assigns open slots to queued requests.
func (p *pool) dispatch() {
	p.dispatchMu.Lock()
	defer p.dispatchMu.Unlock()
	now := p.instance.now()
	if !p.instance.membershipFresh(now) {
		return // a later tick dispatches, when the membership state is fresh
	}
	var skipped []scheduler.Request
	for len(skipped) < maxSkipped {
		open, total := p.balancer.SlotCounts(now)
		if open == 0 {
			break
		}
		p.queue.SetSlots(now, open, total)
		r, ok, shed := p.queue.Next(now)
		p.deliverShed(shed)
		if !ok {
			break
		}
		if !p.assignSlot(now, r) {
			skipped = append(skipped, r)
		}
	}
	for _, r := range skipped {
		p.queue.Observe(now, scheduler.Sample{Class: r.Class, Team: r.Team})
		r.Retry = true
		p.deliverShed(p.queue.Enqueue(now, r))
	}
}

// maxSkipped bounds how many requests without an eligible upstream are skipped in one
// dispatch. These are isolated requests when every upstream already runs an isolated one.
const maxSkipped = 8

// assignSlot assigns a slot to the request. It returns false if no upstream is eligible.
func (p *pool) assignSlot(now time.Duration, r scheduler.Request) bool {
	p.mu.Lock()
	w := p.waiters[r.ID]
	p.mu.Unlock()
	if w == nil { // the caller has disconnected
		p.queue.Observe(now, scheduler.Sample{Class: r.Class, Team: r.Team})
		return true
	}
	pick, ok := p.balancer.Pick(now, w.selection)
	if !ok {
		return false
	}
	if !p.deliver(r.ID, admission{pick: pick}) {
		p.releaseUnusedSlot(r, pick)
	}
	return true
}

// deliverShed passes shed decisions to the waiting requests.
func (p *pool) deliverShed(shed []scheduler.Shed) {
	for i := range shed {
		p.deliver(shed[i].ID, admission{shed: &shed[i]})
	}
}

// deliver passes the result to the waiter. It returns false if the caller has disconnected.
func (p *pool) deliver(id uint64, result admission) bool {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.waiters[id]
	if w == nil {
		return false
	}
	delete(p.waiters, id)
	w.result <- result
	return true
}

// tick sheds requests that can no longer meet their deadline and dispatches to slots that
// open with time, such as those for probes.
func (p *pool) tick() {
	p.deliverShed(p.queue.Tick(p.instance.now()))
	p.dispatch()
}

// releaseSlot releases the slot of a finished attempt, updates the scheduler's estimates
// and dispatches queued requests.
func (p *pool) releaseSlot(pick balancer.Pick, r balancer.Result, sample scheduler.Sample) {
	now := p.instance.now()
	p.balancer.Done(now, pick, r)
	p.queue.Observe(now, sample)
	p.dispatch()
}

// recordServiceTime updates the mean service time of a class.
func (p *pool) recordServiceTime(class string, elapsed time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	mean, ok := p.meanServiceTimes[class]
	if !ok {
		mean = elapsed
	}
	p.meanServiceTimes[class] = mean + (elapsed-mean)/serviceTimeWeight
}

// responseTimeout returns how long to wait for a complete response before the attempt
// fails and the request may be retried at another upstream.
func (p *pool) responseTimeout(class string) time.Duration {
	limit := p.instance.settings.Limits.AnswerTimeout.Std()
	p.mu.Lock()
	defer p.mu.Unlock()
	mean, ok := p.meanServiceTimes[class]
	if !ok {
		return limit
	}
	return min(max(responseTimeoutFactor*mean, minResponseTimeout), limit)
}

const (
	// serviceTimeWeight is the inverse weight of a new sample in the moving mean, which
	// covers about 16 requests.
	serviceTimeWeight = 16
	// responseTimeoutFactor times the mean exceeds all but about one in a thousand service
	// times of a lognormal distribution with a sigma of 0.8.
	responseTimeoutFactor = 8
	// minResponseTimeout prevents second attempts for short responses during a burst.
	minResponseTimeout = 10 * time.Second
)

// defaultClass returns the model's class for requests without a class header or matching rule.
func (p *pool) defaultClass(r *routingTable) string {
	for _, m := range r.deployment.Models {
		if m.Name == p.name {
			return m.Class
		}
	}
	return ""
}
