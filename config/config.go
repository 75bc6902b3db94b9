package config

import (
	"fmt"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// Version is the only schema version that this release reads.
const Version = 1

// Objective says which measure counts most when requests compete.
type Objective string

const (
	// Attainment gives up a request that can no longer meet its first-token target.
	Attainment Objective = "attainment"
	// Goodput serves a request as long as its deadline can be met.
	Goodput Objective = "goodput"
)

// Duration is a time span that is written with its unit, such as "800ms".
type Duration time.Duration

// Std returns d as the standard library's type.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalYAML writes the duration with its unit.
func (d Duration) MarshalYAML() (any, error) { return time.Duration(d).String(), nil }

// UnmarshalYAML reads a duration and refuses a number without a unit.
func (d *Duration) UnmarshalYAML(node ast.Node) error {
	text := node.GetToken().Value
	v, err := time.ParseDuration(text)
	if err != nil {
		return &FieldError{
			Line:   node.GetToken().Position.Line,
			Field:  strings.TrimPrefix(node.GetPath(), "$."),
			Reason: fmt.Sprintf("%q is not a duration with its unit, such as 800ms or 5s", text),
		}
	}
	*d = Duration(v)
	return nil
}

// Deployment is the whole configuration that operators publish.
type Deployment struct {
	// Version is the schema version, 1.
	Version int `yaml:"version" validate:"eq=1"`
	// Name identifies the deployment in logs.
	Name string `yaml:"name" validate:"required,name"`
	// Region holds all failure domains of this deployment.
	Region string `yaml:"region" validate:"required,name"`
	// Objective is "attainment" or "goodput".
	Objective Objective `yaml:"objective" validate:"oneof=attainment goodput"`
	// FailureDomains lists every failure domain of the region.
	FailureDomains []string `yaml:"failure_domains" validate:"required,min=1,unique,dive,name"`
	// Classes are the request classes.
	Classes []Class `yaml:"classes" validate:"required,min=1,dive"`
	// Teams are the senders.
	Teams []Team `yaml:"teams" validate:"required,min=1,dive"`
	// Models are served by engines in the chat-completions format.
	Models []Model `yaml:"models,omitempty" validate:"dive"`
	// Services are plain HTTP services that are passed through by path.
	Services []Service `yaml:"services,omitempty" validate:"dive"`
	// WeightStore bounds how fast engines may load weights. Absent: its defaults.
	WeightStore WeightStore `yaml:"weight_store,omitempty"`
	// ClassRules choose the class of a request without an X-Class header. The first match wins.
	ClassRules []ClassRule `yaml:"class_rules,omitempty" validate:"dive"`
}

// Class is a request class with its targets.
type Class struct {
	// Name of the class.
	Name string `yaml:"name" validate:"required,name"`
	// Tier is the priority; 1 is the highest.
	Tier int `yaml:"tier" validate:"min=1,max=16"`
	// FirstTokenTarget is the wanted time from arrival to the first token, or to the answer of a plain service.
	FirstTokenTarget Duration `yaml:"first_token_target" validate:"min=1"`
	// TokenIntervalTarget is the wanted mean time between tokens. Zero: no target.
	TokenIntervalTarget Duration `yaml:"token_interval_target,omitempty" validate:"min=0"`
	// Deadline is the time from arrival after which a first token is of no use.
	Deadline Duration `yaml:"deadline" validate:"min=1"`
	// MaxWait is the time in the queue after which a request counts as aged. Zero, or half
	// of the class's limit or more: a quarter of the limit, which is the deadline, or with
	// the objective attainment the first-token target.
	MaxWait Duration `yaml:"max_wait,omitempty" validate:"min=0"`
	// RetryRatio is the share of first tries that may be retried. Zero: 0.1.
	RetryRatio float64 `yaml:"retry_ratio,omitempty" validate:"min=0,max=1"`
}

// Team sends requests and is known by its bearer keys.
type Team struct {
	// Name of the team.
	Name string `yaml:"name" validate:"required,name"`
	// Weight is the team's share within a tier. Zero: 1.
	Weight int `yaml:"weight,omitempty" validate:"min=0,max=1000"`
	// KeySHA256 lists the hex SHA-256 digests of the team's bearer keys.
	KeySHA256 []string `yaml:"key_sha256" validate:"required,min=1,dive,len=64,hexadecimal,lowercase"`
	// Classes limits the classes that the team may use. Empty: all.
	Classes []string `yaml:"classes,omitempty"`
}

// Model is a language model and the engines that serve it.
type Model struct {
	// Name is the value of "model" in requests.
	Name string `yaml:"name" validate:"required,name"`
	// Class is used when neither the header nor a rule names one.
	Class string `yaml:"class" validate:"required"`
	// Version is the model version that the engines must hold. Empty: any.
	Version string `yaml:"version,omitempty" validate:"omitempty,name"`
	// Adapters are the adapters that the engines must hold; others are unloaded where the
	// model is managed. Empty: none.
	Adapters []string `yaml:"adapters,omitempty" validate:"unique,dive,name"`
	// Upstreams are the engines.
	Upstreams []Upstream `yaml:"upstreams" validate:"required,min=1,dive"`
}

// Service is a plain HTTP service.
type Service struct {
	// Name of the service.
	Name string `yaml:"name" validate:"required,name"`
	// PathPrefix selects the service; it starts and ends with a slash.
	PathPrefix string `yaml:"path_prefix" validate:"required,startswith=/,endswith=/"`
	// Class is used when neither the header nor a rule names one.
	Class string `yaml:"class" validate:"required"`
	// NonIdempotent lists the operations that must run at most once.
	NonIdempotent []Operation `yaml:"non_idempotent,omitempty" validate:"dive"`
	// Upstreams are the servers.
	Upstreams []Upstream `yaml:"upstreams" validate:"required,min=1,dive"`
}

// Operation is a method and a path below a service's prefix.
type Operation struct {
	// Method is the HTTP method in capitals.
	Method string `yaml:"method" validate:"oneof=POST PUT PATCH DELETE GET"`
	// Path is the whole path, or a prefix when it ends with "*".
	Path string `yaml:"path" validate:"required,startswith=/"`
}

// Upstream is one server.
type Upstream struct {
	// Name is unique in the deployment.
	Name string `yaml:"name" validate:"required,name"`
	// Address is an IP address with a port.
	Address string `yaml:"address" validate:"required,ipport"`
	// FailureDomain is the domain that the server stands in.
	FailureDomain string `yaml:"failure_domain" validate:"required"`
	// Role is the part of the work that a model engine does: "prefill", "decode" or
	// "mixed". Empty: mixed.
	Role Role `yaml:"role,omitempty" validate:"omitempty,oneof=prefill decode mixed"`
}

// ClassRule maps a request to a class. Empty fields match anything.
type ClassRule struct {
	// PathPrefix matches the start of the path.
	PathPrefix string `yaml:"path_prefix,omitempty"`
	// Model matches the model's name.
	Model string `yaml:"model,omitempty"`
	// Team matches the team's name.
	Team string `yaml:"team,omitempty"`
	// Class is the result.
	Class string `yaml:"class" validate:"required"`
}
