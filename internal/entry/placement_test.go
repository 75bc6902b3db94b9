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

// holds reports whether the engine holds a version with its adapters and loads nothing.
func holds(e *emulator.Engine, version string, adapters ...string) bool {
	p := e.Placement()
	return !p.Loading && p.Version == version && slices.Equal(p.Adapters, adapters)
}

// placed waits like eventually, but up to a minute: a settled engine is asked only every
// 5 s, and engines of a model change one after the other.
func placed(t *testing.T, what string, ok func() bool) {
	t.Helper()
	for range 5 {
		for range 1000 {
			if ok() {
				return
			}
			time.Sleep(12 * time.Millisecond)
		}
	}
	t.Fatalf("%s did not happen", what)
}

// sendPlacement gives an engine a command past the instance and returns the status.
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

// Guards the way over real sockets: engines take the wanted placement with one command
// each, keep it against an older command that is refused, get it back after one that is
// not refused and after an empty restart, and follow a new revision.
func TestEnginesTakeTheirPlacement(t *testing.T) {
	var d config.Deployment
	b := newBench(t, 2, func(x *config.Deployment) {
		x.WeightStore = config.WeightStore{LoadsPerMinute: 6000}
		x.Models[0].Version, x.Models[0].Adapters = "v1", []string{"fr", "ar"}
		d = *x
	})
	for i, e := range b.engines {
		e.SetFaults(emulator.EngineFaults{RestartEmpty: true, IgnoreFence: i == 1})
	}
	all := func(version string) func() bool {
		return func() bool {
			return !slices.ContainsFunc(b.engines, func(e *emulator.Engine) bool { return !holds(e, version, "ar", "fr") })
		}
	}
	placed(t, "v1 on all engines", all("v1"))
	for i, e := range b.engines {
		if c := e.Counters(); c.PlacementCommands != 1 || c.WeightLoads != 3 {
			t.Errorf("engine %d executed %d commands and %d loads, want 1 and 3", i, c.PlacementCommands, c.WeightLoads)
		}
	}
	if status := sendPlacement(t, b.engines[0], 0, "v0"); status != http.StatusConflict || !holds(b.engines[0], "v1", "ar", "fr") {
		t.Errorf("older command: status %d, placement %+v", status, b.engines[0].Placement())
	}
	if status := sendPlacement(t, b.engines[1], 0, "v0"); status != http.StatusAccepted {
		t.Errorf("older command to an engine that ignores the number: status %d", status)
	}
	b.engines[0].Crash()
	if err := b.engines[0].Restart(); err != nil {
		t.Fatal(err)
	}
	placed(t, "v1 on all engines again", all("v1"))
	if n := b.engines[0].Counters().WeightLoads; n != 6 {
		t.Errorf("the restarted engine has read %d weight sets, want 3 twice", n)
	}

	d.Models = slices.Clone(d.Models)
	d.Models[0].Version = "v2"
	b.in.apply(2, &d)
	placed(t, "v2 on all engines", all("v2"))
	placed(t, "a state dump with all engines settled", func() bool {
		s := b.in.State().Placement
		return len(s) == 2 && !slices.ContainsFunc(s, func(x placement.EngineState) bool { return x.Status != placement.Settled || x.Fence != 2 })
	})
}
