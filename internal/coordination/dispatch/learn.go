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
	// are those behind it. What other answers have corrected since it was sent is the same
	// error. The tokens of its first event were made while those behind it were read, which
	// is no reason to expect these later.
	late := took - predicted - (g.s.shift[level(g.priority)] - g.shift)
	if behind := g.s.wait(now, g.priority) + late; late > 0 && behind > 0 {
		late -= min(late, behind, eventTime)
	}
	g.s.correct(now, g.priority, late/2)
}

// eventTime is how long the tokens of an event take while prompts are read in between: three
// to five of them, each behind a chunk.
const eventTime = 200 * time.Millisecond

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
	linear := float64(took-stepTime)/float64(time.Millisecond) - attention(g.prompt, g.cached)
	if linear <= 0 {
		return
	}
	rate := min(max(float64(fresh)/linear, d.options.TokensPerMS/4), d.options.TokensPerMS*4)
	// Other instances' prompts can only make the sample smaller.
	weight := rateWeight
	if rate > d.rate {
		weight = fasterWeight
	}
	d.rate += (rate - d.rate) * weight
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
		s.failedToReach(now)
		s.failures.add(now, 1, failureWeight)
	case Silent:
		s.failedToReach(now)
		s.failures.add(now, 1, failureWeight)
		d.suspectDomain(now, s)
	case Refused:
		d.reach(g)
		s.add(now, g.priority, refusedDelay)
	case Cancelled:
	}
}

// refusedDelay is added to the predicted queue of an upstream that refuses a request for
// lack of room.
const refusedDelay = 100 * time.Millisecond

// reach notes that the upstream answered.
func (d *Dispatcher) reach(g *grant) {
	g.s.reached()
	g.s.silentAt = 0
	if x := d.domains[g.s.Domain]; x < g.sent {
		d.domains[g.s.Domain] = g.sent
	}
}

const (
	// domainWindow is the time in which silent upstreams of one failure domain are taken
	// together.
	domainWindow = 2 * time.Second
	// silentServers is the number of silent upstreams from which the whole domain is set
	// aside, unless another one there has answered a request that was sent meanwhile.
	silentServers = 2
)

// suspectDomain sets a failure domain aside when several of its upstreams are silent:
// trying each of them would cost a request each.
// Load pattern: a failure domain that is cut off.
func (d *Dispatcher) suspectDomain(now time.Duration, x *server) {
	x.silentAt = now
	silent := 0
	for _, s := range d.order {
		if s.Domain == x.Domain && s.silentAt > 0 && s.silentAt > now-domainWindow && s.silentAt > d.domains[x.Domain] {
			silent++
		}
	}
	if silent < silentServers {
		return
	}
	for _, s := range d.order {
		if s.Domain == x.Domain && !s.aside() {
			s.failedToReach(now)
		}
	}
}

// Due returns the upstreams that are set aside and are to be dialled again now. Each is
// followed by a call of Probed.
func (d *Dispatcher) Due(now time.Duration) []Server {
	d.mu.Lock()
	defer d.mu.Unlock()
	var out []Server
	for _, s := range d.order {
		if s.aside() && !s.Leaving && s.probeDue(now) {
			s.probing = true
			out = append(out, s.Server)
		}
	}
	return out
}

// Probed records whether an upstream that was set aside could be dialled.
func (d *Dispatcher) Probed(now time.Duration, id string, ok bool) {
	d.mu.Lock()
	defer d.mu.Unlock()
	s := d.servers[id]
	if s == nil {
		return
	}
	s.probing = false
	if ok {
		s.reached()
		return
	}
	s.failedToReach(now)
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
			Server: s.Server, InFlight: s.own.InFlight, Load: s.load(), Wait: s.wait(now, levels), Slowness: s.slow(now, d.usual(now)),
			Failures: s.failures.get(now), Aside: s.aside(), ForLong: s.forLong,
		})
	}
	return out
}
