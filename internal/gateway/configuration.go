package gateway

import (
	"slices"
	"strings"
	"time"

	"github.com/cespare/xxhash/v2"
)

// RouteKind determines whether a request may run more than once.
type RouteKind int

const (
	// NonIdempotent requests run at most once.
	NonIdempotent RouteKind = iota
	// Idempotent requests may run more than once.
	Idempotent
	// Streaming requests are answered with an event stream; they run at most once unless
	// the route is resumable.
	Streaming
)

// String returns the name used in logs and metrics.
func (k RouteKind) String() string {
	return [...]string{"non_idempotent", "idempotent", "streaming"}[k]
}

// Route maps the requests for a host and path prefix to services.
type Route struct {
	Name       string
	Host       string
	PathPrefix string // begins and ends with a slash
	Kind       RouteKind
	// Timeout is the time limit of a request; 0 means none.
	Timeout time.Duration
	// LatencyTarget is the target for the time to the response or, for streams, to the
	// first event.
	LatencyTarget time.Duration
	// InterTokenTarget is the longest pause between events of a stream that is on time.
	InterTokenTarget time.Duration
	// FirstOutputLimit is how long callers wait for the first event of a stream before they
	// disconnect; 0 if only the timeout applies.
	FirstOutputLimit time.Duration
	// Priority is the priority of requests; 0 is the most urgent. It orders the requests of
	// teams with equal priorities.
	Priority int
	// WeightedServices are the services of the route with their weights.
	WeightedServices []WeightedService
	// MaxAttempts is the maximum number of attempts for a request.
	MaxAttempts int
	// Public routes accept requests without an API key.
	Public bool
	// Resumable streams may be continued at another upstream.
	Resumable bool
}

// WeightedService is a service of a route with its weight.
type WeightedService struct {
	Service string
	Weight  int
}

// Retryable reports whether a request may run more than once.
func (r *Route) Retryable() bool {
	return r.Kind == Idempotent || r.Kind == Streaming && r.Resumable
}

// selectService chooses a service by a hash of the request ID, in proportion to the
// weights, so all instances choose the same service for a request.
func (r *Route) selectService(id string) string {
	if len(r.WeightedServices) == 1 {
		return r.WeightedServices[0].Service
	}
	total := 0
	for _, s := range r.WeightedServices {
		total += s.Weight
	}
	if total == 0 {
		return ""
	}
	remaining := int(xxhash.Sum64String(id) % uint64(total))
	for _, s := range r.WeightedServices {
		if remaining -= s.Weight; remaining < 0 {
			return s.Service
		}
	}
	return ""
}

// hasService reports whether requests of the route may run at the service.
func (r *Route) hasService(name string) bool {
	return slices.ContainsFunc(r.WeightedServices, func(s WeightedService) bool { return s.Service == name })
}

// Service is a group of interchangeable upstreams.
type Service struct {
	Name string
	// KVCapacityTokens is the capacity of an upstream's KV cache in tokens; 0 for services
	// that do not process prompts.
	KVCapacityTokens int
	// ColdRate is the number of requests per second that an upstream takes from all instances together while it is
	// cold; 0 means no bound. ColdTime is how long it stays cold after a start.
	ColdRate float64
	ColdTime time.Duration
}

// Team is a customer with its API keys.
type Team struct {
	Name    string
	APIKeys []string
	// Priority precedes the priority of the route unless it is nil.
	Priority *int
}

// Limits bound the requests and connections of callers. Zero means that the configuration
// sets no bound; the built-in ones of the caller server still apply.
type Limits struct {
	MaxBodyBytes  int
	HeaderTimeout time.Duration
	IdleTimeout   time.Duration
}

// bodyBytes returns the bound of a request body.
func (l Limits) bodyBytes() int {
	if l.MaxBodyBytes > 0 {
		return min(l.MaxBodyBytes, defaultMaxBodyBytes)
	}
	return defaultMaxBodyBytes
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
	// Incarnation changes when the upstream starts again under its ID; it may be empty.
	Incarnation string
	// Version is the version of the upstream's software. Versions have no order.
	Version string
	Slots   int
	Leaving bool
	// ColdFor is how much longer the upstream stays cold, as of the publication of its entry.
	ColdFor time.Duration
}

// routingTable is an immutable configuration indexed for request lookups.
type routingTable struct {
	version      uint64
	routesByHost map[string][]*Route
	teamsByKey   map[string]*Team
	services     map[string]Service
	limits       Limits
	ranks        rankTable
	requiresKey  bool // set if the configuration has teams
}

func newRoutingTable(c *Configuration) *routingTable {
	t := &routingTable{
		version: c.Version, routesByHost: map[string][]*Route{}, teamsByKey: map[string]*Team{},
		services: map[string]Service{}, limits: c.Limits, ranks: newRankTable(c), requiresKey: len(c.Teams) > 0,
	}
	for i := range c.Routes {
		r := &c.Routes[i]
		host := strings.ToLower(r.Host)
		t.routesByHost[host] = append(t.routesByHost[host], r)
	}
	for i := range c.Teams {
		for _, key := range c.Teams[i].APIKeys {
			t.teamsByKey[key] = &c.Teams[i]
		}
	}
	for _, s := range c.Services {
		t.services[s.Name] = s
	}
	return t
}

// findRoute returns the route of the host with the longest matching path prefix, or nil.
func (t *routingTable) findRoute(host, path string) *Route {
	var best *Route
	for _, r := range t.routesByHost[strings.ToLower(host)] {
		if strings.HasPrefix(path, r.PathPrefix) && (best == nil || len(r.PathPrefix) > len(best.PathPrefix)) {
			best = r
		}
	}
	return best
}
