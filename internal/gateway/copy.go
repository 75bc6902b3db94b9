package gateway

import (
	"github.com/yuccabridge/yuccabridge/internal/coordination/replica"
)

// briefAnswer is what a peer says about its copy without sending it.
type briefAnswer struct {
	// Changes are those between the position that was asked for and ChangesTo; none if they are too large.
	Changes   []replica.Change
	ChangesTo replica.Position
	// Position is that of the peer's copy if the changes are too large.
	Position replica.Position
	// ConfigurationVersion is the version in force at the peer if it is newer, and ConfigurationAt its position.
	ConfigurationVersion uint64
	ConfigurationAt      replica.Position
}

func (p *peers) newBriefAnswer(after replica.Position, version uint64) *briefAnswer {
	answer := &briefAnswer{}
	w := p.gateway.platformWatcher
	if position, ok := w.replica.Position(); ok && position.Compare(after) > 0 {
		changes, to, complete := w.recent.After(after)
		if complete && changesSize(changes) <= maxChangesBytes {
			answer.Changes, answer.ChangesTo = changes, to
		} else {
			answer.Position = position
		}
	}
	if newer, at := p.gateway.configurationPosition(); newer > version {
		answer.ConfigurationVersion, answer.ConfigurationAt = newer, at
	}
	return answer
}

// needsCopy reports whether this instance has to copy from a peer what the brief answer does not hold. The platform
// sends it otherwise, unless it does not answer or has come back from a copy that is older than the peer's.
func (p *peers) needsCopy(answer *briefAnswer) bool {
	if answer == nil {
		return false // from an older build, which has answered in full
	}
	newer := answer.ConfigurationVersion > p.gateway.configurationVersion()
	position, _ := p.gateway.platformWatcher.replica.Position()
	if p.platformUnavailable() {
		return newer || answer.Position.Compare(position) > 0
	}
	return newer && position.Compare(answer.ConfigurationAt) >= 0
}

// completeSnapshot adds the configuration that a peer has left out because this instance has it. It reports whether
// the snapshot can be used.
func (g *Gateway) completeSnapshot(snapshot *replica.Snapshot) bool {
	for i, item := range snapshot.Items {
		if len(item.Value) > 0 || !g.adapter.Decoder.IsConfiguration(item.Key) {
			continue
		}
		g.publishedMu.Lock()
		published := g.published
		g.publishedMu.Unlock()
		if published == nil || published.item.Position() != item.Position() {
			return false
		}
		snapshot.Items[i].Value = published.item.Value
	}
	return true
}
