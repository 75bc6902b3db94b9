package gateway

import (
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// Kind says what may be repeated.
type Kind int

const (
	// NonIdempotent requests run at most once.
	NonIdempotent Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests are answered with events; they run at most once unless the
	// route is resumable.
	Streaming
)

// String returns the name that is used in logs and metrics.
func (k Kind) String() string {
	return [...]string{"non_idempotent", "idempotent", "streaming"}[k]
}

// Route sends the requests of one host and path prefix to services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string // begins and ends with a slash
	Kind       Kind
	// Timeout is how long a request is kept waiting at most; 0: no bound.
	Timeout time.Duration
	// Target is the time within which an answer, or its first event, is on time.
	Target time.Duration
	// InterTokenTarget is the longest pause between events that is on time.
	InterTokenTarget time.Duration
	// Priority is the rank; 0 is the most urgent.
	Priority int
	// Shares are the services with their weights.
	Shares []Share
	// MaxAttempts is the number of upstreams that a request may be sent to.
	MaxAttempts int
	// Public routes need no key.
	Public bool
	// Resumable streams may go on at another upstream.
	Resumable bool
}

// Share is the weight of a service in a route.
type Share struct {
	Service string
	Weight  int
}

// Repeatable reports whether a request may run again.
func (r *Route) Repeatable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// service chooses the service of a request by the weights. The same id gives the same
// service at all instances.
func (r *Route) service(id string) string {
	if len(r.Shares) == 1 {
		return r.Shares[0].Service
	}
	total := 0
	for _, s := range r.Shares {
		total += s.Weight
	}
	if total == 0 {
		return ""
	}
	at := int(xxhash.Sum64String(id) % uint64(total))
	for _, s := range r.Shares {
		if at -= s.Weight; at < 0 {
			return s.Service
		}
	}
	return ""
}

// Service is a group of upstreams.
type Service struct {
	Name string
	// Memory is the number of tokens that an upstream keeps; 0 for services without
	// prompts.
	Memory int
}

// Team is a customer with its keys.
type Team struct {
	Name string
	Keys []string
	// Priority takes precedence over the route's; nil: none.
	Priority *int
}

// Limits bound what a caller may send. Zero: no bound.
type Limits struct {
	MaxBodyBytes  int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// Configuration is one version of the published configuration.
type Configuration struct {
	Version  uint64
	Routes   []Route
	Services []Service
	Teams    []Team
	Limits   Limits
}

// Upstream is a published upstream.
type Upstream struct {
	ID, Service, Address, FailureDomain string
	Slots                               int
	Leaving                             bool
}

// table is a configuration in the form that requests look up. It is immutable.
type table struct {
	version  uint64
	hosts    map[string][]*Route
	teams    map[string]*Team // by key
	services map[string]Service
	limits   Limits
	keyed    bool // the configuration has teams
}

func newTable(c *Configuration) *table {
	t := &table{
		version: c.Version, hosts: map[string][]*Route{}, teams: map[string]*Team{},
		services: map[string]Service{}, limits: c.Limits, keyed: len(c.Teams) > 0,
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.hosts[host] = append(t.hosts[host], r)
	}
	for i := range c.Teams {
		for _, key := range c.Teams[i].Keys {
			t.teams[key] = &c.Teams[i]
		}
	}
	for _, s := range c.Services {
		t.services[s.Name] = s
	}
	return t
}

// route finds the route with the longest prefix that begins the path.
func (t *table) route(host, path string) *Route {
	var best *Route
	for _, r := range t.hosts[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) && (best == nil || len(r.PathPrefix) > len(best.PathPrefix)) {
			best = r
		}
	}
	return best
}
