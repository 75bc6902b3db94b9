package settings

import (
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccabridge/yuccabridge/config"
)

// Gateway is the settings file of an instance that forwards requests by published routes.
type Gateway struct {
	// Instance is the instance's name, unique in the region.
	Instance string `yaml:"instance" validate:"required,name"`
	// FailureDomain is the domain that the instance stands in.
	FailureDomain string `yaml:"failure_domain" validate:"required,name"`
	// Callers is the callers' listener.
	Callers Listener `yaml:"callers"`
	// Operations is the listener for readiness, metrics and state.
	Operations Listener `yaml:"operations"`
	// ReadyPath is where the platform asks whether the instance takes requests. Default /readyz.
	ReadyPath string `yaml:"ready_path,omitempty" validate:"omitempty,startswith=/"`
	// Platform is where the configuration and the upstreams are read.
	Platform Platform `yaml:"platform"`
	// Freshness is the time within which a published change takes effect here, also when a
	// connection to the platform falls silent. Default 2s.
	Freshness config.Duration `yaml:"freshness,omitempty" validate:"min=0"`
	// Peers configures the traffic between instances. Absent: the instance works alone.
	Peers *Mesh `yaml:"peers,omitempty"`
	// Retries bound the repeated sendings of all instances together.
	Retries Retries `yaml:"retries,omitempty"`
	// Grace is how long the platform waits between the request to stop and the kill.
	// Default 8s.
	Grace config.Duration `yaml:"grace,omitempty" validate:"min=0"`
	// DrainDelay is how long a stopping instance takes new connections after its readiness
	// has failed, so that the platform notices. Default 2500ms.
	DrainDelay config.Duration `yaml:"drain_delay,omitempty" validate:"min=0"`
	// MemoryMB is the memory that the process may use, in 10^6 bytes; 0: not bounded.
	MemoryMB int `yaml:"memory_mb,omitempty" validate:"min=0"`
	// MaxConnections bounds the callers' open connections. Default 1024.
	MaxConnections int `yaml:"max_connections,omitempty" validate:"min=0,max=1000000"`
	// PromptTokensPerMS is the rate at which an upstream reads prompts, in tokens a
	// millisecond, until it is learned. Default 40.
	PromptTokensPerMS float64 `yaml:"prompt_tokens_per_ms,omitempty" validate:"min=0"`
	// Log configures the log.
	Log Log `yaml:"log,omitempty"`
}

// Mesh configures the traffic between instances on a network that keeps others out.
type Mesh struct {
	// Address is the TCP address for peers.
	Address string `yaml:"address" validate:"required,ipport"`
	// Gossip is the UDP address for membership messages.
	Gossip string `yaml:"gossip" validate:"required,ipport"`
	// Seeds are UDP addresses of instances to join through.
	Seeds []string `yaml:"seeds,omitempty" validate:"dive,ipport"`
	// Network names the deployment, at least 16 bytes. Instances with another name are
	// not heard. It is not a secret.
	Network string `yaml:"network" validate:"required,min=16"`
}

// Retries bound the arrivals at upstreams beyond the first of each request.
type Retries struct {
	// Ratio is the share of requests. Default 0.1.
	Ratio float64 `yaml:"ratio,omitempty" validate:"min=0,max=1"`
	// Window is the time over which the bound holds. Default 10s.
	Window config.Duration `yaml:"window,omitempty" validate:"min=0"`
	// Slack is the number of retries of all instances together that need no requests.
	Slack int `yaml:"slack,omitempty" validate:"min=0"`
}

// LoadGateway reads and checks the settings file. An error is one line that names the
// file, the line and the field.
func LoadGateway(file string) (*Gateway, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	s, err := ParseGateway(text)
	return s, errors.Wrap(err, file)
}

// ParseGateway reads settings strictly and fills in the defaults.
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
	setDefault(&s.Grace, config.Duration(8*time.Second))
	setDefault(&s.DrainDelay, config.Duration(2500*time.Millisecond))
	setDefault(&s.MaxConnections, 1024)
	setDefault(&s.PromptTokensPerMS, 40)
	setDefault(&s.Log.Level, "info")
	return s, nil
}
