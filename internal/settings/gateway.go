package settings

import (
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccabridge/yuccabridge/config"
)

// Gateway is the settings file of an instance that forwards requests according to the
// routes published by the platform.
type Gateway struct {
	// Instance is the instance's name, unique in the region.
	Instance string `yaml:"instance" validate:"required,name"`
	// FailureDomain is the failure domain that the instance runs in.
	FailureDomain string `yaml:"failure_domain" validate:"required,name"`
	// Callers is the listener for callers' requests.
	Callers Listener `yaml:"callers"`
	// Operations is the listener for readiness, metrics and state.
	Operations Listener `yaml:"operations"`
	// ReadyPath is the path of the readiness probe. Default /readyz.
	ReadyPath string `yaml:"ready_path,omitempty" validate:"omitempty,startswith=/"`
	// FirstStart means that all instances are started for the first time, so that no stream is older than
	// this process. Default false.
	FirstStart bool `yaml:"first_start,omitempty"`
	// Platform is the source of the configuration and of the upstreams.
	Platform Platform `yaml:"platform"`
	// Freshness bounds the time until a published change takes effect, even if a connection
	// to the platform stalls. Default 2s.
	Freshness config.Duration `yaml:"freshness,omitempty" validate:"min=0"`
	// ReadersPerDomain is the number of instances of a failure domain that read the platform; the others
	// learn changes from them. Default 2.
	ReadersPerDomain int `yaml:"readers_per_domain,omitempty" validate:"min=0,max=1000"`
	// Peers configures the traffic between instances. If absent, the instance runs
	// standalone.
	Peers *GatewayPeers `yaml:"peers,omitempty"`
	// Retries is the retry budget shared by all instances.
	Retries Retries `yaml:"retries,omitempty"`
	// Duplicates allows second attempts against slow answers.
	Duplicates Duplicates `yaml:"duplicates,omitempty"`
	// Grace is the termination grace period: how long the platform waits between SIGTERM and
	// SIGKILL. Default 8s.
	Grace config.Duration `yaml:"grace,omitempty" validate:"min=0"`
	// DrainDelay is how long a stopping instance accepts new connections after its readiness
	// probe starts to fail, so that the platform can detect it. Default 2500ms.
	DrainDelay config.Duration `yaml:"drain_delay,omitempty" validate:"min=0"`
	// MemoryMB is the memory limit of the process in 10^6 bytes; 0: no limit.
	MemoryMB int `yaml:"memory_mb,omitempty" validate:"min=0"`
	// BufferMB is the memory in 10^6 bytes for the bodies of responses that are not yet sent on
	// and for small ones of requests. Default: an eighth of memory_mb, or 64.
	BufferMB int `yaml:"buffer_mb,omitempty" validate:"min=0"`
	// RequestBufferMB is the memory in 10^6 bytes for the larger bodies of requests, from before they
	// are read until the request ends. Default: an eighth of memory_mb, or 64.
	RequestBufferMB int `yaml:"request_buffer_mb,omitempty" validate:"min=0"`
	// MaxConnections limits the callers' open connections. Default 1024, or as many as 0.35 of memory_mb holds at 60 kB each
	// if that is less.
	MaxConnections int `yaml:"max_connections,omitempty" validate:"min=0,max=1000000"`
	// PromptTokensPerMS is the initial estimate of an upstream's prefill rate in tokens per
	// millisecond, used until the rate has been measured. Default 40.
	PromptTokensPerMS float64 `yaml:"prompt_tokens_per_ms,omitempty" validate:"min=0"`
	// Log configures logging.
	Log Log `yaml:"log,omitempty"`
}

// defaultGatewayConnections is the default limit of callers' connections, if the memory of the process suffices.
const defaultGatewayConnections = 1024

// GatewayPeers configures the traffic between instances. The network must not be reachable
// by other hosts.
type GatewayPeers struct {
	// Address is the TCP address for peers.
	Address string `yaml:"address" validate:"required,ipport"`
	// Gossip is the UDP address for membership messages.
	Gossip string `yaml:"gossip" validate:"required,ipport"`
	// Seeds are gossip addresses of existing instances through which this instance joins.
	Seeds []string `yaml:"seeds,omitempty" validate:"dive,ipport"`
	// Network identifies the deployment, at least 16 bytes. Messages from instances with
	// another value are ignored. It is not a secret.
	Network string `yaml:"network" validate:"required,min=16"`
}

// Retries is the retry budget: it limits the attempts that reach upstreams beyond the first
// attempt of each request.
type Retries struct {
	// Ratio is the maximum ratio of retries to requests. Default 0.1.
	Ratio float64 `yaml:"ratio,omitempty" validate:"min=0,max=1"`
	// Window is the time window over which the limit applies. Default 10s.
	Window config.Duration `yaml:"window,omitempty" validate:"min=0"`
	// Slack is the number of retries, summed over all instances, that are allowed regardless
	// of the number of requests.
	Slack int `yaml:"slack,omitempty" validate:"min=0"`
}

// Duplicates allows second attempts of requests that may be repeated, before the first has failed.
type Duplicates struct {
	// Share is the maximum ratio of duplicates to requests of a service over retries.window, of all instances. They count
	// against the retry budget, too. Default 0: no duplicates are sent.
	Share float64 `yaml:"share,omitempty" validate:"min=0,max=0.2"`
}

// LoadGateway reads and validates the settings file. An error is a single line of text that
// gives the file, the line number and the field.
func LoadGateway(file string) (*Gateway, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	s, err := ParseGateway(text)
	return s, errors.Wrap(err, file)
}

// ParseGateway decodes settings, rejects unknown keys and applies defaults.
func ParseGateway(text []byte) (*Gateway, error) {
	s := new(Gateway)
	if err := config.DecodeStrict(text, s); err != nil {
		return nil, err
	}
	if err := config.ValidateStruct(s); err != nil {
		return nil, config.Locate(text, err)
	}
	setDefault(&s.ReadyPath, "/readyz")
	setDefault(&s.Retries.Ratio, 0.1)
	setDefault(&s.Retries.Window, config.Duration(10*time.Second))
	setDefault(&s.Freshness, config.Duration(2*time.Second))
	setDefault(&s.ReadersPerDomain, 2)
	setDefault(&s.Grace, config.Duration(8*time.Second))
	setDefault(&s.DrainDelay, config.Duration(2500*time.Millisecond))
	limits := callerLimits{memoryMB: s.MemoryMB, maxConnections: &s.MaxConnections, bufferMB: &s.BufferMB, requestBufferMB: &s.RequestBufferMB,
		defaultConnections: defaultGatewayConnections, memoryField: "memory_mb", connectionField: "max_connections"}
	if err := limits.complete(); err != nil {
		return nil, config.Locate(text, err)
	}
	setDefault(&s.PromptTokensPerMS, 40)
	setDefault(&s.Log.Level, "info")
	return s, nil
}
