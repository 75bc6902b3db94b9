package balancer

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// upstream is the state of one upstream of the pool.
type upstream struct {
	Upstream
	hash     uint64 // of the name; equal at every instance
	remote   bool   // in another failure domain
	inSubset bool
	inFlight int
	isolated int   // isolated requests in flight
	oldest   int32 // head of the list of slots in use, noSlot when empty
	newest   int32 // tail of that list

	// The rest is learned and starts anew with each incarnation.
	epoch    uint32 // number of the learned state, unique within the Balancer
	limit    limiter
	latency  latency
	straggle straggle
	eject    ejection
	report   loadReport
}

func newUpstream(up Upstream) *upstream {
	return &upstream{Upstream: up, hash: xxhash.Sum64String(up.Name), oldest: noSlot, newest: noSlot}
}

// resetLearned forgets what was learned from an earlier incarnation or address.
func (b *Balancer) resetLearned(u *upstream) {
	b.epochs++
	u.epoch = b.epochs
	u.limit = newLimiter(b.o.InitialLimit, b.minLimit(u), b.o.MaxLimit)
	u.latency = latency{}
	u.straggle = straggle{}
	u.eject = ejection{}
	u.report = loadReport{}
}

// latency holds slow moving averages, in seconds. They feed straggler detection
// and the comparison between failure domains.
type latency struct {
	first, interval average
	firstDev        float64 // mean deviation of first
	samples         int
	updated         time.Duration
}

// average is an exponentially weighted moving average; 0 means no sample yet.
type average float64

func (a *average) add(x, weight float64) {
	if *a == 0 {
		*a = average(x)
		return
	}
	*a += average(weight * (x - float64(*a)))
}

const (
	// latencyWeight halves the weight of a sample after about three more, so that a
	// straggler probed once a second recovers within ten seconds.
	latencyWeight = 0.2
	// latencySamples is the number of samples before an average is compared.
	latencySamples = 5
	// latencyValid bounds the age of an average that is compared.
	latencyValid = time.Minute
)

func (l *latency) add(now time.Duration, s sample) {
	if s.first > 0 {
		dev := s.first - float64(l.first)
		if dev < 0 {
			dev = -dev
		}
		if l.first > 0 {
			l.firstDev += latencyWeight * (dev - l.firstDev)
		}
		l.first.add(s.first, latencyWeight)
	}
	if s.interval > 0 {
		l.interval.add(s.interval, latencyWeight)
	}
	l.samples++
	l.updated = now
}

func (l *latency) valid(now time.Duration) bool {
	return l.samples >= latencySamples && now-l.updated <= latencyValid
}

// sample is the latency of one request in seconds; 0 means not observed.
type sample struct {
	first, interval, service float64
	plain                    bool // first is the service time of a call without tokens
}

// sampleOf extracts the latency that r shows. A request cancelled before its first
// token is a lower bound of the time to first token; it counts only when it exceeds
// the average, so that an upstream that stalls is noticed without a completed request.
func sampleOf(r Result, average float64) (sample, bool) {
	s := sample{
		first:    r.FirstToken.Seconds(),
		interval: r.TokenInterval.Seconds(),
		service:  r.Service.Seconds(),
	}
	switch {
	case r.Status == Failed || r.Status == Crashed:
		return sample{}, false
	case r.Status == Cancelled && s.first <= 0:
		s.first = s.service
		return s, s.first > average && average > 0
	case s.first <= 0 && s.interval <= 0:
		s.first = s.service
		s.plain = true
	}
	return s, s.first > 0 || s.interval > 0
}
