package gateway

import (
	"context"
	"math"
	"math/rand/v2"
	"net"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/yuccabridge/yuccabridge/internal/coordination/dispatch"
	"github.com/yuccabridge/yuccabridge/internal/coordination/duplicate"
	"github.com/yuccabridge/yuccabridge/internal/coordination/retry"
	"github.com/yuccabridge/yuccabridge/internal/eventlog"
	"github.com/yuccabridge/yuccabridge/internal/transport/upstream"
)

const (
	// tickInterval is how often the dispatcher decides about waiting requests.
	tickInterval = 20 * time.Millisecond
	// maxIdleConnections bounds the number of idle connections to one upstream.
	maxIdleConnections = 32
	// idleConnectionTimeout is how long an idle connection is kept if the upstream
	// announces no timeout.
	idleConnectionTimeout = 8 * time.Second
	// dialTimeout bounds a dial. It is many round trips within a region, but shorter than
	// the first SYN retransmission, so that another upstream is tried in time.
	dialTimeout = 300 * time.Millisecond
	// unackedDataTimeout is how long sent data may remain unacknowledged; it allows several
	// retransmissions within a region.
	unackedDataTimeout = 1200 * time.Millisecond
	// keepAliveInterval is the idle time before the first keep-alive probe of a connection
	// and the interval between probes.
	keepAliveInterval = time.Second
)

// service holds the dispatcher, connections and retry budget of one group of upstreams.
type service struct {
	name       string
	dispatcher *dispatch.Dispatcher
	budget     *retry.Window
	duplicates *duplicate.Policy // nil if the settings allow none
	paths      *upstreamPaths

	mu        sync.Mutex
	published map[string]dispatch.Upstream // by ID
	running   map[string]dispatch.Upstream // those that are not superseded at their address
	clients   map[string]*upstream.Client
	waiters   map[uint64]chan dispatch.Decision

	loggedStreamUpstreams int // as last logged by logUpstreamSplit; used by one goroutine only
}

func (g *Gateway) newService(name string) *service {
	s := &service{
		name: name,
		dispatcher: dispatch.New(dispatch.Options{Domain: g.settings.FailureDomain, TokensPerMS: g.settings.PromptTokensPerMS},
			rand.New(rand.NewPCG(g.seed, xxhash.Sum64String(name)))),
		budget:  retry.NewWindow(retryRatioFraction*g.settings.Retries.Ratio, g.settings.Retries.Window.Std()),
		paths:   g.paths,
		clients: map[string]*upstream.Client{},
		waiters: map[uint64]chan dispatch.Decision{},
	}
	if share := g.settings.Duplicates.Share; share > 0 {
		s.duplicates = duplicate.New(share, g.settings.Retries.Window.Std())
	}
	return s
}

// retryRatioFraction is the fraction of the published retry ratio and slack that the instances
// use. The remainder allows for differences between instances in request counts and window
// boundaries.
const retryRatioFraction = 0.8

// retrySlack returns this instance's share of the retries that are allowed regardless of
// the number of requests. It changes with the number of instances.
func (g *Gateway) retrySlack() int {
	share := g.retrySlackAt(g.now())
	g.metrics.retrySlack.Set(float64(share))
	return share
}

func (g *Gateway) retrySlackAt(uptime time.Duration) int {
	slack := retry.Slack{Total: int(retryRatioFraction * float64(g.settings.Retries.Slack)), Window: g.settings.Retries.Window.Std()}
	return slack.Share(uptime, g.retryingInstances())
}

// retryAvailable reports whether the budget would allow a retry now.
func (s *service) retryAvailable(g *Gateway) bool { return s.budget.Available(g.now(), g.retrySlack()) }

// acquire submits a request to the dispatcher and waits while it is queued.
func (s *service) acquire(ex *exchange, r dispatch.Request) dispatch.Decision {
	waiter := make(chan dispatch.Decision, 1)
	s.mu.Lock()
	s.waiters[r.ID] = waiter
	s.mu.Unlock()
	decision := s.dispatcher.Submit(ex.gateway.now(), r)
	if decision.Grant == nil && decision.Rejection == nil {
		ex.logQueued(r, decision.Wait)
		queuedAt := ex.gateway.now()
		defer func() { ex.recordQueueTime(ex.gateway.now() - queuedAt) }()
		select {
		case decision = <-waiter:
		case <-ex.callCtx.Done():
			s.dispatcher.Cancel(r.ID)
			decision = s.removeWaiter(r.ID, waiter)
			return decision
		}
	}
	s.removeWaiter(r.ID, waiter)
	return decision
}

// removeWaiter removes a waiter and returns a decision that may have been delivered in the
// meantime.
func (s *service) removeWaiter(id uint64, waiter chan dispatch.Decision) dispatch.Decision {
	s.mu.Lock()
	delete(s.waiters, id)
	s.mu.Unlock()
	select {
	case decision := <-waiter:
		return decision
	default:
		return dispatch.Decision{ID: id}
	}
}

// deliverDecisions delivers decisions of the dispatcher to the waiting requests.
func (s *service) deliverDecisions(now time.Duration) {
	for _, decision := range s.dispatcher.Advance(now) {
		s.mu.Lock()
		waiter := s.waiters[decision.ID]
		delete(s.waiters, decision.ID)
		if waiter != nil {
			waiter <- decision
		}
		s.mu.Unlock()
		if waiter == nil && decision.Grant != nil {
			s.dispatcher.Done(now, decision.Grant.Token, dispatch.Cancelled)
		}
	}
}

