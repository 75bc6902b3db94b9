package balancer

import "time"

const (
	// spillShare is the part of a remote upstream's limit that is open to this
	// instance, as a divisor.
	spillShare = 4
	// spillExtra is the extra round trip to another failure domain, in seconds.
	spillExtra = 0.003
	// spillValid bounds the age of the averages on which latency spillover rests.
	spillValid = 10 * time.Second
)

// minLimit returns the smallest limit of u. A remote upstream needs a limit of
// spillShare for one open slot; without one it would get no request that could raise
// its limit again.
func (b *Balancer) minLimit(u *upstream) float64 {
	if u.remote {
		return min(max(b.o.MinLimit, spillShare), b.o.MaxLimit)
	}
	return b.o.MinLimit
}

// capacity returns the number of requests that this instance may have in flight at u.
func (u *upstream) capacity(now time.Duration) int {
	n := u.limit.open(now)
	if u.remote {
		// A drain must not close the only slot.
		if n < spillShare {
			n = int(u.limit.min)
		}
		return n / spillShare
	}
	return n
}

func (u *upstream) hasRoom(now time.Duration) bool { return u.inFlight < u.capacity(now) }

// ceiling bounds the growth of the limit of u. A remote upstream's quarter can fill
// while its own domain leaves it idle; bounded by the largest limit in the own
// domain, that quarter stays a quarter of what one instance gives one upstream.
func (b *Balancer) ceiling(u *upstream) float64 {
	if !u.remote {
		return b.o.MaxLimit
	}
	highest := 0.0
	for _, l := range b.subset[:b.localCount] {
		if !l.eject.ejected {
			highest = max(highest, l.limit.value)
		}
	}
	if highest == 0 {
		return b.o.MaxLimit
	}
	return max(highest, spillShare)
}

// slower reports whether the local upstream is predicted to give the first token
// later than the remote one by more than the extra round trip. The mean deviations
// keep noise from sending requests to another domain.
func slower(now time.Duration, local, remote *upstream) bool {
	l, r := &local.latency, &remote.latency
	if !l.valid(now) || !r.valid(now) || now-r.updated > spillValid {
		return false
	}
	return float64(l.first)-l.firstDev > float64(r.first)+r.firstDev+spillExtra
}
