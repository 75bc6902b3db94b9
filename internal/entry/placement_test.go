package entry

import (
	"bytes"
	"fmt"
	"net/http"
	"slices"
	"testing"
	"time"

	"github.com/yuccabridge/yuccabridge/config"
	"github.com/yuccabridge/yuccabridge/internal/coordination/placement"
	"github.com/yuccabridge/yuccabridge/internal/emulator"
)

// hasPlacement reports whether the engine has loaded the version and adapters and has no
// load in progress.
func hasPlacement(e *emulator.Engine, version string, adapters ...string) bool {
	p := e.Placement()
	return !p.Loading && p.Version == version && slices.Equal(p.Adapters, adapters)
}

// waitForPlacement is like eventually but waits up to a minute: a settled engine is queried
// only every 5 s, and the engines of a model are changed one after the other.
func waitForPlacement(t *testing.T, description string, condition func() bool) {
	t.Helper()
	for range 5 {
		for range 1000 {
			if condition() {
				return
			}
			time.Sleep(12 * time.Millisecond)
		}
	}
	t.Fatalf("timed out waiting for: %s", description)
}

// sendPlacement sends a command directly to an engine and returns the response status.
func sendPlacement(t *testing.T, e *emulator.Engine, fence int, version string) int {
	t.Helper()
	req, err := http.NewRequest(http.MethodPost, "http://"+e.Addr()+"/placement", bytes.NewBufferString(fmt.Sprintf(`{"version":%q}`, version)))
	if err != nil {
		t.Fatal(err)
	}
	req.Header.Set("X-Fence", fmt.Sprint(fence))
	resp, err := (&http.Client{Transport: &http.Transport{DisableKeepAlives: true}}).Do(req)
	if err != nil {
		t.Fatal(err)
	}
	resp.Body.Close()
	return resp.StatusCode
}

// Tests placement over real sockets. Each engine must reach its target placement with one
// command and keep it when an older command is refused. The placement must be restored
// after an older command that is not refused and after a restart that loses the weights,
// and it must follow a new configuration revision.
func TestEnginesReachTargetPlacement(t *testing.T) {
	var current config.Deployment
	env := newTestEnv(t, 2, func(deployment *config.Deployment) {
		deployment.WeightStore = config.WeightStore{LoadsPerMinute: 6000}
		deployment.Models[0].Version, deployment.Models[0].Adapters = "v1", []string{"fr", "ar"}
		current = *deployment
	})
	for i, e := range env.engines {
		e.SetFaults(emulator.EngineFaults{RestartEmpty: true, IgnoreFence: i == 1})
	}
	allEnginesHave := func(version string) func() bool {
		return func() bool {
			return !slices.ContainsFunc(env.engines, func(e *emulator.Engine) bool { return !hasPlacement(e, version, "ar", "fr") })
		}
	}
	waitForPlacement(t, "v1 on all engines", allEnginesHave("v1"))
	for i, e := range env.engines {
		if c := e.Counters(); c.PlacementCommands != 1 || c.WeightLoads != 3 {
			t.Errorf("engine %d executed %d commands and %d loads, want 1 and 3", i, c.PlacementCommands, c.WeightLoads)
		}
	}
	if status := sendPlacement(t, env.engines[0], 0, "v0"); status != http.StatusConflict || !hasPlacement(env.engines[0], "v1", "ar", "fr") {
		t.Errorf("older command: status %d, placement %+v", status, env.engines[0].Placement())
	}
	if status := sendPlacement(t, env.engines[1], 0, "v0"); status != http.StatusAccepted {
		t.Errorf("older command to an engine that ignores the fence: status %d", status)
	}
	env.engines[0].Crash()
	if err := env.engines[0].Restart(); err != nil {
		t.Fatal(err)
	}
	waitForPlacement(t, "v1 on all engines again", allEnginesHave("v1"))
	if n := env.engines[0].Counters().WeightLoads; n != 6 {
		t.Errorf("the restarted engine loaded %d weight sets, want 3 twice", n)
	}

	current.Models = slices.Clone(current.Models)
	current.Models[0].Version = "v2"
	env.instance.applyDeployment(2, &current)
	waitForPlacement(t, "v2 on all engines", allEnginesHave("v2"))
	waitForPlacement(t, "a state dump with all engines settled", func() bool {
		s := env.instance.State().Placement
		return len(s) == 2 && !slices.ContainsFunc(s, func(state placement.EngineState) bool { return state.Status != placement.Settled || state.Fence != 2 })
	})
}
