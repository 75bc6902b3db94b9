package entry

import (
	"testing"
	"time"

	"github.com/yuccabridge/yuccabridge/config"
)

// A new configuration must reach the pools that exist, not only new ones: a retry ratio
// that was set to the smallest value left the former budget in force.
func TestReconfigureReachesExistingPools(t *testing.T) {
	b := newBench(t, 1, nil)
	p := b.in.routes.Load().models["llm"]
	class := b.in.routes.Load().classes["interactive"]
	before := p.budget(class)
	d := *b.in.routes.Load().deployment
	b.in.apply(2, &d)
	if p.budget(class) != before {
		t.Error("an unchanged class lost its budget")
	}
	d.Classes = append([]config.Class(nil), d.Classes...)
	d.Classes[0].RetryRatio = 0.01
	d.Classes[0].TokenIntervalTarget = config.Duration(40 * time.Millisecond)
	b.in.apply(3, &d)
	if b.in.routes.Load().models["llm"] != p {
		t.Fatal("the pool lost its state")
	}
	if p.budget(class) == before {
		t.Error("the class keeps the budget of its former ratio")
	}
	if got := p.bal.(interface{ TokenIntervalTarget() time.Duration }).TokenIntervalTarget(); got != 40*time.Millisecond {
		t.Errorf("the balancer keeps the target %s", got)
	}
	d.Classes = d.Classes[1:]
	d.Models = append([]config.Model(nil), d.Models...)
	d.Models[0].Class, d.Services[0].Class = "bulk", "bulk"
	b.in.apply(4, &d)
	r := request{class: class, pool: p}
	if r.mayRetry() {
		t.Error("a request of a class that is gone may retry without a budget")
	}
}
