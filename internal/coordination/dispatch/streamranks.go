package dispatch

import (
	"time"

	"github.com/yuccabridge/yuccabridge/internal/state/expiring"
)

const (
	// outrankedShare is the share of its team's recent latency-sensitive streams that must be less urgent than a
	// long prompt before it may be placed beside streams that it makes late.
	outrankedShare = 0.5
	// teamStreamsTTL is how long the streams of a team are remembered after the last one.
	teamStreamsTTL = 10 * time.Second
	// maxStreamTeams bounds the number of teams whose streams are remembered.
	maxStreamTeams = 4096
)

// streamRanks counts the recent latency-sensitive streams by team and rank.
//
// The load pattern: streams take all upstreams but one, and long prompts of a more urgent class of the same
// team wait for that one until their callers leave.
type streamRanks struct {
	teams *expiring.Map[string, *[Ranks]decayingValue]
}

func newStreamRanks() streamRanks {
	return streamRanks{expiring.New(expiring.Options[string, *[Ranks]decayingValue]{TTL: teamStreamsTTL, MaxEntries: maxStreamTeams})}
}

// observe records the arrival of a latency-sensitive stream.
func (s streamRanks) observe(now time.Duration, team string, rank int) {
	counts, ok := s.teams.Peek(now, team)
	if !ok {
		counts = &[Ranks]decayingValue{}
	}
	count := &counts[rankIndex(rank)]
	count.value, count.updatedAt = count.decayedDemand(now)+1, now
	s.teams.Put(now, team, counts, 0)
}

// outranked reports whether most of the recent streams of the team are less urgent than the rank.
func (s streamRanks) outranked(now time.Duration, team string, rank int) bool {
	counts, ok := s.teams.Peek(now, team)
	if !ok {
		return false
	}
	all, lessUrgent := 0.0, 0.0
	for i := range counts {
		count := counts[i].decayedDemand(now)
		all += count
		if i > rankIndex(rank) {
			lessUrgent += count
		}
	}
	return lessUrgent > outrankedShare*all
}
