package settings

import (
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccabridge/yuccabridge/config"
)

// Settings is the content of the settings file.
type Settings struct {
	// Instance is the instance's name, unique in the region.
	Instance string `yaml:"instance" validate:"required,name"`
	// FailureDomain is the domain that the instance stands in.
	FailureDomain string `yaml:"failure_domain" validate:"required,name"`
	// Callers is the callers' listener.
	Callers Listener `yaml:"callers"`
	// Operations is the operators' listener: metrics, health, readiness, state.
	Operations Listener `yaml:"operations"`
	// Peers configures the traffic between instances. Absent: the instance works alone.
	Peers *Peers `yaml:"peers,omitempty"`
	// Platform is where the configuration and the list of instances are read.
	Platform *Platform `yaml:"platform,omitempty"`
	// ConfigurationFile replaces the platform for a single instance.
	ConfigurationFile string `yaml:"configuration_file,omitempty"`
	// Limits protect the instance from callers.
	Limits Limits `yaml:"limits,omitempty"`
	// DrainDelay is how long a stopping instance accepts requests after its readiness has
	// failed, so that the platform's load balancer notices. Default 2s.
	DrainDelay config.Duration `yaml:"drain_delay,omitempty" validate:"min=0"`
	// Policy is "standard", or "baseline" for the comparison in experiments. Default standard.
	Policy Policy `yaml:"policy,omitempty" validate:"omitempty,oneof=standard baseline"`
	// Log configures the log.
	Log Log `yaml:"log,omitempty"`
}

// Policy selects how requests are queued and upstreams chosen.
type Policy string

const (
	// Standard is the router's policy.
	Standard Policy = "standard"
	// Baseline is a first-in first-out queue with upstreams in turn and retries at once.
	Baseline Policy = "baseline"
)

// Listener is an address to listen on.
type Listener struct {
	// Address is an IP address with a port.
	Address string `yaml:"address" validate:"required,ipport"`
}

// Peers configures the traffic between instances.
type Peers struct {
	// Address is the TCP address for peers.
	Address string `yaml:"address" validate:"required,ipport"`
	// Gossip is the UDP address for membership messages.
	Gossip string `yaml:"gossip" validate:"required,ipport"`
	// Seeds are UDP addresses of instances to join through.
	Seeds []string `yaml:"seeds,omitempty" validate:"dive,ipport"`
	// KeyFile holds the keys for message authentication, one in hex a line. The first
	// signs, all verify, so that a key can be rotated.
	KeyFile string `yaml:"key_file" validate:"required"`
	// TLS names the files for mutual TLS. Without it, peers must be on loopback addresses.
	TLS *TLS `yaml:"tls,omitempty"`
}

// TLS names the files for mutual TLS; they are read again when they change.
type TLS struct {
	// Certificate is this instance's certificate chain in PEM.
	Certificate string `yaml:"certificate" validate:"required"`
	// Key is the private key in PEM.
	Key string `yaml:"key" validate:"required"`
	// CA holds the certificates that sign peers' certificates, in PEM.
	CA string `yaml:"ca" validate:"required"`
}

// Platform locates the platform's services.
type Platform struct {
	// Address of the configuration service and the list of instances.
	Address string `yaml:"address" validate:"required,ipport"`
}

// Limits protect the instance. Zero values take the defaults.
type Limits struct {
	// MaxBodyBytes bounds a request body. Default 1048576.
	MaxBodyBytes int `yaml:"max_body_bytes,omitempty" validate:"min=0,max=67108864"`
	// MaxAnswerBytes bounds an answer that is not streamed. Default 16777216.
	MaxAnswerBytes int `yaml:"max_answer_bytes,omitempty" validate:"min=0,max=268435456"`
	// MaxHeaderBytes bounds the request headers. Default 16384.
	MaxHeaderBytes int `yaml:"max_header_bytes,omitempty" validate:"min=0,max=1048576"`
	// MaxConnections bounds the callers' open connections. Default 16384.
	MaxConnections int `yaml:"max_connections,omitempty" validate:"min=0,max=1000000"`
	// QueueLimit bounds the waiting requests of each model or service. Default 4096.
	QueueLimit int `yaml:"queue_limit,omitempty" validate:"min=0,max=1000000"`
	// ReadTimeout bounds the sending of one request by a caller. Default 10s.
	ReadTimeout config.Duration `yaml:"read_timeout,omitempty" validate:"min=0"`
	// WriteTimeout bounds one write to a caller that does not read. Default 30s.
	WriteTimeout config.Duration `yaml:"write_timeout,omitempty" validate:"min=0"`
	// IdleTimeout closes a caller's idle connection. Default 60s.
	IdleTimeout config.Duration `yaml:"idle_timeout,omitempty" validate:"min=0"`
	// Liveness is how long a stream may stay without a byte before a fresh connection
	// is tried. Default 2s.
	Liveness config.Duration `yaml:"liveness,omitempty" validate:"min=0"`
	// AnswerTimeout bounds the wait for an answer that is not streamed. Default 2m.
	AnswerTimeout config.Duration `yaml:"answer_timeout,omitempty" validate:"min=0"`
}

// Log configures the log.
type Log struct {
	// Level is debug, info, warning or error. Default info.
	Level string `yaml:"level,omitempty" validate:"omitempty,oneof=debug info warning error"`
}

// Load reads and checks the settings file. An error is one line that names the
// file, the line and the field.
func Load(file string) (*Settings, error) {
	text, err := os.ReadFile(file)
	if err != nil {
		return nil, errors.Wrap(err, "read settings")
	}
	s, err := Parse(text)
	if err != nil {
		return nil, errors.Wrap(err, file)
	}
	return s, nil
}

// Parse reads settings strictly and fills in the defaults.
func Parse(text []byte) (*Settings, error) {
	s := new(Settings)
	if err := config.DecodeStrict(text, s); err != nil {
		return nil, err
	}
	if err := s.Complete(); err != nil {
		return nil, config.Locate(text, err)
	}
	return s, nil
}

// Complete checks the settings and fills in the defaults.
func (s *Settings) Complete() error {
	if err := s.Validate(); err != nil {
		return err
	}
	s.fillDefaults()
	return nil
}

// Validate checks the settings.
func (s *Settings) Validate() error {
	if err := config.ValidateStruct(s); err != nil {
		return err
	}
	if (s.Platform == nil) == (s.ConfigurationFile == "") {
		return &config.FieldError{Field: "platform", Reason: "exactly one of platform and configuration_file is needed"}
	}
	if s.Callers.Address == s.Operations.Address {
		return &config.FieldError{Field: "operations.address", Reason: "must differ from callers.address"}
	}
	return nil
}

func (s *Settings) fillDefaults() {
	l := &s.Limits
	setDefault(&l.MaxBodyBytes, 1<<20)
	setDefault(&l.MaxAnswerBytes, 16<<20)
	setDefault(&l.MaxHeaderBytes, 16<<10)
	setDefault(&l.MaxConnections, 16384)
	setDefault(&l.QueueLimit, 4096)
	setDefault(&l.ReadTimeout, config.Duration(10*time.Second))
	setDefault(&l.WriteTimeout, config.Duration(30*time.Second))
	setDefault(&l.IdleTimeout, config.Duration(time.Minute))
	setDefault(&l.Liveness, config.Duration(2*time.Second))
	setDefault(&l.AnswerTimeout, config.Duration(2*time.Minute))
	setDefault(&s.Log.Level, "info")
	setDefault(&s.Policy, Standard)
	setDefault(&s.DrainDelay, config.Duration(2*time.Second))
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
