package balancer

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// upstream is the state of one upstream of the pool.
type upstream struct {
	Upstream
	nameHash         uint64 // equal at every instance
	remote           bool   // in another failure domain
	inSubset         bool
	inFlight         int
	isolatedInFlight int   // number of isolated requests in flight
	oldestSlot       int32 // head of the list of slots in use; noSlot when empty
	newestSlot       int32 // tail of that list

	// The learned state is reset with each incarnation.
	epoch      uint32 // identifies the learned state; unique within the Balancer
	limiter    limiter
	latency    latencyAverages
	straggler  stragglerState
	ejection   ejection
	loadReport loadReport
}

func newUpstream(entry Upstream) *upstream {
	return &upstream{Upstream: entry, nameHash: xxhash.Sum64String(entry.Name), oldestSlot: noSlot, newestSlot: noSlot}
}

// resetLearnedState discards the state learned from an earlier incarnation or address.
func (b *Balancer) resetLearnedState(u *upstream) {
	b.lastEpoch++
	u.epoch = b.lastEpoch
	u.limiter = newLimiter(b.opts.InitialLimit, b.minLimit(u), b.opts.MaxLimit)
	u.latency = latencyAverages{}
	u.straggler = stragglerState{}
	u.ejection = ejection{}
	u.loadReport = loadReport{}
}

// latencyAverages holds slow-moving averages in seconds, for straggler detection and the
// comparison between failure domains.
type latencyAverages struct {
	firstToken, tokenInterval ewma
	firstTokenDeviation       float64 // mean deviation of firstToken
	samples                   int
	updatedAt                 time.Duration
}

// ewma is an exponentially weighted moving average; 0 means that it has no sample.
type ewma float64

func (a *ewma) add(value, weight float64) {
	if *a == 0 {
		*a = ewma(value)
		return
	}
	*a += ewma(weight * (value - float64(*a)))
}

const (
	// latencyEWMAWeight is the weight of a new sample. The weight of a sample halves after
	// about three more, so that a straggler probed once a second recovers within ten
	// seconds.
	latencyEWMAWeight = 0.2
	// minLatencySamples is the number of samples an average needs to be compared.
	minLatencySamples = 5
	// maxLatencyAge is the age up to which an average is compared.
	maxLatencyAge = time.Minute
)

func (l *latencyAverages) add(now time.Duration, sample latencySample) {
	if sample.firstToken > 0 {
		deviation := sample.firstToken - float64(l.firstToken)
		if deviation < 0 {
			deviation = -deviation
		}
		if l.firstToken > 0 {
			l.firstTokenDeviation += latencyEWMAWeight * (deviation - l.firstTokenDeviation)
		}
		l.firstToken.add(sample.firstToken, latencyEWMAWeight)
	}
	if sample.tokenInterval > 0 {
		l.tokenInterval.add(sample.tokenInterval, latencyEWMAWeight)
	}
	l.samples++
	l.updatedAt = now
}

// valid reports whether the averages have enough recent samples to be compared.
func (l *latencyAverages) valid(now time.Duration) bool {
	return l.samples >= minLatencySamples && now-l.updatedAt <= maxLatencyAge
}

// latencySample holds the latencies of one request in seconds; 0 means not observed.
type latencySample struct {
	firstToken, tokenInterval, serviceTime float64
	serviceTimeOnly                        bool // the response has no tokens, and firstToken is the service time
}

// latencyFromResult returns the latencies observed in r. The duration of a request that
// was cancelled before its first token is a lower bound of the time to first token. It is
// used only when it exceeds averageFirstToken, so that a stalled upstream is detected
// although no request completes.
func latencyFromResult(r Result, averageFirstToken float64) (latencySample, bool) {
	sample := latencySample{
		firstToken:    r.FirstToken.Seconds(),
		tokenInterval: r.TokenInterval.Seconds(),
		serviceTime:   r.ServiceTime.Seconds(),
	}
	switch {
	case r.Status == Failed || r.Status == Crashed:
		return latencySample{}, false
	case r.Status == Cancelled && sample.firstToken <= 0:
		sample.firstToken = sample.serviceTime
		return sample, sample.firstToken > averageFirstToken && averageFirstToken > 0
	case sample.firstToken <= 0 && sample.tokenInterval <= 0:
		sample.firstToken = sample.serviceTime
		sample.serviceTimeOnly = true
	}
	return sample, sample.firstToken > 0 || sample.tokenInterval > 0
}
