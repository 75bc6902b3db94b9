package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccabridge/yuccabridge/internal/eventlog"
)

// memberSettleTime is how long after its start an instance knows the others: all of them have learned of it by then, and
// it of them.
const memberSettleTime = 5 * time.Second

// departedPeriod is how long an instance that has announced its leave still counts as one that may be running.
const departedPeriod = 2 * time.Second

// knownInstances returns the names of all instances that may be running, this one included; none if they are not known
// yet.
func (g *Gateway) knownInstances() []string {
	if g.peers == nil {
		return []string{g.settings.Instance}
	}
	now := g.now()
	if now < memberSettleTime {
		return nil
	}
	return g.peers.membership.InstanceNames(now, sharedDomain, departedPeriod)
}

// updateKnownInstances tells the dispatchers which instances may be running.
func (g *Gateway) updateKnownInstances() {
	names := g.knownInstances()
	for _, s := range g.sortedServices() {
		s.dispatcher.SetKnownInstances(g.now(), names)
	}
}

// reportCold logs the upstreams of a service that have turned cold and counts those that are.
func (s *service) reportCold(g *Gateway, now time.Duration) {
	for _, cold := range s.dispatcher.TakeNewlyCold() {
		g.log.WithFields(logrus.Fields{"event": eventlog.UpstreamCold, "service": s.name, "upstream": cold.ID, "cause": string(cold.Cause),
			"for_ms": cold.For.Milliseconds(), "per_second": cold.Rate, "holder": cold.Holder}).Info("upstream is cold and takes few requests")
	}
	g.metrics.coldUpstreams.WithLabelValues(s.name).Set(float64(s.dispatcher.ColdUpstreams(now)))
}
