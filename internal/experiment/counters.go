package experiment

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/pkg/errors"

	"github.com/yuccabridge/yuccabridge/config"
	"github.com/yuccabridge/yuccabridge/internal/emulator"
)

// upstreamCounters holds the counters of the stand-ins, by upstream name.
type upstreamCounters struct {
	engines     map[string]emulator.EngineCounters
	services    map[string]emulator.ServiceCounters
	unreachable []string
}

// readCounters reads the counters of every stand-in of the deployment.
func (r *runner) readCounters(d *config.Deployment) upstreamCounters {
	counters := upstreamCounters{engines: map[string]emulator.EngineCounters{}, services: map[string]emulator.ServiceCounters{}}
	for _, u := range engineUpstreams(d) {
		var s emulator.Status[emulator.EngineFaults, emulator.EngineCounters]
		if r.getJSON(u.Address+emulator.PathControl, &s) != nil {
			counters.unreachable = append(counters.unreachable, u.Name)
			continue
		}
		counters.engines[u.Name] = s.Counters
	}
	for _, u := range serviceUpstreams(d) {
		var s emulator.Status[emulator.ServiceFaults, emulator.ServiceCounters]
		if r.getJSON(u.Address+emulator.PathControl, &s) != nil {
			counters.unreachable = append(counters.unreachable, u.Name)
			continue
		}
		counters.services[u.Name] = s.Counters
	}
	return counters
}

func engineUpstreams(d *config.Deployment) []config.Upstream {
	var upstreams []config.Upstream
	for _, m := range d.Models {
		upstreams = append(upstreams, m.Upstreams...)
	}
	return upstreams
}

func serviceUpstreams(d *config.Deployment) []config.Upstream {
	var upstreams []config.Upstream
	for _, s := range d.Services {
		upstreams = append(upstreams, s.Upstreams...)
	}
	return upstreams
}

func (r *runner) getJSON(endpoint string, v any) error {
	res, err := r.http.Get("http://" + endpoint)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("unexpected HTTP status %d", res.StatusCode)
	}
	return json.NewDecoder(res.Body).Decode(v)
}

// compareExecutions compares the results reported to callers with the executions that
// the stand-ins counted.
func (r *runner) compareExecutions(d *config.Deployment) {
	engineExecutions := r.sumExecutions(engineUpstreams(d))
	for _, tag := range r.recorder.notRunTags {
		if n := engineExecutions.Keys[tag]; n > 0 {
			r.recorder.addViolations(Violation{Kind: RanAfterNotRun, Tag: tag, Detail: fmt.Sprintf("started %d times", n)})
		}
	}
	serviceExecutions := r.sumExecutions(serviceUpstreams(d))
	for _, o := range r.recorder.orders {
		r.recorder.addViolations(o.checkExecutions(serviceExecutions)...)
	}
}

// checkExecutions returns the guarantees that were violated for one order.
func (o orderResult) checkExecutions(executions emulator.Executions) []Violation {
	checker := responseChecker{tag: o.orderID}
	runs := executions.Orders[o.orderID]
	if runs > 1 {
		checker.addViolation(RepeatedOrder, "ran %d times", runs)
	}
	if o.state == orderAnswered && runs == 0 {
		checker.addViolation(OrderNotExecuted, "answered with success")
	}
	if o.state == orderNotRun && runs > 0 {
		checker.addViolation(RanAfterNotRun, "ran %d times", runs)
	}
	// An order whose final state is orderNotRun is covered by the check above, as its
	// executions are counted under all tickets.
	for _, ticket := range o.notRunTickets {
		if ticketRuns := executions.Keys[ticket]; ticketRuns > 0 && o.state != orderNotRun {
			checker.addViolation(RanAfterNotRun, "ticket %s ran %d times", ticket, ticketRuns)
		}
	}
	return checker.violations
}

// sumExecutions sums the execution counts of the reachable upstreams.
func (r *runner) sumExecutions(upstreams []config.Upstream) emulator.Executions {
	total := emulator.Executions{Keys: map[string]int{}, Orders: map[string]int{}}
	for _, u := range upstreams {
		var executions emulator.Executions
		if r.getJSON(u.Address+emulator.PathExecutions, &executions) != nil {
			continue // readCounters lists it in the report
		}
		for key, n := range executions.Keys {
			total.Keys[key] += n
		}
		for key, n := range executions.Orders {
			total.Orders[key] += n
		}
	}
	return total
}
