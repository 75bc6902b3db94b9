package duplicate

import (
	"sync"
	"time"

	"github.com/yuccabridge/yuccabridge/internal/coordination/retry"
	"github.com/yuccabridge/yuccabridge/internal/state/estimate"
	"github.com/yuccabridge/yuccabridge/internal/state/expiring"
)

const (
	// minSamples is the number of first outputs of a class from which its quantile is used: a 95th percentile of fewer is
	// the largest. An instance of a fleet of 60 sees one or two a second.
	minSamples = 20
	// predictedFactor times the predicted time is the least time after which a duplicate is sent.
	predictedFactor = 1.5
	// classTTL and maxClasses bound the classes whose times are kept.
	classTTL   = 10 * time.Minute
	maxClasses = 1024
)

// Policy decides for the requests of one service. It is safe for concurrent use. Its methods take the monotonic time since
// process start.
type Policy struct {
	mu      sync.Mutex
	window  *retry.Window
	classes *expiring.Map[string, *class]
}

// class holds the times to the first output of the requests of a class.
type class struct {
	times   *estimate.Sketch // in milliseconds
	samples int
}

// New returns a policy that allows duplicates for a share of the requests within any span of the window's length; 0 allows none.
func New(share float64, window time.Duration) *Policy {
	return &Policy{window: retry.NewWindow(share, window),
		classes: expiring.New(expiring.Options[string, *class]{TTL: classTTL, MaxEntries: maxClasses})}
}

// RecordRequest records a request, of which duplicates may be a share.
func (p *Policy) RecordRequest(now time.Duration) { p.window.RecordFirstAttempt(now) }

// Observe records how long the first output of a request took. For one that has a duplicate, that is the time of the attempt
// that won: what the other would have taken is not known.
func (p *Policy) Observe(now time.Duration, className string, firstOutput time.Duration) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.classes.Peek(now, className)
	if !ok {
		c = &class{times: estimate.NewSketch()}
	}
	c.times.Add(now, firstOutput.Milliseconds())
	c.samples = min(c.samples+1, minSamples)
	p.classes.Put(now, className, c, 0)
}

// Delay returns how long after its sending a request gets a duplicate, given the predicted time to its first output; false
// if it gets none.
func (p *Policy) Delay(now time.Duration, className string, predicted time.Duration) (time.Duration, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	c, ok := p.classes.Peek(now, className)
	if !ok || c.samples < minSamples {
		return 0, false
	}
	p95, known := c.times.P95(now)
	if !known {
		return 0, false
	}
	return max(time.Duration(p95)*time.Millisecond, time.Duration(predictedFactor*float64(predicted))), true
}

// Candidate is an upstream for a duplicate.
type Candidate struct {
	// Load and Slots are the requests there and those that it runs at a time.
	Load, Slots int
	// Predicted is the predicted time to the first output, Wait the part before it begins.
	Predicted, Wait time.Duration
	// Cold is set if the upstream has started lately.
	Cold bool
	// Limited is set if the upstream has stated a limit, which the duplicate would take from a first attempt.
	Limited bool
	// Queued is the number of requests that wait for upstreams of the service.
	Queued int
}

// maxWait is the longest predicted wait at an upstream that gets a duplicate: part of a prefill chunk.
const maxWait = 50 * time.Millisecond

// Suits reports whether an upstream may get a duplicate of a request that the first has had for some time.
func (c Candidate) Suits(elapsed time.Duration) bool {
	return !c.Cold && !c.Limited && c.Queued == 0 && 2*c.Load < c.Slots && c.Wait < maxWait && c.Predicted < elapsed
}

// Allow returns a permit for a duplicate; nil if the share is used up. The caller reports with Sent or Withdraw what becomes of
// it.
func (p *Policy) Allow(now time.Duration) *retry.Retry { return p.window.Allow(now, 0) }

// Sent records that the duplicate has been sent.
func (p *Policy) Sent(now time.Duration, permit *retry.Retry) { p.window.Sent(now, permit) }

// Withdraw records that the duplicate will not be sent.
func (p *Policy) Withdraw(permit *retry.Retry) { p.window.Withdraw(permit) }

// Usage returns the requests and duplicates of the window.
func (p *Policy) Usage(now time.Duration) retry.Usage { return p.window.Usage(now) }
