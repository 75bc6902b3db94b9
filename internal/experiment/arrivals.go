package experiment

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/yuccabridge/yuccabridge/config"
)

// Arrival is one planned request: an arrival of the Poisson process of its class.
type Arrival struct {
	// At is the intended send time, relative to the start of the run.
	At time.Duration
	// Class is the index of the class in the scenario, Team that of the team in the class.
	Class, Team int
	// Index is the position of the request within its class.
	Index int
	// PromptTokens and OutputTokens are the lengths of the prompt and of the output.
	PromptTokens, OutputTokens int
	// PrefixIndex selects the shared prefix.
	PrefixIndex int
	// JSON asks for a single JSON response instead of a stream.
	JSON bool
	// Order sends an order, which is a non-idempotent request, instead of a chat request.
	Order bool
	// AbandonAfter is the time after which the caller closes its connection. Zero: never.
	AbandonAfter time.Duration
}

// Plan draws all arrivals of the scenario and returns them ordered by time. The result
// is a deterministic function of the scenario and its seed.
func Plan(s *Scenario) []Arrival {
	var arrivals []Arrival
	for i := range s.Classes {
		arrivals = append(arrivals, planClass(s, i)...)
	}
	slices.SortStableFunc(arrivals, func(a, b Arrival) int { return int(a.At - b.At) })
	return arrivals
}

// planClass draws the arrivals of one class, an inhomogeneous Poisson process, by
// thinning: candidates arrive at the peak rate and are kept with probability rate/peak.
func planClass(s *Scenario, class int) []Arrival {
	c := &s.Classes[class]
	rng := rand.New(rand.NewPCG(s.Seed, uint64(class)))
	peakRate := c.Rate
	if c.Burst != nil {
		peakRate *= max(1, c.Burst.Factor)
	}
	var arrivals []Arrival
	for seconds := 0.0; ; {
		seconds += rng.ExpFloat64() / peakRate
		t := time.Duration(seconds * float64(time.Second))
		if t >= s.Duration.Std() {
			return arrivals
		}
		if rng.Float64()*peakRate < c.rateAt(t) {
			arrivals = append(arrivals, c.drawArrival(rng, class, len(arrivals), t))
		}
	}
}

// rateAt returns the rate at time t after the start of the run.
func (c *ClassLoad) rateAt(t time.Duration) float64 {
	b := c.Burst
	if b == nil || t < b.Offset.Std() || (t-b.Offset.Std())%b.Every.Std() >= b.Length.Std() {
		return c.Rate
	}
	return c.Rate * b.Factor
}

func (c *ClassLoad) drawArrival(rng *rand.Rand, class, index int, at time.Duration) Arrival {
	a := Arrival{At: at, Class: class, Index: index,
		Team:         c.drawTeam(rng),
		PromptTokens: c.Prompt.sample(rng),
		OutputTokens: c.Output.sample(rng),
		JSON:         rng.Float64() < c.JSONShare,
		Order:        rng.Float64() < c.OrderShare,
	}
	if c.SharedPrefix != nil {
		a.PrefixIndex = rng.IntN(c.SharedPrefix.Texts)
	}
	if c.Abandon != nil && rng.Float64() < c.Abandon.Share {
		a.AbandonAfter = max(1, time.Duration(rng.ExpFloat64()*float64(c.Abandon.After)))
	}
	return a
}

// drawTeam returns the index of a team, drawn with a probability proportional to its share.
func (c *ClassLoad) drawTeam(rng *rand.Rand) int {
	total := 0.0
	for _, t := range c.Teams {
		total += t.Share
	}
	remaining := rng.Float64() * total
	for i, t := range c.Teams {
		if remaining -= t.Share; remaining < 0 {
			return i
		}
	}
	return len(c.Teams) - 1
}

// sample draws a length from 1 to Max.
func (l Lengths) sample(rng *rand.Rand) int {
	n := l.Median * math.Exp(l.Sigma*rng.NormFloat64())
	return int(min(max(1, n), float64(l.Max)))
}

// classTargets holds the tier and the latency targets of a class from the configuration.
type classTargets struct {
	tier          int
	firstToken    time.Duration
	tokenInterval time.Duration // zero: no target
}

// lookupLatencyTargets returns the zero value for a class that is not declared.
func lookupLatencyTargets(d *config.Deployment, name string) classTargets {
	for _, c := range d.Classes {
		if c.Name == name {
			return classTargets{tier: c.Tier, firstToken: c.FirstTokenTarget.Std(), tokenInterval: c.TokenIntervalTarget.Std()}
		}
	}
	return classTargets{}
}
