package experiment

import "time"

// window is the part of a run whose requests count: from the end of the warm-up to
// the end of sending.
type window struct {
	warmup, duration time.Duration
	start, end       time.Time
}

// counts reports whether the request was planned within the window.
func (w window) counts(a Arrival) bool { return a.At >= w.warmup }

func (w window) seconds() float64 { return (w.duration - w.warmup).Seconds() }

// part is the number of the answer's tokens that arrived within the window. Tokens are
// taken as evenly spread between the first and the last one. Without this, answers
// that are still queued when sending ends would count as throughput of the window.
func (w window) part(t attempt) float64 {
	tokens, total := float64(t.tokens), t.last.Sub(t.first)
	if total <= 0 {
		if t.last.Before(w.start) || t.last.After(w.end) {
			return 0
		}
		return tokens
	}
	from, to := latest(t.first, w.start), earliest(t.last, w.end)
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
