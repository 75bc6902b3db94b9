package dispatch

import "time"

// FirstOutput records that the answer has begun, and corrects what was predicted.
func (d *Dispatcher) FirstOutput(now time.Duration, token uint64) {
	d.mu.Lock()
	defer d.mu.Unlock()
	g := d.grants[token]
	if g == nil || g.first {
		return
	}
	g.first = true
	d.reach(g)
	took := now - g.sent
	if g.s.Memory == 0 {
		d.learnPlain(now, g, took)
		return
	}
	predicted := g.wait + g.work + stepTime
	ratio := float64(took)/float64(predicted) - 1
	g.s.slowness.add(now, min(max(ratio, 0), maxSlowness), slownessWeight)
	d.learnRate(g, took)
	// Prompts are read in order: when this one was earlier or later than predicted, so
	// are those behind it.
	g.s.correct(now, g.priority, (took-predicted)/2)
}

// minSample is the least reading time that tells the rate apart from the fixed cost of a
// step.
const minSample = 60 * time.Millisecond

// learnRate takes a sample of the reading rate from a prompt that had the upstream for
// itself.
func (d *Dispatcher) learnRate(g *grant, took time.Duration) {
	fresh := g.prompt - g.cached
	if g.wait > 0 || g.work < minSample || took <= stepTime {
		return
	}
	rate := float64(fresh) / (float64(took-stepTime) / float64(time.Millisecond))
	// Other instances' prompts can only make the sample smaller.
	rate = min(max(rate, d.options.TokensPerMS/4), d.options.TokensPerMS*4)
	d.rate += (rate - d.rate) * rateWeight
}

func (d *Dispatcher) learnPlain(now time.Duration, g *grant, took time.Duration) {
	x := took.Seconds()
	if d.plainLatency == 0 {
		d.plainLatency = x
	}
	if d.plainLatency > 0 {
		g.s.slowness.add(now, min(max(x/d.plainLatency-1, 0), maxSlowness), slownessWeight)
	}
	d.plainLatency += (x - d.plainLatency) * plainWeight
	g.s.latency += (x - g.s.latency) * plainWeight
}

// Done ends a grant. Only the first call with a token has an effect.
func (d *Dispatcher) Done(now time.Duration, token uint64, status Status) {
	d.mu.Lock()
	defer d.mu.Unlock()
	g := d.grants[token]
	if g == nil {
		return
	}
	delete(d.grants, token)
	s := g.s
	s.own.InFlight--
	if g.stream {
		s.own.Streams--
	}
	if g.probe {
		s.probing = false
	}
	if s.Memory > 0 && !g.first && status != Succeeded {
		s.correct(now, g.priority, -g.work)
	}
	switch status {
	case Succeeded:
		d.reach(g)
		s.failures.add(now, 0, failureWeight)
	case Failed:
		d.reach(g)
		s.failures.add(now, 1, failureWeight)
	case Unreachable:
		if !s.aside() {
			d.aside++
		}
		s.failedToReach(now)
		s.failures.add(now, 1, failureWeight)
	case Refused:
		d.reach(g)
		s.add(now, g.priority, refusedDelay)
	case Cancelled:
	}
}

// refusedDelay is added to the predicted queue of an upstream that refuses a request for
// lack of room.
const refusedDelay = 100 * time.Millisecond

// reach notes that the upstream answered a request that was sent after it was set aside.
func (d *Dispatcher) reach(g *grant) {
	if g.s.aside() && (g.probe || g.sent >= g.s.retryAt-maxBackoff) {
		g.s.reached()
		d.aside = max(0, d.aside-1)
	}
}

// SetAside records that an upstream was found unreachable other than by a request.
func (d *Dispatcher) SetAside(now time.Duration, id string) {
	d.mu.Lock()
	defer d.mu.Unlock()
	if s := d.servers[id]; s != nil && !s.aside() {
		d.aside++
		s.failedToReach(now)
	}
}

// ServerState is the state of one upstream for operators.
type ServerState struct {
	Server
	InFlight int // of this instance
	Load     int // of all instances, as far as their reports tell
	Wait     time.Duration
	Slowness float64
	Failures float64
	Aside    bool
	ForLong  bool
}

// Snapshot returns the state of the upstreams in their order.
func (d *Dispatcher) Snapshot(now time.Duration) []ServerState {
	d.mu.Lock()
	defer d.mu.Unlock()
	out := make([]ServerState, 0, len(d.order))
	for _, s := range d.order {
		out = append(out, ServerState{
			Server: s.Server, InFlight: s.own.InFlight, Load: s.load(), Wait: s.wait(now, maxPriority), Slowness: s.slow(now),
			Failures: s.failures.get(now), Aside: s.aside(), ForLong: s.forLong,
		})
	}
	return out
}
