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

// requestProfile describes the requests of one class.
type requestProfile struct {
	prompt, output  experiment.Lengths
	engineTimeShare float64 // of the total engine time
	jsonShare       float64
}

// requestProfiles lists the profiles from the highest to the lowest class: short
// interactive requests first, long batch requests last.
var requestProfiles = []requestProfile{
	{prompt: experiment.Lengths{Median: 200, Sigma: 0.5, Max: 2000}, output: experiment.Lengths{Median: 60, Sigma: 0.6, Max: 400}, engineTimeShare: 0.3},
	{prompt: experiment.Lengths{Median: 400, Sigma: 0.5, Max: 3000}, output: experiment.Lengths{Median: 120, Sigma: 0.6, Max: 800}, engineTimeShare: 0.3},
	{prompt: experiment.Lengths{Median: 1500, Sigma: 0.5, Max: 6000}, output: experiment.Lengths{Median: 300, Sigma: 0.6, Max: 1500}, engineTimeShare: 0.4, jsonShare: 0.3},
}

// Engine time per token with the default performance model: 25 ms for one decode step
// of a batch of eight, and 100 µs for a prompt token.
const (
	secondsPerOutputToken = 0.025 / 8
	secondsPerPromptToken = 100e-6
)

// lognormalMeanOverMedian approximates the ratio of mean to median of a lognormal
// distribution for the sigmas of the profiles (0.5 and 0.6).
const lognormalMeanOverMedian = 1.17

// meanEngineSeconds estimates the mean engine time of a request.
func (p requestProfile) meanEngineSeconds() float64 {
	return lognormalMeanOverMedian * (p.output.Median*secondsPerOutputToken + p.prompt.Median*secondsPerPromptToken)
}

// profileForTier returns the profile of a tier: the first for the highest, the last for the
// lowest, the second for those between. Classes of the same tier split the engine time of
// the profile evenly.
func profileForTier(classes []config.Class, tier int) requestProfile {
	profile, classesInTier := requestProfiles[1], 0.0
	switch tier {
	case classes[0].Tier:
		profile = requestProfiles[0]
	case classes[len(classes)-1].Tier:
		profile = requestProfiles[2]
	}
	for _, c := range classes {
		if c.Tier == tier {
			classesInTier++
		}
	}
	profile.engineTimeShare /= classesInTier
	return profile
}

// Load describes the load of an experiment.
type Load struct {
	// Factor is the ratio of the offered load to the capacity of the engines.
	Factor float64
	// Duration is how long requests are sent.
	Duration time.Duration
	Seed     uint64
	// Burst multiplies the rate of the highest class for BurstLength, starting at
	// BurstOffset. Zero means no burst.
	Burst       float64
	BurstLength time.Duration
	BurstOffset time.Duration
	// OrderShare is the share of orders among the requests of the highest class.
	OrderShare float64
	// Resends is how often a caller sends a failed request again.
	Resends int
}

// Scenario builds the experiment for a load. All classes use the first model of the
// deployment.
func (f *Fleet) Scenario(load Load) (*experiment.Scenario, error) {
	d := f.Deployment
	scenario := &experiment.Scenario{
		Name: d.Name, Seed: load.Seed, Duration: config.Duration(load.Duration), Drain: config.Duration(drainTimeout), EntryAddresses: f.Targets(),
	}
	classes := slices.SortedStableFunc(slices.Values(d.Classes), func(a, b config.Class) int { return cmp.Compare(a.Tier, b.Tier) })
	if len(d.Models) == 0 || len(scenario.EntryAddresses) == 0 {
		return nil, errors.New("a scenario needs a model and at least one ready instance")
	}
	for i, c := range classes {
		profile := profileForTier(classes, c.Tier)
		engines := float64(len(d.Models[0].Upstreams))
		classLoad := experiment.ClassLoad{
			Class: c.Name, Model: d.Models[0].Name, Rate: engines * load.Factor * profile.engineTimeShare / profile.meanEngineSeconds(),
			Prompt: profile.prompt, Output: profile.output, JSONShare: profile.jsonShare, Teams: teamShares(d, c.Name),
			Resend: experiment.Resend{Attempts: load.Resends, Pause: config.Duration(resendDelay)},
		}
		if i == 0 {
			f.addBurstAndOrders(scenario, &classLoad, load)
		}
		scenario.Classes = append(scenario.Classes, classLoad)
	}
	return scenario, scenario.Complete()
}

const (
	// drainTimeout limits the wait for responses after the last request was sent.
	drainTimeout = 60 * time.Second
	// resendDelay is the time before a caller sends a failed request again.
	resendDelay = 200 * time.Millisecond
)

func (f *Fleet) addBurstAndOrders(scenario *experiment.Scenario, classLoad *experiment.ClassLoad, load Load) {
	if load.Burst > 0 {
		classLoad.Burst = &experiment.Burst{Every: config.Duration(load.Duration), Length: config.Duration(load.BurstLength), Offset: config.Duration(load.BurstOffset), Factor: load.Burst}
	}
	for _, service := range f.Deployment.Services {
		if load.OrderShare > 0 && len(service.NonIdempotent) > 0 {
			classLoad.OrderShare = load.OrderShare
			scenario.Orders = &experiment.OrderLoad{Path: service.NonIdempotent[0].Path}
		}
	}
}

// teamShares returns the teams that may use a class, with shares in proportion to their
// weights.
func teamShares(d *config.Deployment, class string) []experiment.TeamShare {
	var list []experiment.TeamShare
	for _, t := range d.Teams {
		if len(t.Classes) == 0 || slices.Contains(t.Classes, class) {
			list = append(list, experiment.TeamShare{Team: t.Name, Share: float64(max(t.Weight, 1)), Key: examples.DemoKey(t.Name)})
		}
	}
	return list
}

// readinessPollInterval is how often the stand-in for the platform's load balancer checks
// the readiness of the instances.
const readinessPollInterval = 200 * time.Millisecond

// BalancerTargets returns a function that yields the current targets of a load balancer in
// front of the instances. The targets are refreshed from their readiness until ctx ends.
func (f *Fleet) BalancerTargets(ctx context.Context) func() []string {
	var targets atomic.Pointer[[]string]
	update := func() {
		list := f.Targets()
		targets.Store(&list)
	}
	update()
	go func() {
		ticker := time.NewTicker(readinessPollInterval)
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
