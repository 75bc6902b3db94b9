package retry

import "time"

const (
	// settleTime is the time within which all instances learn of one that has joined.
	settleTime = 5 * time.Second
	// minInstances is the minimum number of instances among which the slack is divided, so that
	// the total stays within the limit even while an instance knows only a few others.
	minInstances = 8
)

// Slack divides the retries that are allowed regardless of the number of requests among the
// instances, without messages between them.
type Slack struct {
	Total  int           // of all instances in a window
	Window time.Duration // over which the bound holds
}

// Share returns the share of an instance that has been running for uptime. instances is the number
// of instances that may have sent retries within the last window, 0 if it is unknown.
//
// The shares add up to at most Total in every window: an instance that joins takes no share until
// the others have given up theirs for a whole window, and one that ends or cannot be reached
// still counts.
func (s Slack) Share(uptime time.Duration, instances int) int {
	if instances <= 0 || uptime < s.Window+settleTime {
		return 0
	}
	return max(s.Total, 0) / max(instances, minInstances)
}
