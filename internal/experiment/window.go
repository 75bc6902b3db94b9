package experiment

import "time"

// window is the measurement window of a run: from the end of the warm-up to the end of
// sending.
type window struct {
	warmup, duration time.Duration
	start, end       time.Time
}

// includes reports whether the intended send time is within the window.
func (w window) includes(a Arrival) bool { return a.At >= w.warmup }

func (w window) seconds() float64 { return (w.duration - w.warmup).Seconds() }

// tokensWithin estimates how many tokens of the response arrived within the window,
// assuming that they are evenly spaced between the first and the last one. Counting all
// tokens would attribute responses that are still queued when sending ends to the
// throughput of the window.
func (w window) tokensWithin(result attempt) float64 {
	tokens, total := float64(result.tokens), result.lastTokenAt.Sub(result.firstTokenAt)
	if total <= 0 {
		if result.lastTokenAt.Before(w.start) || result.lastTokenAt.After(w.end) {
			return 0
		}
		return tokens
	}
	from, to := latest(result.firstTokenAt, w.start), earliest(result.lastTokenAt, w.end)
	return tokens * max(0, to.Sub(from).Seconds()) / total.Seconds()
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
