package config

import (
	"fmt"
	"strings"
	"time"

	"github.com/goccy/go-yaml/ast"
)

// Version is the only schema version that this release supports.
const Version = 1

// Objective selects the metric that scheduling favors when requests compete for
// capacity.
type Objective string

const (
	// Attainment drops a request that can no longer meet its first-token target.
	Attainment Objective = "attainment"
	// Goodput serves a request as long as it can still meet its deadline.
	Goodput Objective = "goodput"
)

// Duration is a time.Duration that is encoded in YAML with its unit, such as "800ms".
type Duration time.Duration

// Std returns d as a time.Duration.
func (d Duration) Std() time.Duration { return time.Duration(d) }

// MarshalYAML encodes the duration with its unit.
func (d Duration) MarshalYAML() (any, error) { return time.Duration(d).String(), nil }

// UnmarshalYAML decodes a duration and rejects a number without a unit.
func (d *Duration) UnmarshalYAML(node ast.Node) error {
	text := node.GetToken().Value
	parsed, err := time.ParseDuration(text)
	if err != nil {
		return &FieldError{
			Line:   node.GetToken().Position.Line,
			Field:  strings.TrimPrefix(node.GetPath(), "$."),
			Reason: fmt.Sprintf("%q is not a duration with a unit, such as 800ms or 5s", text),
		}
	}
	*d = Duration(parsed)
	return nil
}

// Deployment is the complete configuration that operators publish.
type Deployment struct {
	// Version is the schema version, 1.
	Version int `yaml:"version" validate:"eq=1"`
	// Name identifies the deployment in logs.
	Name string `yaml:"name" validate:"required,name"`
	// Region is the region that contains all failure domains of the deployment.
	Region string `yaml:"region" validate:"required,name"`
	// Objective is "attainment" or "goodput".
	Objective Objective `yaml:"objective" validate:"oneof=attainment goodput"`
	// FailureDomains lists every failure domain of the region.
	FailureDomains []string `yaml:"failure_domains" validate:"required,min=1,unique,dive,name"`
	// Classes are the request classes.
	Classes []Class `yaml:"classes" validate:"required,min=1,dive"`
	// Teams are the tenants that may send requests.
	Teams []Team `yaml:"teams" validate:"required,min=1,dive"`
	// Models are the language models, served by engines through the chat completions API.
	Models []Model `yaml:"models,omitempty" validate:"dive"`
	// Services are plain HTTP services; requests are routed to them by path prefix.
	Services []Service `yaml:"services,omitempty" validate:"dive"`
	// WeightStore limits the rate and concurrency of weight loads. Defaults apply if absent.
	WeightStore WeightStore `yaml:"weight_store,omitempty"`
	// ClassRules select the class of a request without an X-Class header. The first match wins.
	ClassRules []ClassRule `yaml:"class_rules,omitempty" validate:"dive"`
}

// Class is a request class with its latency targets.
type Class struct {
	// Name of the class.
	Name string `yaml:"name" validate:"required,name"`
	// Tier is the priority; 1 is the highest.
	Tier int `yaml:"tier" validate:"min=1,max=16"`
	// FirstTokenTarget is the target time from arrival to the first token, or to the response of a plain service.
	FirstTokenTarget Duration `yaml:"first_token_target" validate:"min=1"`
	// TokenIntervalTarget is the target mean time between tokens. Zero: no target.
	TokenIntervalTarget Duration `yaml:"token_interval_target,omitempty" validate:"min=0"`
	// Deadline is the time from arrival after which a first token is no longer useful.
	Deadline Duration `yaml:"deadline" validate:"min=1"`
	// MaxWait is the queueing time after which a request counts as aged. If it is zero, or
	// at least half of the class's limit, a quarter of the limit is used. The limit is the
	// deadline, or the first-token target if the objective is attainment.
	MaxWait Duration `yaml:"max_wait,omitempty" validate:"min=0"`
	// RetryRatio is the fraction of first attempts that may be retried. Zero: 0.1.
	RetryRatio float64 `yaml:"retry_ratio,omitempty" validate:"min=0,max=1"`
}

// Team is a tenant that sends requests and authenticates with bearer keys.
type Team struct {
	// Name of the team.
	Name string `yaml:"name" validate:"required,name"`
	// Weight is the team's weight in fair queueing within a tier. Zero: 1.
	Weight int `yaml:"weight,omitempty" validate:"min=0,max=1000"`
	// KeySHA256 lists the hex SHA-256 digests of the team's bearer keys.
	KeySHA256 []string `yaml:"key_sha256" validate:"required,min=1,dive,len=64,hexadecimal,lowercase"`
	// Classes lists the classes that the team may use. Empty: all.
	Classes []string `yaml:"classes,omitempty"`
}

// Model is a language model and the engines that serve it.
type Model struct {
	// Name is the value of the "model" field in requests.
	Name string `yaml:"name" validate:"required,name"`
	// Class is the default if neither the X-Class header nor a class rule selects one.
	Class string `yaml:"class" validate:"required"`
	// Version is the model version that the engines must have loaded. Empty: any.
	Version string `yaml:"version,omitempty" validate:"omitempty,name"`
	// Adapters are the adapters that the engines must have loaded. If the model is managed,
	// all others are unloaded. Empty: none.
	Adapters []string `yaml:"adapters,omitempty" validate:"unique,dive,name"`
	// Upstreams are the engines that serve the model.
	Upstreams []Upstream `yaml:"upstreams" validate:"required,min=1,dive"`
}

// Service is a plain HTTP service.
type Service struct {
	// Name of the service.
	Name string `yaml:"name" validate:"required,name"`
	// PathPrefix is the prefix of the request paths that are routed to the service; it
	// starts and ends with a slash.
	PathPrefix string `yaml:"path_prefix" validate:"required,startswith=/,endswith=/"`
	// Class is the default if neither the X-Class header nor a class rule selects one.
	Class string `yaml:"class" validate:"required"`
	// NonIdempotent lists the operations that must run at most once.
	NonIdempotent []Operation `yaml:"non_idempotent,omitempty" validate:"dive"`
	// Upstreams are the HTTP servers of the service.
	Upstreams []Upstream `yaml:"upstreams" validate:"required,min=1,dive"`
}

// Operation is an HTTP method and a path under a service's path prefix.
type Operation struct {
	// Method is the HTTP method in upper case.
	Method string `yaml:"method" validate:"oneof=POST PUT PATCH DELETE GET"`
	// Path is the full path, or a path prefix if it ends with "*".
	Path string `yaml:"path" validate:"required,startswith=/"`
}

// Upstream is one engine of a model or one HTTP server of a service.
type Upstream struct {
	// Name is unique in the deployment.
	Name string `yaml:"name" validate:"required,name"`
	// Address is an IP address and port.
	Address string `yaml:"address" validate:"required,ipport"`
	// FailureDomain is the failure domain that the upstream runs in.
	FailureDomain string `yaml:"failure_domain" validate:"required"`
	// Role is the phase of inference that a model engine runs: "prefill", "decode" or
	// "mixed" for both. Empty: mixed.
	Role Role `yaml:"role,omitempty" validate:"omitempty,oneof=prefill decode mixed"`
}

// ClassRule maps matching requests to a class. Empty fields match any request.
type ClassRule struct {
	// PathPrefix matches the start of the request path.
	PathPrefix string `yaml:"path_prefix,omitempty"`
	// Model matches the model's name.
	Model string `yaml:"model,omitempty"`
	// Team matches the team's name.
	Team string `yaml:"team,omitempty"`
	// Class is the class assigned to matching requests.
	Class string `yaml:"class" validate:"required"`
}
