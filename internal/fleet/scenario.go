package fleet

import (
	"cmp"
	"context"
	"slices"
	"sync/atomic"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccabridge/yuccabridge/config"
	"github.com/yuccabridge/yuccabridge/examples"
	"github.com/yuccabridge/yuccabridge/internal/experiment"
)

// profile is the shape of one class's requests.
type profile struct {
	prompt, output experiment.Lengths
	share          float64 // of the engines' time
	jsonShare      float64
}

// profiles are the shapes from the highest to the lowest class: short interactive
// requests first, long bulk requests last.
var profiles = []profile{
	{prompt: experiment.Lengths{Median: 200, Sigma: 0.5, Max: 2000}, output: experiment.Lengths{Median: 60, Sigma: 0.6, Max: 400}, share: 0.3},
	{prompt: experiment.Lengths{Median: 400, Sigma: 0.5, Max: 3000}, output: experiment.Lengths{Median: 120, Sigma: 0.6, Max: 800}, share: 0.3},
	{prompt: experiment.Lengths{Median: 1500, Sigma: 0.5, Max: 6000}, output: experiment.Lengths{Median: 300, Sigma: 0.6, Max: 1500}, share: 0.4, jsonShare: 0.3},
}

// Engine time of one token with the engines' default figures: 25 ms for a batch of
// eight, and 100 µs for a prompt token.
const (
	secondsPerOutputToken = 0.025 / 8
	secondsPerPromptToken = 100e-6
)

// meanFactor is the mean of a lognormal distribution over its median, for the sigmas
// of the profiles (0.5 and 0.6).
const meanFactor = 1.17

func (p profile) engineSeconds() float64 {
	return meanFactor * (p.output.Median*secondsPerOutputToken + p.prompt.Median*secondsPerPromptToken)
}

// profileOf returns the profile of a tier: the first for the highest, the last for the
// lowest, the second for those between. Classes of one tier share the load of a profile.
func profileOf(classes []config.Class, tier int) profile {
	p, sharing := profiles[1], 0.0
	switch tier {
	case classes[0].Tier:
		p = profiles[0]
	case classes[len(classes)-1].Tier:
		p = profiles[2]
	}
	for _, c := range classes {
		if c.Tier == tier {
			sharing++
		}
	}
	p.share /= sharing
	return p
}

// Load describes the load of an experiment.
type Load struct {
	// Factor is the offered load over the engines' capacity.
	Factor float64
	// Duration in which requests are sent.
	Duration time.Duration
	Seed     uint64
	// Burst multiplies the rate of the highest class at the start. Zero: no burst.
	Burst       float64
	BurstLength time.Duration
	BurstOffset time.Duration
	// OrderShare is the share of orders among the requests of the highest class.
	OrderShare float64
	// Resends is how often a caller tries again.
	Resends int
}

// Scenario makes the load for a deployment with one model.
func (f *Fleet) Scenario(l Load) (*experiment.Scenario, error) {
	d := f.Deployment
	s := &experiment.Scenario{
		Name: d.Name, Seed: l.Seed, Duration: config.Duration(l.Duration), Drain: config.Duration(drainTime), EntryAddresses: f.Targets(),
	}
	classes := slices.SortedStableFunc(slices.Values(d.Classes), func(a, b config.Class) int { return cmp.Compare(a.Tier, b.Tier) })
	if len(d.Models) == 0 || len(s.EntryAddresses) == 0 {
		return nil, errors.New("the deployment needs a model and a ready instance")
	}
	for i, c := range classes {
		p := profileOf(classes, c.Tier)
		engines := float64(len(d.Models[0].Upstreams))
		load := experiment.ClassLoad{
			Class: c.Name, Model: d.Models[0].Name, Rate: engines * l.Factor * p.share / p.engineSeconds(),
			Prompt: p.prompt, Output: p.output, JSONShare: p.jsonShare, Teams: teamsOf(d, c.Name),
			Resend: experiment.Resend{Attempts: l.Resends, Pause: config.Duration(resendPause)},
		}
		if i == 0 {
			f.addBurstAndOrders(s, &load, l)
		}
		s.Classes = append(s.Classes, load)
	}
	return s, s.Complete()
}

const (
	// drainTime is how long answers are awaited after the last request was sent.
	drainTime = 60 * time.Second
	// resendPause passes before a caller tries again.
	resendPause = 200 * time.Millisecond
)

func (f *Fleet) addBurstAndOrders(s *experiment.Scenario, load *experiment.ClassLoad, l Load) {
	if l.Burst > 0 {
		load.Burst = &experiment.Burst{Every: config.Duration(l.Duration), Length: config.Duration(l.BurstLength), Offset: config.Duration(l.BurstOffset), Factor: l.Burst}
	}
	for _, service := range f.Deployment.Services {
		if l.OrderShare > 0 && len(service.NonIdempotent) > 0 {
			load.OrderShare = l.OrderShare
			s.Orders = &experiment.OrderLoad{Path: service.NonIdempotent[0].Path}
		}
	}
}

// teamsOf lists the teams that may use a class, in proportion to their weights.
func teamsOf(d *config.Deployment, class string) []experiment.TeamShare {
	var list []experiment.TeamShare
	for _, t := range d.Teams {
		if len(t.Classes) == 0 || slices.Contains(t.Classes, class) {
			list = append(list, experiment.TeamShare{Team: t.Name, Share: float64(max(t.Weight, 1)), Key: examples.DemoKey(t.Name)})
		}
	}
	return list
}

// balancerInterval is how often the stand-in of the platform's load balancer looks
// at the instances' readiness.
const balancerInterval = 200 * time.Millisecond

// Balance returns the targets that a load balancer in front of the instances uses. It
// follows their readiness until ctx ends.
func (f *Fleet) Balance(ctx context.Context) func() []string {
	var targets atomic.Pointer[[]string]
	update := func() {
		list := f.Targets()
		targets.Store(&list)
	}
	update()
	go func() {
		ticker := time.NewTicker(balancerInterval)
		defer ticker.Stop()
		for {
			select {
			case <-ctx.Done():
				return
			case <-ticker.C:
				update()
			}
		}
	}()
	return func() []string { return *targets.Load() }
}
