package entry

import (
	"context"
	"encoding/json"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/sirupsen/logrus"
	"github.com/valyala/fasthttp"

	"github.com/yuccabridge/yuccabridge/config"
	"github.com/yuccabridge/yuccabridge/internal/coordination/placement"
	"github.com/yuccabridge/yuccabridge/internal/transport/upstream"
)

const (
	// placementTickInterval is the tick interval of the placement state machine, which queries
	// each engine at most once per placement.QueryInterval.
	placementTickInterval = 500 * time.Millisecond
	// placementQueryTimeout and placementCommandTimeout bound the wait for a response.
	placementQueryTimeout   = time.Second
	placementCommandTimeout = 5 * time.Second
	// maxPlacementReportBytes bounds the body of a placement report.
	maxPlacementReportBytes = 64 << 10
)

// placementDriver runs the placement state machine, which queries and commands the engines
// of which this instance is the controller.
type placementDriver struct {
	instance *Instance
	self     placement.Member
	machine  *placement.Machine

	mu              sync.Mutex
	plan            placement.Plan
	addressByEngine map[string]string // by engine name
	members         []placement.Member
}

// placementBody is the body of a command and is embedded in a report.
type placementBody struct {
	Version  string         `json:"version"`
	Adapters []string       `json:"adapters"`
	Role     placement.Role `json:"role"`
}

type placementReport struct {
	placementBody
	Loading     bool   `json:"loading"`
	Fence       uint64 `json:"fence"`
	Incarnation string `json:"incarnation"`
}

func newPlacementDriver(in *Instance) *placementDriver {
	d := &placementDriver{instance: in, self: placement.Member{ID: in.selfProcess(), Domain: in.settings.FailureDomain}}
	d.machine = placement.New(d.self, in.newRand("placement"))
	return d
}

// placementPlan returns the placement plan of a configuration revision and the addresses
// of the engines in it.
func placementPlan(revision uint64, d *config.Deployment) (placement.Plan, map[string]string) {
	limits := d.WeightLimits()
	p := placement.Plan{Revision: revision, LoadsPerMinute: limits.LoadsPerMinute, ConcurrentLoads: limits.ConcurrentLoads}
	addresses := map[string]string{}
	for i := range d.Models {
		m := &d.Models[i]
		if !m.Managed() {
			continue
		}
		for _, u := range m.Upstreams {
			role := placement.Mixed
			if u.Role != "" {
				role = placement.Role(u.Role)
			}
			p.Engines = append(p.Engines, placement.Engine{Name: u.Name, Model: m.Name, Domain: u.FailureDomain,
				Wanted: placement.Placement{Version: m.Version, Adapters: slices.Sorted(slices.Values(m.Adapters)), Role: role}})
			addresses[u.Name] = u.Address
		}
	}
	return p, addresses
}

// tick passes changes of the plan and of the members to the state machine and starts the
// queries that are due.
func (d *placementDriver) tick(ctx context.Context) {
	now := d.instance.now()
	d.mu.Lock()
	if r := d.instance.routes.Load(); r != nil && r.revision > d.plan.Revision {
		d.plan, d.addressByEngine = placementPlan(r.revision, r.deployment)
	}
	plan := d.plan
	members := d.controllerCandidates()
	changed := !slices.Equal(members, d.members)
	d.members = members
	d.mu.Unlock()
	d.executeActions(ctx, d.machine.SetPlan(now, plan))
	if changed {
		d.executeActions(ctx, d.machine.SetMembers(now, members))
	}
	d.executeActions(ctx, d.machine.Tick(now, d.instance.membershipFresh(now)))
}

// controllerCandidates returns the instances that may be controllers. An instance that
// leaves is not a candidate.
func (d *placementDriver) controllerCandidates() []placement.Member {
	var list []placement.Member
	if !d.instance.life.Stops() {
		list = append(list, d.self)
	}
	if d.instance.peers == nil {
		return list
	}
	for _, m := range d.instance.peers.liveMembers() {
		list = append(list, placement.Member{ID: m.Incarnation.Process, Domain: m.Domain})
	}
	return list
}

