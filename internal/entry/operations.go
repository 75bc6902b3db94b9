package entry

import (
	"encoding/json"

	"github.com/prometheus/client_golang/prometheus/promhttp"
	"github.com/valyala/fasthttp"
	"github.com/valyala/fasthttp/fasthttpadaptor"

	"github.com/yuccabridge/yuccabridge/internal/coordination/balancer"
	"github.com/yuccabridge/yuccabridge/internal/coordination/configsync"
	"github.com/yuccabridge/yuccabridge/internal/coordination/placement"
	"github.com/yuccabridge/yuccabridge/internal/coordination/scheduler"
)

// State is the state of an instance, served at /state and read by "yuccabridge status".
type State struct {
	Instance      string             `json:"instance"`
	FailureDomain string             `json:"failure_domain"`
	Ready         bool               `json:"ready"`
	Draining      bool               `json:"draining"`
	Revision      uint64             `json:"revision"`
	InProgress    int                `json:"in_progress"`
	Members       []MemberState      `json:"members,omitempty"`
	Configuration *configsync.Status `json:"configuration,omitempty"`
	Pools         []PoolState        `json:"pools"`
	// Placement lists the engines of which this instance is the controller.
	Placement []placement.EngineState `json:"placement,omitempty"`
}

// MemberState is the state of another instance as seen by this one.
type MemberState struct {
	Name          string `json:"name"`
	FailureDomain string `json:"failure_domain"`
	State         string `json:"state"`
	Revision      uint64 `json:"revision"`
}

// PoolState is the state of one model or service.
type PoolState struct {
	Name      string                   `json:"name"`
	Pressure  scheduler.Pressure       `json:"pressure"`
	Upstreams []balancer.UpstreamState `json:"upstreams"`
}

// newOperationsServer returns the HTTP server for metrics, health checks and state.
func (in *Instance) newOperationsServer() *fasthttp.Server {
	metrics := fasthttpadaptor.NewFastHTTPHandler(promhttp.HandlerFor(in.metrics.registry, promhttp.HandlerOpts{}))
	return &fasthttp.Server{
		Name:            "yuccabridge-operations",
		CloseOnShutdown: true,
		Logger:          debugLogger{in},
		Handler: func(ctx *fasthttp.RequestCtx) {
			switch string(ctx.Path()) {
			case "/metrics":
				metrics(ctx)
			case "/healthz":
				ctx.SetBodyString("ok\n")
			case "/readyz":
				in.handleReady(ctx)
			case "/state":
				in.handleState(ctx)
			default:
				ctx.Error("not found", fasthttp.StatusNotFound)
			}
		},
	}
}

// ready reports whether the instance should receive requests.
func (in *Instance) ready() bool {
	return in.life.Ready() && (in.config == nil || in.config.machine.Ready())
}

func (in *Instance) handleReady(ctx *fasthttp.RequestCtx) {
	if !in.ready() {
		ctx.Error("not ready", fasthttp.StatusServiceUnavailable)
		return
	}
	ctx.SetBodyString("ready\n")
}

// State returns the current state of the instance.
func (in *Instance) State() State {
	s := State{
		Instance:      in.settings.Instance,
		FailureDomain: in.settings.FailureDomain,
		Ready:         in.ready(),
		Draining:      in.life.Stops(),
		InProgress:    in.watcher.InProgress(),
	}
	if r := in.routes.Load(); r != nil {
		s.Revision = r.revision
	}
	if in.peers != nil {
		for _, m := range in.peers.liveMembers() {
			s.Members = append(s.Members, MemberState{Name: m.Name, FailureDomain: m.Domain, State: m.State.String(), Revision: m.Revision})
		}
	}
	if in.config != nil {
		status := in.config.machine.Status()
		s.Configuration = &status
	}
	now := in.now()
	s.Placement = in.placement.machine.Snapshot(now)
	for _, p := range in.sortedPools() {
		s.Pools = append(s.Pools, PoolState{Name: p.name, Pressure: p.queue.Pressure(now), Upstreams: p.balancer.Snapshot(now)})
	}
	return s
}

func (in *Instance) handleState(ctx *fasthttp.RequestCtx) {
	text, err := json.Marshal(in.State())
	if err != nil {
		ctx.Error(err.Error(), fasthttp.StatusInternalServerError)
		return
	}
	ctx.SetContentType("application/json")
	ctx.SetBody(text)
}
