package experiment

import (
	"math"
	"math/rand/v2"
	"slices"
	"time"

	"github.com/yuccabridge/yuccabridge/config"
)

// Arrival is one planned request.
type Arrival struct {
	// At is the intended send time from the start of the run.
	At time.Duration
	// Class and Team are indexes into the scenario.
	Class, Team int
	// Number is unique within the class.
	Number int
	// Prompt and Output are lengths in tokens.
	Prompt, Output int
	// Prefix is the number of the shared text.
	Prefix int
	// JSON asks for one JSON answer.
	JSON bool
	// Order sends a non-idempotent order instead of a chat request.
	Order bool
	// Leave is the time after which the caller closes its connection. Zero: it stays.
	Leave time.Duration
}

// Plan draws all arrivals of the scenario in the order of their times. The same
// seed gives the same plan.
func Plan(s *Scenario) []Arrival {
	var all []Arrival
	for i := range s.Classes {
		all = append(all, planClass(s, i)...)
	}
	slices.SortStableFunc(all, func(a, b Arrival) int { return int(a.At - b.At) })
	return all
}

// planClass draws the arrivals of one class by thinning: candidates arrive at the
// peak rate and are kept with the probability rate/peak.
func planClass(s *Scenario, class int) []Arrival {
	c := &s.Classes[class]
	rng := rand.New(rand.NewPCG(s.Seed, uint64(class)))
	peak := c.Rate
	if c.Burst != nil {
		peak *= max(1, c.Burst.Factor)
	}
	var list []Arrival
	for at := 0.0; ; {
		at += rng.ExpFloat64() / peak
		t := time.Duration(at * float64(time.Second))
		if t >= s.Duration.Std() {
			return list
		}
		if rng.Float64()*peak < c.rateAt(t) {
			list = append(list, c.draw(rng, class, len(list), t))
		}
	}
}

func (c *ClassLoad) rateAt(t time.Duration) float64 {
	b := c.Burst
	if b == nil || t < b.Offset.Std() || (t-b.Offset.Std())%b.Every.Std() >= b.Length.Std() {
		return c.Rate
	}
	return c.Rate * b.Factor
}

func (c *ClassLoad) draw(rng *rand.Rand, class, number int, at time.Duration) Arrival {
	a := Arrival{At: at, Class: class, Number: number,
		Team:   c.drawTeam(rng),
		Prompt: c.Prompt.draw(rng),
		Output: c.Output.draw(rng),
		JSON:   rng.Float64() < c.JSONShare,
		Order:  rng.Float64() < c.OrderShare,
	}
	if c.SharedPrefix != nil {
		a.Prefix = rng.IntN(c.SharedPrefix.Texts)
	}
	if c.Abandon != nil && rng.Float64() < c.Abandon.Share {
		a.Leave = max(1, time.Duration(rng.ExpFloat64()*float64(c.Abandon.After)))
	}
	return a
}

func (c *ClassLoad) drawTeam(rng *rand.Rand) int {
	total := 0.0
	for _, t := range c.Teams {
		total += t.Share
	}
	x := rng.Float64() * total
	for i, t := range c.Teams {
		if x -= t.Share; x < 0 {
			return i
		}
	}
	return len(c.Teams) - 1
}

func (l Lengths) draw(rng *rand.Rand) int {
	n := l.Median * math.Exp(l.Sigma*rng.NormFloat64())
	return int(min(max(1, n), float64(l.Max)))
}

// targets of a class, from the configuration.
type targets struct {
	tier       int
	firstToken time.Duration
	interval   time.Duration // zero: no target
}

func classTargets(d *config.Deployment, name string) targets {
	for _, c := range d.Classes {
		if c.Name == name {
			return targets{tier: c.Tier, firstToken: c.FirstTokenTarget.Std(), interval: c.TokenIntervalTarget.Std()}
		}
	}
	return targets{}
}
