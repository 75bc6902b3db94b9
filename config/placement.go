package config

import (
	"cmp"
	"fmt"
)

// Role is the part of the work that a model engine does.
type Role string

const (
	// Prefill engines process prompts.
	Prefill Role = "prefill"
	// Decode engines generate tokens.
	Decode Role = "decode"
	// Mixed engines do both.
	Mixed Role = "mixed"
)

const (
	// DefaultLoadsPerMinute is the weight store's rate where none is declared.
	DefaultLoadsPerMinute = 60
	// DefaultConcurrentLoads is the number of engines that load at the same time where
	// none is declared.
	DefaultConcurrentLoads = 16
)

// WeightStore bounds the loads of the whole deployment.
type WeightStore struct {
	// LoadsPerMinute is the number of weight sets (a version or an adapter) that all
	// engines together may begin to load in a minute. Zero: 60.
	LoadsPerMinute int `yaml:"loads_per_minute,omitempty" validate:"min=0,max=100000"`
	// ConcurrentLoads is the number of engines that may load at the same time. It is at
	// least the number of failure domains with managed engines. Zero: 16.
	ConcurrentLoads int `yaml:"concurrent_loads,omitempty" validate:"min=0,max=10000"`
}

// WeightLimits returns the weight store's limits with the defaults.
func (d *Deployment) WeightLimits() WeightStore {
	return WeightStore{
		LoadsPerMinute:  cmp.Or(d.WeightStore.LoadsPerMinute, DefaultLoadsPerMinute),
		ConcurrentLoads: cmp.Or(d.WeightStore.ConcurrentLoads, DefaultConcurrentLoads),
	}
}

// Managed reports whether the engines of the model receive control commands: it declares
// a version, adapters or a role.
func (m *Model) Managed() bool {
	if m.Version != "" || len(m.Adapters) > 0 {
		return true
	}
	for _, u := range m.Upstreams {
		if u.Role != "" {
			return true
		}
	}
	return false
}

// placement checks what only holds for model engines, and that each failure domain can
// have a part of the concurrent loads.
func (c *checker) placement() {
	for i, s := range c.d.Services {
		for j, u := range s.Upstreams {
			if u.Role != "" {
				c.fail(fmt.Sprintf("services[%d].upstreams[%d].role", i, j), "only model engines have a role")
			}
		}
	}
	domains := map[string]bool{}
	for i := range c.d.Models {
		if m := &c.d.Models[i]; m.Managed() {
			for _, u := range m.Upstreams {
				domains[u.FailureDomain] = true
			}
		}
	}
	if limit := c.d.WeightLimits().ConcurrentLoads; limit < len(domains) {
		c.fail("weight_store.concurrent_loads", "%d is less than the %d failure domains with managed engines", limit, len(domains))
	}
}
