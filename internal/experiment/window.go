package experiment

import "time"

// measurementWindow is the period of a run whose results are reported: from the end of the
// warm-up to the end of sending.
type measurementWindow struct {
	warmup, runDuration time.Duration
	start, end          time.Time
}

// includes reports whether the intended send time is within the window. Every arrival is
// planned before the end of sending.
func (w measurementWindow) includes(arrival Arrival) bool { return arrival.At >= w.warmup }

func (w measurementWindow) seconds() float64 { return (w.runDuration - w.warmup).Seconds() }

// tokensWithin estimates how many tokens of the response arrived within the window,
// assuming that they are evenly spaced between the first and the last one. Counting all
// tokens would attribute responses that are still queued when sending ends to the
// throughput of the window.
func (w measurementWindow) tokensWithin(result attemptResult) float64 {
	tokens, streamDuration := float64(result.tokens), result.lastTokenAt.Sub(result.firstTokenAt)
	if streamDuration <= 0 {
		if result.lastTokenAt.Before(w.start) || result.lastTokenAt.After(w.end) {
			return 0
		}
		return tokens
	}
	from, to := latest(result.firstTokenAt, w.start), earliest(result.lastTokenAt, w.end)
	return tokens * max(0, to.Sub(from).Seconds()) / streamDuration.Seconds()
}

func latest(a, b time.Time) time.Time {
	if a.After(b) {
		return a
	}
	return b
}

func earliest(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
