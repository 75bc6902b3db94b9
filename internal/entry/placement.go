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
	// placementTick is how often the placement machine is advanced. It asks each engine
	// once in placement.QueryInterval at most.
	placementTick = 500 * time.Millisecond
	// placementQueryTimeout and placementCommandTimeout bound the wait for an answer.
	placementQueryTimeout   = time.Second
	placementCommandTimeout = 5 * time.Second
	// maxPlacementBytes bounds a placement report.
	maxPlacementBytes = 64 << 10
)

// placementDriver gives control commands to the engines of the own failure domain.
type placementDriver struct {
	in      *Instance
	self    placement.Member
	machine *placement.Machine

	mu        sync.Mutex
	plan      placement.Plan
	addresses map[string]string // by engine
	members   []placement.Member
}

// placementBody is the body of a command and a part of a report.
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

func newPlacement(in *Instance) *placementDriver {
	d := &placementDriver{in: in, self: placement.Member{ID: in.selfProcess(), Domain: in.settings.FailureDomain}}
	d.machine = placement.New(d.self, in.random("placement"))
	return d
}

// placementPlan derives the plan of a revision and the engines' addresses.
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

// tick passes on what has changed and asks for the reports that are due.
func (d *placementDriver) tick(ctx context.Context) {
	now := d.in.now()
	d.mu.Lock()
	if r := d.in.routes.Load(); r != nil && r.revision > d.plan.Revision {
		d.plan, d.addresses = placementPlan(r.revision, r.deployment)
	}
	plan := d.plan
	members := d.live()
	changed := !slices.Equal(members, d.members)
	d.members = members
	d.mu.Unlock()
	d.carryOut(ctx, d.machine.SetPlan(now, plan))
	if changed {
		d.carryOut(ctx, d.machine.SetMembers(now, members))
	}
	d.carryOut(ctx, d.machine.Tick(now, d.in.fresh(now)))
}

// live returns the instances that may give commands. One that leaves gives none.
func (d *placementDriver) live() []placement.Member {
	var list []placement.Member
	if !d.in.draining.Load() {
		list = append(list, d.self)
	}
	if d.in.peers == nil {
		return list
	}
	for _, m := range d.in.peers.all() {
		list = append(list, placement.Member{ID: m.Incarnation.Process, Domain: m.Domain})
	}
	return list
}

// carryOut executes what the machine decides. Exchanges run in the background.
func (d *placementDriver) carryOut(ctx context.Context, actions []placement.Action) {
	for _, a := range actions {
		switch a := a.(type) {
		case placement.Query:
			go d.query(ctx, a)
		case placement.Command:
			go d.command(ctx, a, d.in.now())
		case placement.StatusChange:
			d.in.log.WithFields(logrus.Fields{"event": "placement_changed", "upstream": a.Engine,
				"status": a.Status.String(), "previous": a.Previous.String()}).Debug("placement changed")
		}
	}
}

func (d *placementDriver) query(ctx context.Context, q placement.Query) {
	r, ok := d.report(ctx, q.Engine)
	now := d.in.now()
	if !ok {
		d.carryOut(ctx, d.machine.HandleQueryFailure(now, q.ID))
		return
	}
	d.carryOut(ctx, d.machine.HandleReport(now, q.ID, r, d.in.fresh(now)))
}

// report asks an engine for its placement.
func (d *placementDriver) report(ctx context.Context, engine string) (placement.Report, bool) {
	status, body, err := d.exchange(ctx, engine, &fasthttp.Request{}, placementQueryTimeout, nil)
	var r placementReport
	if err != nil || status != fasthttp.StatusOK || json.Unmarshal(body, &r) != nil {
		return placement.Report{}, false
	}
	return placement.Report{
		Placement: placement.Placement{Version: r.Version, Adapters: r.Adapters, Role: r.Role},
		Loading:   r.Loading, Fence: r.Fence, Incarnation: r.Incarnation,
	}, true
}

// command sends a command, unless the instance was paused between the decision and the
// first byte.
func (d *placementDriver) command(ctx context.Context, c placement.Command, decided time.Duration) {
	req := &fasthttp.Request{}
	req.Header.SetMethod(fasthttp.MethodPost)
	req.Header.SetContentType("application/json")
	req.Header.Set("X-Fence", strconv.FormatUint(c.Revision, 10))
	body, err := json.Marshal(placementBody{Version: c.Target.Version, Adapters: append([]string{}, c.Target.Adapters...), Role: c.Target.Role})
	if err != nil {
		panic(err) // the type holds nothing that cannot be encoded
	}
	req.SetBody(body)
	status, _, err := d.exchange(ctx, c.Engine, req, placementCommandTimeout, func() bool {
		now := d.in.now()
		return now-decided <= placement.MaxReportAge && d.in.fresh(now)
	})
	outcome := placement.Failed
	switch {
	case err != nil:
	case status == fasthttp.StatusConflict:
		outcome = placement.Refused
	case status/100 == 2:
		outcome = placement.Accepted
	}
	d.in.metrics.placements.WithLabelValues(outcome.String()).Inc()
	d.in.log.WithFields(logrus.Fields{"event": "placement_command", "upstream": c.Engine, "revision": c.Revision, "model_version": c.Target.Version,
		"adapters": len(c.Target.Adapters), "role": string(c.Target.Role), "loads": c.Loads, "outcome": outcome.String()}).Info("placement command")
	d.carryOut(ctx, d.machine.HandleOutcome(d.in.now(), c.ID, outcome))
}

// exchange sends a request to an engine's placement endpoint on a fresh connection.
func (d *placementDriver) exchange(ctx context.Context, engine string, req *fasthttp.Request, wait time.Duration, beforeSend func() bool) (int, []byte, error) {
	d.mu.Lock()
	address := d.addresses[engine]
	d.mu.Unlock()
	req.SetRequestURI("http://" + address + "/placement")
	client := upstream.New(address, upstream.Options{DialTimeout: wait})
	defer client.Close()
	answer, err := client.Do(ctx, upstream.Call{Request: req, FreshConnection: true, HeaderTimeout: wait, BeforeSend: beforeSend})
	if err != nil {
		return 0, nil, err
	}
	a := attempt{answer: answer}
	body, err := a.readAll(maxPlacementBytes, wait)
	answer.Release(err == nil)
	return answer.Response.StatusCode(), body, err
}
