package config

import (
	"strings"
	"testing"
	"time"

	"github.com/sebdah/goldie/v2"
)

const keyDigest = "9f86d081884c7d659a2feaa0c55ad015a3bf4f1b2b0b822cd15d6c15b0f00a08"

func sampleDeployment() *Deployment {
	return &Deployment{
		Version: 1, Name: "sample", Region: "north", Objective: Attainment,
		FailureDomains: []string{"a", "b"},
		Classes: []Class{
			{Name: "interactive", Tier: 1, FirstTokenTarget: Duration(800 * time.Millisecond), Deadline: Duration(5 * time.Second)},
			{Name: "bulk", Tier: 3, FirstTokenTarget: Duration(20 * time.Second), Deadline: Duration(2 * time.Minute)},
		},
		Teams: []Team{{Name: "desk", Weight: 2, KeySHA256: []string{keyDigest}, Classes: []string{"interactive"}}},
		Models: []Model{{Name: "llm", Class: "bulk", Upstreams: []Upstream{
			{Name: "llm-1", Address: "127.0.0.1:9001", FailureDomain: "a"}}}},
		Services: []Service{{Name: "orders", PathPrefix: "/orders/", Class: "interactive",
			NonIdempotent: []Operation{{Method: "POST", Path: "/orders/runs"}},
			Upstreams:     []Upstream{{Name: "orders-1", Address: "127.0.0.1:9101", FailureDomain: "b"}}}},
		ClassRules: []ClassRule{{Team: "desk", Class: "interactive"}},
	}
}

// Guards against an unintended change of the YAML order: operators publish the encoded
// form.
func TestPrintedFormIsStable(t *testing.T) {
	text, err := sampleDeployment().YAML()
	if err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "deployment", text)
	parsed, err := Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	printedAgain, err := parsed.YAML()
	if err != nil {
		t.Fatal(err)
	}
	if string(printedAgain) != string(text) {
		t.Error("YAML differs after parsing and encoding again")
	}
}

// An invalid configuration must be rejected with an error that starts with the field.
func TestValidationNamesTheField(t *testing.T) {
	cases := []struct {
		name   string
		change func(*Deployment)
		want   string
	}{
		{"no class", func(d *Deployment) { d.Classes = nil }, "classes"},
		{"duplicate class", func(d *Deployment) { d.Classes[1].Name = "interactive" }, "classes[1].name"},
		{"deadline before target", func(d *Deployment) { d.Classes[0].Deadline = 1 }, "classes[0].deadline"},
		{"tier out of range", func(d *Deployment) { d.Classes[0].Tier = 0 }, "classes[0].tier"},
		{"unknown class of a team", func(d *Deployment) { d.Teams[0].Classes[0] = "x" }, "teams[0].classes[0]"},
		{"digest too short", func(d *Deployment) { d.Teams[0].KeySHA256[0] = "ab" }, "teams[0].key_sha256[0]"},
		{"host name as address", func(d *Deployment) { d.Models[0].Upstreams[0].Address = "localhost:1" }, "models[0].upstreams[0].address"},
		{"address used twice", func(d *Deployment) { d.Services[0].Upstreams[0].Address = "127.0.0.1:9001" }, "services[0].upstreams[0].address"},
		{"unknown failure domain", func(d *Deployment) { d.Models[0].Upstreams[0].FailureDomain = "z" }, "models[0].upstreams[0].failure_domain"},
		{"operation outside the prefix", func(d *Deployment) { d.Services[0].NonIdempotent[0].Path = "/x" }, "services[0].non_idempotent[0].path"},
		{"reserved prefix", func(d *Deployment) { d.Services[0].PathPrefix = "/v1/x/"; d.Services[0].NonIdempotent = nil }, "services[0].path_prefix"},
		{"adapter named twice", func(d *Deployment) { d.Models[0].Adapters = []string{"fr", "fr"} }, "models[0].adapters"},
		{"version with a space", func(d *Deployment) { d.Models[0].Version = "v 1" }, "models[0].version"},
		{"unknown role", func(d *Deployment) { d.Models[0].Upstreams[0].Role = "both" }, "models[0].upstreams[0].role"},
		{"role of a plain service", func(d *Deployment) { d.Services[0].Upstreams[0].Role = Mixed }, "services[0].upstreams[0].role"},
		{"negative rate", func(d *Deployment) { d.WeightStore = WeightStore{LoadsPerMinute: -1} }, "weight_store.loads_per_minute"},
		{"fewer concurrent loads than domains", func(d *Deployment) {
			d.WeightStore = WeightStore{ConcurrentLoads: 1}
			d.Models[0].Version = "v1"
			d.Models[0].Upstreams = append(d.Models[0].Upstreams, Upstream{Name: "llm-2", Address: "127.0.0.1:9002", FailureDomain: "b"})
		}, "weight_store.concurrent_loads"},
		{"rule with an unknown team", func(d *Deployment) { d.ClassRules[0].Team = "x" }, "class_rules[0].team"},
	}
	for _, c := range cases {
		t.Run(c.name, func(t *testing.T) {
			d := sampleDeployment()
			c.change(d)
			err := d.Validate()
			if err == nil || !strings.HasPrefix(err.Error(), c.want) {
				t.Errorf("got %v, want an error that starts with %s", err, c.want)
			}
		})
	}
}

// The placement fields must survive encoding and parsing, and their defaults must be those
// in the doc comments.
func TestPlacementRoundTrip(t *testing.T) {
	d := sampleDeployment()
	if limits := d.WeightLimits(); d.Models[0].Managed() || limits.LoadsPerMinute != 60 || limits.ConcurrentLoads != 16 {
		t.Errorf("managed %v, limits %+v without any field", d.Models[0].Managed(), limits)
	}
	d.WeightStore = WeightStore{LoadsPerMinute: 12}
	d.Models[0].Version, d.Models[0].Adapters, d.Models[0].Upstreams[0].Role = "v1", []string{"fr"}, Decode
	text, err := d.YAML()
	if err != nil {
		t.Fatal(err)
	}
	goldie.New(t).Assert(t, "placement", text)
	back, err := Parse(text)
	if err != nil {
		t.Fatal(err)
	}
	if model := back.Models[0]; !model.Managed() || model.Version != "v1" || model.Upstreams[0].Role != Decode || back.WeightLimits().LoadsPerMinute != 12 {
		t.Errorf("read back %+v and %+v", model, back.WeightLimits())
	}
}

// Misspelled keys and malformed values must be rejected with the line number.
func TestParseIsStrict(t *testing.T) {
	text, err := sampleDeployment().YAML()
	if err != nil {
		t.Fatal(err)
	}
	cases := map[string][2]string{
		"unknown key":  {"objective: attainment", "objectives: attainment"},
		"missing unit": {"deadline: 5s", "deadline: 5"},
		"bad duration": {"deadline: 5s", "deadline: soon"},
	}
	for name, c := range cases {
		_, err := Parse([]byte(strings.Replace(string(text), c[0], c[1], 1)))
		if err == nil || strings.Contains(err.Error(), "\n") || !strings.HasPrefix(err.Error(), "line ") {
			t.Errorf("%s: got %v, want one line with the line number", name, err)
		}
	}
}
