package gateway

import (
	"time"

	"github.com/sirupsen/logrus"

	"github.com/yuccabridge/yuccabridge/internal/coordination/evacuation"
	"github.com/yuccabridge/yuccabridge/internal/coordination/replica"
	"github.com/yuccabridge/yuccabridge/internal/eventlog"
)

// EvacuationState is an evacuation in progress as served at /state.
type EvacuationState struct {
	FailureDomain string `json:"failure_domain"`
	// Since is when this instance learned of it.
	Since time.Time `json:"since"`
	// Revision is the revision of the platform's entry.
	Revision uint64 `json:"revision"`
}

// evacuationStates returns the evacuations in progress.
func (g *Gateway) evacuationStates() []EvacuationState {
	var states []EvacuationState
	for _, e := range g.evacuations.InProgress() {
		states = append(states, EvacuationState{FailureDomain: e.Domain, Since: g.startedAt.Add(e.Since).Round(0), Revision: e.Revision})
	}
	return states
}

// applyEvacuationChange applies a changed entry that evacuates a failure domain while it exists. It reports whether
// anything has changed for the upstreams.
func (g *Gateway) applyEvacuationChange(domain string, c replica.Change, era uint64, source string) bool {
	if c.Era != 0 {
		era = c.Era
	}
	return g.applyEvacuation(evacuation.Record{Domain: domain, Evacuated: !c.Deleted, Era: era, Revision: c.Revision}, source)
}

// mergeEvacuations applies what a peer knows of evacuations.
func (g *Gateway) mergeEvacuations(records []evacuation.Record, peer string) {
	changed := false
	for _, record := range records {
		if g.applyEvacuation(record, peer) {
			changed = true
		}
	}
	if changed {
		g.configurationMu.Lock()
		defer g.configurationMu.Unlock()
		g.assignUpstreams()
	}
}

func (g *Gateway) applyEvacuation(record evacuation.Record, source string) bool {
	if !g.evacuations.Apply(g.now(), record) {
		return false
	}
	g.metrics.evacuated.WithLabelValues(record.Domain).Set(boolValue(record.Evacuated))
	fields := logrus.Fields{"failure_domain": record.Domain, "revision": record.Revision, "source": source}
	if record.Evacuated {
		g.log.WithFields(fields).WithField("event", eventlog.EvacuationBegan).Warn("failure domain evacuated; nothing new is sent to its upstreams")
	} else {
		g.log.WithFields(fields).WithField("event", eventlog.EvacuationEnded).Warn("failure domain taken back")
	}
	return true
}
