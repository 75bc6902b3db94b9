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

// Scenario describes the load of one run.
type Scenario struct {
	// Name identifies the scenario in the report.
	Name string `yaml:"name" validate:"required,name"`
	// Seed initializes the generator of arrival times, lengths and teams.
	Seed uint64 `yaml:"seed"`
	// Duration is the time during which requests are sent, including the warm-up.
	Duration config.Duration `yaml:"duration" validate:"min=1"`
	// Warmup is the initial period whose requests are sent but not counted.
	Warmup config.Duration `yaml:"warmup,omitempty" validate:"min=0"`
	// Drain is the time after Duration during which responses are awaited. Default 30 s.
	Drain config.Duration `yaml:"drain,omitempty" validate:"min=0"`
	// EntryAddresses lists the addresses of entry instances; requests go to them in turn.
	EntryAddresses []string `yaml:"targets" validate:"required,min=1,dive,ipport"`
	// CurrentEntryAddresses, if set, returns the entry addresses that a load balancer would use
	// at the moment; EntryAddresses is used when it returns none. It must be safe for concurrent use.
	CurrentEntryAddresses func() []string `yaml:"-" validate:"-"`
	// Timeout limits one attempt of a chat request. Default 2 min.
	Timeout config.Duration `yaml:"timeout,omitempty" validate:"min=0"`
	// MaxInFlight limits the concurrent requests; requests above it are counted as not
	// sent. Default 20,000.
	MaxInFlight int `yaml:"max_in_flight,omitempty" validate:"min=0"`
	// Classes lists the load of each class.
	Classes []ClassLoad `yaml:"classes" validate:"required,min=1,dive"`
	// Orders configures how orders, the non-idempotent requests, are sent. It is required when a class has an order share.
	Orders *OrderLoad `yaml:"orders,omitempty"`
}

// ClassLoad is the load of one class.
type ClassLoad struct {
	// Class is the value of the X-Class header.
	Class string `yaml:"class" validate:"required,name"`
	// Model is the requested model.
	Model string `yaml:"model" validate:"required,name"`
	// Rate is the mean number of requests per second outside bursts.
	Rate float64 `yaml:"rate" validate:"gt=0"`
	// Burst periodically changes the rate.
	Burst *Burst `yaml:"burst,omitempty"`
	// Prompt and Output are the distributions of the prompt and output lengths in tokens.
	Prompt Lengths `yaml:"prompt"`
	Output Lengths `yaml:"output"`
	// SharedPrefix makes prompts begin with one of a set of shared prefixes.
	SharedPrefix *SharedPrefix `yaml:"shared_prefix,omitempty"`
	// JSONShare is the share of requests that ask for a single JSON response instead of a stream.
	JSONShare float64 `yaml:"json_share,omitempty" validate:"min=0,max=1"`
	// OrderShare is the share of requests that are non-idempotent orders.
	OrderShare float64 `yaml:"order_share,omitempty" validate:"min=0,max=1"`
	// Teams lists the sending teams with their shares.
	Teams []TeamShare `yaml:"teams" validate:"required,min=1,dive"`
	// Abandon makes a share of the callers close their connection early.
	Abandon *Abandon `yaml:"abandon,omitempty"`
	// Resend is the retry policy of the callers.
	Resend Resend `yaml:"resend,omitempty"`
}

// TokenRate returns the expected number of output tokens per second. It ignores bursts
// and the maximum output length.
func (s *Scenario) TokenRate() float64 {
	sum := 0.0
	for _, c := range s.Classes {
		sum += c.Rate * (1 - c.OrderShare) * c.Output.Median * math.Exp(c.Output.Sigma*c.Output.Sigma/2)
	}
	return sum
}

// Burst multiplies the rate by Factor for Length once in every period Every. The first
// burst starts at Offset.
type Burst struct {
	Every  config.Duration `yaml:"every" validate:"min=1"`
	Length config.Duration `yaml:"length" validate:"min=1"`
	Offset config.Duration `yaml:"offset,omitempty" validate:"min=0"`
	Factor float64         `yaml:"factor" validate:"gt=0"`
}

// Lengths is a log-normal distribution of lengths in tokens, limited to Max.
type Lengths struct {
	Median float64 `yaml:"median" validate:"gte=1"`
	Sigma  float64 `yaml:"sigma,omitempty" validate:"min=0,max=3"`
	Max    int     `yaml:"max" validate:"min=1,max=100000"`
}

// SharedPrefix describes the prefixes that prompts of a class share: their number and
// their length in tokens.
type SharedPrefix struct {
	Texts  int `yaml:"texts" validate:"min=1"`
	Tokens int `yaml:"tokens" validate:"min=1,max=100000"`
}

// TeamShare is a team with its relative share of the requests of a class.
type TeamShare struct {
	Team  string  `yaml:"team" validate:"required,name"`
	Share float64 `yaml:"share" validate:"gt=0"`
	// Key is the bearer key. Default "demo-key-" followed by the team name.
	Key string `yaml:"key,omitempty"`
}

// Abandon makes a share of the callers close their connection after an exponentially
// distributed time with the mean After.
type Abandon struct {
	Share float64         `yaml:"share" validate:"min=0,max=1"`
	After config.Duration `yaml:"after" validate:"min=1"`
}

// Resend is the retry policy of callers whose request was refused or whose connection broke.
type Resend struct {
	// Attempts is the maximum number of resends after the first attempt.
	Attempts int `yaml:"attempts,omitempty" validate:"min=0,max=100"`
	// Pause is the minimum delay before each resend.
	Pause config.Duration `yaml:"pause,omitempty" validate:"min=0"`
	// IgnoreRetryAfter resends after Pause even if the response asks for a longer delay.
	IgnoreRetryAfter bool `yaml:"ignore_retry_after,omitempty"`
}

// OrderLoad configures how orders are sent.
type OrderLoad struct {
	// Path is the path of the operation, for example /ordres-ligne/runs.
	Path string `yaml:"path" validate:"required,startswith=/"`
	// Attempts is the maximum number of attempts for one order. Default 5.
	Attempts int `yaml:"attempts,omitempty" validate:"min=0,max=100"`
	// Pause is the minimum delay between attempts. Default 200 ms.
	Pause config.Duration `yaml:"pause,omitempty" validate:"min=0"`
	// Timeout limits one attempt of an order, and each request for a ticket. Default 10 s.
	Timeout config.Duration `yaml:"timeout,omitempty" validate:"min=0"`
}

// ParseScenario parses a YAML scenario, rejecting unknown fields, and completes it. The
// error is a single line that names the line and the field.
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

// Complete validates the scenario and sets the defaults.
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
			return &config.FieldError{Field: fmt.Sprintf("classes[%d].order_share", i), Reason: "requires the section orders"}
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

func setDefault[T comparable](field *T, value T) {
	var zero T
	if *field == zero {
		*field = value
	}
}

// CheckAgainst returns an error if the scenario uses a class, model or team that the
// deployment does not declare.
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
		path := fmt.Sprintf("classes[%d]", i)
		if !classes[c.Class] {
			return undeclaredError(path+".class", c.Class)
		}
		if !models[c.Model] {
			return undeclaredError(path+".model", c.Model)
		}
		for j, t := range c.Teams {
			if !teams[t.Team] {
				return undeclaredError(fmt.Sprintf("%s.teams[%d].team", path, j), t.Team)
			}
		}
	}
	return nil
}

func undeclaredError(field, name string) error {
	return &config.FieldError{Field: field, Reason: fmt.Sprintf("%q is not declared in the configuration", name)}
}
