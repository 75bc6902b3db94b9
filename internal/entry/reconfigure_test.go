package entry

import (
	"testing"
	"time"

	"github.com/yuccabridge/yuccabridge/config"
)

// A new configuration must be applied to existing pools, not only to new ones. An existing
// pool used to keep its old retry budget after the ratio was set to the smallest value.
func TestReconfigureReachesExistingPools(t *testing.T) {
	env := newTestEnv(t, 1, nil)
	p := env.instance.routes.Load().models["llm"]
	class := env.instance.routes.Load().classes["interactive"]
	oldBudget := p.retryBudget(class)
	d := *env.instance.routes.Load().deployment
	env.instance.applyDeployment(2, &d)
	if p.retryBudget(class) != oldBudget {
		t.Error("an unchanged class lost its budget")
	}
	d.Classes = append([]config.Class(nil), d.Classes...)
	d.Classes[0].RetryRatio = 0.01
	d.Classes[0].TokenIntervalTarget = config.Duration(40 * time.Millisecond)
	env.instance.applyDeployment(3, &d)
	if env.instance.routes.Load().models["llm"] != p {
		t.Fatal("the pool lost its state")
	}
	if p.retryBudget(class) == oldBudget {
		t.Error("the class keeps the budget of its old ratio")
	}
	if got := p.balancer.(interface{ TokenIntervalTarget() time.Duration }).TokenIntervalTarget(); got != 40*time.Millisecond {
		t.Errorf("the balancer still has the target %s", got)
	}
	d.Classes = d.Classes[1:]
	d.Models = append([]config.Model(nil), d.Models...)
	d.Models[0].Class, d.Services[0].Class = "bulk", "bulk"
	env.instance.applyDeployment(4, &d)
	removedClassRequest := request{class: class, pool: p}
	if removedClassRequest.takeRetry() {
		t.Error("a request of a removed class may retry without a budget")
	}
}
