package experiment

import (
	"fmt"
	"math"
	"time"

	"github.com/yuccabridge/yuccabridge/config"
)

const (
	defaultDrain       = 30 * time.Second
	defaultTimeout     = 2 * time.Minute
	defaultMaxInFlight = 20_000
	demoKeyPrefix      = "demo-key-"
)

// Scenario describes a load.
type Scenario struct {
	// Name appears in the report.
	Name string `yaml:"name" validate:"required,name"`
	// Seed determines arrivals, lengths and teams.
	Seed uint64 `yaml:"seed"`
	// Duration is the time in which requests are sent.
	Duration config.Duration `yaml:"duration" validate:"min=1"`
	// Warmup is the time at the start whose requests are sent but not counted.
	Warmup config.Duration `yaml:"warmup,omitempty" validate:"min=0"`
	// Drain is the time after it in which answers are awaited. Zero: 30 s.
	Drain config.Duration `yaml:"drain,omitempty" validate:"min=0"`
	// Targets are the addresses of entry instances; requests alternate between them.
	Targets []string `yaml:"targets" validate:"required,min=1,dive,ipport"`
	// Live, when set, returns the targets that a load balancer would use now. It must
	// be safe for concurrent use.
	Live func() []string `yaml:"-" validate:"-"`
	// Timeout bounds one attempt. Zero: 2 min.
	Timeout config.Duration `yaml:"timeout,omitempty" validate:"min=0"`
	// MaxInFlight bounds the open requests; what exceeds it is counted as not sent. Zero: 20,000.
	MaxInFlight int `yaml:"max_in_flight,omitempty" validate:"min=0"`
	// Classes are the loads by class.
	Classes []ClassLoad `yaml:"classes" validate:"required,min=1,dive"`
	// Orders says how the share of orders in the classes is sent.
	Orders *OrderLoad `yaml:"orders,omitempty"`
}

// ClassLoad is the load of one class.
type ClassLoad struct {
	// Class is sent as X-Class.
	Class string `yaml:"class" validate:"required,name"`
	// Model is asked for.
	Model string `yaml:"model" validate:"required,name"`
	// Rate is the mean number of requests per second outside bursts.
	Rate float64 `yaml:"rate" validate:"gt=0"`
	// Burst repeats a time of higher rate.
	Burst *Burst `yaml:"burst,omitempty"`
	// Prompt and Output are distributions of tokens.
	Prompt Lengths `yaml:"prompt"`
	Output Lengths `yaml:"output"`
	// SharedPrefix makes prompts begin with one of a few common texts.
	SharedPrefix *SharedPrefix `yaml:"shared_prefix,omitempty"`
	// JSONShare is the share of requests that ask for one JSON answer instead of a stream.
	JSONShare float64 `yaml:"json_share,omitempty" validate:"min=0,max=1"`
	// OrderShare is the share of non-idempotent orders.
	OrderShare float64 `yaml:"order_share,omitempty" validate:"min=0,max=1"`
	// Teams are the senders with their shares.
	Teams []TeamShare `yaml:"teams" validate:"required,min=1,dive"`
	// Abandon makes a share of the callers leave.
	Abandon *Abandon `yaml:"abandon,omitempty"`
	// Resend makes callers try again.
	Resend Resend `yaml:"resend,omitempty"`
}

// TokenRate is the expected number of output tokens per second, outside bursts and with
// no regard to the longest length.
func (s *Scenario) TokenRate() float64 {
	sum := 0.0
	for _, c := range s.Classes {
		sum += c.Rate * (1 - c.OrderShare) * c.Output.Median * math.Exp(c.Output.Sigma*c.Output.Sigma/2)
	}
	return sum
}

// Burst multiplies the rate by Factor during Length, from Offset on in each Every.
type Burst struct {
	Every  config.Duration `yaml:"every" validate:"min=1"`
	Length config.Duration `yaml:"length" validate:"min=1"`
	Offset config.Duration `yaml:"offset,omitempty" validate:"min=0"`
	Factor float64         `yaml:"factor" validate:"gt=0"`
}

// Lengths is a lognormal distribution of tokens.
type Lengths struct {
	Median float64 `yaml:"median" validate:"gte=1"`
	Sigma  float64 `yaml:"sigma,omitempty" validate:"min=0,max=3"`
	Max    int     `yaml:"max" validate:"min=1,max=100000"`
}

// SharedPrefix is a number of common texts of a length.
type SharedPrefix struct {
	Texts  int `yaml:"texts" validate:"min=1"`
	Tokens int `yaml:"tokens" validate:"min=1,max=100000"`
}

