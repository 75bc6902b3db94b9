package settings

import (
	"cmp"
	"fmt"
	"os"
	"time"

	"github.com/pkg/errors"

	"github.com/yuccabridge/yuccabridge/config"
)

// Settings is the content of the settings file.
type Settings struct {
	// Instance is the instance's name, unique in the region.
	Instance string `yaml:"instance" validate:"required,name"`
	// FailureDomain is the failure domain that the instance runs in.
	FailureDomain string `yaml:"failure_domain" validate:"required,name"`
	// Callers is the listener for callers' requests.
	Callers Listener `yaml:"callers"`
	// Operations is the listener for metrics, health, readiness and state.
	Operations Listener `yaml:"operations"`
	// Peers configures the traffic between instances. If absent, the instance runs
	// standalone.
	Peers *Peers `yaml:"peers,omitempty"`
	// Platform is the source of the configuration and of the instance list.
	Platform *Platform `yaml:"platform,omitempty"`
	// ConfigurationFile is used by a standalone instance instead of the platform.
	ConfigurationFile string `yaml:"configuration_file,omitempty"`
	// Limits bound the resources that callers and upstreams can use.
	Limits Limits `yaml:"limits,omitempty"`
	// DrainDelay is how long a stopping instance accepts requests after its readiness probe
	// starts to fail, so that the platform's load balancer can detect it. Default 2s.
	DrainDelay config.Duration `yaml:"drain_delay,omitempty" validate:"min=0"`
	// Grace is the termination grace period: how long the platform waits between SIGTERM and SIGKILL. It must be
	// longer than DrainDelay. Default 30s.
	Grace config.Duration `yaml:"grace,omitempty" validate:"min=0"`
	// Policy is "standard", or "baseline" for comparison in experiments. Default standard.
	Policy Policy `yaml:"policy,omitempty" validate:"omitempty,oneof=standard baseline"`
	// Log configures logging.
	Log Log `yaml:"log,omitempty"`
}

// Policy selects the queueing and load-balancing algorithms.
type Policy string

const (
	// Standard is the router's regular policy.
	Standard Policy = "standard"
	// Baseline uses a FIFO queue, round-robin load balancing and immediate retries.
	Baseline Policy = "baseline"
)

// Listener is an address to listen on.
type Listener struct {
	// Address is an IP address and port.
	Address string `yaml:"address" validate:"required,ipport"`
}

// Peers configures the traffic between instances.
type Peers struct {
	// Address is the TCP address for peers.
	Address string `yaml:"address" validate:"required,ipport"`
	// Gossip is the UDP address for membership messages.
	Gossip string `yaml:"gossip" validate:"required,ipport"`
	// Seeds are gossip addresses of existing instances through which this instance joins.
	Seeds []string `yaml:"seeds,omitempty" validate:"dive,ipport"`
	// KeyFile contains the message authentication keys, one hex-encoded key per line. The
	// first key signs messages and all keys verify them, so that keys can be rotated.
	KeyFile string `yaml:"key_file" validate:"required"`
	// TLS configures mutual TLS. Without it, peers must use loopback addresses.
	TLS *TLS `yaml:"tls,omitempty"`
}

// TLS lists the files for mutual TLS. They are reloaded when they change.
type TLS struct {
	// Certificate is the file with this instance's certificate chain in PEM.
	Certificate string `yaml:"certificate" validate:"required"`
	// Key is the file with the private key in PEM.
	Key string `yaml:"key" validate:"required"`
	// CA is the file with the CA certificates that verify peers, in PEM.
	CA string `yaml:"ca" validate:"required"`
}

// Platform is the location of the platform's API.
type Platform struct {
	// Address serves the configuration and the instance list.
	Address string `yaml:"address" validate:"required,ipport"`
}

