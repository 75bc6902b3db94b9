package experiment

import (
	"encoding/json"
	"fmt"
	"net/http"

	"github.com/pkg/errors"

	"github.com/yuccabridge/yuccabridge/config"
	"github.com/yuccabridge/yuccabridge/internal/emulator"
)

// work holds the counters of the stand-ins by upstream name.
type work struct {
	engines     map[string]emulator.EngineCounters
	services    map[string]emulator.ServiceCounters
	unreachable []string
}

// readWork asks every stand-in for its counters.
func (r *runner) readWork(d *config.Deployment) work {
	w := work{engines: map[string]emulator.EngineCounters{}, services: map[string]emulator.ServiceCounters{}}
	for _, u := range engines(d) {
		var s emulator.Status[emulator.EngineFaults, emulator.EngineCounters]
		if r.get(u.Address+emulator.PathControl, &s) != nil {
			w.unreachable = append(w.unreachable, u.Name)
			continue
		}
		w.engines[u.Name] = s.Counters
	}
	for _, u := range services(d) {
		var s emulator.Status[emulator.ServiceFaults, emulator.ServiceCounters]
		if r.get(u.Address+emulator.PathControl, &s) != nil {
			w.unreachable = append(w.unreachable, u.Name)
			continue
		}
		w.services[u.Name] = s.Counters
	}
	return w
}

func engines(d *config.Deployment) []config.Upstream {
	var list []config.Upstream
	for _, m := range d.Models {
		list = append(list, m.Upstreams...)
	}
	return list
}

func services(d *config.Deployment) []config.Upstream {
	var list []config.Upstream
	for _, s := range d.Services {
		list = append(list, s.Upstreams...)
	}
	return list
}

func (r *runner) get(path string, v any) error {
	res, err := r.http.Get("http://" + path)
	if err != nil {
		return err
	}
	defer res.Body.Close()
	if res.StatusCode != http.StatusOK {
		return errors.Errorf("status %d", res.StatusCode)
	}
	return json.NewDecoder(res.Body).Decode(v)
}

// compareExecutions checks what callers were told against what the stand-ins ran.
func (r *runner) compareExecutions(d *config.Deployment) {
	runs := r.executions(engines(d))
	for _, tag := range r.record.notRun {
		if n := runs.Keys[tag]; n > 0 {
			r.record.violate(Violation{Kind: RanAfterNotRun, Tag: tag, Detail: fmt.Sprintf("started %d times", n)})
		}
	}
	executed := r.executions(services(d))
	for _, o := range r.record.orders {
		r.record.violate(o.compare(executed)...)
	}
}

// compare finds the broken promises of one order.
func (o orderResult) compare(x emulator.Executions) []Violation {
	k := checker{tag: o.order}
	n := x.Orders[o.order]
	if n > 1 {
		k.fail(RepeatedOrder, "ran %d times", n)
	}
	if o.state == orderAnswered && n == 0 {
		k.fail(OrderNotExecuted, "answered with success")
	}
	if o.state == orderNotRun && n > 0 {
		k.fail(RanAfterNotRun, "ran %d times", n)
	}
	for _, ticket := range o.notRun {
		if m := x.Keys[ticket]; m > 0 && o.state != orderNotRun {
			k.fail(RanAfterNotRun, "ticket %s ran %d times", ticket, m)
		}
	}
	return k.found
}

// executions sums the counts of the upstreams that can be reached.
func (r *runner) executions(list []config.Upstream) emulator.Executions {
	sum := emulator.Executions{Keys: map[string]int{}, Orders: map[string]int{}}
	for _, u := range list {
		var x emulator.Executions
		if r.get(u.Address+emulator.PathExecutions, &x) != nil {
			continue // named in the report by readWork
		}
		for k, n := range x.Keys {
			sum.Keys[k] += n
		}
		for k, n := range x.Orders {
			sum.Orders[k] += n
		}
	}
	return sum
}
