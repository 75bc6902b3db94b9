package gateway

import (
	"context"
	"math"
	"math/rand/v2"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/sirupsen/logrus"

	"github.com/yuccabridge/yuccabridge/internal/coordination/dispatch"
	"github.com/yuccabridge/yuccabridge/internal/coordination/retry"
	"github.com/yuccabridge/yuccabridge/internal/eventlog"
	"github.com/yuccabridge/yuccabridge/internal/transport/upstream"
)

const (
	// advanceInterval is how often waiting requests are decided about.
	advanceInterval = 20 * time.Millisecond
	// maxIdleConnections bounds the idle connections to one upstream.
	maxIdleConnections = 32
	// reuseWindow is how long an idle connection is kept when the upstream does not say.
	reuseWindow = 8 * time.Second
	// dialTimeout bounds a fresh dial: many round trips in one region, and less than the
	// first retransmission, so that another upstream is tried in time.
	dialTimeout = 300 * time.Millisecond
	// silentConnection is how long sent bytes may stay without an acknowledgement: several
	// retransmissions in one region.
	silentConnection = 1200 * time.Millisecond
	// keepAlivePause is the pause before and between probes of an idle connection.
	keepAlivePause = time.Second
)

// service is one group of upstreams: its dispatcher, its connections and its retry budget.
type service struct {
	name       string
	dispatcher *dispatch.Dispatcher
	budget     *retry.Window

	mu      sync.Mutex
	clients map[string]*upstream.Client
	waiters map[uint64]chan dispatch.Decision

	loggedForStreams int // in the last line about the border; used by one goroutine
}

func (g *Gateway) newService(name string) *service {
	return &service{
		name: name,
		dispatcher: dispatch.New(dispatch.Options{Domain: g.settings.FailureDomain, TokensPerMS: g.settings.PromptTokensPerMS},
			rand.New(rand.NewPCG(g.seed, xxhash.Sum64String(name)))),
		budget:  retry.NewWindow(retryMargin*g.settings.Retries.Ratio, g.retrySlack(), g.settings.Retries.Window.Std()),
		clients: map[string]*upstream.Client{},
		waiters: map[uint64]chan dispatch.Decision{},
	}
}

const (
	// retryMargin is the part of the published retry ratio that an instance uses: counts
	// of requests at different instances and windows differ.
	retryMargin = 0.8
	// slackInstances is the least number of instances among which the retry slack is
	// divided, so that it holds also while few of them are known.
	slackInstances = 8
)

// retrySlack is this instance's share of the retries that need no first tries.
func (g *Gateway) retrySlack() int {
	return int(retryMargin*float64(g.settings.Retries.Slack)) / max(slackInstances, g.instanceCount())
}

// acquire asks for an upstream and waits while the dispatcher holds the request.
func (s *service) acquire(x *exchange, r dispatch.Request) dispatch.Decision {
	w := make(chan dispatch.Decision, 1)
	s.mu.Lock()
	s.waiters[r.ID] = w
	s.mu.Unlock()
	decision := s.dispatcher.Submit(x.g.now(), r)
	if decision.Grant == nil && decision.Rejection == nil {
		x.logQueued(r)
		select {
		case decision = <-w:
		case <-x.life.Done():
			s.dispatcher.Cancel(r.ID)
			decision = s.forget(r.ID, w)
			return decision
		}
	}
	s.forget(r.ID, w)
	return decision
}

// forget removes the waiter and returns the decision that may just have been made.
func (s *service) forget(id uint64, w chan dispatch.Decision) dispatch.Decision {
	s.mu.Lock()
	delete(s.waiters, id)
	s.mu.Unlock()
	select {
	case decision := <-w:
		return decision
	default:
		return dispatch.Decision{ID: id}
	}
}

// advance delivers decisions about waiting requests.
func (s *service) advance(now time.Duration) {
	for _, decision := range s.dispatcher.Advance(now) {
		s.mu.Lock()
		w := s.waiters[decision.ID]
		delete(s.waiters, decision.ID)
		if w != nil {
			w <- decision
		}
		s.mu.Unlock()
		if w == nil && decision.Grant != nil {
			s.dispatcher.Done(now, decision.Grant.Token, dispatch.Cancelled)
		}
	}
}

// borderStep is the part of the upstreams by which the border must have moved since the
// last line about it.
const borderStep = 0.1

// logBorder notes a change of the division between long prompts and streams.
func (s *service) logBorder(g *Gateway) {
	b := s.dispatcher.UpstreamSplit(g.now())
	if moved := b.ForStreams - s.loggedForStreams; math.Abs(float64(moved)) <= borderStep*float64(b.Upstreams) {
		return
	}
	g.log.WithFields(logrus.Fields{
		"event": eventlog.UpstreamSplitChanged, "service": s.name, "for_streams": b.ForStreams, "previous": s.loggedForStreams, "upstreams": b.Upstreams,
		"long_work": round(b.LongWork), "short_work": round(b.ShortWork), "streams": b.Streams,
	}).Info("the division of the upstreams has moved")
	s.loggedForStreams = b.ForStreams
}

// round keeps two decimals for a log line.
func round(x float64) float64 { return math.Round(x*100) / 100 }

// probe dials the upstreams that were set aside, so that no request is spent on it.
func (s *service) probe(g *Gateway) {
	for _, to := range s.dispatcher.ProbesDue(g.now()) {
		go func() {
			ctx, cancel := context.WithTimeout(context.Background(), dialTimeout)
			defer cancel()
			err := s.client(to).Warm(ctx)
			s.dispatcher.RecordProbe(g.now(), to.ID, err == nil)
			if err == nil {
				g.log.WithFields(logrus.Fields{"event": eventlog.UpstreamReconnected, "service": s.name, "upstream": to.ID}).Info("an upstream that was set aside accepts connections")
			}
		}()
	}
}

// client returns the connections to an upstream. They are kept by name and address, since
// an address may be given to another upstream.
func (s *service) client(to dispatch.Upstream) *upstream.Client {
	key := to.ID + "@" + to.Address
	s.mu.Lock()
	defer s.mu.Unlock()
	c := s.clients[key]
	if c == nil {
		c = upstream.New(to.Address, upstream.Options{
			DialTimeout: dialTimeout, ReuseWindow: reuseWindow, MaxIdle: maxIdleConnections,
			TCPUserTimeout: silentConnection, KeepAliveInterval: keepAlivePause, PreserveHeaderCase: true,
		})
		s.clients[key] = c
	}
	return c
}

// update replaces the upstreams and closes the idle connections to those that are gone.
func (s *service) update(now time.Duration, list []dispatch.Upstream) {
	s.dispatcher.Update(now, list)
	keep := map[string]bool{}
	for _, u := range list {
		keep[u.ID+"@"+u.Address] = true
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	for key, c := range s.clients {
		if !keep[key] {
			c.Close()
			delete(s.clients, key)
		}
	}
}