// executeActions executes the actions of the state machine. Network calls run in their own
// goroutines.
func (d *placementDriver) executeActions(ctx context.Context, actions []placement.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case placement.Query:
			go d.query(ctx, a)
		case placement.Command:
			go d.sendCommand(ctx, a, d.instance.now())
		case placement.StatusChange:
			d.instance.log.WithFields(logrus.Fields{"event": "placement_changed", "upstream": a.Engine,
				"status": a.Status.String(), "previous": a.Previous.String()}).Debug("placement changed")
		}
	}
}

func (d *placementDriver) query(ctx context.Context, q placement.Query) {
	r, ok := d.fetchReport(ctx, q.Engine)
	now := d.instance.now()
	if !ok {
		d.executeActions(ctx, d.machine.HandleQueryFailure(now, q.ID))
		return
	}
	d.executeActions(ctx, d.machine.HandleReport(now, q.ID, r, d.instance.membershipFresh(now)))
}

// fetchReport queries the placement of an engine.
func (d *placementDriver) fetchReport(ctx context.Context, engine string) (placement.Report, bool) {
	status, body, err := d.roundTrip(ctx, engine, &fasthttp.Request{}, placementQueryTimeout, nil)
	var r placementReport
	if err != nil || status != fasthttp.StatusOK || json.Unmarshal(body, &r) != nil {
		return placement.Report{}, false
	}
	return placement.Report{
		Placement: placement.Placement{Version: r.Version, Adapters: r.Adapters, Role: r.Role},
		Loading:   r.Loading, Fence: r.Fence, Incarnation: r.Incarnation,
	}, true
}

// sendCommand sends a command to an engine, unless the process was paused between the
// decision and the first byte.
func (d *placementDriver) sendCommand(ctx context.Context, c placement.Command, decidedAt time.Duration) {
	req := &fasthttp.Request{}
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.Header.Set("X-Fence", strconv.FormatUint(c.Revision, 10))
	body, err := json.Marshal(placementBody{Version: c.Target.Version, Adapters: append([]string{}, c.Target.Adapters...), Role: c.Target.Role})
	if err != nil {
		panic(err) // encoding this struct cannot fail
	}
	req.SetBody(body)
	status, _, err := d.roundTrip(ctx, c.Engine, req, placementCommandTimeout, func() bool {
		now := d.instance.now()
		return now-decidedAt <= placement.MaxReportAge && d.instance.membershipFresh(now)
	})
	outcome := placement.Failed
	switch {
	case err != nil:
	case status == fasthttp.StatusConflict:
		outcome = placement.Refused
	case status/100 == 2:
		outcome = placement.Accepted
	}
	d.instance.metrics.placementCommands.WithLabelValues(outcome.String()).Inc()
	d.instance.log.WithFields(logrus.Fields{"event": "placement_command", "upstream": c.Engine, "revision": c.Revision, "model_version": c.Target.Version,
		"adapters": len(c.Target.Adapters), "role": string(c.Target.Role), "loads": c.Loads, "outcome": outcome.String()}).Info("placement command")
	d.executeActions(ctx, d.machine.HandleOutcome(d.instance.now(), c.ID, outcome))
}

// roundTrip sends a request to an engine's placement endpoint over a new connection.
func (d *placementDriver) roundTrip(ctx context.Context, engine string, req *fasthttp.Request, timeout time.Duration, beforeSend func() bool) (int, []byte, error) {
	d.mu.Lock()
	address := d.addressByEngine[engine]
	d.mu.Unlock()
	req.SetRequestURI("http://" + address + "/placement")
	client := upstream.New(address, upstream.Options{DialTimeout: timeout})
	defer client.Close()
	response, err := client.Do(ctx, upstream.Call{Request: req, FreshConnection: true, HeaderTimeout: timeout, BeforeSend: beforeSend})
	if err != nil {
		return 0, nil, err
	}
	a := attempt{response: response}
	body, err := a.readBody(maxPlacementReportBytes, timeout)
	response.Release(err == nil)
	return response.Response.StatusCode(), body, err
}