// Limits bounds the resources of an instance. Zero values are replaced by the defaults.
type Limits struct {
	// MaxBodyBytes limits the size of a request body. Default 1048576.
	MaxBodyBytes int `yaml:"max_body_bytes,omitempty" validate:"min=0,max=67108864"`
	// MaxAnswerBytes limits the size of a response that is not streamed. Default 16777216.
	MaxAnswerBytes int `yaml:"max_answer_bytes,omitempty" validate:"min=0,max=268435456"`
	// MaxHeaderBytes limits the size of the request headers. Default 16384.
	MaxHeaderBytes int `yaml:"max_header_bytes,omitempty" validate:"min=0,max=1048576"`
	// MaxConnections limits the callers' open connections. Default 16384, or as many as 0.35 of MemoryMB holds at 60 kB
	// each if that is less.
	MaxConnections int `yaml:"max_connections,omitempty" validate:"min=0,max=1000000"`
	// MemoryMB is the memory limit of the process in 10^6 bytes; 0: no limit.
	MemoryMB int `yaml:"memory_mb,omitempty" validate:"min=0"`
	// BufferMB is the memory in 10^6 bytes for request bodies up to 64 KiB. Default: an eighth of memory_mb, or 64.
	BufferMB int `yaml:"buffer_mb,omitempty" validate:"min=0"`
	// RequestBufferMB is the memory in 10^6 bytes for larger ones, from before they are read until the request ends.
	// Default: an eighth of memory_mb, or 64.
	RequestBufferMB int `yaml:"request_buffer_mb,omitempty" validate:"min=0"`
	// QueueLimit limits the queued requests of each model or service. Default 4096.
	QueueLimit int `yaml:"queue_limit,omitempty" validate:"min=0,max=1000000"`
	// ReadTimeout bounds the time to read one request from a caller. Default 10s.
	ReadTimeout config.Duration `yaml:"read_timeout,omitempty" validate:"min=0"`
	// WriteTimeout bounds one write to a caller that is not reading. Default 30s.
	WriteTimeout config.Duration `yaml:"write_timeout,omitempty" validate:"min=0"`
	// IdleTimeout is the time after which a caller's idle connection is closed. Default 60s.
	IdleTimeout config.Duration `yaml:"idle_timeout,omitempty" validate:"min=0"`
	// Liveness is how long a stream may receive no data before a new connection is tried.
	// Default 2s.
	Liveness config.Duration `yaml:"liveness,omitempty" validate:"min=0"`
	// AnswerTimeout bounds the wait for a response that is not streamed. Default 2m.
	AnswerTimeout config.Duration `yaml:"answer_timeout,omitempty" validate:"min=0"`
}

// Log configures logging.
type Log struct {
	// Level is debug, info, warning or error. Default info.
	Level string `yaml:"level,omitempty" validate:"omitempty,oneof=debug info warning error"`
}

// Load reads and validates the settings file. An error is a single line of text that gives
// the file, the line number and the field.
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

// Parse decodes settings, rejects unknown keys and applies defaults.
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

// Complete validates the settings and applies defaults.
func (s *Settings) Complete() error {
	if err := s.Validate(); err != nil {
		return err
	}
	s.setDefaults()
	limits := callerLimits{memoryMB: s.Limits.MemoryMB, maxConnections: &s.Limits.MaxConnections, bufferMB: &s.Limits.BufferMB, requestBufferMB: &s.Limits.RequestBufferMB,
		defaultConnections: defaultEntryConnections, memoryField: "limits.memory_mb", connectionField: "limits.max_connections"}
	return limits.complete()
}

// defaultEntryConnections is the default limit of callers' connections, if the memory of the process suffices.
const defaultEntryConnections = 16384

// Validate checks the settings against the struct tags and the rules between fields.
func (s *Settings) Validate() error {
	if err := config.ValidateStruct(s); err != nil {
		return err
	}
	if (s.Platform == nil) == (s.ConfigurationFile == "") {
		return &config.FieldError{Field: "platform", Reason: "exactly one of platform and configuration_file is required"}
	}
	if drainDelay, grace := cmp.Or(s.DrainDelay.Std(), defaultDrainDelay), cmp.Or(s.Grace.Std(), defaultGrace); grace <= drainDelay {
		return &config.FieldError{Field: "grace", Reason: fmt.Sprintf("must be longer than drain_delay: %s, %s", grace, drainDelay)}
	}
	if s.Callers.Address == s.Operations.Address {
		return &config.FieldError{Field: "operations.address", Reason: "must differ from callers.address"}
	}
	return nil
}

const (
	defaultDrainDelay = 2 * time.Second
	defaultGrace      = 30 * time.Second
)

func (s *Settings) setDefaults() {
	limits := &s.Limits
	setDefault(&limits.MaxBodyBytes, 1<<20)
	setDefault(&limits.MaxAnswerBytes, 16<<20)
	setDefault(&limits.MaxHeaderBytes, 16<<10)
	setDefault(&limits.QueueLimit, 4096)
	setDefault(&limits.ReadTimeout, config.Duration(10*time.Second))
	setDefault(&limits.WriteTimeout, config.Duration(30*time.Second))
	setDefault(&limits.IdleTimeout, config.Duration(time.Minute))
	setDefault(&limits.Liveness, config.Duration(2*time.Second))
	setDefault(&limits.AnswerTimeout, config.Duration(2*time.Minute))
	setDefault(&s.Log.Level, "info")
	setDefault(&s.Policy, Standard)
	setDefault(&s.DrainDelay, config.Duration(defaultDrainDelay))
	setDefault(&s.Grace, config.Duration(defaultGrace))
}

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}