// TeamShare is a sender with its share of the class's requests.
type TeamShare struct {
	Team  string  `yaml:"team" validate:"required,name"`
	Share float64 `yaml:"share" validate:"gt=0"`
	// Key is the bearer key. Empty: "demo-key-" and the team's name.
	Key string `yaml:"key,omitempty"`
}

// Abandon lets a share of the callers close their connection after an exponentially
// distributed time.
type Abandon struct {
	Share float64         `yaml:"share" validate:"min=0,max=1"`
	After config.Duration `yaml:"after" validate:"min=1"`
}

// Resend is the policy of callers whose request was refused or lost.
type Resend struct {
	// Attempts bounds the resends after the first try. Zero: none.
	Attempts int `yaml:"attempts,omitempty" validate:"min=0,max=100"`
	// Pause passes before each resend.
	Pause config.Duration `yaml:"pause,omitempty" validate:"min=0"`
	// IgnoreRetryAfter resends after Pause even when the answer asks for more.
	IgnoreRetryAfter bool `yaml:"ignore_retry_after,omitempty"`
}

// OrderLoad says how orders are sent.
type OrderLoad struct {
	// Path of the operation, for example /ordres-ligne/runs.
	Path string `yaml:"path" validate:"required,startswith=/"`
	// Attempts bounds the tries of one order. Zero: 5.
	Attempts int `yaml:"attempts,omitempty" validate:"min=0,max=100"`
	// Pause passes between tries. Zero: 200 ms.
	Pause config.Duration `yaml:"pause,omitempty" validate:"min=0"`
	// Timeout bounds one try. Zero: 10 s.
	Timeout config.Duration `yaml:"timeout,omitempty" validate:"min=0"`
}

// ParseScenario reads a scenario strictly. The error is one line that names the
// line and the field.
func ParseScenario(text []byte) (*Scenario, error) {
	s := new(Scenario)
	if err := config.DecodeStrict(text, s); err != nil {
		return nil, err
	}
	if err := s.Complete(); err != nil {
		return nil, config.Locate(text, err)
	}
	return s, nil
}

// Complete checks the scenario and fills in the defaults.
func (s *Scenario) Complete() error {
	if err := s.validate(); err != nil {
		return err
	}
	s.setDefaults()
	return nil
}

func (s *Scenario) validate() error {
	if err := config.ValidateStruct(s); err != nil {
		return err
	}
	for i, c := range s.Classes {
		if c.OrderShare > 0 && s.Orders == nil {
			return &config.FieldError{Field: fmt.Sprintf("classes[%d].order_share", i), Reason: "the section orders is missing"}
		}
	}
	return nil
}

func (s *Scenario) setDefaults() {
	setDefault(&s.Drain, config.Duration(defaultDrain))
	setDefault(&s.Timeout, config.Duration(defaultTimeout))
	setDefault(&s.MaxInFlight, defaultMaxInFlight)
	if s.Orders != nil {
		setDefault(&s.Orders.Attempts, 5)
		setDefault(&s.Orders.Pause, config.Duration(200*time.Millisecond))
		setDefault(&s.Orders.Timeout, config.Duration(10*time.Second))
	}
	for i := range s.Classes {
		for j := range s.Classes[i].Teams {
			t := &s.Classes[i].Teams[j]
			setDefault(&t.Key, demoKeyPrefix+t.Team)
		}
	}
}

func setDefault[T comparable](v *T, value T) {
	var zero T
	if *v == zero {
		*v = value
	}
}

// CheckAgainst finds classes, models and teams that the deployment does not declare.
func (s *Scenario) CheckAgainst(d *config.Deployment) error {
	classes, models, teams := map[string]bool{}, map[string]bool{}, map[string]bool{}
	for _, c := range d.Classes {
		classes[c.Name] = true
	}
	for _, m := range d.Models {
		models[m.Name] = true
	}
	for _, t := range d.Teams {
		teams[t.Name] = true
	}
	for i, c := range s.Classes {
		at := fmt.Sprintf("classes[%d]", i)
		if !classes[c.Class] {
			return undeclared(at+".class", c.Class)
		}
		if !models[c.Model] {
			return undeclared(at+".model", c.Model)
		}
		for j, t := range c.Teams {
			if !teams[t.Team] {
				return undeclared(fmt.Sprintf("%s.teams[%d].team", at, j), t.Team)
			}
		}
	}
	return nil
}

func undeclared(field, name string) error {
	return &config.FieldError{Field: field, Reason: fmt.Sprintf("%q is not declared in the configuration", name)}
}
