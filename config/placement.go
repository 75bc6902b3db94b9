package config

import (
	"cmp"
	"fmt"
)

// Role is the phase of inference that a model engine runs.
type Role string

const (
	// Prefill engines process prompts.
	Prefill Role = "prefill"
	// Decode engines generate tokens.
	Decode Role = "decode"
	// Mixed engines process prompts and generate tokens.
	Mixed Role = "mixed"
)

const (
	// DefaultLoadsPerMinute is the default of WeightStore.LoadsPerMinute.
	DefaultLoadsPerMinute = 60
	// DefaultConcurrentLoads is the default of WeightStore.ConcurrentLoads.
	DefaultConcurrentLoads = 16
)

// WeightStore limits the weight loads of the whole deployment.
type WeightStore struct {
	// LoadsPerMinute is the number of weight sets (model versions or adapters) that all
	// engines together may start to load per minute. Zero: 60.
	LoadsPerMinute int `yaml:"loads_per_minute,omitempty" validate:"min=0,max=100000"`
	// ConcurrentLoads is the number of engines that may load weights at the same time. It
	// must be at least the number of failure domains with managed engines. Zero: 16.
	ConcurrentLoads int `yaml:"concurrent_loads,omitempty" validate:"min=0,max=10000"`
}

// WeightLimits returns the weight store's limits with defaults applied.
func (d *Deployment) WeightLimits() WeightStore {
	return WeightStore{
		LoadsPerMinute:  cmp.Or(d.WeightStore.LoadsPerMinute, DefaultLoadsPerMinute),
		ConcurrentLoads: cmp.Or(d.WeightStore.ConcurrentLoads, DefaultConcurrentLoads),
	}
}

// Managed reports whether the engines of the model receive control commands, which is the
// case if the model declares a version, an adapter or a role.
func (m *Model) Managed() bool {
	if m.Version != "" || len(m.Adapters) > 0 {
		return true
	}
	for _, upstream := range m.Upstreams {
		if upstream.Role != "" {
			return true
		}
	}
	return false
}

// checkPlacement rejects roles of service upstreams, and a limit of concurrent loads that
// is too small to give each failure domain with managed engines at least one.
func (c *checker) checkPlacement() {
	for i, service := range c.deployment.Services {
		for j, upstream := range service.Upstreams {
			if upstream.Role != "" {
				c.addError(fmt.Sprintf("services[%d].upstreams[%d].role", i, j), "only model engines have a role")
			}
		}
	}
	managedDomains := map[string]bool{}
	for i := range c.deployment.Models {
		if model := &c.deployment.Models[i]; model.Managed() {
			for _, upstream := range model.Upstreams {
				managedDomains[upstream.FailureDomain] = true
			}
		}
	}
	if limit := c.deployment.WeightLimits().ConcurrentLoads; limit < len(managedDomains) {
		c.addError("weight_store.concurrent_loads", "%d is less than the %d failure domains with managed engines", limit, len(managedDomains))
	}
}