// splitLogStep is the fraction of the upstreams by which the upstream split must change
// before it is logged again.
const splitLogStep = 0.1

// logUpstreamSplit logs changes of the division of upstreams between long prompts and
// streams.
func (s *service) logUpstreamSplit(g *Gateway) {
	split := s.dispatcher.UpstreamSplit(g.now())
	if delta := split.ForStreams - s.loggedStreamUpstreams; math.Abs(float64(delta)) <= splitLogStep*float64(split.Upstreams) {
		return
	}
	g.log.WithFields(logrus.Fields{
		"event": eventlog.UpstreamSplitChanged, "service": s.name, "for_streams": split.ForStreams, "previous": s.loggedStreamUpstreams, "upstreams": split.Upstreams,
		"long_work": roundHundredths(split.LongWork), "short_work": roundHundredths(split.ShortWork), "streams": split.Streams,
	}).Info("upstream split changed")
	s.loggedStreamUpstreams = split.ForStreams
}

// roundHundredths rounds to two decimal places.
func roundHundredths(x float64) float64 { return math.Round(x*100) / 100 }

// probeEjected dials ejected upstreams that are due for a probe, so that no request is
// spent on testing them.
func (s *service) probeEjected(g *Gateway) {
	for _, ejected := range s.dispatcher.ProbesDue(g.now()) {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), connectTimeout)
			defer cancel()
			err := s.clientFor(ejected).Warm(ctx)
			s.dispatcher.RecordProbe(g.now(), ejected.ID, err == nil)
			switch {
			case refusedConnection(err):
				s.dispatcher.RecordProcessEnd(ejected.ID)
				g.recordCrash(ejected, g.log.WithField("event", eventlog.CrashRecorded))
			case err == nil:
				g.log.WithFields(logrus.Fields{"event": eventlog.UpstreamReconnected, "service": s.name, "upstream": ejected.ID}).Info("ejected upstream accepts connections again")
			}
		}()
	}
}

// clientKey identifies the client for an upstream. It contains the ID and the address because
// an address may be reassigned to another upstream.
func clientKey(u dispatch.Upstream) string { return u.ID + "@" + u.Address }

// clientFor returns the client for an upstream.
func (s *service) clientFor(target dispatch.Upstream) *upstream.Client {
	key := clientKey(target)
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.clients[key]
	if c == nil {
		c = upstream.New(target.Address, upstream.Options{
			DialTimeout: connectTimeout, ReuseWindow: idleConnectionTimeout, MaxIdle: maxIdleConnections,
			PreserveHeaderCase: true, Dial: func(ctx context.Context, _ string) (net.Conn, error) { return s.paths.dial(ctx, target) },
		})
		s.clients[key] = c
	}
	return c
}

// closeUnusableConnections closes the idle connections that may not be used again.
func (s *service) closeUnusableConnections() {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, c := range s.clients {
		c.CloseUnusable()
	}
}

// publishedUpstream returns the upstream that is published under an ID.
func (s *service) publishedUpstream(id string) (dispatch.Upstream, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	u, ok := s.published[id]
	return u, ok
}

// updateUpstreams replaces the list of upstreams and closes the idle connections to removed
// ones. Those at whose address the latest start is another one get no requests. It returns the upstreams in the
// place of which another process of the service runs now, each once.
func (s *service) updateUpstreams(now time.Duration, upstreams []dispatch.Upstream, latest map[string]string) (replaced []dispatch.Upstream) {
	ownLatest := latestStarts(upstreams)
	var used []dispatch.Upstream
	published, running, clientKeys := map[string]dispatch.Upstream{}, map[string]dispatch.Upstream{}, map[string]bool{}
	for _, u := range upstreams {
		published[u.ID] = u
		if isLaterStart(latest[u.Address], u.Incarnation) {
			continue
		}
		used = append(used, u)
		running[u.ID] = u
		clientKeys[clientKey(u)] = true
	}
	s.dispatcher.Update(now, used)
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, old := range s.running {
		if wasReplaced(old, published[id], ownLatest) {
			replaced = append(replaced, old)
		}
	}
	s.published, s.running = published, running
	for key, c := range s.clients {
		if !clientKeys[key] {
			c.Close()
			delete(s.clients, key)
		}
	}
	return replaced
}

// latestStarts returns the latest incarnation at each address. The entry of a process that has crashed stands
// for a while beside that of the process that has started at its address.
func latestStarts(upstreams []dispatch.Upstream) map[string]string {
	latest := make(map[string]string, len(upstreams))
	for _, u := range upstreams {
		if start, ok := latest[u.Address]; !ok || isLaterStart(u.Incarnation, start) {
			latest[u.Address] = u.Incarnation
		}
	}
	return latest
}

// wasReplaced reports whether another process runs in the place of one that ran. The next entry under its ID is
// zero if there is none. Of entries whose order of starts is unknown neither shows that the other's process has
// ended; the removal of one does.
func wasReplaced(old, next dispatch.Upstream, latest map[string]string) bool {
	if old.Incarnation != "" && next.Incarnation != "" && next.Incarnation != old.Incarnation {
		return true
	}
	start, taken := latest[old.Address]
	if next.Address == old.Address {
		return isLaterStart(start, next.Incarnation)
	}
	return taken && !isLaterStart(old.Incarnation, start)
}
