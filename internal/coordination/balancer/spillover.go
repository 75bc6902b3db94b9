package balancer

import "time"

const (
	// remoteLimitDivisor divides the limit of a remote upstream to give the part that
	// this instance may use.
	remoteLimitDivisor = 4
	// remoteExtraRTTSeconds is the additional round-trip time to another failure domain.
	remoteExtraRTTSeconds = 0.003
	// maxSpilloverLatencyAge bounds the age of a remote latency average that can cause
	// spillover.
	maxSpilloverLatencyAge = 10 * time.Second
)

// minLimit returns the smallest limit of u. A remote upstream needs a limit of at least
// remoteLimitDivisor for one slot; without a slot it would receive no request that could
// raise its limit again.
func (b *Balancer) minLimit(u *upstream) float64 {
	if u.remote {
		return min(max(b.opts.MinLimit, remoteLimitDivisor), b.opts.MaxLimit)
	}
	return b.opts.MinLimit
}

// capacity returns the number of requests that this instance may have in flight at u.
func (u *upstream) capacity(now time.Duration) int {
	n := u.limiter.effectiveLimit(now)
	if u.remote {
		// A baseline measurement must not withhold the only slot.
		if n < remoteLimitDivisor {
			n = int(u.limiter.minLimit)
		}
		return n / remoteLimitDivisor
	}
	return n
}

func (u *upstream) hasFreeSlot(now time.Duration) bool { return u.inFlight < u.capacity(now) }

// limitCeiling returns the upper bound for increases of the limit of u. The quarter of a
// remote upstream's limit can be in use while the upstream's own failure domain leaves it
// idle, so that its limit would keep growing. The largest limit in the own failure domain
// as the bound keeps that quarter at a quarter of what one instance uses of one upstream.
func (b *Balancer) limitCeiling(u *upstream) float64 {
	if !u.remote {
		return b.opts.MaxLimit
	}
	highest := 0.0
	for _, local := range b.subset[:b.localCount] {
		if !local.ejection.ejected {
			highest = max(highest, local.limiter.limit)
		}
	}
	if highest == 0 {
		return b.opts.MaxLimit
	}
	return max(highest, remoteLimitDivisor)
}

// predictedSlower reports whether the local upstream is predicted to return the first
// token later than the remote one by more than the additional round trip. Taking the mean
// deviations into account keeps noise from sending requests to another failure domain.
func predictedSlower(now time.Duration, local, remote *upstream) bool {
	l, r := &local.latency, &remote.latency
	if !l.valid(now) || !r.valid(now) || now-r.updatedAt > maxSpilloverLatencyAge {
		return false
	}
	return float64(l.firstToken)-l.firstTokenDeviation > float64(r.firstToken)+r.firstTokenDeviation+remoteExtraRTTSeconds
}
